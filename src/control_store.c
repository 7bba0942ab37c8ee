#include "control_store.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "store_file.h"
#include "store_log.h"
#include "store_snapshot.h"

/* Encoded size of a struct consensus_wire_vote, in bytes. */
#define VOTE_BYTES 24

struct control_store
{
  char *folder;
  struct store_log *log;
  struct consensus_wire_vote vote;
  /* Number of the log record of each entry (uint64_t); the first is that of
     entry base + 1. */
  GArray *records;
  /* Index of the last entry that the snapshot covers. */
  uint64_t base;
  uint64_t tail_bytes;
  uint64_t syncs;
  struct control_store_wait wait;
};

struct control_store *
control_store_open (const char *folder, struct base_findings *findings)
{
  struct store_log *log = store_log_open (folder, 1, true, findings);
  if (!log)
    return NULL;
  struct control_store *store = g_new0 (struct control_store, 1);
  store->folder = g_strdup (folder);
  store->log = log;
  store->records = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  return store;
}

void
control_store_close (struct control_store *store)
{
  if (!store)
    return;
  store_log_close (store->log);
  g_array_unref (store->records);
  g_free (store->folder);
  g_free (store);
}

/* Sets the record of entry @p index and drops those of later entries. */
static void
set_record (struct control_store *store, uint64_t index, uint64_t record)
{
  if (index <= store->base)
    return;
  g_array_set_size (store->records, (guint)(index - store->base - 1));
  g_array_append_val (store->records, record);
}

/* Context of a replay. */
struct replay
{
  struct control_store *store;
  struct consensus *consensus;
};

static int
replay_record (void *context, uint64_t index, const void *data, size_t bytes)
{
  struct replay *replay = context;
  struct consensus_wire_record record = { 0 };
  XDR stream;
  int status = 1;
  xdrmem_create (&stream, (char *)data, (u_int)bytes, XDR_DECODE);
  bool valid = xdr_consensus_wire_record (&stream, &record);
  XDR_DESTROY (&stream);
  if (valid && record.kind == CONSENSUS_RECORD_VOTE)
    {
      consensus_load_vote (replay->consensus,
                           &record.consensus_wire_record_u.vote);
      replay->store->vote = record.consensus_wire_record_u.vote;
      status = 0;
    }
  else if (valid)
    {
      struct consensus_wire_entry *entry
          = &record.consensus_wire_record_u.entry;
      set_record (replay->store, entry->index, index);
      if (consensus_load_entry (replay->consensus, entry))
        {
          entry->data.data_val = NULL;
          entry->data.data_len = 0;
          status = 0;
        }
    }
  xdr_free ((xdrproc_t)xdr_consensus_wire_record, (char *)&record);
  replay->store->tail_bytes += bytes;
  return status;
}

/* Loads the snapshot file, which holds a vote and then the snapshot. */
static bool
load_snapshot (struct control_store *store, struct consensus *consensus,
               char *data, size_t bytes)
{
  XDR stream;
  if (bytes < VOTE_BYTES)
    return false;
  xdrmem_create (&stream, data, VOTE_BYTES, XDR_DECODE);
  bool valid = xdr_consensus_wire_vote (&stream, &store->vote);
  XDR_DESTROY (&stream);
  GBytes *snapshot = g_bytes_new (data + VOTE_BYTES, bytes - VOTE_BYTES);
  valid = valid && consensus_load_snapshot (consensus, snapshot);
  g_bytes_unref (snapshot);
  if (!valid)
    return false;
  consensus_load_vote (consensus, &store->vote);
  store->base = consensus_snapshot_index (consensus);
  return true;
}

int
control_store_load (struct control_store *store, struct consensus *consensus,
                    struct base_findings *findings)
{
  uint64_t covered = 0;
  void *data = NULL;
  size_t bytes = 0;
  struct replay replay = { store, consensus };
  int found
      = store_snapshot_read (store->folder, &covered, &data, &bytes, findings);
  if (found < 0)
    return -1;
  bool valid = found == 0 || load_snapshot (store, consensus, data, bytes);
  g_free (data);
  if (!valid)
    {
      base_findings_add (findings, store->folder,
                         "the snapshot file can't be decoded");
      return -1;
    }
  /* Records that the snapshot covers may have been cut off or lost.  New ones
     with their numbers would not be replayed. */
  if (store_log_next_index (store->log) <= covered
      && store_log_reset (store->log, covered + 1) != 0)
    {
      base_findings_add (findings, store->folder,
                         "the log can't be started again: %s",
                         g_strerror (errno));
      return -1;
    }
  uint64_t from = MAX (covered + 1, store_log_first_index (store->log));
  int status
      = store_log_replay (store->log, from, replay_record, &replay, findings);
  if (status > 0)
    base_findings_add (
        findings, store->folder,
        "the log has a malformed record or a gap between its records");
  return status == 0 ? 0 : -1;
}

/* Encodes and appends a record.  Returns its number in the log, or 0 with
   errno set. */
static uint64_t
append_record (struct control_store *store,
               struct consensus_wire_record *record)
{
  XDR stream;
  u_int bytes
      = (u_int)xdr_sizeof ((xdrproc_t)xdr_consensus_wire_record, record);
  char *data = g_malloc (bytes + 1);
  xdrmem_create (&stream, data, bytes, XDR_ENCODE);
  xdr_consensus_wire_record (&stream, record);
  XDR_DESTROY (&stream);
  uint64_t index = store_log_append (store->log, data, bytes);
  g_free (data);
  store->tail_bytes += bytes;
  return index;
}

static int
append_vote (struct control_store *store,
             const struct consensus_wire_vote *vote)
{
  struct consensus_wire_record record = { .kind = CONSENSUS_RECORD_VOTE };
  record.consensus_wire_record_u.vote = *vote;
  store->vote = *vote;
  return append_record (store, &record) > 0 ? 0 : -1;
}

static int
append_entries (struct control_store *store, struct consensus *consensus,
                uint64_t from)
{
  const struct consensus_wire_entry *entry;
  for (uint64_t index = from; (entry = consensus_entry (consensus, index));
       index++)
    {
      struct consensus_wire_record record = { .kind = CONSENSUS_RECORD_ENTRY };
      record.consensus_wire_record_u.entry = *entry;
      uint64_t number = append_record (store, &record);
      if (number == 0)
        return -1;
      set_record (store, index, number);
    }
  return 0;
}

/* Writes the snapshot of @p consensus together with the vote, and drops the
   records before @p next_record, which it covers. */
static int
write_snapshot (struct control_store *store, struct consensus *consensus,
                uint64_t next_record)
{
  XDR stream;
  gsize bytes = 0;
  const char *data = g_bytes_get_data (consensus_snapshot (consensus), &bytes);
  char *file = g_malloc (VOTE_BYTES + bytes);
  xdrmem_create (&stream, file, VOTE_BYTES, XDR_ENCODE);
  xdr_consensus_wire_vote (&stream, &store->vote);
  XDR_DESTROY (&stream);
  memcpy (file + VOTE_BYTES, data, bytes);
  int status = store_snapshot_write (store->folder, next_record - 1, file,
                                     VOTE_BYTES + bytes);
  g_free (file);
  if (status != 0)
    return -1;
  store->tail_bytes = 0;
  return store_log_drop_before (store->log, next_record);
}

/* Whether to try again after a failure: the disk is full, and the process
   waits. */
static bool
may_retry (const struct control_store *store)
{
  return store_file_is_full (errno) && store->wait.wait
         && store->wait.wait (store->wait.context);
}

static int
sync_log (struct control_store *store)
{
  int status;
  do
    status = store_log_sync (store->log);
  while (status != 0 && may_retry (store));
  return status;
}

/* Replaces all entries by a snapshot that a leader sent. */
static int
persist_installed (struct control_store *store, struct consensus *consensus)
{
  int status;
  if (sync_log (store) != 0)
    return -1;
  store->base = consensus_snapshot_index (consensus);
  g_array_set_size (store->records, 0);
  do
    status
        = write_snapshot (store, consensus, store_log_next_index (store->log));
  while (status != 0 && may_retry (store));
  return status;
}

void
control_store_set_wait (struct control_store *store,
                        const struct control_store_wait *wait)
{
  store->wait = *wait;
}

int
control_store_persist (struct control_store *store,
                       struct consensus *consensus,
                       const struct consensus_effects *effects)
{
  if (!effects->vote_changed && !effects->snapshot_installed
      && effects->persist_from == 0)
    return 0;
  if (effects->vote_changed && append_vote (store, &effects->vote) != 0)
    return -1;
  if (effects->snapshot_installed && persist_installed (store, consensus) != 0)
    return -1;
  if (effects->persist_from > 0
      && append_entries (store, consensus, effects->persist_from) != 0)
    return -1;
  store->syncs++;
  return sync_log (store);
}

int
control_store_compact (struct control_store *store,
                       struct consensus *consensus)
{
  uint64_t base = consensus_snapshot_index (consensus);
  guint count = (guint)(base - store->base);
  g_array_remove_range (store->records, 0, count);
  store->base = base;
  uint64_t next_record = store->records->len > 0
                             ? g_array_index (store->records, uint64_t, 0)
                             : store_log_next_index (store->log);
  return write_snapshot (store, consensus, next_record);
}

uint64_t
control_store_tail_bytes (const struct control_store *store)
{
  return store->tail_bytes;
}

uint64_t
control_store_cut_bytes (const struct control_store *store)
{
  return store_log_cut_bytes (store->log);
}

uint64_t
control_store_syncs (const struct control_store *store)
{
  return store->syncs;
}
