#ifndef EDGE_TIMEOUTS_H
#define EDGE_TIMEOUTS_H

/** @file
 *  Ends or repeats requests that have waited too long. */

#include "edge_request.h"

/** Checks the request's deadline, its wait for control, and whether its target
 *  has stalled.  @p looked_ms is the time by which everything that came from
 *  targets has been handled. */
void edge_timeouts_check (struct edge_request *request, uint64_t now_ms,
                          uint64_t looked_ms);

#endif
