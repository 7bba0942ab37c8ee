#ifndef EDGE_RETRY_H
#define EDGE_RETRY_H

/** @file
 *  Retry budget per service: a share of the service's recent requests at this
 *  router, plus this router's part of a fixed number of retries that all
 *  routers share (the slack).  Does no I/O. */

#include <stdbool.h>
#include <stdint.h>

/** Limits that hold for all routers together. */
struct edge_retry_limits
{
  /** Retries per request, within a window. */
  double ratio;
  uint32_t window_ms;
  /** Retries within a window beyond the ratio. */
  double slack;
};

struct edge_retry;

/** Creates a budget without recorded requests.  Until @p slack_from_ms the
 *  router's part of the slack counts as used: an earlier process of the router
 *  may have used it. */
struct edge_retry *edge_retry_create (const struct edge_retry_limits *limits,
                                      uint64_t slack_from_ms);
/** Destroys a budget.  NULL is allowed. */
void edge_retry_destroy (struct edge_retry *retry);
/** Sets the number of routers that share the slack. */
void edge_retry_set_routers (struct edge_retry *retry, uint32_t routers);
/** Returns the number of routers that was set last, or the default. */
uint32_t edge_retry_routers (const struct edge_retry *retry);
/** Counts a request for the service. */
void edge_retry_request (struct edge_retry *retry, const char *service,
                         uint64_t now_ms);
/** Takes one retry out of the budget.  Returns false when the budget is used
 *  up. */
bool edge_retry_take (struct edge_retry *retry, const char *service,
                      uint64_t now_ms);

#endif
