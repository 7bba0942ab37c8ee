#include "store_log.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include <glib.h>

#include "cactus_config.h"
#include "store_file.h"
#include "store_scan.h"

#define SEGMENT_PREFIX "log-"

/* One file of the log. */
struct segment
{
  uint64_t first_index;
  /* Size of the file, without the records still in the buffer. */
  uint64_t bytes;
};

struct store_log
{
  char *folder;
  /* Segments by first index; the last one is open for appending. */
  GArray *segments;
  int fd;
  uint64_t next_index;
  /* Appended records that are not written yet. */
  GByteArray *pending;
  /* Whether records get marks, and the first record of the next write. */
  bool marks;
  uint64_t write_first_index;
  uint64_t cut_bytes;
  /* Whether a write failed; no more records are accepted then. */
  bool failed;
};

static char *
segment_path (const struct store_log *log, uint64_t first_index)
{
  char name[40];
  snprintf (name, sizeof name, SEGMENT_PREFIX "%020" PRIu64, first_index);
  return g_build_filename (log->folder, name, NULL);
}

static struct segment *
segment_at (const struct store_log *log, guint position)
{
  return &g_array_index (log->segments, struct segment, position);
}

static struct segment *
last_segment (const struct store_log *log)
{
  return segment_at (log, log->segments->len - 1);
}

/* Checks the records of a segment and sets its size; removes a torn tail of
   the last segment, without a sync.  Returns 0, or -1 with findings. */
static int
check_segment (struct store_log *log, struct segment *segment, bool last,
               struct base_findings *findings)
{
  struct store_scan scan;
  struct store_record_header header;
  enum store_scan_step step;
  int status = -1;
  if (store_scan_open (&scan, segment_path (log, segment->first_index),
                       findings)
      != 0)
    goto done;
  log->next_index = segment->first_index;
  while ((step = store_scan_next (&scan, log->next_index, &header))
         == STORE_SCAN_RECORD)
    {
      store_scan_advance (&scan, &header);
      log->next_index++;
    }
  segment->bytes = scan.offset;
  if (step == STORE_SCAN_DAMAGED && last
      && store_scan_may_be_unsynced (&scan, log->next_index))
    step = STORE_SCAN_TORN;
  if (step == STORE_SCAN_TORN)
    log->cut_bytes = scan.bytes - scan.offset;
  if (step == STORE_SCAN_DAMAGED || (step == STORE_SCAN_TORN && !last))
    store_scan_report_damage (&scan, findings);
  else if (step == STORE_SCAN_TORN
           && truncate (scan.path, (off_t)scan.offset) != 0)
    base_findings_add (findings, scan.path,
                       "can't cut off the incomplete last record: %s",
                       g_strerror (errno));
  else
    status = 0;
done:
  store_scan_close (&scan);
  return status;
}

static gint
compare_segments (gconstpointer left, gconstpointer right)
{
  uint64_t a = ((const struct segment *)left)->first_index;
  uint64_t b = ((const struct segment *)right)->first_index;
  return a < b ? -1 : a > b;
}

static int
list_segments (struct store_log *log, struct base_findings *findings)
{
  GError *error = NULL;
  GDir *folder = g_dir_open (log->folder, 0, &error);
  if (!folder)
    {
      base_findings_add (findings, log->folder, "%s", error->message);
      g_error_free (error);
      return -1;
    }
  const char *name;
  while ((name = g_dir_read_name (folder)))
    {
      if (!g_str_has_prefix (name, SEGMENT_PREFIX))
        continue;
      const char *number = name + strlen (SEGMENT_PREFIX);
      struct segment segment = { g_ascii_strtoull (number, NULL, 10), 0 };
      g_array_append_val (log->segments, segment);
    }
  g_dir_close (folder);
  g_array_sort (log->segments, compare_segments);
  return 0;
}

static int
check_segments (struct store_log *log, struct base_findings *findings)
{
  for (guint i = 0; i < log->segments->len; i++)
    {
      struct segment *segment = segment_at (log, i);
      if (i > 0 && segment->first_index != log->next_index)
        {
          base_findings_add (findings, log->folder,
                             "records %" PRIu64 " to %" PRIu64
                             " are missing between two segments",
                             log->next_index, segment->first_index - 1);
          return -1;
        }
      bool last = i + 1 == log->segments->len;
      if (check_segment (log, segment, last, findings) != 0)
        return -1;
    }
  return 0;
}

static int
remove_file (const struct store_log *log, uint64_t first_index)
{
  char *path = segment_path (log, first_index);
  int status = unlink (path);
  g_free (path);
  return status;
}

/* Creates the segment that starts at next_index and opens it for appending. */
static int
start_segment (struct store_log *log)
{
  struct segment segment = { log->next_index, 0 };
  char *path = segment_path (log, log->next_index);
  int fd = open (path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  g_free (path);
  if (fd < 0)
    return -1;
  if (store_file_sync_folder (log->folder) != 0)
    {
      int error = errno;
      /* An empty segment behind one that grows on would leave a gap. */
      remove_file (log, log->next_index);
      close (fd);
      errno = error;
      return -1;
    }
  if (log->fd >= 0)
    close (log->fd);
  log->fd = fd;
  g_array_append_val (log->segments, segment);
  return 0;
}

static int
open_last_segment (struct store_log *log)
{
  char *path = segment_path (log, last_segment (log)->first_index);
  if (log->fd >= 0)
    close (log->fd);
  log->fd = open (path, O_WRONLY | O_APPEND | O_CLOEXEC);
  g_free (path);
  return log->fd < 0 ? -1 : 0;
}

/* Opens the last segment and syncs what was read and cut off: a killed process
   may have written it without a sync, and what was cut off must not come back
   behind later records. */
static int
resume_last_segment (struct store_log *log)
{
  if (open_last_segment (log) != 0 || fsync (log->fd) != 0)
    return -1;
  return store_file_sync_folder (log->folder);
}

struct store_log *
store_log_open (const char *folder, uint64_t first_index, bool marks,
                struct base_findings *findings)
{
  struct store_log *log = g_new0 (struct store_log, 1);
  log->folder = g_strdup (folder);
  log->segments = g_array_new (FALSE, FALSE, sizeof (struct segment));
  log->pending = g_byte_array_new ();
  log->fd = -1;
  log->next_index = first_index;
  log->marks = marks;
  if (list_segments (log, findings) != 0
      || check_segments (log, findings) != 0)
    goto fail;
  int opened
      = log->segments->len ? resume_last_segment (log) : start_segment (log);
  if (opened != 0)
    {
      base_findings_add (findings, folder, "the log can't be opened: %s",
                         g_strerror (errno));
      goto fail;
    }
  return log;
fail:;
  int error = errno;
  store_log_close (log);
  errno = error;
  return NULL;
}

void
store_log_close (struct store_log *log)
{
  if (!log)
    return;
  if (log->fd >= 0)
    close (log->fd);
  g_byte_array_unref (log->pending);
  g_array_unref (log->segments);
  g_free (log->folder);
  g_free (log);
}

static bool
is_segment_full (const struct store_log *log)
{
  return last_segment (log)->bytes + log->pending->len > CACTUS_SEGMENT_BYTES;
}

/* Syncs and starts the next segment.  On a full disk the present one grows
   on. */
static int
next_segment (struct store_log *log)
{
  int status = store_log_sync (log);
  if (status == 0)
    status = start_segment (log);
  return status != 0 && store_file_is_full (errno) ? 0 : status;
}

/* Appends the next record to the buffer. */
static void
append_record (struct store_log *log, const void *data, size_t bytes)
{
  struct store_record_header header;
  struct store_write_mark mark;
  guint at = log->pending->len;
  if (at == 0)
    log->write_first_index = log->next_index;
  g_byte_array_set_size (log->pending, at + sizeof header);
  g_byte_array_append (log->pending, data, (guint)bytes);
  if (log->marks)
    {
      store_write_mark_fill (&mark, log->write_first_index);
      g_byte_array_append (log->pending, (const guint8 *)&mark, sizeof mark);
    }
  guint start = at + (guint)sizeof header;
  store_record_header_fill (&header, log->next_index,
                            log->pending->data + start,
                            log->pending->len - start);
  memcpy (log->pending->data + at, &header, sizeof header);
}

uint64_t
store_log_append (struct store_log *log, const void *data, size_t bytes)
{
  if (log->failed)
    {
      errno = EIO;
      return 0;
    }
  if (bytes > CACTUS_RECORD_BYTES)
    {
      errno = EMSGSIZE;
      return 0;
    }
  if (is_segment_full (log) && next_segment (log) != 0)
    {
      log->failed = true;
      return 0;
    }
  append_record (log, data, bytes);
  return log->next_index++;
}

/* After a failed write, cuts off what was written of it: the kernel may have
   dropped any part of it, and a log that is opened again must not go on behind
   it.  If the disk is full, the whole write can be repeated.  Keeps errno. */
static void
undo_write (struct store_log *log)
{
  int error = errno;
  bool cut = ftruncate (log->fd, (off_t)last_segment (log)->bytes) == 0;
  log->failed = !cut || !store_file_is_full (error);
  errno = error;
}

int
store_log_sync (struct store_log *log)
{
  if (log->failed)
    {
      errno = EIO;
      return -1;
    }
  if (log->pending->len == 0)
    return 0;
  if (store_file_write_all (log->fd, log->pending->data, log->pending->len)
          != 0
      || fdatasync (log->fd) != 0)
    {
      undo_write (log);
      return -1;
    }
  last_segment (log)->bytes += log->pending->len;
  g_byte_array_set_size (log->pending, 0);
  return 0;
}

/* Size of the data of the record at the offset, without its mark. */
static size_t
data_bytes (const struct store_log *log, const struct store_scan *scan,
            const struct store_record_header *header)
{
  struct store_write_mark mark;
  bool has_mark
      = log->marks
        && store_write_mark_read (store_scan_data (scan), header->bytes,
                                  header->index, &mark);
  return has_mark ? header->bytes - sizeof mark : header->bytes;
}

static int
replay_segment (struct store_log *log, const struct segment *segment,
                uint64_t from_index,
                int (*visit) (void *context, uint64_t index, const void *data,
                              size_t bytes),
                void *context, struct base_findings *findings)
{
  struct store_scan scan;
  struct store_record_header header;
  enum store_scan_step step;
  uint64_t index = segment->first_index;
  int status = -1;
  if (store_scan_open (&scan, segment_path (log, segment->first_index),
                       findings)
      != 0)
    goto done;
  status = 0;
  while ((step = store_scan_next (&scan, index, &header)) == STORE_SCAN_RECORD)
    {
      if (index >= from_index)
        status = visit (context, index, store_scan_data (&scan),
                        data_bytes (log, &scan, &header));
      if (status != 0)
        goto done;
      store_scan_advance (&scan, &header);
      index++;
    }
  if (step != STORE_SCAN_END)
    {
      store_scan_report_damage (&scan, findings);
      status = -1;
    }
done:
  store_scan_close (&scan);
  return status;
}

int
store_log_replay (struct store_log *log, uint64_t from_index,
                  int (*visit) (void *context, uint64_t index,
                                const void *data, size_t bytes),
                  void *context, struct base_findings *findings)
{
  if (store_log_sync (log) != 0)
    {
      base_findings_add (findings, log->folder,
                         "appended records can't be written: %s",
                         g_strerror (errno));
      return -1;
    }
  for (guint i = 0; i < log->segments->len; i++)
    {
      bool last = i + 1 == log->segments->len;
      if (!last && segment_at (log, i + 1)->first_index <= from_index)
        continue;
      int status = replay_segment (log, segment_at (log, i), from_index, visit,
                                   context, findings);
      if (status != 0)
        return status;
    }
  return 0;
}

uint64_t
store_log_first_index (const struct store_log *log)
{
  return segment_at (log, 0)->first_index;
}

uint64_t
store_log_next_index (const struct store_log *log)
{
  return log->next_index;
}

/* Deletes the segment at @p position: its file and its place in the list. */
static int
remove_segment (struct store_log *log, guint position)
{
  int status = remove_file (log, segment_at (log, position)->first_index);
  if (status == 0)
    g_array_remove_index (log->segments, position);
  return status;
}

int
store_log_drop_before (struct store_log *log, uint64_t index)
{
  bool removed = false;
  while (log->segments->len > 1 && segment_at (log, 1)->first_index <= index)
    {
      if (remove_segment (log, 0) != 0)
        return -1;
      removed = true;
    }
  return removed ? store_file_sync_folder (log->folder) : 0;
}

/* Finds the offset of record @p index in the last segment.  Returns 0 or
   -1. */
static int
find_offset (struct store_log *log, uint64_t index, uint64_t *offset)
{
  struct store_scan scan;
  struct store_record_header header;
  struct base_findings *findings = base_findings_create ();
  uint64_t at = last_segment (log)->first_index;
  int status = store_scan_open (&scan, segment_path (log, at), findings);
  while (status == 0 && at < index)
    {
      if (store_scan_next (&scan, at, &header) != STORE_SCAN_RECORD)
        status = -1;
      else
        store_scan_advance (&scan, &header);
      at++;
    }
  *offset = scan.offset;
  store_scan_close (&scan);
  base_findings_destroy (findings);
  return status;
}

int
store_log_truncate_from (struct store_log *log, uint64_t index)
{
  uint64_t offset = 0;
  if (index >= log->next_index)
    return 0;
  if (index < store_log_first_index (log))
    return store_log_reset (log, index);
  if (store_log_sync (log) != 0)
    return -1;
  while (last_segment (log)->first_index > index)
    if (remove_segment (log, log->segments->len - 1) != 0)
      return -1;
  if (store_file_sync_folder (log->folder) != 0 || open_last_segment (log) != 0
      || find_offset (log, index, &offset) != 0
      || ftruncate (log->fd, (off_t)offset) != 0 || fsync (log->fd) != 0)
    {
      log->failed = true;
      return -1;
    }
  last_segment (log)->bytes = offset;
  log->next_index = index;
  return 0;
}

int
store_log_reset (struct store_log *log, uint64_t index)
{
  g_byte_array_set_size (log->pending, 0);
  while (log->segments->len > 0)
    if (remove_segment (log, log->segments->len - 1) != 0)
      return -1;
  log->next_index = index;
  if (store_file_sync_folder (log->folder) != 0 || start_segment (log) != 0)
    {
      log->failed = true;
      return -1;
    }
  return 0;
}

uint64_t
store_log_bytes (const struct store_log *log)
{
  uint64_t total = log->pending->len;
  for (guint i = 0; i < log->segments->len; i++)
    total += segment_at (log, i)->bytes;
  return total;
}

uint64_t
store_log_cut_bytes (const struct store_log *log)
{
  return log->cut_bytes;
}
