#ifndef ESCROW_ALLOWANCE_H
#define ESCROW_ALLOWANCE_H

/** @file
 *  Upper bound of the tokens that a router may use of a lease since its last
 *  answered report.  The router enforces it; control uses the same bound to
 *  compute what a crashed router can't have used.  No I/O. */

#include <stdint.h>

/** Time without an answer, in ms, in which a router may use only what its last
 *  report announced. */
#define ESCROW_SILENCE_MS 2000

/** Tokens that a router may use within @p age_ms of the answer to its report.
 *  @p free_tokens were free at that report, which announced the use of
 *  @p ahead_tokens, and @p tokens_per_s is the demand of its callers. */
uint64_t escrow_allowance (uint64_t free_tokens, uint64_t ahead_tokens,
                           uint64_t tokens_per_s, uint64_t age_ms);

#endif
