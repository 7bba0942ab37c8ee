#ifndef PICK_ESTIMATE_H
#define PICK_ESTIMATE_H

/** @file
 *  Load of a target as one router estimates it, and whether a request may be
 *  sent there. */

#include <stdbool.h>
#include <stdint.h>

#include "pick.h"

/** Whether a target may get a request now. */
enum pick_state
{
  /** Lapsed, drained or failed this request before. */
  PICK_STATE_EXCLUDED,
  /** At its limit, or held after failures. */
  PICK_STATE_FULL,
  PICK_STATE_FREE
};

/** Requests at the target: reported ones plus the change of the own since,
 *  at least the own ones. */
uint32_t pick_estimate_requests (const struct registry_target *target);
/** Load per slot and weight, 1.0 when all slots are taken. */
double pick_estimate_load (const struct registry_target *target);
/** The same from the last report alone. */
double pick_reported_load (const struct registry_target *target);
/** State of the target for the request. */
enum pick_state pick_state_of (const struct registry_target *target,
                               const struct pick_request *request);

#endif
