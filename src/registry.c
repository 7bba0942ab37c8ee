#include "registry.h"

#include <ck_epoch.h>
#include <glib.h>
#include <string.h>

#include "registry_load.h"
#include "registry_record.h"
#include "registry_state.h"
#include "registry_view.h"

/* Factor on lapse_ms: time for which leaving and expired records are
   remembered. */
#define REMEMBERED_LAPSES 20
/* Minimum interval between changes that only refresh a report, in ms. */
#define REFRESH_INTERVAL_MS 1000
/* Factor on the lifetime of records of other zones and on the minimum interval
   between their changes. */
#define OTHER_ZONE_FACTOR 4

static void
destroy_service (gpointer data)
{
  struct registry_service *service = data;
  if (service->view)
    registry_view_unref (service->view);
  g_ptr_array_free (service->entries, TRUE);
  g_free (service);
}

static void
destroy_entry (struct registry_entry *entry)
{
  registry_load_unref (entry->load);
  g_free (entry);
}

struct registry *
registry_create (uint32_t lapse_ms)
{
  struct registry *registry = g_new0 (struct registry, 1);
  GPtrArray *no_views = g_ptr_array_new ();
  registry->lapse_ms = lapse_ms;
  pthread_mutex_init (&registry->mutex, NULL);
  ck_epoch_init (&registry->epoch);
  registry->writer = registry_reader_allocate (registry);
  registry->entries = g_ptr_array_new ();
  registry->by_target = g_hash_table_new (g_str_hash, g_str_equal);
  registry->by_identity = g_hash_table_new (g_int64_hash, g_int64_equal);
  registry->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, destroy_service);
  registry->drained
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_queue_init (&registry->by_change);
  registry->table = registry_table_build (no_views);
  g_ptr_array_free (no_views, TRUE);
  return registry;
}

void
registry_destroy (struct registry *registry)
{
  if (!registry)
    return;
  ck_epoch_barrier (&registry->writer->record);
  registry_table_destroy (registry->table);
  for (guint i = 0; i < registry->entries->len; i++)
    destroy_entry (g_ptr_array_index (registry->entries, i));
  g_ptr_array_free (registry->entries, TRUE);
  g_hash_table_destroy (registry->by_target);
  g_hash_table_destroy (registry->by_identity);
  g_hash_table_destroy (registry->services);
  g_hash_table_destroy (registry->drained);
  while (registry->readers)
    {
      struct registry_reader *reader = registry->readers;
      registry->readers = reader->next;
      free (reader);
    }
  pthread_mutex_destroy (&registry->mutex);
  g_free (registry);
}

void
registry_set_local_zone (struct registry *registry,
                         const char *availability_zone)
{
  pthread_mutex_lock (&registry->mutex);
  g_strlcpy (registry->local_zone, availability_zone,
             sizeof registry->local_zone);
  pthread_mutex_unlock (&registry->mutex);
}

/* Factor on the intervals of a record.  It is larger for other zones, whose
   records arrive late through relays. */
static uint64_t
zone_factor (const struct registry *registry,
             const struct registry_record *record)
{
  if (registry->local_zone[0] == '\0'
      || strcmp (registry->local_zone, record->availability_zone) == 0)
    return 1;
  return OTHER_ZONE_FACTOR;
}

uint64_t
registry_lapse_at (const struct registry *registry,
                   const struct registry_record *record)
{
  uint64_t lapses
      = record->leaving ? REMEMBERED_LAPSES : zone_factor (registry, record);
  return record->last_report_ms + lapses * registry->lapse_ms;
}

static struct registry_service *
find_or_add_service (struct registry *registry, const char *name)
{
  struct registry_service *service
      = g_hash_table_lookup (registry->services, name);
  if (service)
    return service;
  service = g_new0 (struct registry_service, 1);
  g_strlcpy (service->name, name, sizeof service->name);
  service->entries = g_ptr_array_new ();
  g_hash_table_insert (registry->services, service->name, service);
  return service;
}

static void
remove_from_service (struct registry_entry *entry)
{
  if (!entry->service)
    return;
  g_ptr_array_remove_fast (entry->service->entries, entry);
  entry->service->dirty = true;
  entry->service = NULL;
}

static void
unindex_identity (struct registry *registry, struct registry_entry *entry)
{
  if (g_hash_table_lookup (registry->by_identity, &entry->identity) == entry)
    g_hash_table_remove (registry->by_identity, &entry->identity);
}

static void
unlink_change (struct registry *registry, struct registry_entry *entry)
{
  if (entry->change != 0)
    g_queue_unlink (&registry->by_change, &entry->link);
  entry->change = 0;
}

/* Assigns the newest change number to the entry, unless only its report
   was refreshed and the last change is recent. */
static void
record_change (struct registry *registry, struct registry_entry *entry,
               bool identity_changed)
{
  uint64_t interval_ms
      = REFRESH_INTERVAL_MS * zone_factor (registry, &entry->record);
  if (!identity_changed
      && entry->record.last_report_ms < entry->changed_report_ms + interval_ms)
    return;
  unlink_change (registry, entry);
  entry->change = ++registry->change;
  entry->changed_report_ms = entry->record.last_report_ms;
  g_queue_push_tail_link (&registry->by_change, &entry->link);
}

/* Indexes the entry by its service and identity. */
static void
index_entry (struct registry *registry, struct registry_entry *entry)
{
  if (!entry->service
      || strcmp (entry->service->name, entry->record.service) != 0)
    {
      remove_from_service (entry);
      entry->service = find_or_add_service (registry, entry->record.service);
      g_ptr_array_add (entry->service->entries, entry);
    }
  entry->service->dirty = true;
  uint64_t identity = registry_identity (&entry->record);
  bool identity_changed = identity != entry->identity;
  if (identity_changed)
    {
      unindex_identity (registry, entry);
      entry->identity = identity;
      g_hash_table_replace (registry->by_identity, &entry->identity, entry);
    }
  record_change (registry, entry, identity_changed);
}

static bool
is_live (const struct registry_entry *entry)
{
  return !entry->record.leaving && !entry->lapsed;
}

static struct registry_entry *
add_entry (struct registry *registry, const struct registry_record *record)
{
  struct registry_entry *entry = g_new0 (struct registry_entry, 1);
  entry->record = *record;
  entry->link.data = entry;
  entry->load = registry_load_create ();
  entry->index = registry->entries->len;
  g_ptr_array_add (registry->entries, entry);
  g_hash_table_insert (registry->by_target, entry->record.target, entry);
  registry->live += is_live (entry);
  return entry;
}

static void
update_entry (struct registry *registry, struct registry_entry *entry,
              const struct registry_record *record)
{
  if (record->incarnation != entry->record.incarnation)
    {
      registry_load_unref (entry->load);
      entry->load = registry_load_create ();
    }
  registry->live -= is_live (entry);
  entry->record = *record;
  entry->lapsed = false;
  registry->live += is_live (entry);
}

/* Merges one record without publishing it. */
static enum registry_outcome
merge_record (struct registry *registry, const struct registry_record *record,
              uint64_t now_ms)
{
  if (!registry_record_valid (record))
    return REGISTRY_INVALID;
  if (registry_lapse_at (registry, record) <= now_ms)
    return REGISTRY_STALE;
  struct registry_entry *entry
      = g_hash_table_lookup (registry->by_target, record->target);
  if (entry && !registry_record_newer (record, &entry->record))
    return REGISTRY_STALE;
  if (entry)
    update_entry (registry, entry, record);
  else
    entry = add_entry (registry, record);
  registry_load_apply_report (entry->load, record->last_report_ms, now_ms);
  index_entry (registry, entry);
  return REGISTRY_MERGED;
}

size_t
registry_merge_all (struct registry *registry,
                    const struct registry_record *records, size_t count,
                    uint64_t now_ms, enum registry_outcome *outcomes)
{
  size_t merged = 0;
  pthread_mutex_lock (&registry->mutex);
  for (size_t i = 0; i < count; i++)
    {
      enum registry_outcome outcome
          = merge_record (registry, &records[i], now_ms);
      merged += outcome == REGISTRY_MERGED;
      if (outcomes)
        outcomes[i] = outcome;
    }
  if (merged > 0)
    registry_publish (registry);
  pthread_mutex_unlock (&registry->mutex);
  return merged;
}

enum registry_outcome
registry_merge (struct registry *registry,
                const struct registry_record *record, uint64_t now_ms)
{
  enum registry_outcome outcome = REGISTRY_INVALID;
  registry_merge_all (registry, record, 1, now_ms, &outcome);
  return outcome;
}

static void
remove_entry (struct registry *registry, struct registry_entry *entry)
{
  struct registry_entry *last
      = g_ptr_array_index (registry->entries, registry->entries->len - 1);
  remove_from_service (entry);
  unlink_change (registry, entry);
  unindex_identity (registry, entry);
  g_hash_table_remove (registry->by_target, entry->record.target);
  g_ptr_array_remove_index_fast (registry->entries, entry->index);
  last->index = entry->index;
  registry->live -= is_live (entry);
  destroy_entry (entry);
}

/* Hides an expired record.  The entry remains, so that late copies of this and
   earlier records are rejected as stale. */
static void
hide_entry (struct registry *registry, struct registry_entry *entry)
{
  registry->live -= is_live (entry);
  entry->lapsed = true;
  entry->service->dirty = true;
  unlink_change (registry, entry);
  unindex_identity (registry, entry);
  entry->identity = 0;
}

static uint64_t
remove_at_ms (const struct registry *registry,
              const struct registry_entry *entry)
{
  return entry->record.last_report_ms
         + (uint64_t)REMEMBERED_LAPSES * registry->lapse_ms;
}

/* Hides or removes the entry when it is due, else samples its load.  Returns
   whether the record expired now. */
static bool
lapse_entry (struct registry *registry, struct registry_entry *entry,
             uint64_t now_ms)
{
  if (remove_at_ms (registry, entry) <= now_ms)
    {
      bool was_visible = !entry->lapsed;
      remove_entry (registry, entry);
      return was_visible;
    }
  if (entry->lapsed)
    return false;
  if (registry_lapse_at (registry, &entry->record) <= now_ms)
    {
      hide_entry (registry, entry);
      return true;
    }
  registry_load_sample (entry->load, now_ms);
  return false;
}

size_t
registry_lapse (struct registry *registry, uint64_t now_ms)
{
  size_t lapsed_count = 0;
  pthread_mutex_lock (&registry->mutex);
  for (guint i = registry->entries->len; i-- > 0;)
    lapsed_count += lapse_entry (
        registry, g_ptr_array_index (registry->entries, i), now_ms);
  if (lapsed_count > 0)
    registry_publish (registry);
  else
    ck_epoch_poll (&registry->writer->record);
  pthread_mutex_unlock (&registry->mutex);
  return lapsed_count;
}

void
registry_set_drained (struct registry *registry, const char *const *names,
                      size_t count)
{
  GHashTableIter iter;
  gpointer value;
  pthread_mutex_lock (&registry->mutex);
  g_hash_table_remove_all (registry->drained);
  for (size_t i = 0; i < count; i++)
    g_hash_table_add (registry->drained, g_strdup (names[i]));
  g_hash_table_iter_init (&iter, registry->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct registry_service *)value)->dirty = true;
  registry_publish (registry);
  pthread_mutex_unlock (&registry->mutex);
}
