#ifndef BASE_EVENT_LIMIT_H
#define BASE_EVENT_LIMIT_H

/** @file
 *  Bounds how many lines of one event are written in a second, so that a storm
 *  of one leaves room for the others.  Without I/O. */

#include <stdbool.h>
#include <stdint.h>

/** Lines of one event in a second. */
#define BASE_EVENT_LIMIT_LINES 500

struct base_event_limit;

/** Makes a limit that has seen nothing. */
struct base_event_limit *base_event_limit_create (void);
/** Frees it. */
void base_event_limit_destroy (struct base_event_limit *limit);
/** Whether a line whose first word is the event may be written in second
 *  @p second; else it counts as left out. */
bool base_event_limit_allow (struct base_event_limit *limit, const char *line,
                             int64_t second);
/** Calls @p tell for each event of which lines were left out before
 *  @p second, once. */
void base_event_limit_report (struct base_event_limit *limit, int64_t second,
                              void (*tell) (void *context, const char *event,
                                            uint64_t lines),
                              void *context);

#endif
