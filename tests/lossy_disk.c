#include "lossy_disk.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <glib.h>

/* Bytes of a file that a failed sync lost. */
struct range
{
  uint64_t start;
  uint64_t end;
};

/* Synced contents (GBytes) by path. */
static GHashTable *synced;
/* Lost bytes (struct range) by path. */
static GHashTable *lost_ranges;
static bool fails_once;
static uint64_t syncs_left = UINT64_MAX;
static bool sync_failed;

static GHashTable *
contents_table (void)
{
  if (!synced)
    synced = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                    (GDestroyNotify)g_bytes_unref);
  return synced;
}

static GBytes *
read_file (const char *path)
{
  char *data = NULL;
  gsize bytes = 0;
  g_assert_true (g_file_get_contents (path, &data, &bytes, NULL));
  return g_bytes_new_take (data, bytes);
}

static char *
path_of (int fd)
{
  char link[40];
  snprintf (link, sizeof link, "/proc/self/fd/%d", fd);
  char *path = g_file_read_link (link, NULL);
  g_assert_nonnull (path);
  return path;
}

static GHashTable *
ranges_table (void)
{
  if (!lost_ranges)
    lost_ranges
        = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return lost_ranges;
}

static int
fail_sync (char *path)
{
  GBytes *known = g_hash_table_lookup (contents_table (), path);
  GBytes *written = read_file (path);
  struct range *range = g_new0 (struct range, 1);
  range->start = known ? g_bytes_get_size (known) : 0;
  range->end = g_bytes_get_size (written);
  g_bytes_unref (written);
  g_hash_table_replace (ranges_table (), path, range);
  fails_once = false;
  errno = EIO;
  return -1;
}

/* Notes what the file holds, with zeros for what is lost. */
static void
store_file (char *path)
{
  GBytes *written = read_file (path);
  const struct range *range = g_hash_table_lookup (ranges_table (), path);
  gsize bytes;
  guint8 *data = g_bytes_unref_to_data (written, &bytes);
  for (uint64_t i = range ? range->start : 0;
       range && i < MIN (range->end, bytes); i++)
    data[i] = 0;
  g_hash_table_replace (contents_table (), path,
                        g_bytes_new_take (data, bytes));
}

static int
note_sync (int fd)
{
  struct stat status;
  if (syncs_left == 0)
    {
      sync_failed = true;
      errno = EIO;
      return -1;
    }
  syncs_left--;
  if (fstat (fd, &status) != 0)
    return -1;
  if (!S_ISREG (status.st_mode))
    return 0;
  char *path = path_of (fd);
  if (fails_once)
    return fail_sync (path);
  store_file (path);
  return 0;
}

int
fsync (int fd)
{
  return note_sync (fd);
}

int
fdatasync (int fd)
{
  return note_sync (fd);
}

int
ftruncate (int fd, off_t bytes)
{
  if (sync_failed)
    {
      errno = EIO;
      return -1;
    }
  char *path = path_of (fd);
  const struct range *range = g_hash_table_lookup (ranges_table (), path);
  if (range && (uint64_t)bytes <= range->start)
    g_hash_table_remove (lost_ranges, path);
  g_free (path);
  return (int)syscall (SYS_ftruncate, fd, bytes);
}

int
rename (const char *from, const char *to)
{
  int status = renameat (AT_FDCWD, from, AT_FDCWD, to);
  GBytes *contents = g_hash_table_lookup (contents_table (), from);
  if (status != 0)
    return status;
  if (contents)
    g_hash_table_replace (synced, g_strdup (to), g_bytes_ref (contents));
  else
    g_hash_table_remove (synced, to);
  g_hash_table_remove (synced, from);
  return 0;
}

int
unlink (const char *path)
{
  if (sync_failed)
    {
      errno = EIO;
      return -1;
    }
  g_hash_table_remove (contents_table (), path);
  g_hash_table_remove (ranges_table (), path);
  return unlinkat (AT_FDCWD, path, 0);
}

void
lossy_disk_allow (uint64_t syncs)
{
  syncs_left = syncs;
  sync_failed = false;
}

void
lossy_disk_fail_once (void)
{
  fails_once = true;
}

bool
lossy_disk_failed (void)
{
  return sync_failed;
}

/* Returns what a loss of power leaves of a file that holds @p written, of
   which @p kept was synced. */
static GByteArray *
leave (GBytes *kept, GBytes *written, struct base_random *random)
{
  gsize old_bytes;
  gsize new_bytes;
  const guint8 *old_data = g_bytes_get_data (kept, &old_bytes);
  const guint8 *new_data = g_bytes_get_data (written, &new_bytes);
  gsize common = MIN (old_bytes, new_bytes);
  gsize start = 0;
  while (start < common && old_data[start] == new_data[start])
    start++;
  GByteArray *left = g_byte_array_new ();
  uint64_t kind = base_random_below (random, 6);
  bool keeps_old = kind == 0;
  g_byte_array_append (left, keeps_old ? old_data : new_data,
                       (guint)(keeps_old ? old_bytes : new_bytes));
  /* A former end of the file that is still there. */
  if (kind == 5 && old_bytes > new_bytes)
    g_byte_array_append (left, old_data + new_bytes,
                         (guint)(old_bytes - new_bytes));
  if (kind < 2 || start >= left->len)
    return left;
  gsize from = start + base_random_below (random, left->len - start);
  gsize to = from + 1 + base_random_below (random, left->len - from);
  if (kind == 4)
    g_byte_array_set_size (left, (guint)from);
  else if (kind < 4)
    for (gsize i = from; i < to; i++)
      left->data[i] = kind == 2 ? 0 : (guint8)base_random_below (random, 256);
  else
    for (gsize i = from; i < MIN (to, old_bytes); i++)
      left->data[i] = old_data[i];
  return left;
}

static void
lose_file (char *path, struct base_random *random)
{
  GBytes *written = read_file (path);
  GBytes *known = g_hash_table_lookup (contents_table (), path);
  GBytes *kept = known ? g_bytes_ref (known) : g_bytes_new (NULL, 0);
  if (!g_bytes_equal (kept, written))
    {
      GByteArray *left = leave (kept, written, random);
      int fd = open (path, O_WRONLY | O_TRUNC | O_CLOEXEC);
      g_assert_cmpint (fd, >=, 0);
      g_assert_cmpint (write (fd, left->data, left->len), ==, left->len);
      close (fd);
      g_hash_table_replace (synced, g_strdup (path),
                            g_byte_array_free_to_bytes (left));
    }
  g_bytes_unref (kept);
  g_bytes_unref (written);
}

static gint
compare_names (gconstpointer left, gconstpointer right)
{
  return strcmp (*(const char *const *)left, *(const char *const *)right);
}

static void
visit_files (const char *folder_path,
             void (*visit) (char *path, struct base_random *random),
             struct base_random *random)
{
  const char *name;
  GDir *folder = g_dir_open (folder_path, 0, NULL);
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  g_assert_nonnull (folder);
  while ((name = g_dir_read_name (folder)))
    g_ptr_array_add (names, g_strdup (name));
  g_dir_close (folder);
  g_ptr_array_sort (names, compare_names);
  for (guint i = 0; i < names->len; i++)
    {
      char *path = g_build_filename (folder_path, names->pdata[i], NULL);
      visit (path, random);
      g_free (path);
    }
  g_ptr_array_unref (names);
}

static void
remove_file (char *path, struct base_random *random)
{
  (void)random;
  unlink (path);
}

void
lossy_disk_lose_power (const char *folder, struct base_random *random)
{
  visit_files (folder, lose_file, random);
  g_hash_table_remove_all (ranges_table ());
}

void
lossy_disk_wipe (const char *folder)
{
  lossy_disk_allow (UINT64_MAX);
  visit_files (folder, remove_file, NULL);
}
