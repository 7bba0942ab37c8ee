/** @file
 *  Random histories of the platform's programs as processes: targets leave,
 *  one by one and several at once, while members and routers are killed,
 *  stopped, frozen and started again, at times all of them right after an
 *  acknowledgement.  No target gets work once its departure was acknowledged
 *  and the processes have settled.  SOAK_SEEDS sets the number of histories,
 *  SOAK_SEED the first one. */

#include <signal.h>
#include <stdatomic.h>

#include <glib.h>

#include "base_random.h"
#include "platform_rig.h"
#include "platform_target.h"

#define CONFIG                                                                \
  "{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","        \
  "\"pathPrefix\":\"/look/\",\"kind\":\"safe\",\"timeoutMs\":2500,"           \
  "\"targetLatencyMs\":600,\"priority\":1,\"service\":\"shop\","              \
  "\"maxAttempts\":3,\"public\":true}],\"services\":[{\"name\":\"shop\"}],"   \
  "\"limits\":{\"idleTimeoutMs\":15000}}"
#define SEEDS 2
#define TARGETS 24
/* The target that stays. */
#define STAYING 0
#define STEPS 20
#define PROCESSES (PLATFORM_RIG_CORES + 2)
#define PAUSE_MAX_US 300000
#define DOWN_MAX_US 400000
#define ANNOUNCE_INTERVAL_US 300000
/* Twice the time without a change after which all are in touch. */
#define SETTLE_US (8 * G_USEC_PER_SEC)
#define REQUESTS 40
/* Tries of a departure, each at another member. */
#define TRIES_MAX 40
#define TRY_PAUSE_US 100000

struct soak;

/* A target, and its departure on a thread of its own. */
struct leaver
{
  struct soak *soak;
  char id[16];
  struct platform_target *target;
  atomic_bool is_leaving;
  atomic_bool is_acked;
  /* Announces that it is leaving; otherwise it signs off. */
  bool announces;
  uint32_t first_core;
  atomic_uint sequence;
  GThread *thread;
};

struct soak
{
  struct platform_rig *rig;
  char routers[2][16];
  struct fleet_process *processes[PROCESSES];
  struct leaver leavers[TARGETS];
  struct base_random random;
  atomic_bool stopping;
  /* Departures that were acknowledged. */
  atomic_uint acks;
  GThread *announcer;
};

static uint32_t
below (struct soak *soak, uint32_t bound)
{
  return (uint32_t)base_random_below (&soak->random, bound);
}

static gpointer
run_announcer (gpointer data)
{
  struct soak *soak = data;
  for (uint32_t round = 0; !atomic_load (&soak->stopping); round++)
    {
      for (uint32_t i = 0; i < TARGETS; i++)
        {
          struct leaver *leaver = &soak->leavers[i];
          const struct platform_rig_target record
              = { .id = leaver->id,
                  .service = "shop",
                  .version = "v1",
                  .port = platform_target_port (leaver->target),
                  .born_ms = 5 + i,
                  .sequence = atomic_fetch_add (&leaver->sequence, 1) + 1 };
          if (!atomic_load (&leaver->is_leaving))
            platform_rig_announce_to (
                soak->rig, (round + i) % PLATFORM_RIG_CORES, &record);
        }
      g_usleep (ANNOUNCE_INTERVAL_US);
    }
  return NULL;
}

/* Tells one member after the other until one acknowledges the departure. */
static gpointer
run_departure (gpointer data)
{
  struct leaver *leaver = data;
  struct soak *soak = leaver->soak;
  char *path = g_strdup_printf ("/v1/replicas/%s", leaver->id);
  for (uint32_t try = 0; try < TRIES_MAX && !atomic_load (&leaver->is_acked);
       try++)
    {
      char *body = g_strdup_printf (
          "{\"service\":\"shop\",\"address\":\"127.0.0.1:%u\",\"zone\":\"z1\","
          "\"version\":\"v1\",\"slots\":64,\"state\":\"draining\",\"seq\":%u,"
          "\"born\":%u}",
          (unsigned)platform_target_port (leaver->target),
          atomic_fetch_add (&leaver->sequence, 1) + 1,
          5 + (unsigned)(leaver - soak->leavers));
      uint32_t core = (leaver->first_core + try) % PLATFORM_RIG_CORES;
      if (platform_rig_call_control (soak->rig, core,
                                     leaver->announces ? "PUT" : "DELETE",
                                     path, body)
          == 200)
        {
          atomic_store (&leaver->is_acked, true);
          atomic_fetch_add (&soak->acks, 1);
        }
      else
        g_usleep (TRY_PAUSE_US);
      g_free (body);
    }
  g_free (path);
  return NULL;
}

static void
start_departure (struct soak *soak)
{
  struct leaver *leaver = &soak->leavers[1 + below (soak, TARGETS - 1)];
  if (atomic_exchange (&leaver->is_leaving, true))
    return;
  leaver->announces = below (soak, 2) == 0;
  leaver->first_core = below (soak, PLATFORM_RIG_CORES);
  leaver->thread = g_thread_new ("leaver", run_departure, leaver);
}

static void
restart (struct fleet_process *process)
{
  fleet_process_wait (process, 12000);
  if (!fleet_process_running (process))
    g_assert_cmpint (fleet_process_start (process), ==, 0);
}

static void
restart_all (struct soak *soak)
{
  for (uint32_t i = 0; i < PROCESSES; i++)
    fleet_process_signal (soak->processes[i], SIGKILL);
  g_usleep (below (soak, DOWN_MAX_US));
  for (uint32_t i = 0; i < PROCESSES; i++)
    restart (soak->processes[i]);
}

/* Kills all processes as soon as the next departure is acknowledged, if one
   is. */
static void
restart_all_after_ack (struct soak *soak)
{
  uint32_t former = atomic_load (&soak->acks);
  gint64 end_us = g_get_monotonic_time () + G_USEC_PER_SEC;
  start_departure (soak);
  while (atomic_load (&soak->acks) == former
         && g_get_monotonic_time () < end_us)
    g_usleep (100);
  restart_all (soak);
}

static void
disturb_one (struct soak *soak)
{
  static const int ends[] = { SIGKILL, SIGTERM };
  struct fleet_process *process = soak->processes[below (soak, PROCESSES)];
  if (below (soak, 3) > 0)
    {
      fleet_process_signal (process, ends[below (soak, G_N_ELEMENTS (ends))]);
      g_usleep (below (soak, DOWN_MAX_US));
      restart (process);
      return;
    }
  fleet_process_signal (process, SIGSTOP);
  g_usleep (below (soak, 3 * DOWN_MAX_US));
  fleet_process_signal (process, SIGCONT);
}

static void
set_up (struct soak *soak, uint64_t seed)
{
  base_random_seed (&soak->random, seed);
  soak->rig = platform_rig_create ();
  g_strlcpy (soak->routers[0], "127.0.0.1", sizeof soak->routers[0]);
  platform_rig_add_entry (soak->rig, soak->routers[1]);
  platform_rig_configure (soak->rig, CONFIG);
  for (uint32_t i = 0; i < PLATFORM_RIG_CORES; i++)
    soak->processes[i] = soak->rig->cores[i];
  soak->processes[PLATFORM_RIG_CORES] = soak->rig->entry;
  soak->processes[PLATFORM_RIG_CORES + 1] = soak->rig->more_entries[0];
  for (uint32_t i = 0; i < TARGETS; i++)
    {
      struct leaver *leaver = &soak->leavers[i];
      leaver->soak = soak;
      g_snprintf (leaver->id, sizeof leaver->id, "t%u", i);
      leaver->target = platform_target_create (leaver->id);
    }
  soak->announcer = g_thread_new ("announcer", run_announcer, soak);
  g_assert_true (platform_rig_wait_status (soak->rig, "/look/x", NULL, 200));
  g_usleep (G_USEC_PER_SEC);
}

static void
tear_down (struct soak *soak)
{
  atomic_store (&soak->stopping, true);
  g_thread_join (soak->announcer);
  platform_rig_destroy (soak->rig);
  for (uint32_t i = 0; i < TARGETS; i++)
    platform_target_destroy (soak->leavers[i].target);
}

static void
look (struct soak *soak, uint32_t number)
{
  char *url
      = g_strdup_printf ("http://%s:%u/look/x", soak->routers[number % 2],
                         (unsigned)soak->rig->callers_port);
  char *id = g_strdup_printf ("X-Request-Id: l%u", number);
  const char *const lines[]
      = { "Host: h.example", "X-Deadline-Ms: 2500", id, NULL };
  struct platform_reply reply = platform_rig_call ("GET", url, NULL, lines);
  platform_reply_clear (&reply);
  g_free (id);
  g_free (url);
}

/* Returns the requests that targets with an acknowledged departure run while
   the others are full. */
static uint32_t
count_late_runs (struct soak *soak)
{
  uint32_t runs = 0;
  uint32_t former[TARGETS];
  for (uint32_t i = 0; i < TARGETS; i++)
    {
      struct leaver *leaver = &soak->leavers[i];
      former[i] = platform_target_runs (leaver->target);
      if (!atomic_load (&leaver->is_acked))
        platform_target_set_mode (leaver->target, PLATFORM_TARGET_FULL);
    }
  for (uint32_t i = 0; i < REQUESTS; i++)
    look (soak, i);
  for (uint32_t i = 0; i < TARGETS; i++)
    if (atomic_load (&soak->leavers[i].is_acked))
      runs += platform_target_runs (soak->leavers[i].target) - former[i];
  return runs;
}

static void
run_history (uint64_t seed)
{
  struct soak *soak = g_new0 (struct soak, 1);
  set_up (soak, seed);
  for (uint32_t step = 0; step < STEPS; step++)
    {
      uint32_t dice = below (soak, 12);
      if (dice < 5)
        restart_all_after_ack (soak);
      else if (dice < 9)
        disturb_one (soak);
      else
        for (uint32_t i = 1 + below (soak, 2); i > 0; i--)
          start_departure (soak);
      g_usleep (below (soak, PAUSE_MAX_US));
    }
  for (uint32_t i = 0; i < TARGETS; i++)
    if (soak->leavers[i].thread)
      g_thread_join (soak->leavers[i].thread);
  g_usleep (SETTLE_US);
  g_assert_true (platform_rig_wait_status (soak->rig, "/look/x", NULL, 200));
  uint32_t late = count_late_runs (soak);
  g_test_message ("seed %" G_GUINT64_FORMAT ": %u departures acknowledged, "
                  "%u requests late",
                  seed, atomic_load (&soak->acks), late);
  g_assert_cmpuint (atomic_load (&soak->acks), >, 0);
  g_assert_cmpuint (late, ==, 0);
  tear_down (soak);
  g_free (soak);
}

static uint64_t
environment (const char *name, uint64_t otherwise)
{
  const char *text = g_getenv (name);
  return text ? g_ascii_strtoull (text, NULL, 10) : otherwise;
}

static void
test_soak (void)
{
  uint64_t first = environment ("SOAK_SEED", 1);
  uint64_t count = environment ("SOAK_SEEDS", SEEDS);
  for (uint64_t seed = first; seed < first + count; seed++)
    run_history (seed);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/platform-departures-soak/histories", test_soak);
  return g_test_run ();
}
