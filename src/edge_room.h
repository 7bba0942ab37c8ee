#ifndef EDGE_ROOM_H
#define EDGE_ROOM_H

/** @file
 *  Holds requests back while their targets take only few at a time
 *  (edge_pacing.h): a short queue by priority, and a rejection at once where
 *  its turn would come too late. */

#include "edge_request.h"

/** Whether a request may be sent to a target now. */
enum edge_room
{
  EDGE_ROOM_FREE,
  /** Too many of this router's requests run there. */
  EDGE_ROOM_FULL,
  /** The target wants no requests for a while. */
  EDGE_ROOM_RESTS
};

/** Returns whether the request may be sent to the target. */
enum edge_room edge_room_find (const struct edge_request *request,
                               struct edge_target *target, uint64_t now_ms);
/** Counts a request that is sent to a target. */
void edge_room_note_sent (const struct edge_request *request);
/** Notes that the target turned the request away for want of room. */
void edge_room_note_rejection (const struct edge_request *request);
/** Has the request wait until a request of its service ends.  Returns false
 *  when its turn would come too late. */
bool edge_room_await (struct edge_request *request);
/** Returns whether the request has waited too long. */
bool edge_room_is_overdue (const struct edge_request *request,
                           uint64_t now_ms);
/** Returns when the rejected caller may be served, in milliseconds. */
uint32_t edge_room_retry_after_ms (const struct edge_request *request);
/** Sends requests that wait, if others have ended; called once per loop
 *  iteration. */
void edge_room_run (struct edge *edge, uint64_t now_ms);

#endif
