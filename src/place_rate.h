#ifndef PLACE_RATE_H
#define PLACE_RATE_H

/** @file
 *  Probability that a target fails a request, by the recent outcomes.
 *
 *  Load pattern: a plain service has one or two targets in each availability
 *  zone, all of which fail one request in fifty.  A router with much traffic
 *  sees a failure of each target every second; were each failure held against
 *  the target for seconds, most bookings would cross the regions and miss
 *  their latency objective.  Does no I/O. */

#include <stdbool.h>
#include <stdint.h>

/** Recent outcomes at a target; all zero before the first one. */
struct place_rate
{
  /** Numbers that decay exponentially, as of @ref at_ms. */
  double outcomes;
  double failures;
  uint64_t at_ms;
};

/** Counts an outcome. */
void place_rate_note (struct place_rate *rate, bool failed, uint64_t now_ms);
/** Returns the probability that the next request fails. */
double place_rate_probability (const struct place_rate *rate, uint64_t now_ms);

#endif
