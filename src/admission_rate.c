#include "admission_rate.h"

#include <math.h>

/* Time constant of the exponential decay, in ms of busy time. */
#define DECAY_MS 5000.0
/* Minimum busy time before the estimate is used. */
#define BUSY_MIN_MS 500.0
/* Upper limit of the estimated wait, also used when nothing was served. */
#define WAIT_MAX_MS 3600000.0

void
admission_rate_advance (struct admission_rate *rate, uint32_t waiting,
                        uint64_t now_ms)
{
  uint64_t elapsed_ms
      = now_ms > rate->updated_ms ? now_ms - rate->updated_ms : 0;
  rate->updated_ms = now_ms > rate->updated_ms ? now_ms : rate->updated_ms;
  if (waiting == 0 || elapsed_ms == 0)
    return;
  double decay = exp (-(double)elapsed_ms / DECAY_MS);
  rate->served *= decay;
  rate->busy_ms = rate->busy_ms * decay + (double)elapsed_ms;
}

void
admission_rate_count (struct admission_rate *rate, double served)
{
  rate->served += served;
  if (rate->served < 0)
    rate->served = 0;
}

uint64_t
admission_rate_wait_ms (const struct admission_rate *rate, double requests)
{
  if (requests <= 0 || rate->busy_ms < BUSY_MIN_MS)
    return 0;
  double wait_ms = WAIT_MAX_MS;
  if (rate->served > 0)
    wait_ms = requests * rate->busy_ms / rate->served;
  return (uint64_t)(wait_ms < WAIT_MAX_MS ? wait_ms : WAIT_MAX_MS);
}
