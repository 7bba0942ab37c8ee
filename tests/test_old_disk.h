#ifndef TEST_OLD_DISK_H
#define TEST_OLD_DISK_H

/** @file
 *  Reads a control member's data folder by the rules of the build of commit
 *  728f5f8, which must be able to read what later builds write.  It stays as
 *  it is when those rules change. */

#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base_hash.h"
#include "wire_consensus.h"
#include "wire_control.h"

#define OLD_RECORD_MAGIC 0x52434143u
#define OLD_SNAPSHOT_MAGIC UINT64_C (0x31706e7353434143)
#define OLD_VOTE_BYTES 24

/** Header of a record in a segment. */
struct old_record_header
{
  uint32_t magic;
  uint32_t bytes;
  uint64_t index;
  uint64_t data_checksum;
  uint64_t header_checksum;
};

/** Header of the snapshot. */
struct old_snapshot_header
{
  uint64_t magic;
  uint64_t index;
  uint64_t bytes;
  uint64_t checksum;
};

/** What a folder holds. */
struct old_disk
{
  /** Why the folder is refused; NULL: it is read. */
  const char *refusal;
  struct consensus_wire_vote vote;
  /** Log record and entry up to which the snapshot goes. */
  uint64_t covered;
  uint64_t base;
  /** Newest accepted version in the snapshot; 0: none. */
  uint64_t snapshot_version;
  uint32_t vote_records;
  uint32_t entry_records;
  /** Entries from base + 1 on (struct consensus_wire_entry). */
  GPtrArray *entries;
};

static inline void
old_entry_free (gpointer entry)
{
  xdr_free ((xdrproc_t)xdr_consensus_wire_entry, entry);
  g_free (entry);
}

static inline void
old_disk_load_vote (struct old_disk *disk,
                    const struct consensus_wire_vote *vote)
{
  if (vote->term >= disk->vote.term)
    disk->vote = *vote;
}

/** Takes the entry's data. */
static inline void
old_disk_load_entry (struct old_disk *disk, struct consensus_wire_entry *entry)
{
  uint64_t last = disk->base + disk->entries->len;
  disk->entry_records++;
  if (entry->index > last + 1)
    disk->refusal = "gap between entries";
  if (entry->index > last + 1 || entry->index <= disk->base)
    return;
  if (entry->term > disk->vote.term)
    disk->vote = (struct consensus_wire_vote){ .term = entry->term };
  g_ptr_array_set_size (disk->entries, (gint)(entry->index - disk->base - 1));
  g_ptr_array_add (disk->entries, g_memdup2 (entry, sizeof *entry));
  memset (entry, 0, sizeof *entry);
}

/** Decodes a record; bytes behind it are ignored. */
static inline void
old_disk_replay (struct old_disk *disk, char *data, uint32_t bytes)
{
  struct consensus_wire_record record = { 0 };
  XDR stream;
  xdrmem_create (&stream, data, bytes, XDR_DECODE);
  bool valid = xdr_consensus_wire_record (&stream, &record);
  XDR_DESTROY (&stream);
  if (!valid)
    disk->refusal = "malformed record";
  else if (record.kind == CONSENSUS_RECORD_VOTE)
    {
      old_disk_load_vote (disk, &record.consensus_wire_record_u.vote);
      disk->vote_records++;
    }
  else
    old_disk_load_entry (disk, &record.consensus_wire_record_u.entry);
  xdr_free ((xdrproc_t)xdr_consensus_wire_record, (char *)&record);
}

static inline bool
old_is_zero (const char *data, size_t bytes)
{
  for (size_t i = 0; i < bytes; i++)
    if (data[i] != 0)
      return false;
  return true;
}

/** Size of the whole record at @p data with @p left bytes, header included; 0:
 *  a torn end; sets the refusal when it is damaged. */
static inline size_t
old_disk_check_record (struct old_disk *disk, const char *data, size_t left,
                       uint64_t index)
{
  struct old_record_header header;
  if (left < sizeof header || old_is_zero (data, left))
    return 0;
  memcpy (&header, data, sizeof header);
  if (header.magic != OLD_RECORD_MAGIC
      || header.header_checksum
             != base_hash64 (
                 &header, offsetof (struct old_record_header, header_checksum))
      || header.index != index)
    disk->refusal = "damaged header";
  else if (header.bytes > left - sizeof header)
    return 0;
  else if (header.data_checksum
           != base_hash64 (data + sizeof header, header.bytes))
    disk->refusal = "damaged data";
  return disk->refusal ? 0 : sizeof header + header.bytes;
}

/** Reads a segment; returns the number after its last record. */
static inline uint64_t
old_disk_read_segment (struct old_disk *disk, const char *path, uint64_t index,
                       bool last)
{
  char *data = NULL;
  gsize bytes = 0;
  gsize offset = 0;
  size_t size = 1;
  g_assert_true (g_file_get_contents (path, &data, &bytes, NULL));
  while (!disk->refusal && offset < bytes && size > 0)
    {
      size
          = old_disk_check_record (disk, data + offset, bytes - offset, index);
      size_t header = sizeof (struct old_record_header);
      if (size > 0 && index > disk->covered)
        old_disk_replay (disk, data + offset + header,
                         (uint32_t)(size - header));
      offset += size;
      index += size > 0;
    }
  if (!disk->refusal && size == 0 && !last)
    disk->refusal = "torn segment before the last";
  g_free (data);
  return index;
}

/** Decodes the vote, the snapshot and the state in it. */
static inline void
old_disk_decode_snapshot (struct old_disk *disk, char *data, size_t bytes)
{
  struct consensus_wire_snapshot snapshot = { 0 };
  struct control_state_image image = { 0 };
  XDR stream;
  xdrmem_create (&stream, data, OLD_VOTE_BYTES, XDR_DECODE);
  bool valid = xdr_consensus_wire_vote (&stream, &disk->vote);
  XDR_DESTROY (&stream);
  xdrmem_create (&stream, data + OLD_VOTE_BYTES,
                 (u_int)(bytes - OLD_VOTE_BYTES), XDR_DECODE);
  valid = valid && xdr_consensus_wire_snapshot (&stream, &snapshot);
  XDR_DESTROY (&stream);
  xdrmem_create (&stream, snapshot.state.state_val, snapshot.state.state_len,
                 XDR_DECODE);
  valid = valid && xdr_control_state_image (&stream, &image);
  XDR_DESTROY (&stream);
  if (!valid)
    disk->refusal = "malformed snapshot";
  disk->base = snapshot.log_index;
  u_int accepted = image.accepted.accepted_len;
  if (accepted > 0)
    disk->snapshot_version
        = image.accepted.accepted_val[accepted - 1].bundle_version;
  xdr_free ((xdrproc_t)xdr_control_state_image, (char *)&image);
  xdr_free ((xdrproc_t)xdr_consensus_wire_snapshot, (char *)&snapshot);
}

static inline void
old_disk_read_snapshot (struct old_disk *disk, const char *folder)
{
  struct old_snapshot_header header;
  char *data = NULL;
  gsize bytes = 0;
  char *path = g_build_filename (folder, "snapshot", NULL);
  if (g_file_get_contents (path, &data, &bytes, NULL))
    {
      memcpy (&header, data, MIN (sizeof header, bytes));
      if (bytes < sizeof header + OLD_VOTE_BYTES
          || header.magic != OLD_SNAPSHOT_MAGIC
          || header.bytes != bytes - sizeof header
          || header.checksum
                 != (base_hash64 (data + sizeof header, header.bytes)
                     ^ (header.index * UINT64_C (0x9e3779b97f4a7c15))
                     ^ header.bytes))
        disk->refusal = "damaged snapshot";
      else
        old_disk_decode_snapshot (disk, data + sizeof header, header.bytes);
      disk->covered = header.index;
    }
  g_free (data);
  g_free (path);
}

static inline gint
old_disk_compare_names (gconstpointer left, gconstpointer right)
{
  return strcmp (*(char *const *)left, *(char *const *)right);
}

/** Reads the folder; see old_disk.refusal.  Call old_disk_clear() after it. */
static inline void
old_disk_read (struct old_disk *disk, const char *folder)
{
  const char *name;
  uint64_t next = 0;
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  GDir *listing = g_dir_open (folder, 0, NULL);
  g_assert_nonnull (listing);
  memset (disk, 0, sizeof *disk);
  disk->entries = g_ptr_array_new_with_free_func (old_entry_free);
  old_disk_read_snapshot (disk, folder);
  while ((name = g_dir_read_name (listing)))
    if (g_str_has_prefix (name, "log-"))
      g_ptr_array_add (names, g_strdup (name));
  g_dir_close (listing);
  g_ptr_array_sort (names, old_disk_compare_names);
  for (guint i = 0; i < names->len && !disk->refusal; i++)
    {
      name = names->pdata[i];
      uint64_t first = g_ascii_strtoull (name + strlen ("log-"), NULL, 10);
      char *path = g_build_filename (folder, name, NULL);
      if (i > 0 && first != next)
        disk->refusal = "records are missing between segments";
      else
        next = old_disk_read_segment (disk, path, first, i + 1 == names->len);
      g_free (path);
    }
  g_ptr_array_unref (names);
}

/** Frees what old_disk_read() stored. */
static inline void
old_disk_clear (struct old_disk *disk)
{
  g_ptr_array_unref (disk->entries);
}

#endif
