/** @file
 *  Tests of the choice of the control member that a router reads the
 *  configuration document from. */

#include <glib.h>

#include "edge_sources.h"

/* Members: two in the router's region, two elsewhere. */
#define NEAR_A 0
#define NEAR_B 1
#define FAR_A 2
#define FAR_B 3
/* Upper bound on how long a router waits for its region, in milliseconds. */
#define GRACE_MAX_MS 1000

static struct edge_sources *
create_at (uint64_t version)
{
  struct edge_sources *sources = edge_sources_create (0);
  for (uint32_t i = NEAR_A; i <= FAR_B; i++)
    edge_sources_report (sources, i, i <= NEAR_B, version, 0);
  edge_sources_set_held (sources, version, 0);
  return sources;
}

static int32_t
choose (const struct edge_sources *sources, uint64_t now_ms)
{
  uint64_t due_ms;
  return edge_sources_choose (sources, now_ms, &due_ms);
}

/* Returns the time from which on a member can be chosen. */
static uint64_t
wait_for_choice (const struct edge_sources *sources, uint64_t now_ms,
                 int32_t *chosen)
{
  uint64_t due_ms = now_ms;
  while ((*chosen = edge_sources_choose (sources, now_ms, &due_ms)) < 0)
    {
      g_assert_cmpuint (due_ms, >, now_ms);
      g_assert_cmpuint (due_ms, !=, UINT64_MAX);
      now_ms = due_ms;
    }
  return now_ms;
}

static void
test_nothing_newer (void)
{
  uint64_t due_ms = 0;
  struct edge_sources *sources = create_at (5);
  edge_sources_report (sources, FAR_A, false, 4, 10);
  g_assert_cmpint (edge_sources_choose (sources, 20, &due_ms), ==, -1);
  g_assert_cmpuint (due_ms, ==, UINT64_MAX);
  edge_sources_destroy (sources);
}

static void
test_own_region_first (void)
{
  struct edge_sources *sources = create_at (5);
  edge_sources_report (sources, FAR_A, false, 6, 1000);
  g_assert_cmpint (choose (sources, 1000), ==, -1);
  edge_sources_report (sources, NEAR_B, true, 6, 1100);
  g_assert_cmpint (choose (sources, 1100), ==, NEAR_B);
  /* Also when another region holds a still newer one. */
  edge_sources_report (sources, FAR_A, false, 7, 1150);
  g_assert_cmpint (choose (sources, 1150), ==, NEAR_B);
  edge_sources_destroy (sources);
}

static void
test_region_behind (void)
{
  int32_t chosen;
  struct edge_sources *sources = create_at (5);
  edge_sources_report (sources, FAR_A, false, 6, 1000);
  uint64_t from_ms = wait_for_choice (sources, 1000, &chosen);
  g_assert_cmpint (chosen, ==, FAR_A);
  g_assert_cmpuint (from_ms, <=, 1000 + GRACE_MAX_MS);
  edge_sources_destroy (sources);
}

/* Documents that follow each other faster than the wait for the region must
   not make that wait start over. */
static void
test_wait_not_restarted (void)
{
  uint64_t now_ms = 1000;
  struct edge_sources *sources = create_at (5);
  for (uint64_t version = 6; choose (sources, now_ms) < 0; version++)
    {
      edge_sources_report (sources, FAR_A, false, version, now_ms);
      now_ms += 100;
      g_assert_cmpuint (now_ms, <=, 1000 + GRACE_MAX_MS);
    }
  g_assert_cmpint (choose (sources, now_ms), ==, FAR_A);
  edge_sources_destroy (sources);
}

static void
test_region_lost (void)
{
  struct edge_sources *sources = create_at (5);
  edge_sources_report (sources, FAR_B, false, 6, 1000);
  edge_sources_report_lost (sources, NEAR_A);
  g_assert_cmpint (choose (sources, 1001), ==, -1);
  edge_sources_report_lost (sources, NEAR_B);
  g_assert_cmpint (choose (sources, 1002), ==, FAR_B);
  edge_sources_report (sources, NEAR_B, true, 6, 1003);
  g_assert_cmpint (choose (sources, 1004), ==, NEAR_B);
  edge_sources_destroy (sources);
}

static void
test_failed_reads (void)
{
  int32_t chosen;
  struct edge_sources *sources = create_at (5);
  for (uint32_t i = NEAR_A; i <= FAR_B; i++)
    edge_sources_report (sources, i, i <= NEAR_B, 6, 1000);
  g_assert_cmpint (choose (sources, 1000), ==, NEAR_A);
  edge_sources_report_failed (sources, NEAR_A, 1010);
  g_assert_cmpint (choose (sources, 1010), ==, NEAR_B);
  edge_sources_report_failed (sources, NEAR_B, 1020);
  g_assert_cmpint (choose (sources, 1020), ==, FAR_A);
  edge_sources_report_failed (sources, FAR_A, 1030);
  g_assert_cmpint (choose (sources, 1030), ==, FAR_B);
  edge_sources_report_failed (sources, FAR_B, 1040);
  g_assert_cmpint (choose (sources, 1040), ==, -1);
  wait_for_choice (sources, 1040, &chosen);
  g_assert_cmpint (chosen, ==, NEAR_A);
  edge_sources_destroy (sources);
}

/* A member that doesn't answer watch calls may still answer a read. */
static void
test_lost_member_last (void)
{
  int32_t chosen;
  struct edge_sources *sources = create_at (5);
  edge_sources_report (sources, FAR_A, false, 6, 1000);
  edge_sources_report_lost (sources, FAR_A);
  wait_for_choice (sources, 1000, &chosen);
  g_assert_cmpint (chosen, ==, FAR_A);
  edge_sources_report (sources, FAR_B, false, 6, 1001);
  wait_for_choice (sources, 1001, &chosen);
  g_assert_cmpint (chosen, ==, FAR_B);
  edge_sources_forget (sources, FAR_A);
  edge_sources_forget (sources, FAR_B);
  g_assert_cmpint (choose (sources, 9000), ==, -1);
  edge_sources_destroy (sources);
}

/* Routers spread over the members of their region. */
static void
test_rotation (void)
{
  uint32_t reads[2] = { 0 };
  for (uint64_t rotation = 0; rotation < 32; rotation++)
    {
      struct edge_sources *sources = edge_sources_create (rotation);
      edge_sources_report (sources, NEAR_A, true, 6, 0);
      edge_sources_report (sources, NEAR_A + 16, true, 6, 0);
      reads[choose (sources, 0) != NEAR_A]++;
      edge_sources_destroy (sources);
    }
  g_assert_cmpuint (reads[0], ==, 16);
  g_assert_cmpuint (reads[1], ==, 16);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/edge-sources/nothing-newer", test_nothing_newer);
  g_test_add_func ("/edge-sources/own-region-first", test_own_region_first);
  g_test_add_func ("/edge-sources/region-behind", test_region_behind);
  g_test_add_func ("/edge-sources/wait-not-restarted",
                   test_wait_not_restarted);
  g_test_add_func ("/edge-sources/region-lost", test_region_lost);
  g_test_add_func ("/edge-sources/failed-reads", test_failed_reads);
  g_test_add_func ("/edge-sources/lost-member-last", test_lost_member_last);
  g_test_add_func ("/edge-sources/rotation", test_rotation);
  return g_test_run ();
}
