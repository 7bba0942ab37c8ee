#include "escrow_reconcile.h"

#include <string.h>

#include "escrow_ledger_state.h"

uint32_t
escrow_reconcile_list_bills (const struct escrow_ledger *ledger,
                             uint64_t after, struct ledger_settled *list,
                             uint32_t max, uint64_t *next)
{
  const struct escrow_key **keys = g_new (const struct escrow_key *, max);
  uint32_t count = escrow_keys_billed_after (ledger->keys, after, keys, max);
  *next = after;
  for (uint32_t i = 0; i < count; i++)
    {
      list[i].account_id = keys[i]->account_id;
      memcpy (list[i].key, keys[i]->key, sizeof list[i].key);
      list[i].body_hash = keys[i]->body_hash;
      list[i].tokens = keys[i]->tokens;
      list[i].settled_at_ms = keys[i]->closed_at_ms;
      *next = keys[i]->sequence;
    }
  g_free (keys);
  return count;
}

/* Records that another ledger billed the key, and cancels this ledger's bill
   @p own, if that is not NULL.  Returns false when that bill was evicted
   already. */
static bool
record_elsewhere (struct escrow_ledger *ledger, const struct escrow_key *own,
                  const struct ledger_settled *settled, uint64_t other_tokens,
                  uint64_t now_ms)
{
  struct escrow_entry entry
      = { .kind = ESCROW_ENTRY_BILLED_ELSEWHERE, .now_ms = now_ms };
  entry.account_id = settled->account_id;
  memcpy (entry.key, settled->key, sizeof entry.key);
  entry.body_hash = settled->body_hash;
  entry.other_tokens = other_tokens;
  if (own)
    {
      const struct escrow_ended_reservation *ended
          = escrow_ended_find (ledger->ended_table, own->ref);
      if (!ended || !escrow_ended_is_billed (ended))
        return false;
      entry.ref = own->ref;
      entry.budget_id = ended->budget_id;
      entry.tokens = ended->tokens;
      entry.flag = true;
    }
  escrow_ledger_commit (ledger, &entry);
  return true;
}

/* Whether this ledger's bill is kept and the other ledger's is cancelled. */
static bool
own_stands (const struct escrow_key *key, const char *own, const char *other,
            const struct ledger_settled *settled)
{
  if (key->tokens != settled->tokens)
    return key->tokens > settled->tokens;
  if (key->closed_at_ms != settled->settled_at_ms)
    return key->closed_at_ms < settled->settled_at_ms;
  return strcmp (own, other) < 0;
}

struct ledger_verdict
escrow_reconcile_receive (struct escrow_ledger *ledger, const char *own,
                          const char *other,
                          const struct ledger_settled *settled,
                          uint64_t now_ms)
{
  struct ledger_verdict verdict = { 0 };
  const struct escrow_key *key
      = escrow_keys_find (ledger->keys, settled->account_id,
                          (const uint8_t *)settled->key, now_ms);
  if (!key)
    record_elsewhere (ledger, NULL, settled, settled->tokens, now_ms);
  else if (key->state == ESCROW_KEY_BILLED
           && key->body_hash == settled->body_hash)
    {
      verdict.cancel = own_stands (key, own, other, settled);
      verdict.tokens = key->tokens;
      if (!verdict.cancel)
        record_elsewhere (ledger, key, settled, settled->tokens, now_ms);
    }
  return verdict;
}

void
escrow_reconcile_apply_verdict (struct escrow_ledger *ledger,
                                const struct ledger_settled *settled,
                                const struct ledger_verdict *verdict,
                                uint64_t now_ms)
{
  const struct escrow_key *key
      = escrow_keys_find (ledger->keys, settled->account_id,
                          (const uint8_t *)settled->key, now_ms);
  if (verdict->cancel && key && key->state == ESCROW_KEY_BILLED
      && key->tokens == settled->tokens
      && key->closed_at_ms == settled->settled_at_ms)
    record_elsewhere (ledger, key, settled, verdict->tokens, now_ms);
}
