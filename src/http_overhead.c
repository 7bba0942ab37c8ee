#include "http_overhead.h"

#include <stddef.h>
#include <string.h>

#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

/* Bytes of chunk sizes and extensions that any response may have, and
   those that it may have for each byte of content; a chunk of one byte has
   five. */
#define FREE_BYTES (512u * 1024)
#define FACTOR 16u
/* Intervals between two looks, in milliseconds: while no content comes, and
   otherwise. */
#define IDLE_INTERVAL_MS 100
#define INTERVAL_MS 500

/* Returns the bytes that were received and read; false when the system doesn't
   tell. */
static bool
read_bytes (int fd, uint64_t *bytes)
{
  struct tcp_info info = { 0 };
  socklen_t length = sizeof info;
  int unread = 0;
  if (fd < 0 || getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &length) != 0
      || length < offsetof (struct tcp_info, tcpi_bytes_received)
                      + sizeof info.tcpi_bytes_received
      || ioctl (fd, SIOCINQ, &unread) != 0)
    return false;
  uint64_t received = info.tcpi_bytes_received;
  *bytes = received > (uint64_t)unread ? received - (uint64_t)unread : 0;
  return true;
}

void
http_overhead_begin (struct http_overhead *overhead, int fd, uint64_t now_ms)
{
  memset (overhead, 0, sizeof *overhead);
  overhead->looked_ms = now_ms;
  overhead->has_base = read_bytes (fd, &overhead->base_bytes);
}

bool
http_overhead_is_excessive (struct http_overhead *overhead, int fd,
                            uint64_t content_bytes, uint64_t now_ms)
{
  uint64_t bytes;
  uint64_t interval_ms = content_bytes == overhead->content_bytes
                             ? IDLE_INTERVAL_MS
                             : INTERVAL_MS;
  if (!overhead->has_base || now_ms < overhead->looked_ms + interval_ms)
    return false;
  overhead->looked_ms = now_ms;
  overhead->content_bytes = content_bytes;
  return read_bytes (fd, &bytes)
         && bytes > overhead->base_bytes + FREE_BYTES + FACTOR * content_bytes;
}
