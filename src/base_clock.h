#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

/** @file
 *  Clock interface, so that code without I/O can be tested with a fake
 *  clock. */

#include <stdint.h>

/** A clock; an implementation embeds it as first member. */
struct base_clock
{
  /** Monotonic time in microseconds. */
  uint64_t (*now_us) (struct base_clock *clock);
  /** Time since the Unix epoch in milliseconds. */
  uint64_t (*wall_ms) (struct base_clock *clock);
};

/** The system clock (CLOCK_MONOTONIC and CLOCK_REALTIME). */
struct base_clock *base_clock_system (void);
/** Monotonic time in microseconds. */
uint64_t base_clock_now_us (struct base_clock *clock);
/** Monotonic time in milliseconds. */
uint64_t base_clock_now_ms (struct base_clock *clock);
/** Time since the Unix epoch in milliseconds. */
uint64_t base_clock_wall_ms (struct base_clock *clock);

/** Milliseconds since the Unix epoch: the wall clock at the first call, plus
 *  the time elapsed since then (CLOCK_BOOTTIME).  Later steps of the wall
 *  clock don't affect it; time while the host is suspended counts. */
uint64_t base_clock_steady_wall_ms (void);

#endif
