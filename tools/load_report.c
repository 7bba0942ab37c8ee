#include "load_report.h"

#include <string.h>

#include "base_metrics.h"
#include "load_call.h"

/* Counts over all calls. */
struct report_sums
{
  uint64_t by_outcome[LOAD_WRONG + 1];
  /* Refusals for an exhausted budget although enough tokens were left. */
  uint64_t false_refusals;
  /* Non-idempotent requests that ran more than once. */
  uint64_t double_runs;
  /* Requests that ran although every answer had Cactus-Run: not-run. */
  uint64_t false_not_run;
  uint64_t budget_refusals;
  uint64_t attempts;
};

/* Latencies of one kind of request, in milliseconds. */
struct kind_times
{
  struct base_histogram *first_byte_ms;
  struct base_histogram *total_ms;
};

/* Lower bound of the tokens that a request reserves: its answer limit, and
   one for each byte of the prompt. */
static uint64_t
needed_tokens (const struct load_call *call)
{
  uint64_t prompt = call->plan.prompt ? strlen (call->plan.prompt) : 0;
  return call->plan.answer_tokens + prompt + 1;
}

/* Tokens of an account that are not billed at the end of the run. */
static uint64_t
tokens_left (const struct load_mix *mix, const struct load_oracle *oracle,
             const struct load_budgets *budgets, uint32_t account)
{
  char *name = load_mix_account_name (mix, account);
  uint64_t billed = load_oracle_account_billed (oracle, name);
  uint64_t bought = budgets->topped_up_tokens[account];
  g_free (name);
  return bought > billed ? bought - billed : 0;
}

static bool
is_budget_refusal (const struct load_call *call)
{
  return call->outcome == LOAD_REFUSED
         && strcmp (call->error_code, "budget_exhausted") == 0;
}

static void
add_call (struct report_sums *sums, const struct load_call *call,
          const struct load_oracle *oracle)
{
  const struct load_oracle_usage *served
      = load_oracle_find_usage (oracle, call->plan.key);
  uint32_t runs = served ? served->runs : 0;
  sums->by_outcome[call->outcome]++;
  sums->attempts += call->attempts;
  if (call->plan.kind->non_idempotent && runs > 1)
    sums->double_runs++;
  if (runs > 0 && call->not_run_attempts == call->attempts)
    sums->false_not_run++;
}

static uint64_t
sum_overspend (const struct load_mix *mix, const struct load_oracle *oracle,
               const struct load_budgets *budgets)
{
  uint64_t overspend = 0;
  for (uint32_t i = 0; i < mix->account_count; i++)
    {
      char *name = load_mix_account_name (mix, i);
      uint64_t served = load_oracle_account_served (oracle, name);
      if (served > budgets->topped_up_tokens[i])
        overspend += served - budgets->topped_up_tokens[i];
      g_free (name);
    }
  return overspend;
}

static json_t *
quantiles (const struct base_histogram *histogram)
{
  return json_pack (
      "{s:I,s:I,s:I}", "p50",
      (json_int_t)base_histogram_quantile (histogram, 0.50), "p95",
      (json_int_t)base_histogram_quantile (histogram, 0.95), "p99",
      (json_int_t)base_histogram_quantile (histogram, 0.99));
}

static json_t *
kind_report (const struct load_kind *kind, const GPtrArray *calls)
{
  struct kind_times times
      = { base_histogram_create (), base_histogram_create () };
  for (guint i = 0; i < calls->len; i++)
    {
      const struct load_call *call = calls->pdata[i];
      if (call->plan.kind != kind || call->outcome != LOAD_ANSWERED)
        continue;
      base_histogram_record (times.first_byte_ms,
                             call->first_byte_ms - call->arrived_ms);
      base_histogram_record (times.total_ms,
                             call->ended_ms - call->arrived_ms);
    }
  json_t *report = json_pack (
      "{s:I,s:o,s:o}", "answered",
      (json_int_t)base_histogram_count (times.total_ms), "first_byte_ms",
      quantiles (times.first_byte_ms), "total_ms", quantiles (times.total_ms));
  base_histogram_destroy (times.first_byte_ms);
  base_histogram_destroy (times.total_ms);
  return report;
}

static json_t *
refusals_by_code (const GPtrArray *calls)
{
  json_t *codes = json_object ();
  for (guint i = 0; i < calls->len; i++)
    {
      const struct load_call *call = calls->pdata[i];
      if (call->outcome != LOAD_REFUSED)
        continue;
      json_int_t count
          = json_integer_value (json_object_get (codes, call->error_code));
      json_object_set_new (codes, call->error_code, json_integer (count + 1));
    }
  return codes;
}

json_t *
load_report_make (const struct load_mix *mix, const GPtrArray *calls,
                  const struct load_oracle *oracle,
                  const struct load_budgets *budgets)
{
  struct report_sums sums = { 0 };
  for (guint i = 0; i < calls->len; i++)
    {
      const struct load_call *call = calls->pdata[i];
      add_call (&sums, call, oracle);
      if (!is_budget_refusal (call))
        continue;
      sums.budget_refusals++;
      if (tokens_left (mix, oracle, budgets, call->plan.account)
          >= needed_tokens (call))
        sums.false_refusals++;
    }
  json_t *kinds = json_object ();
  for (uint32_t i = 0; i < mix->kind_count; i++)
    json_object_set_new (kinds, mix->kinds[i].name,
                         kind_report (&mix->kinds[i], calls));
  return json_pack (
      "{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:o,s:o}",
      "requests", (json_int_t)calls->len, "answered",
      (json_int_t)sums.by_outcome[LOAD_ANSWERED], "refused",
      (json_int_t)sums.by_outcome[LOAD_REFUSED], "lost",
      (json_int_t)sums.by_outcome[LOAD_LOST], "cut_streams",
      (json_int_t)sums.by_outcome[LOAD_CUT], "wrong_answers",
      (json_int_t)sums.by_outcome[LOAD_WRONG], "budget_refusals",
      (json_int_t)sums.budget_refusals, "false_refusals",
      (json_int_t)sums.false_refusals, "overspend_tokens",
      (json_int_t)sum_overspend (mix, oracle, budgets), "double_runs",
      (json_int_t)sums.double_runs, "double_bills",
      (json_int_t)load_oracle_double_bills (oracle), "written_off_tokens",
      (json_int_t)load_oracle_written_off (oracle), "not_run_lies",
      (json_int_t)sums.false_not_run, "refusals", refusals_by_code (calls),
      "kinds", kinds);
}
