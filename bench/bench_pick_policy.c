/** @file
 *  Compares the pick policies in a queueing model in virtual time.  The
 *  baseline is one queue shared by all servers, with exact knowledge of their
 *  free slots and caches.  --json prints each result as a JSON line. */

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

/* Size and load of the model. */
#define ROUTERS 6
#define TARGETS 12
/* Prompt prefixes; their frequencies follow a Zipf distribution. */
#define PREFIXES 200
/* Prefill time without and with a cached prefix. */
#define PREFILL_MS 200.0
#define PREFILL_HIT_MS 40.0
/* Decode times have a log-normal distribution. */
#define DECODE_MEAN_MS 3000.0
#define DECODE_SIGMA 0.8
#define WARM_UP_MS 20000
#define MEASURE_MS 200000

/* The baseline, as a value beside those of enum pick_policy. */
#define SHARED_QUEUE (PICK_LEAST_REPORTED + 1)

struct router
{
  struct registry *registry;
  struct registry_reader *reader;
  GQueue waiting;
};

struct model
{
  /* A pick_policy or SHARED_QUEUE. */
  int policy;
  /* Whether each router first uses its own partition of the targets. */
  bool own_partition;
  uint64_t now_ms;
  struct base_random random;
  struct base_random pick_random;
  struct server servers[TARGETS];
  struct router routers[ROUTERS];
  /* Waiting requests under SHARED_QUEUE. */
  GQueue shared;
  /* Cumulative frequencies of the prefixes. */
  double zipf[PREFIXES];
  GArray *first_token_times_ms;
  /* Prefix cache hits and started requests after the warm-up. */
  uint64_t hits;
  uint64_t started;
};

static void
start_request (struct model *model, struct server *server,
               const struct request *request)
{
  bool hit = use_prefix (server, request->prefix);
  double prefill_ms = hit ? PREFILL_HIT_MS : PREFILL_MS;
  uint32_t slot = server->running_count++;
  server->running[slot] = *request;
  server->end_ms[slot]
      = model->now_ms + (uint64_t)(prefill_ms + request->decode_ms);
  if (model->now_ms < WARM_UP_MS)
    return;
  double latency_ms
      = (double)(model->now_ms - request->arrived_ms) + prefill_ms;
  g_array_append_val (model->first_token_times_ms, latency_ms);
  model->hits += hit;
  model->started++;
}

/* Starts the request if a slot is free, or else puts it into the server's
   queue. */
static void
submit (struct model *model, struct server *server, struct request *request)
{
  if (server->running_count < SERVER_SLOTS)
    {
      start_request (model, server, request);
      g_free (request);
    }
  else
    g_queue_push_tail (&server->waiting, request);
}

/* Ends requests whose time has come and starts waiting ones in their slots. */
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
  while (server->running_count < SERVER_SLOTS && server->waiting.length > 0)
    {
      struct request *request = g_queue_pop_head (&server->waiting);
      start_request (model, server, request);
      g_free (request);
    }
}

/* Makes a report, and delivers the one of REPORT_LAG_MS ago to the routers. */
static void
report (struct model *model, struct server *server)
{
  uint32_t report_count = G_N_ELEMENTS (server->reports);
  server->record.sequence++;
  server->record.last_report_ms = model->now_ms;
  server->record.running = server->running_count;
  server->record.queued = server->waiting.length;
  server->reports[server->record.sequence % report_count] = server->record;
  const struct registry_record *delayed
      = &server->reports[(server->record.sequence + 1) % report_count];
  for (uint32_t i = 0; i < ROUTERS && delayed->sequence > 0; i++)
    registry_merge (model->routers[i].registry, delayed, model->now_ms);
}

/* Picks a target for the request; returns false when none is available. */
static bool
dispatch (struct model *model, struct router *router, struct request *request)
{
  const struct registry_target *chosen = NULL;
  struct pick_request options = { .availability_zone = "z1",
                                  .region = "r1",
                                  .slot_percent = 100,
                                  .prefix_hash = 1 + request->prefix,
                                  .now_ms = model->now_ms };
  if (model->own_partition)
    {
      options.router_rank = (uint32_t)(router - model->routers);
      options.router_count = ROUTERS;
    }
  const struct registry_view *view = registry_read (router->reader, "s");
  if (pick_target ((enum pick_policy)model->policy, view, &options,
                   &model->pick_random, &chosen)
      == PICK_FOUND)
    {
      request->load = registry_load_ref (chosen->load);
      pick_acquire (request->load);
      submit (model, &model->servers[atoi (chosen->record.target + 1)],
              request);
    }
  registry_read_end (router->reader);
  return chosen != NULL;
}

/* Sends the request to a server with a free slot: preferably one that has the
   prefix cached, else the least busy one.  Returns false if none is free. */
static bool
dispatch_shared (struct model *model, struct request *request)
{
  struct server *best = NULL;
  for (uint32_t i = 0; i < TARGETS; i++)
    {
      struct server *server = &model->servers[i];
      if (server->running_count == SERVER_SLOTS)
        continue;
      if (!best || has_prefix (server, request->prefix)
          || (!has_prefix (best, request->prefix)
              && server->running_count < best->running_count))
        best = server;
    }
  if (best)
    submit (model, best, request);
  return best != NULL;
}

/* Draws from the standard normal distribution (Box-Muller). */
static double
draw_normal (struct base_random *random)
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
        * exp (sigma * draw_normal (&model->random) - sigma * sigma / 2);
  double draw = base_random_unit (&model->random);
  while (request->prefix < PREFIXES - 1 && draw > model->zipf[request->prefix])
    request->prefix++;
  if (model->policy == SHARED_QUEUE)
    g_queue_push_tail (&model->shared, request);
  else
    g_queue_push_tail (&model->routers[request->router].waiting, request);
}

static void
drain_queues (struct model *model)
{
  while (model->shared.length > 0
         && dispatch_shared (model, model->shared.head->data))
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
model_create (int policy, bool own_partition)
{
  struct model *model = g_new0 (struct model, 1);
  double sum = 0;
  model->policy = policy;
  model->own_partition = own_partition;
  model->now_ms = 1;
  base_random_seed (&model->random, 11);
  base_random_seed (&model->pick_random, 12);
  model->first_token_times_ms = g_array_new (FALSE, FALSE, sizeof (double));
  for (int i = 0; i < PREFIXES; i++)
    model->zipf[i] = sum += 1.0 / (i + 1);
  for (int i = 0; i < PREFIXES; i++)
    model->zipf[i] /= sum;
  for (uint32_t i = 0; i < TARGETS; i++)
    {
      model->servers[i].record = make_record (i, SERVER_SLOTS);
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
clear_queue (GQueue *queue)
{
  g_queue_clear_full (queue, g_free);
}

static void
model_destroy (struct model *model)
{
  clear_queue (&model->shared);
  for (uint32_t i = 0; i < TARGETS; i++)
    clear_queue (&model->servers[i].waiting);
  for (uint32_t i = 0; i < ROUTERS; i++)
    {
      clear_queue (&model->routers[i].waiting);
      registry_reader_destroy (model->routers[i].reader);
      registry_destroy (model->routers[i].registry);
    }
  g_array_free (model->first_token_times_ms, TRUE);
  g_free (model);
}

static gint
compare_doubles (gconstpointer left, gconstpointer right)
{
  double a = *(const double *)left;
  double b = *(const double *)right;
  return (a > b) - (a < b);
}

/* Results of a policy at one load: time to the first token, and share of
   prefix cache hits. */
struct outcome
{
  double p50_ms;
  double p95_ms;
  double hit_percent;
};

static struct outcome
run (int policy, bool own_partition, double load)
{
  struct outcome outcome;
  struct model *model = model_create (policy, own_partition);
  double arrivals_per_ms
      = load * TARGETS * SERVER_SLOTS / (PREFILL_MS + DECODE_MEAN_MS);
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
      if (base_random_unit (&model->random) < arrivals_per_ms)
        arrive (model);
      drain_queues (model);
    }
  GArray *times = model->first_token_times_ms;
  g_array_sort (times, compare_doubles);
  outcome.p50_ms = g_array_index (times, double, times->len / 2);
  outcome.p95_ms = g_array_index (times, double, times->len * 95 / 100);
  outcome.hit_percent = 100.0 * (double)model->hits / (double)model->started;
  model_destroy (model);
  return outcome;
}

/* A policy of the comparison. */
struct variant
{
  const char *name;
  int policy;
  bool own_partition;
};

static const struct variant variants[]
    = { { "two-choices+affinity+home", PICK_TWO_CHOICES_AFFINITY, true },
        { "two-choices+affinity", PICK_TWO_CHOICES_AFFINITY, false },
        { "two-choices+home", PICK_TWO_CHOICES, true },
        { "two-choices", PICK_TWO_CHOICES, false },
        { "random", PICK_RANDOM, false },
        { "round-robin", PICK_ROUND_ROBIN, false },
        { "least-reported", PICK_LEAST_REPORTED, false },
        { "shared-queue", SHARED_QUEUE, false } };

static void
print_outcome (const struct variant *variant, double load,
               const struct outcome *outcome, const struct outcome *ideal,
               bool json)
{
  char name[64];
  char text[64];
  if (!json)
    {
      printf ("%-26s %7.0f %7.0f %8.0f %7.1f\n", variant->name,
              outcome->p50_ms, outcome->p95_ms,
              100 * ideal->p95_ms / outcome->p95_ms, outcome->hit_percent);
      return;
    }
  g_snprintf (name, sizeof name, "first_token_p95_%s", variant->name);
  g_snprintf (text, sizeof text, "load=%.0f targets=%d routers=%d", 100 * load,
              TARGETS, ROUTERS);
  bench_slope_print (name, "ms", outcome->p95_ms, text);
}

static void
report_policies (double load, bool json)
{
  struct outcome ideal = run (SHARED_QUEUE, false, load);
  if (!json)
    printf (
        "load %.0f %%                  p50 ms  p95 ms  ideal %%  hits %%\n",
        100 * load);
  for (size_t i = 0; i < G_N_ELEMENTS (variants); i++)
    {
      struct outcome outcome
          = run (variants[i].policy, variants[i].own_partition, load);
      print_outcome (&variants[i], load, &outcome, &ideal, json);
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
