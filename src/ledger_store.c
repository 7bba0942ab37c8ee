#include "ledger_store.h"

#include <errno.h>
#include <inttypes.h>
#include <stdatomic.h>
#include <string.h>

#include "base_log.h"
#include "store_identity.h"
#include "store_log.h"
#include "store_snapshot.h"

/* Growth of the log after which a snapshot is written, in bytes. */
#define SNAPSHOT_LOG_BYTES (32u * 1024 * 1024)
/* Length after which a log record ends and the round's further changes go into
   the next one, in bytes. */
#define RECORD_BYTES_MAX (4u * 1024 * 1024)

/* A snapshot that a thread writes. */
struct snapshot_job
{
  char *folder;
  /* Last log record that the snapshot covers. */
  uint64_t index;
  GByteArray *bytes;
  struct ledger_bills_seal *seal;
  GThread *thread;
  atomic_bool finished;
  /* Error number of a failed write, or 0; valid when finished. */
  int error;
};

struct ledger_store
{
  char *folder;
  struct store_identity identity;
  struct store_log *log;
  struct escrow_ledger *ledger;
  struct ledger_bills *bills;
  uint64_t bills_bytes_max;
  /* Entries of the changes since the last commit. */
  GByteArray *journal;
  uint64_t bytes_since_snapshot;
  uint64_t replayed;
  /* The snapshot that is being written, or NULL. */
  struct snapshot_job *job;
  /* True when a write of the log failed: every later commit fails. */
  bool failed;
};

/* Adds the bills of a log record, which was replayed and so is well-formed. */
static void
add_bills (struct ledger_store *store, const void *data, size_t bytes)
{
  struct escrow_reader reader = { data, bytes, 0, false };
  struct escrow_entry entry;
  while (reader.offset < bytes && escrow_entry_get (&entry, &reader) == 0)
    ledger_bills_add (store->bills, &entry);
}

static int
replay_record (void *context, uint64_t index, const void *data, size_t bytes)
{
  (void)index;
  struct ledger_store *store = context;
  if (escrow_ledger_replay (store->ledger, data, bytes) != 0)
    return 1;
  add_bills (store, data, bytes);
  store->bytes_since_snapshot += bytes;
  store->replayed++;
  return 0;
}

/* Loads the snapshot.  Returns the index of the log record after it, or 0 with
   findings. */
static uint64_t
load_snapshot (struct ledger_store *store, struct base_findings *findings)
{
  uint64_t index = 0;
  void *data = NULL;
  size_t bytes = 0;
  uint64_t next_bill = 1;
  int found
      = store_snapshot_read (store->folder, &index, &data, &bytes, findings);
  if (found < 0)
    return 0;
  if (found == 1)
    {
      struct escrow_reader reader = { data, bytes, 0, false };
      next_bill = escrow_get_u64 (&reader);
      const char *state = (const char *)data + reader.offset;
      if (reader.failed
          || escrow_ledger_load (store->ledger, state, bytes - reader.offset)
                 != 0)
        {
          base_findings_add (findings, store->folder,
                             "the snapshot holds no valid ledger state");
          g_free (data);
          return 0;
        }
    }
  g_free (data);
  store->bills = ledger_bills_open (store->folder, next_bill);
  return index + 1;
}

static int
replay_log (struct ledger_store *store, uint64_t from_index,
            struct base_findings *findings)
{
  store->log = store_log_open (store->folder, from_index, false, findings);
  if (!store->log)
    return -1;
  if (store_log_first_index (store->log) > from_index
      || store_log_next_index (store->log) < from_index)
    {
      base_findings_add (findings, store->folder,
                         "the log has records %" PRIu64 " to %" PRIu64
                         ", but the snapshot needs them from %" PRIu64,
                         store_log_first_index (store->log),
                         store_log_next_index (store->log) - 1, from_index);
      return -1;
    }
  int status = store_log_replay (store->log, from_index, replay_record, store,
                                 findings);
  if (status > 0)
    base_findings_add (findings, store->folder,
                       "log record %" PRIu64
                       " is malformed or contradicts the ledger state",
                       from_index + store->replayed);
  return status;
}

/* Checks that the loaded state is consistent.  Returns 0, or -1 and adds
   findings. */
static int
audit (struct ledger_store *store, struct base_findings *findings)
{
  size_t before = base_findings_count (findings);
  escrow_ledger_audit (store->ledger, findings);
  return base_findings_count (findings) == before ? 0 : -1;
}

struct ledger_store *
ledger_store_open (const char *folder, const char *cluster, const char *host,
                   uint64_t bills_bytes_max, struct base_findings *findings)
{
  struct ledger_store *store = g_new0 (struct ledger_store, 1);
  store->folder = g_strdup (folder);
  store->ledger = escrow_ledger_create ();
  store->journal = g_byte_array_new ();
  store->bills_bytes_max = bills_bytes_max;
  store->identity.lock_fd = -1;
  g_strlcpy (store->identity.cluster, cluster, sizeof store->identity.cluster);
  g_strlcpy (store->identity.role, "ledger", sizeof store->identity.role);
  g_strlcpy (store->identity.name, host, sizeof store->identity.name);
  if (store_identity_open (folder, &store->identity, findings) != 0)
    goto fail;
  uint64_t from_index = load_snapshot (store, findings);
  if (from_index == 0 || replay_log (store, from_index, findings) != 0
      || audit (store, findings) != 0)
    goto fail;
  escrow_ledger_set_journal (store->ledger, store->journal);
  return store;
fail:
  ledger_store_close (store, false);
  return NULL;
}

static void
free_job (struct snapshot_job *job)
{
  g_byte_array_unref (job->bytes);
  g_free (job->folder);
  g_free (job);
}

/* Writes the bills, then the snapshot: every bill that a snapshot covers must
   already be in a file. */
static gpointer
run_job (gpointer data)
{
  struct snapshot_job *job = data;
  if (ledger_bills_seal_write (job->seal) != 0
      || store_snapshot_write (job->folder, job->index, job->bytes->data,
                               job->bytes->len)
             != 0)
    job->error = errno ? errno : EIO;
  atomic_store (&job->finished, true);
  return NULL;
}

/* Copies the state for a snapshot and seals the bills. */
static struct snapshot_job *
make_job (struct ledger_store *store)
{
  struct snapshot_job *job = g_new0 (struct snapshot_job, 1);
  job->folder = g_strdup (store->folder);
  job->index = store_log_next_index (store->log) - 1;
  job->bytes = g_byte_array_new ();
  escrow_put_u64 (job->bytes, ledger_bills_next_number (store->bills));
  escrow_ledger_save (store->ledger, job->bytes);
  job->seal = ledger_bills_seal_start (store->bills);
  return job;
}

/* Drops the log records that the snapshot covers, or logs why it failed. */
static void
finish_job (struct ledger_store *store, struct snapshot_job *job)
{
  ledger_bills_seal_end (store->bills, job->seal, job->error == 0);
  if (job->error != 0)
    base_log (BASE_LOG_ERROR, "snapshot-failed folder=%s error=%s",
              job->folder, g_strerror (job->error));
  else
    {
      store_log_drop_before (store->log, job->index + 1);
      ledger_bills_trim (store->bills, store->bills_bytes_max);
    }
  free_job (job);
}

void
ledger_store_update_snapshot (struct ledger_store *store)
{
  if (store->job && atomic_load (&store->job->finished))
    {
      g_thread_join (store->job->thread);
      finish_job (store, store->job);
      store->job = NULL;
    }
  if (store->job || store->failed
      || store->bytes_since_snapshot < SNAPSHOT_LOG_BYTES)
    return;
  store->bytes_since_snapshot = 0;
  store->job = make_job (store);
  store->job->thread = g_thread_new ("snapshot", run_job, store->job);
}

/* Writes a snapshot on this thread, after the one in progress. */
static void
snapshot_now (struct ledger_store *store)
{
  if (store->job)
    {
      g_thread_join (store->job->thread);
      finish_job (store, store->job);
      store->job = NULL;
    }
  struct snapshot_job *job = make_job (store);
  run_job (job);
  finish_job (store, job);
}

void
ledger_store_close (struct ledger_store *store, bool snapshot)
{
  if (!store)
    return;
  if (snapshot && !store->failed && ledger_store_commit (store) == 0)
    snapshot_now (store);
  if (store->job)
    {
      g_thread_join (store->job->thread);
      free_job (store->job);
    }
  store_log_close (store->log);
  ledger_bills_close (store->bills);
  store_identity_close (&store->identity);
  escrow_ledger_destroy (store->ledger);
  g_byte_array_unref (store->journal);
  g_free (store->folder);
  g_free (store);
}

uint64_t
ledger_store_incarnation (const struct ledger_store *store)
{
  return store->identity.incarnation;
}

struct escrow_ledger *
ledger_store_ledger (struct ledger_store *store)
{
  return store->ledger;
}

struct ledger_bills *
ledger_store_bills (struct ledger_store *store)
{
  return store->bills;
}

/* Appends the journal to the log, split between entries into records.  Each is
   a write of its own: the log has no marks, so that one whose last write holds
   several records can't be opened when it is torn. */
static int
append_journal (struct ledger_store *store)
{
  struct escrow_reader reader
      = { store->journal->data, store->journal->len, 0, false };
  struct escrow_entry entry;
  size_t start = 0;
  while (start < store->journal->len)
    {
      while (reader.offset < store->journal->len
             && reader.offset - start < RECORD_BYTES_MAX)
        {
          int status = escrow_entry_get (&entry, &reader);
          g_assert (status == 0);
          ledger_bills_add (store->bills, &entry);
        }
      if (store_log_sync (store->log) != 0
          || store_log_append (store->log, store->journal->data + start,
                               reader.offset - start)
                 == 0)
        return -1;
      start = reader.offset;
    }
  return 0;
}

int
ledger_store_commit (struct ledger_store *store)
{
  if (store->failed)
    {
      errno = EIO;
      return -1;
    }
  if (store->journal->len == 0)
    return 0;
  if (append_journal (store) != 0 || store_log_sync (store->log) != 0)
    {
      store->failed = true;
      return -1;
    }
  store->bytes_since_snapshot += store->journal->len;
  g_byte_array_set_size (store->journal, 0);
  return 0;
}

uint64_t
ledger_store_log_bytes (const struct ledger_store *store)
{
  return store_log_bytes (store->log);
}

uint64_t
ledger_store_replayed_records (const struct ledger_store *store)
{
  return store->replayed;
}
