#include "escrow_policy.h"

/* Smallest grant made without a demand, in tokens. */
#define SPREAD_TOKENS_MIN 1024
/* A top-up's part that is spread as the floor: one of this many. */
#define FLOOR_DIVISOR 2
/* Time of spending at the reported rate that is granted ahead, in minutes. */
#define AHEAD_MINUTES 60
/* Time of spending that a ledger keeps when its idle tokens are recalled, in
   minutes. */
#define KEEP_MINUTES 1
/* A want is granted this many times over where the budget has plenty. */
#define WANT_MULTIPLE 8

static uint32_t
count_live (const struct escrow_pool *pool, uint64_t now_ms)
{
  uint32_t live = 0;
  for (uint32_t i = 0; i < pool->ledgers->len; i++)
    live += pool_ledger_live (pool, i, now_ms);
  return live;
}

void
escrow_policy_topped_up (struct escrow_pool *pool, struct pool_budget *budget,
                         uint64_t tokens, uint64_t now_ms)
{
  uint32_t live = count_live (pool, now_ms);
  escrow_policy_serve_wants (pool, budget, now_ms);
  if (live == 0 || pool->policy == ESCROW_POLICY_AT_CONTROL
      || pool->policy == ESCROW_POLICY_DEMAND)
    return;
  uint64_t spread = MIN (tokens, budget->unallocated_tokens);
  if (pool->policy == ESCROW_POLICY_DEMAND_FLOOR)
    spread /= FLOOR_DIVISOR;
  uint64_t each = spread / live;
  if (each < SPREAD_TOKENS_MIN)
    return;
  for (uint32_t i = 0; i < pool->ledgers->len; i++)
    if (pool_ledger_live (pool, i, now_ms))
      pool_grant (pool, budget, i, each);
}

void
escrow_policy_serve_wants (struct escrow_pool *pool,
                           struct pool_budget *budget, uint64_t now_ms)
{
  for (uint32_t i = 0; i < budget->share_count; i++)
    {
      struct pool_share *share = &budget->shares[i];
      uint64_t tokens = MIN (pool_share_report (share)->want_tokens,
                             budget->unallocated_tokens);
      if (tokens > 0 && pool_ledger_live (pool, share->ledger, now_ms))
        pool_grant (pool, budget, share->ledger, tokens);
    }
}

/* Sum of the rates of all live ledgers. */
static uint64_t
total_rate (const struct escrow_pool *pool, const struct pool_budget *budget,
            uint64_t now_ms)
{
  uint64_t total = 0;
  for (uint32_t i = 0; i < budget->share_count; i++)
    if (pool_ledger_live (pool, budget->shares[i].ledger, now_ms))
      total += pool_share_report (&budget->shares[i])->spend_rate_tokens;
  return total;
}

/* Tokens to grant beyond the want: a part of the unallocated ones that is in
   proportion to the ledger's rate. */
static uint64_t
ahead_tokens (const struct escrow_pool *pool, const struct pool_budget *budget,
              const struct pool_share *share, uint64_t now_ms)
{
  uint64_t rate = pool_share_report (share)->spend_rate_tokens;
  uint64_t have = pool_share_free (share) + share->in_flight_tokens;
  uint64_t target = rate * AHEAD_MINUTES;
  if (pool->policy == ESCROW_POLICY_AT_CONTROL
      || pool->policy == ESCROW_POLICY_EQUAL || rate == 0 || have >= target)
    return 0;
  double part = (double)rate / (double)total_rate (pool, budget, now_ms);
  uint64_t fair = (uint64_t)((double)budget->unallocated_tokens * part);
  uint64_t tokens = MIN (target - have, fair);
  tokens = MIN (tokens, budget->unallocated_tokens);
  return tokens >= SPREAD_TOKENS_MIN ? tokens : 0;
}

/* Tokens that a share can spare for @p ledger, keeping @p keep_minutes of its
   spending.  Of two ledgers that want tokens at once, the one of the lower
   number is served, so that two parts too small for either become one. */
static uint64_t
spare_tokens (const struct pool_share *share, uint32_t ledger,
              uint64_t keep_minutes)
{
  const struct pool_report *report = pool_share_report (share);
  uint64_t left = pool_share_free (share);
  uint64_t used
      = report->spend_rate_tokens * keep_minutes + report->recall_tokens;
  if (share->ledger < ledger || keep_minutes > 0)
    used += report->want_tokens;
  return left > used ? left - used : 0;
}

/* Recalls up to @p needed tokens from the other live ledgers; what no recall
   could cover. */
static uint64_t
recall_from_others (struct escrow_pool *pool, struct pool_budget *budget,
                    uint32_t ledger, uint64_t needed, uint64_t keep_minutes,
                    uint64_t now_ms)
{
  for (uint32_t i = 0; i < budget->share_count && needed > 0; i++)
    {
      struct pool_share *share = &budget->shares[i];
      if (share->ledger == ledger
          || !pool_ledger_live (pool, share->ledger, now_ms))
        continue;
      uint64_t tokens
          = MIN (needed, spare_tokens (share, ledger, keep_minutes));
      if (tokens > 0)
        pool_recall (pool, budget, share, tokens);
      needed -= tokens;
    }
  return needed;
}

/* Whether tokens may still come: free or asked back at a live ledger. */
static bool
any_in_reach (const struct escrow_pool *pool, const struct pool_budget *budget,
              uint32_t ledger, uint64_t now_ms)
{
  if (budget->unallocated_tokens > 0)
    return true;
  for (uint32_t i = 0; i < budget->share_count; i++)
    {
      const struct pool_share *share = &budget->shares[i];
      if (share->ledger == ledger && share->in_flight_tokens > 0)
        return true;
      if (share->ledger != ledger
          && pool_ledger_live (pool, share->ledger, now_ms)
          && pool_share_free (share) + share->in_flight_tokens > 0)
        return true;
    }
  return false;
}

/* Tokens already asked back for this budget, not yet sent out. */
static uint64_t
recalled_tokens (const struct pool_budget *budget)
{
  uint64_t total = 0;
  for (uint32_t i = 0; i < budget->share_count; i++)
    total += pool_share_report (&budget->shares[i])->recall_tokens;
  return total;
}

bool
escrow_policy_reported (struct escrow_pool *pool, struct pool_budget *budget,
                        uint32_t ledger, uint64_t now_ms)
{
  struct pool_share *share = pool_share_need (budget, ledger);
  uint64_t want = pool_share_report (share)->want_tokens;
  uint64_t plenty = MIN (want * WANT_MULTIPLE, budget->unallocated_tokens / 4);
  if (pool->policy == ESCROW_POLICY_AT_CONTROL)
    plenty = 0;
  uint64_t tokens = MIN (MAX (want, plenty), budget->unallocated_tokens);
  tokens = MAX (tokens, ahead_tokens (pool, budget, share, now_ms));
  if (tokens > 0)
    pool_grant (pool, budget, ledger, tokens);
  uint64_t unmet = want > tokens ? want - tokens : 0;
  uint64_t coming = recalled_tokens (budget);
  if (unmet <= coming)
    return false;
  uint64_t needed = recall_from_others (pool, budget, ledger, unmet - coming,
                                        KEEP_MINUTES, now_ms);
  recall_from_others (pool, budget, ledger, needed, 0, now_ms);
  return coming == 0 && !any_in_reach (pool, budget, ledger, now_ms);
}
