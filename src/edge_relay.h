#ifndef EDGE_RELAY_H
#define EDGE_RELAY_H

/** @file
 *  Passes connections of other routers on to targets that those can't reach
 *  themselves (edge_tunnel.h).  Bytes are passed on unchanged in both
 *  directions; a connection that one side resets is reset on the other.  Only
 *  routers that control knows may ask, and only for targets that this router
 *  would send requests to itself, on its own connections: a connection is
 *  never passed on twice. */

#include "edge.h"

struct edge_relay;

/** Starts to listen.  Returns NULL when the address can't be bound. */
struct edge_relay *edge_relay_create (struct edge *edge, const char *address,
                                      uint16_t port);
/** Closes all connections.  NULL is allowed. */
void edge_relay_destroy (struct edge_relay *relay);
/** Ends connections that took too long to be set up, and frees those that have
 *  ended; called once per loop iteration. */
void edge_relay_run (struct edge_relay *relay, uint64_t now_ms);
/** Number of connections that are passed on. */
uint32_t edge_relay_open (const struct edge_relay *relay);

#endif
