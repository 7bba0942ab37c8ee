#include <string.h>

#include "escrow_ledger_state.h"

/* Version of the snapshot's format. */
#define LEDGER_FORMAT 1

static void
save_budgets (const struct escrow_ledger *ledger, GByteArray *bytes)
{
  uint32_t count = escrow_budgets_count (ledger->budgets);
  escrow_put_u32 (bytes, count);
  for (uint32_t i = 0; i < count; i++)
    {
      const struct escrow_budget *budget
          = escrow_budgets_at (ledger->budgets, i);
      escrow_put_u64 (bytes, budget->budget_id);
      escrow_put_u64 (bytes, budget->granted_tokens);
      escrow_put_u64 (bytes, budget->returned_tokens);
      escrow_put_u64 (bytes, budget->spent_tokens);
      escrow_put_u64 (bytes, budget->written_off_tokens);
    }
}

static void
save_reservation (gpointer data, gpointer context)
{
  const struct escrow_reservation *reservation = data;
  GByteArray *bytes = context;
  escrow_put_u64 (bytes, reservation->ref.id);
  escrow_put_u64 (bytes, reservation->account_id);
  escrow_put_u64 (bytes, reservation->budget_id);
  escrow_put_raw (bytes, reservation->key, sizeof reservation->key);
  escrow_put_u64 (bytes, reservation->body_hash);
  escrow_put_u8 (bytes, reservation->key_from_caller);
  escrow_put_u64 (bytes, reservation->tokens);
  escrow_put_u64 (bytes, reservation->watermark_tokens);
}

static gint
compare_sessions (gconstpointer left, gconstpointer right)
{
  uint64_t a = ((const struct escrow_session *)left)->incarnation;
  uint64_t b = ((const struct escrow_session *)right)->incarnation;
  return a < b ? -1 : a > b;
}

static void
save_session (gpointer data, gpointer context)
{
  struct escrow_session *session = data;
  GByteArray *bytes = context;
  escrow_put_u64 (bytes, session->incarnation);
  escrow_put_string (bytes, session->router);
  escrow_put_u8 (bytes, session->open);
  escrow_put_u8 (bytes, session->fenced);
  escrow_put_u64 (bytes, session->highest_evicted_id);
  escrow_put_u64 (bytes, session->ended_ms);
  escrow_put_u32 (bytes, session->reservations.length);
  g_queue_foreach (&session->reservations, save_reservation, bytes);
}

static void
save_returns (const struct escrow_ledger *ledger, GByteArray *bytes)
{
  escrow_put_u64 (bytes, ledger->grant_sequence);
  escrow_put_u64 (bytes, ledger->return_sequence);
  escrow_put_u32 (bytes, ledger->returns->len);
  for (guint i = 0; i < ledger->returns->len; i++)
    {
      const struct control_transfer *transfer
          = &g_array_index (ledger->returns, struct control_transfer, i);
      escrow_put_u64 (bytes, transfer->sequence);
      escrow_put_u64 (bytes, transfer->budget_id);
      escrow_put_u64 (bytes, transfer->tokens);
    }
}

void
escrow_ledger_save (const struct escrow_ledger *ledger, GByteArray *bytes)
{
  GList *sessions = g_hash_table_get_values (ledger->sessions);
  sessions = g_list_sort (sessions, compare_sessions);
  escrow_put_u32 (bytes, LEDGER_FORMAT);
  escrow_put_u64 (bytes, ledger->last_ms);
  save_returns (ledger, bytes);
  save_budgets (ledger, bytes);
  escrow_put_u32 (bytes, g_hash_table_size (ledger->sessions));
  g_list_foreach (sessions, save_session, bytes);
  escrow_keys_save (ledger->keys, bytes);
  escrow_ended_save (ledger->ended_table, bytes);
  g_list_free (sessions);
}

static void
load_returns (struct escrow_ledger *ledger, struct escrow_reader *reader)
{
  ledger->grant_sequence = escrow_get_u64 (reader);
  ledger->return_sequence = escrow_get_u64 (reader);
  uint32_t count = escrow_get_u32 (reader);
  for (uint32_t i = 0; i < count && !reader->failed; i++)
    {
      struct control_transfer transfer;
      transfer.sequence = escrow_get_u64 (reader);
      transfer.budget_id = escrow_get_u64 (reader);
      transfer.tokens = escrow_get_u64 (reader);
      g_array_append_val (ledger->returns, transfer);
    }
}

static void
load_budgets (struct escrow_ledger *ledger, struct escrow_reader *reader)
{
  uint32_t count = escrow_get_u32 (reader);
  for (uint32_t i = 0; i < count && !reader->failed; i++)
    {
      struct escrow_budget *budget
          = escrow_budgets_ensure (ledger->budgets, escrow_get_u64 (reader));
      budget->granted_tokens = escrow_get_u64 (reader);
      budget->returned_tokens = escrow_get_u64 (reader);
      budget->spent_tokens = escrow_get_u64 (reader);
      budget->written_off_tokens = escrow_get_u64 (reader);
      escrow_demand_mark_changed (ledger->demand, budget);
    }
}

static void
load_reservation (struct escrow_ledger *ledger, struct escrow_session *session,
                  struct escrow_reader *reader)
{
  struct escrow_entry entry = { .kind = ESCROW_ENTRY_RESERVE };
  entry.ref.incarnation = session->incarnation;
  entry.ref.id = escrow_get_u64 (reader);
  entry.account_id = escrow_get_u64 (reader);
  entry.budget_id = escrow_get_u64 (reader);
  escrow_get_raw (reader, entry.key, sizeof entry.key);
  entry.body_hash = escrow_get_u64 (reader);
  entry.flag = escrow_get_u8 (reader) != 0;
  entry.tokens = escrow_get_u64 (reader);
  uint64_t watermark_tokens = escrow_get_u64 (reader);
  struct escrow_budget *budget
      = escrow_budgets_find (ledger->budgets, entry.budget_id);
  if (!budget || escrow_ledger_reservation (ledger, entry.ref)
      || escrow_budget_free_tokens (budget) < entry.tokens
      || watermark_tokens > entry.tokens)
    {
      reader->failed = true;
      return;
    }
  budget->reserved_tokens += entry.tokens;
  struct escrow_reservation *reservation
      = escrow_ledger_add_reservation (ledger, session, &entry);
  reservation->watermark_tokens = watermark_tokens;
}

static void
load_session (struct escrow_ledger *ledger, struct escrow_reader *reader)
{
  uint64_t incarnation = escrow_get_u64 (reader);
  char *router = escrow_get_string (reader);
  if (escrow_ledger_session (ledger, incarnation))
    reader->failed = true;
  else
    escrow_ledger_add_session (ledger, incarnation, router);
  g_free (router);
  struct escrow_session *session = escrow_ledger_session (ledger, incarnation);
  session->open = escrow_get_u8 (reader) != 0;
  session->fenced = escrow_get_u8 (reader) != 0;
  session->highest_evicted_id = escrow_get_u64 (reader);
  session->ended_ms = escrow_get_u64 (reader);
  uint32_t count = escrow_get_u32 (reader);
  for (uint32_t i = 0; i < count && !reader->failed; i++)
    load_reservation (ledger, session, reader);
}

int
escrow_ledger_load (struct escrow_ledger *ledger, const void *data,
                    size_t bytes)
{
  struct escrow_reader reader = { data, bytes, 0, false };
  if (escrow_get_u32 (&reader) != LEDGER_FORMAT)
    return -1;
  ledger->last_ms = escrow_get_u64 (&reader);
  load_returns (ledger, &reader);
  load_budgets (ledger, &reader);
  uint32_t sessions = escrow_get_u32 (&reader);
  for (uint32_t i = 0; i < sessions && !reader.failed; i++)
    load_session (ledger, &reader);
  escrow_keys_load (ledger->keys, &reader);
  escrow_ended_load (ledger->ended_table, &reader);
  return reader.failed || reader.offset != bytes ? -1 : 0;
}
