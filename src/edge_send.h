#ifndef EDGE_SEND_H
#define EDGE_SEND_H

/** @file
 *  Chooses a target for a request, sends it, and decides what to do when an
 *  attempt fails. */

#include "edge_request.h"

/** Chooses a target and sends the request; ends the request with an error when
 *  no target is available. */
void edge_send_request (struct edge_request *request);
/** Rejects a request for which there is no permit or trial. */
void edge_send_reject_unpermitted (struct edge_request *request);
/** Rejects a request whose targets have no room. */
void edge_send_reject_full (struct edge_request *request);
/** Handles the end of an attempt. */
void edge_send_handle_attempt_end (struct edge_request *request,
                                   enum edge_attempt_outcome outcome);
/** Retries at another target instead of a stalled one, if time and the retry
 *  budget allow it; otherwise keeps waiting. */
void edge_send_handle_stall (struct edge_request *request, const char *reason);
/** Gives up a request that crashes targets, or whose prompt has a part that
 *  does.  Returns whether it is such a request. */
bool edge_send_is_blocked (struct edge_request *request);
/** Returns whether the request may be sent again after an attempt that may
 *  have run. */
bool edge_send_may_repeat (struct edge_request *request);

#endif
