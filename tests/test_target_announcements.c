/** @file
 *  Tests of what control members and routers believe of targets. */

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "control_targets.h"
#include "edge_targets.h"

#define SILENT_MS 3000

/* A record whose strings are literals. */
static struct control_target
record (const char *name, uint64_t born_ms, uint64_t sequence,
        enum control_target_state state)
{
  struct control_target target = { 0 };
  target.name = (char *)(uintptr_t)name;
  target.born_ms = born_ms;
  target.sequence = sequence;
  target.service = (char *)"s";
  target.address = (char *)"10.0.0.1";
  target.port = 80;
  target.availability_zone = (char *)"z";
  target.slots = 4;
  target.state = state;
  return target;
}

static uint32_t
changed_since (struct control_targets *targets, uint64_t change)
{
  struct control_target *list = NULL;
  uint32_t count = control_targets_changed_since (targets, change, &list);
  for (uint32_t i = 0; i < count; i++)
    xdr_free ((xdrproc_t)xdr_control_target, (char *)&list[i]);
  free (list);
  return count;
}

static void
test_only_news_is_a_change (void)
{
  struct control_targets *targets = control_targets_create (SILENT_MS);
  struct control_target target = record ("a", 5, 1, CONTROL_TARGET_READY);
  g_assert_true (control_targets_announce (targets, &target, 1000));
  uint64_t change = control_targets_change_count (targets);
  target.sequence = 2;
  g_assert_true (control_targets_announce (targets, &target, 2000));
  g_assert_cmpuint (changed_since (targets, change), ==, 0);
  control_targets_expire (targets, 4999);
  g_assert_cmpuint (changed_since (targets, change), ==, 0);
  control_targets_expire (targets, 5000);
  g_assert_cmpuint (changed_since (targets, change), ==, 1);
  control_targets_destroy (targets);
}

static void
test_late_announcements (void)
{
  struct control_targets *targets = control_targets_create (SILENT_MS);
  struct control_target ready = record ("a", 5, 3, CONTROL_TARGET_READY);
  struct control_target leaving = record ("a", 5, 4, CONTROL_TARGET_LEAVING);
  struct control_target again = record ("a", 5, 5, CONTROL_TARGET_READY);
  struct control_target reborn = record ("a", 6, 1, CONTROL_TARGET_READY);
  g_assert_true (control_targets_announce (targets, &leaving, 1000));
  g_assert_false (control_targets_announce (targets, &ready, 1001));
  /* A run that leaves stays leaving. */
  g_assert_true (control_targets_announce (targets, &again, 1002));
  struct control_target *list = NULL;
  g_assert_cmpuint (control_targets_changed_since (targets, 0, &list), ==, 1);
  g_assert_cmpint (list[0].state, ==, CONTROL_TARGET_LEAVING);
  xdr_free ((xdrproc_t)xdr_control_target, (char *)&list[0]);
  free (list);
  g_assert_true (control_targets_announce (targets, &reborn, 1003));
  g_assert_false (control_targets_announce (targets, &again, 1004));
  control_targets_mark_gone (targets, "a", 1005);
  reborn.sequence = 2;
  g_assert_false (control_targets_announce (targets, &reborn, 1006));
  control_targets_destroy (targets);
}

static void
test_router_merges_words (void)
{
  struct edge_targets *targets = edge_targets_create ();
  struct control_target target = record ("a", 5, 1, CONTROL_TARGET_READY);
  g_assert_true (edge_targets_merge (targets, 0, &target, 1000));
  g_assert_false (edge_targets_merge (targets, 1, &target, 1000));
  g_assert_cmpuint (edge_targets_count (targets, "s"), ==, 1);
  target.sequence = 2;
  target.state = CONTROL_TARGET_LEAVING;
  g_assert_true (edge_targets_merge (targets, 0, &target, 1100));
  g_assert_cmpuint (edge_targets_count (targets, "s"), ==, 0);
  /* The other member's older word does not bring it back. */
  target.sequence = 9;
  target.state = CONTROL_TARGET_READY;
  edge_targets_merge (targets, 1, &target, 1200);
  g_assert_cmpuint (edge_targets_count (targets, "s"), ==, 0);
  edge_targets_destroy (targets);
}

static void
test_over_without_a_run (void)
{
  struct edge_targets *targets = edge_targets_create ();
  struct control_target target = record ("a", 5, 1, CONTROL_TARGET_READY);
  struct control_target over = record ("a", 0, 0, CONTROL_TARGET_GONE);
  over.service = (char *)"";
  edge_targets_merge (targets, 0, &target, 1000);
  g_assert_true (edge_targets_merge (targets, 1, &over, 1000));
  g_assert_cmpuint (edge_targets_count (targets, "s"), ==, 0);
  target.born_ms = 6;
  edge_targets_merge (targets, 0, &target, 1100);
  g_assert_cmpuint (edge_targets_count (targets, "s"), ==, 1);
  edge_targets_destroy (targets);
}

static void
test_one_run_an_address (void)
{
  struct edge_targets *targets = edge_targets_create ();
  struct control_target old = record ("a", 5, 1, CONTROL_TARGET_READY);
  struct control_target young = record ("b", 6, 1, CONTROL_TARGET_READY);
  edge_targets_merge (targets, 0, &young, 1000);
  /* Word of the older run comes late. */
  edge_targets_merge (targets, 0, &old, 1001);
  g_assert_cmpuint (edge_targets_count (targets, "s"), ==, 1);
  edge_targets_destroy (targets);
}

static void
find_only (void *context, struct edge_target *target)
{
  *(struct edge_target **)context = target;
}

static void
test_silence (void)
{
  struct edge_target *found = NULL;
  struct edge_targets *targets = edge_targets_create ();
  struct control_target target = record ("a", 5, 1, CONTROL_TARGET_READY);
  edge_targets_merge (targets, 0, &target, 1000);
  edge_targets_visit (targets, "s", find_only, &found);
  g_assert_false (edge_target_is_silent (found, 1000000));
  edge_targets_forget_source (targets, 0, 2000);
  g_assert_false (edge_target_is_silent (found, 2100));
  g_assert_true (edge_target_is_silent (found, 9000));
  edge_targets_merge (targets, 1, &target, 9100);
  g_assert_false (edge_target_is_silent (found, 1000000));
  edge_targets_destroy (targets);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/target-words/only-news-is-a-change",
                   test_only_news_is_a_change);
  g_test_add_func ("/target-words/late-announcements",
                   test_late_announcements);
  g_test_add_func ("/target-words/router-merges-words",
                   test_router_merges_words);
  g_test_add_func ("/target-words/over-without-a-run",
                   test_over_without_a_run);
  g_test_add_func ("/target-words/one-run-an-address",
                   test_one_run_an_address);
  g_test_add_func ("/target-words/silence", test_silence);
  return g_test_run ();
}
