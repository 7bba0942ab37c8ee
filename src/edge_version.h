#ifndef EDGE_VERSION_H
#define EDGE_VERSION_H

/** @file
 *  Keeps each stream at the software version that began it: targets of several
 *  versions may serve one service, and what two of them write doesn't fit
 *  together. */

#include <stdbool.h>

#include "edge_request.h"

/** Finds the build that began the stream that the request takes up, and the
 *  service of the route that has it.  Returns false when the request waits for
 *  control's answer, or was rejected because the build is unknown or has no
 *  target. */
bool edge_version_find (struct edge_request *request);
/** Returns whether the target may serve the request: always before its first
 *  event, and later if it surely has the build that began the stream. */
bool edge_version_may_serve (const struct edge_request *request,
                             const struct edge_target *target);
/** Returns whether the present attempt may bring its first event: not when its
 *  target was replaced since a stream that has begun was sent there. */
bool edge_version_may_go_on (const struct edge_request *request);
/** Called when an attempt brings its first event.  Binds the request to the
 *  target's build, and notes which build began the stream. */
void edge_version_bind (struct edge_request *request);

#endif
