/** @file
 *  Tests of store_log: replay, torn tails, damage, truncation. */

#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>
#include <glib/gstdio.h>

#include "base_random.h"
#include "store_log.h"
#include "tool_folder.h"

/* Random histories of each test of damage. */
#define TORN_SEEDS 200

struct fixture
{
  char *folder;
  struct base_findings *findings;
};

static void
set_up (struct fixture *fixture, gconstpointer data)
{
  (void)data;
  fixture->folder = g_dir_make_tmp ("cactus-XXXXXX", NULL);
  fixture->findings = base_findings_create ();
}

static void
tear_down (struct fixture *fixture, gconstpointer data)
{
  (void)data;
  tool_folder_remove (fixture->folder);
  base_findings_destroy (fixture->findings);
  g_free (fixture->folder);
}

static struct store_log *
open_log (struct fixture *fixture)
{
  return store_log_open (fixture->folder, 1, false, fixture->findings);
}

static void
append_numbers (struct store_log *log, uint64_t from, uint64_t to)
{
  for (uint64_t i = from; i <= to; i++)
    g_assert_cmpuint (store_log_append (log, &i, sizeof i), ==, i);
  g_assert_cmpint (store_log_sync (log), ==, 0);
}

static int
expect_number (void *context, uint64_t index, const void *data, size_t bytes)
{
  uint64_t *next = context;
  uint64_t value;
  g_assert_cmpuint (bytes, ==, sizeof value);
  memcpy (&value, data, sizeof value);
  g_assert_cmpuint (value, ==, index);
  g_assert_cmpuint (index, ==, *next);
  (*next)++;
  return 0;
}

static void
assert_replays (struct fixture *fixture, struct store_log *log, uint64_t from,
                uint64_t next)
{
  uint64_t at = from;
  g_assert_cmpint (
      store_log_replay (log, from, expect_number, &at, fixture->findings), ==,
      0);
  g_assert_cmpuint (at, ==, next);
  g_assert_cmpuint (store_log_next_index (log), ==, next);
}

static char *
first_segment (struct fixture *fixture)
{
  return g_build_filename (fixture->folder, "log-00000000000000000001", NULL);
}

/* A reopened log replays its records from any index. */
static void
test_reopen (struct fixture *fixture, gconstpointer data)
{
  (void)data;
  struct store_log *log = open_log (fixture);
  append_numbers (log, 1, 500);
  store_log_close (log);
  log = open_log (fixture);
  assert_replays (fixture, log, 1, 501);
  assert_replays (fixture, log, 400, 501);
  store_log_close (log);
}

/* When the file is cut off at any byte, the log keeps all records that are
   still whole. */
static void
test_torn_tail (struct fixture *fixture, gconstpointer data)
{
  (void)data;
  const size_t record_bytes = 40;
  char *path = first_segment (fixture);
  for (size_t cut = 1; cut < 2 * record_bytes; cut++)
    {
      struct store_log *log = open_log (fixture);
      append_numbers (log, store_log_next_index (log), 10);
      store_log_close (log);
      g_assert_cmpint (truncate (path, (off_t)(10 * record_bytes - cut)), ==,
                       0);
      log = open_log (fixture);
      g_assert_nonnull (log);
      uint64_t kept = (10 * record_bytes - cut) / record_bytes;
      assert_replays (fixture, log, 1, kept + 1);
      store_log_close (log);
    }
  g_free (path);
}

/* Appends records, each in a write of its own; returns the size of one. */
static size_t
write_singly (struct fixture *fixture, bool marks, uint64_t count)
{
  struct store_log *log
      = store_log_open (fixture->folder, 1, marks, fixture->findings);
  for (uint64_t i = 1; i <= count; i++)
    append_numbers (log, i, i);
  size_t bytes = store_log_bytes (log) / count;
  store_log_close (log);
  return bytes;
}

static void
assert_damaged (struct fixture *fixture, const char *path, bool marks,
                size_t at)
{
  struct base_findings *findings = base_findings_create ();
  g_assert_null (store_log_open (fixture->folder, 1, marks, findings));
  g_assert_cmpuint (base_findings_count (findings), ==, 1);
  char *offset = g_strdup_printf ("offset %zu ", at);
  g_assert_nonnull (strstr (base_findings_text (findings, 0), offset));
  g_assert_cmpstr (base_findings_place (findings, 0), ==, path);
  g_free (offset);
  base_findings_destroy (findings);
}

/* Any flipped bit of a record that a later write follows is reported with the
   file and the offset of the record; one in the last write, which may not have
   been synced, cuts it off. */
static void
test_flipped_bits (struct fixture *fixture, gconstpointer data)
{
  const uint64_t count = 6;
  bool marks = data != NULL;
  char *path = first_segment (fixture);
  char *contents;
  gsize bytes;
  size_t record_bytes = write_singly (fixture, marks, count);
  g_assert_true (g_file_get_contents (path, &contents, &bytes, NULL));
  g_assert_cmpuint (bytes, ==, count * record_bytes);
  for (gsize bit = 0; bit < bytes * 8; bit++)
    {
      size_t record = bit / 8 / record_bytes;
      contents[bit / 8] ^= (char)(1 << bit % 8);
      g_assert_true (
          g_file_set_contents (path, contents, (gssize)bytes, NULL));
      contents[bit / 8] ^= (char)(1 << bit % 8);
      if (record + 1 < count)
        {
          assert_damaged (fixture, path, marks, record * record_bytes);
          continue;
        }
      struct store_log *log
          = store_log_open (fixture->folder, 1, marks, fixture->findings);
      g_assert_nonnull (log);
      assert_replays (fixture, log, 1, count);
      g_assert_cmpuint (store_log_cut_bytes (log), ==, record_bytes);
      store_log_close (log);
    }
  g_free (contents);
  g_free (path);
}

/* Writes of one to five records; returns the index after the last but one, and
   stores where the last one begins and the index after it. */
static uint64_t
write_in_groups (struct fixture *fixture, struct base_random *random,
                 uint64_t *next, size_t *start)
{
  uint64_t synced = *next;
  struct store_log *log
      = store_log_open (fixture->folder, 1, true, fixture->findings);
  g_assert_nonnull (log);
  for (uint32_t i = 0; i < 4; i++)
    {
      uint64_t last = *next + base_random_below (random, 5);
      *start = store_log_bytes (log);
      synced = *next;
      append_numbers (log, *next, last);
      *next = last + 1;
    }
  store_log_close (log);
  return synced;
}

/* Replaces a part of the bytes from @p start on, or cuts them. */
static void
tear (struct base_random *random, const char *path, size_t start)
{
  char *contents;
  gsize bytes;
  g_assert_true (g_file_get_contents (path, &contents, &bytes, NULL));
  size_t from = start + base_random_below (random, bytes - start);
  size_t to = from + 1 + base_random_below (random, bytes - from);
  uint64_t kind = base_random_below (random, 3);
  for (size_t i = from; kind < 2 && i < to; i++)
    contents[i] = kind == 0 ? 0 : (char)base_random_below (random, 256);
  if (kind == 2)
    bytes = from;
  g_assert_true (g_file_set_contents (path, contents, (gssize)bytes, NULL));
  g_free (contents);
}

/* Guards against a log that can't be opened any more after a loss of power
   left the last write at its full length with other bytes for a part of it. */
static void
test_torn_last_write (struct fixture *fixture, gconstpointer data)
{
  (void)data;
  char *path = first_segment (fixture);
  for (uint64_t seed = 1; seed <= TORN_SEEDS; seed++)
    {
      struct base_random random;
      uint64_t next = 1;
      size_t start = 0;
      base_random_seed (&random, seed);
      for (uint32_t round = 0; round < 3; round++)
        {
          uint64_t synced = write_in_groups (fixture, &random, &next, &start);
          tear (&random, path, start);
          struct store_log *log
              = store_log_open (fixture->folder, 1, true, fixture->findings);
          g_assert_nonnull (log);
          g_assert_cmpuint (store_log_next_index (log), >=, synced);
          next = store_log_next_index (log);
          assert_replays (fixture, log, 1, next);
          store_log_close (log);
        }
      g_unlink (path);
    }
  g_free (path);
}

/* Damage of a write that a later one follows is refused, also when the write
   holds several records and the damage is in any of them. */
static void
test_damaged_synced_write (struct fixture *fixture, gconstpointer data)
{
  (void)data;
  char *path = first_segment (fixture);
  for (uint64_t seed = 1; seed <= TORN_SEEDS; seed++)
    {
      struct base_random random;
      uint64_t next = 1;
      size_t start = 0;
      char *contents;
      gsize bytes;
      base_random_seed (&random, seed);
      write_in_groups (fixture, &random, &next, &start);
      g_assert_true (g_file_get_contents (path, &contents, &bytes, NULL));
      size_t record_bytes = bytes / (next - 1);
      size_t at = base_random_below (&random, start);
      contents[at] ^= (char)(1 + base_random_below (&random, 255));
      g_assert_true (
          g_file_set_contents (path, contents, (gssize)bytes, NULL));
      assert_damaged (fixture, path, true, at / record_bytes * record_bytes);
      g_free (contents);
      g_unlink (path);
    }
  g_free (path);
}

/* A log without marks, as older builds write it, is read by one with marks and
   goes on with them; one without marks reads what it wrote itself. */
static void
test_log_of_an_older_build (struct fixture *fixture, gconstpointer data)
{
  (void)data;
  write_singly (fixture, false, 5);
  struct store_log *log
      = store_log_open (fixture->folder, 1, true, fixture->findings);
  append_numbers (log, 6, 9);
  store_log_close (log);
  log = store_log_open (fixture->folder, 1, true, fixture->findings);
  assert_replays (fixture, log, 1, 10);
  store_log_close (log);
}

/* Truncation and reset survive a reopen. */
static void
test_truncate_and_reset (struct fixture *fixture, gconstpointer data)
{
  (void)data;
  struct store_log *log = open_log (fixture);
  append_numbers (log, 1, 100);
  g_assert_cmpint (store_log_truncate_from (log, 41), ==, 0);
  append_numbers (log, 41, 60);
  assert_replays (fixture, log, 1, 61);
  store_log_close (log);
  log = open_log (fixture);
  assert_replays (fixture, log, 1, 61);
  g_assert_cmpint (store_log_reset (log, 1000), ==, 0);
  append_numbers (log, 1000, 1010);
  store_log_close (log);
  log = open_log (fixture);
  g_assert_cmpuint (store_log_first_index (log), ==, 1000);
  assert_replays (fixture, log, 1000, 1011);
  store_log_close (log);
}

/* The log starts new segments as it grows, and keeps the rest when old ones
   are dropped. */
static void
test_segments (struct fixture *fixture, gconstpointer data)
{
  (void)data;
  static char block[1 << 20];
  struct store_log *log = open_log (fixture);
  for (uint64_t i = 1; i <= 40; i++)
    g_assert_cmpuint (store_log_append (log, block, sizeof block), ==, i);
  g_assert_cmpint (store_log_sync (log), ==, 0);
  g_assert_cmpint (store_log_drop_before (log, 30), ==, 0);
  g_assert_cmpuint (store_log_first_index (log), >, 1);
  g_assert_cmpuint (store_log_first_index (log), <=, 30);
  store_log_close (log);
  log = open_log (fixture);
  g_assert_cmpuint (store_log_next_index (log), ==, 41);
  g_assert_cmpint (
      store_log_truncate_from (log, store_log_first_index (log) + 1), ==, 0);
  store_log_close (log);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add ("/store_log/reopen", struct fixture, NULL, set_up, test_reopen,
              tear_down);
  g_test_add ("/store_log/torn-tail", struct fixture, NULL, set_up,
              test_torn_tail, tear_down);
  g_test_add ("/store_log/flipped-bits", struct fixture, NULL, set_up,
              test_flipped_bits, tear_down);
  g_test_add ("/store_log/flipped-bits-with-marks", struct fixture, "marks",
              set_up, test_flipped_bits, tear_down);
  g_test_add ("/store_log/torn-last-write", struct fixture, NULL, set_up,
              test_torn_last_write, tear_down);
  g_test_add ("/store_log/damaged-synced-write", struct fixture, NULL, set_up,
              test_damaged_synced_write, tear_down);
  g_test_add ("/store_log/log-of-an-older-build", struct fixture, NULL, set_up,
              test_log_of_an_older_build, tear_down);
  g_test_add ("/store_log/truncate-and-reset", struct fixture, NULL, set_up,
              test_truncate_and_reset, tear_down);
  g_test_add ("/store_log/segments", struct fixture, NULL, set_up,
              test_segments, tear_down);
  return g_test_run ();
}
