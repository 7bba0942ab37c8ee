#ifndef ESCROW_ALLOWANCE_H
#define ESCROW_ALLOWANCE_H

/** @file
 *  What a router may use of a lease after its last answered report.  The
 *  router keeps to it, and control computes by it what a router that died
 *  can't have used.  Without I/O. */

#include <stdint.h>

/** Tokens of @p free_tokens, free at the report, that may be used within
 *  @p age_ms of its answer. */
uint64_t escrow_allowance (uint64_t free_tokens, uint64_t age_ms);
/** The least that must be free for @p tokens to be used at once. */
uint64_t escrow_allowance_needs (uint64_t tokens);

#endif
