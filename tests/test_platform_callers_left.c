/** @file
 *  Tests of the platform's programs as processes with callers that leave: a
 *  request reaches no target, and no target works on one, much later than its
 *  caller left. */

#include <signal.h>

#include <glib.h>

#include "platform_scene.h"

/* Requests that may reach a target half a second after their callers left. */
#define LATE_ARRIVALS_MAX 3
/* Streams that run while a router stands still, the time until then, and the
   time for which it stands still after the last call. */
#define RUNNING_STREAMS 60
#define STREAMS_BEGIN_MS 300
#define STOP_MS 900
#define ENGINE                                                                \
  {                                                                           \
    .slots = 64, .events = 40, .event_interval_ms = 75, .work_ms = 60         \
  }

/* Two routers that get 5 percent of a processor, and a burst. */
static void
test_slow_router (void)
{
  const struct platform_scene_options options = {
    .routers = 2,
    .run_us = 1600,
    .pause_us = 30000,
    .targets = ENGINE,
    .requests_per_s = 100,
    .burst_factor = 6,
    .length_ms = 12000,
    .leave_percent = 75,
    .leave_max_ms = 1500,
  };
  struct platform_scene_outcome outcome = platform_scene_play (&options, 1);
  g_assert_cmpuint (outcome.late_arrivals, <=, LATE_ARRIVALS_MAX);
  g_assert_cmpuint (4 * outcome.late_work, <=, outcome.at_work);
}

/* Half of the routers reach targets only through the others. */
static void
test_slow_relay (void)
{
  const struct platform_scene_options options = {
    .routers = 4,
    .cut_routers = 2,
    .run_us = 1600,
    .pause_us = 30000,
    .targets = ENGINE,
    .requests_per_s = 100,
    .burst_factor = 4,
    .length_ms = 12000,
    .leave_percent = 75,
    .leave_max_ms = 1500,
  };
  struct platform_scene_outcome outcome = platform_scene_play (&options, 4);
  g_assert_cmpuint (outcome.late_arrivals, <=, LATE_ARRIVALS_MAX);
  g_assert_cmpuint (4 * outcome.late_work, <=, outcome.at_work);
}

/* Requests that come while the router stands still: all callers that leave
   have left before it goes on. */
static void
test_unread_requests (void)
{
  const struct platform_scene_options options = {
    .routers = 1,
    .targets = ENGINE,
    .requests_per_s = 4500,
    .length_ms = 300,
    .leave_percent = 75,
    .leave_max_ms = 300,
  };
  struct platform_scene *scene = platform_scene_create (&options);
  platform_scene_make_calls (scene, 3);
  for (uint32_t i = 0; i < scene->call_count; i++)
    {
      struct platform_crowd_call *call = &scene->calls[i];
      bool is_early = i < RUNNING_STREAMS;
      call->path = is_early ? "/stream/a" : "/look/a";
      call->leave = is_early ? PLATFORM_CROWD_STAYS : call->leave;
      call->at_ms = is_early ? 0 : call->at_ms + 2 * STREAMS_BEGIN_MS;
    }
  struct platform_crowd *crowd
      = platform_crowd_start (scene->calls, scene->call_count, "c");
  g_usleep (1000 * STREAMS_BEGIN_MS);
  fleet_process_signal (scene->routers[0], SIGSTOP);
  g_usleep (1000 * (STREAMS_BEGIN_MS + options.length_ms + STOP_MS));
  fleet_process_signal (scene->routers[0], SIGCONT);
  platform_crowd_join (crowd);
  struct platform_scene_outcome outcome = platform_scene_judge (scene);
  platform_scene_destroy (scene);
  g_assert_cmpuint (outcome.late_arrivals, ==, 0);
}

static void
test_full_targets (void)
{
  const struct platform_scene_options options = {
    .routers = 4,
    .targets
    = { .slots = 4, .events = 40, .event_interval_ms = 75, .work_ms = 60 },
    .requests_per_s = 100,
    .burst_factor = 2,
    .length_ms = 9000,
    .leave_percent = 50,
    .leave_max_ms = 1500,
  };
  struct platform_scene_outcome outcome = platform_scene_play (&options, 2);
  g_assert_cmpuint (outcome.late_arrivals, ==, 0);
  g_assert_cmpuint (outcome.late_work, ==, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_set_nonfatal_assertions ();
  g_test_add_func ("/platform-callers-left/slow-router", test_slow_router);
  g_test_add_func ("/platform-callers-left/slow-relay", test_slow_relay);
  g_test_add_func ("/platform-callers-left/unread-requests",
                   test_unread_requests);
  g_test_add_func ("/platform-callers-left/full-targets", test_full_targets);
  return g_test_run ();
}
