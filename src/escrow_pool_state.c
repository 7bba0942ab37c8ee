#include "escrow_pool_state.h"

#include <stdlib.h>
#include <string.h>

static void
free_budget (gpointer data)
{
  struct pool_budget *budget = data;
  for (uint32_t i = 0; i < budget->share_count; i++)
    pool_share_drop_report (&budget->shares[i]);
  g_free (budget->shares);
  g_free (budget);
}

static void
free_top_up (gpointer data)
{
  struct pool_top_up *top_up = data;
  g_free (top_up->id);
  g_free (top_up);
}

static void
free_ledger (gpointer data)
{
  struct pool_ledger *ledger = data;
  g_free (ledger->name);
  g_array_unref (ledger->grants);
  g_array_unref (ledger->recalls_unsent);
  g_array_unref (ledger->recalls_sent);
  g_free (ledger);
}

struct escrow_pool *
escrow_pool_create (enum escrow_policy policy)
{
  struct escrow_pool *pool = g_new0 (struct escrow_pool, 1);
  pool->policy = policy;
  pool->budgets
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_budget);
  pool->top_ups
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_top_up);
  pool->ledgers = g_ptr_array_new_with_free_func (free_ledger);
  return pool;
}

void
escrow_pool_destroy (struct escrow_pool *pool)
{
  if (!pool)
    return;
  g_hash_table_unref (pool->budgets);
  g_hash_table_unref (pool->top_ups);
  g_ptr_array_unref (pool->ledgers);
  g_free (pool);
}

uint64_t
escrow_pool_count (const struct escrow_pool *pool)
{
  return g_hash_table_size (pool->budgets);
}

struct pool_ledger *
pool_ledger_at (const struct escrow_pool *pool, uint32_t index)
{
  return pool->ledgers->pdata[index];
}

uint32_t
pool_ledger_add (struct escrow_pool *pool, const char *name,
                 uint64_t incarnation)
{
  struct pool_ledger *ledger = g_new0 (struct pool_ledger, 1);
  ledger->name = g_strdup (name);
  ledger->incarnation = incarnation;
  ledger->grants
      = g_array_new (FALSE, FALSE, sizeof (struct control_transfer));
  ledger->recalls_unsent = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  ledger->recalls_sent = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  g_ptr_array_add (pool->ledgers, ledger);
  return pool->ledgers->len - 1;
}

struct pool_budget *
pool_budget_find (const struct escrow_pool *pool, uint64_t budget_id)
{
  return g_hash_table_lookup (pool->budgets, &budget_id);
}

struct pool_budget *
pool_budget_ensure (struct escrow_pool *pool, uint64_t budget_id)
{
  struct pool_budget *budget = pool_budget_find (pool, budget_id);
  if (budget)
    return budget;
  budget = g_new0 (struct pool_budget, 1);
  budget->budget_id = budget_id;
  g_hash_table_insert (pool->budgets, &budget->budget_id, budget);
  return budget;
}

struct pool_share *
pool_share_find (const struct pool_budget *budget, uint32_t ledger)
{
  for (uint32_t i = 0; i < budget->share_count; i++)
    if (budget->shares[i].ledger == ledger)
      return &budget->shares[i];
  return NULL;
}

struct pool_share *
pool_share_ensure (struct pool_budget *budget, uint32_t ledger)
{
  struct pool_share *share = pool_share_find (budget, ledger);
  if (share)
    return share;
  budget->share_count++;
  budget->shares
      = g_renew (struct pool_share, budget->shares, budget->share_count);
  share = &budget->shares[budget->share_count - 1];
  memset (share, 0, sizeof *share);
  share->ledger = ledger;
  return share;
}

const struct pool_report *
pool_share_report (const struct pool_share *share)
{
  static const struct pool_report idle;
  return share->report ? share->report : &idle;
}

struct pool_report *
pool_share_ensure_report (struct pool_share *share)
{
  if (share->report)
    return share->report;
  uint64_t free_tokens = pool_share_free_tokens (share);
  share->report = g_new0 (struct pool_report, 1);
  share->report->free_tokens = free_tokens;
  return share->report;
}

void
pool_share_drop_report (struct pool_share *share)
{
  g_free (share->report);
  share->report = NULL;
}

uint64_t
pool_share_free_tokens (const struct pool_share *share)
{
  if (share->report)
    return share->report->free_tokens;
  return share->granted_tokens - share->returned_tokens
         - share->in_flight_tokens;
}

void
pool_top_up_add (struct escrow_pool *pool, char *id, uint64_t content_hash,
                 uint64_t topped_up_tokens, uint64_t unallocated_tokens)
{
  struct pool_top_up *top_up = g_new0 (struct pool_top_up, 1);
  top_up->id = id;
  top_up->content_hash = content_hash;
  top_up->topped_up_tokens = topped_up_tokens;
  top_up->unallocated_tokens = unallocated_tokens;
  g_hash_table_insert (pool->top_ups, id, top_up);
}

bool
pool_ledger_live (const struct escrow_pool *pool, uint32_t ledger,
                  uint64_t now_ms)
{
  const struct pool_ledger *entry = pool_ledger_at (pool, ledger);
  return !entry->fenced
         && entry->exchanged_at_ms + ESCROW_LEDGER_TIMEOUT_MS >= now_ms;
}

void
pool_grant (struct escrow_pool *pool, struct pool_budget *budget,
            uint32_t ledger, uint64_t tokens)
{
  struct pool_ledger *entry = pool_ledger_at (pool, ledger);
  struct pool_share *share = pool_share_ensure (budget, ledger);
  g_assert (tokens <= budget->unallocated_tokens);
  struct control_transfer grant
      = { ++entry->granted_sequence, budget->budget_id, tokens };
  budget->unallocated_tokens -= tokens;
  share->granted_tokens += tokens;
  share->in_flight_tokens += tokens;
  if (share->report)
    share->report->want_tokens -= MIN (share->report->want_tokens, tokens);
  g_array_append_val (entry->grants, grant);
}

void
pool_recall (struct escrow_pool *pool, struct pool_budget *budget,
             struct pool_share *share, uint64_t tokens)
{
  struct pool_ledger *entry = pool_ledger_at (pool, share->ledger);
  struct pool_report *report = pool_share_ensure_report (share);
  if (report->recall_unsent_tokens == 0)
    g_array_append_val (entry->recalls_unsent, budget->budget_id);
  report->recall_unsent_tokens += tokens;
}
