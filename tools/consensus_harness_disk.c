#include "consensus_harness_disk.h"

#include <stdlib.h>
#include <string.h>

static void
clear_entry (gpointer data)
{
  struct consensus_wire_entry *entry = data;
  free (entry->data.data_val);
}

void
consensus_harness_disk_init (struct consensus_harness_disk *disk)
{
  memset (disk, 0, sizeof *disk);
  disk->entries
      = g_array_new (FALSE, FALSE, sizeof (struct consensus_wire_entry));
  g_array_set_clear_func (disk->entries, clear_entry);
}

void
consensus_harness_disk_clear (struct consensus_harness_disk *disk)
{
  g_clear_pointer (&disk->snapshot, g_bytes_unref);
  g_clear_pointer (&disk->entries, g_array_unref);
}

static struct consensus_wire_entry
copy_entry (const struct consensus_wire_entry *entry)
{
  struct consensus_wire_entry copy = *entry;
  copy.data.data_val = malloc (entry->data.data_len + 1);
  memcpy (copy.data.data_val, entry->data.data_val, entry->data.data_len);
  return copy;
}

void
consensus_harness_disk_load (const struct consensus_harness_disk *disk,
                             struct consensus *consensus)
{
  if (disk->snapshot)
    g_assert_true (consensus_load_snapshot (consensus, disk->snapshot));
  consensus_load_vote (consensus, &disk->vote);
  for (guint i = 0; i < disk->entries->len; i++)
    {
      struct consensus_wire_entry copy = copy_entry (
          &g_array_index (disk->entries, struct consensus_wire_entry, i));
      g_assert_true (consensus_load_entry (consensus, &copy));
    }
}

/* Writes at most @p count entries, starting at index @p from, and removes all
   entries after them. */
static void
append_entries (struct consensus_harness_disk *disk,
                struct consensus *consensus, uint64_t first_index,
                uint64_t count)
{
  const struct consensus_wire_entry *entry;
  uint64_t index = first_index;
  while (count-- > 0 && (entry = consensus_entry (consensus, index)))
    {
      struct consensus_wire_entry copy = copy_entry (entry);
      g_assert_cmpuint (index - disk->snapshot_index - 1, <=,
                        disk->entries->len);
      g_array_set_size (disk->entries,
                        (guint)(index - disk->snapshot_index - 1));
      g_array_append_val (disk->entries, copy);
      index++;
    }
}

static void
write_snapshot (struct consensus_harness_disk *disk,
                struct consensus *consensus)
{
  g_clear_pointer (&disk->snapshot, g_bytes_unref);
  disk->snapshot = g_bytes_ref (consensus_snapshot (consensus));
  disk->snapshot_index = consensus_snapshot_index (consensus);
  g_array_set_size (disk->entries, 0);
}

void
consensus_harness_disk_persist (struct consensus_harness_disk *disk,
                                struct consensus *consensus,
                                const struct consensus_effects *effects)
{
  if (effects->vote_changed)
    disk->vote = effects->vote;
  if (effects->snapshot_installed)
    write_snapshot (disk, consensus);
  if (effects->persist_from > 0)
    append_entries (disk, consensus, effects->persist_from, UINT64_MAX);
}

void
consensus_harness_disk_persist_part (struct consensus_harness_disk *disk,
                                     struct consensus *consensus,
                                     struct base_random *random)
{
  const struct consensus_effects *effects = consensus_effects (consensus);
  if (base_random_below (random, 2) == 0)
    return;
  if (effects->vote_changed)
    disk->vote = effects->vote;
  if (base_random_below (random, 2) == 0)
    return;
  if (effects->snapshot_installed)
    write_snapshot (disk, consensus);
  if (effects->persist_from > 0)
    append_entries (disk, consensus, effects->persist_from,
                    base_random_below (random, 8));
}

void
consensus_harness_disk_compact (struct consensus_harness_disk *disk,
                                GBytes *snapshot, uint64_t index)
{
  g_clear_pointer (&disk->snapshot, g_bytes_unref);
  disk->snapshot = g_bytes_ref (snapshot);
  g_array_remove_range (disk->entries, 0,
                        (guint)(index - disk->snapshot_index));
  disk->snapshot_index = index;
}
