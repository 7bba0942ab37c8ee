#include <string.h>

#include "escrow_bytes.h"
#include "escrow_pool_state.h"

/* Version of the snapshot's format. */
#define POOL_FORMAT 4
/* Bit that is set in a share's encoded ledger index when the share's report
   follows it. */
#define REPORT_FOLLOWS (UINT64_C (1) << 32)

static gint
compare_ids (gconstpointer left, gconstpointer right)
{
  uint64_t a = *(const uint64_t *)left;
  uint64_t b = *(const uint64_t *)right;
  return a < b ? -1 : a > b;
}

/* Ids of @p budgets in ascending order, so that equal states are saved as
   equal bytes. */
static GArray *
sorted_budget_ids (GHashTable *budgets)
{
  GHashTableIter iter;
  gpointer key;
  GArray *ids = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  g_hash_table_iter_init (&iter, budgets);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    g_array_append_vals (ids, key, 1);
  g_array_sort (ids, compare_ids);
  return ids;
}

static void
save_ids (const GArray *ids, GByteArray *bytes)
{
  escrow_put_u32 (bytes, ids->len);
  for (guint i = 0; i < ids->len; i++)
    escrow_put_u64 (bytes, g_array_index (ids, uint64_t, i));
}

static void
save_ledger (const struct pool_ledger *ledger, GByteArray *bytes)
{
  escrow_put_string (bytes, ledger->name);
  escrow_put_u64 (bytes, ledger->incarnation);
  escrow_put_u8 (bytes, ledger->fenced);
  escrow_put_u64 (bytes, ledger->exchanged_at_ms);
  escrow_put_u64 (bytes, ledger->granted_sequence);
  escrow_put_u64 (bytes, ledger->grant_ack_sequence);
  escrow_put_u64 (bytes, ledger->return_ack_sequence);
  escrow_put_u32 (bytes, ledger->grants->len);
  for (guint i = 0; i < ledger->grants->len; i++)
    {
      const struct control_transfer *grant
          = &g_array_index (ledger->grants, struct control_transfer, i);
      escrow_put_u64 (bytes, grant->sequence);
      escrow_put_u64 (bytes, grant->budget_id);
      escrow_put_u64 (bytes, grant->tokens);
    }
  save_ids (ledger->recalls_unsent, bytes);
  save_ids (ledger->recalls_sent, bytes);
}

static void
save_report (const struct pool_report *report, GByteArray *bytes)
{
  const uint64_t values[]
      = { report->recall_unsent_tokens, report->recall_sent_tokens,
          report->want_tokens,          report->free_tokens,
          report->reserved_tokens,      report->spent_tokens,
          report->written_off_tokens,   report->spend_rate_tokens,
          report->reported_at_ms };
  escrow_put_u64s (bytes, values, G_N_ELEMENTS (values));
}

static void
save_share (const struct pool_share *share, GByteArray *bytes)
{
  uint64_t head = share->ledger | (share->report ? REPORT_FOLLOWS : 0);
  const uint64_t values[]
      = { head, share->granted_tokens, share->returned_tokens,
          share->in_flight_tokens };
  escrow_put_u64s (bytes, values, G_N_ELEMENTS (values));
  if (share->report)
    save_report (share->report, bytes);
}

static void
save_budget (const struct pool_budget *budget, GByteArray *bytes)
{
  escrow_put_u64 (bytes, budget->budget_id);
  escrow_put_u64 (bytes, budget->topped_up_tokens);
  escrow_put_u64 (bytes, budget->unallocated_tokens);
  escrow_put_u32 (bytes, budget->share_count);
  for (uint32_t i = 0; i < budget->share_count; i++)
    save_share (&budget->shares[i], bytes);
}

static void
save_top_ups (const struct escrow_pool *pool, GByteArray *bytes)
{
  GList *ids = g_hash_table_get_keys (pool->top_ups);
  ids = g_list_sort (ids, (GCompareFunc)strcmp);
  escrow_put_u32 (bytes, g_hash_table_size (pool->top_ups));
  for (GList *node = ids; node; node = node->next)
    {
      const struct pool_top_up *top_up
          = g_hash_table_lookup (pool->top_ups, node->data);
      escrow_put_string (bytes, top_up->id);
      escrow_put_u64 (bytes, top_up->content_hash);
      escrow_put_u64 (bytes, top_up->topped_up_tokens);
      escrow_put_u64 (bytes, top_up->unallocated_tokens);
    }
  g_list_free (ids);
}

void
escrow_pool_save (const struct escrow_pool *pool, GByteArray *bytes)
{
  GArray *ids = sorted_budget_ids (pool->budgets);
  escrow_put_u32 (bytes, POOL_FORMAT);
  escrow_put_u32 (bytes, pool->ledgers->len);
  for (guint i = 0; i < pool->ledgers->len; i++)
    save_ledger (pool_ledger_at (pool, i), bytes);
  escrow_put_u32 (bytes, ids->len);
  for (guint i = 0; i < ids->len; i++)
    {
      uint64_t id = g_array_index (ids, uint64_t, i);
      save_budget (pool_budget_find (pool, id), bytes);
    }
  save_top_ups (pool, bytes);
  g_array_unref (ids);
}

static void
load_ids (GArray *ids, struct escrow_reader *reader)
{
  uint32_t count = escrow_get_u32 (reader);
  for (uint32_t i = 0; i < count && !reader->failed; i++)
    {
      uint64_t id = escrow_get_u64 (reader);
      g_array_append_val (ids, id);
    }
}

static void
load_ledger (struct escrow_pool *pool, struct escrow_reader *reader)
{
  char *name = escrow_get_string (reader);
  uint64_t incarnation = escrow_get_u64 (reader);
  uint32_t ledger_index = pool_ledger_add (pool, name, incarnation);
  struct pool_ledger *ledger = pool_ledger_at (pool, ledger_index);
  g_free (name);
  ledger->fenced = escrow_get_u8 (reader) != 0;
  ledger->exchanged_at_ms = escrow_get_u64 (reader);
  ledger->granted_sequence = escrow_get_u64 (reader);
  ledger->grant_ack_sequence = escrow_get_u64 (reader);
  ledger->return_ack_sequence = escrow_get_u64 (reader);
  uint32_t grants = escrow_get_u32 (reader);
  for (uint32_t i = 0; i < grants && !reader->failed; i++)
    {
      struct control_transfer grant;
      grant.sequence = escrow_get_u64 (reader);
      grant.budget_id = escrow_get_u64 (reader);
      grant.tokens = escrow_get_u64 (reader);
      g_array_append_val (ledger->grants, grant);
    }
  load_ids (ledger->recalls_unsent, reader);
  load_ids (ledger->recalls_sent, reader);
}

static void
load_report (struct pool_report *report, struct escrow_reader *reader)
{
  report->recall_unsent_tokens = escrow_get_u64 (reader);
  report->recall_sent_tokens = escrow_get_u64 (reader);
  report->want_tokens = escrow_get_u64 (reader);
  report->free_tokens = escrow_get_u64 (reader);
  report->reserved_tokens = escrow_get_u64 (reader);
  report->spent_tokens = escrow_get_u64 (reader);
  report->written_off_tokens = escrow_get_u64 (reader);
  report->spend_rate_tokens = escrow_get_u64 (reader);
  report->reported_at_ms = escrow_get_u64 (reader);
}

static void
load_share (struct pool_budget *budget, struct escrow_reader *reader)
{
  uint64_t head = escrow_get_u64 (reader);
  struct pool_share *share = pool_share_ensure (budget, (uint32_t)head);
  share->granted_tokens = escrow_get_u64 (reader);
  share->returned_tokens = escrow_get_u64 (reader);
  share->in_flight_tokens = escrow_get_u64 (reader);
  if (head & REPORT_FOLLOWS)
    load_report (pool_share_ensure_report (share), reader);
}

static void
load_budget (struct escrow_pool *pool, struct escrow_reader *reader)
{
  uint64_t budget_id = escrow_get_u64 (reader);
  if (pool_budget_find (pool, budget_id))
    {
      reader->failed = true;
      return;
    }
  struct pool_budget *budget = pool_budget_ensure (pool, budget_id);
  budget->topped_up_tokens = escrow_get_u64 (reader);
  budget->unallocated_tokens = escrow_get_u64 (reader);
  uint32_t shares = escrow_get_u32 (reader);
  for (uint32_t i = 0; i < shares && !reader->failed; i++)
    load_share (budget, reader);
}

static void
load_top_up (struct escrow_pool *pool, struct escrow_reader *reader)
{
  char *id = escrow_get_string (reader);
  uint64_t content_hash = escrow_get_u64 (reader);
  uint64_t topped_up = escrow_get_u64 (reader);
  uint64_t unallocated = escrow_get_u64 (reader);
  if (g_hash_table_contains (pool->top_ups, id))
    {
      reader->failed = true;
      g_free (id);
      return;
    }
  pool_top_up_add (pool, id, content_hash, topped_up, unallocated);
}

/* Whether the ledger has a share of each of the budgets. */
static bool
shares_exist (const struct escrow_pool *pool, uint32_t ledger,
              const GArray *ids)
{
  for (guint i = 0; i < ids->len; i++)
    {
      struct pool_budget *budget
          = pool_budget_find (pool, g_array_index (ids, uint64_t, i));
      if (!budget || !pool_share_find (budget, ledger))
        return false;
    }
  return true;
}

/* Whether every ledger index and budget id in the state refers to an existing
   object. */
static bool
references_valid (const struct escrow_pool *pool)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, pool->budgets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct pool_budget *budget = value;
      for (uint32_t i = 0; i < budget->share_count; i++)
        if (budget->shares[i].ledger >= pool->ledgers->len)
          return false;
    }
  for (guint i = 0; i < pool->ledgers->len; i++)
    {
      const struct pool_ledger *ledger = pool_ledger_at (pool, i);
      for (guint j = 0; j < ledger->grants->len; j++)
        {
          uint64_t id
              = g_array_index (ledger->grants, struct control_transfer, j)
                    .budget_id;
          struct pool_budget *budget = pool_budget_find (pool, id);
          if (!budget || !pool_share_find (budget, i))
            return false;
        }
      if (!shares_exist (pool, i, ledger->recalls_unsent)
          || !shares_exist (pool, i, ledger->recalls_sent))
        return false;
    }
  return true;
}

int
escrow_pool_load (struct escrow_pool *pool, const uint8_t *data, size_t bytes,
                  size_t *used)
{
  struct escrow_reader reader = { data, bytes, 0, false };
  if (escrow_get_u32 (&reader) != POOL_FORMAT)
    return -1;
  uint32_t ledgers = escrow_get_u32 (&reader);
  for (uint32_t i = 0; i < ledgers && !reader.failed; i++)
    load_ledger (pool, &reader);
  uint32_t budgets = escrow_get_u32 (&reader);
  for (uint32_t i = 0; i < budgets && !reader.failed; i++)
    load_budget (pool, &reader);
  uint32_t top_ups = escrow_get_u32 (&reader);
  for (uint32_t i = 0; i < top_ups && !reader.failed; i++)
    load_top_up (pool, &reader);
  *used = reader.offset;
  return !reader.failed && references_valid (pool) ? 0 : -1;
}

static void
audit_budget (const struct pool_budget *budget, struct base_findings *findings)
{
  uint64_t held = 0;
  char place[40];
  g_snprintf (place, sizeof place, "budget %016" G_GINT64_MODIFIER "x",
              budget->budget_id);
  for (uint32_t i = 0; i < budget->share_count; i++)
    {
      const struct pool_share *share = &budget->shares[i];
      if (share->returned_tokens > share->granted_tokens)
        base_findings_add (findings, place,
                           "share %u returned more tokens than it was granted",
                           i);
      held += share->granted_tokens - share->returned_tokens;
    }
  if (budget->topped_up_tokens != budget->unallocated_tokens + held)
    base_findings_add (
        findings, place,
        "topped up %" G_GUINT64_FORMAT ", unallocated %" G_GUINT64_FORMAT
        ", at ledgers %" G_GUINT64_FORMAT,
        budget->topped_up_tokens, budget->unallocated_tokens, held);
}

void
escrow_pool_audit (const struct escrow_pool *pool,
                   struct base_findings *findings)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, pool->budgets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    audit_budget (value, findings);
}
