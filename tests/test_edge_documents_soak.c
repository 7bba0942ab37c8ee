/** @file
 *  Randomized soak of how documents get to routers: routers and the member of
 *  their region are killed, suspended and restarted, and the link between the
 *  regions is cut, while documents are accepted.  SOAK_SEED and SOAK_SEEDS in
 *  the environment select the seeds. */

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base_clock.h"
#include "base_random.h"
#include "platform_regions.h"

#define FAR_DELAY_MS 30
#define FAR_BYTES_PER_S 1000000
#define ROUTERS 6
/* Number of routes of a document, and how much that varies. */
#define ROUTES 1000
#define ROUTES_SPREAD 1000
#define SEED_MS 9000
#define STEP_MAX_MS 300
/* Time after an acknowledgement by which a router has a document. */
#define IN_FORCE_MS 3000
/* Longest fault, in milliseconds; a lost connection shows within the timeout
   of a watch call. */
#define FAULT_MAX_MS 1500
#define FIRST_SEED 1
#define SEEDS 3

/* A fault that ends at a time, 0 while there is none. */
struct fault
{
  uint64_t until_ms;
  bool is_killed;
};

struct soak
{
  struct platform_regions *regions;
  struct base_random random;
  uint64_t version;
  /* Time of the acknowledgement of each version. */
  GArray *acked_ms;
  struct fault routers[ROUTERS];
  struct fault member;
  struct fault link;
  /* Time from which on a router has to have new documents in time. */
  uint64_t sound_since_ms[ROUTERS];
  uint64_t seen[ROUTERS];
  uint32_t checks;
  uint32_t late;
  uint32_t reverted;
};

static uint64_t
now_ms (void)
{
  return base_clock_now_ms (base_clock_system ());
}

/* Makes a document with the route /last-VERSION/ and many others. */
static char *
make_document (struct soak *soak, uint64_t version)
{
  uint64_t routes = ROUTES + base_random_below (&soak->random, ROUTES_SPREAD);
  GString *text = g_string_new (NULL);
  g_string_append_printf (text, "{\"version\":%u,\"routes\":[",
                          (unsigned)version);
  for (uint64_t i = 0; i <= routes; i++)
    {
      char prefix[32];
      g_snprintf (prefix, sizeof prefix, i < routes ? "p%u" : "last-%u",
                  (unsigned)(i < routes ? i * 2654435761u : version));
      g_string_append_printf (
          text,
          "%s{\"name\":\"r-%s\",\"host\":\"h.example\",\"pathPrefix\":\"/%s/"
          "\","
          "\"kind\":\"safe\",\"timeoutMs\":1000,\"targetLatencyMs\":500,"
          "\"service\":\"plain\",\"maxAttempts\":2,\"public\":true}",
          i > 0 ? "," : "", prefix, prefix);
    }
  g_string_append (text, "],\"services\":[{\"name\":\"plain\"}]}");
  return g_string_free (text, FALSE);
}

static void
put (struct soak *soak)
{
  uint64_t version = soak->version + 1;
  char *document = make_document (soak, version);
  if (platform_regions_put (soak->regions, version, document))
    {
      uint64_t acked_ms = now_ms ();
      soak->version = version;
      g_array_append_val (soak->acked_ms, acked_ms);
    }
  g_free (document);
}

static void
begin_fault (struct soak *soak, struct fault *fault,
             struct fleet_process *process)
{
  if (fault->until_ms != 0)
    return;
  fault->until_ms
      = now_ms () + 100 + base_random_below (&soak->random, FAULT_MAX_MS);
  fault->is_killed = base_random_below (&soak->random, 2) == 0;
  if (fault->is_killed)
    fleet_process_kill (process);
  else
    fleet_process_signal (process, SIGSTOP);
}

/* Ends a fault whose time has come; returns whether it did. */
static bool
end_fault (struct fault *fault, struct fleet_process *process, uint64_t at_ms)
{
  if (fault->until_ms == 0 || at_ms < fault->until_ms)
    return false;
  fault->until_ms = 0;
  if (!fault->is_killed)
    fleet_process_signal (process, SIGCONT);
  else
    g_assert_cmpint (fleet_process_start (process), ==, 0);
  return true;
}

static void
end_faults (struct soak *soak)
{
  uint64_t at_ms = now_ms ();
  struct platform_regions *regions = soak->regions;
  for (uint32_t i = 0; i < ROUTERS; i++)
    {
      bool killed = soak->routers[i].is_killed;
      if (!end_fault (&soak->routers[i], regions->routers[i], at_ms))
        continue;
      soak->sound_since_ms[i] = at_ms;
      if (killed)
        soak->seen[i] = 0;
    }
  end_fault (&soak->member, regions->members[PLATFORM_REGIONS_NEAR], at_ms);
  if (soak->link.until_ms == 0)
    return;
  /* While the link is cut, routers may reach no member that is up to date. */
  for (uint32_t i = 0; i < ROUTERS; i++)
    soak->sound_since_ms[i] = at_ms;
  if (at_ms < soak->link.until_ms)
    return;
  soak->link.until_ms = 0;
  link_relay_set_cut (regions->far_link, false);
}

static void
begin_some_fault (struct soak *soak)
{
  struct platform_regions *regions = soak->regions;
  uint64_t dice = base_random_below (&soak->random, 10);
  uint64_t router = base_random_below (&soak->random, ROUTERS);
  if (dice < 5)
    begin_fault (soak, &soak->routers[router], regions->routers[router]);
  else if (dice < 9)
    begin_fault (soak, &soak->member, regions->members[PLATFORM_REGIONS_NEAR]);
  else if (soak->link.until_ms == 0)
    {
      soak->link.until_ms
          = now_ms () + 100 + base_random_below (&soak->random, 700);
      link_relay_set_cut (regions->far_link, true);
    }
}

/* Returns the newest version that was acknowledged before @p time_ms. */
static uint64_t
acked_before (const struct soak *soak, uint64_t time_ms)
{
  uint64_t version = soak->acked_ms->len;
  while (version > 0
         && g_array_index (soak->acked_ms, uint64_t, version - 1) >= time_ms)
    version--;
  return version;
}

/* Checks that each router that has been sound for a while runs what was
   acknowledged IN_FORCE_MS before, and no older version than before. */
static void
check_routers (struct soak *soak)
{
  for (uint32_t i = 0; i < ROUTERS; i++)
    {
      if (soak->routers[i].until_ms != 0)
        continue;
      uint64_t at_ms = now_ms ();
      uint64_t due = acked_before (soak, at_ms - IN_FORCE_MS);
      uint64_t version = platform_regions_table_version (soak->regions, i);
      bool is_sound = at_ms >= soak->sound_since_ms[i] + IN_FORCE_MS;
      if (is_sound && version < due)
        {
          soak->late++;
          g_test_message ("router %u runs version %u, due is %u", i + 1,
                          (unsigned)version, (unsigned)due);
        }
      if (version != 0 && version < soak->seen[i])
        soak->reverted++;
      soak->seen[i] = MAX (soak->seen[i], version);
      soak->checks += is_sound;
    }
}

/* Returns the number of checks of routers that were sound. */
static uint32_t
run_seed (uint64_t seed)
{
  struct soak soak = { 0 };
  base_random_seed (&soak.random, seed);
  soak.acked_ms = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  soak.regions
      = platform_regions_create (ROUTERS, FAR_DELAY_MS, FAR_BYTES_PER_S);
  for (uint32_t i = 0; soak.version == 0 && i < 100; i++)
    put (&soak);
  uint64_t began_ms = now_ms ();
  for (uint32_t i = 0; i < ROUTERS; i++)
    soak.sound_since_ms[i] = began_ms;
  while (now_ms () < began_ms + SEED_MS)
    {
      /* A document is not accepted while the link is cut, and the call would
         wait for it. */
      if (base_random_below (&soak.random, 2) == 0 && soak.link.until_ms == 0)
        put (&soak);
      else
        begin_some_fault (&soak);
      g_usleep (1000 * base_random_below (&soak.random, STEP_MAX_MS));
      end_faults (&soak);
      check_routers (&soak);
    }
  g_test_message ("seed %u: %u documents, %u checks, %u late, %u reverted",
                  (unsigned)seed, (unsigned)soak.version, soak.checks,
                  soak.late, soak.reverted);
  g_assert_cmpuint (soak.late, ==, 0);
  g_assert_cmpuint (soak.reverted, ==, 0);
  link_relay_set_cut (soak.regions->far_link, false);
  platform_regions_destroy (soak.regions);
  g_array_unref (soak.acked_ms);
  return soak.checks;
}

static uint64_t
from_environment (const char *name, uint64_t fallback)
{
  const char *text = g_getenv (name);
  return text ? g_ascii_strtoull (text, NULL, 10) : fallback;
}

static void
test_soak (void)
{
  uint64_t first = from_environment ("SOAK_SEED", FIRST_SEED);
  uint64_t count = from_environment ("SOAK_SEEDS", SEEDS);
  uint32_t checks = 0;
  for (uint64_t seed = first; seed < first + count; seed++)
    checks += run_seed (seed);
  g_assert_cmpuint (checks, >, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/edge-documents-soak/random-faults", test_soak);
  return g_test_run ();
}
