#include "http_ending.h"

#include <string.h>

#include <glib.h>

#define LENGTH_HEADER "Content-Length"
#define CODING_HEADER "Transfer-Encoding"
#define STATUS_NO_CONTENT 204
#define STATUS_NOT_MODIFIED 304

const char *
http_body_end_name (enum http_body_end end)
{
  switch (end)
    {
    case HTTP_BODY_END_LENGTH:
      return "length";
    case HTTP_BODY_END_CHUNKS:
      return "chunks";
    case HTTP_BODY_END_CONNECTION:
    default:
      return "connection";
    }
}

static bool
is_name (const char *name, size_t bytes, const char *expected)
{
  return bytes == strlen (expected)
         && g_ascii_strncasecmp (name, expected, bytes) == 0;
}

void
http_body_end_read (enum http_body_end *end, const char *name,
                    size_t name_bytes)
{
  /* Chunks take precedence over a length. */
  if (is_name (name, name_bytes, CODING_HEADER))
    *end = HTTP_BODY_END_CHUNKS;
  else if (is_name (name, name_bytes, LENGTH_HEADER)
           && *end == HTTP_BODY_END_CONNECTION)
    *end = HTTP_BODY_END_LENGTH;
}

void
http_body_end_read_status (enum http_body_end *end, uint32_t status)
{
  if (status == STATUS_NO_CONTENT || status == STATUS_NOT_MODIFIED)
    *end = HTTP_BODY_END_LENGTH;
}

const char *
http_ending_fault (const struct http_ending *ending)
{
  if (!ending->has_head)
    return "the response ended inside its head";
  if (ending->is_stream && ending->has_last_event)
    return NULL;
  if (!ending->is_framed)
    return "the response ended before its body did";
  /* A target that closes its connection with bytes unread resets it, so an end
     that seems orderly may only precede the reset. */
  if (ending->is_request_unsent
      && ending->body_end == HTTP_BODY_END_CONNECTION)
    return "the connection ended before the target had the request";
  if (ending->is_stream && ending->has_partial_event)
    return "the stream ended inside an event";
  /* Where only the connection delimits the body, its end says nothing: a
     stream without any event can't be told from one that broke off. */
  if (ending->is_stream && ending->events == 0 && !ending->is_resumed
      && ending->body_end == HTTP_BODY_END_CONNECTION)
    return "the stream ended before its first event";
  return NULL;
}
