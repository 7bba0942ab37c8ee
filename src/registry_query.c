#include <stdlib.h>
#include <string.h>

#include "registry.h"
#include "registry_state.h"

struct registry_reader *
registry_reader_allocate (struct registry *registry)
{
  ck_epoch_record_t *recycled = ck_epoch_recycle (&registry->epoch, NULL);
  if (recycled)
    return (struct registry_reader *)recycled;
  struct registry_reader *reader = NULL;
  if (posix_memalign ((void **)&reader, CK_MD_CACHELINE, sizeof *reader) != 0)
    abort ();
  memset (reader, 0, sizeof *reader);
  reader->registry = registry;
  reader->next = registry->readers;
  registry->readers = reader;
  ck_epoch_register (&registry->epoch, &reader->record, NULL);
  return reader;
}

size_t
registry_count (struct registry *registry)
{
  pthread_mutex_lock (&registry->mutex);
  size_t live = registry->live;
  pthread_mutex_unlock (&registry->mutex);
  return live;
}

size_t
registry_service_count (struct registry *registry)
{
  pthread_mutex_lock (&registry->mutex);
  size_t count = g_hash_table_size (registry->services);
  pthread_mutex_unlock (&registry->mutex);
  return count;
}

uint64_t
registry_change_number (struct registry *registry)
{
  pthread_mutex_lock (&registry->mutex);
  uint64_t change = registry->change;
  pthread_mutex_unlock (&registry->mutex);
  return change;
}

/* Returns the oldest link whose change number is greater than @p after, or
   NULL. */
static GList *
first_change (struct registry *registry, uint64_t after)
{
  GList *first = NULL;
  for (GList *link = registry->by_change.tail; link; link = link->prev)
    {
      if (((struct registry_entry *)link->data)->change <= after)
        break;
      first = link;
    }
  return first;
}

size_t
registry_changes (struct registry *registry, uint64_t *after,
                  struct registry_record *records, size_t limit)
{
  size_t count = 0;
  pthread_mutex_lock (&registry->mutex);
  for (GList *link = first_change (registry, *after); link && count < limit;
       link = link->next)
    {
      const struct registry_entry *entry = link->data;
      records[count++] = entry->record;
      *after = entry->change;
    }
  pthread_mutex_unlock (&registry->mutex);
  return count;
}

size_t
registry_slice (struct registry *registry, size_t start,
                struct registry_record *records, size_t limit)
{
  size_t count = 0;
  pthread_mutex_lock (&registry->mutex);
  size_t total = registry->entries->len;
  for (size_t i = 0; i < total && count < limit; i++)
    {
      const struct registry_entry *entry
          = g_ptr_array_index (registry->entries, (start + i) % total);
      if (!entry->lapsed)
        records[count++] = entry->record;
    }
  pthread_mutex_unlock (&registry->mutex);
  return count;
}

static bool
copy_found (struct registry *registry, GHashTable *table, gconstpointer key,
            struct registry_record *record)
{
  pthread_mutex_lock (&registry->mutex);
  const struct registry_entry *entry = g_hash_table_lookup (table, key);
  bool found = entry && !entry->lapsed;
  if (found)
    *record = entry->record;
  pthread_mutex_unlock (&registry->mutex);
  return found;
}

bool
registry_find (struct registry *registry, uint64_t identity,
               struct registry_record *record)
{
  return copy_found (registry, registry->by_identity, &identity, record);
}

bool
registry_find_target (struct registry *registry, const char *target,
                      struct registry_record *record)
{
  return copy_found (registry, registry->by_target, target, record);
}

struct registry_reader *
registry_reader_create (struct registry *registry)
{
  pthread_mutex_lock (&registry->mutex);
  struct registry_reader *reader = registry_reader_allocate (registry);
  pthread_mutex_unlock (&registry->mutex);
  return reader;
}

void
registry_reader_destroy (struct registry_reader *reader)
{
  if (reader)
    ck_epoch_unregister (&reader->record);
}

const struct registry_view *
registry_read (struct registry_reader *reader, const char *service)
{
  ck_epoch_begin (&reader->record, NULL);
  const struct registry_table *table
      = __atomic_load_n (&reader->registry->table, __ATOMIC_ACQUIRE);
  return registry_table_find (table, service);
}

void
registry_read_end (struct registry_reader *reader)
{
  __atomic_store_n (&reader->ended, reader->ended + 1, __ATOMIC_RELEASE);
  ck_epoch_end (&reader->record, NULL);
}
