#include "escrow_ledger_state.h"

/* Sums the tokens of open reservations by budget id. */
static GHashTable *
sum_reservations (const struct escrow_ledger *ledger)
{
  GHashTableIter iter;
  gpointer value;
  GHashTable *sums
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  g_hash_table_iter_init (&iter, ledger->reservations);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct escrow_reservation *reservation = value;
      uint64_t *sum = g_hash_table_lookup (sums, &reservation->budget_id);
      if (!sum)
        {
          sum = g_new0 (uint64_t, 1);
          g_hash_table_insert (sums,
                               g_memdup2 (&reservation->budget_id,
                                          sizeof reservation->budget_id),
                               sum);
        }
      *sum += reservation->tokens;
    }
  return sums;
}

static void
audit_budget (const struct escrow_budget *budget, const uint64_t *reserved,
              struct base_findings *findings)
{
  char place[40];
  uint64_t used = budget->returned_tokens + budget->reserved_tokens
                  + budget->spent_tokens + budget->written_off_tokens;
  g_snprintf (place, sizeof place, "budget %016" G_GINT64_MODIFIER "x",
              budget->budget_id);
  if (used > budget->granted_tokens)
    base_findings_add (findings, place,
                       "uses %" G_GUINT64_FORMAT
                       " tokens of %" G_GUINT64_FORMAT " granted",
                       used, budget->granted_tokens);
  if (budget->reserved_tokens != (reserved ? *reserved : 0))
    base_findings_add (
        findings, place,
        "reserved tokens differ from the sum of the open reservations");
}

void
escrow_ledger_audit (const struct escrow_ledger *ledger,
                     struct base_findings *findings)
{
  GHashTable *sums = sum_reservations (ledger);
  uint32_t count = escrow_budgets_count (ledger->budgets);
  for (uint32_t i = 0; i < count; i++)
    {
      const struct escrow_budget *budget
          = escrow_budgets_at (ledger->budgets, i);
      const uint64_t *reserved
          = g_hash_table_lookup (sums, &budget->budget_id);
      audit_budget (budget, reserved, findings);
    }
  g_hash_table_unref (sums);
}
