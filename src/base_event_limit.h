#ifndef BASE_EVENT_LIMIT_H
#define BASE_EVENT_LIMIT_H

/** @file
 *  Rate limit of log lines for each event, so that a burst of one event
 *  doesn't displace the others.  Does no I/O. */

#include <stdbool.h>
#include <stdint.h>

/** Maximum number of lines of one event that are logged in a second. */
#define BASE_EVENT_LIMIT_LINES 500

struct base_event_limit;

/** Creates a limit with no lines counted. */
struct base_event_limit *base_event_limit_create (void);
/** Frees the limit. */
void base_event_limit_destroy (struct base_event_limit *limit);
/** Whether @p line, whose first word is the name of the event, may be logged
 *  in @p second; otherwise it is counted as suppressed. */
bool base_event_limit_allow (struct base_event_limit *limit, const char *line,
                             int64_t second);
/** Calls @p report for each event with lines that were suppressed before
 *  @p second, and sets its count back to 0. */
void base_event_limit_report (struct base_event_limit *limit, int64_t second,
                              void (*report) (void *context, const char *event,
                                              uint64_t lines),
                              void *context);

#endif
