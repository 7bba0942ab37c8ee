#include "edge_regions.h"

#include <string.h>

#include <glib.h>

struct edge_regions
{
  /* Names, without duplicates. */
  GHashTable *names;
};

struct edge_regions *
edge_regions_create (void)
{
  struct edge_regions *regions = g_new0 (struct edge_regions, 1);
  regions->names
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return regions;
}

void
edge_regions_destroy (struct edge_regions *regions)
{
  if (!regions)
    return;
  g_hash_table_unref (regions->names);
  g_free (regions);
}

void
edge_regions_add (struct edge_regions *regions, const char *region)
{
  g_hash_table_add (regions->names, g_strdup (region));
}

uint32_t
edge_regions_count (const struct edge_regions *regions)
{
  return g_hash_table_size (regions->names);
}

static bool
has (const struct edge_regions *regions, const char *region)
{
  return !regions
         || (region && g_hash_table_contains (regions->names, region));
}

bool
edge_regions_allow (const struct edge_regions *route,
                    const struct edge_regions *account, const char *region)
{
  return has (route, region) && has (account, region);
}

bool
edge_regions_overlap (const struct edge_regions *route,
                      const struct edge_regions *account)
{
  GHashTableIter iterator;
  gpointer name;
  if (!route || !account)
    return true;
  g_hash_table_iter_init (&iterator, route->names);
  while (g_hash_table_iter_next (&iterator, &name, NULL))
    if (g_hash_table_contains (account->names, name))
      return true;
  return false;
}
