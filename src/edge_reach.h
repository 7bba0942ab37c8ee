#ifndef EDGE_REACH_H
#define EDGE_REACH_H

/** @file
 *  Keeps what a router knows of its ways to targets (struct edge_path) up to
 *  date, and chooses the routers that pass connections on. */

#include "edge.h"
#include "edge_peers.h"

struct edge_request;

/** Notes the end of an attempt to connect to the target; @p error is 0 when a
 *  connection was made. */
void edge_reach_note_connection (struct edge *edge, struct edge_target *target,
                                 int error);
/** Notes the same of a connection that @p peer (interned) was to pass on. */
void edge_reach_note_relayed (struct edge *edge, struct edge_target *target,
                              const char *peer, enum edge_path_result result);
/** Notes what the head of a response of the target says of it; @p request_id
 * is for the log. */
void edge_reach_note_head (struct edge *edge, struct edge_target *target,
                           const struct edge_target_response *response,
                           const char *request_id);
/** Notes that the response of a request that was sent to the target directly
 *  is overdue. */
void edge_reach_suspect (struct edge *edge, struct edge_target *target);
/** Returns whether requests to the target have to be passed on by another
 *  router. */
bool edge_reach_needs_relay (const struct edge *edge,
                             const struct edge_target *target);
/** Chooses the router that passes a connection to the target on, for a probe
 * or for @p request, whose body may go to some regions only; NULL when there
 * is none. */
const struct edge_peer *
edge_reach_choose_peer (struct edge *edge, const struct edge_target *target,
                        const struct edge_request *request, uint64_t now_ms);
/** Starts the probes that are due. */
void edge_reach_run (struct edge *edge, uint64_t now_ms);

#endif
