#include "edge_evacuations.h"

#include <glib.h>

struct edge_evacuations
{
  uint64_t version;
  /* Names of the evacuated zones. */
  GHashTable *zones;
  /* A member that was up to date has answered. */
  bool is_confirmed;
  /* Time of the first answer, or 0. */
  uint64_t first_answer_ms;
};

struct edge_evacuations *
edge_evacuations_create (void)
{
  struct edge_evacuations *evacuations = g_new0 (struct edge_evacuations, 1);
  evacuations->zones
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return evacuations;
}

void
edge_evacuations_destroy (struct edge_evacuations *evacuations)
{
  if (!evacuations)
    return;
  g_hash_table_unref (evacuations->zones);
  g_free (evacuations);
}

bool
edge_evacuations_apply (struct edge_evacuations *evacuations,
                        const struct control_evacuations *list,
                        uint64_t now_ms)
{
  if (evacuations->first_answer_ms == 0)
    evacuations->first_answer_ms = MAX (now_ms, 1);
  if (!list || list->is_current)
    evacuations->is_confirmed = true;
  if (!list || list->list_version <= evacuations->version)
    return false;
  evacuations->version = list->list_version;
  g_hash_table_remove_all (evacuations->zones);
  for (u_int i = 0; i < list->zones.zones_len; i++)
    g_hash_table_add (evacuations->zones,
                      g_strdup (list->zones.zones_val[i].availability_zone));
  return true;
}

bool
edge_evacuations_has (const struct edge_evacuations *evacuations,
                      const char *zone)
{
  /* Asked for each target of each request; there is rarely any zone. */
  return g_hash_table_size (evacuations->zones) > 0
         && g_hash_table_contains (evacuations->zones, zone);
}

bool
edge_evacuations_is_known (const struct edge_evacuations *evacuations,
                           uint64_t now_ms)
{
  return evacuations->is_confirmed
         || (evacuations->first_answer_ms > 0
             && now_ms >= evacuations->first_answer_ms
                              + EDGE_EVACUATIONS_WAIT_MS);
}

uint64_t
edge_evacuations_version (const struct edge_evacuations *evacuations)
{
  return evacuations->version;
}

uint32_t
edge_evacuations_count (const struct edge_evacuations *evacuations)
{
  return g_hash_table_size (evacuations->zones);
}
