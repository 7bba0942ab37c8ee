#ifndef EDGE_START_H
#define EDGE_START_H

/** @file
 *  Whether a request waits for the first configuration after a router's start.
 *
 *  Load pattern: all hosts get power back at the same time, and with them
 *  their callers.  Until control has a leader and its document has arrived,
 *  about half a second, no router can serve a request.  Callers that are sent
 *  away meet the same at every other router, and give up after their second
 *  try.  Does no I/O. */

#include <stdbool.h>
#include <stdint.h>

/** A request, and a router without a configuration; times in milliseconds. */
struct edge_start
{
  /** Longest time that a request waits; 0: none waits. */
  uint32_t wait_max_ms;
  uint64_t arrived_ms;
  /** Time that the caller waits for a response; 0 when it doesn't say. */
  uint32_t deadline_ms;
  /** Requests that wait already. */
  uint32_t waiting;
};

/** Returns whether the request may wait, or go on waiting. */
bool edge_start_may_wait (const struct edge_start *start, uint64_t now_ms);

#endif
