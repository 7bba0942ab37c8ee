#include "escrow_ledger.h"

#include <string.h>

#include "base_hash.h"
#include "escrow_ledger_state.h"

static void
free_session (gpointer data)
{
  struct escrow_session *session = data;
  g_free (session->router);
  g_free (session);
}

static void
note_evicted (void *context, struct escrow_ref ref)
{
  struct escrow_session *session
      = escrow_ledger_session (context, ref.incarnation);
  if (session)
    session->highest_evicted_id = MAX (session->highest_evicted_id, ref.id);
}

struct escrow_ledger *
escrow_ledger_create (void)
{
  struct escrow_ledger *ledger = g_new0 (struct escrow_ledger, 1);
  ledger->budgets = escrow_budgets_create ();
  ledger->keys = escrow_keys_create (ESCROW_KEY_WINDOW_MS, ESCROW_KEYS_MAX);
  ledger->ended_table = escrow_ended_create (note_evicted, ledger);
  ledger->demand = escrow_demand_create ();
  ledger->sessions = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                            free_session);
  ledger->reservations = g_hash_table_new_full (
      escrow_ref_hash, escrow_ref_equal, NULL, g_free);
  ledger->returns
      = g_array_new (FALSE, FALSE, sizeof (struct control_transfer));
  ledger->reported_budget_ids = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  return ledger;
}

void
escrow_ledger_destroy (struct escrow_ledger *ledger)
{
  if (!ledger)
    return;
  g_hash_table_unref (ledger->reservations);
  g_hash_table_unref (ledger->sessions);
  g_array_unref (ledger->returns);
  g_array_unref (ledger->reported_budget_ids);
  escrow_demand_destroy (ledger->demand);
  escrow_ended_destroy (ledger->ended_table);
  escrow_keys_destroy (ledger->keys);
  escrow_budgets_destroy (ledger->budgets);
  g_free (ledger);
}

void
escrow_ledger_set_journal (struct escrow_ledger *ledger, GByteArray *journal)
{
  ledger->journal = journal;
}

void
escrow_ledger_commit (struct escrow_ledger *ledger,
                      const struct escrow_entry *entry)
{
  struct escrow_entry timed = *entry;
  timed.now_ms = MAX (entry->now_ms, ledger->last_ms);
  int status = escrow_ledger_apply (ledger, &timed);
  g_assert (status == 0);
  if (ledger->journal)
    escrow_entry_put (&timed, ledger->journal);
}

int
escrow_ledger_replay (struct escrow_ledger *ledger, const void *data,
                      size_t bytes)
{
  struct escrow_reader reader = { data, bytes, 0, false };
  struct escrow_entry entry;
  while (reader.offset < bytes)
    if (escrow_entry_get (&entry, &reader) != 0
        || escrow_ledger_apply (ledger, &entry) != 0)
      return -1;
  return 0;
}

/* Writes off the open reservations of a session and ends it.  Returns the
   number of reservations. */
static uint32_t
end_session (struct escrow_ledger *ledger, struct escrow_session *session,
             bool fenced, uint64_t now_ms)
{
  uint32_t count = 0;
  while (session->reservations.head)
    {
      const struct escrow_reservation *orphan
          = session->reservations.head->data;
      struct escrow_entry write_off
          = { .kind = ESCROW_ENTRY_WRITE_OFF, .now_ms = now_ms };
      write_off.ref = orphan->ref;
      write_off.account_id = orphan->account_id;
      write_off.budget_id = orphan->budget_id;
      memcpy (write_off.key, orphan->key, sizeof write_off.key);
      write_off.tokens = orphan->watermark_tokens ? orphan->watermark_tokens
                                                  : orphan->tokens;
      escrow_ledger_commit (ledger, &write_off);
      count++;
    }
  struct escrow_entry end
      = { .kind = ESCROW_ENTRY_SESSION_END, .now_ms = now_ms, .flag = fenced };
  end.ref.incarnation = session->incarnation;
  escrow_ledger_commit (ledger, &end);
  return count;
}

/* Fences the router's other incarnations. */
static void
fence_others (struct escrow_ledger *ledger, const char *router,
              uint64_t incarnation, uint64_t now_ms)
{
  GList *sessions = g_hash_table_get_values (ledger->sessions);
  for (GList *node = sessions; node; node = node->next)
    {
      struct escrow_session *session = node->data;
      if (session->incarnation != incarnation && !session->fenced
          && g_str_equal (session->router, router))
        end_session (ledger, session, true, now_ms);
    }
  g_list_free (sessions);
}

bool
escrow_ledger_open_session (struct escrow_ledger *ledger, const char *router,
                            uint64_t incarnation, uint64_t now_ms)
{
  struct escrow_session *session = escrow_ledger_session (ledger, incarnation);
  if (session && session->fenced)
    return false;
  if (session && session->open)
    {
      session->renewed_ms = now_ms;
      return true;
    }
  if (!session)
    fence_others (ledger, router, incarnation, now_ms);
  struct escrow_entry entry
      = { .kind = ESCROW_ENTRY_SESSION, .now_ms = now_ms };
  entry.ref.incarnation = incarnation;
  g_strlcpy (entry.router, router, sizeof entry.router);
  escrow_ledger_commit (ledger, &entry);
  escrow_ledger_session (ledger, incarnation)->renewed_ms = now_ms;
  return true;
}

uint32_t
escrow_ledger_expire_sessions (struct escrow_ledger *ledger, uint64_t lease_ms,
                               uint64_t now_ms)
{
  uint32_t count = 0;
  GList *sessions = g_hash_table_get_values (ledger->sessions);
  for (GList *node = sessions; node; node = node->next)
    {
      struct escrow_session *session = node->data;
      if (session->open && session->renewed_ms + lease_ms <= now_ms)
        count += end_session (ledger, session, false, now_ms);
    }
  g_list_free (sessions);
  return count;
}

void
escrow_ledger_renew_sessions (struct escrow_ledger *ledger, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, ledger->sessions);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct escrow_session *)value)->renewed_ms = now_ms;
}

void
escrow_ledger_budget (const struct escrow_ledger *ledger, uint64_t budget_id,
                      struct ledger_budget_result *result)
{
  const struct escrow_budget *budget
      = escrow_budgets_find (ledger->budgets, budget_id);
  memset (result, 0, sizeof *result);
  if (!budget)
    return;
  result->free_tokens = escrow_budget_free_tokens (budget);
  result->reserved_tokens = budget->reserved_tokens;
  result->spent_tokens = budget->spent_tokens;
  result->written_off_tokens = budget->written_off_tokens;
  result->granted_tokens = budget->granted_tokens;
  result->returned_tokens = budget->returned_tokens;
}

bool
escrow_ledger_make_bill (const struct escrow_ledger *ledger,
                         const struct escrow_entry *entry,
                         struct ledger_bill *bill)
{
  if (entry->kind != ESCROW_ENTRY_SETTLE
      && entry->kind != ESCROW_ENTRY_WRITE_OFF
      && entry->kind != ESCROW_ENTRY_BILLED_ELSEWHERE)
    return false;
  bill->cancels = entry->kind == ESCROW_ENTRY_BILLED_ELSEWHERE;
  bill->account_id = entry->account_id;
  bill->budget_id = entry->budget_id;
  memcpy (bill->key, entry->key, sizeof bill->key);
  bill->settled_at_ms = entry->now_ms;
  bill->tokens = entry->tokens;
  bill->written_off = entry->kind == ESCROW_ENTRY_WRITE_OFF;
  const struct escrow_ended_reservation *ended
      = escrow_ended_find (ledger->ended_table, entry->ref);
  if (!bill->written_off || !ended)
    return true;
  bool lowered_bill = ended->state == ESCROW_ENDED_LOWERED_BILLED
                      || ended->state == ESCROW_ENDED_CANCELLED;
  if (ended->state == ESCROW_ENDED_LOWERED || lowered_bill)
    bill->tokens = ended->tokens;
  bill->written_off = !lowered_bill;
  return true;
}

struct escrow_ledger_counts
escrow_ledger_count (const struct escrow_ledger *ledger)
{
  struct escrow_ledger_counts counts = { 0 };
  counts.budgets = escrow_budgets_count (ledger->budgets);
  counts.budget_bytes = escrow_budgets_bytes (ledger->budgets);
  counts.reservations = g_hash_table_size (ledger->reservations);
  counts.sessions = g_hash_table_size (ledger->sessions);
  counts.keys = escrow_keys_count (ledger->keys);
  counts.open_returns = ledger->returns->len;
  return counts;
}
