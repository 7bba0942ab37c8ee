/** @file
 *  Tests of routers and control members as processes whose open connections go
 *  silent, one direction or both, while new connections work: routers get
 *  configurations in time, and their calls for tokens are answered again. */

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base_clock.h"
#include "base_random.h"
#include "platform_regions.h"

#define ROUTERS 4
#define FAR_DELAY_MS 10
#define ROUNDS 2
#define SILENCES_MAX 3
#define SILENCE_PAUSE_MAX_MS 1000
/* Time within which a configuration must be accepted, and from then on within
   which it must be in force at all routers. */
#define ACCEPT_MS 6000
#define IN_FORCE_MS 7000
#define POLL_US 20000
/* Calls for tokens of a router that each silence may cost. */
#define LOST_CALLS_MAX 2
#define FIRST_SEED 1
#define SEEDS 2

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

static bool
put (struct platform_regions *regions, uint64_t version)
{
  uint64_t end_ms = now_ms () + ACCEPT_MS;
  bool is_accepted = false;
  char *document = g_strdup_printf (
      "{\"version\":%u,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","
      "\"pathPrefix\":\"/v-%u/\",\"kind\":\"safe\",\"timeoutMs\":1000,"
      "\"targetLatencyMs\":500,\"service\":\"plain\",\"maxAttempts\":2,"
      "\"public\":true}],\"services\":[{\"name\":\"plain\"}]}",
      (unsigned)version, (unsigned)version);
  while (!is_accepted && now_ms () < end_ms)
    is_accepted = platform_regions_put (regions, version, document);
  g_free (document);
  return is_accepted;
}

/* Waits until all routers run the version; returns the time that took. */
static uint64_t
wait_in_force (struct platform_regions *regions, uint64_t version)
{
  uint64_t begun_ms = now_ms ();
  uint32_t router = 0;
  while (router < ROUTERS && now_ms () < begun_ms + 2 * IN_FORCE_MS)
    {
      if (platform_regions_table_version (regions, router) >= version)
        router++;
      else
        g_usleep (POLL_US);
    }
  return router == ROUTERS ? now_ms () - begun_ms : 2 * IN_FORCE_MS;
}

/* Number of lines of a router's log that hold @p text. */
static uint32_t
count_lines (const struct platform_regions *regions, uint32_t router,
             const char *text)
{
  uint32_t count = 0;
  char *log = NULL;
  char *path
      = g_strdup_printf ("%s/router-%u.log", regions->folder, router + 1);
  g_assert_true (g_file_get_contents (path, &log, NULL, NULL));
  for (const char *at = log; (at = strstr (at, text)); at++)
    count++;
  g_free (log);
  g_free (path);
  return count;
}

/* Silences connections once to three times; returns how often. */
static uint32_t
silence (struct platform_regions *regions, struct base_random *random)
{
  static const enum link_sides sides[]
      = { LINK_BOTH, LINK_TO_SERVER, LINK_TO_CALLER, LINK_EITHER };
  uint32_t times = 1 + base_random_below (random, SILENCES_MAX);
  for (uint32_t i = 0; i < times; i++)
    {
      enum link_sides side
          = sides[base_random_below (random, G_N_ELEMENTS (sides))];
      uint32_t percent = base_random_below (random, 2) == 0 ? 100 : 50;
      g_test_message ("%u %% of the connections, sides %d", percent,
                      (int)side);
      if (i > 0)
        g_usleep (1000 * base_random_below (random, SILENCE_PAUSE_MAX_MS));
      link_relay_silence (regions->far_link, side, percent, random);
      link_relay_silence (regions->near_link, side, percent, random);
    }
  return times;
}

static void
play (uint64_t seed)
{
  struct base_random random;
  uint64_t version = 1;
  uint32_t silences = 0;
  base_random_seed (&random, seed);
  struct platform_regions *regions
      = platform_regions_create (ROUTERS, FAR_DELAY_MS, 0);
  g_assert_true (put (regions, version));
  g_assert_cmpuint (wait_in_force (regions, version), <=, IN_FORCE_MS);
  for (uint32_t i = 0; i < ROUNDS; i++)
    {
      silences += silence (regions, &random);
      uint64_t begun_ms = now_ms ();
      g_assert_true (put (regions, ++version));
      uint64_t accepted_ms = now_ms () - begun_ms;
      uint64_t took_ms = wait_in_force (regions, version);
      g_test_message ("seed %u: accepted after %u ms, in force %u ms later",
                      (unsigned)seed, (unsigned)accepted_ms,
                      (unsigned)took_ms);
      g_assert_cmpuint (took_ms, <=, IN_FORCE_MS);
    }
  g_usleep (2 * G_USEC_PER_SEC);
  for (uint32_t i = 0; i < ROUTERS; i++)
    {
      uint32_t lost = count_lines (regions, i, "lease-unanswered");
      g_test_message ("router %u: %u calls for tokens unanswered, watches "
                      "lost %u times and regained %u times",
                      i, lost, count_lines (regions, i, "member-lost"),
                      count_lines (regions, i, "member-regained"));
      g_assert_cmpuint (lost, <=, LOST_CALLS_MAX * silences);
      g_assert_cmpuint (count_lines (regions, i, "member-regained"), ==,
                        count_lines (regions, i, "member-lost"));
    }
  platform_regions_destroy (regions);
}

/* Guards against routers that keep a silent connection to a control member:
   after each round a configuration is in force at all of them in time. */
static void
test_rounds (void)
{
  uint32_t first = setting ("SILENT_SEED", FIRST_SEED);
  uint32_t seeds = setting ("SILENT_SEEDS", SEEDS);
  for (uint32_t i = 0; i < seeds; i++)
    play (first + i);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/platform-silent-control/rounds", test_rounds);
  return g_test_run ();
}
