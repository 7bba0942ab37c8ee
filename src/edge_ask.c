#include "edge_ask.h"

#include <stdlib.h>
#include <string.h>

/* Time whose requests permits are asked for in advance, in ms: until the
   answer to the next call. */
#define EXPECTED_MS 400

void
edge_ask_targets_init (struct edge_ask_targets *targets)
{
  targets->limited
      = g_array_new (FALSE, FALSE, sizeof (struct edge_ask_target));
  targets->unlimited_count = 0;
}

void
edge_ask_targets_clear (struct edge_ask_targets *targets)
{
  g_array_unref (targets->limited);
}

void
edge_ask_targets_add (struct edge_ask_targets *targets,
                      const struct edge_limits *limits,
                      const struct edge_limit_target *target,
                      enum place_distance distance, struct base_random *random,
                      uint64_t now_ms)
{
  struct edge_ask_target limited = { .key = *target, .distance = distance };
  if (!edge_limits_find (limits, target, now_ms, &limited.limit_mrps))
    {
      targets->unlimited_count++;
      return;
    }
  limited.rank = base_random_next (random);
  g_array_append_val (targets->limited, limited);
}

static const struct edge_ask_target *
get_target (const struct edge_ask_targets *targets, uint32_t index)
{
  return &g_array_index (targets->limited, struct edge_ask_target, index);
}

uint64_t
edge_ask_targets_sum_mrps (const struct edge_ask_targets *targets)
{
  uint64_t sum_mrps = 0;
  for (guint i = 0; i < targets->limited->len; i++)
    sum_mrps += get_target (targets, i)->limit_mrps;
  return sum_mrps;
}

static gint
compare_targets (gconstpointer a, gconstpointer b)
{
  const struct edge_ask_target *left = a;
  const struct edge_ask_target *right = b;
  if (left->distance != right->distance)
    return (gint)left->distance - (gint)right->distance;
  return (left->rank > right->rank) - (left->rank < right->rank);
}

/* Number of targets that get requests although none waits: where others take
   any number, requests go to no limited target of another region. */
static uint32_t
count_near (const struct edge_ask_targets *targets)
{
  uint32_t count = 0;
  while (count < targets->limited->len
         && (targets->unlimited_count == 0
             || get_target (targets, count)->distance != PLACE_OTHER_REGION))
    count++;
  return count;
}

/* Number of permits to ask for in advance.  A fraction is rounded at random,
   so that many routers with little demand ask for as much as one with all of
   it. */
static uint32_t
expected_requests (const struct edge_ask_targets *targets, uint32_t near,
                   const struct edge_limits *limits, uint32_t requests_per_s,
                   uint32_t priority, struct base_random *random,
                   uint64_t now_ms)
{
  uint32_t expected = (requests_per_s * EXPECTED_MS
                       + (uint32_t)base_random_below (random, 1000))
                      / 1000;
  uint32_t held = 0;
  for (uint32_t i = 0; i < near; i++)
    held += edge_limits_count_permits (limits, &get_target (targets, i)->key,
                                       priority, now_ms);
  return expected > held ? expected - held : 0;
}

/* Adds what is wanted for requests of one priority. */
static void
add_want (struct control_permit_ask *ask, uint32_t priority, uint32_t waiting,
          uint32_t expected)
{
  if (waiting > 0 || expected > 0)
    ask->wants.wants_val[ask->wants.wants_len++]
        = (struct control_permit_want){ priority, waiting, expected };
}

bool
edge_ask_fill (struct edge_ask_targets *targets,
               const struct edge_limits *limits,
               const struct edge_demand *demand, const char *service,
               const uint32_t waiting[EDGE_DEMAND_PRIORITIES],
               struct base_random *random, uint64_t now_ms,
               struct control_permit_ask *ask)
{
  uint32_t count = MIN (targets->limited->len, CONTROL_LIMITS_MAX);
  uint32_t all_per_s = 0;
  memset (ask, 0, sizeof *ask);
  if (count == 0)
    return false;
  g_array_sort (targets->limited, compare_targets);
  ask->near_targets = MIN (count_near (targets), count);
  ask->others = targets->unlimited_count > 0;
  ask->wants.wants_val
      = calloc (EDGE_DEMAND_PRIORITIES, sizeof *ask->wants.wants_val);
  for (uint32_t i = 0; i < EDGE_DEMAND_PRIORITIES; i++)
    {
      uint32_t per_s = edge_demand_rate (demand, service, i, now_ms);
      all_per_s += per_s;
      if (targets->unlimited_count == 0)
        add_want (ask, i, waiting[i],
                  expected_requests (targets, ask->near_targets, limits, per_s,
                                     i, random, now_ms));
    }
  /* Where other targets serve what gets no permit, permits are for anyone. */
  if (targets->unlimited_count > 0)
    add_want (ask, EDGE_DEMAND_PRIORITIES - 1, 0,
              expected_requests (targets, ask->near_targets, limits, all_per_s,
                                 EDGE_DEMAND_PRIORITIES - 1, random, now_ms));
  if (ask->wants.wants_len == 0)
    {
      xdr_free ((xdrproc_t)xdr_control_permit_ask, (char *)ask);
      memset (ask, 0, sizeof *ask);
      return false;
    }
  ask->targets.targets_val = calloc (count, sizeof (wire_name));
  ask->targets.targets_len = count;
  for (uint32_t i = 0; i < count; i++)
    ask->targets.targets_val[i] = strdup (get_target (targets, i)->key.name);
  return true;
}
