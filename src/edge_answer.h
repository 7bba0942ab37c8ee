#ifndef EDGE_ANSWER_H
#define EDGE_ANSWER_H

/** @file
 *  Final answers to callers. */

#include "edge_request.h"

/** Answers with a status of the router's own and ends the request.  The
 *  statuses 429 and 503 say that it has not run; @p retry_after_ms 0: no
 *  Retry-After. */
void edge_answer_refuse (struct edge_request *request, uint32_t status,
                         uint32_t retry_after_ms, const char *reason);
/** Passes a target's whole answer on and ends the request. */
void edge_answer_whole (struct edge_request *request);
/** Sends the head of a stream. */
void edge_answer_start (struct edge_request *request);
/** Ends a stream, whole or cut, and the request. */
void edge_answer_end (struct edge_request *request, bool cut,
                      const char *reason);

#endif
