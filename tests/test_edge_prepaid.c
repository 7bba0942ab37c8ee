/** @file
 *  Tests of leases: routers against control's pool, with lost answers, cuts,
 *  and routers that die and start anew.  What is served is counted outside of
 *  both. */

#include <string.h>

#include <glib.h>

#include "base_log.h"
#include "base_random.h"
#include "control_lessee.h"
#include "control_prepaid.h"
#include "edge_prepaid.h"
#include "escrow_allowance.h"

#define ROUTERS 5
#define TOTAL_TOKENS 2000000
#define STEP_MS 20
#define CALL_INTERVAL_MS 300
#define OPEN_MAX 64

/* One router: its leases, the call under way, its open requests. */
struct router
{
  struct edge_prepaid *prepaid;
  char name[8];
  uint64_t incarnation;
  uint64_t sequence;
  struct control_lease_args args;
  bool in_call;
  uint64_t call_due_ms;
  bool is_cut;
  bool is_dead;
  uint64_t starts_ms;
  uint64_t started_ms;
  /* Call of a run that died, still on its way. */
  struct control_lease_args late;
  uint64_t late_due_ms;
  uint64_t reserved[OPEN_MAX];
  uint32_t open;
  uint32_t refused;
};

struct world
{
  struct control_prepaid *pool;
  struct router routers[ROUTERS];
  struct base_random random;
  uint64_t now_ms;
  uint64_t served_tokens;
  /* Used by routers that died, by their own count. */
  uint64_t dead_tokens;
};

static void
start_router (struct world *world, struct router *router)
{
  router->prepaid = edge_prepaid_create ();
  edge_prepaid_set_routers (router->prepaid, ROUTERS);
  router->incarnation++;
  router->sequence = 0;
  router->in_call = false;
  router->open = 0;
  router->is_dead = false;
  router->started_ms = world->now_ms;
  router->call_due_ms = world->now_ms;
}

static void
set_up (struct world *world, uint64_t seed)
{
  struct control_prepaid_total total = { (char *)"a", TOTAL_TOKENS };
  memset (world, 0, sizeof *world);
  base_random_seed (&world->random, seed);
  world->pool = control_prepaid_create ();
  world->now_ms = 1000000;
  control_prepaid_set_totals (world->pool, &total, 1);
  for (uint32_t i = 0; i < ROUTERS; i++)
    {
      g_snprintf (world->routers[i].name, sizeof world->routers[i].name, "r%u",
                  i);
      start_router (world, &world->routers[i]);
    }
}

static void
free_args (struct router *router)
{
  xdr_free ((xdrproc_t)xdr_control_lease_args, (char *)&router->args);
  memset (&router->args, 0, sizeof router->args);
}

static void
free_late (struct router *router)
{
  xdr_free ((xdrproc_t)xdr_control_lease_args, (char *)&router->late);
  memset (&router->late, 0, sizeof router->late);
  router->late_due_ms = 0;
}

static void
tear_down (struct world *world)
{
  for (uint32_t i = 0; i < ROUTERS; i++)
    {
      free_args (&world->routers[i]);
      free_late (&world->routers[i]);
      if (!world->routers[i].is_dead)
        edge_prepaid_destroy (world->routers[i].prepaid);
    }
  control_prepaid_destroy (world->pool);
}

/* One call, sent again until it is answered; the answer may be lost. */
static void
call (struct world *world, struct router *router)
{
  struct control_lease_result result;
  if (!router->in_call)
    {
      free_args (router);
      edge_prepaid_ask (router->prepaid, world->now_ms, false, &router->args);
      router->args.cluster = strdup ("c");
      router->args.router = strdup (router->name);
      router->args.router_incarnation = router->incarnation;
      router->args.sequence = ++router->sequence;
      router->in_call = true;
    }
  router->args.sent_ms = world->now_ms;
  router->args.uptime_ms = world->now_ms - router->started_ms;
  if (router->is_cut || base_random_below (&world->random, 10) == 0)
    return;
  control_prepaid_lease (world->pool, &router->args, world->now_ms, &result);
  g_assert_cmpint (result.answer.status, ==, CONTROL_OK);
  if (base_random_below (&world->random, 10) != 0)
    {
      edge_prepaid_take (router->prepaid, &result, world->now_ms);
      router->in_call = false;
      router->call_due_ms = world->now_ms + CALL_INTERVAL_MS;
    }
  xdr_free ((xdrproc_t)xdr_control_lease_result, (char *)&result);
}

/* The call under way of a run that dies may come any time later. */
static void
leave_late_call (struct world *world, struct router *router)
{
  if (!router->in_call || router->late_due_ms > 0)
    return;
  router->late = router->args;
  memset (&router->args, 0, sizeof router->args);
  router->late_due_ms
      = world->now_ms + base_random_below (&world->random, 6000);
}

static void
deliver_late_call (struct world *world, struct router *router)
{
  struct control_lease_result result;
  if (router->late_due_ms == 0 || world->now_ms < router->late_due_ms)
    return;
  control_prepaid_lease (world->pool, &router->late, world->now_ms, &result);
  xdr_free ((xdrproc_t)xdr_control_lease_result, (char *)&result);
  free_late (router);
}

static void
request (struct world *world, struct router *router)
{
  uint64_t tokens = 200 + base_random_below (&world->random, 8000);
  if (router->open == OPEN_MAX)
    return;
  if (edge_prepaid_reserve (router->prepaid, "a", tokens, 0, world->now_ms)
      == EDGE_PREPAID_RESERVED)
    router->reserved[router->open++] = tokens;
  else
    router->refused++;
}

static void
finish (struct world *world, struct router *router)
{
  if (router->open == 0)
    return;
  uint64_t tokens = router->reserved[--router->open];
  uint64_t used = tokens / 2 + base_random_below (&world->random, tokens / 2);
  world->served_tokens += used;
  edge_prepaid_settle (router->prepaid, "a", tokens, used);
}

/* What it reserved may have been served by the time it dies. */
static void
kill_router (struct world *world, struct router *router)
{
  uint64_t reserved = 0;
  uint64_t spent = 0;
  edge_prepaid_used (router->prepaid, "a", &reserved, &spent);
  world->dead_tokens += reserved + spent;
  while (router->open > 0)
    world->served_tokens += router->reserved[--router->open];
  edge_prepaid_destroy (router->prepaid);
  leave_late_call (world, router);
  router->is_dead = true;
  router->starts_ms = world->now_ms + base_random_below (&world->random, 4000);
}

static void
step_router (struct world *world, struct router *router, bool with_faults)
{
  deliver_late_call (world, router);
  if (router->is_dead && world->now_ms >= router->starts_ms)
    start_router (world, router);
  if (router->is_dead)
    return;
  if (with_faults && base_random_below (&world->random, 300) == 0)
    router->is_cut = !router->is_cut;
  if (with_faults && base_random_below (&world->random, 400) == 0)
    {
      kill_router (world, router);
      return;
    }
  for (uint64_t i = base_random_below (&world->random, 3); i > 0; i--)
    request (world, router);
  for (uint64_t i = base_random_below (&world->random, 3); i > 0; i--)
    finish (world, router);
  if (router->in_call || edge_prepaid_is_urgent (router->prepaid)
      || world->now_ms >= router->call_due_ms)
    call (world, router);
}

/* Each token is in one place at most: at control, at a router that lives, or
   used by one that died. */
static void
check_places (const struct world *world)
{
  uint64_t sum = control_prepaid_left (world->pool, "a") + world->dead_tokens;
  for (uint32_t i = 0; i < ROUTERS; i++)
    {
      const struct router *router = &world->routers[i];
      uint64_t reserved = 0;
      uint64_t spent = 0;
      if (router->is_dead)
        continue;
      edge_prepaid_used (router->prepaid, "a", &reserved, &spent);
      sum += reserved + spent + edge_prepaid_free (router->prepaid, "a");
    }
  g_assert_cmpuint (sum, <=, TOTAL_TOKENS);
}

static void
test_never_overspent (void)
{
  for (uint64_t seed = 1; seed <= 200; seed++)
    {
      struct world world;
      set_up (&world, seed);
      for (uint32_t step = 0; step < 1500; step++)
        {
          world.now_ms += STEP_MS;
          for (uint32_t i = 0; i < ROUTERS; i++)
            step_router (&world, &world.routers[i], true);
          g_assert_cmpuint (world.served_tokens, <=, TOTAL_TOKENS);
          check_places (&world);
        }
      tear_down (&world);
    }
}

/* Without faults nearly all of a total can be used, wherever it is asked. */
static void
test_nearly_all_is_used (void)
{
  struct world world;
  set_up (&world, 1);
  for (uint32_t step = 0; step < 4000; step++)
    {
      world.now_ms += STEP_MS;
      for (uint32_t i = 0; i < ROUTERS; i++)
        step_router (&world, &world.routers[i], false);
    }
  g_assert_cmpuint (world.served_tokens, >, TOTAL_TOKENS * 97ull / 100);
  tear_down (&world);
}

/* A router that is killed and back at once leaves most of its lease. */
static void
test_reclaimed_after_a_kill (void)
{
  struct world world;
  set_up (&world, 2);
  for (uint32_t step = 0; step < 100; step++)
    {
      world.now_ms += STEP_MS;
      request (&world, &world.routers[0]);
      finish (&world, &world.routers[0]);
      step_router (&world, &world.routers[0], false);
    }
  for (uint32_t kills = 0; kills < 10; kills++)
    {
      kill_router (&world, &world.routers[0]);
      world.now_ms += 500;
      start_router (&world, &world.routers[0]);
      for (uint32_t step = 0; step < 30; step++)
        {
          world.now_ms += STEP_MS;
          step_router (&world, &world.routers[0], false);
        }
    }
  uint64_t left = control_prepaid_left (world.pool, "a")
                  + edge_prepaid_free (world.routers[0].prepaid, "a");
  /* Ten kills at a quarter of what is held would leave a twentieth. */
  g_assert_cmpuint (left + world.served_tokens, >, TOTAL_TOKENS / 20);
  g_assert_cmpuint (left + world.served_tokens, <=, TOTAL_TOKENS);
  tear_down (&world);
}

/* All routers are cut off from control for eight
   seconds, and their demand goes on. */
static void
test_lasts_through_a_cut (void)
{
  struct world world;
  uint32_t refused = 0;
  uint32_t asked = 0;
  set_up (&world, 3);
  for (uint32_t step = 0; step < 1700; step++)
    {
      world.now_ms += STEP_MS;
      for (uint32_t i = 0; i < ROUTERS; i++)
        {
          struct router *router = &world.routers[i];
          router->is_cut = step >= 300 && step < 700;
          uint32_t before = router->refused;
          if (step % 25 == 5 * i)
            {
              request (&world, router);
              finish (&world, router);
              asked += router->is_cut;
              refused += router->is_cut ? router->refused - before : 0;
            }
          if (router->in_call || edge_prepaid_is_urgent (router->prepaid)
              || world.now_ms >= router->call_due_ms)
            call (&world, router);
        }
    }
  g_assert_cmpuint (refused, <=, asked / 50);
  tear_down (&world);
}

/* What an idle router holds comes back when another one lacks it. */
static void
test_idle_holder_is_recalled (void)
{
  struct world world;
  set_up (&world, 4);
  struct router *idle = &world.routers[0];
  struct router *busy = &world.routers[1];
  for (uint32_t step = 0; step < 50; step++)
    {
      world.now_ms += STEP_MS;
      request (&world, idle);
      finish (&world, idle);
      step_router (&world, idle, false);
    }
  while (idle->open > 0)
    finish (&world, idle);
  g_assert_cmpuint (edge_prepaid_free (idle->prepaid, "a"), >,
                    TOTAL_TOKENS / 20);
  uint64_t before = world.served_tokens;
  for (uint32_t step = 0; step < 3000; step++)
    {
      world.now_ms += STEP_MS;
      request (&world, busy);
      finish (&world, busy);
      if (world.now_ms >= idle->call_due_ms || idle->in_call)
        call (&world, idle);
      if (world.now_ms >= busy->call_due_ms || busy->in_call
          || edge_prepaid_is_urgent (busy->prepaid))
        call (&world, busy);
    }
  g_assert_cmpuint (world.served_tokens, >, TOTAL_TOKENS * 97ull / 100);
  g_assert_cmpuint (world.served_tokens - before, >, TOTAL_TOKENS / 2);
  tear_down (&world);
}

/* A router's call with one ask, or none where @p want_tokens is 0. */
static struct control_lease_result
ask_pool (struct control_prepaid *pool, const char *router, uint64_t sequence,
          uint64_t want_tokens, uint64_t need_tokens)
{
  struct control_lease_result result;
  struct control_lease_ask ask = { .account = (char *)"a",
                                   .want_tokens = want_tokens,
                                   .need_tokens = need_tokens };
  struct control_lease_args args = { .cluster = (char *)"c",
                                     .router = (char *)(uintptr_t)router,
                                     .router_incarnation = 1,
                                     .sequence = sequence,
                                     .sent_ms = 1000 };
  args.asks.asks_len = want_tokens > 0 ? 1 : 0;
  args.asks.asks_val = &ask;
  control_prepaid_lease (pool, &args, 1000, &result);
  return result;
}

/* A holder that has nothing to report is told of a recall all the same. */
static void
test_notice_of_a_recall (void)
{
  struct control_prepaid_total total = { (char *)"a", 1000 };
  struct control_prepaid *pool = control_prepaid_create ();
  control_prepaid_set_totals (pool, &total, 1);
  struct control_lease_result held = ask_pool (pool, "r1", 1, 900, 0);
  struct control_lease_result lacking = ask_pool (pool, "r2", 1, 400, 400);
  struct control_lease_result notice = ask_pool (pool, "r1", 2, 0, 0);
  g_assert_cmpuint (held.lines.lines_val[0].granted_tokens, ==, 900);
  g_assert_cmpuint (lacking.lines.lines_val[0].granted_tokens, ==, 0);
  g_assert_cmpuint (notice.lines.lines_len, ==, 1);
  g_assert_true (notice.lines.lines_val[0].notice);
  g_assert_cmpuint (notice.lines.lines_val[0].recalled_tokens, ==, 300);
  xdr_free ((xdrproc_t)xdr_control_lease_result, (char *)&held);
  xdr_free ((xdrproc_t)xdr_control_lease_result, (char *)&lacking);
  xdr_free ((xdrproc_t)xdr_control_lease_result, (char *)&notice);
  control_prepaid_destroy (pool);
}

/* A router that never got the last answer went on by the one before, when it
   held much more and had held it for longer. */
static void
test_bound_without_the_last_answer (void)
{
  struct control_lessee *lessee = control_lessee_create (1);
  struct control_holding *holding
      = control_lessee_ensure_holding (lessee, "a");
  lessee->last.sequence = 2;
  holding->sequence = 2;
  holding->leased_tokens = 100000;
  holding->former_free_tokens = 1000000;
  control_lessee_record_call (lessee, 1000);
  control_lessee_record_call (lessee, 6000);
  g_assert_cmpuint (control_lessee_unused (lessee, holding, 11000), ==, 0);
  holding->former_free_tokens = 0;
  g_assert_cmpuint (control_lessee_unused (lessee, holding, 11000), >, 50000);
  control_lessee_destroy (lessee);
}

/* A call of a router's former run comes after its present run's first: what
   the present run holds stays leased, also when control hears of the former
   run for the first time. */
static void
test_late_call_of_a_former_run (void)
{
  struct control_prepaid_total total = { (char *)"a", 1000000 };
  struct control_prepaid *pool = control_prepaid_create ();
  struct control_lease_ask ask
      = { .account = (char *)"a", .want_tokens = 100000 };
  struct control_lease_args args = { .cluster = (char *)"c",
                                     .router = (char *)"r1",
                                     .router_incarnation = 1,
                                     .sequence = 1,
                                     .sent_ms = 100000,
                                     .uptime_ms = 50000,
                                     .asks = { 1, &ask } };
  struct control_lease_result result;
  control_prepaid_set_totals (pool, &total, 1);
  control_prepaid_lease (pool, &args, 100000, &result);
  xdr_free ((xdrproc_t)xdr_control_lease_result, (char *)&result);
  args.router_incarnation = 3;
  args.uptime_ms = 100;
  ask.want_tokens = 800000;
  control_prepaid_lease (pool, &args, 101000, &result);
  xdr_free ((xdrproc_t)xdr_control_lease_result, (char *)&result);
  uint64_t left = control_prepaid_left (pool, "a");
  args.router_incarnation = 2;
  args.sequence = 2;
  args.uptime_ms = 51000;
  ask.want_tokens = 0;
  ask.returned_tokens = 100000;
  for (; args.router_incarnation > 0; args.router_incarnation--)
    {
      control_prepaid_lease (pool, &args, 101100, &result);
      g_assert_cmpint (result.answer.status, ==, CONTROL_FENCED);
      g_assert_cmpuint (result.router_incarnation, ==, 3);
      xdr_free ((xdrproc_t)xdr_control_lease_result, (char *)&result);
      g_assert_cmpuint (control_prepaid_left (pool, "a"), ==, left);
    }
  control_prepaid_destroy (pool);
}

/* A run that is cut off from its start on tells how long it has gone on: what
   its former run can't have used by then comes back. */
static void
test_reclaimed_by_the_start (void)
{
  struct control_prepaid_total total = { (char *)"a", 1000000 };
  struct control_prepaid *pool = control_prepaid_create ();
  struct control_lease_ask ask = { .account = (char *)"a",
                                   .want_tokens = 900000,
                                   .tokens_per_s = 50000 };
  struct control_lease_args args = { .cluster = (char *)"c",
                                     .router = (char *)"r1",
                                     .router_incarnation = 1,
                                     .sequence = 1,
                                     .sent_ms = 100000,
                                     .asks = { 1, &ask } };
  struct control_lease_result result;
  control_prepaid_set_totals (pool, &total, 1);
  control_prepaid_lease (pool, &args, 100000, &result);
  xdr_free ((xdrproc_t)xdr_control_lease_result, (char *)&result);
  args.router_incarnation = 2;
  args.asks.asks_len = 0;
  args.sent_ms = 110000;
  args.uptime_ms = 9000;
  control_prepaid_lease (pool, &args, 110000, &result);
  xdr_free ((xdrproc_t)xdr_control_lease_result, (char *)&result);
  /* A second of demand may have been used before the start; three at most are
     written off. */
  g_assert_cmpuint (control_prepaid_left (pool, "a"), >, 1000000 - 150000);
  g_assert_cmpuint (control_prepaid_left (pool, "a"), <=, 1000000 - 50000);
  control_prepaid_destroy (pool);
}

/* Sends @p router's call and hands it the answer. */
static void
call_pool (struct control_prepaid *pool, struct edge_prepaid *router,
           const char *name, uint64_t sequence, uint64_t now_ms)
{
  struct control_lease_args args = { .cluster = strdup ("c"),
                                     .router = strdup (name),
                                     .router_incarnation = 1,
                                     .sequence = sequence,
                                     .sent_ms = now_ms };
  struct control_lease_result result;
  edge_prepaid_ask (router, now_ms, false, &args);
  control_prepaid_lease (pool, &args, now_ms, &result);
  edge_prepaid_take (router, &result, now_ms);
  xdr_free ((xdrproc_t)xdr_control_lease_args, (char *)&args);
  xdr_free ((xdrproc_t)xdr_control_lease_result, (char *)&result);
}

/* A request that is larger than half of what is unspent is not counted against
   itself: it waits for what the other router holds, and gets it. */
static void
test_last_request_that_fits (void)
{
  struct control_prepaid_total total = { (char *)"a", 10000 };
  struct control_prepaid *pool = control_prepaid_create ();
  struct edge_prepaid *holder = edge_prepaid_create ();
  struct edge_prepaid *lacking = edge_prepaid_create ();
  uint64_t now_ms = 100000;
  uint32_t waits = 0;
  enum edge_prepaid_outcome outcome = EDGE_PREPAID_WAIT;
  edge_prepaid_set_routers (holder, 2);
  edge_prepaid_set_routers (lacking, 2);
  control_prepaid_set_totals (pool, &total, 1);
  edge_prepaid_reserve (holder, "a", 4000, 0, now_ms);
  call_pool (pool, holder, "r1", 1, now_ms);
  g_assert_cmpint (edge_prepaid_reserve (holder, "a", 4000, 1, now_ms), ==,
                   EDGE_PREPAID_RESERVED);
  edge_prepaid_settle (holder, "a", 4000, 1000);
  for (uint64_t sequence = 2; outcome == EDGE_PREPAID_WAIT; sequence++)
    {
      outcome = edge_prepaid_reserve (lacking, "a", 6000, waits, now_ms);
      g_assert_cmpint (outcome, !=, EDGE_PREPAID_EXHAUSTED);
      g_assert_cmpuint (waits++, <, 10);
      call_pool (pool, lacking, "r2", sequence, now_ms);
      call_pool (pool, holder, "r1", sequence, now_ms);
      now_ms += CALL_INTERVAL_MS;
    }
  g_assert_cmpint (outcome, ==, EDGE_PREPAID_RESERVED);
  edge_prepaid_destroy (lacking);
  edge_prepaid_destroy (holder);
  control_prepaid_destroy (pool);
}

/* Callers who were refused and come back don't raise what a router may use
   unreported, and what is written off when it dies. */
static void
test_refused_requests_are_no_use (void)
{
  struct control_prepaid_total total = { (char *)"a", 60000 };
  struct control_prepaid *pool = control_prepaid_create ();
  struct edge_prepaid *router = edge_prepaid_create ();
  struct control_lease_args args = { 0 };
  uint64_t now_ms = 100000;
  control_prepaid_set_totals (pool, &total, 1);
  edge_prepaid_reserve (router, "a", 1000, 0, now_ms);
  call_pool (pool, router, "r1", 1, now_ms);
  for (uint64_t step = 1; step <= 100; step++)
    {
      now_ms += 100;
      if (step % 10 == 0
          && edge_prepaid_reserve (router, "a", 1000, 0, now_ms)
                 == EDGE_PREPAID_RESERVED)
        edge_prepaid_settle (router, "a", 1000, 1000);
      g_assert_cmpint (edge_prepaid_reserve (router, "a", 70000, 0, now_ms),
                       !=, EDGE_PREPAID_RESERVED);
      if (step % 3 == 0)
        call_pool (pool, router, "r1", 1 + step, now_ms);
    }
  edge_prepaid_ask (router, now_ms + 1, false, &args);
  g_assert_cmpuint (args.asks.asks_len, ==, 1);
  /* A thousand tokens a second were used. */
  g_assert_cmpuint (args.asks.asks_val[0].tokens_per_s, <=, 2000);
  g_assert_cmpuint (args.asks.asks_val[0].tokens_per_s, >=, 500);
  xdr_free ((xdrproc_t)xdr_control_lease_args, (char *)&args);
  edge_prepaid_destroy (router);
  control_prepaid_destroy (pool);
}

/* What was reserved here since control's word is off what it said is unspent.
 */
static void
test_own_use_since_the_word (void)
{
  struct control_prepaid_total total = { (char *)"a", 10000 };
  struct control_prepaid *pool = control_prepaid_create ();
  struct edge_prepaid *router = edge_prepaid_create ();
  control_prepaid_set_totals (pool, &total, 1);
  edge_prepaid_reserve (router, "a", 6000, 0, 100000);
  call_pool (pool, router, "r1", 1, 100000);
  g_assert_cmpint (edge_prepaid_reserve (router, "a", 6000, 1, 100000), ==,
                   EDGE_PREPAID_RESERVED);
  g_assert_cmpint (edge_prepaid_reserve (router, "a", 6000, 0, 100100), ==,
                   EDGE_PREPAID_EXHAUSTED);
  edge_prepaid_destroy (router);
  control_prepaid_destroy (pool);
}

/* A new run that seems to have begun well before its former run's last report:
   both times of day were set back, and nobody knows how long ago that was. */
static void
test_nothing_back_from_the_future (void)
{
  struct control_lessee *lessee = control_lessee_create (1);
  struct control_holding *holding
      = control_lessee_ensure_holding (lessee, "a");
  lessee->last.sequence = 1;
  holding->sequence = 1;
  holding->leased_tokens = 1000000;
  control_lessee_record_call (lessee, 10000);
  g_assert_cmpuint (control_lessee_unused (lessee, holding, 9900), >, 900000);
  g_assert_cmpuint (control_lessee_unused (lessee, holding, 9000), ==, 0);
  control_lessee_destroy (lessee);
}

static void
test_allowance_grows_to_all (void)
{
  uint64_t former = 0;
  g_assert_cmpuint (escrow_allowance (1000, 0, 0), ==, 1000);
  for (uint64_t age_ms = 0; age_ms < 30000; age_ms += 100)
    {
      uint64_t tokens = escrow_allowance (1000000, 50000, age_ms);
      g_assert_cmpuint (tokens, >=, former);
      g_assert_cmpuint (tokens, <=, 1000000);
      g_assert_cmpuint (tokens, >=, MIN (50 * age_ms, 1000000));
      former = tokens;
    }
  g_assert_cmpuint (former, ==, 1000000);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  base_log_set_level (BASE_LOG_ERROR);
  g_test_add_func ("/edge-prepaid/never-overspent", test_never_overspent);
  g_test_add_func ("/edge-prepaid/nearly-all-is-used",
                   test_nearly_all_is_used);
  g_test_add_func ("/edge-prepaid/reclaimed-after-a-kill",
                   test_reclaimed_after_a_kill);
  g_test_add_func ("/edge-prepaid/lasts-through-a-cut",
                   test_lasts_through_a_cut);
  g_test_add_func ("/edge-prepaid/idle-holder-is-recalled",
                   test_idle_holder_is_recalled);
  g_test_add_func ("/edge-prepaid/notice-of-a-recall",
                   test_notice_of_a_recall);
  g_test_add_func ("/edge-prepaid/bound-without-the-last-answer",
                   test_bound_without_the_last_answer);
  g_test_add_func ("/edge-prepaid/reclaimed-by-the-start",
                   test_reclaimed_by_the_start);
  g_test_add_func ("/edge-prepaid/late-call-of-a-former-run",
                   test_late_call_of_a_former_run);
  g_test_add_func ("/edge-prepaid/last-request-that-fits",
                   test_last_request_that_fits);
  g_test_add_func ("/edge-prepaid/refused-requests-are-no-use",
                   test_refused_requests_are_no_use);
  g_test_add_func ("/edge-prepaid/own-use-since-the-word",
                   test_own_use_since_the_word);
  g_test_add_func ("/edge-prepaid/nothing-back-from-the-future",
                   test_nothing_back_from_the_future);
  g_test_add_func ("/edge-prepaid/allowance-grows-to-all",
                   test_allowance_grows_to_all);
  return g_test_run ();
}
