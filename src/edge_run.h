#ifndef EDGE_RUN_H
#define EDGE_RUN_H

/** @file
 *  The number of a router's run, higher for a later run, by which control
 * tells a late call of a former run.  Without I/O. */

#include <stdbool.h>
#include <stdint.h>

#include "wire_control.h"

/** A run of this router. */
struct edge_run
{
  uint64_t incarnation;
  /** Whether control has leased to this run. */
  bool is_known;
};

/** Numbers a run that starts at @p wall_ms; @p chance tells runs of one
 *  millisecond apart. */
void edge_run_begin (struct edge_run *run, uint64_t wall_ms, uint64_t chance);
/** Takes the answer of a lease call in; false when it leases nothing.  A run
 *  that control has never leased to, started with its time of day set back,
 *  takes a number above its former run's. */
bool edge_run_take (struct edge_run *run,
                    const struct control_lease_result *result);

#endif
