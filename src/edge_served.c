#include "edge_served.h"

#include <glib.h>

/* Bound of the list. */
#define PARTS_MAX 4096
/* Time for which a completed response counts, and the same before the last one
   on anything, in milliseconds: a part that begins to crash targets is told
   from others within seconds. */
#define RECENT_MS 10000
#define BEFORE_LAST_MS 2000

struct edge_served
{
  /* Time of the last completed response (uint64_t) by part (uint64_t). */
  GHashTable *times;
  uint64_t last_ms;
};

struct edge_served *
edge_served_create (void)
{
  struct edge_served *served = g_new0 (struct edge_served, 1);
  served->times
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return served;
}

void
edge_served_destroy (struct edge_served *served)
{
  if (!served)
    return;
  g_hash_table_unref (served->times);
  g_free (served);
}

static gboolean
is_long_ago (gpointer part, gpointer time_ms, gpointer now_ms)
{
  (void)part;
  return *(uint64_t *)now_ms >= *(uint64_t *)time_ms + BEFORE_LAST_MS;
}

void
edge_served_note (struct edge_served *served, uint64_t part, uint64_t now_ms)
{
  if (g_hash_table_size (served->times) >= PARTS_MAX)
    g_hash_table_foreach_remove (served->times, is_long_ago, &now_ms);
  if (g_hash_table_size (served->times) >= PARTS_MAX)
    g_hash_table_remove_all (served->times);
  served->last_ms = now_ms;
  g_hash_table_replace (served->times, g_memdup2 (&part, sizeof part),
                        g_memdup2 (&now_ms, sizeof now_ms));
}

bool
edge_served_is_recent (const struct edge_served *served, uint64_t part,
                       uint64_t now_ms)
{
  const uint64_t *time_ms = g_hash_table_lookup (served->times, &part);
  return time_ms && now_ms < *time_ms + RECENT_MS
         && served->last_ms < *time_ms + BEFORE_LAST_MS;
}
