#ifndef RETRY_H
#define RETRY_H

/** @file
 *  Decides whether a failed attempt may be repeated, under a budget that
 *  limits retries to a share of the requests.  No I/O; thread-safe by
 *  atomics. */

#include <stdbool.h>
#include <stdint.h>

/** How far an attempt had come when it failed. */
enum retry_progress
{
  /** Certainly not sent: no connection was made. */
  RETRY_UNSENT,
  /** The target refused it and stated that it was not run. */
  RETRY_REFUSED,
  /** Sent, but no byte of the answer was forwarded to the caller. */
  RETRY_SENT,
  /** Part of the answer was forwarded to the caller. */
  RETRY_RESPONSE_STARTED
};

/** Decision on a failed attempt. */
enum retry_decision
{
  RETRY_AGAIN,
  /** Give up; the request was certainly not run. */
  RETRY_STOP_NOT_RUN,
  /** Give up; it may have run. */
  RETRY_STOP_UNKNOWN
};

/** Token bucket that first attempts fill and retries drain. */
struct retry_budget;

/** Creates a budget to which each request adds @p percent of a retry; it
 *  starts full and holds up to @p burst retries. */
struct retry_budget *retry_budget_create (uint32_t percent, uint32_t burst);
/** Frees the budget. */
void retry_budget_destroy (struct retry_budget *budget);
/** Credits the budget for a first attempt. */
void retry_budget_earn (struct retry_budget *budget);
/** Decides whether to repeat after failed attempt number @p attempt (from
 *  1), with @p remaining_ms left until the deadline.  @p progress is the
 *  furthest that any attempt of the request came, since an earlier attempt
 *  that was sent may have run.  RETRY_AGAIN draws on the budget, except for
 *  RETRY_UNSENT, which puts no load on a target. */
enum retry_decision retry_decide (struct retry_budget *budget,
                                  enum retry_progress progress,
                                  bool idempotent, uint32_t attempt,
                                  uint32_t remaining_ms);

#endif
