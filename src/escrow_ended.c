#include "escrow_ended.h"

#include <string.h>

/* Time for which ended reservations are kept, in ms, and their maximum
   number.  Written-off ones are kept longer, for late settlements. */
#define ENDED_WINDOW_MS UINT64_C (120000)
#define ENDED_MAX 131072u
#define WRITTEN_OFF_WINDOW_MS UINT64_C (86400000)
#define WRITTEN_OFF_MAX 65536u

/* One queue for reservations that their router ended, one for those that were
   written off. */
enum ended_queue
{
  QUEUE_ENDED,
  QUEUE_WRITTEN_OFF,
  QUEUES
};

struct escrow_ended_table
{
  GHashTable *by_ref;
  GQueue queues[QUEUES];
  void (*evicted) (void *context, struct escrow_ref ref);
  void *context;
};

static const uint64_t windows_ms[QUEUES]
    = { ENDED_WINDOW_MS, WRITTEN_OFF_WINDOW_MS };
static const uint32_t limits[QUEUES] = { ENDED_MAX, WRITTEN_OFF_MAX };

struct escrow_ended_table *
escrow_ended_create (void (*evicted) (void *context, struct escrow_ref ref),
                     void *context)
{
  struct escrow_ended_table *table = g_new0 (struct escrow_ended_table, 1);
  table->by_ref = g_hash_table_new_full (escrow_ref_hash, escrow_ref_equal,
                                         NULL, g_free);
  table->evicted = evicted;
  table->context = context;
  for (int i = 0; i < QUEUES; i++)
    g_queue_init (&table->queues[i]);
  return table;
}

void
escrow_ended_destroy (struct escrow_ended_table *table)
{
  g_hash_table_unref (table->by_ref);
  g_free (table);
}

static enum ended_queue
queue_of (enum escrow_ended_state state)
{
  bool by_router
      = state == ESCROW_ENDED_SETTLED || state == ESCROW_ENDED_RELEASED;
  return by_router ? QUEUE_ENDED : QUEUE_WRITTEN_OFF;
}

struct escrow_ended_reservation *
escrow_ended_find (const struct escrow_ended_table *table,
                   struct escrow_ref ref)
{
  return g_hash_table_lookup (table->by_ref, &ref);
}

static void
evict (struct escrow_ended_table *table, enum ended_queue number,
       uint64_t now_ms)
{
  GQueue *queue = &table->queues[number];
  while (queue->head)
    {
      struct escrow_ended_reservation *oldest = queue->head->data;
      if (queue->length <= limits[number]
          && oldest->ended_at_ms + windows_ms[number] > now_ms)
        return;
      g_queue_unlink (queue, &oldest->link);
      table->evicted (table->context, oldest->ref);
      g_hash_table_remove (table->by_ref, &oldest->ref);
    }
}

static struct escrow_ended_reservation *
insert (struct escrow_ended_table *table, struct escrow_ref ref,
        enum escrow_ended_state state)
{
  struct escrow_ended_reservation *ended
      = g_new0 (struct escrow_ended_reservation, 1);
  ended->ref = ref;
  ended->state = state;
  ended->link.data = ended;
  g_hash_table_insert (table->by_ref, &ended->ref, ended);
  g_queue_push_tail_link (&table->queues[queue_of (state)], &ended->link);
  return ended;
}

void
escrow_ended_put (struct escrow_ended_table *table,
                  const struct escrow_entry *entry,
                  enum escrow_ended_state state)
{
  struct escrow_ended_reservation *ended
      = escrow_ended_find (table, entry->ref);
  if (ended)
    {
      g_queue_unlink (&table->queues[queue_of (ended->state)], &ended->link);
      g_queue_push_tail_link (&table->queues[queue_of (state)], &ended->link);
    }
  else
    {
      ended = insert (table, entry->ref, state);
      ended->account_id = entry->account_id;
      ended->budget_id = entry->budget_id;
      memcpy (ended->key, entry->key, sizeof ended->key);
    }
  ended->state = state;
  ended->tokens = entry->tokens;
  ended->ended_at_ms = entry->now_ms;
  evict (table, queue_of (state), entry->now_ms);
}

static void
save_ended (gpointer data, gpointer context)
{
  const struct escrow_ended_reservation *ended = data;
  GByteArray *bytes = context;
  escrow_put_u8 (bytes, (uint8_t)ended->state);
  escrow_put_u64 (bytes, ended->ref.incarnation);
  escrow_put_u64 (bytes, ended->ref.id);
  escrow_put_u64 (bytes, ended->account_id);
  escrow_put_u64 (bytes, ended->budget_id);
  escrow_put_raw (bytes, ended->key, sizeof ended->key);
  escrow_put_u64 (bytes, ended->tokens);
  escrow_put_u64 (bytes, ended->ended_at_ms);
}

void
escrow_ended_save (const struct escrow_ended_table *table, GByteArray *bytes)
{
  escrow_put_u32 (bytes, g_hash_table_size (table->by_ref));
  for (int i = 0; i < QUEUES; i++)
    g_queue_foreach ((GQueue *)&table->queues[i], save_ended, bytes);
}

void
escrow_ended_load (struct escrow_ended_table *table,
                   struct escrow_reader *reader)
{
  uint32_t count = escrow_get_u32 (reader);
  for (uint32_t i = 0; i < count && !reader->failed; i++)
    {
      uint8_t state = escrow_get_u8 (reader);
      struct escrow_ref ref;
      ref.incarnation = escrow_get_u64 (reader);
      ref.id = escrow_get_u64 (reader);
      if (state >= ESCROW_ENDED_STATES || escrow_ended_find (table, ref))
        {
          reader->failed = true;
          return;
        }
      struct escrow_ended_reservation *ended
          = insert (table, ref, (enum escrow_ended_state)state);
      ended->account_id = escrow_get_u64 (reader);
      ended->budget_id = escrow_get_u64 (reader);
      escrow_get_raw (reader, ended->key, sizeof ended->key);
      ended->tokens = escrow_get_u64 (reader);
      ended->ended_at_ms = escrow_get_u64 (reader);
    }
}
