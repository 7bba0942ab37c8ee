#include "escrow_allowance.h"

#include <glib.h>

/* Tokens that may be used whatever the demand while control can't be reached,
   enough for a few prompts. */
#define BURST_TOKENS 8000.0
/* Factor by which the callers' demand may exceed the reported demand while
   control can't be reached. */
#define DEMAND_GROWTH 1.2
/* Seconds of demand by which the use may catch up per second after the
   silence. */
#define CATCH_UP_RATE 1.5
/* Percent of the free tokens that may be used per second while control can't
   be reached, whatever the demand. */
#define FREE_PERCENT_PER_S 4.5

uint64_t
escrow_allowance (uint64_t free_tokens, uint64_t ahead_tokens,
                  uint64_t tokens_per_s, uint64_t age_ms)
{
  double cut_off_s
      = (double)(MAX (age_ms, ESCROW_SILENCE_MS) - ESCROW_SILENCE_MS) / 1000.0;
  double demand_s = MIN ((double)age_ms / 1000.0, CATCH_UP_RATE * cut_off_s);
  double demand = DEMAND_GROWTH * (double)tokens_per_s * demand_s;
  double share = (double)free_tokens * FREE_PERCENT_PER_S / 100.0 * cut_off_s;
  double burst = BURST_TOKENS * MIN (cut_off_s, 1.0);
  double tokens = (double)ahead_tokens + demand + share + burst;
  return tokens < (double)free_tokens ? (uint64_t)tokens : free_tokens;
}
