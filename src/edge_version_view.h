#ifndef EDGE_VERSION_VIEW_H
#define EDGE_VERSION_VIEW_H

/** @file
 *  Decides which targets may continue a stream, from what a router knows of
 *  targets and of streams, and how fresh that is.  Does no I/O. */

#include "edge_streams.h"
#include "edge_targets.h"

/** What a router knows at a time. */
struct edge_version_view
{
  struct edge_targets *targets;
  struct edge_streams *streams;
  /** Time since the latest watch call that a control member answered was sent,
   *  in milliseconds. */
  uint64_t age_ms;
  uint64_t now_ms;
};

/** Returns whether the target's announcement surely holds for the process that
 *  serves under its name now. */
bool edge_version_view_is_certain (const struct edge_version_view *view,
                                   const struct edge_target *target);
/** Looks up the build that began @p stream of @p service; the stream is 0 when
 *  its caller doesn't name it.  Sets @p build, to 0 when that is unknown.
 *  Returns false while members are asked. */
bool edge_version_view_look_up (const struct edge_version_view *view,
                                uint64_t stream, const char *service,
                                uint64_t *build);

#endif
