#ifndef EDGE_EVENTS_H
#define EDGE_EVENTS_H

/** @file
 *  Splits a stream of server-sent events into complete events, unchanged, and
 *  drops events that the caller already received.  Does no I/O. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

struct edge_events;

/** Creates a splitter that rejects events longer than @p limit_bytes and drops
 *  events up to the id @p after_id.  With -1 no event is dropped. */
struct edge_events *edge_events_create (size_t limit_bytes, int64_t after_id);
/** Destroys a splitter.  NULL is allowed. */
void edge_events_destroy (struct edge_events *events);
/** Adds received bytes and appends the new complete events to @p out.  Returns
 *  the number of events, or -1 when an event is too long. */
int edge_events_feed (struct edge_events *events, const char *data,
                      size_t bytes, GString *out);
/** Discards an incomplete event, before the stream goes on after the last
 *  complete one. */
void edge_events_discard_partial (struct edge_events *events);
/** Returns whether an incomplete event is buffered. */
bool edge_events_has_partial (const struct edge_events *events);
/** Returns the id of the last event appended, or the initial id before the
 *  first one. */
int64_t edge_events_last_id (const struct edge_events *events);

#endif
