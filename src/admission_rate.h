#ifndef ADMISSION_RATE_H
#define ADMISSION_RATE_H

/** @file
 *  Estimate of the rate at which a queue is served.  Only time during which
 *  requests wait is counted, so that an idle period doesn't look like slow
 *  service. */

#include <stdint.h>

/** An estimate; all zero means that nothing is known yet. */
struct admission_rate
{
  /** Requests served while others waited, and the time in ms during which
   *  requests waited; both decay exponentially. */
  double served;
  double busy_ms;
  uint64_t updated_ms;
};

/** Advances the estimate to @p now_ms, with @p waiting requests queued
 *  since the last call. */
void admission_rate_advance (struct admission_rate *rate, uint32_t waiting,
                             uint64_t now_ms);
/** Counts a served request (+1), or takes one back (-1). */
void admission_rate_count (struct admission_rate *rate, double served);
/** Returns the time in ms until @p requests are served, at most one hour, or 0
 *  when the rate isn't known. */
uint64_t admission_rate_wait_ms (const struct admission_rate *rate,
                                 double requests);

#endif
