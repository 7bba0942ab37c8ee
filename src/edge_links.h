#ifndef EDGE_LINKS_H
#define EDGE_LINKS_H

/** @file
 *  A router's links to the control members: one thread a member that waits for
 *  news, one for leases.  News is handed to the loop's thread. */

#include "edge.h"

/** Starts the links to @p members ("A.B.C.D:PORT", ended by NULL). */
struct edge_links *edge_links_create (struct edge *edge,
                                      const char *const *members);
/** Gives back what no request holds, waiting for @p wait_ms at most. */
void edge_links_return (struct edge_links *links, uint32_t wait_ms);
/** Ends all links; waits for the calls under way. */
void edge_links_destroy (struct edge_links *links);
/** Replaces the members that settings name. */
void edge_links_set_members (struct edge_links *links,
                             const char *const *members);
/** When a control member was last heard, in milliseconds; 0: never. */
uint64_t edge_links_heard_ms (const struct edge_links *links);
/** Takes in news and starts calls that are due; once a round. */
void edge_links_round (struct edge_links *links, uint64_t now_ms);

#endif
