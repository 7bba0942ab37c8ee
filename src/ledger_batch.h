#ifndef LEDGER_BATCH_H
#define LEDGER_BATCH_H

/** @file
 *  Batches of operations from routers: each is applied when its call arrives
 *  and answered after the sync that ends the server's round. */

#include "escrow_ledger.h"
#include "ledger_metrics.h"
#include "wire_server.h"

/** The batches of one round that wait for their reply. */
struct ledger_batches;

/** State of the ledger that a batch is applied to. */
struct ledger_batch_context
{
  const char *cluster;
  uint64_t incarnation;
  /** The ledger's state; NULL while the data folder can't be written. */
  struct escrow_ledger *ledger;
  /** True when control fenced this ledger: it refuses reservations. */
  bool fenced;
  /** Time since the Unix epoch, in ms. */
  uint64_t now_ms;
};

/** Creates an empty list of batches. */
struct ledger_batches *ledger_batches_create (void);
/** Frees the list, which must be empty: every batch was answered. */
void ledger_batches_destroy (struct ledger_batches *batches);
/** Decodes the batch of @p call, applies it and keeps its result. */
void ledger_batches_handle_call (struct ledger_batches *batches,
                                 struct wire_call *call,
                                 const struct ledger_batch_context *context,
                                 struct ledger_metrics *metrics);
/** Answers all batches.  With @p committed false (the sync failed), those that
 *  were applied are answered with LEDGER_UNAVAILABLE. */
void ledger_batches_reply (struct ledger_batches *batches, bool committed,
                           uint64_t incarnation);

#endif
