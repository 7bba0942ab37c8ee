#include "ledger_metrics.h"

static const char *const op_names[LEDGER_OP_KIND_COUNT]
    = { NULL, "reserve", "extend", "settle", "release" };
static const char *const status_names[LEDGER_STATUS_COUNT] = {
  "ok",           "no_budget",           "duplicate_done", "duplicate_open",
  "key_conflict", "unknown_reservation", "session_lapsed", "unavailable",
  "bad_request"
};

static void
create_op_counters (struct ledger_metrics *metrics)
{
  for (int op = 1; op < LEDGER_OP_KIND_COUNT; op++)
    for (int status = 0; status < LEDGER_STATUS_COUNT; status++)
      {
        char *labels = g_strdup_printf ("op=\"%s\",status=\"%s\"",
                                        op_names[op], status_names[status]);
        metrics->ops[op][status] = base_metrics_counter (
            metrics->set, "cactus_ledger_ops_total", labels);
        g_free (labels);
      }
}

void
ledger_metrics_open (struct ledger_metrics *metrics)
{
  struct base_metrics *set = base_metrics_create ();
  metrics->set = set;
  create_op_counters (metrics);
  metrics->billed_tokens
      = base_metrics_counter (set, "cactus_ledger_billed_tokens_total", NULL);
  metrics->orphans
      = base_metrics_counter (set, "cactus_ledger_orphans_total", NULL);
  metrics->commits
      = base_metrics_counter (set, "cactus_ledger_commits_total", NULL);
  metrics->commit_failures = base_metrics_counter (
      set, "cactus_ledger_commit_failures_total", NULL);
  metrics->exchanges
      = base_metrics_counter (set, "cactus_ledger_exchanges_total", NULL);
  metrics->exchange_failures = base_metrics_counter (
      set, "cactus_ledger_exchange_failures_total", NULL);
  metrics->connected
      = base_metrics_gauge (set, "cactus_ledger_control_connected", NULL);
  metrics->budgets = base_metrics_gauge (set, "cactus_ledger_budgets", NULL);
  metrics->budget_bytes
      = base_metrics_gauge (set, "cactus_ledger_budget_bytes", NULL);
  metrics->reservations
      = base_metrics_gauge (set, "cactus_ledger_reservations", NULL);
  metrics->keys = base_metrics_gauge (set, "cactus_ledger_keys", NULL);
  metrics->log_bytes
      = base_metrics_gauge (set, "cactus_ledger_log_bytes", NULL);
  metrics->commit_us
      = base_metrics_histogram (set, "cactus_ledger_commit_us", NULL);
}

void
ledger_metrics_close (struct ledger_metrics *metrics)
{
  base_metrics_destroy (metrics->set);
}

void
ledger_metrics_count_op (struct ledger_metrics *metrics,
                         const struct ledger_op *op,
                         const struct ledger_op_result *result)
{
  if (op->kind < 1 || op->kind >= LEDGER_OP_KIND_COUNT
      || result->status >= LEDGER_STATUS_COUNT)
    return;
  base_counter_add (metrics->ops[op->kind][result->status], 1);
  if (op->kind == LEDGER_SETTLE && result->status == LEDGER_OK)
    base_counter_add (metrics->billed_tokens, result->tokens);
}

void
ledger_metrics_set_gauges (struct ledger_metrics *metrics,
                           struct escrow_ledger_counts counts,
                           uint64_t log_bytes)
{
  base_counter_set (metrics->budgets, counts.budgets);
  base_counter_set (metrics->budget_bytes, counts.budget_bytes);
  base_counter_set (metrics->reservations, counts.reservations);
  base_counter_set (metrics->keys, counts.keys);
  base_counter_set (metrics->log_bytes, log_bytes);
}
