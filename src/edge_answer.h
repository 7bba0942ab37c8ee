#ifndef EDGE_ANSWER_H
#define EDGE_ANSWER_H

/** @file
 *  Sends responses to callers and ends their requests. */

#include "edge_request.h"

/** Sends an error response made by the router and ends the request.  Status
 *  429 or 503 means that the request did not run; @p retry_after_ms 0 omits
 *  the Retry-After header. */
void edge_answer_refuse (struct edge_request *request, uint32_t status,
                         uint32_t retry_after_ms, const char *reason);
/** Forwards the target's complete response and ends the request. */
void edge_answer_complete (struct edge_request *request);
/** Sends the status and headers of a streamed response. */
void edge_answer_start_stream (struct edge_request *request);
/** Ends the stream and the request; @p cut aborts the connection, so that the
 *  caller sees that the stream is incomplete.  @p reason appears in the log
 *  only. */
void edge_answer_end_stream (struct edge_request *request, bool cut,
                             const char *reason);

#endif
