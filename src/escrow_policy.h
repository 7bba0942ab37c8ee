#ifndef ESCROW_POLICY_H
#define ESCROW_POLICY_H

/** @file
 *  Share policies: how many tokens of a budget each ledger is granted, and
 *  when unused tokens are recalled. */

#include "escrow_pool_state.h"

/** Grants what live ledgers want, then divides the unallocated tokens, at most
 *  the @p tokens of a new top-up, among them as the policy defines. */
void escrow_policy_spread_top_up (struct escrow_pool *pool,
                                  struct pool_budget *budget, uint64_t tokens,
                                  uint64_t now_ms);
/** Grants the tokens that live ledgers want, as far as unallocated tokens
 *  last. */
void escrow_policy_grant_wanted (struct escrow_pool *pool,
                                 struct pool_budget *budget, uint64_t now_ms);
/** Handles a new report of @p ledger: grants tokens, possibly more than it
 *  wants, or recalls tokens from other ledgers.  Returns true when the ledger
 *  wants more and neither control nor a live ledger has tokens left for it. */
bool escrow_policy_handle_report (struct escrow_pool *pool,
                                  struct pool_budget *budget, uint32_t ledger,
                                  uint64_t now_ms);

#endif
