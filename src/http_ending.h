#ifndef HTTP_ENDING_H
#define HTTP_ENDING_H

/** @file
 *  Decides whether a target's HTTP response is whole or broke off.  Does no
 *  I/O. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** What tells where a response's body ends. */
enum http_body_end
{
  /** The end of the connection. */
  HTTP_BODY_END_CONNECTION,
  HTTP_BODY_END_LENGTH,
  HTTP_BODY_END_CHUNKS
};

/** What is known of a response when its transfer has ended. */
struct http_ending
{
  /** The head of the final response is complete. */
  bool has_head;
  /** The transfer ended as the framing of the body demands: by its length, by
   *  the last chunk and the trailers, or by an orderly end of the
   *  connection. */
  bool is_framed;
  enum http_body_end body_end;
  /** A part of the request had not reached the target by then. */
  bool is_request_unsent;
  /** The response is a stream of events, and successful. */
  bool is_stream;
  /** The stream continues one of which events were received before. */
  bool is_resumed;
  /** Whole events in this response. */
  uint64_t events;
  /** The response ends inside an event. */
  bool has_partial_event;
  /** The event that marks the end of the stream was received. */
  bool has_last_event;
};

/** Returns the name of a delimiter, for logs. */
const char *http_body_end_name (enum http_body_end end);
/** Updates the delimiter of a response's body from the name of one of its
 *  headers. */
void http_body_end_read (enum http_body_end *end, const char *name,
                         size_t name_bytes);
/** Updates the delimiter of a response's body from its status: some have no
 *  body. */
void http_body_end_read_status (enum http_body_end *end, uint32_t status);
/** Returns how the response broke off, or NULL when it is whole. */
const char *http_ending_fault (const struct http_ending *ending);

#endif
