#ifndef EDGE_RETRY_H
#define EDGE_RETRY_H

/** @file
 *  Budget of second sends by service: a share of the service's recent requests
 *  at this router, and this router's part of what all routers may send beyond
 *  that.  Without I/O. */

#include <stdbool.h>
#include <stdint.h>

/** The limits, for all routers together. */
struct edge_retry_limits
{
  double ratio;
  uint32_t window_ms;
  /** Second sends within a window beyond the ratio. */
  double slack;
};

struct edge_retry;

/** Makes an empty budget. */
struct edge_retry *edge_retry_create (const struct edge_retry_limits *limits);
/** Frees it. */
void edge_retry_destroy (struct edge_retry *retry);
/** Number of routers that share the slack. */
void edge_retry_set_routers (struct edge_retry *retry, uint32_t routers);
/** Number of routers as it was set last. */
uint32_t edge_retry_routers (const struct edge_retry *retry);
/** Counts a request for the service. */
void edge_retry_request (struct edge_retry *retry, const char *service,
                         uint64_t now_ms);
/** Takes one second send out of the budget; false when it is used up. */
bool edge_retry_take (struct edge_retry *retry, const char *service,
                      uint64_t now_ms);

#endif
