#ifndef EDGE_DEMAND_H
#define EDGE_DEMAND_H

/** @file
 *  A router's recent demand for services with limited targets, and the permits
 *  that it got for them: how many permits to ask for, how long a request would
 *  wait for one, and when a rejected caller should come back.  Does no I/O. */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** Priorities that are told apart; less urgent ones count as the last. */
#define EDGE_DEMAND_PRIORITIES 10

struct edge_demand;

/** Creates the demand of no service. */
struct edge_demand *edge_demand_create (void);
/** Destroys it; NULL is allowed. */
void edge_demand_destroy (struct edge_demand *demand);
/** Counts a request for the service. */
void edge_demand_note_request (struct edge_demand *demand, const char *service,
                               uint32_t priority, uint64_t now_ms);
/** Counts permits of a priority that control granted. */
void edge_demand_note_granted (struct edge_demand *demand, const char *service,
                               uint32_t priority, uint32_t permits,
                               uint64_t now_ms);
/** Control granted fewer permits than were asked for. */
void edge_demand_note_denied (struct edge_demand *demand, const char *service,
                              uint64_t now_ms);
/** Requests for the service in the last second. */
uint32_t edge_demand_rate (const struct edge_demand *demand,
                           const char *service, uint32_t priority,
                           uint64_t now_ms);
/** Calls @p visit for each service with requests in the last second. */
void edge_demand_visit (struct edge_demand *demand, uint64_t now_ms,
                        void (*visit) (void *context, const char *service),
                        void *context);
/** Returns whether a request of @p priority (below EDGE_DEMAND_PRIORITIES)
 *  that @p ahead others precede had better not wait @p wait_ms for a permit:
 *  permits were denied lately, and at the present rate its turn comes
 *  later. */
bool edge_demand_is_hopeless (const struct edge_demand *demand,
                              const char *service, uint32_t priority,
                              uint32_t ahead, uint64_t wait_ms,
                              uint64_t now_ms);
/** Returns when a rejected caller may be served, in milliseconds from now.
 *  Callers get different times, as far apart as permits come; one that gives
 *  up within @p left_ms takes no turn.  @p share_mrps is the router's part of
 *  the limits, which counts while it got no permits. */
uint32_t edge_demand_retry_after_ms (struct edge_demand *demand,
                                     const char *service, uint32_t priority,
                                     uint64_t share_mrps, uint64_t left_ms,
                                     uint64_t now_ms);

#endif
