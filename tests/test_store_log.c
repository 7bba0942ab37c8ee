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
  return store_log_open (fixture->folder, 1, fixture->findings);
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

/* Any flipped bit is found and reported with the file and the offset of the
   record. */
static void
test_flipped_bits (struct fixture *fixture, gconstpointer data)
{
  (void)data;
  char *path = first_segment (fixture);
  char *contents;
  gsize bytes;
  struct store_log *log = open_log (fixture);
  append_numbers (log, 1, 6);
  store_log_close (log);
  g_assert_true (g_file_get_contents (path, &contents, &bytes, NULL));
  for (gsize bit = 0; bit < bytes * 8; bit++)
    {
      contents[bit / 8] ^= (char)(1 << bit % 8);
      g_assert_true (
          g_file_set_contents (path, contents, (gssize)bytes, NULL));
      contents[bit / 8] ^= (char)(1 << bit % 8);
      struct base_findings *findings = base_findings_create ();
      g_assert_null (store_log_open (fixture->folder, 1, findings));
      g_assert_cmpuint (base_findings_count (findings), ==, 1);
      char *offset = g_strdup_printf ("offset %zu", bit / 8 / 40 * 40);
      g_assert_nonnull (strstr (base_findings_text (findings, 0), offset));
      g_assert_cmpstr (base_findings_place (findings, 0), ==, path);
      g_free (offset);
      base_findings_destroy (findings);
    }
  g_free (contents);
  g_free (path);
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
  g_test_add ("/store_log/truncate-and-reset", struct fixture, NULL, set_up,
              test_truncate_and_reset, tear_down);
  g_test_add ("/store_log/segments", struct fixture, NULL, set_up,
              test_segments, tear_down);
  return g_test_run ();
}
