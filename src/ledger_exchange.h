#ifndef LEDGER_EXCHANGE_H
#define LEDGER_EXCHANGE_H

/** @file
 *  Exchanges of token shares with control.  A thread makes the calls, one at a
 *  time, so that the server's loop doesn't wait for control. */

#include <stdbool.h>

#include "control_client.h"
#include "wire_control.h"

/** A thread that calls control. */
struct ledger_exchange;

/** Starts the thread, which calls @p wake with @p context when a call has
 *  ended. */
struct ledger_exchange *ledger_exchange_create (struct control_client *client,
                                                void (*wake) (void *context),
                                                void *context);
/** Waits for the call in progress and stops the thread. */
void ledger_exchange_destroy (struct ledger_exchange *exchange);
/** Whether no call is in progress and no result waits to be taken. */
bool ledger_exchange_is_idle (struct ledger_exchange *exchange);
/** Starts a call; the exchange must be idle.  Takes over the arrays and
 *  strings of @p args and frees them with xdr_free. */
void ledger_exchange_send (struct ledger_exchange *exchange,
                           struct control_ledger_args *args);
/** Takes the result of the call.  Returns false when there is none yet.
 *  @p result is valid when @p status is WIRE_OK; the caller frees it with
 *  xdr_free in any case. */
bool ledger_exchange_take_result (struct ledger_exchange *exchange,
                                  struct control_ledger_result *result,
                                  enum wire_status *status);

#endif
