#ifndef EDGE_FRONT_H
#define EDGE_FRONT_H

/** @file
 *  The HTTP servers of a router, on its loop's thread: callers, and the
 *  readiness check. */

#include "edge.h"

/** Listens; NULL when it can't. */
struct edge_front *edge_front_create (struct edge *edge);
/** Closes everything; no request may be open. */
void edge_front_destroy (struct edge_front *front);
/** An answer has more to send. */
void edge_front_touch (struct edge_front *front);
/** Calls whose answers are not sent in full yet. */
uint32_t edge_front_calls (const struct edge_front *front);
/** Sends and reads what can be; called once a round. */
void edge_front_run (struct edge_front *front);
/** Longest wait until it has something to do, in milliseconds. */
uint32_t edge_front_wait_ms (struct edge_front *front);

#endif
