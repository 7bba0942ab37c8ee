/** @file
 *  Compares the policies by which control shares budgets among ledgers, under
 *  a long network partition.  The pool and the ledgers are in memory.  One
 *  zone of three is disconnected from control for an hour, while budgets are
 *  topped up and part of the demand moves.  Prints the tokens served as a
 *  part of what a plan with knowledge of the future could serve, false
 *  refusals (the budget had enough unused tokens, but not at that ledger) and
 *  overspending.  --json prints each result as a JSON line. */

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
#define ISOLATED_ZONE 2
#define BUDGETS 40
#define PARTITION_START_S 1800u
#define PARTITION_END_S 5400u
#define END_S 6000u
/* Time of the top-ups during the partition. */
#define TOP_UP_S 2400u
#define RESERVE_TOKENS 600u
#define USED_TOKENS 300u
/* Time from a reservation to its settlement. */
#define RESERVATION_S 4u
#define SEEDS 3u
#define POLICIES 4

/* Demand, top-ups and use of one budget. */
struct budget
{
  uint64_t id;
  char name[16];
  /* Mean number of requests in 10,000 s at each zone. */
  uint32_t rate[ZONES];
  uint64_t topped_up;
  uint64_t used;
  /* For the best plan, in tokens: top-ups before the partition and since, the
     demand outside of the partition's time, and the demand during it in the
     isolated zone and in the connected ones. */
  uint64_t tokens_before;
  uint64_t tokens_during;
  uint64_t demand_outside;
  uint64_t demand_isolated;
  uint64_t demand_connected;
};

/* An open reservation. */
struct reservation
{
  uint64_t id;
  uint32_t zone;
  uint32_t budget;
  /* Time of its settlement. */
  uint32_t due_s;
};

struct simulation
{
  struct base_random random;
  struct escrow_pool *pool;
  struct escrow_ledger *ledgers[ZONES];
  struct budget budgets[BUDGETS];
  /* Open reservations. */
  GArray *reservations;
  uint64_t next_id;
  uint32_t now_s;
  uint32_t top_up_count;
  uint64_t requests;
  uint64_t refused;
  /* Refused although the budget had enough unused tokens. */
  uint64_t false_refused;
  /* Tokens of settlements that took a budget beyond its top-ups. */
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

/* Whether the zone can't reach control now. */
static bool
is_isolated (const struct simulation *simulation, uint32_t zone)
{
  return zone == ISOLATED_ZONE && simulation->now_s >= PARTITION_START_S
         && simulation->now_s < PARTITION_END_S;
}

static void
top_up (struct simulation *simulation, struct budget *budget, uint64_t tokens)
{
  char id[16];
  struct control_top_up_result result;
  g_snprintf (id, sizeof id, "t%u", ++simulation->top_up_count);
  struct control_top_up_args args = { .cluster = cluster,
                                      .top_up_id = id,
                                      .operator_name = cluster,
                                      .account = cluster,
                                      .budget = budget->name,
                                      .tokens = tokens };
  escrow_pool_top_up (simulation->pool, &args, now_ms (simulation), &result);
  xdr_free ((xdrproc_t)xdr_control_top_up_result, (char *)&result);
  budget->topped_up += tokens;
  if (simulation->now_s >= PARTITION_START_S)
    budget->tokens_during += tokens;
  else
    budget->tokens_before += tokens;
}

/* Runs an exchange of one ledger with the pool, unless it is isolated. */
static void
exchange (struct simulation *simulation, uint32_t zone)
{
  struct control_ledger_result result;
  struct control_ledger_args args = { 0 };
  struct escrow_ledger *ledger = simulation->ledgers[zone];
  bool isolated = is_isolated (simulation, zone);
  escrow_ledger_set_connected (ledger, !isolated);
  if (isolated)
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
reserve (struct simulation *simulation, uint32_t zone, uint32_t budget_number,
         uint64_t id)
{
  struct ledger_op op = { .kind = LEDGER_RESERVE };
  struct ledger_op_result result;
  struct ledger_reserve *args = &op.ledger_op_u.reserve;
  args->reservation_id = id;
  args->account_id = 1;
  args->budget_id = simulation->budgets[budget_number].id;
  memcpy (args->key, &id, sizeof id);
  args->tokens = RESERVE_TOKENS;
  escrow_ledger_open_session (simulation->ledgers[zone], "router", 9,
                              now_ms (simulation));
  escrow_ledger_op (simulation->ledgers[zone], 9, &op, now_ms (simulation),
                    &result);
  return result.status;
}

/* Adds a request to the budget's demand, for the best plan. */
static void
count_demand (struct simulation *simulation, uint32_t zone,
              struct budget *budget)
{
  if (simulation->now_s < PARTITION_START_S
      || simulation->now_s >= PARTITION_END_S)
    budget->demand_outside += USED_TOKENS;
  else if (zone == ISOLATED_ZONE)
    budget->demand_isolated += USED_TOKENS;
  else
    budget->demand_connected += USED_TOKENS;
}

/* Returns the tokens of the budget's open reservations. */
static uint64_t
reserved_tokens (const struct simulation *simulation, uint32_t budget_number)
{
  uint64_t total = 0;
  for (guint i = 0; i < simulation->reservations->len; i++)
    if (g_array_index (simulation->reservations, struct reservation, i).budget
        == budget_number)
      total += RESERVE_TOKENS;
  return total;
}

/* Makes a request.  A refused reservation is tried again up to three times,
   each after an exchange of every ledger, as a router does while the request
   may wait. */
static void
request (struct simulation *simulation, uint32_t zone, uint32_t budget_number)
{
  struct budget *budget = &simulation->budgets[budget_number];
  struct reservation reservation
      = { ++simulation->next_id, zone, budget_number,
          simulation->now_s + RESERVATION_S };
  simulation->requests++;
  count_demand (simulation, zone, budget);
  enum ledger_status status
      = reserve (simulation, zone, budget_number, reservation.id);
  for (int i = 0; i < 3 && status == LEDGER_NO_BUDGET; i++)
    {
      exchange_all (simulation);
      status = reserve (simulation, zone, budget_number, reservation.id);
    }
  if (status == LEDGER_OK)
    {
      g_array_append_val (simulation->reservations, reservation);
      return;
    }
  simulation->refused++;
  uint64_t used = budget->used + reserved_tokens (simulation, budget_number);
  if (used + RESERVE_TOKENS <= budget->topped_up)
    simulation->false_refused++;
}

/* Settles the reservations that are due. */
static void
settle_due (struct simulation *simulation)
{
  for (guint i = simulation->reservations->len; i-- > 0;)
    {
      struct reservation reservation
          = g_array_index (simulation->reservations, struct reservation, i);
      struct ledger_op op = { .kind = LEDGER_SETTLE };
      struct ledger_op_result result;
      if (reservation.due_s > simulation->now_s)
        continue;
      op.ledger_op_u.settle.reservation_id = reservation.id;
      op.ledger_op_u.settle.used_tokens = USED_TOKENS;
      escrow_ledger_op (simulation->ledgers[reservation.zone], 9, &op,
                        now_ms (simulation), &result);
      g_assert_cmpint (result.status, ==, LEDGER_OK);
      struct budget *budget = &simulation->budgets[reservation.budget];
      budget->used += result.tokens;
      if (budget->used > budget->topped_up)
        simulation->overspend += result.tokens;
      g_array_remove_index_fast (simulation->reservations, i);
    }
}

/* Draws each budget's rates per zone, and tops it up with 0.5 to 2 times its
   whole demand. */
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
      double factor = 0.5 + 1.5 * base_random_unit (&simulation->random);
      top_up (simulation, budget, (uint64_t)(demand * factor) + 1);
    }
}

/* At the start of the partition, exchanges the demand of the isolated zone and
   of zone 0 for every fourth budget.  At TOP_UP_S, tops up every third one. */
static void
move_demand (struct simulation *simulation)
{
  for (uint32_t i = 0; i < BUDGETS; i++)
    {
      struct budget *budget = &simulation->budgets[i];
      if (simulation->now_s == PARTITION_START_S && i % 4 == 0)
        {
          uint32_t rate = budget->rate[0];
          budget->rate[0] = budget->rate[ISOLATED_ZONE];
          budget->rate[ISOLATED_ZONE] = rate;
        }
      if (simulation->now_s == TOP_UP_S && i % 3 == 0)
        top_up (simulation, budget, budget->topped_up / 2 + 1);
    }
}

/* Returns the tokens that the best plan serves.  During the partition, the
   isolated zone can use only the tokens topped up before. */
static uint64_t
best_tokens (const struct budget *budget)
{
  uint64_t demand = budget->demand_outside + budget->demand_isolated
                    + budget->demand_connected;
  uint64_t total = budget->tokens_before + budget->tokens_during;
  uint64_t reachable = MIN (budget->demand_isolated, budget->tokens_before)
                       + budget->demand_outside + budget->demand_connected;
  return MIN (MIN (demand, total), reachable);
}

static void
simulate (struct simulation *simulation, enum escrow_policy policy,
          uint64_t seed)
{
  memset (simulation, 0, sizeof *simulation);
  base_random_seed (&simulation->random, seed);
  simulation->pool = escrow_pool_create (policy);
  simulation->reservations
      = g_array_new (FALSE, FALSE, sizeof (struct reservation));
  for (int i = 0; i < ZONES; i++)
    simulation->ledgers[i] = escrow_ledger_create ();
  exchange_all (simulation);
  draw_budgets (simulation);
  for (; simulation->now_s < END_S; simulation->now_s++)
    {
      move_demand (simulation);
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
  g_array_unref (simulation->reservations);
}

/* Simulates a policy with each seed and prints the sums. */
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
      simulate (simulation, policy, seed);
      for (int i = 0; i < BUDGETS; i++)
        {
          best += (double)best_tokens (&simulation->budgets[i]);
          used += (double)simulation->budgets[i].used;
        }
      requests += (double)simulation->requests;
      false_refused += (double)simulation->false_refused;
      overspend += (double)simulation->overspend;
    }
  g_snprintf (sizes, sizeof sizes, "%s, 1 h partition of 1 zone of 3",
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
