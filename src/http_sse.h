#ifndef HTTP_SSE_H
#define HTTP_SSE_H

/** @file
 *  Incremental parser of server-sent events with bounded memory. */

#include <stdbool.h>
#include <stddef.h>

struct http_sse;

/** Creates a parser that calls @p event with the data of each event (lines
 *  joined by line feeds, without a terminating NUL).  Events without data are
 *  skipped.  An event may have at most @p limit_bytes. */
struct http_sse *
http_sse_create (size_t limit_bytes,
                 void (*event) (void *context, const char *data, size_t bytes),
                 void *context);
/** Frees the parser; NULL is allowed. */
void http_sse_destroy (struct http_sse *sse);
/** Parses the next bytes of the stream.  Returns 0, or -1 once an event has
 *  exceeded the limit. */
int http_sse_feed (struct http_sse *sse, const char *data, size_t bytes);
/** Whether the bytes so far end inside an event. */
bool http_sse_is_partial (const struct http_sse *sse);

#endif
