#ifndef EDGE_FRONT_H
#define EDGE_FRONT_H

/** @file
 *  The HTTP servers of a router, run by its event loop: one for callers, one
 *  for readiness checks. */

#include "edge.h"

/** Starts both servers.  Returns NULL when an address can't be bound. */
struct edge_front *edge_front_create (struct edge *edge);
/** Stops both servers; no request may be open.  NULL is allowed. */
void edge_front_destroy (struct edge_front *front);
/** Marks the server for callers as due because a response has data to send;
 *  the next edge_front_run then serves it even if no socket is ready. */
void edge_front_schedule (struct edge_front *front);
/** Returns the number of HTTP requests whose response was not sent in full
 *  yet. */
uint32_t edge_front_open_requests (const struct edge_front *front);
/** Reads and writes on the sockets that are ready; called once per loop
 *  iteration. */
void edge_front_run (struct edge_front *front);
/** Returns how long the loop may wait before it must call edge_front_run, in
 *  milliseconds. */
uint32_t edge_front_wait_ms (struct edge_front *front);

#endif
