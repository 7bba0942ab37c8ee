#ifndef PLATFORM_OUTSIDERS_H
#define PLATFORM_OUTSIDERS_H

/** @file
 *  A crowd of callers that don't stay inside the limits, for tests: each has
 *  one connection, sends what its kind says as fast as the other side takes
 *  it, and leaves the connection open. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <sys/types.h>

/** What each connection of a crowd sends. */
struct platform_outsiders_kind
{
  const char *name;
  /** Method and path of the request. */
  const char *method;
  const char *path;
  /** Content-Length of the head; 0: the body comes in chunks. */
  size_t announced_bytes;
  /** Bytes of a chunk. */
  size_t chunk_bytes;
  /** Bytes of the body that are sent, without the framing of chunks; the last
   *  chunk never comes. */
  size_t sent_bytes;
  /** Bytes that a connection sends before the next one's turn. */
  size_t turn_bytes;
  /** Each connection of this number sends a whole body of announced_bytes; 0:
   *  none does. */
  uint32_t whole_each;
  /** The head stops before its end. */
  bool has_partial_head;
  /** Answers are never read, and the socket takes few bytes. */
  bool never_reads;
};

struct platform_outsiders;

/** Opens @p count connections to an IPv4 address and sends until nothing more
 *  is taken for a second. */
struct platform_outsiders *
platform_outsiders_create (const struct platform_outsiders_kind *kind,
                           const char *address, uint16_t port, uint32_t count);
/** Closes the connections. */
void platform_outsiders_close (struct platform_outsiders *outsiders);
/** Closes the connections and frees the crowd. */
void platform_outsiders_destroy (struct platform_outsiders *outsiders);
/** Number of connections that the other side has not closed. */
uint32_t platform_outsiders_open (const struct platform_outsiders *outsiders);
/** Number of answers with this status. */
uint32_t
platform_outsiders_answers (const struct platform_outsiders *outsiders,
                            uint32_t status);

/** What a process holds. */
struct platform_outsiders_use
{
  /** Peak of its resident memory (VmHWM), and bytes that have come for a port
   *  and are unread. */
  uint64_t peak_bytes;
  uint64_t unread_bytes;
  uint32_t descriptors;
};

/** Reads what process @p id holds; @p address and @p port are where it
 *  listens. */
struct platform_outsiders_use
platform_outsiders_read_use (pid_t id, const char *address, uint16_t port);

#endif
