#ifndef EDGE_COLD_H
#define EDGE_COLD_H

/** @file
 *  How many requests a cold target may get: one that has started lately, or
 *  that says it is cold again, is slow and falls over when all routers
 *  together send it more than its service allows.  Routers use cold targets
 *  only where no warm one can take a request, and then by permits of control
 *  (control_limits), at a rate that keeps the bound in any second.  Does no
 *  I/O. */

#include <stdint.h>

/** What a cold target may get in any second, from all routers together: the
 *  service's rate times overage, and slack. */
struct edge_cold_bounds
{
  double overage;
  double slack;
};

/** Value of edge_cold_rate_mrps() when no permits keep the bound. */
#define EDGE_COLD_NONE (-1)

/** Returns the rate, in requests per 1,000 s, at which control may grant
 *  permits for a target that tolerates @p per_s requests a second while it is
 *  cold, or EDGE_COLD_NONE. */
int64_t edge_cold_rate_mrps (double per_s,
                             const struct edge_cold_bounds *bounds);

#endif
