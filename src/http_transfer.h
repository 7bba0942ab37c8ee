#ifndef HTTP_TRANSFER_H
#define HTTP_TRANSFER_H

/** @file
 *  libcurl options common to all transfers to targets. */

#include <stdbool.h>
#include <stdint.h>

#include <curl/curl.h>

/** Timeouts of a transfer, in milliseconds. */
struct http_transfer_limits
{
  uint32_t connect_timeout_ms;
  /** Timeout of the whole transfer. */
  uint32_t timeout_ms;
};

/** Sets URL, protocol (HTTP/1.1) and timeouts.  The path is sent as it is;
 *  no proxy and no signals are used.  An open connection is reused only when
 *  @p reuse is true. */
void http_transfer_configure (CURL *easy, const char *url,
                              const struct http_transfer_limits *limits,
                              bool reuse);
/** Sets the callbacks: @p on_header receives each header line, @p on_body each
 *  part of the body, of at most @p buffer_bytes.  Both receive @p context,
 *  which also becomes the transfer's private pointer. */
void http_transfer_set_callbacks (CURL *easy, void *context,
                                  curl_write_callback on_header,
                                  curl_write_callback on_body,
                                  long buffer_bytes);

/** Returns whether libcurl has not sent all of a request's body. */
bool http_transfer_is_body_unsent (CURL *easy, uint64_t body_bytes);
/** Adds a line of @p line_bytes to the size of a response's trailer.  Returns
 *  false when that is over its limit: the header callback must then return 0,
 *  since libcurl keeps trailer fields without a limit. */
bool http_trailer_add (uint32_t *trailer_bytes, size_t line_bytes);

#endif
