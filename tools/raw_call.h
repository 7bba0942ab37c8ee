#ifndef RAW_CALL_H
#define RAW_CALL_H

/** @file
 *  Sends bytes on a TCP connection unchanged, for HTTP requests that no HTTP
 *  library would send. */

#include <stdbool.h>
#include <stdint.h>

/** What the server sent back. */
struct raw_reply
{
  /** All bytes received; freed with g_free. */
  char *text;
  /** Status of the first answer; 0 when there was none. */
  uint32_t status;
  /** Number of answers. */
  uint32_t answers;
  /** Whether the server closed the connection. */
  bool closed;
};

/** Sends @p request to an IPv4 address and reads until the server closes the
 *  connection, or for @p wait_ms; aborts when it can't connect or send. */
struct raw_reply raw_call (const char *address, uint16_t port,
                           const char *request, uint32_t wait_ms);

#endif
