#ifndef LINK_DIRECTION_H
#define LINK_DIRECTION_H

/** @file
 *  One direction of a relayed connection: holds the bytes until their delay
 *  is over and the bandwidth allows them. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/** Direction of a connection, from one socket to the other. */
struct link_direction
{
  int from_fd;
  int to_fd;
  /** Bytes read and not yet written, oldest first. */
  GQueue chunks;
  size_t held_bytes;
  /** The sender has closed its side. */
  bool from_closed;
  /** The close was passed on to the receiver. */
  bool to_closed;
  /** Bytes and the close are read and discarded. */
  bool silent;
};

/** Initializes a direction without bytes. */
void link_direction_init (struct link_direction *direction, int from_fd,
                          int to_fd);
/** Discards the held bytes; the caller closes the sockets. */
void link_direction_clear (struct link_direction *direction);
/** Whether more bytes may be read: the sender is open and the buffer is not
 *  full. */
bool link_direction_has_room (const struct link_direction *direction);
/** Reads what is available, to be written after @p delay_ms; false when the
 *  connection failed. */
bool link_direction_read (struct link_direction *direction, uint32_t delay_ms);
/** Writes the bytes whose delay is over, at most @p allowance of them (NULL:
 *  no limit), subtracts what it wrote from @p allowance and adds it to
 *  @p passed_bytes; false when the connection failed. */
bool link_direction_write (struct link_direction *direction, double *allowance,
                           uint64_t *passed_bytes);

#endif
