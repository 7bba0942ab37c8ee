/** @file
 *  Tests of the platform's control members as processes whose disks are full
 *  for a few seconds each, one after another, never two at once; also beside
 *  restarts, many changes at once and routers with leases. */

#include <signal.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base_clock.h"
#include "base_random.h"
#include "platform_rig.h"
#include "platform_target.h"
#include "tool_folder.h"

#define ROUTE(name, kind)                                                     \
  "{\"name\":\"" name "\",\"host\":\"h.example\",\"pathPrefix\":\"/" name     \
  "/\",\"kind\":\"" kind "\",\"timeoutMs\":2500,\"targetLatencyMs\":600,"     \
  "\"priority\":1,\"service\":\"shop\",\"maxAttempts\":2,\"public\":false}"
#define PREPAID(number)                                                       \
  "{\"name\":\"t" number "\",\"apiKeys\":[\"k" number "\"],"                  \
  "\"prepaid\":100000}"
#define CONFIG                                                                \
  "{\"version\":%u,\"routes\":[" ROUTE ("look", "safe") "," ROUTE (           \
      "stream",                                                               \
      "streaming") "],\"services\":[{\"name\":\"shop\","                      \
                   "\"engine\":{\"slots\":8,"                                 \
                   "\"kvCapacityTokens\":100000,\"stride\":1}}],"             \
                   "\"limits\":{\"idleTimeoutMs\":15000},"                    \
                   "\"tenants\":[" PREPAID ("1") "," PREPAID (                \
                       "2") "," PREPAID ("3") "," PREPAID ("4") "]}"
#define CONFIG_PATH "/v1/config"
/* Time within which a change must be accepted, and within which it must be in
   force at all members. */
#define ACCEPT_MS 6000
#define IN_FORCE_MS 7000
#define STOP_MS 4000
#define FULL_MIN_MS 1000
#define FULL_MAX_MS 3000
#define CHANGE_PAUSE_US 300000
#define POLL_US 20000
#define FIRST_SEED 1
#define SEEDS 1
#define ROUNDS 2
#define CHANGERS 12
/* Time within which a router must serve with tokens of an account. */
#define SERVE_MS 6000
/* More than the interval at which a member writes its file of targets. */
#define TARGETS_FILE_US 1500000
/* Starts of a member that ends by itself, and the time between them. */
#define RESTARTS 5
#define RESTART_US 100000

struct fixture
{
  struct platform_rig *rig;
  struct base_random random;
  atomic_uint version;
  struct platform_target *target;
  uint32_t sequence;
  /* Threads that send changes all the time. */
  atomic_bool stopping;
  GThread *changers[CHANGERS];
};

static uint64_t
now_ms (void)
{
  return base_clock_now_ms (base_clock_system ());
}

static uint32_t
setting (const char *name, uint32_t value)
{
  const char *text = g_getenv (name);
  return text ? (uint32_t)strtoul (text, NULL, 10) : value;
}

/* Sends the next version to the members in turn; returns whether one accepts
   it in time. */
static bool
change (struct fixture *fixture, uint32_t limit_ms)
{
  uint64_t end_ms = now_ms () + limit_ms;
  uint32_t core
      = (uint32_t)base_random_below (&fixture->random, PLATFORM_RIG_CORES);
  char *body = g_strdup_printf (
      CONFIG, 1 + (uint32_t)atomic_fetch_add (&fixture->version, 1));
  long status;
  do
    {
      status = platform_rig_call_control (
          fixture->rig, core++ % PLATFORM_RIG_CORES, "PUT", CONFIG_PATH, body);
      if (status != 200)
        g_usleep (POLL_US);
    }
  while (status != 200 && now_ms () < end_ms);
  g_free (body);
  return status == 200 && now_ms () <= end_ms;
}

static uint32_t
core_count (const struct fixture *fixture)
{
  return PLATFORM_RIG_CORES + (fixture->rig->more_core ? 1 : 0);
}

/* Whether all members read back the last version in time. */
static bool
is_read_back (struct fixture *fixture, uint32_t limit_ms)
{
  uint64_t end_ms = now_ms () + limit_ms;
  char *expected = g_strdup_printf ("\"version\":%u,",
                                    (uint32_t)atomic_load (&fixture->version));
  uint32_t held = 0;
  while (held < core_count (fixture) && now_ms () < end_ms)
    {
      struct platform_reply reply
          = platform_rig_read_control (fixture->rig, held, CONFIG_PATH);
      bool found = reply.status == 200 && strstr (reply.body->str, expected);
      platform_reply_clear (&reply);
      if (found)
        held++;
      else
        g_usleep (POLL_US);
    }
  g_free (expected);
  return held == core_count (fixture);
}

/* Whether a change is accepted and in force at all members in time. */
static bool
is_changed (struct fixture *fixture)
{
  uint64_t end_ms = now_ms () + IN_FORCE_MS;
  if (!change (fixture, ACCEPT_MS))
    return false;
  uint64_t now = now_ms ();
  return now < end_ms && is_read_back (fixture, (uint32_t)(end_ms - now));
}

/* Whether each member accepts a change itself. */
static bool
is_accepted_at_each (struct fixture *fixture, uint32_t limit_ms)
{
  uint64_t end_ms = now_ms () + limit_ms;
  uint32_t core = 0;
  while (core < core_count (fixture) && now_ms () < end_ms)
    {
      char *body = g_strdup_printf (
          CONFIG, 1 + (uint32_t)atomic_fetch_add (&fixture->version, 1));
      long status = platform_rig_call_control (fixture->rig, core, "PUT",
                                               CONFIG_PATH, body);
      g_free (body);
      if (status == 200)
        core++;
      else
        g_usleep (POLL_US);
    }
  return core == core_count (fixture);
}

static uint32_t
count_running (struct fixture *fixture)
{
  uint32_t running = 0;
  for (uint32_t i = 0; i < PLATFORM_RIG_CORES; i++)
    running += fleet_process_running (fixture->rig->cores[i]);
  return running;
}

static void
set_up (struct fixture *fixture, uint32_t seed)
{
  memset (fixture, 0, sizeof *fixture);
  base_random_seed (&fixture->random, seed);
  fixture->rig
      = platform_rig_create_programs ("cactus-core-full", "cactus-entry");
  /* The first start of three processes. */
  g_assert_true (change (fixture, 2 * ACCEPT_MS));
}

/* Draws what of a disk is full, as tests/full_disk.c lists. */
static const char *
draw_kind (struct fixture *fixture)
{
  static const char *const kinds[] = { "", "half", "names", "sync" };
  return kinds[base_random_below (&fixture->random, G_N_ELEMENTS (kinds))];
}

/* Fills a member's disk for a drawn time.  Returns whether each change
   meanwhile was accepted in time. */
static bool
play_full_disk (struct fixture *fixture, uint32_t core)
{
  bool accepted = true;
  uint64_t end_ms
      = now_ms () + FULL_MIN_MS
        + base_random_below (&fixture->random, FULL_MAX_MS - FULL_MIN_MS);
  platform_rig_fill (fixture->rig, core, draw_kind (fixture));
  while (accepted && now_ms () < end_ms)
    {
      accepted = change (fixture, ACCEPT_MS);
      g_usleep (CHANGE_PAUSE_US);
    }
  platform_rig_fill (fixture->rig, core, NULL);
  return accepted;
}

/* Guards against members that end when their disk is full, and against changes
   that are refused after all disks have room again. */
static void
test_one_after_another (void)
{
  uint32_t first = setting ("FULL_SEED", FIRST_SEED);
  uint32_t seeds = setting ("FULL_SEEDS", SEEDS);
  for (uint32_t seed = first; seed < first + seeds; seed++)
    {
      struct fixture fixture;
      g_test_message ("seed %u", seed);
      set_up (&fixture, seed);
      for (uint32_t i = 0; i < ROUNDS * PLATFORM_RIG_CORES; i++)
        {
          g_assert_true (play_full_disk (&fixture, i % PLATFORM_RIG_CORES));
          g_assert_cmpuint (count_running (&fixture), ==, PLATFORM_RIG_CORES);
        }
      g_assert_true (is_changed (&fixture));
      platform_rig_destroy (fixture.rig);
    }
}

/* A member whose disk is full ends when it is asked to, and goes on with what
   it had acknowledged when it is started again. */
static void
test_stopped_while_full (void)
{
  struct fixture fixture;
  set_up (&fixture, 1);
  for (uint32_t i = 0; i < PLATFORM_RIG_CORES; i++)
    {
      platform_rig_fill (fixture.rig, i, "");
      g_assert_true (change (&fixture, ACCEPT_MS));
      g_usleep (CHANGE_PAUSE_US);
      fleet_process_signal (fixture.rig->cores[i], SIGTERM);
      g_assert_cmpint (fleet_process_wait (fixture.rig->cores[i], STOP_MS), !=,
                       -1);
      platform_rig_fill (fixture.rig, i, NULL);
      g_assert_cmpint (fleet_process_start (fixture.rig->cores[i]), ==, 0);
      g_assert_true (is_changed (&fixture));
    }
  platform_rig_destroy (fixture.rig);
}

/* Sends changes in turn; later versions overtake them. */
static gpointer
send_changes (gpointer data)
{
  struct fixture *fixture = data;
  uint32_t core = 0;
  while (!atomic_load (&fixture->stopping))
    {
      char *body = g_strdup_printf (
          CONFIG, 1 + (uint32_t)atomic_fetch_add (&fixture->version, 1));
      platform_rig_call_control (fixture->rig, core++ % PLATFORM_RIG_CORES,
                                 "PUT", CONFIG_PATH, body);
      g_free (body);
      g_usleep (POLL_US);
    }
  return NULL;
}

static void
start_changers (struct fixture *fixture)
{
  for (uint32_t i = 0; i < CHANGERS; i++)
    fixture->changers[i] = g_thread_new ("changer", send_changes, fixture);
}

static void
stop_changers (struct fixture *fixture)
{
  atomic_store (&fixture->stopping, true);
  for (uint32_t i = 0; i < CHANGERS; i++)
    g_thread_join (fixture->changers[i]);
}

/* Announces the target to one member after another until one accepts it. */
static void
announce (struct fixture *fixture, const char *id)
{
  struct platform_rig_target target
      = { .id = id,
          .service = "shop",
          .port = platform_target_port (fixture->target),
          .version = "v1",
          .sequence = ++fixture->sequence,
          .born_ms = 5 };
  uint64_t end_ms = now_ms () + ACCEPT_MS;
  uint32_t core = 0;
  while (!platform_rig_announce_to (fixture->rig, core++ % PLATFORM_RIG_CORES,
                                    &target))
    {
      g_assert_cmpuint (now_ms (), <, end_ms);
      g_usleep (POLL_US);
    }
}

/* Whether the router serves a request with tokens of an account in time. */
static bool
is_served (struct fixture *fixture, const char *key)
{
  uint64_t end_ms = now_ms () + SERVE_MS;
  bool served = false;
  while (!served && now_ms () < end_ms)
    {
      struct platform_reply reply
          = platform_rig_request (fixture->rig, "/stream/stream", key, "90,5");
      served = reply.whole && reply.status == 200;
      platform_reply_clear (&reply);
      if (!served)
        g_usleep (POLL_US);
    }
  return served;
}

/* Fills a member's disk, ends the member at a drawn time and starts it again
   after a drawn pause, while its disk is full or not. */
static void
play_restart (struct fixture *fixture, uint32_t core)
{
  static const uint32_t pauses_us[] = { 100000, 2000000, 5000000 };
  struct base_random *random = &fixture->random;
  struct fleet_process *member = fixture->rig->cores[core];
  int signal_number = base_random_below (random, 2) ? SIGKILL : SIGTERM;
  bool is_still_full = base_random_below (random, 2);
  uint32_t pause_us
      = pauses_us[base_random_below (random, G_N_ELEMENTS (pauses_us))];
  platform_rig_fill (fixture->rig, core, draw_kind (fixture));
  g_usleep (base_random_below (random, FULL_MIN_MS) * 1000);
  g_assert_true (change (fixture, ACCEPT_MS));
  fleet_process_signal (member, signal_number);
  g_assert_cmpint (fleet_process_wait (member, STOP_MS), !=, -1);
  if (!is_still_full)
    platform_rig_fill (fixture->rig, core, NULL);
  g_usleep (pause_us);
  g_assert_cmpint (fleet_process_start (member), ==, 0);
  g_assert_true (change (fixture, ACCEPT_MS));
  g_usleep (base_random_below (random, FULL_MIN_MS) * 1000);
  g_assert_true (is_served (fixture, "k1"));
  platform_rig_fill (fixture->rig, core, NULL);
  g_assert_true (change (fixture, ACCEPT_MS));
  g_assert_cmpuint (count_running (fixture), ==, PLATFORM_RIG_CORES);
}

/* Guards against changes that are refused, and accounts that are not served,
   after members were started again while their disks were full, beside twelve
   changes at once. */
static void
test_restarted_while_full (void)
{
  uint32_t first = setting ("FULL_SEED", FIRST_SEED);
  uint32_t seeds = setting ("FULL_SEEDS", SEEDS);
  for (uint32_t seed = first; seed < first + seeds; seed++)
    {
      struct fixture fixture;
      g_test_message ("seed %u", seed);
      set_up (&fixture, seed);
      fixture.target = platform_target_create ("p1");
      announce (&fixture, "p1");
      g_assert_true (is_served (&fixture, "k1"));
      start_changers (&fixture);
      for (uint32_t i = 0; i < PLATFORM_RIG_CORES; i++)
        play_restart (&fixture, i);
      g_assert_true (is_served (&fixture, "k2"));
      stop_changers (&fixture);
      g_assert_true (is_changed (&fixture));
      g_assert_true (is_accepted_at_each (&fixture, ACCEPT_MS));
      g_assert_true (is_served (&fixture, "k3"));
      platform_rig_destroy (fixture.rig);
      platform_target_destroy (fixture.target);
    }
}

/* A target that was announced while a disk was full is known after a restart
   of all processes, without another announcement. */
static void
test_targets_kept (void)
{
  struct fixture fixture;
  struct platform_rig *rig;
  set_up (&fixture, 1);
  rig = fixture.rig;
  fixture.target = platform_target_create ("p1");
  for (uint32_t i = 0; i < PLATFORM_RIG_CORES; i++)
    {
      platform_rig_fill (rig, i, i == 1 ? "names" : "");
      if (i == 0)
        announce (&fixture, "p1");
      g_usleep (TARGETS_FILE_US);
      platform_rig_fill (rig, i, NULL);
    }
  g_usleep (TARGETS_FILE_US);
  fleet_process_kill (rig->entry);
  for (uint32_t i = 0; i < PLATFORM_RIG_CORES; i++)
    fleet_process_kill (rig->cores[i]);
  for (uint32_t i = 0; i < PLATFORM_RIG_CORES; i++)
    g_assert_cmpint (fleet_process_start (rig->cores[i]), ==, 0);
  g_assert_cmpint (fleet_process_start (rig->entry), ==, 0);
  g_assert_true (is_served (&fixture, "k1"));
  g_assert_true (change (&fixture, ACCEPT_MS));
  platform_rig_destroy (rig);
  platform_target_destroy (fixture.target);
}

/* Guards against members that were replaced as voters while their disks were
   full and don't come back, and against changes that are refused then. */
static void
test_replaced_while_full (void)
{
  uint32_t first = setting ("FULL_SEED", FIRST_SEED);
  uint32_t seeds = setting ("FULL_SEEDS", SEEDS);
  for (uint32_t seed = first; seed < first + seeds; seed++)
    {
      struct fixture fixture;
      g_test_message ("seed %u", seed);
      set_up (&fixture, seed);
      platform_rig_add_core (fixture.rig);
      g_assert_true (change (&fixture, ACCEPT_MS));
      g_assert_true (is_read_back (&fixture, ACCEPT_MS));
      for (uint32_t i = 0; i < core_count (&fixture); i++)
        g_assert_true (play_full_disk (&fixture, i));
      g_assert_true (is_changed (&fixture));
      g_assert_true (is_accepted_at_each (&fixture, ACCEPT_MS));
      g_assert_cmpuint (count_running (&fixture), ==, PLATFORM_RIG_CORES);
      g_assert_true (fleet_process_running (fixture.rig->more_core));
      platform_rig_destroy (fixture.rig);
    }
}

/* Starts a member that may end several times. */
static void
start_until_running (struct fleet_process *member, uint32_t tries)
{
  for (uint32_t i = 0; i < tries; i++)
    {
      if (!fleet_process_running (member))
        g_assert_cmpint (fleet_process_start (member), ==, 0);
      g_usleep (RESTART_US);
    }
}

/* A member that lost its folder on a full disk joins again with room. */
static void
test_lost_while_full (void)
{
  static const char *const kinds[] = { "", "half", "names", "sync" };
  struct fixture fixture;
  set_up (&fixture, 1);
  for (uint32_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      struct fleet_process *member
          = fixture.rig->cores[i % PLATFORM_RIG_CORES];
      char *folder = g_build_filename (fixture.rig->folder,
                                       fleet_process_name (member), NULL);
      fleet_process_kill (member);
      tool_folder_empty (folder);
      platform_rig_fill (fixture.rig, i % PLATFORM_RIG_CORES, kinds[i]);
      start_until_running (member, RESTARTS);
      g_assert_true (change (&fixture, ACCEPT_MS));
      platform_rig_fill (fixture.rig, i % PLATFORM_RIG_CORES, NULL);
      start_until_running (member, RESTARTS);
      g_assert_true (is_accepted_at_each (&fixture, ACCEPT_MS));
      g_assert_true (is_changed (&fixture));
      g_assert_cmpuint (count_running (&fixture), ==, PLATFORM_RIG_CORES);
      g_free (folder);
      g_usleep (FULL_MIN_MS * 1000); /* It gets its vote again. */
    }
  platform_rig_destroy (fixture.rig);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/platform-full-disks/one-after-another",
                   test_one_after_another);
  g_test_add_func ("/platform-full-disks/stopped-while-full",
                   test_stopped_while_full);
  g_test_add_func ("/platform-full-disks/restarted-while-full",
                   test_restarted_while_full);
  g_test_add_func ("/platform-full-disks/targets-kept", test_targets_kept);
  g_test_add_func ("/platform-full-disks/lost-while-full",
                   test_lost_while_full);
  g_test_add_func ("/platform-full-disks/replaced-while-full",
                   test_replaced_while_full);
  return g_test_run ();
}
