#ifndef PICK_ESTIMATE_H
#define PICK_ESTIMATE_H

/** @file
 *  A router's estimate of a target's load, and whether the target may be
 *  sent a request. */

#include <stdbool.h>
#include <stdint.h>

#include "pick.h"

/** Whether a target may be sent a request now. */
enum pick_state
{
  /** The target's record expired, the target is drained, or it already failed
   *  this request. */
  PICK_STATE_EXCLUDED,
  /** The target is at its limit, or in backoff after failures. */
  PICK_STATE_FULL,
  PICK_STATE_FREE
};

/** Estimates the requests at the target: the reported number plus the
 *  change in this router's own requests since the report, but at least its
 *  own. */
uint32_t pick_estimate_requests (const struct registry_target *target);
/** Returns the estimated load, 1.0 when all slots are in use, scaled by the
 *  target's weight. */
double pick_estimate_load (const struct registry_target *target);
/** Returns the load from the last report alone, in the same scale. */
double pick_reported_load (const struct registry_target *target);
/** Returns the target's state for a request. */
enum pick_state pick_state_of (const struct registry_target *target,
                               const struct pick_request *request);

#endif
