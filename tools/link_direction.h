#ifndef LINK_DIRECTION_H
#define LINK_DIRECTION_H

/** @file
 *  One way of a relayed connection: bytes wait until they are due and the
 *  bandwidth lets them pass. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/** One way of a connection, from one socket to the other. */
struct link_direction
{
  int from_fd;
  int to_fd;
  /** Bytes on their way, oldest first. */
  GQueue chunks;
  size_t held_bytes;
  /** The source has ended. */
  bool ended;
  /** The end was passed on. */
  bool shut;
};

/** Makes a way empty. */
void link_direction_init (struct link_direction *way, int from_fd, int to_fd);
/** Drops the bytes that are held; the sockets stay the caller's. */
void link_direction_clear (struct link_direction *way);
/** Whether the way has room for more bytes. */
bool link_direction_has_room (const struct link_direction *way);
/** Takes in what is there, due after @p delay_ms; false when it failed. */
bool link_direction_read (struct link_direction *way, uint32_t delay_ms);
/** Writes what is due and within @p allowance (in bytes, lowered by what was
 *  written; NULL: no limit), adding to @p passed_bytes; false when it
 *  failed. */
bool link_direction_write (struct link_direction *way, double *allowance,
                           uint64_t *passed_bytes);

#endif
