#include "escrow_allowance.h"

/* Percent that may be used at once, between two reports. */
#define AT_ONCE_PERCENT 20
/* Tokens that may be used at once in any case: those of a large prompt. */
#define AT_ONCE_TOKENS 20000
/* Time after which all may be used, in milliseconds: as long as a router may
   be cut off from control on an ordinary day. */
#define WHOLE_AFTER_MS 8000

static uint64_t
growing_share (uint64_t free_tokens, uint64_t age_ms)
{
  uint64_t percent_ms
      = (uint64_t)AT_ONCE_PERCENT * WHOLE_AFTER_MS
        + (100 - (uint64_t)AT_ONCE_PERCENT) * age_ms;
  return (uint64_t)((double)free_tokens * (double)percent_ms
                    / (100.0 * WHOLE_AFTER_MS));
}

uint64_t
escrow_allowance (uint64_t free_tokens, uint64_t age_ms)
{
  if (age_ms >= WHOLE_AFTER_MS || free_tokens <= AT_ONCE_TOKENS)
    return free_tokens;
  uint64_t share = growing_share (free_tokens, age_ms);
  return share > AT_ONCE_TOKENS ? share : AT_ONCE_TOKENS;
}

uint64_t
escrow_allowance_needs (uint64_t tokens)
{
  return tokens <= AT_ONCE_TOKENS ? tokens
                                  : tokens * 100 / AT_ONCE_PERCENT + 1;
}
