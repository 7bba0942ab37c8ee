#ifndef EDGE_INCARNATION_H
#define EDGE_INCARNATION_H

/** @file
 *  The number of a router's run, higher for a later run, by which control
 * tells a late call of a former run.  Without I/O. */

#include <stdbool.h>
#include <stdint.h>

#include "wire_control.h"

/** A run of this router. */
struct edge_incarnation
{
  uint64_t incarnation;
  /** Whether control has leased to this run. */
  bool is_known;
};

/** Numbers a run that starts at @p wall_ms; @p chance tells runs of one
 *  millisecond apart. */
void edge_incarnation_begin (struct edge_incarnation *run, uint64_t wall_ms,
                             uint64_t chance);
/** Takes the answer of a lease call in; false when it leases nothing.  A run
 *  that control has never leased to, started with its time of day set back,
 *  takes a number above its former run's. */
bool
edge_incarnation_handle_result (struct edge_incarnation *run,
                                const struct control_lease_result *result);

#endif
