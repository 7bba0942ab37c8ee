/** @file
 *  Tests of the registry: order of records, expiry, views, changes. */

#include <string.h>

#include <glib.h>

#include "registry.h"

#define LAPSE_MS 3000

static struct registry_record
record_of (const char *target, const char *service, uint64_t incarnation,
           uint64_t sequence, bool leaving, uint64_t last_report_ms)
{
  struct registry_record record = { .port = 9000,
                                    .incarnation = incarnation,
                                    .sequence = sequence,
                                    .leaving = leaving,
                                    .last_report_ms = last_report_ms,
                                    .slots = 8,
                                    .weight = 100 };
  g_strlcpy (record.target, target, sizeof record.target);
  g_strlcpy (record.service, service, sizeof record.service);
  g_strlcpy (record.availability_zone, "santander", CACTUS_NAME_BYTES);
  g_strlcpy (record.region, "cantabrico", CACTUS_NAME_BYTES);
  g_strlcpy (record.address, "10.0.0.1", sizeof record.address);
  return record;
}

static enum registry_outcome
merge (struct registry *registry, uint64_t incarnation, uint64_t sequence,
       bool leaving, uint64_t last_report_ms, uint64_t now_ms)
{
  struct registry_record record = record_of (
      "t1", "redactor", incarnation, sequence, leaving, last_report_ms);
  return registry_merge (registry, &record, now_ms);
}

static size_t
view_count (struct registry *registry, const char *service)
{
  struct registry_reader *reader = registry_reader_create (registry);
  const struct registry_view *view = registry_read (reader, service);
  size_t count = view ? view->count : 0;
  registry_read_end (reader);
  registry_reader_destroy (reader);
  return count;
}

static void
test_order (void)
{
  struct registry *registry = registry_create (LAPSE_MS);
  g_assert_cmpint (merge (registry, 5, 10, false, 100, 100), ==,
                   REGISTRY_MERGED);
  g_assert_cmpint (merge (registry, 5, 10, false, 100, 100), ==,
                   REGISTRY_STALE);
  g_assert_cmpint (merge (registry, 5, 9, false, 110, 110), ==,
                   REGISTRY_STALE);
  g_assert_cmpint (merge (registry, 4, 99, false, 110, 110), ==,
                   REGISTRY_STALE);
  g_assert_cmpint (merge (registry, 5, 11, false, 120, 120), ==,
                   REGISTRY_MERGED);
  /* A leaving record outranks others of its incarnation, even with an
     older sequence number. */
  g_assert_cmpint (merge (registry, 5, 3, true, 130, 130), ==,
                   REGISTRY_MERGED);
  g_assert_cmpint (merge (registry, 5, 12, false, 140, 140), ==,
                   REGISTRY_STALE);
  g_assert_cmpuint (view_count (registry, "redactor"), ==, 0);
  g_assert_cmpuint (registry_count (registry), ==, 0);
  /* A newer incarnation replaces a leaving record. */
  g_assert_cmpint (merge (registry, 6, 1, false, 150, 150), ==,
                   REGISTRY_MERGED);
  g_assert_cmpuint (view_count (registry, "redactor"), ==, 1);
  g_assert_cmpuint (registry_count (registry), ==, 1);
  registry_destroy (registry);
}

static void
test_lapse (void)
{
  struct registry *registry = registry_create (LAPSE_MS);
  merge (registry, 1, 1, false, 1000, 1000);
  g_assert_cmpuint (registry_lapse (registry, 3999), ==, 0);
  g_assert_cmpuint (registry_lapse (registry, 4000), ==, 1);
  g_assert_cmpuint (view_count (registry, "redactor"), ==, 0);
  /* A copy whose report is older than lapse_ms is rejected. */
  g_assert_cmpint (merge (registry, 1, 2, false, 1000, 4000), ==,
                   REGISTRY_STALE);
  /* A leaving record is remembered for longer than lapse_ms. */
  g_assert_cmpint (merge (registry, 1, 3, true, 5000, 5000), ==,
                   REGISTRY_MERGED);
  registry_lapse (registry, 5000 + 10 * LAPSE_MS);
  g_assert_cmpint (merge (registry, 1, 4, false, 35000, 35000), ==,
                   REGISTRY_STALE);
  g_assert_cmpuint (registry_lapse (registry, 5000 + 20 * LAPSE_MS), ==, 1);
  registry_destroy (registry);
}

static void
test_malformed (void)
{
  struct registry *registry = registry_create (LAPSE_MS);
  struct registry_record good = record_of ("t", "s", 1, 1, false, 10);
  struct registry_record bad[12];
  for (int i = 0; i < 12; i++)
    bad[i] = good;
  bad[0].target[0] = '\0';
  bad[1].service[0] = '\0';
  bad[2].availability_zone[0] = '\0';
  bad[3].region[0] = '\0';
  bad[4].port = 0;
  bad[5].slots = 0;
  bad[6].weight = 0;
  bad[7].weight = 1001;
  g_strlcpy (bad[8].address, "10.0.0.256", sizeof bad[8].address);
  g_strlcpy (bad[9].target, "a\"b", sizeof bad[9].target);
  memset (bad[10].target, 'x', sizeof bad[10].target);
  bad[11].incarnation = 0;
  for (int i = 0; i < 12; i++)
    g_assert_cmpint (registry_merge (registry, &bad[i], 10), ==,
                     REGISTRY_INVALID);
  g_assert_cmpint (registry_merge (registry, &good, 10), ==, REGISTRY_MERGED);
  g_assert_cmpuint (registry_count (registry), ==, 1);
  registry_destroy (registry);
}

static void
test_views (void)
{
  struct registry *registry = registry_create (LAPSE_MS);
  const char *drained[] = { "b" };
  struct registry_record records[3]
      = { record_of ("c", "s1", 1, 1, false, 10),
          record_of ("b", "s1", 1, 1, false, 10),
          record_of ("a", "s2", 1, 1, false, 10) };
  g_assert_cmpuint (registry_merge_all (registry, records, 3, 10, NULL), ==,
                    3);
  registry_set_drained (registry, drained, 1);
  struct registry_reader *reader = registry_reader_create (registry);
  const struct registry_view *view = registry_read (reader, "s1");
  g_assert_cmpuint (view->count, ==, 2);
  g_assert_cmpstr (view->targets[0].record.target, ==, "b");
  g_assert_true (view->targets[0].drained);
  g_assert_false (view->targets[1].drained);
  g_assert_cmpuint (view->group_count, ==, 1);
  struct registry_load *load = registry_load_ref (view->targets[1].load);
  g_assert_null (registry_read (reader, "s3"));
  registry_read_end (reader);
  registry_read_end (reader);
  /* A newer record may move a target to another service. */
  struct registry_record moved = record_of ("c", "s2", 2, 1, false, 20);
  g_assert_cmpint (registry_merge (registry, &moved, 20), ==, REGISTRY_MERGED);
  g_assert_cmpuint (view_count (registry, "s1"), ==, 1);
  g_assert_cmpuint (view_count (registry, "s2"), ==, 2);
  registry_lapse (registry, 9000);
  g_assert_cmpuint (view_count (registry, "s2"), ==, 0);
  load->open = 7;
  registry_load_unref (load);
  registry_reader_destroy (reader);
  registry_destroy (registry);
}

static void
test_changes (void)
{
  struct registry *registry = registry_create (LAPSE_MS);
  struct registry_record records[8];
  uint64_t after = 0;
  for (int i = 0; i < 5; i++)
    {
      char name[2] = { (char)('a' + i), '\0' };
      struct registry_record record = record_of (name, "s", 1, 1, false, 10);
      registry_merge (registry, &record, 10);
    }
  g_assert_cmpuint (registry_changes (registry, &after, records, 3), ==, 3);
  g_assert_cmpstr (records[2].target, ==, "c");
  g_assert_cmpuint (registry_changes (registry, &after, records, 8), ==, 2);
  g_assert_cmpuint (registry_changes (registry, &after, records, 8), ==, 0);
  struct registry_record newer = record_of ("b", "s", 1, 2, true, 20);
  registry_merge (registry, &newer, 20);
  g_assert_cmpuint (registry_changes (registry, &after, records, 8), ==, 1);
  g_assert_true (records[0].leaving);
  g_assert_cmpuint (registry_slice (registry, 3, records, 4), ==, 4);
  g_assert_cmpstr (records[0].target, ==, "d");
  g_assert_cmpstr (records[2].target, ==, "a");
  g_assert_true (
      registry_find (registry, registry_identity (&newer), &records[0]));
  g_assert_cmpstr (records[0].target, ==, "b");
  newer.leaving = false;
  g_assert_false (
      registry_find (registry, registry_identity (&newer), &records[0]));
  registry_destroy (registry);
}

/* A delayed report doesn't remove requests sent after it was made from the
   estimate. */
static void
test_report_age (void)
{
  struct registry *registry = registry_create (LAPSE_MS);
  merge (registry, 1, 1, false, 0, 0);
  struct registry_reader *reader = registry_reader_create (registry);
  const struct registry_view *view = registry_read (reader, "redactor");
  struct registry_load *load = registry_load_ref (view->targets[0].load);
  registry_read_end (reader);
  load->open = 2;
  load->sent_since_report = 2;
  registry_lapse (registry, 500);
  load->open = 5;
  load->sent_since_report = 5;
  merge (registry, 1, 2, false, 600, 1000);
  g_assert_cmpuint (load->sent_since_report, ==, 3);
  g_assert_cmpuint (load->open_at_report, ==, 2);
  merge (registry, 1, 3, false, 1100, 1100);
  g_assert_cmpuint (load->sent_since_report, ==, 0);
  g_assert_cmpuint (load->open_at_report, ==, 5);
  registry_load_unref (load);
  registry_reader_destroy (reader);
  registry_destroy (registry);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/registry/order", test_order);
  g_test_add_func ("/registry/lapse", test_lapse);
  g_test_add_func ("/registry/malformed", test_malformed);
  g_test_add_func ("/registry/views", test_views);
  g_test_add_func ("/registry/changes", test_changes);
  g_test_add_func ("/registry/report-age", test_report_age);
  return g_test_run ();
}
