#ifndef ESCROW_POOL_H
#define ESCROW_POOL_H

/** @file
 *  Prepaid budgets as control keeps them: top-ups, unallocated tokens, grants
 *  to ledgers, returns and recalls.  The replicated log applies these calls;
 *  the same calls in the same order give the same state.  No I/O. */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "base_findings.h"
#include "wire_control.h"

/** All prepaid budgets. */
struct escrow_pool;

/** How control divides unallocated tokens among the ledgers. */
enum escrow_policy
{
  /** Each ledger is granted its fair share: an equal minimum, and a part of
   *  the rest in proportion to its spending rate (the default). */
  ESCROW_POLICY_DEMAND_FLOOR,
  /** Each ledger is granted what it wants, plus a reserve in proportion to its
   *  spending rate. */
  ESCROW_POLICY_DEMAND,
  /** Each top-up is divided equally; besides, each ledger is granted what it
   *  wants. */
  ESCROW_POLICY_EQUAL,
  /** Each ledger is granted only what it wants; the rest stays at control. */
  ESCROW_POLICY_ON_DEMAND_ONLY
};

/** Creates an empty pool. */
struct escrow_pool *escrow_pool_create (enum escrow_policy policy);
/** Frees the pool; NULL is allowed. */
void escrow_pool_destroy (struct escrow_pool *pool);

/** Credits a top-up.  A repeated id gets the first answer and no second
 *  credit; another account, budget or amount under a used id gets
 *  CONTROL_CONFLICT.  Strings in @p result are allocated with g_strdup. */
void escrow_pool_top_up (struct escrow_pool *pool,
                         const struct control_top_up_args *args,
                         uint64_t now_ms,
                         struct control_top_up_result *result);
/** Applies one exchange with a ledger: takes its returns, acknowledgements and
 *  demands, and fills in grants and recalls.  A newer incarnation of a ledger
 *  fences the older one, whose shares then count as written off.  A recall of
 *  0 tokens means that no tokens are left for the ledger's demand.  Arrays in
 *  @p result are allocated with malloc, as xdr_free expects. */
void escrow_pool_exchange (struct escrow_pool *pool,
                           const struct control_ledger_args *args,
                           uint64_t now_ms,
                           struct control_ledger_result *result);
/** Describes one budget; the shares in @p result are allocated with malloc. */
void escrow_pool_budget (struct escrow_pool *pool, uint64_t budget_id,
                         struct control_budget_result *result);
/** Number of budgets. */
uint64_t escrow_pool_count (const struct escrow_pool *pool);
/** Checks that the tokens of every budget add up; adds a finding for each
 *  fault. */
void escrow_pool_audit (const struct escrow_pool *pool,
                        struct base_findings *findings);
/** Appends the whole state to a snapshot. */
void escrow_pool_save (const struct escrow_pool *pool, GByteArray *bytes);
/** Reads the state that escrow_pool_save wrote into an empty pool; @p used
 *  gets the number of bytes read.  Returns 0, or -1 when the data are
 *  malformed. */
int escrow_pool_load (struct escrow_pool *pool, const uint8_t *data,
                      size_t bytes, size_t *used);

#endif
