/** @file
 *  Tests of the platform's programs as processes with targets that leave and
 *  serve on for a while: routers that start later must not use them, whichever
 *  control member was told and whichever restarts meanwhile. */

#include <signal.h>

#include <glib.h>

#include "platform_rig.h"
#include "platform_target.h"

#define CONFIG                                                                \
  "{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","        \
  "\"pathPrefix\":\"/look/\",\"kind\":\"safe\",\"timeoutMs\":2500,"           \
  "\"targetLatencyMs\":600,\"priority\":1,\"service\":\"shop\","              \
  "\"maxAttempts\":2,\"public\":false}],\"services\":[{\"name\":\"shop\"}],"  \
  "\"limits\":{\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"t1\","       \
  "\"apiKeys\":[\"k1\"]}]}"
#define LEAVING "leaving"
#define LEAVING_PATH "/v1/replicas/" LEAVING
#define BORN_MS 5
#define WAIT_TRIES 200
#define WAIT_US 50000
/* Routers that start after the sign-off: each hears of the members in an order
   of its own. */
#define LATE_ROUTERS 7
#define REQUESTS_EACH 6
/* Number of times for which a target repeats a departure. */
#define REPEATS 3
/* Time without a change of the members after which they are in touch. */
#define CONTACT_US (4 * G_USEC_PER_SEC)
/* Longest time in which a target's later run gets work. */
#define RETURN_US (3 * G_USEC_PER_SEC)

struct fixture
{
  struct platform_rig *rig;
  struct platform_target *leaving;
  struct platform_target *staying;
};

static bool
announce (const struct fixture *fixture, uint32_t core, const char *id,
          struct platform_target *target, uint64_t born_ms, uint32_t sequence)
{
  const struct platform_rig_target record
      = { .id = id,
          .service = "shop",
          .version = "v1",
          .port = platform_target_port (target),
          .born_ms = born_ms,
          .sequence = sequence };
  return platform_rig_announce_to (fixture->rig, core, &record);
}

/* Starts the processes and two targets, of which @p core hears. */
static struct fixture *
set_up (uint32_t core)
{
  struct fixture *fixture = g_new0 (struct fixture, 1);
  fixture->rig = platform_rig_create ();
  platform_rig_configure (fixture->rig, CONFIG);
  fixture->leaving = platform_target_create (LEAVING);
  fixture->staying = platform_target_create ("staying");
  g_assert_true (
      announce (fixture, core, LEAVING, fixture->leaving, BORN_MS, 1));
  g_assert_true (
      announce (fixture, core, "staying", fixture->staying, BORN_MS, 1));
  g_assert_true (
      platform_rig_wait_status (fixture->rig, "/look/x", "k1", 200));
  return fixture;
}

static void
tear_down (struct fixture *fixture)
{
  platform_rig_destroy (fixture->rig);
  platform_target_destroy (fixture->leaving);
  platform_target_destroy (fixture->staying);
  g_free (fixture);
}

/* Body of an announcement of the leaving target; a sign-off ignores it. */
static char *
leaving_body (const struct fixture *fixture)
{
  return g_strdup_printf (
      "{\"service\":\"shop\",\"address\":\"127.0.0.1:%u\",\"zone\":\"z1\","
      "\"version\":\"v1\",\"slots\":64,\"state\":\"draining\",\"seq\":9,"
      "\"born\":%u}",
      (unsigned)platform_target_port (fixture->leaving), BORN_MS);
}

static long
look (const struct fixture *fixture, const char *address)
{
  static guint number;
  char *url = g_strdup_printf ("http://%s:%u/look/x", address,
                               (unsigned)fixture->rig->callers_port);
  char *id = g_strdup_printf ("X-Request-Id: l%u", ++number);
  const char *const lines[] = { "Host: h.example", "X-Deadline-Ms: 2500",
                                "X-Credential: k1", id, NULL };
  struct platform_reply reply = platform_rig_call ("GET", url, NULL, lines);
  long status = reply.whole ? reply.status : 0;
  platform_reply_clear (&reply);
  g_free (id);
  g_free (url);
  return status;
}

/* Starts routers, and sends requests through them while the staying target is
   full.  Returns the number of requests that the leaving one runs. */
static uint32_t
count_runs_by_late_routers (struct fixture *fixture)
{
  char addresses[LATE_ROUTERS][16];
  uint32_t sequence = 2;
  for (uint32_t i = 0; i < LATE_ROUTERS; i++)
    platform_rig_add_entry (fixture->rig, addresses[i]);
  for (uint32_t i = 0; i < LATE_ROUTERS; i++)
    for (uint32_t try = 0; look (fixture, addresses[i]) != 200; try++)
      {
        g_assert_cmpuint (try, <, WAIT_TRIES);
        announce (fixture, 2, "staying", fixture->staying, BORN_MS,
                  sequence++);
        g_usleep (WAIT_US);
      }
  g_usleep (G_USEC_PER_SEC);
  platform_target_set_mode (fixture->staying, PLATFORM_TARGET_FULL);
  uint32_t former = platform_target_runs (fixture->leaving);
  for (uint32_t i = 0; i < LATE_ROUTERS * REQUESTS_EACH; i++)
    look (fixture, addresses[i % LATE_ROUTERS]);
  return platform_target_runs (fixture->leaving) - former;
}

/* Guards against work for a target that signed off at a member that doesn't
   know it. */
static void
test_sign_off_elsewhere (void)
{
  struct fixture *fixture = set_up (2);
  g_usleep (G_USEC_PER_SEC);
  g_assert_cmpint (platform_rig_call_control (fixture->rig, 0, "DELETE",
                                              LEAVING_PATH, NULL),
                   ==, 200);
  g_assert_cmpuint (count_runs_by_late_routers (fixture), ==, 0);
  tear_down (fixture);
}

/* Restarts a member and waits until it is in touch. */
static void
restart_member (const struct fixture *fixture, uint32_t core, int signal)
{
  struct fleet_process *process = fixture->rig->cores[core];
  g_assert_true (fleet_process_signal (process, signal));
  g_assert_cmpint (fleet_process_wait (process, 8000), !=, -1);
  g_assert_cmpint (fleet_process_start (process), ==, 0);
  g_usleep (CONTACT_US);
}

/* Guards against work for a target whose sign-off was known to one member
   only, which is then killed: the other one still has it as ready. */
static void
test_member_restarts (void)
{
  struct fixture *fixture = set_up (2);
  g_assert_true (announce (fixture, 1, LEAVING, fixture->leaving, BORN_MS, 2));
  g_assert_cmpint (platform_rig_call_control (fixture->rig, 1, "DELETE",
                                              LEAVING_PATH, NULL),
                   ==, 200);
  restart_member (fixture, 1, SIGKILL);
  g_assert_cmpuint (count_runs_by_late_routers (fixture), ==, 0);
  tear_down (fixture);
}

/* Like the former, with all members stopped in turn. */
static void
test_members_restart_in_turn (void)
{
  struct fixture *fixture = set_up (2);
  g_assert_true (announce (fixture, 1, LEAVING, fixture->leaving, BORN_MS, 2));
  g_assert_cmpint (platform_rig_call_control (fixture->rig, 1, "DELETE",
                                              LEAVING_PATH, NULL),
                   ==, 200);
  restart_member (fixture, 1, SIGTERM);
  restart_member (fixture, 0, SIGTERM);
  g_assert_cmpuint (count_runs_by_late_routers (fixture), ==, 0);
  tear_down (fixture);
}

/* Guards against work for a target that said to one member only that it is
   leaving, and fell silent when that member was killed. */
static void
test_leaving_and_member_restarts (void)
{
  struct fixture *fixture = set_up (2);
  char *body = leaving_body (fixture);
  g_assert_cmpint (
      platform_rig_call_control (fixture->rig, 1, "PUT", LEAVING_PATH, body),
      ==, 200);
  restart_member (fixture, 1, SIGKILL);
  g_assert_cmpuint (count_runs_by_late_routers (fixture), ==, 0);
  g_free (body);
  tear_down (fixture);
}

/* Kills all processes at once and starts them again. */
static void
kill_all (const struct fixture *fixture)
{
  struct platform_rig *rig = fixture->rig;
  struct fleet_process *processes[PLATFORM_RIG_CORES + 1];
  for (uint32_t i = 0; i < PLATFORM_RIG_CORES; i++)
    processes[i] = rig->cores[i];
  processes[PLATFORM_RIG_CORES] = rig->entry;
  for (uint32_t i = 0; i < G_N_ELEMENTS (processes); i++)
    g_assert_true (fleet_process_signal (processes[i], SIGKILL));
  for (uint32_t i = 0; i < G_N_ELEMENTS (processes); i++)
    g_assert_cmpint (fleet_process_wait (processes[i], 8000), !=, -1);
  for (uint32_t i = 0; i < G_N_ELEMENTS (processes); i++)
    g_assert_cmpint (fleet_process_start (processes[i]), ==, 0);
}

/* Guards against a departure that all processes forget when they are killed
   right after its acknowledgement. */
static void
test_all_killed_after_ack (gconstpointer data)
{
  const char *method = data;
  struct fixture *fixture = set_up (2);
  char *body = leaving_body (fixture);
  /* The list of targets, still without the departure, is on the disks. */
  g_usleep (G_USEC_PER_SEC);
  g_assert_cmpint (
      platform_rig_call_control (fixture->rig, 1, method, LEAVING_PATH, body),
      ==, 200);
  kill_all (fixture);
  g_usleep (CONTACT_US);
  g_assert_cmpuint (count_runs_by_late_routers (fixture), ==, 0);
  g_free (body);
  tear_down (fixture);
}

/* Guards against the acknowledgement of a departure that only one member
   knows, in memory or on its disk, also when the target repeats it. */
static void
test_no_ack_without_majority (gconstpointer data)
{
  const char *method = data;
  struct fixture *fixture = set_up (2);
  struct platform_rig *rig = fixture->rig;
  char *body = leaving_body (fixture);
  g_usleep (G_USEC_PER_SEC);
  fleet_process_signal (rig->cores[0], SIGSTOP);
  fleet_process_signal (rig->cores[2], SIGSTOP);
  for (uint32_t i = 0; i < REPEATS; i++)
    g_assert_cmpint (
        platform_rig_call_control (rig, 1, method, LEAVING_PATH, body), !=,
        200);
  fleet_process_signal (rig->cores[0], SIGCONT);
  fleet_process_signal (rig->cores[2], SIGCONT);
  for (uint32_t try = 0;
       platform_rig_call_control (rig, 1, method, LEAVING_PATH, body) != 200;
       try++)
    {
      g_assert_cmpuint (try, <, WAIT_TRIES);
      g_usleep (WAIT_US);
    }
  g_free (body);
  tear_down (fixture);
}

/* Has a member run the program of a folder from its next start on. */
static void
set_build (const struct fixture *fixture, uint32_t core, const char *folder)
{
  char *path = g_build_filename (folder, "cactus-core", NULL);
  fleet_process_set_program (fixture->rig->cores[core], path);
  g_free (path);
}

/* Guards against departures that members of the former build, in OLD_BIN, and
   of this one don't understand from each other, or from each other's files. */
static void
test_mixed_builds (void)
{
  const char *old = g_getenv ("OLD_BIN");
  if (!old)
    {
      g_test_skip ("OLD_BIN is not set");
      return;
    }
  for (uint32_t told = 0; told < 2; told++)
    {
      struct fixture *fixture = set_up (2);
      set_build (fixture, 0, old);
      restart_member (fixture, 0, SIGKILL);
      g_assert_cmpint (platform_rig_call_control (fixture->rig, told, "DELETE",
                                                  LEAVING_PATH, NULL),
                       ==, 200);
      g_assert_cmpint (platform_rig_call_control (fixture->rig, 1, "DELETE",
                                                  "/v1/replicas/unknown",
                                                  NULL),
                       ==, 200);
      /* The former build writes its file behind the ack. */
      g_usleep (G_USEC_PER_SEC);
      set_build (fixture, 0, fleet_binary_folder ());
      set_build (fixture, 1, old);
      kill_all (fixture);
      g_usleep (CONTACT_US);
      g_assert_cmpuint (count_runs_by_late_routers (fixture), ==, 0);
      tear_down (fixture);
    }
}

/* Guards against a sign-off that is taken for that of a later run under the
   same id, when routers read a member's list anew. */
static void
test_later_run_gets_work (void)
{
  struct fixture *fixture = set_up (2);
  uint64_t born_ms = (uint64_t)g_get_real_time () / 1000;
  g_assert_cmpint (platform_rig_call_control (fixture->rig, 0, "DELETE",
                                              LEAVING_PATH, NULL),
                   ==, 200);
  platform_target_set_mode (fixture->staying, PLATFORM_TARGET_FULL);
  g_usleep (G_USEC_PER_SEC / 2);
  g_assert_true (
      announce (fixture, 2, LEAVING, fixture->leaving, born_ms + 1000, 1));
  fleet_process_signal (fixture->rig->cores[0], SIGSTOP);
  g_usleep (2 * G_USEC_PER_SEC);
  fleet_process_signal (fixture->rig->cores[0], SIGCONT);
  g_usleep (RETURN_US);
  uint32_t former = platform_target_runs (fixture->leaving);
  for (uint32_t i = 0; i < REQUESTS_EACH; i++)
    look (fixture, "127.0.0.1");
  g_assert_cmpuint (platform_target_runs (fixture->leaving) - former, ==,
                    REQUESTS_EACH);
  tear_down (fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/platform-departures/sign-off-elsewhere",
                   test_sign_off_elsewhere);
  g_test_add_func ("/platform-departures/member-restarts",
                   test_member_restarts);
  g_test_add_func ("/platform-departures/members-restart-in-turn",
                   test_members_restart_in_turn);
  g_test_add_func ("/platform-departures/leaving-and-member-restarts",
                   test_leaving_and_member_restarts);
  g_test_add_data_func ("/platform-departures/all-killed-after-sign-off",
                        "DELETE", test_all_killed_after_ack);
  g_test_add_data_func ("/platform-departures/all-killed-after-leaving", "PUT",
                        test_all_killed_after_ack);
  g_test_add_data_func ("/platform-departures/sign-off-without-majority",
                        "DELETE", test_no_ack_without_majority);
  g_test_add_data_func ("/platform-departures/leaving-without-majority", "PUT",
                        test_no_ack_without_majority);
  g_test_add_func ("/platform-departures/mixed-builds", test_mixed_builds);
  g_test_add_func ("/platform-departures/later-run-gets-work",
                   test_later_run_gets_work);
  return g_test_run ();
}
