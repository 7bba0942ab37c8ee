#ifndef LEDGER_RECONCILE_H
#define LEDGER_RECONCILE_H

/** @file
 *  Reconciles bills with the other ledgers: sends them the callers' keys that
 *  were billed here and compares the keys that they send, so that each key
 *  keeps one bill.  Each other ledger has a thread that calls it.  All
 *  functions but ledger_reconcile_set_peers are for the server's thread. */

#include <stdbool.h>
#include <stdint.h>

#include "escrow_ledger.h"
#include "wire_common.h"
#include "wire_server.h"

/** Reconciliation with all other ledgers. */
struct ledger_reconcile;

/** Creates the reconciliation for the ledger named @p own.  When a call has
 *  ended, its thread calls @p wake with @p context. */
struct ledger_reconcile *ledger_reconcile_create (const char *cluster,
                                                  const char *own,
                                                  void (*wake) (void *context),
                                                  void *context);
/** Stops the threads and frees the reconciliation. */
void ledger_reconcile_destroy (struct ledger_reconcile *reconcile);
/** Replaces the list of live processes, of which only the ledgers are used.
 *  Thread-safe. */
void ledger_reconcile_set_peers (struct ledger_reconcile *reconcile,
                                 const struct wire_process *peers,
                                 uint32_t count);
/** Sends all keys again from the first on, after the ledger was reloaded from
 *  its data folder. */
void ledger_reconcile_restart (struct ledger_reconcile *reconcile);
/** Sends newly billed keys to the ledgers that have no call in progress. */
void ledger_reconcile_send_bills (struct ledger_reconcile *reconcile,
                                  const struct escrow_ledger *ledger,
                                  uint64_t now_ms);
/** Applies the verdicts that the other ledgers returned; call it before the
 *  round's sync. */
void ledger_reconcile_apply_verdicts (struct ledger_reconcile *reconcile,
                                      struct escrow_ledger *ledger,
                                      uint64_t now_ms);
/** Compares the keys that another ledger sent in @p call and keeps the
 *  verdicts; @p ledger is NULL while the data folder can't be written. */
void ledger_reconcile_handle_call (struct ledger_reconcile *reconcile,
                                   struct wire_call *call,
                                   struct escrow_ledger *ledger,
                                   uint64_t now_ms);
/** Answers the calls of the round: with their verdicts when @p committed, else
 *  with an error. */
void ledger_reconcile_reply (struct ledger_reconcile *reconcile,
                             bool committed);

#endif
