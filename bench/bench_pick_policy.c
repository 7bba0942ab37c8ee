/** @file
 *  Policies of picking side by side in a queueing model in virtual time,
 *  against one shared queue that knows everything. */

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "bench_slope.h"
#include "cactus_config.h"
#include "pick.h"
#include "pick_server.h"
#include "registry.h"

/* The model: routers, targets with slots, requests with prompt prefixes. */
#define ROUTERS 6
#define TARGETS 12
#define PREFIXES 200
#define PREFILL_MS 200.0
#define PREFILL_HIT_MS 40.0
#define DECODE_MEAN_MS 3000.0
#define DECODE_SIGMA 0.8
#define WARM_UP_MS 20000
#define MEASURE_MS 200000

/* The shared queue beside the policies. */
#define IDEAL (PICK_LEAST_REPORTED + 1)

struct router
{
  struct registry *registry;
  struct registry_reader *reader;
  GQueue waiting;
};

struct model
{
  int policy;
  /* Whether each router has its own part of the targets. */
  bool home_parts;
  uint64_t now_ms;
  struct base_random random;
  struct base_random pick_random;
  struct server servers[TARGETS];
  struct router routers[ROUTERS];
  /* Of the ideal. */
  GQueue shared;
  double zipf[PREFIXES];
  GArray *first_token_ms;
  uint64_t hits;
  uint64_t started;
};

static void
start_request (struct model *model, struct server *server,
               const struct request *request)
{
  bool hit = touch_cache (server, request->prefix);
  double prefill_ms = hit ? PREFILL_HIT_MS : PREFILL_MS;
  uint32_t slot = server->running_count++;
  server->running[slot] = *request;
  server->end_ms[slot]
      = model->now_ms + (uint64_t)(prefill_ms + request->decode_ms);
  if (model->now_ms < WARM_UP_MS)
    return;
  double first_ms = (double)(model->now_ms - request->arrived_ms) + prefill_ms;
  g_array_append_val (model->first_token_ms, first_ms);
  model->hits += hit;
  model->started++;
}

static void
give (struct model *model, struct server *server, struct request *request)
{
  if (server->running_count < SLOTS)
    {
      start_request (model, server, request);
      g_free (request);
    }
  else
    g_queue_push_tail (&server->waiting, request);
}

static void
finish_requests (struct model *model, struct server *server)
{
  for (uint32_t i = server->running_count; i-- > 0;)
    {
      if (server->end_ms[i] > model->now_ms)
        continue;
      if (server->running[i].load)
        {
          pick_release (server->running[i].load, false, model->now_ms);
          registry_load_unref (server->running[i].load);
        }
      server->running_count--;
      server->running[i] = server->running[server->running_count];
      server->end_ms[i] = server->end_ms[server->running_count];
    }
  while (server->running_count < SLOTS && server->waiting.length > 0)
    {
      struct request *request = g_queue_pop_head (&server->waiting);
      start_request (model, server, request);
      g_free (request);
    }
}

/* Makes a report and delivers the one that is as old as the lag. */
static void
report (struct model *model, struct server *server)
{
  uint32_t places = G_N_ELEMENTS (server->reports);
  server->record.sequence++;
  server->record.last_report_ms = model->now_ms;
  server->record.running = server->running_count;
  server->record.queued = server->waiting.length;
  server->reports[server->record.sequence % places] = server->record;
  const struct registry_record *old
      = &server->reports[(server->record.sequence + 1) % places];
  for (uint32_t i = 0; i < ROUTERS && old->sequence > 0; i++)
    registry_merge (model->routers[i].registry, old, model->now_ms);
}

static bool
dispatch (struct model *model, struct router *router, struct request *request)
{
  const struct registry_target *chosen = NULL;
  struct pick_request ask = { .availability_zone = "z1",
                              .region = "r1",
                              .slot_percent = 100,
                              .prefix_hash = 1 + request->prefix,
                              .now_ms = model->now_ms };
  if (model->home_parts)
    {
      ask.router_rank = (uint32_t)(router - model->routers);
      ask.router_count = ROUTERS;
    }
  const struct registry_view *view = registry_read (router->reader, "s");
  if (pick_target ((enum pick_policy)model->policy, view, &ask,
                   &model->pick_random, &chosen)
      == PICK_FOUND)
    {
      request->load = registry_load_ref (chosen->load);
      pick_acquire (request->load);
      give (model, &model->servers[atoi (chosen->record.target + 1)], request);
    }
  registry_read_end (router->reader);
  return chosen != NULL;
}

/* The ideal: any free slot at once, of those one that has the prefix. */
static bool
dispatch_ideal (struct model *model, struct request *request)
{
  struct server *best = NULL;
  for (uint32_t i = 0; i < TARGETS; i++)
    {
      struct server *server = &model->servers[i];
      if (server->running_count == SLOTS)
        continue;
      if (!best || cached (server, request->prefix)
          || (!cached (best, request->prefix)
              && server->running_count < best->running_count))
        best = server;
    }
  if (best)
    give (model, best, request);
  return best != NULL;
}

static double
normal (struct base_random *random)
{
  double u = 1 - base_random_unit (random);
  return sqrt (-2 * log (u)) * cos (2 * G_PI * base_random_unit (random));
}

static void
arrive (struct model *model)
{
  struct request *request = g_new0 (struct request, 1);
  double sigma = DECODE_SIGMA;
  request->arrived_ms = model->now_ms;
  request->router = (uint32_t)base_random_below (&model->random, ROUTERS);
  request->decode_ms
      = DECODE_MEAN_MS
        * exp (sigma * normal (&model->random) - sigma * sigma / 2);
  double draw = base_random_unit (&model->random);
  while (request->prefix < PREFIXES - 1 && draw > model->zipf[request->prefix])
    request->prefix++;
  if (model->policy == IDEAL)
    g_queue_push_tail (&model->shared, request);
  else
    g_queue_push_tail (&model->routers[request->router].waiting, request);
}

static void
drain_queues (struct model *model)
{
  while (model->shared.length > 0
         && dispatch_ideal (model, model->shared.head->data))
    g_queue_pop_head (&model->shared);
  for (uint32_t i = 0; i < ROUTERS; i++)
    {
      struct router *router = &model->routers[i];
      while (router->waiting.length > 0
             && dispatch (model, router, router->waiting.head->data))
        g_queue_pop_head (&router->waiting);
    }
}

static struct model *
model_create (int policy, bool home_parts)
{
  struct model *model = g_new0 (struct model, 1);
  double sum = 0;
  model->policy = policy;
  model->home_parts = home_parts;
  model->now_ms = 1;
  base_random_seed (&model->random, 11);
  base_random_seed (&model->pick_random, 12);
  model->first_token_ms = g_array_new (FALSE, FALSE, sizeof (double));
  for (int i = 0; i < PREFIXES; i++)
    model->zipf[i] = sum += 1.0 / (i + 1);
  for (int i = 0; i < PREFIXES; i++)
    model->zipf[i] /= sum;
  for (uint32_t i = 0; i < TARGETS; i++)
    {
      model->servers[i].record = record_of (i, SLOTS);
      memset (model->servers[i].cache, 0xff, sizeof model->servers[i].cache);
    }
  for (uint32_t i = 0; i < ROUTERS; i++)
    {
      model->routers[i].registry = registry_create (CACTUS_TARGET_LAPSE_MS);
      model->routers[i].reader
          = registry_reader_create (model->routers[i].registry);
    }
  return model;
}

static void
free_queue (GQueue *queue)
{
  g_queue_clear_full (queue, g_free);
}

static void
model_destroy (struct model *model)
{
  free_queue (&model->shared);
  for (uint32_t i = 0; i < TARGETS; i++)
    free_queue (&model->servers[i].waiting);
  for (uint32_t i = 0; i < ROUTERS; i++)
    {
      free_queue (&model->routers[i].waiting);
      registry_reader_destroy (model->routers[i].reader);
      registry_destroy (model->routers[i].registry);
    }
  g_array_free (model->first_token_ms, TRUE);
  g_free (model);
}

static gint
compare_doubles (gconstpointer left, gconstpointer right)
{
  double a = *(const double *)left;
  double b = *(const double *)right;
  return (a > b) - (a < b);
}

/* What a policy gave at a load. */
struct outcome
{
  double p50_ms;
  double p95_ms;
  double hit_percent;
};

static struct outcome
run (int policy, bool home_parts, double load)
{
  struct outcome outcome;
  struct model *model = model_create (policy, home_parts);
  double per_ms = load * TARGETS * SLOTS / (PREFILL_MS + DECODE_MEAN_MS);
  for (; model->now_ms < WARM_UP_MS + MEASURE_MS; model->now_ms++)
    {
      for (uint32_t i = 0; i < TARGETS; i++)
        {
          finish_requests (model, &model->servers[i]);
          if ((model->now_ms + i * 41) % CACTUS_ANNOUNCE_INTERVAL_MS == 0)
            report (model, &model->servers[i]);
        }
      if (model->now_ms % 100 == 0)
        for (uint32_t i = 0; i < ROUTERS; i++)
          registry_lapse (model->routers[i].registry, model->now_ms);
      if (base_random_unit (&model->random) < per_ms)
        arrive (model);
      drain_queues (model);
    }
  GArray *times = model->first_token_ms;
  g_array_sort (times, compare_doubles);
  outcome.p50_ms = g_array_index (times, double, times->len / 2);
  outcome.p95_ms = g_array_index (times, double, times->len * 95 / 100);
  outcome.hit_percent = 100.0 * (double)model->hits / (double)model->started;
  model_destroy (model);
  return outcome;
}

/* One line of the comparison. */
struct contender
{
  const char *name;
  int policy;
  bool home_parts;
};

static const struct contender contenders[]
    = { { "two-choices+affinity+home", PICK_TWO_CHOICES_AFFINITY, true },
        { "two-choices+affinity", PICK_TWO_CHOICES_AFFINITY, false },
        { "two-choices+home", PICK_TWO_CHOICES, true },
        { "two-choices", PICK_TWO_CHOICES, false },
        { "random", PICK_RANDOM, false },
        { "round-robin", PICK_ROUND_ROBIN, false },
        { "least-reported", PICK_LEAST_REPORTED, false },
        { "shared-queue", IDEAL, false } };

static void
print_outcome (const struct contender *contender, double load,
               const struct outcome *outcome, const struct outcome *ideal,
               bool json)
{
  char name[64];
  char text[64];
  if (!json)
    {
      printf ("%-26s %7.0f %7.0f %8.0f %7.1f\n", contender->name,
              outcome->p50_ms, outcome->p95_ms,
              100 * ideal->p95_ms / outcome->p95_ms, outcome->hit_percent);
      return;
    }
  g_snprintf (name, sizeof name, "first_token_p95_%s", contender->name);
  g_snprintf (text, sizeof text, "load=%.0f targets=%d routers=%d", 100 * load,
              TARGETS, ROUTERS);
  bench_slope_print (name, "ms", outcome->p95_ms, text);
}

static void
report_policies (double load, bool json)
{
  struct outcome ideal = run (IDEAL, false, load);
  if (!json)
    printf (
        "load %.0f %%                  p50 ms  p95 ms  ideal %%  hits %%\n",
        100 * load);
  for (size_t i = 0; i < G_N_ELEMENTS (contenders); i++)
    {
      struct outcome outcome
          = run (contenders[i].policy, contenders[i].home_parts, load);
      print_outcome (&contenders[i], load, &outcome, &ideal, json);
    }
}

int
main (int argc, char **argv)
{
  bool json = argc > 1 && strcmp (argv[1], "--json") == 0;
  bench_slope_init (argc, argv);
  report_policies (0.7, json);
  report_policies (0.9, json);
  return 0;
}
