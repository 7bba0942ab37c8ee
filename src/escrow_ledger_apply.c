#include <string.h>

#include "escrow_ledger_state.h"

/* Maximum number of sessions; beyond it ended ones are dropped. */
#define SESSIONS_MAX 4096u

struct escrow_session *
escrow_ledger_session (const struct escrow_ledger *ledger,
                       uint64_t incarnation)
{
  return g_hash_table_lookup (ledger->sessions, &incarnation);
}

struct escrow_reservation *
escrow_ledger_reservation (const struct escrow_ledger *ledger,
                           struct escrow_ref ref)
{
  return g_hash_table_lookup (ledger->reservations, &ref);
}

/* Returns the session that ended first, or NULL when all are open. */
static struct escrow_session *
oldest_ended (const struct escrow_ledger *ledger)
{
  GHashTableIter iter;
  gpointer value;
  struct escrow_session *oldest = NULL;
  g_hash_table_iter_init (&iter, ledger->sessions);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct escrow_session *session = value;
      if (session->open)
        continue;
      if (!oldest || session->ended_ms < oldest->ended_ms
          || (session->ended_ms == oldest->ended_ms
              && session->incarnation < oldest->incarnation))
        oldest = session;
    }
  return oldest;
}

struct escrow_session *
escrow_ledger_add_session (struct escrow_ledger *ledger, uint64_t incarnation,
                           const char *router)
{
  if (g_hash_table_size (ledger->sessions) >= SESSIONS_MAX)
    {
      struct escrow_session *oldest = oldest_ended (ledger);
      if (oldest)
        g_hash_table_remove (ledger->sessions, &oldest->incarnation);
    }
  struct escrow_session *session = g_new0 (struct escrow_session, 1);
  session->incarnation = incarnation;
  session->router = g_strdup (router);
  g_queue_init (&session->reservations);
  g_hash_table_insert (ledger->sessions, &session->incarnation, session);
  return session;
}

static int
apply_session (struct escrow_ledger *ledger, const struct escrow_entry *entry)
{
  struct escrow_session *session
      = escrow_ledger_session (ledger, entry->ref.incarnation);
  if (!session)
    session = escrow_ledger_add_session (ledger, entry->ref.incarnation,
                                         entry->router);
  if (session->fenced)
    return -1;
  session->open = true;
  session->renewed_ms = entry->now_ms;
  return 0;
}

struct escrow_reservation *
escrow_ledger_add_reservation (struct escrow_ledger *ledger,
                               struct escrow_session *session,
                               const struct escrow_entry *reserve)
{
  struct escrow_reservation *added = g_new0 (struct escrow_reservation, 1);
  added->ref = reserve->ref;
  added->session = session;
  added->account_id = reserve->account_id;
  added->budget_id = reserve->budget_id;
  memcpy (added->key, reserve->key, sizeof added->key);
  added->body_hash = reserve->body_hash;
  added->key_from_caller = reserve->flag;
  added->tokens = reserve->tokens;
  added->link.data = added;
  g_hash_table_insert (ledger->reservations, &added->ref, added);
  g_queue_push_tail_link (&session->reservations, &added->link);
  escrow_keys_open (ledger->keys, reserve);
  return added;
}

static int
apply_reserve (struct escrow_ledger *ledger, const struct escrow_entry *entry)
{
  struct escrow_session *session
      = escrow_ledger_session (ledger, entry->ref.incarnation);
  struct escrow_budget *budget
      = escrow_budgets_find (ledger->budgets, entry->budget_id);
  if (!session || !session->open || !budget
      || escrow_budget_free_tokens (budget) < entry->tokens
      || escrow_ledger_reservation (ledger, entry->ref))
    return -1;
  budget->reserved_tokens += entry->tokens;
  escrow_ledger_add_reservation (ledger, session, entry);
  escrow_demand_mark_changed (ledger->demand, budget);
  return 0;
}

static int
apply_extend (struct escrow_ledger *ledger, const struct escrow_entry *entry)
{
  struct escrow_reservation *reservation
      = escrow_ledger_reservation (ledger, entry->ref);
  if (!reservation || entry->tokens > reservation->tokens)
    return -1;
  reservation->watermark_tokens = entry->tokens;
  return 0;
}

/* Returns the key if reservation @p ref is the one that holds or last held
   it, else NULL. */
static struct escrow_key *
held_key (struct escrow_ledger *ledger, uint64_t account_id,
          const uint8_t *key, struct escrow_ref ref)
{
  struct escrow_key *found
      = escrow_keys_find (ledger->keys, account_id, key, ledger->last_ms);
  return found && escrow_ref_equal (&found->ref, &ref) ? found : NULL;
}

/* Removes an open reservation from its session, the table and the reserved
   tokens of its budget, which is returned. */
static struct escrow_budget *
close_reservation (struct escrow_ledger *ledger,
                   struct escrow_reservation *reservation)
{
  struct escrow_budget *budget
      = escrow_budgets_find (ledger->budgets, reservation->budget_id);
  budget->reserved_tokens -= reservation->tokens;
  g_queue_unlink (&reservation->session->reservations, &reservation->link);
  g_hash_table_remove (ledger->reservations, &reservation->ref);
  escrow_demand_mark_changed (ledger->demand, budget);
  return budget;
}

static int
apply_end (struct escrow_ledger *ledger, const struct escrow_entry *entry)
{
  bool settled = entry->kind == ESCROW_ENTRY_SETTLE;
  struct escrow_reservation *reservation
      = escrow_ledger_reservation (ledger, entry->ref);
  if (!reservation || entry->tokens > reservation->tokens)
    return -1;
  struct escrow_key *key = held_key (ledger, reservation->account_id,
                                     reservation->key, entry->ref);
  if (key && (reservation->key_from_caller || !settled))
    escrow_keys_close (ledger->keys, key,
                       settled ? ESCROW_KEY_BILLED : ESCROW_KEY_WRITTEN_OFF,
                       entry->tokens, entry->now_ms);
  else if (key)
    escrow_keys_remove (ledger->keys, key);
  struct escrow_budget *budget = close_reservation (ledger, reservation);
  if (settled)
    budget->spent_tokens += entry->tokens;
  else
    budget->written_off_tokens += entry->tokens;
  escrow_ended_put (ledger->ended_table, entry,
                    settled ? ESCROW_ENDED_SETTLED : ESCROW_ENDED_WRITTEN_OFF);
  return 0;
}

static int
apply_release (struct escrow_ledger *ledger, const struct escrow_entry *entry)
{
  struct escrow_reservation *reservation
      = escrow_ledger_reservation (ledger, entry->ref);
  if (reservation)
    {
      struct escrow_key *key = held_key (ledger, reservation->account_id,
                                         reservation->key, entry->ref);
      if (key)
        escrow_keys_remove (ledger->keys, key);
      close_reservation (ledger, reservation);
    }
  escrow_ended_put (ledger->ended_table, entry, ESCROW_ENDED_RELEASED);
  return 0;
}

static int
apply_session_end (struct escrow_ledger *ledger,
                   const struct escrow_entry *entry)
{
  struct escrow_session *session
      = escrow_ledger_session (ledger, entry->ref.incarnation);
  if (!session || session->reservations.head)
    return -1;
  session->open = false;
  session->fenced = session->fenced || entry->flag;
  session->ended_ms = entry->now_ms;
  return 0;
}

static int
apply_lower (struct escrow_ledger *ledger, const struct escrow_entry *entry)
{
  struct escrow_ended_reservation *ended
      = escrow_ended_find (ledger->ended_table, entry->ref);
  if (!ended || ended->state != ESCROW_ENDED_WRITTEN_OFF
      || entry->tokens > ended->tokens)
    return -1;
  struct escrow_budget *budget
      = escrow_budgets_find (ledger->budgets, ended->budget_id);
  if (!budget || budget->written_off_tokens < ended->tokens)
    return -1;
  budget->written_off_tokens -= ended->tokens;
  if (entry->flag)
    budget->spent_tokens += entry->tokens;
  else
    budget->written_off_tokens += entry->tokens;
  struct escrow_key *key
      = held_key (ledger, ended->account_id, ended->key, entry->ref);
  if (key && entry->flag)
    escrow_keys_close (ledger->keys, key, ESCROW_KEY_BILLED, entry->tokens,
                       entry->now_ms);
  escrow_ended_put (ledger->ended_table, entry,
                    entry->flag ? ESCROW_ENDED_LOWERED_BILLED
                                : ESCROW_ENDED_LOWERED);
  escrow_demand_mark_changed (ledger->demand, budget);
  return 0;
}

/* Cancels this ledger's own bill of a key that another ledger billed too. */
static int
cancel_bill (struct escrow_ledger *ledger, const struct escrow_entry *entry)
{
  struct escrow_ended_reservation *ended
      = escrow_ended_find (ledger->ended_table, entry->ref);
  struct escrow_budget *budget
      = escrow_budgets_find (ledger->budgets, entry->budget_id);
  if (!ended || !budget || !escrow_ended_is_billed (ended)
      || ended->tokens != entry->tokens || ended->budget_id != entry->budget_id
      || budget->spent_tokens < entry->tokens)
    return -1;
  budget->spent_tokens -= entry->tokens;
  escrow_ended_put (ledger->ended_table, entry, ESCROW_ENDED_CANCELLED);
  escrow_demand_mark_changed (ledger->demand, budget);
  return 0;
}

static int
apply_elsewhere (struct escrow_ledger *ledger,
                 const struct escrow_entry *entry)
{
  if (entry->flag && cancel_bill (ledger, entry) != 0)
    return -1;
  escrow_keys_mark_billed_elsewhere (ledger->keys, entry);
  return 0;
}

static int
apply_grant (struct escrow_ledger *ledger, const struct escrow_entry *entry)
{
  if (entry->ref.id != ledger->grant_sequence + 1)
    return -1;
  struct escrow_budget *budget
      = escrow_budgets_ensure (ledger->budgets, entry->budget_id);
  ledger->grant_sequence = entry->ref.id;
  budget->granted_tokens += entry->tokens;
  escrow_demand_clear (ledger->demand, entry->budget_id);
  escrow_demand_mark_changed (ledger->demand, budget);
  return 0;
}

static int
apply_return (struct escrow_ledger *ledger, const struct escrow_entry *entry)
{
  struct escrow_budget *budget
      = escrow_budgets_find (ledger->budgets, entry->budget_id);
  if (entry->ref.id != ledger->return_sequence + 1 || !budget
      || escrow_budget_free_tokens (budget) < entry->tokens)
    return -1;
  struct control_transfer transfer
      = { entry->ref.id, entry->budget_id, entry->tokens };
  ledger->return_sequence = entry->ref.id;
  budget->returned_tokens += entry->tokens;
  g_array_append_val (ledger->returns, transfer);
  escrow_demand_mark_changed (ledger->demand, budget);
  return 0;
}

static int
apply_return_ack (struct escrow_ledger *ledger,
                  const struct escrow_entry *entry)
{
  guint count = 0;
  if (entry->ref.id > ledger->return_sequence)
    return -1;
  while (count < ledger->returns->len
         && g_array_index (ledger->returns, struct control_transfer, count)
                    .sequence
                <= entry->ref.id)
    count++;
  g_array_remove_range (ledger->returns, 0, count);
  return 0;
}

int
escrow_ledger_apply (struct escrow_ledger *ledger,
                     const struct escrow_entry *entry)
{
  ledger->last_ms = MAX (ledger->last_ms, entry->now_ms);
  switch (entry->kind)
    {
    case ESCROW_ENTRY_SESSION:
      return apply_session (ledger, entry);
    case ESCROW_ENTRY_RESERVE:
      return apply_reserve (ledger, entry);
    case ESCROW_ENTRY_EXTEND:
      return apply_extend (ledger, entry);
    case ESCROW_ENTRY_SETTLE:
    case ESCROW_ENTRY_WRITE_OFF:
      return apply_end (ledger, entry);
    case ESCROW_ENTRY_RELEASE:
      return apply_release (ledger, entry);
    case ESCROW_ENTRY_SESSION_END:
      return apply_session_end (ledger, entry);
    case ESCROW_ENTRY_LOWER:
      return apply_lower (ledger, entry);
    case ESCROW_ENTRY_GRANT:
      return apply_grant (ledger, entry);
    case ESCROW_ENTRY_RETURN:
      return apply_return (ledger, entry);
    case ESCROW_ENTRY_RETURN_ACK:
      return apply_return_ack (ledger, entry);
    case ESCROW_ENTRY_BILLED_ELSEWHERE:
      return apply_elsewhere (ledger, entry);
    default:
      return -1;
    }
}
