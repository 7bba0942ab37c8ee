#ifndef EDGE_PRESSURE_H
#define EDGE_PRESSURE_H

/** @file
 *  How much of its host's link a router uses, and what it does about callers
 *  when that is too much.
 *
 *  Answers this load: a load balancer spreads connections by a hash, so that
 *  one router of an availability zone gets most of the zone's requests while
 *  its neighbours are nearly idle.  Packets then wait for the busy router's
 *  link, and its requests are late although targets have room.
 *
 *  Above a share of the link the router closes to new connections: it reports
 *  itself as not ready, and ends each connection with its next response, so
 *  that callers connect to other routers.  It goes on to serve what reaches
 * it, and opens again some seconds later, once its load is low.  Does no I/O.
 */

#include <stdbool.h>
#include <stdint.h>

/** Direction of bytes on the link. */
enum edge_pressure_direction
{
  EDGE_PRESSURE_IN,
  EDGE_PRESSURE_OUT
};

/** Bytes assumed for a head with its packets, and for the packets and framing
 *  of one piece of a body. */
#define EDGE_PRESSURE_HEAD_BYTES 700
#define EDGE_PRESSURE_PIECE_BYTES 80

struct edge_pressure;

/** Creates the account of a link that carries @p link_mbps in each direction;
 *  0: unlimited, so that the router never closes. */
struct edge_pressure *edge_pressure_create (double link_mbps);
/** Destroys it; NULL is allowed. */
void edge_pressure_destroy (struct edge_pressure *pressure);
/** Counts bytes that the link carried. */
void edge_pressure_note (struct edge_pressure *pressure,
                         enum edge_pressure_direction direction,
                         uint64_t bytes, uint64_t now_ms);
/** Returns the share of the link in use over the last second, of the busier
 *  direction. */
double edge_pressure_share (const struct edge_pressure *pressure,
                            uint64_t now_ms);
/** Updates whether the router is open to new connections.  Returns whether
 *  that changed. */
bool edge_pressure_update (struct edge_pressure *pressure, uint64_t now_ms);
/** Returns whether the router is open to new connections. */
bool edge_pressure_is_open (const struct edge_pressure *pressure);

#endif
