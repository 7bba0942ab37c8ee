/** @file
 *  Tests of placement at the edge: homes of shared prompt parts, failures,
 *  crowded targets, and a simulation of the highest load: three times the
 *  usual rate of long prompts, at routers that share no state. */

#include <string.h>

#include <glib.h>

#include "base_random.h"
#include "place.h"

#define TARGETS 12
#define ROUTERS 6
#define LARGE_FLEET_ROUTERS 138
#define SLOTS 64
#define KV_TOKENS 540000

/* The targets as one router sees them. */
struct view
{
  struct place_load loads[TARGETS];
  struct place_candidate candidates[TARGETS];
};

static char names[TARGETS][8];

static void
set_up (struct view *view)
{
  for (uint32_t i = 0; i < TARGETS; i++)
    {
      g_snprintf (names[i], sizeof names[i], "t%u", i);
      place_load_init (&view->loads[i]);
      view->candidates[i] = (struct place_candidate){
        .name = names[i],
        .load = &view->loads[i],
        .distance = i % 3 == 0   ? PLACE_SAME_ZONE
                    : i % 3 == 1 ? PLACE_SAME_REGION
                                 : PLACE_OTHER_REGION,
        .slots = SLOTS,
        .kv_tokens = KV_TOKENS,
        .routers = ROUTERS,
      };
    }
}

static void
tear_down (struct view *view)
{
  for (uint32_t i = 0; i < TARGETS; i++)
    place_load_clear (&view->loads[i]);
}

/* A prompt of a shared part of 4,870 tokens and an unshared part of 6,610. */
static struct place_request
long_prompt (uint64_t shared, uint64_t own)
{
  struct place_request request = { .is_engine = true,
                                   .part_count = 2,
                                   .prompt_tokens = 11480,
                                   .output_tokens = 380 };
  request.parts[0] = (struct place_part){ shared, 4870 };
  request.parts[1] = (struct place_part){ UINT64_C (1) << 40 | own, 6610 };
  return request;
}

static void
test_same_home_everywhere (void)
{
  struct view first;
  struct view second;
  set_up (&first);
  set_up (&second);
  for (uint64_t part = 0; part < 200; part++)
    {
      struct place_request request = long_prompt (part, part);
      int a = place_choose (first.candidates, TARGETS, &request, 1000, part);
      int b = place_choose (second.candidates, TARGETS, &request, 5000,
                            part + 7);
      g_assert_cmpint (a, ==, b);
    }
  tear_down (&first);
  tear_down (&second);
}

static void
test_faults_and_holds (void)
{
  struct view view;
  set_up (&view);
  struct place_request request = { .prompt_tokens = 0 };
  int first = place_choose (view.candidates, TARGETS, &request, 1000, 1);
  for (uint32_t i = 0; i < 3; i++)
    place_note_failure (&view.loads[first], 1000);
  int second = place_choose (view.candidates, TARGETS, &request, 1000, 1);
  g_assert_cmpint (second, !=, first);
  /* The number of recent failures decays over time. */
  g_assert_cmpfloat (place_recent_failures (&view.loads[first], 40000), <,
                     0.01);
  for (uint32_t i = 0; i < TARGETS; i++)
    place_note_refused_connection (&view.loads[i], 2000);
  g_assert_cmpint (place_choose (view.candidates, TARGETS, &request, 2001, 1),
                   ==, -1);
  g_assert_cmpint (place_choose (view.candidates, TARGETS, &request, 60000, 1),
                   >=, 0);
  tear_down (&view);
}

/* A prompt part that every request uses doesn't load its home beyond the
   slots. */
static void
test_hot_part_spills (void)
{
  struct view view;
  uint32_t most = 0;
  set_up (&view);
  for (uint64_t i = 0; i < 60; i++)
    {
      struct place_request request = long_prompt (1, i);
      int index
          = place_choose (view.candidates, TARGETS, &request, 1000 + i, i);
      place_note_sent (&view.candidates[index], &request, 1000 + i);
    }
  for (uint32_t i = 0; i < TARGETS; i++)
    most = MAX (most, view.loads[i].running);
  g_assert_cmpuint (most * ROUTERS, <=, SLOTS);
  tear_down (&view);
}

/* A router of a large fleet with one request at a target doesn't take the
   target for full: the next request on the same part goes there too. */
static void
test_large_fleet_stays_home (void)
{
  struct view view;
  set_up (&view);
  for (uint32_t i = 0; i < TARGETS; i++)
    view.candidates[i].routers = LARGE_FLEET_ROUTERS;
  for (uint64_t part = 0; part < 50; part++)
    {
      struct place_request request = long_prompt (part, part);
      int first = place_choose (view.candidates, TARGETS, &request, 1000, 1);
      uint32_t unread
          = place_note_sent (&view.candidates[first], &request, 1000);
      place_note_response (&view.loads[first], unread);
      request = long_prompt (part, part + 1000);
      int second = place_choose (view.candidates, TARGETS, &request, 1500, 2);
      g_assert_cmpint (second, ==, first);
      place_note_end (&view.loads[first], &request);
    }
  tear_down (&view);
}

/* A simulated engine, which prefills prompts one after the other. */
struct engine
{
  uint64_t free_ms;
  /* Time of last use in ms, by prompt part. */
  uint64_t used_ms[128];
};

/* Result of a simulation. */
struct result
{
  uint64_t reread_tokens;
  uint64_t wait_ms;
};

/* A running request. */
struct running
{
  uint32_t router;
  int target;
  struct place_request request;
  uint32_t unread;
  uint64_t first_ms;
  uint64_t end_ms;
  bool is_read;
};

static void
step_running (struct view *views, GArray *list, uint64_t now_ms)
{
  for (guint i = list->len; i-- > 0;)
    {
      struct running *running = &g_array_index (list, struct running, i);
      struct place_load *load = &views[running->router].loads[running->target];
      if (!running->is_read && now_ms >= running->first_ms)
        {
          running->is_read = true;
          place_note_response (load, running->unread);
        }
      if (now_ms < running->end_ms)
        continue;
      place_note_end (load, &running->request);
      g_array_remove_index_fast (list, i);
    }
}

/* Prefills the prompt at the engine.  Returns the time of its first output
   token. */
static uint64_t
read_prompt (struct engine *engine, uint64_t part, uint64_t now_ms,
             bool *was_read, struct result *result)
{
  bool in_memory
      = engine->used_ms[part] > 0 && now_ms < engine->used_ms[part] + 20000;
  uint64_t tokens = 6610 + (in_memory ? 0 : 4870);
  if (!in_memory && *was_read)
    result->reread_tokens += 4870;
  *was_read = true;
  engine->free_ms = MAX (engine->free_ms, now_ms) + tokens / 80;
  engine->used_ms[part] = now_ms;
  result->wait_ms += engine->free_ms - now_ms;
  return engine->free_ms;
}

static int
least_running (const struct view *view, uint64_t random)
{
  int best = (int)(random % TARGETS);
  for (int i = 0; i < TARGETS; i++)
    if (view->loads[i].running < view->loads[best].running)
      best = i;
  return best;
}

/* Simulates 20 s of 75 long prompts per second. */
static struct result
simulate (bool by_homes)
{
  struct view views[ROUTERS];
  struct engine engines[TARGETS] = { 0 };
  bool was_read[128] = { false };
  struct result result = { 0 };
  struct base_random random;
  GArray *list = g_array_new (FALSE, TRUE, sizeof (struct running));
  base_random_seed (&random, 1);
  for (uint32_t i = 0; i < ROUTERS; i++)
    set_up (&views[i]);
  for (uint64_t now_ms = 1000; now_ms < 21000; now_ms++)
    {
      step_running (views, list, now_ms);
      if (base_random_below (&random, 1000) >= 75)
        continue;
      struct running running = { 0 };
      uint64_t part = base_random_below (&random, 95);
      running.router = (uint32_t)base_random_below (&random, ROUTERS);
      struct view *view = &views[running.router];
      running.request = long_prompt (part, now_ms);
      uint64_t draw = base_random_next (&random);
      running.target = by_homes ? place_choose (view->candidates, TARGETS,
                                                &running.request, now_ms, draw)
                                : least_running (view, draw);
      running.unread = place_note_sent (&view->candidates[running.target],
                                        &running.request, now_ms);
      running.first_ms = read_prompt (&engines[running.target], part, now_ms,
                                      &was_read[part], &result);
      running.end_ms = running.first_ms + 1900;
      g_array_append_val (list, running);
    }
  for (uint32_t i = 0; i < ROUTERS; i++)
    tear_down (&views[i]);
  g_array_unref (list);
  return result;
}

static void
test_worst_load (void)
{
  struct result baseline = simulate (false);
  struct result homes = simulate (true);
  g_test_message ("read again: %lu against %lu tokens; waited: %lu against "
                  "%lu ms",
                  (unsigned long)homes.reread_tokens,
                  (unsigned long)baseline.reread_tokens,
                  (unsigned long)homes.wait_ms,
                  (unsigned long)baseline.wait_ms);
  g_assert_cmpuint (homes.reread_tokens, <, baseline.reread_tokens / 3);
  g_assert_cmpuint (homes.wait_ms, <, baseline.wait_ms);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/place/same-home-everywhere", test_same_home_everywhere);
  g_test_add_func ("/place/faults-and-holds", test_faults_and_holds);
  g_test_add_func ("/place/hot-part-spills", test_hot_part_spills);
  g_test_add_func ("/place/large-fleet-stays-home",
                   test_large_fleet_stays_home);
  g_test_add_func ("/place/worst-load", test_worst_load);
  return g_test_run ();
}
