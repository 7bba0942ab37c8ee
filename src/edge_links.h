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
/** Returns to control the lease tokens that no request holds; waits at most
 *  @p wait_ms for it. */
void edge_links_return_leases (struct edge_links *links, uint32_t wait_ms);
/** Stops all threads after the calls in progress have ended.  NULL is
 *  allowed. */
void edge_links_destroy (struct edge_links *links);
/** Replaces the set of configured members.  A member that is not configured
 *  stays connected only while other members list it. */
void edge_links_set_members (struct edge_links *links,
                             const char *const *members);
/** Returns the time at which a control member last answered a watch call, in
 *  milliseconds, or 0 when none did yet. */
uint64_t edge_links_last_answer_ms (const struct edge_links *links);
/** Returns how old what the router knows of targets may be, in milliseconds:
 *  the time since the latest watch call that was answered was sent.  The
 * answer itself may have waited for this process. */
uint64_t edge_links_view_age_ms (const struct edge_links *links);
/** Applies received updates and starts a lease call that is due; called once
 *  per loop iteration. */
void edge_links_run (struct edge_links *links, uint64_t now_ms);

#endif
