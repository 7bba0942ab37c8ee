#ifndef RETRY_H
#define RETRY_H

/** @file
 *  Whether a failed attempt may be sent again, and the budget that bounds
 *  retries to a share of the requests.  A core; thread-safe by atomics. */

#include <stdbool.h>
#include <stdint.h>

/** How far an attempt got. */
enum retry_progress
{
  /** Proven unsent: no connection was made. */
  RETRY_UNSENT,
  /** The target refused it and says that it did not run. */
  RETRY_REFUSED,
  /** Sent, no byte of the answer went to the caller. */
  RETRY_SENT,
  /** Bytes went to the caller. */
  RETRY_RESPONSE_STARTED
};

/** What to do with a failed attempt. */
enum retry_decision
{
  RETRY_AGAIN,
  /** Give up; the request was certainly not run. */
  RETRY_STOP_NOT_RUN,
  /** Give up; it may have run. */
  RETRY_STOP_UNKNOWN
};

/** Tokens that requests earn and retries spend. */
struct retry_budget;

/** Makes a budget in which each request earns @p percent of a retry, kept up
 *  to @p burst retries. */
struct retry_budget *retry_budget_create (uint32_t percent, uint32_t burst);
/** Frees it. */
void retry_budget_destroy (struct retry_budget *budget);
/** Counts a first attempt. */
void retry_budget_earn (struct retry_budget *budget);
/** Decides after a failed attempt number @p attempt (from 1), with
 *  @p left_ms to the deadline.  @p progress is the furthest that any attempt
 *  of the request got: an earlier one that was sent may have run.
 *  RETRY_AGAIN spends from the budget, but for RETRY_UNSENT, which loads no
 *  target. */
enum retry_decision retry_decide (struct retry_budget *budget,
                                  enum retry_progress progress,
                                  bool idempotent, uint32_t attempt,
                                  uint32_t left_ms);

#endif
