#include "base_clock.h"

#include <stdatomic.h>
#include <time.h>

static uint64_t
system_now_us (struct base_clock *clock)
{
  struct timespec now;
  (void)clock;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

static uint64_t
system_wall_ms (struct base_clock *clock)
{
  struct timespec now;
  (void)clock;
  clock_gettime (CLOCK_REALTIME, &now);
  return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

static struct base_clock system_clock
    = { .now_us = system_now_us, .wall_ms = system_wall_ms };

struct base_clock *
base_clock_system (void)
{
  return &system_clock;
}

uint64_t
base_clock_now_us (struct base_clock *clock)
{
  return clock->now_us (clock);
}

uint64_t
base_clock_now_ms (struct base_clock *clock)
{
  return clock->now_us (clock) / 1000;
}

uint64_t
base_clock_wall_ms (struct base_clock *clock)
{
  return clock->wall_ms (clock);
}

uint64_t
base_clock_steady_wall_ms (void)
{
  static atomic_uint_least64_t wall_offset_ms;
  struct timespec boot_time;
  clock_gettime (CLOCK_BOOTTIME, &boot_time);
  uint64_t boot_ms = (uint64_t)boot_time.tv_sec * 1000
                     + (uint64_t)boot_time.tv_nsec / 1000000;
  uint64_t wall_offset = atomic_load (&wall_offset_ms);
  /* The first caller sets the offset; concurrent callers use the same one. */
  if (wall_offset == 0)
    {
      uint64_t initial_offset = system_wall_ms (&system_clock) - boot_ms;
      if (atomic_compare_exchange_strong (&wall_offset_ms, &wall_offset,
                                          initial_offset))
        wall_offset = initial_offset;
    }
  return wall_offset + boot_ms;
}
