#include "control_targets_store.h"

#include <errno.h>
#include <inttypes.h>
#include <string.h>

#include "base_clock.h"
#include "base_hash.h"
#include "base_log.h"
#include "store_file.h"

#define FILE_NAME "targets"
/* Shortest time between two writes, and longest one, in milliseconds: the
   entries of a file that is older than their time are lost. */
#define WRITE_INTERVAL_MS 500
#define WRITE_INTERVAL_MAX_MS 20000

struct control_targets_store
{
  char *folder;
  GMutex *targets_mutex;
  struct control_targets *targets;
  /* Used by the thread: time of the last write, and whether it failed. */
  uint64_t written_ms;
  bool has_failed;
  GMutex mutex;
  /* Signals the thread. */
  GCond wake;
  /* Signals those that wait for a write. */
  GCond written;
  /* Guarded by the mutex: the last change that is on the disk, the last one
     that somebody waits for, and the number of writes that failed. */
  uint64_t written_change;
  uint64_t wanted_change;
  uint64_t failures;
  bool stopping;
  GThread *thread;
};

static uint64_t
now_ms (void)
{
  return base_clock_now_ms (base_clock_system ());
}

/* Decodes a file: a hash of the rest, then XDR. */
static bool
decode (const char *data, gsize bytes, struct control_targets_file *file)
{
  XDR stream;
  uint64_t hash = 0;
  memset (file, 0, sizeof *file);
  if (bytes < sizeof hash)
    return false;
  memcpy (&hash, data, sizeof hash);
  data += sizeof hash;
  bytes -= sizeof hash;
  if (hash != base_hash64 (data, bytes))
    return false;
  xdrmem_create (&stream, (char *)(uintptr_t)data, (u_int)bytes, XDR_DECODE);
  bool valid = xdr_control_targets_file (&stream, file);
  XDR_DESTROY (&stream);
  return valid;
}

static void
restore (struct control_targets_store *store)
{
  char *data = NULL;
  gsize bytes = 0;
  struct control_targets_file file;
  char *path = g_build_filename (store->folder, FILE_NAME, NULL);
  bool exists = g_file_get_contents (path, &data, &bytes, NULL);
  if (exists && decode (data, bytes, &file))
    {
      uint64_t wall_ms = base_clock_steady_wall_ms ();
      g_mutex_lock (store->targets_mutex);
      control_targets_restore (store->targets, &file, now_ms (), wall_ms);
      store->written_change = control_targets_newest_change (store->targets);
      g_mutex_unlock (store->targets_mutex);
      base_log (BASE_LOG_NOTICE, "targets-restored saved=%u age_ms=%" PRIi64,
                (unsigned)file.entries.entries_len,
                (int64_t)(wall_ms - file.wall_ms));
    }
  else if (exists)
    base_log (BASE_LOG_WARNING, "targets-unreadable path=%s bytes=%zu", path,
              (size_t)bytes);
  if (exists)
    xdr_free ((xdrproc_t)xdr_control_targets_file, (char *)&file);
  g_free (data);
  g_free (path);
}

/* Notes the result of a write for those that wait for it. */
static void
note_write (struct control_targets_store *store, uint64_t change, bool failed)
{
  g_mutex_lock (&store->mutex);
  if (failed)
    {
      store->failures++;
      /* The next attempt is made after the usual interval. */
      store->wanted_change = store->written_change;
    }
  else
    store->written_change = change;
  g_cond_broadcast (&store->written);
  g_mutex_unlock (&store->mutex);
}

/* Writes the targets if they have changed since change number @p written, or
   from time to time. */
static void
write_changes (struct control_targets_store *store, uint64_t written)
{
  XDR stream;
  struct control_targets_file file = { 0 };
  g_mutex_lock (store->targets_mutex);
  uint64_t change = control_targets_newest_change (store->targets);
  bool is_due = change != written
                || (change != 0
                    && now_ms () >= store->written_ms + WRITE_INTERVAL_MAX_MS);
  if (is_due)
    control_targets_save (store->targets, base_clock_steady_wall_ms (), &file);
  g_mutex_unlock (store->targets_mutex);
  if (!is_due)
    return;
  u_int bytes = (u_int)xdr_sizeof ((xdrproc_t)xdr_control_targets_file, &file);
  char *data = g_malloc (bytes + 1);
  xdrmem_create (&stream, data, bytes, XDR_ENCODE);
  bool encoded = xdr_control_targets_file (&stream, &file);
  XDR_DESTROY (&stream);
  uint64_t hash = base_hash64 (data, bytes);
  bool failed = !encoded
                || store_file_replace (store->folder, FILE_NAME, &hash,
                                       sizeof hash, data, bytes)
                       != 0;
  if (failed != store->has_failed)
    base_log (BASE_LOG_WARNING, "targets-%s targets=%u error=\"%s\"",
              failed ? "unsaved" : "saved-again",
              (unsigned)file.entries.entries_len,
              failed ? g_strerror (errno) : "none");
  store->has_failed = failed;
  store->written_ms = now_ms ();
  note_write (store, change, failed);
  g_free (data);
  xdr_free ((xdrproc_t)xdr_control_targets_file, (char *)&file);
}

static gpointer
run (gpointer data)
{
  struct control_targets_store *store = data;
  bool is_last = false;
  g_mutex_lock (&store->mutex);
  while (!is_last)
    {
      is_last = store->stopping;
      uint64_t written = store->written_change;
      g_mutex_unlock (&store->mutex);
      write_changes (store, written);
      g_mutex_lock (&store->mutex);
      gint64 end_us = g_get_monotonic_time () + 1000 * WRITE_INTERVAL_MS;
      while (!store->stopping && store->wanted_change <= store->written_change
             && g_cond_wait_until (&store->wake, &store->mutex, end_us))
        continue;
    }
  g_mutex_unlock (&store->mutex);
  return NULL;
}

bool
control_targets_store_wait (struct control_targets_store *store,
                            uint64_t change, uint32_t timeout_ms)
{
  gint64 end_us = g_get_monotonic_time () + 1000 * (gint64)timeout_ms;
  g_mutex_lock (&store->mutex);
  uint64_t failures = store->failures;
  store->wanted_change = MAX (store->wanted_change, change);
  g_cond_signal (&store->wake);
  while (store->written_change < change && store->failures == failures
         && g_cond_wait_until (&store->written, &store->mutex, end_us))
    continue;
  bool written = store->written_change >= change;
  g_mutex_unlock (&store->mutex);
  return written;
}

struct control_targets_store *
control_targets_store_create (const char *folder, GMutex *mutex,
                              struct control_targets *targets)
{
  struct control_targets_store *store
      = g_new0 (struct control_targets_store, 1);
  store->folder = g_strdup (folder);
  store->targets_mutex = mutex;
  store->targets = targets;
  g_mutex_init (&store->mutex);
  g_cond_init (&store->wake);
  g_cond_init (&store->written);
  restore (store);
  store->thread = g_thread_new ("targets-file", run, store);
  return store;
}

void
control_targets_store_destroy (struct control_targets_store *store)
{
  if (!store)
    return;
  g_mutex_lock (&store->mutex);
  store->stopping = true;
  g_cond_signal (&store->wake);
  g_mutex_unlock (&store->mutex);
  g_thread_join (store->thread);
  g_mutex_clear (&store->mutex);
  g_cond_clear (&store->wake);
  g_cond_clear (&store->written);
  g_free (store->folder);
  g_free (store);
}
