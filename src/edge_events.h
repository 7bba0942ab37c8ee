#ifndef EDGE_EVENTS_H
#define EDGE_EVENTS_H

/** @file
 *  Splits a stream into whole events, byte by byte as they came, and drops
 *  events that were passed on before.  Without I/O. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

struct edge_events;

/** Makes a splitter; events of more than @p limit_bytes are refused.
 *  @p after_id is the id of the last event that the caller has; -1: none. */
struct edge_events *edge_events_create (size_t limit_bytes, int64_t after_id);
/** Frees it; NULL is allowed. */
void edge_events_destroy (struct edge_events *events);
/** Takes bytes and appends whole new events to @p out; the number of events,
 *  or -1 when an event is too long. */
int edge_events_feed (struct edge_events *events, const char *data,
                      size_t bytes, GString *out);
/** A new run goes on after the last whole event: drops the rest of a broken
 *  one. */
void edge_events_resume (struct edge_events *events);
/** Whether part of an event is held. */
bool edge_events_partial (const struct edge_events *events);
/** Id of the last event passed on; -1: none. */
int64_t edge_events_last_id (const struct edge_events *events);

#endif
