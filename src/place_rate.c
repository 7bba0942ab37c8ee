#include "place_rate.h"

#include <math.h>

/* Time in which a target may have recovered, or begun to fail. */
#define HALF_LIFE_MS 5000.0
/* A target without recent outcomes: its probability, and the number of
   outcomes that this counts as. */
#define USUAL_PROBABILITY 0.02
#define USUAL_OUTCOMES 4.0

static double
remaining_share (const struct place_rate *rate, uint64_t now_ms)
{
  double age_ms = now_ms > rate->at_ms ? (double)(now_ms - rate->at_ms) : 0.0;
  return exp2 (-age_ms / HALF_LIFE_MS);
}

void
place_rate_note (struct place_rate *rate, bool failed, uint64_t now_ms)
{
  double share = remaining_share (rate, now_ms);
  rate->outcomes = rate->outcomes * share + 1.0;
  rate->failures = rate->failures * share + (failed ? 1.0 : 0.0);
  rate->at_ms = now_ms;
}

double
place_rate_probability (const struct place_rate *rate, uint64_t now_ms)
{
  double share = remaining_share (rate, now_ms);
  return (rate->failures * share + USUAL_PROBABILITY * USUAL_OUTCOMES)
         / (rate->outcomes * share + USUAL_OUTCOMES);
}
