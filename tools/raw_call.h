#ifndef RAW_CALL_H
#define RAW_CALL_H

/** @file
 *  Bytes sent on a connection as they are, for requests that no HTTP library
 *  would send. */

#include <stdbool.h>
#include <stdint.h>

/** What came back. */
struct raw_reply
{
  /** All bytes; freed with g_free. */
  char *text;
  /** Status of the first answer; 0 when there was none. */
  uint32_t status;
  /** Answers that came. */
  uint32_t answers;
  /** Whether the server closed the connection. */
  bool closed;
};

/** Sends @p request to an IPv4 address and reads until the server closes, or
 * for
 *  @p wait_ms. */
struct raw_reply raw_call (const char *address, uint16_t port,
                           const char *request, uint32_t wait_ms);

#endif
