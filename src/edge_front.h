#ifndef EDGE_FRONT_H
#define EDGE_FRONT_H

/** @file
 *  The HTTP servers of a router, run by its event loop: one for callers, one
 *  for readiness checks. */

#include "edge.h"

struct edge_caller;

/** Starts both servers.  Returns NULL when an address can't be bound. */
struct edge_front *edge_front_create (struct edge *edge);
/** Stops both servers; no request may be open.  NULL is allowed. */
void edge_front_destroy (struct edge_front *front);
/** Marks the server for callers as due because a response has data to send;
 *  the next edge_front_run then serves it even if no socket is ready. */
void edge_front_schedule (struct edge_front *front);
/** Closes connections that hold a body that doesn't move; called about once a
 *  second. */
void edge_front_check (struct edge_front *front);
/** Sets the bytes of an answer that are held for a caller, which may be NULL
 *  when it has left.  Returns whether more of the answer may be read. */
bool edge_front_hold (struct edge_front *front, struct edge_caller *caller,
                      uint64_t bytes);
/** The body of a request is not held any more. */
void edge_front_release_body (struct edge_front *front,
                              struct edge_caller *caller);
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
