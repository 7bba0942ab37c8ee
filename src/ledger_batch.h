#ifndef LEDGER_BATCH_H
#define LEDGER_BATCH_H

/** @file
 *  Batches of a round: applied when they come in, answered after the sync. */

#include "escrow_ledger.h"
#include "ledger_metrics.h"
#include "wire_server.h"

/** The batches of one round. */
struct ledger_batches;

/** Where a batch is applied. */
struct ledger_batch_context
{
  const char *cluster;
  uint64_t incarnation;
  /** NULL while nothing can be written. */
  struct escrow_ledger *ledger;
  /** Whether reservations are refused. */
  bool fenced;
  /** Time since the Unix epoch, in ms. */
  uint64_t now_ms;
};

/** Makes an empty round. */
struct ledger_batches *ledger_batches_create (void);
/** Frees it; its calls were answered before. */
void ledger_batches_destroy (struct ledger_batches *batches);
/** Decodes and applies the batch of @p call. */
void ledger_batches_handle_call (struct ledger_batches *batches,
                                 struct wire_call *call,
                                 const struct ledger_batch_context *place,
                                 struct ledger_metrics *metrics);
/** Answers all batches; where the sync failed, none that was applied is
 *  acknowledged. */
void ledger_batches_reply (struct ledger_batches *batches, bool committed,
                           uint64_t incarnation);

#endif
