#ifndef EDGE_ASK_H
#define EDGE_ASK_H

/** @file
 *  How many permits a router asks control for, and for which limited targets
 *  of a service.  Does no I/O. */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "base_random.h"
#include "edge_demand.h"
#include "edge_limits.h"
#include "place.h"

/** A limited target of the service. */
struct edge_ask_target
{
  struct edge_limit_target key;
  enum place_distance distance;
  /** Random order among targets at the same distance. */
  uint64_t rank;
  uint64_t limit_mrps;
};

/** The targets of one service. */
struct edge_ask_targets
{
  /** struct edge_ask_target. */
  GArray *limited;
  /** Targets that take any number of requests. */
  uint32_t unlimited_count;
};

/** Initializes the targets of a service that has none. */
void edge_ask_targets_init (struct edge_ask_targets *targets);
/** Frees what the targets refer to. */
void edge_ask_targets_clear (struct edge_ask_targets *targets);
/** Adds a target, whose name must outlive the targets. */
void edge_ask_targets_add (struct edge_ask_targets *targets,
                           const struct edge_limits *limits,
                           const struct edge_limit_target *target,
                           enum place_distance distance,
                           struct base_random *random, uint64_t now_ms);
/** Sum of the limits, in requests per 1,000 s. */
uint64_t edge_ask_targets_sum_mrps (const struct edge_ask_targets *targets);
/** Sorts the targets and fills in the ask for the waiting requests, by
 *  priority, and those expected until the next answer.  Returns false, with an
 *  empty ask, when there is nothing to ask for. */
bool edge_ask_fill (struct edge_ask_targets *targets,
                    const struct edge_limits *limits,
                    const struct edge_demand *demand, const char *service,
                    const uint32_t waiting[EDGE_DEMAND_PRIORITIES],
                    struct base_random *random, uint64_t now_ms,
                    struct control_permit_ask *ask);

#endif
