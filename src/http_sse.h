#ifndef HTTP_SSE_H
#define HTTP_SSE_H

/** @file
 *  Incremental reader of server-sent events with bounded memory. */

#include <stdbool.h>
#include <stddef.h>

struct http_sse;

/** Makes a reader that calls @p event with the data of each event (lines
 *  joined by line feeds, not terminated).  Events without data are skipped.
 *  An event may hold at most @p limit_bytes. */
struct http_sse *
http_sse_create (size_t limit_bytes,
                 void (*event) (void *context, const char *data, size_t bytes),
                 void *context);
/** Frees it; NULL is allowed. */
void http_sse_destroy (struct http_sse *sse);
/** Reads the next bytes of the stream.  0, or -1 for good once an event is
 *  larger than the limit. */
int http_sse_feed (struct http_sse *sse, const char *data, size_t bytes);
/** Whether the stream stopped inside an event. */
bool http_sse_is_partial (const struct http_sse *sse);

#endif
