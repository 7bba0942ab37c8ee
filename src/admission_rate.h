#ifndef ADMISSION_RATE_H
#define ADMISSION_RATE_H

/** @file
 *  Rate of service of a queue, measured while something waits, so that a calm
 *  hour isn't taken for a slow service. */

#include <stdint.h>

/** An estimate; zeroed, it knows nothing. */
struct admission_rate
{
  /** Requests served while others waited, and the time of that, in ms; both
   *  forgotten exponentially. */
  double served;
  double busy_ms;
  uint64_t updated_ms;
};

/** Advances to @p now_ms; @p waiting requests waited since the last call. */
void admission_rate_advance (struct admission_rate *rate, uint32_t waiting,
                             uint64_t now_ms);
/** Counts one request served (+1), or one taken back (-1). */
void admission_rate_count (struct admission_rate *rate, double served);
/** Time for @p requests to be served, in ms; 0 when the rate isn't known. */
uint64_t admission_rate_wait_ms (const struct admission_rate *rate,
                                 double requests);

#endif
