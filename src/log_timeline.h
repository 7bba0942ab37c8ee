#ifndef LOG_TIMELINE_H
#define LOG_TIMELINE_H

/** @file
 *  Timeline of one request from the logs of several processes: the lines of
 *  the request, and those about the routers, targets and client accounts that
 *  it depended on at the time.  Does no I/O. */

#include <stdbool.h>

#include <glib.h>

struct log_timeline;

/** Creates an empty timeline for the request with this id. */
struct log_timeline *log_timeline_create (const char *request_id);
/** Frees the timeline; NULL is allowed. */
void log_timeline_destroy (struct log_timeline *timeline);
/** First pass, called for each line: collects the hosts, accounts, targets and
 *  times from the lines of the request. */
void log_timeline_scan (struct log_timeline *timeline, const char *text);
/** Second pass, called for each line: keeps the lines that concern the
 *  request. */
void log_timeline_collect (struct log_timeline *timeline, const char *text);
/** Whether the first pass found a line of the request. */
bool log_timeline_is_found (const struct log_timeline *timeline);
/** Appends the kept lines, ordered by time, and the outcome of the request to
 *  @p text. */
void log_timeline_print (struct log_timeline *timeline, GString *text);

#endif
