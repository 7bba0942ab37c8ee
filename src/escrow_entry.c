#include "escrow_entry.h"

#include <string.h>

#include "base_hash.h"

/* Optional fields of an encoded entry, as bits; fields_of holds the mask of
   each kind.  Kind and time are always encoded. */
enum entry_field
{
  FIELD_INCARNATION = 1,
  FIELD_ID = 2,
  FIELD_ACCOUNT = 4,
  FIELD_BUDGET = 8,
  FIELD_KEY = 16,
  FIELD_BODY = 32,
  FIELD_TOKENS = 64,
  FIELD_FLAG = 128,
  FIELD_ROUTER = 256,
  FIELD_OTHER = 512,
  FIELDS_REF = FIELD_INCARNATION | FIELD_ID,
  FIELDS_BILL
  = FIELDS_REF | FIELD_ACCOUNT | FIELD_BUDGET | FIELD_KEY | FIELD_TOKENS,
  FIELDS_TRANSFER = FIELD_ID | FIELD_BUDGET | FIELD_TOKENS
};

static const uint16_t fields_of[ESCROW_ENTRY_KINDS] = {
  [ESCROW_ENTRY_SESSION] = FIELD_INCARNATION | FIELD_ROUTER,
  [ESCROW_ENTRY_RESERVE] = FIELDS_BILL | FIELD_BODY | FIELD_FLAG,
  [ESCROW_ENTRY_EXTEND] = FIELDS_REF | FIELD_TOKENS,
  [ESCROW_ENTRY_SETTLE] = FIELDS_BILL,
  [ESCROW_ENTRY_RELEASE] = FIELDS_REF,
  [ESCROW_ENTRY_WRITE_OFF] = FIELDS_BILL,
  [ESCROW_ENTRY_SESSION_END] = FIELD_INCARNATION | FIELD_FLAG,
  [ESCROW_ENTRY_LOWER] = FIELDS_REF | FIELD_TOKENS | FIELD_FLAG,
  [ESCROW_ENTRY_GRANT] = FIELDS_TRANSFER,
  [ESCROW_ENTRY_RETURN] = FIELDS_TRANSFER,
  [ESCROW_ENTRY_RETURN_ACK] = FIELD_ID,
  [ESCROW_ENTRY_BILLED_ELSEWHERE]
  = FIELDS_BILL | FIELD_BODY | FIELD_FLAG | FIELD_OTHER,
};

void
escrow_entry_put (const struct escrow_entry *entry, GByteArray *bytes)
{
  uint16_t fields = fields_of[entry->kind];
  escrow_put_u8 (bytes, (uint8_t)entry->kind);
  escrow_put_u64 (bytes, entry->now_ms);
  if (fields & FIELD_INCARNATION)
    escrow_put_u64 (bytes, entry->ref.incarnation);
  if (fields & FIELD_ID)
    escrow_put_u64 (bytes, entry->ref.id);
  if (fields & FIELD_ACCOUNT)
    escrow_put_u64 (bytes, entry->account_id);
  if (fields & FIELD_BUDGET)
    escrow_put_u64 (bytes, entry->budget_id);
  if (fields & FIELD_KEY)
    escrow_put_raw (bytes, entry->key, sizeof entry->key);
  if (fields & FIELD_BODY)
    escrow_put_u64 (bytes, entry->body_hash);
  if (fields & FIELD_TOKENS)
    escrow_put_u64 (bytes, entry->tokens);
  if (fields & FIELD_FLAG)
    escrow_put_u8 (bytes, entry->flag);
  if (fields & FIELD_ROUTER)
    escrow_put_string (bytes, entry->router);
  if (fields & FIELD_OTHER)
    escrow_put_u64 (bytes, entry->other_tokens);
}

static void
get_router (struct escrow_entry *entry, struct escrow_reader *reader)
{
  char *router = escrow_get_string (reader);
  g_strlcpy (entry->router, router, sizeof entry->router);
  g_free (router);
}

int
escrow_entry_get (struct escrow_entry *entry, struct escrow_reader *reader)
{
  memset (entry, 0, sizeof *entry);
  uint8_t kind = escrow_get_u8 (reader);
  if (kind == 0 || kind >= ESCROW_ENTRY_KINDS)
    return -1;
  uint16_t fields = fields_of[kind];
  entry->kind = (enum escrow_entry_kind)kind;
  entry->now_ms = escrow_get_u64 (reader);
  if (fields & FIELD_INCARNATION)
    entry->ref.incarnation = escrow_get_u64 (reader);
  if (fields & FIELD_ID)
    entry->ref.id = escrow_get_u64 (reader);
  if (fields & FIELD_ACCOUNT)
    entry->account_id = escrow_get_u64 (reader);
  if (fields & FIELD_BUDGET)
    entry->budget_id = escrow_get_u64 (reader);
  if (fields & FIELD_KEY)
    escrow_get_raw (reader, entry->key, sizeof entry->key);
  if (fields & FIELD_BODY)
    entry->body_hash = escrow_get_u64 (reader);
  if (fields & FIELD_TOKENS)
    entry->tokens = escrow_get_u64 (reader);
  if (fields & FIELD_FLAG)
    entry->flag = escrow_get_u8 (reader) != 0;
  if (fields & FIELD_ROUTER)
    get_router (entry, reader);
  if (fields & FIELD_OTHER)
    entry->other_tokens = escrow_get_u64 (reader);
  return reader->failed ? -1 : 0;
}

guint
escrow_ref_hash (gconstpointer ref)
{
  return (guint)base_hash64 (ref, sizeof (struct escrow_ref));
}

gboolean
escrow_ref_equal (gconstpointer left, gconstpointer right)
{
  return memcmp (left, right, sizeof (struct escrow_ref)) == 0;
}
