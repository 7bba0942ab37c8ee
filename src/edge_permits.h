#ifndef EDGE_PERMITS_H
#define EDGE_PERMITS_H

/** @file
 *  How a router's requests get permits for limited targets: asks control for
 *  those that wait and those expected soon, and decides which requests wait
 *  and which are rejected. */

#include "edge_request.h"

/** Takes note of what the head of the response says of the target's limit. */
void edge_permits_note_head (struct edge_request *request);
/** Uses a permit if the target is limited.  Returns its limit in requests per
 *  1,000 s, or -1. */
int64_t edge_permits_use (struct edge_request *request,
                          const struct edge_target *target);
/** Returns whether a request waits that control was not asked about. */
bool edge_permits_needs_call (const struct edge *edge);
/** Adds the asks to the call with this sequence number. */
void edge_permits_fill_asks (struct edge *edge, uint64_t sequence,
                             struct control_limit_call *call);
/** Takes over what control granted to a call, which was first sent at
 *  @p called_ms (base_clock_steady_wall_ms), and sends or rejects the requests
 *  that wait, the most urgent first. */
void edge_permits_handle_result (struct edge *edge,
                                 const struct control_router_result *result,
                                 uint64_t called_ms);
/** Lets a request wait for a permit.  Returns false when it should be rejected
 *  instead. */
bool edge_permits_await (struct edge_request *request);
/** Lets a request wait for the answer to whether it may be tried.  Returns
 *  false when it should be rejected instead. */
bool edge_permits_await_trial (struct edge_request *request);
/** Returns whether the request has waited for a permit for too long. */
bool edge_permits_is_overdue (const struct edge_request *request);
/** Returns when the caller of a rejected request may be served, in
 *  milliseconds from now. */
uint32_t edge_permits_retry_after_ms (struct edge_request *request);

#endif
