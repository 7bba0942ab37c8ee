#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

/** @file
 *  Clocks as a small vtable, so that cores can be tested with a fake one. */

#include <stdint.h>

/** A clock; embed as first member of a fake. */
struct base_clock
{
  /** Monotonic time in microseconds. */
  uint64_t (*now_us) (struct base_clock *clock);
  /** Time since the Unix epoch in milliseconds. */
  uint64_t (*wall_ms) (struct base_clock *clock);
};

/** The system's clock (CLOCK_MONOTONIC and CLOCK_REALTIME). */
struct base_clock *base_clock_system (void);
/** Monotonic time in microseconds. */
uint64_t base_clock_now_us (struct base_clock *clock);
/** Monotonic time in milliseconds. */
uint64_t base_clock_now_ms (struct base_clock *clock);
/** Time since the Unix epoch in milliseconds. */
uint64_t base_clock_wall_ms (struct base_clock *clock);

/** Time of day as it was at the first call, and what has passed since: steps
 * of the time of day don't move it, and a suspended host's time counts. */
uint64_t base_clock_steady_wall_ms (void);

#endif
