/** @file
 *  Tests of the platform's programs as processes with routers that get too
 *  little of a processor: they don't take their own delay for the failure of
 *  targets. */

#include <glib.h>

#include "platform_scene.h"

#define ENGINE                                                                \
  {                                                                           \
    .slots = 64, .events = 10, .event_interval_ms = 75, .work_ms = 60         \
  }

/* Two routers that look at their connections later than the timeout of a
   connection to a target. */
static void
test_late_look (void)
{
  const struct platform_scene_options options = {
    .routers = 2,
    .run_us = 15000,
    .pause_us = 600000,
    .targets = ENGINE,
    .requests_per_s = 100,
    .burst_factor = 3,
    .length_ms = 9000,
    .leave_max_ms = 1500,
  };
  struct platform_scene_outcome outcome = platform_scene_play (&options, 5);
  g_assert_cmpuint (outcome.unsent, ==, 0);
  g_assert_cmpuint (outcome.unreachable, ==, 0);
}

/* The same where half of the routers reach targets only through the others. */
static void
test_late_look_through_others (void)
{
  const struct platform_scene_options options = {
    .routers = 4,
    .cut_routers = 2,
    .run_us = 1600,
    .pause_us = 30000,
    .targets = ENGINE,
    .requests_per_s = 50,
    .burst_factor = 4,
    .length_ms = 9000,
    .leave_max_ms = 1500,
  };
  struct platform_scene_outcome outcome = platform_scene_play (&options, 6);
  g_assert_cmpuint (10 * outcome.served, >=, 9 * outcome.stayed);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_set_nonfatal_assertions ();
  g_test_add_func ("/platform-slow-router/late-look", test_late_look);
  g_test_add_func ("/platform-slow-router/late-look-through-others",
                   test_late_look_through_others);
  return g_test_run ();
}
