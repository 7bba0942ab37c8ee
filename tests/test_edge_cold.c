/** @file
 *  Random histories of routers and control with one cold target, in virtual
 *  time: routers restart, freeze and are cut off, and control's leader
 * changes; in no second the target gets more than it may. */

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base_random.h"
#include "control_limits.h"
#include "edge_ask.h"
#include "edge_cold.h"
#include "edge_targets.h"

#define SERVICE "s"
#define ROUTERS_MAX 80
#define TICK_MS 5
#define BEGIN_MS 1000000
#define DURATION_MS 14000
#define SPAN_MS 1000
#define CALL_INTERVAL_MS 200
#define HISTORIES 200
/* Time for which the target stays cold in the mean. */
#define COLD_MS 8000
/* A target that starts announces itself within this time. */
#define ANNOUNCE_MS 100

struct sim_router
{
  char name[8];
  struct edge_limits *limits;
  struct edge_demand *demand;
  struct edge_targets *targets;
  /* Time at which the record of the target arrives, or 0. */
  uint64_t record_due_ms;
  struct control_router_args args;
  struct control_router_result result;
  bool is_calling;
  bool is_applied;
  uint32_t waiting;
  uint64_t called_ms;
  uint64_t apply_ms;
  uint64_t answer_ms;
  uint64_t next_call_ms;
  uint64_t list_due_ms;
  uint64_t list_version;
  uint64_t cut_until_ms;
  uint64_t frozen_until_ms;
};

struct world
{
  struct base_random random;
  struct control_limits *control;
  uint64_t now_ms;
  int64_t leader_clock_ms;
  uint64_t control_back_ms;
  uint64_t cold_from_ms;
  uint64_t cold_until_ms;
  uint32_t router_count;
  double demand_rps;
  double per_s;
  struct edge_cold_bounds bounds;
  int64_t rate_mrps;
  struct sim_router routers[ROUTERS_MAX];
  /* Times (uint64_t) at which requests were sent while the target was cold,
     and at which they arrived. */
  GArray *sends;
  GArray *arrivals;
  uint32_t warm_sends;
};

static double
draw (struct world *world)
{
  return (double)base_random_below (&world->random, 1000000) / 1000000.0;
}

static uint64_t
draw_ms (struct world *world, uint64_t from_ms, uint64_t until_ms)
{
  return from_ms + base_random_below (&world->random, until_ms - from_ms + 1);
}

static void
init_router (struct world *world, struct sim_router *router)
{
  router->limits = edge_limits_create ();
  router->demand = edge_demand_create ();
  router->targets = edge_targets_create ();
  router->record_due_ms = 0;
  router->is_calling = false;
  router->list_version = 0;
  router->list_due_ms = 0;
  router->next_call_ms = world->now_ms + draw_ms (world, 0, CALL_INTERVAL_MS);
}

static void
clear_router (struct sim_router *router)
{
  edge_limits_destroy (router->limits);
  edge_demand_destroy (router->demand);
  edge_targets_destroy (router->targets);
  xdr_free ((xdrproc_t)xdr_control_router_args, (char *)&router->args);
  xdr_free ((xdrproc_t)xdr_control_router_result, (char *)&router->result);
  memset (&router->args, 0, sizeof router->args);
  memset (&router->result, 0, sizeof router->result);
}

static bool
is_cut (const struct world *world, const struct sim_router *router)
{
  return world->now_ms < router->cut_until_ms
         || world->now_ms < world->control_back_ms;
}

/* The router learns of the target some time after that has announced itself.
 */
static void
run_record (struct world *world, struct sim_router *router)
{
  if (edge_targets_find (router->targets, "t") || is_cut (world, router)
      || world->now_ms < world->cold_from_ms + ANNOUNCE_MS)
    return;
  if (router->record_due_ms == 0)
    router->record_due_ms = world->now_ms + draw_ms (world, 1, 100);
  if (world->now_ms < router->record_due_ms)
    return;
  uint64_t left_ms = world->cold_until_ms > world->now_ms
                         ? world->cold_until_ms - world->now_ms
                         : 0;
  struct control_target record
      = { .name = (char *)(uintptr_t) "t",
          .born_ms = 7,
          .sequence = 1,
          .service = (char *)(uintptr_t)SERVICE,
          .address = (char *)(uintptr_t) "10.0.0.1",
          .port = 1,
          .availability_zone = (char *)(uintptr_t) "z",
          .slots = 8,
          .cold_left_ms = (u_int)left_ms,
          .state = CONTROL_TARGET_READY,
          .software_version = (char *)(uintptr_t) "" };
  edge_targets_merge (router->targets, 0, &record, world->now_ms);
}

static void
note_sent (struct world *world)
{
  uint64_t arrives_ms
      = world->now_ms + draw_ms (world, 1, draw (world) < 0.1 ? 200 : 31);
  if (world->now_ms >= world->cold_until_ms)
    {
      world->warm_sends++;
      return;
    }
  g_array_append_val (world->sends, world->now_ms);
  g_array_append_val (world->arrivals, arrives_ms);
}

/* A request as edge_send treats it; returns whether it was sent. */
static bool
try_send (struct world *world, struct sim_router *router)
{
  const struct edge_limit_target key = { "t", 7 };
  const struct edge_target *target = edge_targets_find (router->targets, "t");
  if (!target)
    return false;
  uint64_t left_ms = edge_target_cold_left_ms (target, world->now_ms);
  if (left_ms > 0 && world->rate_mrps == EDGE_COLD_NONE)
    return false;
  if (left_ms > 0)
    edge_limits_hold (router->limits, &key, (uint64_t)world->rate_mrps,
                      world->now_ms + left_ms, world->now_ms);
  if (edge_limits_find (router->limits, &key, world->now_ms, NULL))
    {
      if (!edge_limits_has_permit (router->limits, &key, 1, world->now_ms))
        return false;
      edge_limits_use_permit (router->limits, &key, 1, world->now_ms);
    }
  note_sent (world);
  struct edge_target_response response
      = { .status = 200, .request_id_matches = true };
  const struct edge_limit_head head = { key, "q", world->now_ms, &response };
  edge_limits_note_head (router->limits, &head, world->now_ms);
  return true;
}

static void
start_call (struct world *world, struct sim_router *router)
{
  struct control_limit_call *call = &router->args.limits;
  const struct edge_limit_target key = { "t", 7 };
  struct edge_ask_targets targets;
  uint32_t waiting[EDGE_DEMAND_PRIORITIES] = { 0 };
  waiting[1] = router->waiting;
  router->is_calling = true;
  router->is_applied = false;
  router->called_ms = world->now_ms;
  router->apply_ms = world->now_ms + draw_ms (world, 5, 60);
  router->answer_ms = router->apply_ms + draw_ms (world, 2, 40);
  router->next_call_ms = world->now_ms + CALL_INTERVAL_MS;
  edge_limits_fill_call (router->limits, world->now_ms, call);
  if (edge_limits_count (router->limits, world->now_ms) == 0)
    return;
  edge_ask_targets_init (&targets);
  edge_ask_targets_add (&targets, router->limits, &key, PLACE_SAME_ZONE,
                        &world->random, world->now_ms);
  call->asks.asks_val = calloc (1, sizeof *call->asks.asks_val);
  call->asks.asks_len
      = edge_ask_fill (&targets, router->limits, router->demand, SERVICE,
                       waiting, &world->random, world->now_ms,
                       call->asks.asks_val)
            ? 1
            : 0;
  edge_ask_targets_clear (&targets);
}

static void
run_call (struct world *world, struct sim_router *router)
{
  if (!router->is_calling
      && (world->now_ms >= router->next_call_ms
          || edge_limits_needs_call (router->limits)))
    start_call (world, router);
  if (!router->is_calling)
    return;
  if (is_cut (world, router))
    {
      if (router->is_applied)
        {
          xdr_free ((xdrproc_t)xdr_control_router_result,
                    (char *)&router->result);
          memset (&router->result, 0, sizeof router->result);
        }
      router->answer_ms = MAX (router->answer_ms, world->now_ms + 50);
      router->apply_ms = MAX (router->apply_ms, world->now_ms + 20);
      return;
    }
  if (!router->is_applied && world->now_ms >= router->apply_ms)
    {
      router->is_applied = true;
      control_limits_call (
          world->control, router->name, &router->args.limits, world->now_ms,
          (uint64_t)((int64_t)world->now_ms + world->leader_clock_ms),
          &router->result);
    }
  if (!router->is_applied || world->now_ms < router->answer_ms)
    return;
  router->is_calling = false;
  edge_limits_apply_result (router->limits, &router->result, router->called_ms,
                            world->now_ms);
  xdr_free ((xdrproc_t)xdr_control_router_args, (char *)&router->args);
  xdr_free ((xdrproc_t)xdr_control_router_result, (char *)&router->result);
  memset (&router->args, 0, sizeof router->args);
  memset (&router->result, 0, sizeof router->result);
  while (router->waiting > 0 && try_send (world, router))
    router->waiting--;
  router->waiting = 0;
}

static void
run_list (struct world *world, struct sim_router *router)
{
  uint64_t version = control_limits_version (world->control);
  if (is_cut (world, router) || router->list_version >= version)
    return;
  if (router->list_due_ms == 0)
    router->list_due_ms = world->now_ms + draw_ms (world, 10, 100);
  if (world->now_ms < router->list_due_ms)
    return;
  struct control_limit_list list = { 0 };
  control_limits_list (world->control, &list);
  edge_limits_apply_list (router->limits, &list, world->now_ms);
  router->list_version = list.list_version;
  router->list_due_ms = 0;
  xdr_free ((xdrproc_t)xdr_control_limit_list, (char *)&list);
}

static void
run_faults (struct world *world)
{
  struct sim_router *router = &world->routers[base_random_below (
      &world->random, world->router_count)];
  double chance = draw (world) * 1000.0 / TICK_MS;
  if (chance < 0.3)
    {
      clear_router (router);
      init_router (world, router);
    }
  else if (chance < 0.6)
    router->frozen_until_ms = world->now_ms + draw_ms (world, 200, 4000);
  else if (chance < 0.9)
    router->cut_until_ms = world->now_ms + draw_ms (world, 200, 6000);
  else if (chance < 0.96)
    {
      world->control_back_ms = world->now_ms + draw_ms (world, 100, 1500);
      world->leader_clock_ms = (int64_t)draw_ms (world, 0, 10000) - 5000;
    }
}

static void
run_router (struct world *world, struct sim_router *router)
{
  double expected
      = world->demand_rps * TICK_MS / 1000.0 / (double)world->router_count;
  if (world->now_ms < router->frozen_until_ms)
    return;
  run_record (world, router);
  run_list (world, router);
  run_call (world, router);
  for (; draw (world) < expected; expected -= 1.0)
    {
      edge_demand_note_request (router->demand, SERVICE, 1, world->now_ms);
      router->waiting += !try_send (world, router);
    }
}

/* Most requests in any span that were sent and arrived within it. */
static uint32_t
most_in_a_span (const struct world *world)
{
  uint32_t most = 0;
  for (guint i = 0; i < world->sends->len; i++)
    {
      uint64_t from_ms = g_array_index (world->sends, uint64_t, i);
      uint32_t count = 0;
      for (guint j = i; j < world->sends->len; j++)
        count += g_array_index (world->arrivals, uint64_t, j)
                 < from_ms + SPAN_MS;
      most = MAX (most, count);
    }
  return most;
}

static void
run_history (uint64_t seed, uint32_t routers, double per_s, uint32_t *sends)
{
  struct world *world = g_new0 (struct world, 1);
  base_random_seed (&world->random, seed);
  world->control = control_limits_create ();
  world->now_ms = BEGIN_MS;
  world->router_count = routers;
  world->per_s = per_s;
  world->bounds = (struct edge_cold_bounds){ 1.5, 5.0 };
  world->rate_mrps = edge_cold_rate_mrps (per_s, &world->bounds);
  world->demand_rps = 50.0 + draw (world) * 600.0;
  world->cold_from_ms = BEGIN_MS + draw_ms (world, 0, 2000);
  world->cold_until_ms
      = world->cold_from_ms + draw_ms (world, COLD_MS / 2, 3 * COLD_MS / 2);
  world->sends = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  world->arrivals = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  for (uint32_t i = 0; i < routers; i++)
    {
      g_snprintf (world->routers[i].name, sizeof world->routers[i].name, "r%u",
                  i);
      init_router (world, &world->routers[i]);
    }
  while (world->now_ms < BEGIN_MS + DURATION_MS)
    {
      world->now_ms += TICK_MS;
      run_faults (world);
      for (uint32_t i = 0; i < routers; i++)
        run_router (world, &world->routers[i]);
    }
  uint32_t most = most_in_a_span (world);
  double bound = per_s * world->bounds.overage + world->bounds.slack;
  if (most > bound)
    g_test_message ("seed %" G_GUINT64_FORMAT ": %u of %.1f in a second", seed,
                    most, bound);
  g_assert_cmpfloat (most, <=, bound);
  *sends += world->sends->len;
  for (uint32_t i = 0; i < routers; i++)
    clear_router (&world->routers[i]);
  g_array_unref (world->sends);
  g_array_unref (world->arrivals);
  control_limits_destroy (world->control);
  g_free (world);
}

static void
run_histories (uint32_t routers, double per_s)
{
  uint32_t sends = 0;
  for (uint64_t seed = 1; seed <= HISTORIES; seed++)
    run_history (seed, routers, per_s, &sends);
  g_test_message ("%u requests in %u histories", sends, HISTORIES);
  /* The permits are of use. */
  g_assert_cmpuint (sends, >, HISTORIES * COLD_MS / 1000);
}

static void
test_few_routers (void)
{
  run_histories (3, 4.0);
}

static void
test_many_routers (void)
{
  run_histories (ROUTERS_MAX, 8.0);
}

/* The rate's permits keep the bound; where none do, there are none. */
static void
test_rate (void)
{
  for (uint32_t i = 0; i < 400; i++)
    {
      const struct edge_cold_bounds bounds = { 1.0 + (i % 5) * 0.25, i % 7 };
      double per_s = (i % 40) * 0.5;
      double allowed = per_s * bounds.overage + bounds.slack;
      int64_t rate_mrps = edge_cold_rate_mrps (per_s, &bounds);
      /* A burst of 3 and 1.5 s, and 1.5 s of the rate. */
      if (rate_mrps >= 1000)
        g_assert_cmpfloat (3.0 + 3.0 * (double)rate_mrps / 1000.0, <=,
                           allowed + 0.01);
      if (allowed >= 7.0)
        g_assert_cmpint (rate_mrps, >, 0);
      if (allowed < 1.0)
        g_assert_cmpint (rate_mrps, ==, EDGE_COLD_NONE);
    }
}

static struct edge_target_response
make_response (uint32_t status)
{
  return (struct edge_target_response){ .status = status,
                                        .request_id_matches = true };
}

/* When a hold is over the target is free, although control's list still has
   it: the router may be cut off.  A limit that a response named stays. */
static void
test_end_without_control (void)
{
  const struct edge_limit_target key = { "t", 7 };
  struct edge_limits *limits = edge_limits_create ();
  struct control_limit line = { (char *)(uintptr_t) "t", 7, 2500 };
  const struct control_limit_list list = { 1, { 1, &line } };
  struct edge_target_response response = make_response (200);
  const struct edge_limit_head head = { key, "q", 2000, &response };
  edge_limits_hold (limits, &key, 2500, 4000, 1000);
  edge_limits_apply_list (limits, &list, 1500);
  g_assert_true (edge_limits_find (limits, &key, 3999, NULL));
  g_assert_false (edge_limits_find (limits, &key, 4000, NULL));
  edge_limits_hold (limits, &key, 2500, 9000, 4500);
  g_assert_true (edge_limits_find (limits, &key, 4600, NULL));
  edge_limits_release (limits, &key, 4600);
  g_assert_false (edge_limits_find (limits, &key, 4600, NULL));
  edge_limits_hold (limits, &key, 2500, 6000, 5000);
  response.limit = EDGE_LIMIT_NAMED;
  response.limit_mrps = 2000;
  edge_limits_note_head (limits, &head, 5100);
  g_assert_true (edge_limits_find (limits, &key, 6100, NULL));
  edge_limits_destroy (limits);
}

/* A response without a limit does not end a hold; its end is reported. */
static void
test_hold (void)
{
  const struct edge_limit_target key = { "t", 7 };
  struct edge_limits *limits = edge_limits_create ();
  struct control_limits *control = control_limits_create ();
  struct edge_target_response response = make_response (200);
  const struct edge_limit_head head = { key, "q", 2000, &response };
  struct control_router_result result = { 0 };
  struct control_limit_call call = { 0 };
  struct control_limit_list list = { 0 };
  uint64_t rate_mrps = 0;
  edge_limits_hold (limits, &key, 2500, 4000, 1000);
  g_assert_true (edge_limits_find (limits, &key, 1000, &rate_mrps));
  g_assert_cmpuint (rate_mrps, ==, 2500);
  g_assert_false (edge_limits_has_permit (limits, &key, 0, 1000));
  g_assert_true (edge_limits_needs_call (limits));
  edge_limits_fill_call (limits, 1000, &call);
  control_limits_call (control, "r", &call, 1000, 1000, &result);
  xdr_free ((xdrproc_t)xdr_control_limit_call, (char *)&call);
  memset (&call, 0, sizeof call);
  control_limits_list (control, &list);
  g_assert_cmpuint (list.limits.limits_len, ==, 1);
  edge_limits_apply_list (limits, &list, 1100);
  xdr_free ((xdrproc_t)xdr_control_limit_list, (char *)&list);
  edge_limits_note_head (limits, &head, 2100);
  g_assert_false (edge_limits_needs_call (limits));
  edge_limits_fill_call (limits, 4100, &call);
  g_assert_cmpuint (call.reports.reports_len, ==, 1);
  g_assert_false (call.reports.reports_val[0].limited);
  control_limits_call (control, "r", &call, 4100, 4100, &result);
  xdr_free ((xdrproc_t)xdr_control_limit_call, (char *)&call);
  memset (&list, 0, sizeof list);
  control_limits_list (control, &list);
  g_assert_cmpuint (list.limits.limits_len, ==, 0);
  edge_limits_apply_list (limits, &list, 4200);
  xdr_free ((xdrproc_t)xdr_control_limit_list, (char *)&list);
  g_assert_false (edge_limits_find (limits, &key, 4300, NULL));
  control_limits_destroy (control);
  edge_limits_destroy (limits);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/edge-cold/rate", test_rate);
  g_test_add_func ("/edge-cold/hold", test_hold);
  g_test_add_func ("/edge-cold/end-without-control", test_end_without_control);
  g_test_add_func ("/edge-cold/few-routers", test_few_routers);
  g_test_add_func ("/edge-cold/many-routers", test_many_routers);
  return g_test_run ();
}
