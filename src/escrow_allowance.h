#ifndef ESCROW_ALLOWANCE_H
#define ESCROW_ALLOWANCE_H

/** @file
 *  What a router may use of a lease after its last answered report.  The
 *  router keeps to it, and control computes by it what a router that died
 *  can't have used.  Without I/O. */

#include <stdint.h>

/** Tokens of @p free_tokens, free at the report, that may be used within
 *  @p age_ms of its answer, by a router whose callers asked for
 *  @p tokens_per_s. */
uint64_t escrow_allowance (uint64_t free_tokens, uint64_t tokens_per_s,
                           uint64_t age_ms);

#endif
