#ifndef LEDGER_EXCHANGE_H
#define LEDGER_EXCHANGE_H

/** @file
 *  Exchanges with control on a thread of their own, one at a time. */

#include <stdbool.h>

#include "control_client.h"
#include "wire_control.h"

/** The thread that calls control. */
struct ledger_exchange;

/** Starts the thread; @p wake is called with @p context once an answer is
 *  there. */
struct ledger_exchange *ledger_exchange_create (struct control_client *client,
                                                void (*wake) (void *context),
                                                void *context);
/** Stops it, waiting for a call under way. */
void ledger_exchange_destroy (struct ledger_exchange *exchange);
/** Whether an exchange may be sent. */
bool ledger_exchange_is_idle (struct ledger_exchange *exchange);
/** Sends; takes @p args, whose arrays and strings are freed with xdr_free. */
void ledger_exchange_send (struct ledger_exchange *exchange,
                           struct control_ledger_args *args);
/** Takes the answer, freed by the caller with xdr_free.  False when there is
 *  none yet; @p status tells whether control answered. */
bool ledger_exchange_take_result (struct ledger_exchange *exchange,
                                  struct control_ledger_result *result,
                                  enum wire_status *status);

#endif
