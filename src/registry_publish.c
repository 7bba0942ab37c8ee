#include "registry_state.h"

#include "base_hash.h"

/* A replaced table that readers may still use. */
struct retired_table
{
  ck_epoch_entry_t entry;
  struct registry_table *table;
  struct registry *registry;
};

static void
free_retired_table (ck_epoch_entry_t *entry)
{
  struct retired_table *retired = (struct retired_table *)entry;
  for (struct registry_reader *reader = retired->registry->readers; reader;
       reader = reader->next)
    __atomic_load_n (&reader->ended, __ATOMIC_ACQUIRE);
  registry_table_destroy (retired->table);
  g_free (retired);
}

static void
add_target (const struct registry *registry,
            const struct registry_entry *entry, GArray *targets)
{
  struct registry_target target = { .record = entry->record };
  target.drained
      = g_hash_table_contains (registry->drained, entry->record.target);
  target.lapse_at_ms = registry_lapse_at (registry, &entry->record);
  target.target_hash = base_hash_string (entry->record.target);
  target.load = entry->load;
  g_array_append_val (targets, target);
}

static void
rebuild_service (struct registry *registry, struct registry_service *service)
{
  GArray *targets
      = g_array_new (FALSE, FALSE, sizeof (struct registry_target));
  for (guint i = 0; i < service->entries->len; i++)
    {
      const struct registry_entry *entry
          = g_ptr_array_index (service->entries, i);
      if (!entry->record.leaving && !entry->lapsed)
        add_target (registry, entry, targets);
    }
  if (service->view)
    registry_view_unref (service->view);
  service->view = NULL;
  if (targets->len > 0)
    service->view = registry_view_build (service->name, targets);
  service->dirty = false;
  g_array_free (targets, TRUE);
}

void
registry_publish (struct registry *registry)
{
  GHashTableIter iter;
  gpointer value;
  GPtrArray *views = g_ptr_array_new ();
  g_hash_table_iter_init (&iter, registry->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct registry_service *service = value;
      if (service->dirty)
        rebuild_service (registry, service);
      if (service->view)
        g_ptr_array_add (views, service->view);
      if (service->entries->len == 0)
        g_hash_table_iter_remove (&iter);
    }
  struct retired_table *retired = g_new0 (struct retired_table, 1);
  retired->table = registry->table;
  retired->registry = registry;
  __atomic_store_n (&registry->table, registry_table_build (views),
                    __ATOMIC_RELEASE);
  ck_epoch_call (&registry->writer->record, &retired->entry,
                 free_retired_table);
  ck_epoch_poll (&registry->writer->record);
  g_ptr_array_free (views, TRUE);
}
