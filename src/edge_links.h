#ifndef EDGE_LINKS_H
#define EDGE_LINKS_H

/** @file
 *  A router's connections to the control members: one thread per member that
 *  watches for updates, and one thread for lease calls.  Their results are
 *  passed to the loop's thread, which calls the functions below. */

#include "edge.h"

/** Connects to @p members ("A.B.C.D:PORT", ended by NULL). */
struct edge_links *edge_links_create (struct edge *edge,
                                      const char *const *members);
/** Returns the lease tokens that no request holds; waits @p wait_ms at most
 *  for control. */
void edge_links_return_leases (struct edge_links *links, uint32_t wait_ms);
/** Stops all threads; waits for the calls in progress.  NULL is allowed. */
void edge_links_destroy (struct edge_links *links);
/** Replaces the members that come from the settings. */
void edge_links_set_members (struct edge_links *links,
                             const char *const *members);
/** Returns when a control member last answered a watch call, in milliseconds;
 *  0: never. */
uint64_t edge_links_last_answer_ms (const struct edge_links *links);
/** Applies received updates and starts a lease call that is due; called once
 *  per loop iteration. */
void edge_links_run (struct edge_links *links, uint64_t now_ms);

#endif
