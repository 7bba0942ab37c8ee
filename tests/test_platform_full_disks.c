/** @file
 *  Tests of the platform's control members as processes whose disks are full
 *  for a few seconds each, one after another, never two at once. */

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base_clock.h"
#include "base_random.h"
#include "platform_rig.h"

#define CONFIG                                                                \
  "{\"version\":%u,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","       \
  "\"pathPrefix\":\"/look/\",\"kind\":\"safe\",\"timeoutMs\":2500,"           \
  "\"targetLatencyMs\":600,\"priority\":1,\"service\":\"shop\","              \
  "\"maxAttempts\":2,\"public\":false}],\"services\":[{\"name\":\"shop\"}],"  \
  "\"limits\":{\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"t1\","       \
  "\"apiKeys\":[\"k1\"]}]}"
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

struct fixture
{
  struct platform_rig *rig;
  struct base_random random;
  uint32_t version;
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
  char *body = g_strdup_printf (CONFIG, ++fixture->version);
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

/* Whether all members read back the last version in time. */
static bool
is_read_back (struct fixture *fixture, uint32_t limit_ms)
{
  uint64_t end_ms = now_ms () + limit_ms;
  char *expected = g_strdup_printf ("\"version\":%u,", fixture->version);
  uint32_t held = 0;
  while (held < PLATFORM_RIG_CORES && now_ms () < end_ms)
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
  return held == PLATFORM_RIG_CORES;
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
  base_random_seed (&fixture->random, seed);
  fixture->version = 0;
  fixture->rig
      = platform_rig_create_programs ("cactus-core-full", "cactus-entry");
  /* The first start of three processes. */
  g_assert_true (change (fixture, 2 * ACCEPT_MS));
}

/* Fills a member's disk for a drawn time; changes go on meanwhile.  Returns
   whether each was accepted in time. */
static bool
play_full_disk (struct fixture *fixture, uint32_t core)
{
  bool accepted = true;
  uint64_t end_ms
      = now_ms () + FULL_MIN_MS
        + base_random_below (&fixture->random, FULL_MAX_MS - FULL_MIN_MS);
  platform_rig_fill (fixture->rig, core,
                     base_random_below (&fixture->random, 2) == 0 ? ""
                                                                  : "half");
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
      set_up (&fixture, seed);
      for (uint32_t i = 0; i < ROUNDS * PLATFORM_RIG_CORES; i++)
        {
          g_assert_true (play_full_disk (&fixture, i % PLATFORM_RIG_CORES));
          g_assert_cmpuint (count_running (&fixture), ==, PLATFORM_RIG_CORES);
        }
      g_assert_true (change (&fixture, ACCEPT_MS));
      g_assert_true (is_read_back (&fixture, IN_FORCE_MS - ACCEPT_MS));
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
      g_assert_true (change (&fixture, ACCEPT_MS));
      g_assert_true (is_read_back (&fixture, IN_FORCE_MS - ACCEPT_MS));
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
  return g_test_run ();
}
