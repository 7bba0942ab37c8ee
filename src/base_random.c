#include "base_random.h"

#include <sodium.h>

void
base_random_seed (struct base_random *source, uint64_t seed)
{
  source->state = seed;
}

uint64_t
base_random_next (struct base_random *source)
{
  source->state += UINT64_C (0x9e3779b97f4a7c15);
  uint64_t word = source->state;
  word = (word ^ (word >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  word = (word ^ (word >> 27)) * UINT64_C (0x94d049bb133111eb);
  return word ^ (word >> 31);
}

uint64_t
base_random_below (struct base_random *source, uint64_t bound)
{
  if (bound == 0)
    return 0;
  return (uint64_t)(((unsigned __int128)base_random_next (source) * bound)
                    >> 64);
}

double
base_random_unit (struct base_random *source)
{
  return (double)(base_random_next (source) >> 11) * 0x1.0p-53;
}

uint64_t
base_random_system_seed (void)
{
  uint64_t seed;
  randombytes_buf (&seed, sizeof seed);
  return seed;
}
