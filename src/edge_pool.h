#ifndef EDGE_POOL_H
#define EDGE_POOL_H

/** @file
 *  The connections to targets that are kept for later requests.  Those of one
 *  target can go silent together, without a reset, while new ones work; so
 *  after one proved silent, no older one of the target is used again. */

#include <stdint.h>

#include "edge_request.h"

/** Notes that the request's target sends nothing on the connection of the
 *  present attempt.  If the connection was kept from an earlier request, or
 *  had brought a part of the response, later requests to the target use a new
 *  pool. */
void edge_pool_note_silence (struct edge_request *request);
/** The same at the deadline of the request, which may be too short to say
 *  anything. */
void edge_pool_note_deadline (struct edge_request *request, uint64_t now_ms);

#endif
