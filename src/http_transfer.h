#ifndef HTTP_TRANSFER_H
#define HTTP_TRANSFER_H

/** @file
 *  What all transfers to targets have in common. */

#include <stdbool.h>
#include <stdint.h>

#include <curl/curl.h>

/** Limits of a transfer, in milliseconds. */
struct http_transfer_limits
{
  uint32_t connect_timeout_ms;
  uint32_t timeout_ms;
};

/** Sets address, protocol and limits: the path goes out as it is, no proxy and
 *  no signals are used.  A kept connection is used only where @p reuse. */
void http_transfer_configure (CURL *easy, const char *url,
                              const struct http_transfer_limits *limits,
                              bool reuse);
/** Hands each line of the head to @p take_header and each part of the body, of
 *  @p buffer_bytes at most, to @p take_body, both with @p context, which is
 *  also the transfer's private pointer. */
void http_transfer_set_callbacks (CURL *easy, void *context,
                                  curl_write_callback take_header,
                                  curl_write_callback take_body,
                                  long buffer_bytes);

#endif
