#include "registry_view.h"

#include <string.h>

#include "base_hash.h"

static gint
compare_targets (gconstpointer left, gconstpointer right)
{
  const struct registry_record *a
      = &((const struct registry_target *)left)->record;
  const struct registry_record *b
      = &((const struct registry_target *)right)->record;
  int order = strcmp (a->region, b->region);
  if (order == 0)
    order = strcmp (a->availability_zone, b->availability_zone);
  if (order == 0)
    order = strcmp (a->target, b->target);
  return order;
}

static bool
is_in_group (const struct registry_group *group,
             const struct registry_record *record)
{
  return strcmp (group->region, record->region) == 0
         && strcmp (group->availability_zone, record->availability_zone) == 0;
}

static struct registry_group *
add_group (GArray *groups, const struct registry_record *record,
           uint32_t first)
{
  struct registry_group group = { .first = first };
  g_strlcpy (group.region, record->region, sizeof group.region);
  g_strlcpy (group.availability_zone, record->availability_zone,
             sizeof group.availability_zone);
  g_array_append_val (groups, group);
  return &g_array_index (groups, struct registry_group, groups->len - 1);
}

/* Builds the groups of sorted targets; the caller frees them with g_free. */
static struct registry_group *
build_groups (const struct registry_target *targets, size_t count,
              size_t *group_count)
{
  GArray *groups = g_array_new (FALSE, FALSE, sizeof (struct registry_group));
  for (uint32_t i = 0; i < count; i++)
    {
      struct registry_group *last = NULL;
      if (groups->len > 0)
        last = &g_array_index (groups, struct registry_group, groups->len - 1);
      if (!last || !is_in_group (last, &targets[i].record))
        last = add_group (groups, &targets[i].record, i);
      last->count++;
      last->reported_load += registry_record_load (&targets[i].record);
    }
  *group_count = groups->len;
  return (struct registry_group *)g_array_free (groups, FALSE);
}

struct registry_view_holder *
registry_view_build (const char *service, GArray *targets)
{
  struct registry_view_holder *holder
      = g_new0 (struct registry_view_holder, 1);
  holder->references = 1;
  g_strlcpy (holder->service, service, sizeof holder->service);
  holder->service_hash = base_hash_string (service);
  g_array_sort (targets, compare_targets);
  struct registry_target *copy
      = g_memdup2 (targets->data, targets->len * sizeof *copy);
  uint64_t *hashes = g_new (uint64_t, targets->len);
  for (uint32_t i = 0; i < targets->len; i++)
    {
      registry_load_ref (copy[i].load);
      hashes[i] = copy[i].target_hash;
    }
  holder->view.hashes = hashes;
  holder->view.count = targets->len;
  holder->view.targets = copy;
  holder->view.groups
      = build_groups (copy, targets->len, &holder->view.group_count);
  return holder;
}

struct registry_view_holder *
registry_view_ref (struct registry_view_holder *holder)
{
  holder->references++;
  return holder;
}

void
registry_view_unref (struct registry_view_holder *holder)
{
  if (--holder->references > 0)
    return;
  for (size_t i = 0; i < holder->view.count; i++)
    registry_load_unref (holder->view.targets[i].load);
  g_free ((gpointer)holder->view.targets);
  g_free ((gpointer)holder->view.groups);
  g_free ((gpointer)holder->view.hashes);
  g_free (holder);
}

static void
insert_view (struct registry_table *table, struct registry_view_holder *holder)
{
  uint32_t mask = table->bucket_count - 1;
  uint32_t bucket = (uint32_t)holder->service_hash & mask;
  while (table->buckets[bucket])
    bucket = (bucket + 1) & mask;
  table->buckets[bucket] = registry_view_ref (holder);
}

struct registry_table *
registry_table_build (const GPtrArray *views)
{
  struct registry_table *table = g_new0 (struct registry_table, 1);
  table->bucket_count = 4;
  while (table->bucket_count < 2 * views->len)
    table->bucket_count *= 2;
  table->buckets = g_new0 (struct registry_view_holder *, table->bucket_count);
  for (guint i = 0; i < views->len; i++)
    insert_view (table, g_ptr_array_index (views, i));
  return table;
}

void
registry_table_destroy (struct registry_table *table)
{
  for (uint32_t i = 0; i < table->bucket_count; i++)
    if (table->buckets[i])
      registry_view_unref (table->buckets[i]);
  g_free (table->buckets);
  g_free (table);
}

const struct registry_view *
registry_table_find (const struct registry_table *table, const char *service)
{
  uint64_t hash = base_hash_string (service);
  uint32_t mask = table->bucket_count - 1;
  for (uint32_t bucket = (uint32_t)hash & mask; table->buckets[bucket];
       bucket = (bucket + 1) & mask)
    {
      const struct registry_view_holder *holder = table->buckets[bucket];
      if (holder->service_hash == hash
          && strcmp (holder->service, service) == 0)
        return &holder->view;
    }
  return NULL;
}
