#include "escrow_allowance.h"

/* Tokens that may be used at once in any case: those of a few prompts. */
#define AT_ONCE_TOKENS 8000.0
/* Demand ahead of time that may be used, in milliseconds: a report's interval
   and its way. */
#define AHEAD_MS 400.0
/* Demand may rise by this factor while control can't be reached. */
#define RISE_FACTOR 1.2
/* Percent of what is free that may be used a second, whatever the demand. */
#define PERCENT_PER_S 1.5

uint64_t
escrow_allowance (uint64_t free_tokens, uint64_t tokens_per_s, uint64_t age_ms)
{
  double demand = RISE_FACTOR * (double)tokens_per_s
                  * ((double)age_ms + AHEAD_MS) / 1000.0;
  double share
      = (double)free_tokens * PERCENT_PER_S / 100.0 * (double)age_ms / 1000.0;
  double tokens = AT_ONCE_TOKENS + demand + share;
  return tokens < (double)free_tokens ? (uint64_t)tokens : free_tokens;
}
