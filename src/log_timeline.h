#ifndef LOG_TIMELINE_H
#define LOG_TIMELINE_H

/** @file
 *  What the logs of several processes say about one request: its own lines,
 *  and those about what it depended on at that time.  Without I/O. */

#include <stdbool.h>

#include <glib.h>

struct log_timeline;

/** Makes an empty one for the request with this id. */
struct log_timeline *log_timeline_create (const char *request_id);
/** Frees it; NULL is allowed. */
void log_timeline_destroy (struct log_timeline *timeline);
/** First pass over all lines: finds the request's own. */
void log_timeline_scan (struct log_timeline *timeline, const char *text);
/** Second pass over all lines: keeps those that concern it. */
void log_timeline_collect (struct log_timeline *timeline, const char *text);
/** Whether a line of the request was found. */
bool log_timeline_is_found (const struct log_timeline *timeline);
/** Adds the lines kept, by time, and what became of the request. */
void log_timeline_print (struct log_timeline *timeline, GString *text);

#endif
