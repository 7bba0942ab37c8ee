#ifndef ESCROW_POLICY_H
#define ESCROW_POLICY_H

/** @file
 *  Share policies: how much of a budget goes to which ledger, and when idle
 *  shares are recalled. */

#include "escrow_pool_state.h"

/** Spreads tokens that a top-up of @p tokens just brought. */
void escrow_policy_spread_top_up (struct escrow_pool *pool,
                                  struct pool_budget *budget, uint64_t tokens,
                                  uint64_t now_ms);
/** Serves what ledgers want from the unallocated tokens. */
void escrow_policy_grant_wanted (struct escrow_pool *pool,
                                 struct pool_budget *budget, uint64_t now_ms);
/** Acts on a fresh report of @p ledger: grants ahead of need, or recalls from
 *  other ledgers.  True when the ledger's want stays unmet and no tokens are
 *  left in reach. */
bool escrow_policy_handle_report (struct escrow_pool *pool,
                                  struct pool_budget *budget, uint32_t ledger,
                                  uint64_t now_ms);

#endif
