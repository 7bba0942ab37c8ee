/** @file
 *  Tests of the platform's programs as processes with availability zones that
 *  an operator evacuates and takes back, beside members and routers that are
 *  killed, start late or are cut off. */

#include <signal.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/wait.h>

#include <glib.h>

#include "platform_rig.h"
#include "platform_target.h"

#define CONFIG                                                                \
  "{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","        \
  "\"pathPrefix\":\"/look/\",\"kind\":\"safe\",\"timeoutMs\":2500,"           \
  "\"targetLatencyMs\":600,\"priority\":1,\"service\":\"shop\","              \
  "\"maxAttempts\":2,\"public\":false},{\"name\":\"s\",\"host\":"             \
  "\"h.example\",\"pathPrefix\":\"/stream/\",\"kind\":\"streaming\","         \
  "\"timeoutMs\":12000,\"targetLatencyMs\":400,\"priority\":0,"               \
  "\"service\":\"shop\",\"maxAttempts\":2,\"public\":false,\"sticky\":true,"  \
  "\"resumable\":true}],\"services\":[{\"name\":\"shop\"}],\"limits\":{"      \
  "\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"t1\",\"apiKeys\":["      \
  "\"k1\"]}]}"
#define NEAR_PATH "/v1/evacuations/z1"
#define FAR_PATH "/v1/evacuations/z2"
#define ZONES 2
#define WAIT_TRIES 400
#define WAIT_US 50000
#define ANNOUNCE_US (G_USEC_PER_SEC / 2)
/* The stated bounds: time from the acknowledgement of an order until it is in
   force at each router in touch, and after a cut or a restart until a router
   is in touch. */
#define IN_FORCE_US (5 * G_USEC_PER_SEC)
#define CONTACT_US (5 * G_USEC_PER_SEC)
/* Time for which requests are sent and counted. */
#define WATCH_US (G_USEC_PER_SEC)
#define REQUESTS_EACH 20
#define EVENT_INTERVAL_MS 300
#define WHOLE_EVENT "id: 5\n"
/* A refusal comes at once. */
#define AT_ONCE_US (G_USEC_PER_SEC / 2)

/* Targets by zone: z1, that of the routers, and z2. */
struct fixture
{
  struct platform_rig *rig;
  struct platform_target *targets[ZONES];
  atomic_bool stops;
  GThread *announcer;
};

static bool
announce (const struct fixture *fixture, uint32_t core, uint32_t zone,
          uint32_t sequence)
{
  char *path = g_strdup_printf ("/v1/replicas/i-%u", zone + 1);
  char *body = g_strdup_printf (
      "{\"service\":\"shop\",\"address\":\"127.0.0.1:%u\",\"zone\":\"z%u\","
      "\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"seq\":%u,"
      "\"born\":5}",
      (unsigned)platform_target_port (fixture->targets[zone]), zone + 1,
      sequence);
  long status
      = platform_rig_call_control (fixture->rig, core, "PUT", path, body);
  g_free (body);
  g_free (path);
  return status == 200;
}

/* Announces the targets again and again, to a member that runs. */
static gpointer
run_announcer (gpointer data)
{
  struct fixture *fixture = data;
  uint32_t sequence = 1;
  while (!atomic_load (&fixture->stops))
    {
      for (uint32_t zone = 0; zone < ZONES; zone++)
        for (uint32_t core = 0; core < PLATFORM_RIG_CORES; core++)
          if (announce (fixture, core, zone, sequence))
            break;
      sequence++;
      g_usleep (ANNOUNCE_US);
    }
  return NULL;
}

static long
look_at (const struct fixture *fixture, const char *address)
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

static long
look (const struct fixture *fixture)
{
  return look_at (fixture, "127.0.0.1");
}

static uint32_t
runs (const struct fixture *fixture, uint32_t zone)
{
  return platform_target_runs (fixture->targets[zone]);
}

/* Sends requests for a while; returns how many were served. */
static uint32_t
look_for (const struct fixture *fixture, gint64 time_us)
{
  uint32_t served = 0;
  gint64 end_us = g_get_monotonic_time () + time_us;
  while (g_get_monotonic_time () < end_us)
    {
      served += look (fixture) == 200;
      g_usleep (5000);
    }
  return served;
}

static void
wait_served (const struct fixture *fixture, const char *address)
{
  for (uint32_t try = 0; look_at (fixture, address) != 200; try++)
    {
      g_assert_cmpuint (try, <, WAIT_TRIES);
      g_usleep (WAIT_US);
    }
}

/* Sends requests until the target of the zone runs one, for the time in which
   an order must be in force. */
static void
wait_zone_served (const struct fixture *fixture, uint32_t zone)
{
  uint32_t former = runs (fixture, zone);
  gint64 end_us = g_get_monotonic_time () + IN_FORCE_US;
  while (runs (fixture, zone) == former && g_get_monotonic_time () < end_us)
    look (fixture);
  g_assert_cmpuint (runs (fixture, zone), >, former);
}

static struct fixture *
set_up (const char *entry_program)
{
  struct fixture *fixture = g_new0 (struct fixture, 1);
  fixture->rig = platform_rig_create_with (entry_program);
  platform_rig_configure (fixture->rig, CONFIG);
  fixture->targets[0] = platform_target_create ("i-1");
  fixture->targets[1] = platform_target_create ("i-2");
  fixture->announcer = g_thread_new ("announcer", run_announcer, fixture);
  wait_served (fixture, "127.0.0.1");
  wait_zone_served (fixture, 0);
  return fixture;
}

static void
tear_down (struct fixture *fixture)
{
  atomic_store (&fixture->stops, true);
  g_thread_join (fixture->announcer);
  platform_rig_destroy (fixture->rig);
  platform_target_destroy (fixture->targets[0]);
  platform_target_destroy (fixture->targets[1]);
  g_free (fixture);
}

/* Sends an order to the members in turn until one acknowledges it.  The time
   isn't judged here: the members' disks may be slow beside other work. */
static void
order (const struct fixture *fixture, uint32_t core, const char *method,
       const char *path)
{
  long status = 0;
  for (uint32_t try = 0; status != 200 && try < WAIT_TRIES; try++)
    {
      status = platform_rig_call_control (
          fixture->rig, core++ % PLATFORM_RIG_CORES, method, path, NULL);
      if (status != 200)
        g_usleep (WAIT_US);
    }
  g_assert_cmpint (status, ==, 200);
}

/* Evacuates z1; returns its runs once the order must be in force. */
static uint32_t
evacuate_near (const struct fixture *fixture, uint32_t core)
{
  order (fixture, core, "POST", NEAR_PATH);
  look_for (fixture, IN_FORCE_US);
  return runs (fixture, 0);
}

static void
restart (struct fleet_process *process)
{
  fleet_process_kill (process);
  g_assert_cmpint (fleet_process_start (process), ==, 0);
}

/* Guards against requests to an evacuated zone, with each member killed in
   turn, a router that starts late, and after a start of all. */
static void
test_stands (void)
{
  char late[16];
  struct fixture *fixture = set_up ("cactus-entry");
  uint32_t former = evacuate_near (fixture, 1);
  g_assert_cmpuint (look_for (fixture, WATCH_US), >, 0);
  for (uint32_t core = 0; core < PLATFORM_RIG_CORES; core++)
    {
      fleet_process_kill (fixture->rig->cores[core]);
      g_assert_cmpuint (look_for (fixture, 2 * WATCH_US), >, 0);
      g_assert_cmpint (fleet_process_start (fixture->rig->cores[core]), ==, 0);
      g_assert_cmpuint (look_for (fixture, CONTACT_US), >, 0);
    }
  g_assert_cmpuint (runs (fixture, 0), ==, former);
  platform_rig_add_entry (fixture->rig, late);
  wait_served (fixture, late);
  for (uint32_t i = 0; i < REQUESTS_EACH; i++)
    g_assert_cmpint (look_at (fixture, late), ==, 200);
  g_assert_cmpuint (runs (fixture, 0), ==, former);
  for (uint32_t core = 0; core < PLATFORM_RIG_CORES; core++)
    fleet_process_kill (fixture->rig->cores[core]);
  fleet_process_kill (fixture->rig->more_entries[0]);
  fleet_process_kill (fixture->rig->entry);
  for (uint32_t core = 0; core < PLATFORM_RIG_CORES; core++)
    g_assert_cmpint (fleet_process_start (fixture->rig->cores[core]), ==, 0);
  g_assert_cmpint (fleet_process_start (fixture->rig->entry), ==, 0);
  wait_served (fixture, "127.0.0.1");
  g_assert_cmpuint (look_for (fixture, CONTACT_US), >, 0);
  g_assert_cmpuint (runs (fixture, 0), ==, former);
  order (fixture, 2, "DELETE", NEAR_PATH);
  wait_zone_served (fixture, 0);
  tear_down (fixture);
}

/* Guards against an order that is lost with the member that leads while it is
   accepted, or that its counterpart at another member undoes later. */
static void
test_leader_killed (void)
{
  struct fixture *fixture = set_up ("cactus-entry");
  for (uint32_t core = 0; core < PLATFORM_RIG_CORES; core++)
    {
      fleet_process_kill (fixture->rig->cores[core]);
      uint32_t former = evacuate_near (fixture, core + 1);
      restart (fixture->rig->cores[core]);
      g_assert_cmpuint (look_for (fixture, WATCH_US), >, 0);
      g_assert_cmpuint (runs (fixture, 0), ==, former);
      order (fixture, core, "DELETE", NEAR_PATH);
      wait_zone_served (fixture, 0);
    }
  tear_down (fixture);
}

/* Sends an order until the answer isn't that it may be sent again. */
static long
send_bad (struct platform_rig *rig, uint32_t core, const char *method,
          const char *path)
{
  long status = 503;
  for (uint32_t try = 0; status == 503 && try < WAIT_TRIES; try++)
    {
      status = platform_rig_call_control (rig, core, method, path, NULL);
      if (status == 503)
        g_usleep (WAIT_US);
    }
  return status;
}

/* Orders that are sent again, to other members, crossed, and bad ones. */
static void
test_orders (void)
{
  struct fixture *fixture = set_up ("cactus-entry");
  struct platform_rig *rig = fixture->rig;
  char *too_long = g_strnfill (80, 'z');
  char *long_path = g_strconcat ("/v1/evacuations/", too_long, NULL);
  const struct
  {
    const char *method;
    const char *path;
    long status;
  } bad[] = { { "POST", "/v1/evacuations/", 400 },
              { "POST", "/v1/evacuations/a%2Fb", 400 },
              { "POST", "/v1/evacuations/z1/", 400 },
              { "POST", "/v1/evacuations/z%201", 400 },
              { "DELETE", "/v1/evacuations/z%0A1", 400 },
              { "POST", "/v1/evacuations/z9", 404 },
              { "DELETE", "/v1/evacuations/z9", 404 },
              { "GET", NEAR_PATH, 405 },
              { "PUT", NEAR_PATH, 405 },
              { "POST", long_path, 400 } };
  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    for (uint32_t core = 0; core < PLATFORM_RIG_CORES; core++)
      g_assert_cmpint (send_bad (rig, core, bad[i].method, bad[i].path), ==,
                       bad[i].status);
  g_assert_cmpuint (look_for (fixture, WATCH_US), >, 0);
  for (uint32_t core = 0; core < PLATFORM_RIG_CORES; core++)
    order (fixture, core, "DELETE", FAR_PATH);
  for (uint32_t i = 0; i < 2 * PLATFORM_RIG_CORES; i++)
    order (fixture, i, "POST", NEAR_PATH);
  for (uint32_t i = 0; i < 2 * PLATFORM_RIG_CORES + 1; i++)
    order (fixture, i, i % 2 ? "DELETE" : "POST", NEAR_PATH);
  look_for (fixture, IN_FORCE_US);
  uint32_t former = runs (fixture, 0);
  g_assert_cmpuint (look_for (fixture, WATCH_US), >, 0);
  g_assert_cmpuint (runs (fixture, 0), ==, former);
  tear_down (fixture);
  g_free (long_path);
  g_free (too_long);
}

/* Runs cactusctl with the words; returns its exit status, and its output,
   freed with g_free. */
static int
run_ctl (const struct platform_rig *rig, const char *words, char **output)
{
  int status = 0;
  char *program = g_build_filename (fleet_binary_folder (), "cactusctl", NULL);
  char *line
      = g_strdup_printf ("%s %s --cluster cactusspool"
                         " --control 127.0.0.2:%u,127.0.0.3:%u,127.0.0.4:%u",
                         program, words, (unsigned)rig->rpc_port,
                         (unsigned)rig->rpc_port, (unsigned)rig->rpc_port);
  char **arguments = g_strsplit (line, " ", -1);
  g_assert_true (g_spawn_sync (NULL, arguments, NULL, G_SPAWN_DEFAULT, NULL,
                               NULL, output, NULL, &status, NULL));
  g_strfreev (arguments);
  g_free (line);
  g_free (program);
  g_assert_true (WIFEXITED (status));
  return WEXITSTATUS (status);
}

static int
run_order (const struct platform_rig *rig, const char *words)
{
  char *output = NULL;
  int code = run_ctl (rig, words, &output);
  g_free (output);
  return code;
}

/* The operators' command: orders, refusals, and the status with how many
   routers have an order in force. */
static void
test_command (void)
{
  struct fixture *fixture = set_up ("cactus-entry");
  char *output = NULL;
  g_assert_cmpint (run_order (fixture->rig, "evacuate z1"), ==, 0);
  gint64 end_us = g_get_monotonic_time () + IN_FORCE_US;
  do
    {
      g_free (output);
      g_usleep (WAIT_US);
      g_assert_cmpint (run_ctl (fixture->rig, "status --json", &output), ==,
                       0);
    }
  while (!strstr (output, "\"routers_in_force\": 1")
         && g_get_monotonic_time () < end_us);
  g_assert_nonnull (strstr (output, "\"evacuated_zone\": \"z1\""));
  g_assert_nonnull (strstr (output, "\"routers_in_force\": 1"));
  g_assert_nonnull (strstr (output, "\"routers\": 1"));
  g_free (output);
  uint32_t former = runs (fixture, 0);
  g_assert_cmpuint (look_for (fixture, WATCH_US), >, 0);
  g_assert_cmpuint (runs (fixture, 0), ==, former);
  g_assert_cmpint (run_order (fixture->rig, "evacuate z9"), ==, 1);
  g_assert_cmpint (run_order (fixture->rig, "return z9"), ==, 1);
  g_assert_cmpint (run_order (fixture->rig, "evacuate z1/"), ==, 1);
  g_assert_cmpint (run_order (fixture->rig, "return z1"), ==, 0);
  wait_zone_served (fixture, 0);
  g_assert_cmpint (run_ctl (fixture->rig, "status", &output), ==, 0);
  g_assert_null (strstr (output, "evacuated_zone"));
  g_free (output);
  tear_down (fixture);
}

/* All zones are evacuated: rejected at once, with the reason and when to come
   back; served again after one is taken back. */
static void
test_all_zones (void)
{
  struct fixture *fixture = set_up ("cactus-entry");
  evacuate_near (fixture, 0);
  order (fixture, 1, "POST", FAR_PATH);
  look_for (fixture, IN_FORCE_US);
  uint32_t former = runs (fixture, 0) + runs (fixture, 1);
  for (uint32_t i = 0; i < REQUESTS_EACH; i++)
    {
      gint64 began_us = g_get_monotonic_time ();
      struct platform_reply reply
          = platform_rig_request (fixture->rig, "/look/x", "k1", NULL);
      g_assert_cmpint (g_get_monotonic_time () - began_us, <, AT_ONCE_US);
      g_assert_true (reply.whole);
      g_assert_cmpint (reply.status, ==, 503);
      g_assert_cmpfloat (platform_reply_retry_after_s (&reply), >, 0.0);
      g_assert_nonnull (strstr (reply.body->str, "evacuated"));
      platform_reply_clear (&reply);
    }
  g_assert_cmpuint (runs (fixture, 0) + runs (fixture, 1), ==, former);
  order (fixture, 2, "DELETE", NEAR_PATH);
  wait_zone_served (fixture, 0);
  tear_down (fixture);
}

static gpointer
run_stream (gpointer data)
{
  struct platform_reply *reply = g_new0 (struct platform_reply, 1);
  *reply = platform_rig_request (data, "/stream/stream", "k1", "10,10");
  return reply;
}

/* A stream that runs in the zone ends by itself; one that breaks there goes on
   elsewhere. */
static void
test_streams (void)
{
  struct fixture *fixture = set_up ("cactus-entry");
  for (uint32_t breaks = 0; breaks < 2; breaks++)
    {
      platform_target_set_mode (fixture->targets[0],
                                breaks ? PLATFORM_TARGET_TRUNCATE
                                       : PLATFORM_TARGET_SUCCEED);
      platform_target_set_event_interval (fixture->targets[0],
                                          EVENT_INTERVAL_MS);
      platform_target_set_mode (fixture->targets[1], PLATFORM_TARGET_FULL);
      uint32_t former = runs (fixture, 0);
      uint32_t former_far = runs (fixture, 1);
      GThread *thread = g_thread_new ("stream", run_stream, fixture->rig);
      while (runs (fixture, 0) == former)
        g_usleep (1000);
      platform_target_set_mode (fixture->targets[1], PLATFORM_TARGET_SUCCEED);
      order (fixture, breaks, "POST", NEAR_PATH);
      struct platform_reply *reply = g_thread_join (thread);
      g_assert_true (reply->whole);
      g_assert_cmpint (reply->status, ==, 200);
      g_assert_nonnull (strstr (reply->body->str, WHOLE_EVENT));
      g_assert_cmpuint (runs (fixture, 0), ==, former + 1);
      g_assert_cmpuint (runs (fixture, 1), ==, former_far + breaks);
      platform_reply_clear (reply);
      g_free (reply);
      order (fixture, breaks, "DELETE", NEAR_PATH);
      platform_target_set_mode (fixture->targets[0], PLATFORM_TARGET_SUCCEED);
      platform_target_set_mode (fixture->targets[1], PLATFORM_TARGET_FULL);
      wait_zone_served (fixture, 0);
    }
  tear_down (fixture);
}

/* A router that is cut off from control holds to what it knew, and knows what
   was ordered meanwhile once it is in touch. */
static void
test_cut_router (void)
{
  struct fixture *fixture = set_up ("cactus-entry-cut");
  char *cut
      = g_strdup_printf ("hang silent %u", (unsigned)fixture->rig->rpc_port);
  uint32_t former = evacuate_near (fixture, 0);
  platform_rig_cut (fixture->rig, 0, cut);
  g_assert_cmpuint (look_for (fixture, 3 * WATCH_US), >, 0);
  g_assert_cmpuint (runs (fixture, 0), ==, former);
  order (fixture, 1, "DELETE", NEAR_PATH);
  g_assert_cmpuint (look_for (fixture, WATCH_US), >, 0);
  g_assert_cmpuint (runs (fixture, 0), ==, former);
  platform_rig_cut (fixture->rig, 0, NULL);
  look_for (fixture, CONTACT_US);
  wait_zone_served (fixture, 0);
  platform_rig_cut (fixture->rig, 0, cut);
  g_usleep (WATCH_US);
  order (fixture, 2, "POST", NEAR_PATH);
  g_usleep (IN_FORCE_US);
  platform_rig_cut (fixture->rig, 0, NULL);
  look_for (fixture, CONTACT_US);
  former = runs (fixture, 0);
  g_assert_cmpuint (look_for (fixture, WATCH_US), >, 0);
  g_assert_cmpuint (runs (fixture, 0), ==, former);
  tear_down (fixture);
  g_free (cut);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/platform-evacuations/stands", test_stands);
  g_test_add_func ("/platform-evacuations/leader-killed", test_leader_killed);
  g_test_add_func ("/platform-evacuations/orders", test_orders);
  g_test_add_func ("/platform-evacuations/command", test_command);
  g_test_add_func ("/platform-evacuations/all-zones", test_all_zones);
  g_test_add_func ("/platform-evacuations/streams", test_streams);
  g_test_add_func ("/platform-evacuations/cut-router", test_cut_router);
  return g_test_run ();
}
