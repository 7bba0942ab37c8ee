#ifndef EDGE_INCARNATION_H
#define EDGE_INCARNATION_H

/** @file
 *  Incarnation number of a router process.  It grows with each restart, so
 *  that control can reject a delayed call of a previous incarnation.  Does no
 *  I/O. */

#include <stdbool.h>
#include <stdint.h>

#include "wire_control.h"

/** The incarnation of this router process. */
struct edge_incarnation
{
  uint64_t number;
  /** Control accepted a lease call of this incarnation. */
  bool is_accepted;
};

/** Derives the number from the time of day; @p random distinguishes processes
 *  that start within one millisecond. */
void edge_incarnation_begin (struct edge_incarnation *self, uint64_t wall_ms,
                             uint64_t random);
/** Handles the result of a lease call.  Returns false when the result grants
 *  nothing.  If control fenced off this incarnation before it accepted any
 *  call of it (the clock was set back before the restart), takes a number
 *  above the previous incarnation's. */
bool
edge_incarnation_handle_result (struct edge_incarnation *self,
                                const struct control_lease_result *result);

#endif
