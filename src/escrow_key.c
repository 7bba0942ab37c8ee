#include "escrow_key.h"

#include <stddef.h>
#include <string.h>

#include "base_hash.h"

/* The table's key: the first two fields of struct escrow_key. */
#define IDENTITY_BYTES (sizeof (uint64_t) + CACTUS_DIGEST_BYTES)

struct escrow_keys
{
  uint64_t window_ms;
  uint32_t keys_max;
  /* struct escrow_key by account_id and key. */
  GHashTable *table;
  /* Closed keys, oldest first. */
  GQueue closed;
  uint64_t last_sequence;
};

static guint
hash_key (gconstpointer key)
{
  return (guint)base_hash64 (key, IDENTITY_BYTES);
}

static gboolean
equal_keys (gconstpointer left, gconstpointer right)
{
  return memcmp (left, right, IDENTITY_BYTES) == 0;
}

struct escrow_keys *
escrow_keys_create (uint64_t window_ms, uint32_t keys_max)
{
  G_STATIC_ASSERT (offsetof (struct escrow_key, key) == sizeof (uint64_t));
  struct escrow_keys *keys = g_new0 (struct escrow_keys, 1);
  keys->window_ms = window_ms;
  keys->keys_max = keys_max;
  keys->table = g_hash_table_new_full (hash_key, equal_keys, NULL, g_free);
  g_queue_init (&keys->closed);
  return keys;
}

void
escrow_keys_destroy (struct escrow_keys *keys)
{
  g_hash_table_unref (keys->table);
  g_free (keys);
}

static bool
expired (const struct escrow_keys *keys, const struct escrow_key *key,
         uint64_t now_ms)
{
  return key->state != ESCROW_KEY_OPEN
         && key->closed_at_ms + keys->window_ms <= now_ms;
}

static struct escrow_key *
lookup (const struct escrow_keys *keys, uint64_t account_id,
        const uint8_t *key)
{
  struct escrow_key probe = { .account_id = account_id };
  memcpy (probe.key, key, sizeof probe.key);
  return g_hash_table_lookup (keys->table, &probe);
}

struct escrow_key *
escrow_keys_find (const struct escrow_keys *keys, uint64_t account_id,
                  const uint8_t *key, uint64_t now_ms)
{
  struct escrow_key *found = lookup (keys, account_id, key);
  return found && !expired (keys, found, now_ms) ? found : NULL;
}

/* Takes a closed key out of the queue. */
static void
unlink_closed (struct escrow_keys *keys, struct escrow_key *key)
{
  if (key->state != ESCROW_KEY_OPEN)
    g_queue_unlink (&keys->closed, &key->link);
}

static struct escrow_key *
insert (struct escrow_keys *keys, uint64_t account_id, const uint8_t *key)
{
  struct escrow_key *inserted = g_new0 (struct escrow_key, 1);
  inserted->account_id = account_id;
  memcpy (inserted->key, key, sizeof inserted->key);
  inserted->link.data = inserted;
  g_hash_table_insert (keys->table, inserted, inserted);
  return inserted;
}

void
escrow_keys_open (struct escrow_keys *keys, const struct escrow_entry *reserve)
{
  struct escrow_key *key = lookup (keys, reserve->account_id, reserve->key);
  if (key)
    unlink_closed (keys, key);
  else
    key = insert (keys, reserve->account_id, reserve->key);
  key->state = ESCROW_KEY_OPEN;
  key->body_hash = reserve->body_hash;
  key->ref = reserve->ref;
  key->tokens = 0;
}

void
escrow_keys_remove (struct escrow_keys *keys, struct escrow_key *key)
{
  unlink_closed (keys, key);
  g_hash_table_remove (keys->table, key);
}

static void
evict (struct escrow_keys *keys, uint64_t now_ms)
{
  while (keys->closed.head)
    {
      struct escrow_key *oldest = keys->closed.head->data;
      if (keys->closed.length <= keys->keys_max
          && !expired (keys, oldest, now_ms))
        return;
      escrow_keys_remove (keys, oldest);
    }
}

void
escrow_keys_close (struct escrow_keys *keys, struct escrow_key *key,
                   enum escrow_key_state state, uint64_t tokens,
                   uint64_t now_ms)
{
  unlink_closed (keys, key);
  key->state = state;
  key->tokens = tokens;
  key->closed_at_ms = now_ms;
  key->sequence = ++keys->last_sequence;
  g_queue_push_tail_link (&keys->closed, &key->link);
  evict (keys, now_ms);
}

void
escrow_keys_mark_billed_elsewhere (struct escrow_keys *keys,
                                   const struct escrow_entry *entry)
{
  struct escrow_key *key = lookup (keys, entry->account_id, entry->key);
  if (!key)
    {
      key = insert (keys, entry->account_id, entry->key);
      key->state = ESCROW_KEY_OPEN;
    }
  key->body_hash = entry->body_hash;
  escrow_keys_close (keys, key, ESCROW_KEY_BILLED_ELSEWHERE,
                     entry->other_tokens, entry->now_ms);
}

uint32_t
escrow_keys_billed_after (const struct escrow_keys *keys, uint64_t after,
                          const struct escrow_key **list, uint32_t max)
{
  uint32_t count = 0;
  GList *node = keys->closed.tail;
  if (!node || ((const struct escrow_key *)node->data)->sequence <= after)
    return 0;
  while (node->prev
         && ((const struct escrow_key *)node->prev->data)->sequence > after)
    node = node->prev;
  for (; node && count < max; node = node->next)
    {
      const struct escrow_key *key = node->data;
      if (key->state == ESCROW_KEY_BILLED)
        list[count++] = key;
    }
  return count;
}

uint32_t
escrow_keys_count (const struct escrow_keys *keys)
{
  return g_hash_table_size (keys->table);
}

void
escrow_keys_save (const struct escrow_keys *keys, GByteArray *bytes)
{
  escrow_put_u32 (bytes, keys->closed.length);
  for (GList *node = keys->closed.head; node; node = node->next)
    {
      const struct escrow_key *key = node->data;
      escrow_put_u64 (bytes, key->account_id);
      escrow_put_raw (bytes, key->key, sizeof key->key);
      escrow_put_u64 (bytes, key->body_hash);
      escrow_put_u64 (bytes, key->ref.incarnation);
      escrow_put_u64 (bytes, key->ref.id);
      escrow_put_u64 (bytes, key->tokens);
      escrow_put_u64 (bytes, key->closed_at_ms);
      escrow_put_u8 (bytes, (uint8_t)key->state);
    }
}

void
escrow_keys_load (struct escrow_keys *keys, struct escrow_reader *reader)
{
  uint32_t count = escrow_get_u32 (reader);
  for (uint32_t i = 0; i < count && !reader->failed; i++)
    {
      uint8_t digest[CACTUS_DIGEST_BYTES];
      uint64_t account_id = escrow_get_u64 (reader);
      escrow_get_raw (reader, digest, sizeof digest);
      if (lookup (keys, account_id, digest))
        {
          reader->failed = true;
          return;
        }
      struct escrow_key *key = insert (keys, account_id, digest);
      key->body_hash = escrow_get_u64 (reader);
      key->ref.incarnation = escrow_get_u64 (reader);
      key->ref.id = escrow_get_u64 (reader);
      key->tokens = escrow_get_u64 (reader);
      key->closed_at_ms = escrow_get_u64 (reader);
      uint8_t state = escrow_get_u8 (reader);
      if (state < ESCROW_KEY_BILLED || state > ESCROW_KEY_BILLED_ELSEWHERE)
        reader->failed = true;
      key->state = (enum escrow_key_state)state;
      key->sequence = ++keys->last_sequence;
      g_queue_push_tail_link (&keys->closed, &key->link);
    }
}
