#ifndef LEDGER_RECONCILE_H
#define LEDGER_RECONCILE_H

/** @file
 *  Tells the other ledgers which callers' keys were billed here and takes in
 *  theirs, so that a key keeps one bill.  One thread a ledger; all functions
 *  but ledger_reconcile_set_peers are for the serving thread. */

#include <stdbool.h>
#include <stdint.h>

#include "escrow_ledger.h"
#include "wire_common.h"
#include "wire_server.h"

struct ledger_reconcile;

/** Makes it for the ledger @p own; @p wake is called on other threads when
 *  there is an answer to take. */
struct ledger_reconcile *ledger_reconcile_create (const char *cluster,
                                                  const char *own,
                                                  void (*wake) (void *context),
                                                  void *context);
/** Stops the threads. */
void ledger_reconcile_destroy (struct ledger_reconcile *reconcile);
/** Tells which processes live; any thread. */
void ledger_reconcile_set_peers (struct ledger_reconcile *reconcile,
                                 const struct wire_process *peers,
                                 uint32_t count);
/** Starts from the first key again, after the ledger was read anew. */
void ledger_reconcile_restart (struct ledger_reconcile *reconcile);
/** Sends new bills to the ledgers that can take some. */
void ledger_reconcile_send_bills (struct ledger_reconcile *reconcile,
                                  const struct escrow_ledger *ledger,
                                  uint64_t now_ms);
/** Carries out the verdicts that came, before the round's sync. */
void ledger_reconcile_apply_verdicts (struct ledger_reconcile *reconcile,
                                      struct escrow_ledger *ledger,
                                      uint64_t now_ms);
/** Takes in another ledger's keys; @p ledger is NULL when it can't write. */
void ledger_reconcile_handle_call (struct ledger_reconcile *reconcile,
                                   struct wire_call *call,
                                   struct escrow_ledger *ledger,
                                   uint64_t now_ms);
/** Answers the calls of the round once they are synced. */
void ledger_reconcile_reply (struct ledger_reconcile *reconcile,
                             bool committed);

#endif
