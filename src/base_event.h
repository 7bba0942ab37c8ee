#ifndef BASE_EVENT_H
#define BASE_EVENT_H

/** @file
 *  Structured lines on standard output: "time host event key=value ...".
 *  Lines are gathered and written together; when the reader is slow they are
 *  dropped and counted, so a writer never waits. */

#include <stdint.h>

/** Names the host in every later line and makes standard output
 *  non-blocking. */
void base_event_open (const char *host);
/** Adds a line; @p format begins with the event's name.  Thread-safe. */
void base_event (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
/** Writes what was gathered, as far as the reader takes it. */
void base_event_flush (void);
/** Lines dropped so far. */
uint64_t base_event_dropped (void);

#endif
