#include <stdlib.h>
#include <string.h>

#include "escrow_ledger_state.h"

static void
fill_demand (struct escrow_ledger *ledger, uint64_t budget_id, uint64_t now_ms,
             struct control_demand *demand)
{
  struct escrow_budget *budget
      = escrow_budgets_find (ledger->budgets, budget_id);
  const struct escrow_shortfall *shortfall
      = escrow_demand_find (ledger->demand, budget_id);
  memset (demand, 0, sizeof *demand);
  demand->budget_id = budget_id;
  demand->want_tokens = shortfall ? shortfall->tokens : 0;
  if (!budget)
    return;
  escrow_demand_update_rate (budget, now_ms);
  demand->free_tokens = escrow_budget_free_tokens (budget);
  demand->reserved_tokens = budget->reserved_tokens;
  demand->spent_tokens = budget->spent_tokens;
  demand->written_off_tokens = budget->written_off_tokens;
  demand->spend_rate_tokens = budget->rate_tokens_per_min;
}

/* Marks the budgets of a report that was not answered as changed again, so
   that the next reports include them. */
static void
mark_unanswered (struct escrow_ledger *ledger)
{
  for (guint i = 0; i < ledger->reported_budget_ids->len; i++)
    {
      uint64_t id = g_array_index (ledger->reported_budget_ids, uint64_t, i);
      struct escrow_budget *budget = escrow_budgets_find (ledger->budgets, id);
      if (budget)
        escrow_demand_mark_changed (ledger->demand, budget);
    }
  g_array_set_size (ledger->reported_budget_ids, 0);
}

static void
fill_demands (struct escrow_ledger *ledger, uint64_t now_ms,
              uint32_t demands_max, struct control_ledger_args *args)
{
  struct escrow_budget *budget;
  GArray *ids = ledger->reported_budget_ids;
  mark_unanswered (ledger);
  escrow_demand_collect (ledger->demand, now_ms, demands_max, ids);
  while (ids->len < demands_max
         && (budget = escrow_demand_pop_changed (ledger->demand)))
    if (!escrow_demand_find (ledger->demand, budget->budget_id))
      g_array_append_val (ids, budget->budget_id);
  args->demands.demands_len = ids->len;
  args->demands.demands_val
      = calloc (ids->len + 1, sizeof (struct control_demand));
  g_assert (args->demands.demands_val);
  for (guint i = 0; i < ids->len; i++)
    fill_demand (ledger, g_array_index (ids, uint64_t, i), now_ms,
                 &args->demands.demands_val[i]);
}

void
escrow_ledger_report (struct escrow_ledger *ledger, uint64_t now_ms,
                      uint32_t demands_max, struct control_ledger_args *args)
{
  guint count = MIN (ledger->returns->len, CONTROL_BATCH_MAX);
  size_t bytes = count * sizeof (struct control_transfer);
  args->grant_ack_sequence = ledger->grant_sequence;
  args->returns.returns_len = count;
  args->returns.returns_val = malloc (bytes + 1);
  g_assert (args->returns.returns_val);
  if (bytes > 0)
    memcpy (args->returns.returns_val, ledger->returns->data, bytes);
  fill_demands (ledger, now_ms, MIN (demands_max, CONTROL_BATCH_MAX), args);
}

static void
apply_grants (struct escrow_ledger *ledger,
              const struct control_ledger_result *result, uint64_t now_ms)
{
  for (u_int i = 0; i < result->grants.grants_len; i++)
    {
      const struct control_transfer *grant = &result->grants.grants_val[i];
      struct escrow_entry entry
          = { .kind = ESCROW_ENTRY_GRANT, .now_ms = now_ms };
      entry.ref.id = grant->sequence;
      entry.budget_id = grant->budget_id;
      entry.tokens = grant->tokens;
      if (grant->sequence == ledger->grant_sequence + 1)
        escrow_ledger_commit (ledger, &entry);
    }
}

static void
return_tokens (struct escrow_ledger *ledger,
               const struct control_recall *recall, uint64_t now_ms)
{
  const struct escrow_budget *budget
      = escrow_budgets_find (ledger->budgets, recall->budget_id);
  uint64_t available = budget ? escrow_budget_free_tokens (budget) : 0;
  struct escrow_entry entry
      = { .kind = ESCROW_ENTRY_RETURN, .now_ms = now_ms };
  entry.ref.id = ledger->return_sequence + 1;
  entry.budget_id = recall->budget_id;
  entry.tokens = MIN (available, recall->tokens);
  if (entry.tokens > 0)
    escrow_ledger_commit (ledger, &entry);
}

static void
apply_recalls (struct escrow_ledger *ledger,
               const struct control_ledger_result *result, uint64_t now_ms)
{
  for (u_int i = 0; i < result->recalls.recalls_len; i++)
    {
      const struct control_recall *recall = &result->recalls.recalls_val[i];
      if (recall->tokens == 0)
        escrow_demand_set_exhausted (ledger->demand, recall->budget_id,
                                     now_ms);
      else
        return_tokens (ledger, recall, now_ms);
    }
}

void
escrow_ledger_handle_answer (struct escrow_ledger *ledger,
                             const struct control_ledger_result *result,
                             uint64_t now_ms)
{
  struct escrow_entry ack
      = { .kind = ESCROW_ENTRY_RETURN_ACK, .now_ms = now_ms };
  ack.ref.id = result->return_ack_sequence;
  g_array_set_size (ledger->reported_budget_ids, 0);
  bool acknowledged
      = ledger->returns->len > 0
        && g_array_index (ledger->returns, struct control_transfer, 0).sequence
               <= ack.ref.id;
  if (acknowledged && ack.ref.id <= ledger->return_sequence)
    escrow_ledger_commit (ledger, &ack);
  apply_grants (ledger, result, now_ms);
  apply_recalls (ledger, result, now_ms);
}

bool
escrow_ledger_awaits_control (const struct escrow_ledger *ledger)
{
  return ledger->returns->len > 0
         || escrow_demand_awaits_answer (ledger->demand);
}

bool
escrow_ledger_has_unreported_shortfall (const struct escrow_ledger *ledger)
{
  return escrow_demand_has_unreported (ledger->demand);
}

void
escrow_ledger_set_connected (struct escrow_ledger *ledger, bool connected)
{
  escrow_demand_set_connected (ledger->demand, connected);
}
