#ifndef ESCROW_POOL_H
#define ESCROW_POOL_H

/** @file
 *  Control's side of the shares: top-ups, unallocated tokens, grants to
 *  ledgers, returns and recalls.  A deterministic core that the replicated
 *  log applies: the same calls in the same order give the same state. */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "base_findings.h"
#include "wire_control.h"

/** All prepaid budgets as control knows them. */
struct escrow_pool;

/** How unallocated tokens are shared out. */
enum escrow_policy
{
  /** Demand ahead of need, with a floor for each ledger (the default). */
  ESCROW_POLICY_DEMAND_FLOOR,
  ESCROW_POLICY_DEMAND,
  ESCROW_POLICY_EQUAL,
  ESCROW_POLICY_AT_CONTROL
};

/** Makes an empty pool. */
struct escrow_pool *escrow_pool_create (enum escrow_policy policy);
/** Frees it. */
void escrow_pool_destroy (struct escrow_pool *pool);

/** Credits a top-up; the same id again gives the first answer and no second
 *  credit, other content under the same id gives CONTROL_CONFLICT.  Fills
 *  @p result (answer.text allocated with g_strdup). */
void escrow_pool_top_up (struct escrow_pool *pool,
                         const struct control_top_up_args *args,
                         uint64_t now_ms,
                         struct control_top_up_result *result);
/** Applies one exchange with a ledger: returns, acknowledgements, demands;
 *  gives grants and recalls.  A newer incarnation of a ledger fences the
 *  older one, whose shares then count as written off.  A recall of 0 tokens
 * tells the ledger that nothing is left in reach for what it wants.  Arrays in
 * @p result are allocated with malloc, as xdr_free expects. */
void escrow_pool_exchange (struct escrow_pool *pool,
                           const struct control_ledger_args *args,
                           uint64_t now_ms,
                           struct control_ledger_result *result);
/** Describes one budget; shares allocated with malloc. */
void escrow_pool_budget (struct escrow_pool *pool, uint64_t budget_id,
                         struct control_budget_result *result);
/** Number of budgets. */
uint64_t escrow_pool_count (const struct escrow_pool *pool);
/** Checks that every budget adds up; a finding a fault. */
void escrow_pool_audit (const struct escrow_pool *pool,
                        struct base_findings *findings);
/** Appends the whole state to @p bytes, for a snapshot. */
void escrow_pool_save (const struct escrow_pool *pool, GByteArray *bytes);
/** Reads a state written by escrow_pool_save into an empty pool; 0, or -1
 *  when malformed.  @p used gets the number of bytes read. */
int escrow_pool_load (struct escrow_pool *pool, const uint8_t *data,
                      size_t bytes, size_t *used);

#endif
