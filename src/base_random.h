#ifndef BASE_RANDOM_H
#define BASE_RANDOM_H

/** @file
 *  Seeded pseudo-random generator (SplitMix64) for code without I/O and for
 *  tests; not for secrets. */

#include <stdint.h>

/** State of the generator; may be copied. */
struct base_random
{
  uint64_t state;
};

/** Seeds the generator. */
void base_random_seed (struct base_random *source, uint64_t seed);
/** Returns the next 64 random bits. */
uint64_t base_random_next (struct base_random *source);
/** Returns a uniform number below @p bound, or 0 when @p bound is 0. */
uint64_t base_random_below (struct base_random *source, uint64_t bound);
/** Returns a uniform number in [0, 1). */
double base_random_unit (struct base_random *source);
/** Returns a seed from the system's entropy source. */
uint64_t base_random_system_seed (void);

#endif
