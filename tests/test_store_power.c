/** @file
 *  Random histories of a store_log whose process is killed before syncs and
 *  whose disk loses power with a torn last write.  POWER_SEEDS sets the number
 *  of histories, POWER_SEED the first one. */

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "lossy_disk.h"
#include "store_log.h"
#include "tool_folder.h"

#define SEEDS 150
#define ROUNDS 12
#define WRITE_RECORDS_MAX 5

/* Kind of a test's histories. */
struct kind
{
  bool marks;
  /* Largest size of a record's data, in bytes. */
  uint32_t bytes_max;
  uint32_t seeds;
};

/* A log and what it must hold. */
struct history
{
  const struct kind *kind;
  char *folder;
  struct base_random random;
  /* Hash of each record that was synced or read (uint32_t). */
  GArray *known;
  /* Hashes of the records after them, which a killed process wrote. */
  GArray *unsynced;
};

static uint64_t
environment (const char *name, uint64_t otherwise)
{
  const char *text = g_getenv (name);
  return text ? g_ascii_strtoull (text, NULL, 10) : otherwise;
}

static uint32_t
hash_of (const void *data, size_t bytes)
{
  GBytes *view = g_bytes_new_static (data, bytes);
  uint32_t hash = g_bytes_hash (view);
  g_bytes_unref (view);
  return hash;
}

/* Compares a record with what was written as one with this index. */
static int
check_record (void *context, uint64_t index, const void *data, size_t bytes)
{
  struct history *history = context;
  uint32_t hash = hash_of (data, bytes);
  guint position = (guint)index - 1;
  const GArray *from = history->known;
  if (position >= from->len)
    {
      position -= from->len;
      from = history->unsynced;
    }
  g_assert_cmpuint (position, <, from->len);
  g_assert_cmpuint (hash, ==, g_array_index (from, uint32_t, position));
  return 0;
}

/* What was read counts as stored: a member acts on it without another
   write. */
static void
check_records (struct history *history, struct store_log *log,
               struct base_findings *findings)
{
  guint count = (guint)store_log_next_index (log) - 1;
  g_assert_cmpuint (count, >=, history->known->len);
  g_assert_cmpint (store_log_replay (log, 1, check_record, history, findings),
                   ==, 0);
  g_array_append_vals (history->known, history->unsynced->data,
                       count - history->known->len);
  g_array_set_size (history->unsynced, 0);
}

/* Opens the log; now and then the process is killed before a sync. */
static struct store_log *
open_log (struct history *history)
{
  struct store_log *log = NULL;
  struct base_findings *findings = base_findings_create ();
  lossy_disk_allow (base_random_below (&history->random, 3) == 0
                        ? base_random_below (&history->random, 2)
                        : UINT64_MAX);
  log = store_log_open (history->folder, 1, history->kind->marks, findings);
  if (!log && !lossy_disk_failed ())
    g_error ("the log can't be opened: %s", base_findings_text (findings, 0));
  if (log)
    check_records (history, log, findings);
  base_findings_destroy (findings);
  return log;
}

static void
append_one (struct history *history, struct store_log *log)
{
  uint32_t bytes = (uint32_t)base_random_below (&history->random,
                                                history->kind->bytes_max);
  uint64_t value = base_random_next (&history->random);
  char *data = g_malloc (bytes + sizeof value);
  memset (data, (int)(value & 0xff), bytes + sizeof value);
  memcpy (data, &value, sizeof value);
  uint32_t hash = hash_of (data, bytes + sizeof value);
  uint64_t index = store_log_append (log, data, bytes + sizeof value);
  g_free (data);
  if (index == 0)
    {
      g_assert_true (lossy_disk_failed ());
      return;
    }
  g_array_append_val (history->unsynced, hash);
}

/* Writes until the process is killed before a sync. */
static void
write_until_killed (struct history *history, struct store_log *log)
{
  lossy_disk_allow (base_random_below (&history->random, 6));
  while (!lossy_disk_failed ())
    {
      uint64_t count
          = history->kind->marks
                ? 1 + base_random_below (&history->random, WRITE_RECORDS_MAX)
                : 1;
      for (uint64_t i = 0; i < count && !lossy_disk_failed (); i++)
        append_one (history, log);
      if (store_log_sync (log) != 0)
        break;
      g_array_append_vals (history->known, history->unsynced->data,
                           history->unsynced->len);
      g_array_set_size (history->unsynced, 0);
    }
  store_log_close (log);
}

static void
play (const struct kind *kind, uint64_t seed)
{
  struct history history
      = { kind, g_dir_make_tmp ("cactus-XXXXXX", NULL), { 0 }, NULL, NULL };
  base_random_seed (&history.random, seed);
  history.known = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  history.unsynced = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  for (uint32_t round = 0; round < ROUNDS; round++)
    {
      struct store_log *log = open_log (&history);
      if (log)
        write_until_killed (&history, log);
      if (base_random_below (&history.random, 2) == 0)
        lossy_disk_lose_power (history.folder, &history.random);
    }
  lossy_disk_wipe (history.folder);
  tool_folder_remove (history.folder);
  g_array_unref (history.known);
  g_array_unref (history.unsynced);
  g_free (history.folder);
}

/* Guards against records that were read at a start and are lost at the next
   loss of power, cut-off records that come back behind later ones, and logs
   that can't be opened. */
static void
test_histories (gconstpointer data)
{
  const struct kind *kind = data;
  uint64_t first = environment ("POWER_SEED", 1);
  uint64_t count = environment ("POWER_SEEDS", kind->seeds);
  for (uint64_t seed = first; seed < first + count; seed++)
    {
      g_test_message ("seed %" G_GUINT64_FORMAT, seed);
      play (kind, seed);
    }
}

int
main (int argc, char **argv)
{
  static const struct kind marked = { true, 400, SEEDS };
  static const struct kind plain = { false, 400, SEEDS };
  static const struct kind segments = { true, 6u << 20, 2 };
  g_test_init (&argc, &argv, NULL);
  g_test_add_data_func ("/store-power/writes-of-several-records", &marked,
                        test_histories);
  g_test_add_data_func ("/store-power/without-marks", &plain, test_histories);
  g_test_add_data_func ("/store-power/segments", &segments, test_histories);
  return g_test_run ();
}
