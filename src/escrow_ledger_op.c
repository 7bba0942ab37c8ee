#include <string.h>

#include "base_hash.h"
#include "escrow_ledger_state.h"

/* Maximum number of tokens of one reservation, so that sums never
   overflow. */
#define RESERVATION_TOKENS_MAX (UINT64_C (1) << 40)

static void
answer (struct ledger_op_result *result, enum ledger_status status,
        uint64_t tokens)
{
  result->status = status;
  result->tokens = tokens;
  result->retry_after_ms = 0;
}

static struct escrow_entry
reserve_entry (uint64_t incarnation, const struct ledger_reserve *reserve,
               uint64_t now_ms)
{
  struct escrow_entry entry
      = { .kind = ESCROW_ENTRY_RESERVE, .now_ms = now_ms };
  entry.ref.incarnation = incarnation;
  entry.ref.id = reserve->reservation_id;
  entry.account_id = reserve->account_id;
  entry.budget_id = reserve->budget_id;
  memcpy (entry.key, reserve->key, sizeof entry.key);
  entry.body_hash
      = base_hash64 (reserve->body_digest, sizeof reserve->body_digest);
  entry.tokens = reserve->tokens;
  entry.flag = reserve->key_from_caller;
  return entry;
}

/* Answers a repeated reservation, and one of a session that is not open.
   Returns false for a new one. */
static bool
answer_known (const struct escrow_ledger *ledger,
              const struct escrow_entry *entry,
              struct ledger_op_result *result)
{
  const struct escrow_reservation *open
      = escrow_ledger_reservation (ledger, entry->ref);
  const struct escrow_session *session
      = escrow_ledger_session (ledger, entry->ref.incarnation);
  if (open)
    answer (result, LEDGER_OK, open->tokens);
  else if (!session || !session->open)
    answer (result, LEDGER_SESSION_LAPSED, 0);
  else if (escrow_ended_find (ledger->ended_table, entry->ref)
           || entry->ref.id <= session->highest_evicted_id)
    answer (result, LEDGER_UNKNOWN_RESERVATION, 0);
  else
    return false;
  return true;
}

/* Answers a reservation whose key is in use or billed.  Returns false when the
   key is free. */
static bool
answer_key (const struct escrow_ledger *ledger,
            const struct escrow_entry *entry, struct ledger_op_result *result)
{
  const struct escrow_key *key = escrow_keys_find (
      ledger->keys, entry->account_id, entry->key, entry->now_ms);
  if (!key)
    return false;
  if (key->body_hash != entry->body_hash)
    answer (result, LEDGER_KEY_CONFLICT, 0);
  else if (key->state == ESCROW_KEY_BILLED
           || key->state == ESCROW_KEY_BILLED_ELSEWHERE)
    answer (result, LEDGER_DUPLICATE_DONE, key->tokens);
  else if (key->state == ESCROW_KEY_OPEN)
    {
      answer (result, LEDGER_DUPLICATE_OPEN, 0);
      result->retry_after_ms = ESCROW_RETRY_LATER_MS;
    }
  else
    return false;
  return true;
}

/* Refuses a reservation because tokens are missing.  The retry delay is short
   while control may grant more or open reservations may release enough; else
   it is long. */
static void
refuse_no_budget (struct escrow_ledger *ledger,
                  const struct escrow_entry *entry,
                  const struct escrow_budget *budget,
                  struct ledger_op_result *result)
{
  uint64_t left = budget ? escrow_budget_free_tokens (budget) : 0;
  uint64_t reserved = budget ? budget->reserved_tokens : 0;
  escrow_demand_add_shortfall (ledger->demand, entry->budget_id,
                               entry->tokens - left, entry->now_ms);
  bool more = escrow_demand_may_be_granted (ledger->demand, entry->budget_id,
                                            entry->now_ms);
  answer (result, LEDGER_NO_BUDGET, left);
  result->retry_after_ms = more || left + reserved >= entry->tokens
                               ? ESCROW_RETRY_SOON_MS
                               : ESCROW_RETRY_LATER_MS;
}

static void
reserve_op (struct escrow_ledger *ledger, uint64_t incarnation,
            const struct ledger_reserve *reserve, uint64_t now_ms,
            struct ledger_op_result *result)
{
  struct escrow_entry entry = reserve_entry (incarnation, reserve, now_ms);
  struct escrow_budget *budget
      = escrow_budgets_find (ledger->budgets, entry.budget_id);
  if (entry.tokens == 0 || entry.tokens > RESERVATION_TOKENS_MAX
      || entry.ref.id == 0)
    answer (result, LEDGER_BAD_REQUEST, 0);
  else if (answer_known (ledger, &entry, result)
           || answer_key (ledger, &entry, result))
    return;
  else if (!budget || escrow_budget_free_tokens (budget) < entry.tokens)
    refuse_no_budget (ledger, &entry, budget, result);
  else
    {
      escrow_ledger_commit (ledger, &entry);
      answer (result, LEDGER_OK, entry.tokens);
    }
}

static void
extend_op (struct escrow_ledger *ledger, struct escrow_ref ref,
           uint64_t watermark_tokens, uint64_t now_ms,
           struct ledger_op_result *result)
{
  const struct escrow_reservation *reservation
      = escrow_ledger_reservation (ledger, ref);
  if (!reservation)
    {
      answer (result, LEDGER_UNKNOWN_RESERVATION, 0);
      return;
    }
  uint64_t tokens = MIN (watermark_tokens, reservation->tokens);
  struct escrow_entry entry = {
    .kind = ESCROW_ENTRY_EXTEND, .now_ms = now_ms, .ref = ref, .tokens = tokens
  };
  if (tokens > reservation->watermark_tokens)
    escrow_ledger_commit (ledger, &entry);
  answer (result, LEDGER_OK, reservation->watermark_tokens);
}

/* Lowers the write-off of an orphaned reservation to @p used_tokens.  A late
   settlement turns it into the bill of its key, unless another attempt holds
   the key or the key is no longer kept. */
static void
lower_write_off (struct escrow_ledger *ledger,
                 const struct escrow_ended_reservation *ended,
                 uint64_t used_tokens, bool settled, uint64_t now_ms,
                 struct ledger_op_result *result)
{
  const struct escrow_key *key
      = escrow_keys_find (ledger->keys, ended->account_id, ended->key, now_ms);
  bool own = key && escrow_ref_equal (&key->ref, &ended->ref);
  struct escrow_entry entry = { .kind = ESCROW_ENTRY_LOWER,
                                .now_ms = now_ms,
                                .ref = ended->ref,
                                .tokens = MIN (used_tokens, ended->tokens),
                                .flag = settled && own };
  uint64_t tokens = entry.tokens;
  escrow_ledger_commit (ledger, &entry);
  answer (result, !settled || own ? LEDGER_OK : LEDGER_UNKNOWN_RESERVATION,
          tokens);
}

/* Answers a settlement, or a release when @p settled is false, of a
   reservation that is not open. */
static void
answer_ended (struct escrow_ledger *ledger, struct escrow_ref ref,
              uint64_t used_tokens, bool settled, uint64_t now_ms,
              struct ledger_op_result *result)
{
  const struct escrow_ended_reservation *ended
      = escrow_ended_find (ledger->ended_table, ref);
  bool billed = ended
                && (ended->state == ESCROW_ENDED_SETTLED
                    || ended->state == ESCROW_ENDED_LOWERED_BILLED
                    || ended->state == ESCROW_ENDED_CANCELLED);
  bool released
      = ended
        && (ended->state == ESCROW_ENDED_RELEASED
            || (ended->state == ESCROW_ENDED_LOWERED && ended->tokens == 0));
  if (ended && ended->state == ESCROW_ENDED_WRITTEN_OFF)
    lower_write_off (ledger, ended, used_tokens, settled, now_ms, result);
  else if ((settled && billed) || (!settled && released))
    answer (result, LEDGER_OK, ended->tokens);
  else
    answer (result, LEDGER_UNKNOWN_RESERVATION, ended ? ended->tokens : 0);
}

static void
settle_op (struct escrow_ledger *ledger, struct escrow_ref ref,
           uint64_t used_tokens, uint64_t now_ms,
           struct ledger_op_result *result)
{
  const struct escrow_reservation *reservation
      = escrow_ledger_reservation (ledger, ref);
  if (!reservation)
    {
      answer_ended (ledger, ref, used_tokens, true, now_ms, result);
      return;
    }
  struct escrow_entry entry
      = { .kind = ESCROW_ENTRY_SETTLE, .now_ms = now_ms, .ref = ref };
  entry.account_id = reservation->account_id;
  entry.budget_id = reservation->budget_id;
  memcpy (entry.key, reservation->key, sizeof entry.key);
  entry.tokens = MIN (used_tokens, reservation->tokens);
  escrow_ledger_commit (ledger, &entry);
  answer (result, LEDGER_OK, entry.tokens);
}

static void
release_op (struct escrow_ledger *ledger, struct escrow_ref ref,
            uint64_t now_ms, struct ledger_op_result *result)
{
  const struct escrow_session *session
      = escrow_ledger_session (ledger, ref.incarnation);
  bool open = escrow_ledger_reservation (ledger, ref) != NULL;
  bool known = open || escrow_ended_find (ledger->ended_table, ref);
  struct escrow_entry entry
      = { .kind = ESCROW_ENTRY_RELEASE, .now_ms = now_ms, .ref = ref };
  if (known && !open)
    {
      answer_ended (ledger, ref, 0, false, now_ms, result);
      return;
    }
  /* A release may arrive before its reservation; recording it makes the ledger
     refuse that reservation. */
  if (open
      || (session && session->open && ref.id > session->highest_evicted_id))
    escrow_ledger_commit (ledger, &entry);
  answer (result, LEDGER_OK, 0);
}

void
escrow_ledger_op (struct escrow_ledger *ledger, uint64_t incarnation,
                  const struct ledger_op *op, uint64_t now_ms,
                  struct ledger_op_result *result)
{
  struct escrow_ref ref = { .incarnation = incarnation };
  now_ms = MAX (now_ms, ledger->last_ms);
  switch (op->kind)
    {
    case LEDGER_RESERVE:
      reserve_op (ledger, incarnation, &op->ledger_op_u.reserve, now_ms,
                  result);
      break;
    case LEDGER_EXTEND:
      ref.id = op->ledger_op_u.extend.reservation_id;
      extend_op (ledger, ref, op->ledger_op_u.extend.watermark_tokens, now_ms,
                 result);
      break;
    case LEDGER_SETTLE:
      ref.id = op->ledger_op_u.settle.reservation_id;
      settle_op (ledger, ref, op->ledger_op_u.settle.used_tokens, now_ms,
                 result);
      break;
    case LEDGER_RELEASE:
      ref.id = op->ledger_op_u.release.reservation_id;
      release_op (ledger, ref, now_ms, result);
      break;
    default:
      answer (result, LEDGER_BAD_REQUEST, 0);
    }
}
