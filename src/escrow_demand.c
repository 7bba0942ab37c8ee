#include "escrow_demand.h"

/* Time after which a shortfall expires unless another reservation is refused,
   in ms. */
#define SHORTFALL_TTL_MS 2000
/* Time for which control's answer that no tokens are left is trusted, in
   ms. */
#define EXHAUSTED_MS 500
/* Maximum number of budgets with a shortfall. */
#define SHORTFALLS_MAX 4096u
#define MS_PER_SECOND 1000u
#define SECONDS_PER_MINUTE 60u
/* Minimum time over which a spending rate is measured, in s. */
#define RATE_SPAN_MIN_S 2u

struct escrow_demand
{
  /* struct escrow_shortfall by budget_id. */
  GHashTable *shortfalls;
  /* Budgets that changed since their last report, in order of change, linked
     by next_changed. */
  struct escrow_budget *changed_head;
  struct escrow_budget *changed_tail;
  bool connected;
  bool has_unreported;
};

struct escrow_demand *
escrow_demand_create (void)
{
  struct escrow_demand *demand = g_new0 (struct escrow_demand, 1);
  demand->shortfalls
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return demand;
}

void
escrow_demand_destroy (struct escrow_demand *demand)
{
  g_hash_table_unref (demand->shortfalls);
  g_free (demand);
}

struct escrow_shortfall *
escrow_demand_find (const struct escrow_demand *demand, uint64_t budget_id)
{
  return g_hash_table_lookup (demand->shortfalls, &budget_id);
}

void
escrow_demand_add_shortfall (struct escrow_demand *demand, uint64_t budget_id,
                             uint64_t tokens, uint64_t now_ms)
{
  struct escrow_shortfall *shortfall = escrow_demand_find (demand, budget_id);
  if (!shortfall && g_hash_table_size (demand->shortfalls) >= SHORTFALLS_MAX)
    return;
  if (!shortfall)
    {
      shortfall = g_new0 (struct escrow_shortfall, 1);
      shortfall->budget_id = budget_id;
      demand->has_unreported = true;
      g_hash_table_insert (demand->shortfalls, &shortfall->budget_id,
                           shortfall);
    }
  shortfall->tokens = MAX (shortfall->tokens, tokens);
  if (shortfall->exhausted_until_ms <= now_ms)
    shortfall->exhausted_until_ms = 0;
  shortfall->refused_at_ms = now_ms;
}

void
escrow_demand_set_connected (struct escrow_demand *demand, bool connected)
{
  demand->connected = connected;
}

bool
escrow_demand_may_be_granted (const struct escrow_demand *demand,
                              uint64_t budget_id, uint64_t now_ms)
{
  const struct escrow_shortfall *shortfall
      = escrow_demand_find (demand, budget_id);
  return demand->connected && shortfall
         && shortfall->exhausted_until_ms <= now_ms;
}

void
escrow_demand_clear (struct escrow_demand *demand, uint64_t budget_id)
{
  g_hash_table_remove (demand->shortfalls, &budget_id);
}

void
escrow_demand_set_exhausted (struct escrow_demand *demand, uint64_t budget_id,
                             uint64_t now_ms)
{
  struct escrow_shortfall *shortfall = escrow_demand_find (demand, budget_id);
  if (shortfall)
    shortfall->exhausted_until_ms = now_ms + EXHAUSTED_MS;
}

void
escrow_demand_mark_changed (struct escrow_demand *demand,
                            struct escrow_budget *budget)
{
  if (budget->next_changed)
    return;
  budget->next_changed = budget;
  if (demand->changed_tail)
    demand->changed_tail->next_changed = budget;
  else
    demand->changed_head = budget;
  demand->changed_tail = budget;
}

bool
escrow_demand_has_unreported (const struct escrow_demand *demand)
{
  return demand->has_unreported;
}

bool
escrow_demand_awaits_answer (const struct escrow_demand *demand)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, demand->shortfalls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct escrow_shortfall *shortfall = value;
      if (shortfall->exhausted_until_ms == 0)
        return true;
    }
  return false;
}

void
escrow_demand_collect (struct escrow_demand *demand, uint64_t now_ms,
                       uint32_t max, GArray *budget_ids)
{
  GHashTableIter iter;
  gpointer value;
  demand->has_unreported = false;
  g_hash_table_iter_init (&iter, demand->shortfalls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct escrow_shortfall *shortfall = value;
      if (shortfall->refused_at_ms + SHORTFALL_TTL_MS <= now_ms)
        g_hash_table_iter_remove (&iter);
      else if (shortfall->exhausted_until_ms <= now_ms
               && budget_ids->len < max)
        g_array_append_val (budget_ids, shortfall->budget_id);
    }
}

struct escrow_budget *
escrow_demand_pop_changed (struct escrow_demand *demand)
{
  struct escrow_budget *budget = demand->changed_head;
  if (!budget)
    return NULL;
  bool last = budget->next_changed == budget;
  demand->changed_head = last ? NULL : budget->next_changed;
  if (last)
    demand->changed_tail = NULL;
  budget->next_changed = NULL;
  return budget;
}

void
escrow_demand_update_rate (struct escrow_budget *budget, uint64_t now_ms)
{
  uint32_t now_s = (uint32_t)(now_ms / MS_PER_SECOND);
  uint64_t spent = budget->spent_tokens + budget->written_off_tokens;
  if (budget->rate_start_s == 0)
    {
      budget->rate_start_s = now_s;
      budget->rate_start_spent_tokens = spent;
      return;
    }
  uint32_t span_s = now_s - budget->rate_start_s;
  if (span_s < RATE_SPAN_MIN_S)
    return;
  uint64_t used = spent > budget->rate_start_spent_tokens
                      ? spent - budget->rate_start_spent_tokens
                      : 0;
  uint64_t rate = used * SECONDS_PER_MINUTE / span_s;
  rate = (rate + budget->rate_tokens_per_min) / 2;
  budget->rate_tokens_per_min = (uint32_t)MIN (rate, UINT32_MAX);
  budget->rate_start_s = now_s;
  budget->rate_start_spent_tokens = spent;
}
