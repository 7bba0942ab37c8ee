/** @file
 *  Tests of the platform's programs as processes with streams that are taken
 *  up after all processes were killed: nobody knows any more which software
 *  version began them. */

#include <string.h>

#include <glib.h>

#include "platform_rig.h"
#include "platform_target.h"

#define CONFIG                                                                \
  "{\"version\":3,\"routes\":[{\"name\":\"a\",\"host\":\"h.example\","        \
  "\"pathPrefix\":\"/stream/\",\"kind\":\"streaming\",\"timeoutMs\":12000,"   \
  "\"targetLatencyMs\":400,\"priority\":0,\"service\":\"brain\","             \
  "\"maxAttempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true}],"  \
  "\"services\":[{\"name\":\"brain\"}],\"limits\":{\"idleTimeoutMs\":15000}," \
  "\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"k1\"]}]}"
#define TAKE_UP "Last-Event-Id: 2"
#define WAIT_TRIES 200
#define WAIT_US 50000
/* Time in which the members write what they know, and time after the restart
   at which all targets are known. */
#define WRITE_US (2 * G_USEC_PER_SEC)
#define VIEW_US (7 * G_USEC_PER_SEC)

struct fixture
{
  struct platform_rig *rig;
  struct platform_target *targets[2];
  uint32_t sequence;
};

/* Announces target 0 (v1) or 1 (v2) to a member; waits until it takes it. */
static void
announce (struct fixture *fixture, uint32_t target)
{
  static const char *const ids[] = { "i-old", "i-new" };
  static const char *const versions[] = { "v1", "v2" };
  const struct platform_rig_target record
      = { .id = ids[target],
          .service = "brain",
          .version = versions[target],
          .port = platform_target_port (fixture->targets[target]),
          .born_ms = 5,
          .sequence = ++fixture->sequence };
  bool is_taken = false;
  for (uint32_t i = 0; !is_taken && i < WAIT_TRIES; i++)
    {
      is_taken = platform_rig_announce_to (fixture->rig,
                                           i % PLATFORM_RIG_CORES, &record);
      if (!is_taken)
        g_usleep (WAIT_US);
    }
  g_assert_true (is_taken);
}

static long
request (const struct fixture *fixture, const char *more)
{
  static uint32_t number;
  char *url = g_strdup_printf ("http://127.0.0.1:%u/stream/x",
                               (unsigned)fixture->rig->callers_port);
  char *id = g_strdup_printf ("X-Request-Id: v%u", ++number);
  const char *const lines[] = { "Host: h.example",
                                "X-Deadline-Ms: 4000",
                                "X-Credential: k1",
                                id,
                                more,
                                NULL };
  struct platform_reply reply = platform_rig_call ("POST", url, "abc", lines);
  long status = reply.whole ? reply.status : 0;
  platform_reply_clear (&reply);
  g_free (id);
  g_free (url);
  return status;
}

/* Starts the processes, and the old target, which serves. */
static struct fixture *
set_up (void)
{
  struct fixture *fixture = g_new0 (struct fixture, 1);
  long status = 0;
  fixture->rig = platform_rig_create ();
  fixture->targets[0] = platform_target_create ("i-old");
  fixture->targets[1] = platform_target_create ("i-new");
  platform_rig_configure (fixture->rig, CONFIG);
  for (uint32_t i = 0; status != 200 && i < WAIT_TRIES; i++)
    {
      announce (fixture, 0);
      status = request (fixture, NULL);
    }
  g_assert_cmpint (status, ==, 200);
  return fixture;
}

static void
tear_down (struct fixture *fixture)
{
  platform_rig_destroy (fixture->rig);
  platform_target_destroy (fixture->targets[0]);
  platform_target_destroy (fixture->targets[1]);
  g_free (fixture);
}

/* Kills all processes and starts them; target @p target announces itself for
   as long as routers need to know all targets. */
static void
restart_all (struct fixture *fixture, uint32_t target)
{
  struct platform_rig *rig = fixture->rig;
  g_usleep (WRITE_US);
  for (uint32_t i = 0; i < PLATFORM_RIG_CORES; i++)
    fleet_process_kill (rig->cores[i]);
  fleet_process_kill (rig->entry);
  for (uint32_t i = 0; i < PLATFORM_RIG_CORES; i++)
    g_assert_cmpint (fleet_process_start (rig->cores[i]), ==, 0);
  g_assert_cmpint (fleet_process_start (rig->entry), ==, 0);
  for (gint64 end_us = g_get_monotonic_time () + VIEW_US;
       g_get_monotonic_time () < end_us;)
    {
      announce (fixture, target);
      g_usleep (10 * WAIT_US);
    }
}

/* Guards against a stream that goes on at another version: all processes were
   killed in a release, and only the new version is there. */
static void
test_release (void)
{
  struct fixture *fixture = set_up ();
  announce (fixture, 1);
  restart_all (fixture, 1);
  uint32_t former = platform_target_runs (fixture->targets[1]);
  g_assert_cmpint (request (fixture, TAKE_UP), ==, 503);
  g_assert_cmpuint (platform_target_runs (fixture->targets[1]), ==, former);
  /* A new stream begins. */
  g_assert_cmpint (request (fixture, NULL), ==, 200);
  tear_down (fixture);
}

/* Without a release the stream is taken up. */
static void
test_one_version (void)
{
  struct fixture *fixture = set_up ();
  restart_all (fixture, 0);
  g_assert_cmpint (request (fixture, TAKE_UP), ==, 200);
  tear_down (fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/platform-restart-versions/release", test_release);
  g_test_add_func ("/platform-restart-versions/one-version", test_one_version);
  return g_test_run ();
}
