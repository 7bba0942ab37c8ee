/** @file
 *  Compares the share policies under a long cut: pool and ledgers in memory,
 *  one zone of three cut off from control for an hour while budgets are topped
 *  up and part of the demand moves.  Prints tokens served against the best
 *  that a plan knowing the future could serve, false refusals and overspend.
 *  --json prints one JSON line a slope. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base_hash.h"
#include "base_random.h"
#include "escrow_ledger.h"
#include "escrow_pool.h"
#include "bench_slope.h"

#define ZONES 3
#define CUT_ZONE 2
#define BUDGETS 40
#define CUT_START_S 1800u
#define CUT_END_S 5400u
#define END_S 6000u
#define TOP_UP_S 2400u
#define RESERVE_TOKENS 600u
#define USED_TOKENS 300u
#define HOLD_S 4u
#define SEEDS 3u
#define POLICIES 4

/* One budget's demand and what became of it. */
struct budget
{
  uint64_t id;
  char name[16];
  /* Requests in 10,000 ticks at each zone. */
  uint32_t rate[ZONES];
  uint64_t topped_up;
  uint64_t used;
  /* For the best plan: tokens at the cut, top-ups during it, demand before
     and after, and at either side of the cut. */
  uint64_t before_top_up;
  uint64_t during_top_up;
  uint64_t demand_open;
  uint64_t demand_cut;
  uint64_t demand_rest;
};

/* A reservation that is settled later. */
struct held
{
  uint64_t id;
  uint32_t zone;
  uint32_t budget;
  uint32_t due_s;
};

struct simulation
{
  struct base_random random;
  struct escrow_pool *pool;
  struct escrow_ledger *ledgers[ZONES];
  struct budget budgets[BUDGETS];
  GArray *held;
  uint64_t next_id;
  uint32_t now_s;
  uint32_t top_ups;
  uint64_t requests;
  uint64_t refused;
  uint64_t false_refused;
  uint64_t overspend;
};

static char cluster[] = "c";
static char *const zone_names[ZONES]
    = { (char *)"santander", (char *)"bilbao", (char *)"vigo" };
static const char *const policy_names[POLICIES]
    = { "demand+floor", "demand", "equal", "at control" };

static uint64_t
now_ms (const struct simulation *simulation)
{
  return 1000000 + simulation->now_s * UINT64_C (1000);
}

static bool
is_cut (const struct simulation *simulation, uint32_t zone)
{
  return zone == CUT_ZONE && simulation->now_s >= CUT_START_S
         && simulation->now_s < CUT_END_S;
}

static void
top_up (struct simulation *simulation, struct budget *budget, uint64_t tokens)
{
  char id[16];
  struct control_top_up_result result;
  g_snprintf (id, sizeof id, "t%u", ++simulation->top_ups);
  struct control_top_up_args args = { .cluster = cluster,
                                      .top_up_id = id,
                                      .operator_name = cluster,
                                      .account = cluster,
                                      .budget = budget->name,
                                      .tokens = tokens };
  escrow_pool_top_up (simulation->pool, &args, now_ms (simulation), &result);
  xdr_free ((xdrproc_t)xdr_control_top_up_result, (char *)&result);
  budget->topped_up += tokens;
  if (simulation->now_s >= CUT_START_S)
    budget->during_top_up += tokens;
  else
    budget->before_top_up += tokens;
}

static void
exchange (struct simulation *simulation, uint32_t zone)
{
  struct control_ledger_result result;
  struct control_ledger_args args = { 0 };
  struct escrow_ledger *ledger = simulation->ledgers[zone];
  bool cut = is_cut (simulation, zone);
  escrow_ledger_set_connected (ledger, !cut);
  if (cut)
    return;
  escrow_ledger_report (ledger, now_ms (simulation), 64, &args);
  args.cluster = strdup (cluster);
  args.ledger = strdup (zone_names[zone]);
  args.incarnation = zone + 1;
  escrow_pool_exchange (simulation->pool, &args, now_ms (simulation), &result);
  escrow_ledger_handle_answer (ledger, &result, now_ms (simulation));
  xdr_free ((xdrproc_t)xdr_control_ledger_args, (char *)&args);
  xdr_free ((xdrproc_t)xdr_control_ledger_result, (char *)&result);
}

static void
exchange_all (struct simulation *simulation)
{
  for (uint32_t zone = 0; zone < ZONES; zone++)
    exchange (simulation, zone);
}

static enum ledger_status
reserve (struct simulation *simulation, uint32_t zone, uint32_t number,
         uint64_t id)
{
  struct ledger_op op = { .kind = LEDGER_RESERVE };
  struct ledger_op_result result;
  struct ledger_reserve *args = &op.ledger_op_u.reserve;
  args->reservation_id = id;
  args->account_id = 1;
  args->budget_id = simulation->budgets[number].id;
  memcpy (args->key, &id, sizeof id);
  args->tokens = RESERVE_TOKENS;
  escrow_ledger_open_session (simulation->ledgers[zone], "router", 9,
                              now_ms (simulation));
  escrow_ledger_op (simulation->ledgers[zone], 9, &op, now_ms (simulation),
                    &result);
  return result.status;
}

static void
note_demand (struct simulation *simulation, uint32_t zone,
             struct budget *budget)
{
  if (simulation->now_s < CUT_START_S || simulation->now_s >= CUT_END_S)
    budget->demand_open += USED_TOKENS;
  else if (zone == CUT_ZONE)
    budget->demand_cut += USED_TOKENS;
  else
    budget->demand_rest += USED_TOKENS;
}

static uint64_t
reserved_of (const struct simulation *simulation, uint32_t number)
{
  uint64_t total = 0;
  for (guint i = 0; i < simulation->held->len; i++)
    if (g_array_index (simulation->held, struct held, i).budget == number)
      total += RESERVE_TOKENS;
  return total;
}

/* A request: refused ones are tried again after two exchanges, as a router
   does within its wait. */
static void
request (struct simulation *simulation, uint32_t zone, uint32_t number)
{
  struct budget *budget = &simulation->budgets[number];
  struct held held
      = { ++simulation->next_id, zone, number, simulation->now_s + HOLD_S };
  simulation->requests++;
  note_demand (simulation, zone, budget);
  enum ledger_status status = reserve (simulation, zone, number, held.id);
  for (int i = 0; i < 3 && status == LEDGER_NO_BUDGET; i++)
    {
      exchange_all (simulation);
      status = reserve (simulation, zone, number, held.id);
    }
  if (status == LEDGER_OK)
    {
      g_array_append_val (simulation->held, held);
      return;
    }
  simulation->refused++;
  uint64_t used = budget->used + reserved_of (simulation, number);
  if (used + RESERVE_TOKENS <= budget->topped_up)
    simulation->false_refused++;
}

static void
settle_due (struct simulation *simulation)
{
  for (guint i = simulation->held->len; i-- > 0;)
    {
      struct held held = g_array_index (simulation->held, struct held, i);
      struct ledger_op op = { .kind = LEDGER_SETTLE };
      struct ledger_op_result result;
      if (held.due_s > simulation->now_s)
        continue;
      op.ledger_op_u.settle.reservation_id = held.id;
      op.ledger_op_u.settle.used_tokens = USED_TOKENS;
      escrow_ledger_op (simulation->ledgers[held.zone], 9, &op,
                        now_ms (simulation), &result);
      g_assert_cmpint (result.status, ==, LEDGER_OK);
      struct budget *budget = &simulation->budgets[held.budget];
      budget->used += result.tokens;
      if (budget->used > budget->topped_up)
        simulation->overspend += result.tokens;
      g_array_remove_index_fast (simulation->held, i);
    }
}

/* Gives each budget a rate a zone and a top-up that lasts for 0.5 to 2 times
   its demand. */
static void
draw_budgets (struct simulation *simulation)
{
  for (uint32_t i = 0; i < BUDGETS; i++)
    {
      struct budget *budget = &simulation->budgets[i];
      uint64_t total = 0;
      g_snprintf (budget->name, sizeof budget->name, "b%u", i);
      budget->id = base_budget_id (cluster, budget->name);
      for (uint32_t zone = 0; zone < ZONES; zone++)
        {
          budget->rate[zone]
              = (uint32_t)base_random_below (&simulation->random, 1000);
          total += budget->rate[zone];
        }
      double demand = (double)total * END_S / 10000 * USED_TOKENS;
      double part = 0.5 + 1.5 * base_random_unit (&simulation->random);
      top_up (simulation, budget, (uint64_t)(demand * part) + 1);
    }
}

/* During the cut: some budgets' demand moves to another zone, and some are
   topped up. */
static void
change_world (struct simulation *simulation)
{
  for (uint32_t i = 0; i < BUDGETS; i++)
    {
      struct budget *budget = &simulation->budgets[i];
      if (simulation->now_s == CUT_START_S && i % 4 == 0)
        {
          uint32_t rate = budget->rate[0];
          budget->rate[0] = budget->rate[CUT_ZONE];
          budget->rate[CUT_ZONE] = rate;
        }
      if (simulation->now_s == TOP_UP_S && i % 3 == 0)
        top_up (simulation, budget, budget->topped_up / 2 + 1);
    }
}

/* Tokens that the best plan serves: the cut zone can use only what there was
   at the cut. */
static uint64_t
best_tokens (const struct budget *budget)
{
  uint64_t demand
      = budget->demand_open + budget->demand_cut + budget->demand_rest;
  uint64_t all = budget->before_top_up + budget->during_top_up;
  uint64_t reachable = MIN (budget->demand_cut, budget->before_top_up)
                       + budget->demand_open + budget->demand_rest;
  return MIN (MIN (demand, all), reachable);
}

static void
run (struct simulation *simulation, enum escrow_policy policy, uint64_t seed)
{
  memset (simulation, 0, sizeof *simulation);
  base_random_seed (&simulation->random, seed);
  simulation->pool = escrow_pool_create (policy);
  simulation->held = g_array_new (FALSE, FALSE, sizeof (struct held));
  for (int i = 0; i < ZONES; i++)
    simulation->ledgers[i] = escrow_ledger_create ();
  exchange_all (simulation);
  draw_budgets (simulation);
  for (; simulation->now_s < END_S; simulation->now_s++)
    {
      change_world (simulation);
      settle_due (simulation);
      exchange_all (simulation);
      for (uint32_t i = 0; i < BUDGETS; i++)
        for (uint32_t zone = 0; zone < ZONES; zone++)
          if (base_random_below (&simulation->random, 10000)
              < simulation->budgets[i].rate[zone])
            request (simulation, zone, i);
    }
  for (int i = 0; i < ZONES; i++)
    escrow_ledger_destroy (simulation->ledgers[i]);
  escrow_pool_destroy (simulation->pool);
  g_array_unref (simulation->held);
}

static void
compare (enum escrow_policy policy)
{
  char sizes[80];
  double best = 0;
  double used = 0;
  double requests = 0;
  double false_refused = 0;
  double overspend = 0;
  struct simulation *simulation = g_new0 (struct simulation, 1);
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      run (simulation, policy, seed);
      for (int i = 0; i < BUDGETS; i++)
        {
          best += (double)best_tokens (&simulation->budgets[i]);
          used += (double)simulation->budgets[i].used;
        }
      requests += (double)simulation->requests;
      false_refused += (double)simulation->false_refused;
      overspend += (double)simulation->overspend;
    }
  g_snprintf (sizes, sizeof sizes, "%s, 1 h cut of 1 zone of 3",
              policy_names[policy]);
  bench_slope_print ("policy_served", "of best", used / best, sizes);
  bench_slope_print ("policy_false_refusals", "of requests",
                     false_refused / requests, sizes);
  bench_slope_print ("policy_overspend", "tokens", overspend, sizes);
  g_free (simulation);
}

int
main (int argc, char **argv)
{
  bench_slope_init (argc, argv);
  for (int policy = 0; policy < POLICIES; policy++)
    compare ((enum escrow_policy)policy);
  return 0;
}
