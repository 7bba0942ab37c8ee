#ifndef EDGE_SUSPICION_H
#define EDGE_SUSPICION_H

/** @file
 *  What a request's attempts tell the quarantine, and what the quarantine says
 *  of the request. */

#include "edge_request.h"

/** Returns why the request must be rejected, and stores for how long, in
 *  milliseconds; NULL if it needn't. */
const char *edge_suspicion_find_block (struct edge_request *request,
                                       uint64_t *left_ms);
/** Returns whether the request may be sent; one whose block is over may only
 *  if it is this router's turn to try it. */
bool edge_suspicion_may_send (struct edge_request *request);
/** Lets the request wait for the answer to whether this router may try it.
 *  Returns false when it should be rejected instead. */
bool edge_suspicion_await_trial (struct edge_request *request);
/** Suspects the parts of the prompt of a request whose attempt was lost, if
 * the target's process turns out to have ended, and the request itself if that
 * was before the response or when it had just begun.  A target or path that
 * went silent is no crash of a process. */
void edge_suspicion_note_lost (struct edge_request *request);
/** Clears a request with a complete response of suspicion; a successful one
 *  also clears the parts of its prompt.  A response that ends with its
 *  connection may have been cut off, and clears nothing. */
void edge_suspicion_note_complete (struct edge_request *request,
                                   bool is_success);

#endif
