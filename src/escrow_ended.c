#include "escrow_ended.h"

#include <string.h>

/* How long ended reservations are remembered, in ms, and how many. */
#define DONE_WINDOW_MS UINT64_C (120000)
#define DONE_MAX 131072u
#define CHARGED_WINDOW_MS UINT64_C (86400000)
#define CHARGED_MAX 65536u

/* One queue for those that ended in order, one for the orphans. */
enum done_queue
{
  QUEUE_DONE,
  QUEUE_CHARGED,
  QUEUES
};

struct escrow_ended_table
{
  GHashTable *table;
  GQueue queues[QUEUES];
  void (*evicted) (void *context, struct escrow_ref ref);
  void *context;
};

static const uint64_t windows_ms[QUEUES]
    = { DONE_WINDOW_MS, CHARGED_WINDOW_MS };
static const uint32_t limits[QUEUES] = { DONE_MAX, CHARGED_MAX };

struct escrow_ended_table *
escrow_ended_create (void (*evicted) (void *context, struct escrow_ref ref),
                     void *context)
{
  struct escrow_ended_table *dones = g_new0 (struct escrow_ended_table, 1);
  dones->table = g_hash_table_new_full (escrow_ref_hash, escrow_ref_equal,
                                        NULL, g_free);
  dones->evicted = evicted;
  dones->context = context;
  for (int i = 0; i < QUEUES; i++)
    g_queue_init (&dones->queues[i]);
  return dones;
}

void
escrow_ended_destroy (struct escrow_ended_table *dones)
{
  g_hash_table_unref (dones->table);
  g_free (dones);
}

static enum done_queue
queue_of (enum escrow_ended_state state)
{
  bool ended = state == ESCROW_ENDED_SETTLED || state == ESCROW_ENDED_RELEASED;
  return ended ? QUEUE_DONE : QUEUE_CHARGED;
}

struct escrow_ended *
escrow_ended_find (const struct escrow_ended_table *dones,
                   struct escrow_ref ref)
{
  return g_hash_table_lookup (dones->table, &ref);
}

static void
evict (struct escrow_ended_table *dones, enum done_queue number,
       uint64_t now_ms)
{
  GQueue *queue = &dones->queues[number];
  while (queue->head)
    {
      struct escrow_ended *oldest = queue->head->data;
      if (queue->length <= limits[number]
          && oldest->at_ms + windows_ms[number] > now_ms)
        return;
      g_queue_unlink (queue, &oldest->link);
      dones->evicted (dones->context, oldest->ref);
      g_hash_table_remove (dones->table, &oldest->ref);
    }
}

static struct escrow_ended *
insert (struct escrow_ended_table *dones, struct escrow_ref ref,
        enum escrow_ended_state state)
{
  struct escrow_ended *done = g_new0 (struct escrow_ended, 1);
  done->ref = ref;
  done->state = state;
  done->link.data = done;
  g_hash_table_insert (dones->table, &done->ref, done);
  g_queue_push_tail_link (&dones->queues[queue_of (state)], &done->link);
  return done;
}

void
escrow_ended_put (struct escrow_ended_table *dones,
                  const struct escrow_entry *entry,
                  enum escrow_ended_state state)
{
  struct escrow_ended *done = escrow_ended_find (dones, entry->ref);
  if (done)
    {
      g_queue_unlink (&dones->queues[queue_of (done->state)], &done->link);
      g_queue_push_tail_link (&dones->queues[queue_of (state)], &done->link);
    }
  else
    {
      done = insert (dones, entry->ref, state);
      done->account_id = entry->account_id;
      done->budget_id = entry->budget_id;
      memcpy (done->key, entry->key, sizeof done->key);
    }
  done->state = state;
  done->tokens = entry->tokens;
  done->at_ms = entry->now_ms;
  evict (dones, queue_of (state), entry->now_ms);
}

static void
save_done (gpointer data, gpointer context)
{
  const struct escrow_ended *done = data;
  GByteArray *bytes = context;
  escrow_put_u8 (bytes, (uint8_t)done->state);
  escrow_put_u64 (bytes, done->ref.incarnation);
  escrow_put_u64 (bytes, done->ref.id);
  escrow_put_u64 (bytes, done->account_id);
  escrow_put_u64 (bytes, done->budget_id);
  escrow_put_raw (bytes, done->key, sizeof done->key);
  escrow_put_u64 (bytes, done->tokens);
  escrow_put_u64 (bytes, done->at_ms);
}

void
escrow_ended_save (const struct escrow_ended_table *dones, GByteArray *bytes)
{
  escrow_put_u32 (bytes, g_hash_table_size (dones->table));
  for (int i = 0; i < QUEUES; i++)
    g_queue_foreach ((GQueue *)&dones->queues[i], save_done, bytes);
}

void
escrow_ended_load (struct escrow_ended_table *dones,
                   struct escrow_reader *reader)
{
  uint32_t count = escrow_get_u32 (reader);
  for (uint32_t i = 0; i < count && !reader->failed; i++)
    {
      uint8_t state = escrow_get_u8 (reader);
      struct escrow_ref ref;
      ref.incarnation = escrow_get_u64 (reader);
      ref.id = escrow_get_u64 (reader);
      if (state >= ESCROW_ENDED_STATES || escrow_ended_find (dones, ref))
        {
          reader->failed = true;
          return;
        }
      struct escrow_ended *done
          = insert (dones, ref, (enum escrow_ended_state)state);
      done->account_id = escrow_get_u64 (reader);
      done->budget_id = escrow_get_u64 (reader);
      escrow_get_raw (reader, done->key, sizeof done->key);
      done->tokens = escrow_get_u64 (reader);
      done->at_ms = escrow_get_u64 (reader);
    }
}
