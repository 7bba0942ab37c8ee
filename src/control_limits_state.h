#ifndef CONTROL_LIMITS_STATE_H
#define CONTROL_LIMITS_STATE_H

/** @file
 *  State of control_limits, for its own source files. */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "control_bucket.h"
#include "wire_control.h"

/** What is known of one target. */
struct control_limited_target
{
  char *target;
  uint64_t born_ms;
  bool is_limited;
  /** Times of the last responses that named the limit, and that ended it. */
  uint64_t seen_ms;
  uint64_t ended_ms;
  struct control_bucket bucket;
  /** Time of the last permit. */
  uint64_t granted_ms;
  /** Times until which requests of each priority lack permits. */
  uint64_t short_until_ms[CONTROL_PRIORITIES];
};

struct control_limits
{
  uint64_t version;
  /** Time that has passed by the commands, which never goes back, and the wall
   *  time of the last command. */
  uint64_t clock_ms;
  uint64_t wall_ms;
  /** struct control_limited_target, in the order of the targets' names. */
  GPtrArray *limits;
};

/** Adds a target that is not known yet; when there are too many, it takes the
 *  place of the one whose last statement is the oldest. */
struct control_limited_target *
control_limits_add (struct control_limits *limits, const char *target,
                    uint64_t rate_mrps);

#endif
