#ifndef RETRY_H
#define RETRY_H

/** @file
 *  Decides whether a failed attempt may be repeated, under a budget that
 *  limits retries to a share of the requests.  No I/O; thread-safe by
 *  atomics. */

#include <stdbool.h>
#include <stdint.h>

/** Progress that an attempt had made when it failed. */
enum retry_progress
{
  /** The request was certainly not sent, because no connection was made. */
  RETRY_UNSENT,
  /** The target refused the request and reported that it did not run it. */
  RETRY_REFUSED,
  /** The request was sent, but no byte of the response was forwarded to the
   *  caller. */
  RETRY_SENT,
  /** Part of the response was forwarded to the caller. */
  RETRY_RESPONSE_STARTED
};

/** Decision on a failed attempt. */
enum retry_decision
{
  RETRY_AGAIN,
  /** The request must not be repeated; it was certainly not run. */
  RETRY_STOP_NOT_RUN,
  /** The request must not be repeated; it may have run. */
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
