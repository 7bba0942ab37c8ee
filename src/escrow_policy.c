#include "escrow_policy.h"

/* Smallest grant or recall that no ledger asked for, in tokens. */
#define SPREAD_TOKENS_MIN 1024
/* 1 / FLOOR_DIVISOR of a budget is divided evenly, whatever the spending
   rates. */
#define FLOOR_DIVISOR 4
/* A ledger that holds less than 1 / REBALANCE_DIVISOR of its fair share gets
   tokens that are recalled from the others. */
#define REBALANCE_DIVISOR 2
/* Time of spending at the reported rate that is granted in advance, in
   minutes. */
#define AHEAD_MINUTES 60
/* Time of spending that a ledger keeps when its free tokens are recalled, in
   minutes. */
#define KEEP_MINUTES 1
/* Multiple of the wanted tokens that is granted, up to a quarter of the
   unallocated tokens. */
#define WANT_MULTIPLE 8

static uint32_t
count_live (const struct escrow_pool *pool, uint64_t now_ms)
{
  uint32_t live = 0;
  for (uint32_t i = 0; i < pool->ledgers->len; i++)
    live += pool_ledger_live (pool, i, now_ms);
  return live;
}

/* Sum of the spending rates of all live ledgers, in tokens a minute. */
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

/* A live ledger's fair part of @p tokens: an equal part of the floor, and of
   the rest a part in proportion to its spending rate.  All is divided equally
   while no rate is known. */
static uint64_t
fair_part (const struct escrow_pool *pool, const struct pool_budget *budget,
           uint32_t ledger, uint64_t tokens, uint64_t now_ms)
{
  const struct pool_share *share = pool_share_find (budget, ledger);
  uint64_t rate = share ? pool_share_report (share)->spend_rate_tokens : 0;
  uint64_t rates = total_rate (pool, budget, now_ms);
  uint32_t live = MAX (count_live (pool, now_ms), 1);
  if (rates == 0 || pool->policy == ESCROW_POLICY_EQUAL)
    return tokens / live;
  uint64_t floor = tokens / FLOOR_DIVISOR;
  double part = (double)rate / (double)rates;
  return floor / live + (uint64_t)((double)(tokens - floor) * part);
}

void
escrow_policy_spread_top_up (struct escrow_pool *pool,
                             struct pool_budget *budget, uint64_t tokens,
                             uint64_t now_ms)
{
  escrow_policy_grant_wanted (pool, budget, now_ms);
  if (pool->policy == ESCROW_POLICY_ON_DEMAND_ONLY
      || pool->policy == ESCROW_POLICY_DEMAND)
    return;
  uint64_t spread = MIN (tokens, budget->unallocated_tokens);
  for (uint32_t i = 0; i < pool->ledgers->len; i++)
    {
      if (!pool_ledger_live (pool, i, now_ms))
        continue;
      uint64_t part = fair_part (pool, budget, i, spread, now_ms);
      part = MIN (part, budget->unallocated_tokens);
      if (part >= SPREAD_TOKENS_MIN)
        pool_grant (pool, budget, i, part);
    }
}

void
escrow_policy_grant_wanted (struct escrow_pool *pool,
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

/* Free tokens of the budget at control and at live ledgers, including grants
   in flight. */
static uint64_t
reachable_tokens (const struct escrow_pool *pool,
                  const struct pool_budget *budget, uint64_t now_ms)
{
  uint64_t total = budget->unallocated_tokens;
  for (uint32_t i = 0; i < budget->share_count; i++)
    {
      const struct pool_share *share = &budget->shares[i];
      if (pool_ledger_live (pool, share->ledger, now_ms))
        total += pool_share_free_tokens (share) + share->in_flight_tokens;
    }
  return total;
}

/* Tokens that the ledger lacks to its fair share of the reachable tokens. */
static uint64_t
missing_tokens (const struct escrow_pool *pool,
                const struct pool_budget *budget,
                const struct pool_share *share, uint64_t now_ms)
{
  uint64_t total = reachable_tokens (pool, budget, now_ms);
  uint64_t fair = fair_part (pool, budget, share->ledger, total, now_ms);
  uint64_t have = pool_share_free_tokens (share) + share->in_flight_tokens;
  return fair > have ? fair - have : 0;
}

/* Tokens to grant without demand under the default policy. */
static uint64_t
grant_to_fair_share (const struct escrow_pool *pool,
                     const struct pool_budget *budget,
                     const struct pool_share *share, uint64_t now_ms)
{
  uint64_t tokens = missing_tokens (pool, budget, share, now_ms);
  tokens = MIN (tokens, budget->unallocated_tokens);
  return tokens >= SPREAD_TOKENS_MIN ? tokens : 0;
}

/* Tokens to grant ahead of demand: up to AHEAD_MINUTES of spending, and no
   more than the ledger's part of the unallocated tokens by its rate. */
static uint64_t
ahead_tokens (const struct escrow_pool *pool, const struct pool_budget *budget,
              const struct pool_share *share, uint64_t now_ms)
{
  if (pool->policy == ESCROW_POLICY_DEMAND_FLOOR)
    return grant_to_fair_share (pool, budget, share, now_ms);
  uint64_t rate = pool_share_report (share)->spend_rate_tokens;
  uint64_t have = pool_share_free_tokens (share) + share->in_flight_tokens;
  uint64_t goal = rate * AHEAD_MINUTES;
  if (pool->policy == ESCROW_POLICY_ON_DEMAND_ONLY
      || pool->policy == ESCROW_POLICY_EQUAL || rate == 0 || have >= goal)
    return 0;
  double part = (double)rate / (double)total_rate (pool, budget, now_ms);
  uint64_t fair = (uint64_t)((double)budget->unallocated_tokens * part);
  uint64_t tokens = MIN (goal - have, fair);
  tokens = MIN (tokens, budget->unallocated_tokens);
  return tokens >= SPREAD_TOKENS_MIN ? tokens : 0;
}

/* Tokens that a share can spare for @p ledger while it keeps @p keep_minutes
   of its spending.  When two ledgers want tokens at once, the one with the
   lower index gets them, so that two parts that are too small for either
   ledger are joined. */
static uint64_t
spare_tokens (const struct pool_share *share, uint32_t ledger,
              uint64_t keep_minutes)
{
  const struct pool_report *report = pool_share_report (share);
  uint64_t available = pool_share_free_tokens (share);
  uint64_t used = report->spend_rate_tokens * keep_minutes
                  + report->recall_unsent_tokens;
  if (share->ledger < ledger || keep_minutes > 0)
    used += report->want_tokens;
  return available > used ? available - used : 0;
}

/* Recalls up to @p needed tokens from the other live ledgers.  Returns the
   tokens that the recalls don't cover. */
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

/* Whether tokens for @p ledger are at control, in flight to it, or free at or
   in flight to another live ledger. */
static bool
any_reachable (const struct escrow_pool *pool,
               const struct pool_budget *budget, uint32_t ledger,
               uint64_t now_ms)
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
          && pool_share_free_tokens (share) + share->in_flight_tokens > 0)
        return true;
    }
  return false;
}

/* Tokens recalled from live ledgers that have not been returned yet. */
static uint64_t
recalled_tokens (const struct escrow_pool *pool,
                 const struct pool_budget *budget, uint64_t now_ms)
{
  uint64_t total = 0;
  for (uint32_t i = 0; i < budget->share_count; i++)
    {
      const struct pool_report *report
          = pool_share_report (&budget->shares[i]);
      if (pool_ledger_live (pool, budget->shares[i].ledger, now_ms))
        total += report->recall_unsent_tokens + report->recall_sent_tokens;
    }
  return total;
}

/* When @p ledger is far below its fair share, recalls from other live ledgers
   the free tokens that exceed their fair shares. */
static void
rebalance (struct escrow_pool *pool, struct pool_budget *budget,
           uint32_t ledger, uint64_t now_ms)
{
  const struct pool_share *own = pool_share_find (budget, ledger);
  uint64_t total = reachable_tokens (pool, budget, now_ms);
  uint64_t fair = fair_part (pool, budget, ledger, total, now_ms);
  uint64_t needed = missing_tokens (pool, budget, own, now_ms);
  if (needed < SPREAD_TOKENS_MIN || fair - needed >= fair / REBALANCE_DIVISOR)
    return;
  for (uint32_t i = 0; i < budget->share_count && needed > 0; i++)
    {
      struct pool_share *share = &budget->shares[i];
      if (share->ledger == ledger
          || !pool_ledger_live (pool, share->ledger, now_ms))
        continue;
      uint64_t keep = fair_part (pool, budget, share->ledger, total, now_ms);
      uint64_t available = pool_share_free_tokens (share);
      uint64_t tokens = available > keep ? MIN (available - keep, needed) : 0;
      if (tokens >= SPREAD_TOKENS_MIN)
        pool_recall (pool, budget, share, tokens);
      needed -= tokens;
    }
}

bool
escrow_policy_handle_report (struct escrow_pool *pool,
                             struct pool_budget *budget, uint32_t ledger,
                             uint64_t now_ms)
{
  struct pool_share *share = pool_share_ensure (budget, ledger);
  uint64_t want = pool_share_report (share)->want_tokens;
  uint64_t plenty = MIN (want * WANT_MULTIPLE, budget->unallocated_tokens / 4);
  if (pool->policy == ESCROW_POLICY_ON_DEMAND_ONLY)
    plenty = 0;
  uint64_t tokens = MIN (MAX (want, plenty), budget->unallocated_tokens);
  tokens = MAX (tokens, ahead_tokens (pool, budget, share, now_ms));
  if (tokens > 0)
    pool_grant (pool, budget, ledger, tokens);
  uint64_t unmet = want > tokens ? want - tokens : 0;
  uint64_t coming = recalled_tokens (pool, budget, now_ms);
  if (pool->policy == ESCROW_POLICY_DEMAND_FLOOR && unmet == 0 && coming == 0)
    rebalance (pool, budget, ledger, now_ms);
  if (unmet <= coming)
    return false;
  uint64_t needed = recall_from_others (pool, budget, ledger, unmet - coming,
                                        KEEP_MINUTES, now_ms);
  recall_from_others (pool, budget, ledger, needed, 0, now_ms);
  return coming == 0 && !any_reachable (pool, budget, ledger, now_ms);
}
