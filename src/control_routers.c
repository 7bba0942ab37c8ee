#include "control_routers.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

/* Time without a call after which a router is forgotten, in milliseconds: by
   then all others know that it is gone. */
#define RETENTION_MS 60000

/* A router with its last change and call. */
struct entry
{
  struct control_router_record record;
  uint64_t change;
  uint64_t called_ms;
  /* Newest change of evacuations that is in force at the router. */
  uint64_t evacuations;
};

struct control_routers
{
  uint32_t timeout_ms;
  /* Number of the newest change. */
  uint64_t change;
  /* struct entry by name. */
  GHashTable *entries;
};

static void
copy_record (const struct control_router_record *from,
             struct control_router_record *to)
{
  *to = *from;
  to->name = strdup (from->name);
  to->address = strdup (from->address);
  to->availability_zone = strdup (from->availability_zone);
}

static void
free_entry (gpointer data)
{
  struct entry *entry = data;
  xdr_free ((xdrproc_t)xdr_control_router_record, (char *)&entry->record);
  g_free (entry);
}

struct control_routers *
control_routers_create (uint32_t timeout_ms)
{
  struct control_routers *routers = g_new0 (struct control_routers, 1);
  routers->timeout_ms = timeout_ms;
  routers->entries
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_entry);
  return routers;
}

void
control_routers_destroy (struct control_routers *routers)
{
  if (!routers)
    return;
  g_hash_table_unref (routers->entries);
  g_free (routers);
}

static bool
is_same (const struct control_router_record *a,
         const struct control_router_record *b)
{
  return a->relay_port == b->relay_port && a->is_cut_off == b->is_cut_off
         && a->gone == b->gone && a->demand == b->demand
         && strcmp (a->address, b->address) == 0
         && strcmp (a->availability_zone, b->availability_zone) == 0;
}

void
control_routers_note_call (struct control_routers *routers,
                           const struct control_router_record *record,
                           uint64_t now_ms)
{
  struct entry *entry = g_hash_table_lookup (routers->entries, record->name);
  struct control_router_record copy;
  if (entry && is_same (&entry->record, record))
    {
      entry->called_ms = now_ms;
      return;
    }
  copy_record (record, &copy);
  if (entry)
    xdr_free ((xdrproc_t)xdr_control_router_record, (char *)&entry->record);
  else
    {
      entry = g_new0 (struct entry, 1);
      g_hash_table_insert (routers->entries, g_strdup (record->name), entry);
    }
  entry->record = copy;
  entry->called_ms = now_ms;
  entry->change = ++routers->change;
}

void
control_routers_note_evacuations (struct control_routers *routers,
                                  const char *name, uint64_t change)
{
  struct entry *entry = g_hash_table_lookup (routers->entries, name);
  if (entry)
    entry->evacuations = change;
}

uint32_t
control_routers_count_evacuations (struct control_routers *routers,
                                   uint64_t change, uint64_t now_ms)
{
  GHashTableIter iterator;
  gpointer value;
  uint32_t count = 0;
  g_hash_table_iter_init (&iterator, routers->entries);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct entry *entry = value;
      count += now_ms <= entry->called_ms + routers->timeout_ms
               && entry->evacuations >= change;
    }
  return count;
}

uint32_t
control_routers_expire (struct control_routers *routers, uint64_t now_ms)
{
  GHashTableIter iterator;
  gpointer value;
  uint32_t count = 0;
  g_hash_table_iter_init (&iterator, routers->entries);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct entry *entry = value;
      bool has_timed_out = now_ms > entry->called_ms + routers->timeout_ms;
      if (now_ms > entry->called_ms + RETENTION_MS)
        {
          g_hash_table_iter_remove (&iterator);
          continue;
        }
      if (has_timed_out && !entry->record.gone)
        {
          entry->record.gone = true;
          entry->change = ++routers->change;
        }
      count += !has_timed_out;
    }
  return count;
}

uint64_t
control_routers_newest_change (const struct control_routers *routers)
{
  return routers->change;
}

uint32_t
control_routers_changed_since (const struct control_routers *routers,
                               uint64_t change, const char *name,
                               struct control_router_record **list)
{
  GHashTableIter iterator;
  gpointer value;
  uint32_t count = 0;
  if (change >= routers->change)
    return 0;
  *list = calloc (g_hash_table_size (routers->entries) + 1, sizeof **list);
  g_hash_table_iter_init (&iterator, routers->entries);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct entry *entry = value;
      if (entry->change > change && count < CONTROL_ROUTERS_MAX
          && strcmp (entry->record.name, name) != 0)
        copy_record (&entry->record, &(*list)[count++]);
    }
  return count;
}
