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
  static atomic_uint_least64_t offset_ms;
  struct timespec passed;
  clock_gettime (CLOCK_BOOTTIME, &passed);
  uint64_t passed_ms
      = (uint64_t)passed.tv_sec * 1000 + (uint64_t)passed.tv_nsec / 1000000;
  uint64_t offset = atomic_load (&offset_ms);
  if (offset == 0)
    {
      uint64_t first = system_wall_ms (&system_clock) - passed_ms;
      if (atomic_compare_exchange_strong (&offset_ms, &offset, first))
        offset = first;
    }
  return offset + passed_ms;
}
