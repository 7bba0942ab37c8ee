#include "escrow_pool.h"

#include <stdlib.h>
#include <string.h>

#include "base_hash.h"
#include "escrow_policy.h"
#include "escrow_pool_state.h"

/* Maximum total of one budget, in tokens, so that sums never overflow. */
#define BUDGET_TOKENS_MAX (UINT64_C (1) << 60)

static void
answer (struct control_answer *result, enum control_status status,
        const char *text)
{
  result->status = status;
  result->leader_address = g_strdup ("");
  result->text = g_strdup (text);
}

static uint64_t
hash_top_up (const struct control_top_up_args *args)
{
  uint64_t content[2]
      = { base_budget_id (args->account, args->budget), args->tokens };
  return base_hash64 (content, sizeof content);
}

static const char *
refuse_top_up (const struct escrow_pool *pool,
               const struct control_top_up_args *args)
{
  if (!args->top_up_id[0] || !args->account[0] || !args->budget[0])
    return "a top-up needs an id, an account and a budget";
  if (args->tokens == 0)
    return "a top-up needs more than 0 tokens";
  struct pool_budget *budget
      = pool_budget_find (pool, base_budget_id (args->account, args->budget));
  uint64_t before = budget ? budget->topped_up_tokens : 0;
  if (args->tokens > BUDGET_TOKENS_MAX - before)
    return "the top-up would raise the budget above its limit of 2^60 tokens";
  return NULL;
}

/* Answers a top-up with an id that was accepted before. */
static void
repeat_answer (const struct pool_top_up *top_up,
               const struct control_top_up_args *args,
               struct control_top_up_result *result)
{
  if (top_up->content_hash != hash_top_up (args))
    {
      answer (&result->answer, CONTROL_CONFLICT,
              "the id was used for a top-up of another account, budget or "
              "amount");
      return;
    }
  answer (&result->answer, CONTROL_OK, "");
  result->topped_up_tokens = top_up->topped_up_tokens;
  result->unallocated_tokens = top_up->unallocated_tokens;
}

void
escrow_pool_top_up (struct escrow_pool *pool,
                    const struct control_top_up_args *args, uint64_t now_ms,
                    struct control_top_up_result *result)
{
  memset (result, 0, sizeof *result);
  struct pool_top_up *known
      = g_hash_table_lookup (pool->top_ups, args->top_up_id);
  if (known)
    {
      repeat_answer (known, args, result);
      return;
    }
  const char *refusal = refuse_top_up (pool, args);
  if (refusal)
    {
      answer (&result->answer, CONTROL_REFUSED, refusal);
      return;
    }
  struct pool_budget *budget = pool_budget_ensure (
      pool, base_budget_id (args->account, args->budget));
  budget->topped_up_tokens += args->tokens;
  budget->unallocated_tokens += args->tokens;
  answer (&result->answer, CONTROL_OK, "");
  result->topped_up_tokens = budget->topped_up_tokens;
  result->unallocated_tokens = budget->unallocated_tokens;
  pool_top_up_add (pool, g_strdup (args->top_up_id), hash_top_up (args),
                   result->topped_up_tokens, result->unallocated_tokens);
  escrow_policy_spread_top_up (pool, budget, args->tokens, now_ms);
}

/* Returns the index of a ledger incarnation, or -1 when it is fenced.  A new
   incarnation is added and fences the others of the same name. */
static int64_t
admit_ledger (struct escrow_pool *pool, const char *name, uint64_t incarnation)
{
  for (uint32_t i = 0; i < pool->ledgers->len; i++)
    {
      struct pool_ledger *ledger = pool_ledger_at (pool, i);
      if (ledger->incarnation == incarnation
          && g_str_equal (ledger->name, name))
        return ledger->fenced ? -1 : (int64_t)i;
    }
  for (uint32_t i = 0; i < pool->ledgers->len; i++)
    {
      struct pool_ledger *ledger = pool_ledger_at (pool, i);
      if (g_str_equal (ledger->name, name))
        ledger->fenced = true;
    }
  return pool_ledger_add (pool, name, incarnation);
}

static void
apply_returns (struct escrow_pool *pool, uint32_t ledger_index,
               const struct control_ledger_args *args, uint64_t now_ms)
{
  struct pool_ledger *ledger = pool_ledger_at (pool, ledger_index);
  for (u_int i = 0; i < args->returns.returns_len; i++)
    {
      const struct control_transfer *returned = &args->returns.returns_val[i];
      if (returned->sequence != ledger->return_ack_sequence + 1)
        continue;
      ledger->return_ack_sequence = returned->sequence;
      struct pool_budget *budget
          = pool_budget_find (pool, returned->budget_id);
      struct pool_share *share
          = budget ? pool_share_find (budget, ledger_index) : NULL;
      if (!share
          || returned->tokens > share->granted_tokens - share->returned_tokens)
        continue;
      share->returned_tokens += returned->tokens;
      budget->unallocated_tokens += returned->tokens;
      escrow_policy_grant_wanted (pool, budget, now_ms);
    }
}

/* Clears the recalls of the last answer: the ledger returns the tokens with
   this message, or the answer was lost. */
static void
clear_sent_recalls (struct escrow_pool *pool, uint32_t ledger_index)
{
  struct pool_ledger *ledger = pool_ledger_at (pool, ledger_index);
  for (guint i = 0; i < ledger->recalls_sent->len; i++)
    {
      uint64_t budget_id = g_array_index (ledger->recalls_sent, uint64_t, i);
      struct pool_budget *budget = pool_budget_find (pool, budget_id);
      struct pool_share *share = pool_share_find (budget, ledger_index);
      if (share->report)
        share->report->recall_sent_tokens = 0;
    }
  g_array_set_size (ledger->recalls_sent, 0);
}

static void
drop_acknowledged (struct escrow_pool *pool, uint32_t ledger_index,
                   uint64_t grant_ack_sequence)
{
  struct pool_ledger *ledger = pool_ledger_at (pool, ledger_index);
  guint count = 0;
  if (grant_ack_sequence > ledger->granted_sequence)
    return;
  while (count < ledger->grants->len)
    {
      struct control_transfer *grant
          = &g_array_index (ledger->grants, struct control_transfer, count);
      if (grant->sequence > grant_ack_sequence)
        break;
      struct pool_budget *budget = pool_budget_find (pool, grant->budget_id);
      pool_share_find (budget, ledger_index)->in_flight_tokens
          -= grant->tokens;
      count++;
    }
  g_array_remove_range (ledger->grants, 0, count);
  ledger->grant_ack_sequence
      = MAX (ledger->grant_ack_sequence, grant_ack_sequence);
}

/* Stores a ledger's report; drops it when all tokens of the share are free and
   nothing is wanted or recalled. */
static void
store_report (struct pool_share *share, const struct control_demand *demand,
              uint64_t now_ms)
{
  uint64_t coming = share->in_flight_tokens;
  uint64_t recalled = pool_share_report (share)->recall_unsent_tokens;
  uint64_t used = demand->want_tokens + demand->reserved_tokens
                  + demand->spent_tokens + demand->written_off_tokens
                  + demand->spend_rate_tokens;
  pool_share_drop_report (share);
  if (used == 0 && recalled == 0
      && demand->free_tokens == pool_share_free_tokens (share))
    return;
  struct pool_report *report = pool_share_ensure_report (share);
  report->recall_unsent_tokens = recalled;
  report->want_tokens
      = demand->want_tokens > coming ? demand->want_tokens - coming : 0;
  report->free_tokens = demand->free_tokens;
  report->reserved_tokens = demand->reserved_tokens;
  report->spent_tokens = demand->spent_tokens;
  report->written_off_tokens = demand->written_off_tokens;
  report->spend_rate_tokens = demand->spend_rate_tokens;
  report->reported_at_ms = now_ms;
}

/* Applies the report of one budget.  Returns true when the ledger wants tokens
   and none are left for it. */
static bool
apply_demand (struct escrow_pool *pool, uint32_t ledger_index,
              const struct control_demand *demand, uint64_t now_ms)
{
  struct pool_budget *budget = pool_budget_find (pool, demand->budget_id);
  if (!budget)
    return demand->want_tokens > 0;
  struct pool_share *share = pool_share_ensure (budget, ledger_index);
  store_report (share, demand, now_ms);
  return escrow_policy_handle_report (pool, budget, ledger_index, now_ms)
         && pool_share_report (share)->want_tokens > 0;
}

static void
add_recall (struct control_ledger_result *result, uint64_t budget_id,
            uint64_t tokens)
{
  if (result->recalls.recalls_len >= CONTROL_BATCH_MAX)
    return;
  struct control_recall *recall
      = &result->recalls.recalls_val[result->recalls.recalls_len++];
  recall->budget_id = budget_id;
  recall->tokens = tokens;
}

static void
send_recalls (struct escrow_pool *pool, uint32_t ledger_index,
              struct control_ledger_result *result)
{
  struct pool_ledger *ledger = pool_ledger_at (pool, ledger_index);
  guint room = CONTROL_BATCH_MAX - result->recalls.recalls_len;
  guint count = MIN (ledger->recalls_unsent->len, room);
  for (guint i = 0; i < count; i++)
    {
      uint64_t budget_id = g_array_index (ledger->recalls_unsent, uint64_t, i);
      struct pool_budget *budget = pool_budget_find (pool, budget_id);
      struct pool_share *share = pool_share_find (budget, ledger_index);
      struct pool_report *report = pool_share_ensure_report (share);
      add_recall (result, budget_id, report->recall_unsent_tokens);
      report->recall_sent_tokens = report->recall_unsent_tokens;
      report->free_tokens
          -= MIN (report->free_tokens, report->recall_unsent_tokens);
      report->recall_unsent_tokens = 0;
      g_array_append_val (ledger->recalls_sent, budget_id);
    }
  g_array_remove_range (ledger->recalls_unsent, 0, count);
}

static void
send_grants (const struct pool_ledger *ledger,
             struct control_ledger_result *result)
{
  guint count = MIN (ledger->grants->len, CONTROL_BATCH_MAX);
  result->grants.grants_len = count;
  if (count == 0)
    return;
  size_t bytes = count * sizeof (struct control_transfer);
  result->grants.grants_val = malloc (bytes);
  g_assert (result->grants.grants_val);
  memcpy (result->grants.grants_val, ledger->grants->data, bytes);
}

void
escrow_pool_exchange (struct escrow_pool *pool,
                      const struct control_ledger_args *args, uint64_t now_ms,
                      struct control_ledger_result *result)
{
  memset (result, 0, sizeof *result);
  int64_t admitted = admit_ledger (pool, args->ledger, args->incarnation);
  if (admitted < 0)
    {
      answer (&result->answer, CONTROL_FENCED,
              "a newer incarnation of the ledger took over");
      return;
    }
  uint32_t ledger_index = (uint32_t)admitted;
  struct pool_ledger *ledger = pool_ledger_at (pool, ledger_index);
  answer (&result->answer, CONTROL_OK, "");
  ledger->exchanged_at_ms = MAX (ledger->exchanged_at_ms, now_ms);
  drop_acknowledged (pool, ledger_index, args->grant_ack_sequence);
  clear_sent_recalls (pool, ledger_index);
  apply_returns (pool, ledger_index, args, now_ms);
  result->recalls.recalls_val
      = calloc (CONTROL_BATCH_MAX, sizeof (struct control_recall));
  g_assert (result->recalls.recalls_val);
  for (u_int i = 0; i < args->demands.demands_len; i++)
    {
      const struct control_demand *demand = &args->demands.demands_val[i];
      if (apply_demand (pool, ledger_index, demand, now_ms))
        add_recall (result, demand->budget_id, 0);
    }
  result->return_ack_sequence = ledger->return_ack_sequence;
  send_recalls (pool, ledger_index, result);
  send_grants (ledger, result);
}

void
escrow_pool_budget (struct escrow_pool *pool, uint64_t budget_id,
                    struct control_budget_result *result)
{
  memset (result, 0, sizeof *result);
  struct pool_budget *budget = pool_budget_find (pool, budget_id);
  if (!budget)
    {
      answer (&result->answer, CONTROL_NOT_FOUND, "no such budget");
      return;
    }
  answer (&result->answer, CONTROL_OK, "");
  result->budget_id = budget_id;
  result->topped_up_tokens = budget->topped_up_tokens;
  result->unallocated_tokens = budget->unallocated_tokens;
  u_int count = MIN (budget->share_count, WIRE_PEERS_MAX);
  result->shares.shares_len = count;
  if (count == 0)
    return;
  result->shares.shares_val = calloc (count, sizeof (struct control_share));
  g_assert (result->shares.shares_val);
  for (u_int i = 0; i < count; i++)
    {
      const struct pool_share *share = &budget->shares[i];
      struct pool_ledger *ledger = pool_ledger_at (pool, share->ledger);
      const struct pool_report *report = pool_share_report (share);
      struct control_share *out = &result->shares.shares_val[i];
      out->ledger = strdup (ledger->name);
      out->incarnation = ledger->incarnation;
      out->granted_tokens = share->granted_tokens;
      out->returned_tokens = share->returned_tokens;
      out->free_tokens = pool_share_free_tokens (share);
      out->reserved_tokens = report->reserved_tokens;
      out->spent_tokens = report->spent_tokens;
      out->written_off_tokens = report->written_off_tokens;
      out->reported_at_ms
          = share->report ? report->reported_at_ms : ledger->exchanged_at_ms;
      if (ledger->fenced)
        {
          uint64_t held = share->granted_tokens - share->returned_tokens;
          out->free_tokens = 0;
          out->reserved_tokens = 0;
          out->written_off_tokens = held - MIN (held, report->spent_tokens);
        }
    }
}
