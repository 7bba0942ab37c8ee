#ifndef BASE_EVENT_H
#define BASE_EVENT_H

/** @file
 *  Event log on standard output, with lines "time host event key=value ...".
 *  Lines are buffered and written in batches.  When the reader is too slow,
 *  lines are dropped and counted, so that callers never block. */

#include <stdint.h>

/** Sets the host name of later lines and makes standard output
 *  non-blocking. */
void base_event_open (const char *host);
/** Logs an event; @p format begins with the name of the event.
 *  Thread-safe. */
void base_event (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
/** Writes the buffered lines, as far as the reader accepts them. */
void base_event_flush (void);
/** Number of lines dropped because the buffer was full. */
uint64_t base_event_dropped (void);

#endif
