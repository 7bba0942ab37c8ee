#ifndef HTTP_OVERHEAD_H
#define HTTP_OVERHEAD_H

/** @file
 *  Finds responses of which much more is received than their content: libcurl
 *  skips chunk extensions without a limit and without telling. */

#include <stdbool.h>
#include <stdint.h>

/** What was received on a response's connection. */
struct http_overhead
{
  bool has_base;
  /** Bytes that the connection had received before the body. */
  uint64_t base_bytes;
  /** Time and content at the last look. */
  uint64_t looked_ms;
  uint64_t content_bytes;
};

/** Notes what the connection @p fd has received so far; called when the
 *  head of the response is complete. */
void http_overhead_begin (struct http_overhead *overhead, int fd,
                          uint64_t now_ms);
/** Returns whether the response, of which @p content_bytes were received, has
 *  too many bytes besides.  Looks at the connection only from time to time;
 *  where the system doesn't count its bytes, or @p fd is -1, returns false. */
bool http_overhead_is_excessive (struct http_overhead *overhead, int fd,
                                 uint64_t content_bytes, uint64_t now_ms);

#endif
