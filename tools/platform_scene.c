#include "platform_scene.h"

#include <stdlib.h>
#include <string.h>

#include "platform_share.h"

#define CONFIG                                                                \
  "{\"version\":3,\"routes\":["                                               \
  "{\"name\":\"s\",\"host\":\"h.example\",\"pathPrefix\":\"/stream/\","       \
  "\"kind\":\"streaming\",\"timeoutMs\":12000,\"targetLatencyMs\":800,"       \
  "\"priority\":1,\"service\":\"brain\",\"maxAttempts\":2,"                   \
  "\"resumable\":true},"                                                      \
  "{\"name\":\"o\",\"host\":\"h.example\",\"pathPrefix\":\"/onestream/\","    \
  "\"kind\":\"streaming\",\"timeoutMs\":12000,\"targetLatencyMs\":800,"       \
  "\"priority\":1,\"service\":\"brain\",\"maxAttempts\":1},"                  \
  "{\"name\":\"l\",\"host\":\"h.example\",\"pathPrefix\":\"/look/\","         \
  "\"kind\":\"safe\",\"timeoutMs\":2500,\"targetLatencyMs\":400,"             \
  "\"priority\":1,\"service\":\"shop\",\"maxAttempts\":2}],"                  \
  "\"services\":[{\"name\":\"brain\"},{\"name\":\"shop\"}],"                  \
  "\"limits\":{\"idleTimeoutMs\":15000}}"
#define BRAINS 6
#define SHOPS 3
#define TARGETS (BRAINS + SHOPS)
/* Time after which a router has read what it is cut off from. */
#define CUT_READ_US 100000
/* Time after which nothing may happen for a caller that left. */
#define LATE_US (G_USEC_PER_SEC / 2)

static const char *const paths[] = { "/stream/a", "/onestream/a", "/look/a" };

struct platform_scene *
platform_scene_create (const struct platform_scene_options *options)
{
  struct platform_scene *scene = g_new0 (struct platform_scene, 1);
  scene->options = *options;
  scene->rig = platform_rig_create_with (
      options->cut_routers > 0 ? "cactus-entry-cut" : "cactus-entry");
  g_strlcpy (scene->addresses[0], "127.0.0.1", 16);
  scene->routers[0] = scene->rig->entry;
  for (uint32_t i = 1; i < options->routers; i++)
    {
      platform_rig_add_entry (scene->rig, scene->addresses[i]);
      scene->routers[i] = scene->rig->more_entries[i - 1];
    }
  platform_rig_configure (scene->rig, CONFIG);
  scene->engine = platform_engine_create (TARGETS, &options->targets);
  for (uint32_t i = 0; i < TARGETS; i++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "e%u", i);
      platform_rig_announce (scene->rig, id, i < BRAINS ? "brain" : "shop",
                             platform_engine_port (scene->engine, i), "ready",
                             1);
    }
  for (uint32_t i = 0; i < options->routers; i++)
    {
      struct platform_crowd_call call = { .address = scene->addresses[i],
                                          .port = scene->rig->callers_port,
                                          .path = "/look/a",
                                          .deadline_ms = 2500 };
      for (uint32_t try = 0; call.status != 200 && try < 100; try++)
        {
          call.status = 0;
          platform_crowd_join (platform_crowd_start (&call, 1, "first"));
          g_usleep (50000);
        }
      g_assert_cmpuint (call.status, ==, 200);
    }
  return scene;
}

/* Cuts some routers off from all targets.  The connections that they have stay
   open. */
static void
cut_routers (struct platform_scene *scene)
{
  GString *cut = g_string_new ("refuse live");
  for (uint32_t i = 0; i < TARGETS; i++)
    g_string_append_printf (cut, " %u",
                            (unsigned)platform_engine_port (scene->engine, i));
  for (uint32_t i = 0; i < scene->options.cut_routers; i++)
    platform_rig_cut (scene->rig, i, cut->str);
  g_string_free (cut, TRUE);
  g_usleep (CUT_READ_US);
}

void
platform_scene_destroy (struct platform_scene *scene)
{
  platform_rig_destroy (scene->rig);
  platform_engine_destroy (scene->engine);
  g_free (scene->calls);
  g_free (scene);
}

static gint
compare_starts (gconstpointer a, gconstpointer b)
{
  const struct platform_crowd_call *left = a;
  const struct platform_crowd_call *right = b;
  return (left->at_ms > right->at_ms) - (left->at_ms < right->at_ms);
}

void
platform_scene_make_calls (struct platform_scene *scene, guint32 seed)
{
  const struct platform_scene_options *options = &scene->options;
  GRand *random = g_rand_new_with_seed (seed);
  uint32_t third_ms = options->length_ms / 3;
  uint32_t usual = options->requests_per_s * third_ms / 1000;
  scene->call_count = usual * (2 + options->burst_factor);
  scene->calls = g_new0 (struct platform_crowd_call, scene->call_count);
  for (uint32_t i = 0; i < scene->call_count; i++)
    {
      struct platform_crowd_call *call = &scene->calls[i];
      uint32_t router
          = (uint32_t)g_rand_int_range (random, 0, (gint32)options->routers);
      uint32_t within_ms
          = (uint32_t)g_rand_int_range (random, 0, (gint32)third_ms);
      uint32_t third = i < usual ? 0 : (i < 2 * usual ? 2 : 1);
      call->address = scene->addresses[router];
      call->port = scene->rig->callers_port;
      call->path = paths[g_rand_int_range (random, 0, G_N_ELEMENTS (paths))];
      call->deadline_ms = strcmp (call->path, "/look/a") == 0 ? 2500 : 12000;
      call->at_ms = third * third_ms + within_ms;
      bool leaves = (uint32_t)g_rand_int_range (random, 0, 100)
                    < options->leave_percent;
      bool resets = g_rand_boolean (random);
      if (leaves)
        call->leave = resets ? PLATFORM_CROWD_RESETS : PLATFORM_CROWD_CLOSES;
      call->leave_ms = (uint32_t)g_rand_int_range (
          random, 50, (gint32)options->leave_max_ms);
    }
  qsort (scene->calls, scene->call_count, sizeof *scene->calls,
         compare_starts);
  g_rand_free (random);
}

static void
judge_runs (struct platform_scene_outcome *outcome,
            const struct platform_crowd_call *call, const GArray *runs)
{
  for (guint i = 0; runs && i < runs->len; i++)
    {
      const struct platform_engine_run *run
          = &g_array_index (runs, struct platform_engine_run, i);
      gint64 after_us = run->arrived_us - call->left_us;
      outcome->late_arrivals += after_us > LATE_US;
      outcome->latest_arrival_us = MAX (outcome->latest_arrival_us, after_us);
      gint64 work_us = run->ended_us - call->left_us;
      if (run->ended_us > 0 && work_us <= 0)
        continue;
      outcome->at_work++;
      if (run->ended_us == 0)
        work_us = 10 * G_USEC_PER_SEC;
      outcome->late_work += work_us > LATE_US;
      outcome->latest_work_us = MAX (outcome->latest_work_us, work_us);
      if (work_us > LATE_US || after_us > LATE_US)
        g_test_message ("id=%s path=%s began=%d after_left: arrived %.3f "
                        "began %.3f ended %.3f, left after %.3f",
                        call->id, call->path, run->began_us > 0,
                        (double)after_us / 1e6,
                        (double)(run->began_us - call->left_us) / 1e6,
                        (double)work_us / 1e6,
                        (double)(call->left_us - call->started_us) / 1e6);
    }
}

/* Returns the number of places in a router's log with @p text. */
static uint32_t
count_in_log (const struct platform_scene *scene, uint32_t router,
              const char *text)
{
  uint32_t count = 0;
  char *log = NULL;
  char *path = g_strdup_printf ("%s/%s.log", scene->rig->folder,
                                fleet_process_name (scene->routers[router]));
  g_assert_true (g_file_get_contents (path, &log, NULL, NULL));
  for (const char *at = strstr (log, text); at; at = strstr (at + 1, text))
    count++;
  g_free (log);
  g_free (path);
  return count;
}

struct platform_scene_outcome
platform_scene_judge (const struct platform_scene *scene)
{
  struct platform_scene_outcome outcome = { 0 };
  platform_engine_stop (scene->engine);
  for (uint32_t i = 0; i < scene->options.routers; i++)
    {
      outcome.unsent += count_in_log (scene, i, " outcome=unsent ");
      outcome.unreachable += count_in_log (scene, i, " target-unreachable ");
    }
  for (uint32_t i = 0; i < scene->call_count; i++)
    {
      const struct platform_crowd_call *call = &scene->calls[i];
      outcome.left += call->left_us > 0;
      outcome.stayed += call->left_us == 0;
      outcome.served
          += call->left_us == 0 && call->is_whole && call->status == 200;
      if (call->left_us == 0 && !(call->is_whole && call->status == 200))
        g_test_message ("id=%s path=%s status=%u whole=%d not served, after "
                        "%.3f s",
                        call->id, call->path, call->status, call->is_whole,
                        (double)(call->ended_us - call->started_us) / 1e6);
      if (call->left_us > 0)
        judge_runs (&outcome, call,
                    platform_engine_runs (scene->engine, call->id));
    }
  g_test_message (
      "%u calls, %u left, %u arrivals; %u late, up to %.3f s; %u at work, %u "
      "late, up to %.3f s; %u of %u others served; %u unsent, %u "
      "unreachable",
      scene->call_count, outcome.left,
      platform_engine_arrivals (scene->engine), outcome.late_arrivals,
      (double)outcome.latest_arrival_us / 1e6, outcome.at_work,
      outcome.late_work, (double)outcome.latest_work_us / 1e6, outcome.served,
      outcome.stayed, outcome.unsent, outcome.unreachable);
  return outcome;
}

struct platform_scene_outcome
platform_scene_play (const struct platform_scene_options *options,
                     guint32 seed)
{
  struct platform_share *share = NULL;
  struct platform_scene *scene = platform_scene_create (options);
  platform_scene_make_calls (scene, seed);
  if (options->cut_routers > 0)
    cut_routers (scene);
  if (options->pause_us > 0)
    share = platform_share_create (scene->routers, options->routers,
                                   options->run_us, options->pause_us);
  platform_crowd_join (
      platform_crowd_start (scene->calls, scene->call_count, "c"));
  if (share)
    platform_share_destroy (share);
  struct platform_scene_outcome outcome = platform_scene_judge (scene);
  platform_scene_destroy (scene);
  return outcome;
}
