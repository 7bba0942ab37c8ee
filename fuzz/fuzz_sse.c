/** @file
 *  Fuzzes the reader of server-sent events: the events must not depend on the
 *  sizes of the pieces in which the stream arrives. */

#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "http_sse.h"

#define LIMIT_BYTES 512

/** The fuzz target, as libFuzzer calls it. */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t bytes);

static void
collect_event (void *context, const char *data, size_t bytes)
{
  GString *events = context;
  if (bytes > LIMIT_BYTES)
    abort ();
  g_string_append_len (events, data, (gssize)bytes);
  g_string_append_c (events, '\0');
}

/* Returns the events of a stream that arrives in pieces of @p piece bytes. */
static GString *
read_events (const char *data, size_t bytes, size_t piece_bytes)
{
  GString *events = g_string_new (NULL);
  struct http_sse *sse = http_sse_create (LIMIT_BYTES, collect_event, events);
  for (size_t at = 0; at < bytes; at += piece_bytes)
    http_sse_feed (sse, data + at, MIN (piece_bytes, bytes - at));
  http_sse_destroy (sse);
  return events;
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t bytes)
{
  if (bytes < 1)
    return 0;
  size_t piece_bytes = 1 + data[0] % 16;
  GString *whole = read_events ((const char *)data + 1, bytes - 1, bytes);
  GString *pieces
      = read_events ((const char *)data + 1, bytes - 1, piece_bytes);
  if (!g_string_equal (whole, pieces))
    abort ();
  g_string_free (whole, TRUE);
  g_string_free (pieces, TRUE);
  return 0;
}
