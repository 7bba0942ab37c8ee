#ifndef LINK_PIPE_H
#define LINK_PIPE_H

/** @file
 *  One direction of one relayed connection: bytes wait for the link's delay
 *  and its bandwidth. */

#include <stdbool.h>
#include <stdint.h>

/** One direction of a link, shared by its connections. */
struct link_lane
{
  /** One-way delay, in microseconds. */
  uint64_t delay_us;
  /** Bandwidth, in bytes a second; 0: unlimited. */
  uint64_t bandwidth_bytes_s;
  /** Nothing passes, and nobody is told. */
  bool frozen;
  /** When the link has sent all that it took, in microseconds. */
  uint64_t busy_until_us;
  /** Bytes that have passed. */
  uint64_t passed_bytes;
};

/** Bytes on their way from one socket to the other. */
struct link_pipe;

/** Makes an empty pipe from @p from_fd to @p to_fd, which stay the caller's.
 */
struct link_pipe *link_pipe_create (int from_fd, int to_fd);
/** Frees it with the bytes in it. */
void link_pipe_destroy (struct link_pipe *pipe);
/** Whether the pipe wants to read its source now. */
bool link_pipe_wants_read (const struct link_pipe *pipe,
                           const struct link_lane *lane);
/** Time until the first bytes are due, in microseconds; UINT64_MAX when
 *  there are none or the lane is frozen. */
uint64_t link_pipe_due_us (const struct link_pipe *pipe,
                           const struct link_lane *lane, uint64_t now_us);
/** Reads what is there; false when the source failed. */
bool link_pipe_read (struct link_pipe *pipe, struct link_lane *lane,
                     uint64_t now_us);
/** Writes what is due; false when the sink failed. */
bool link_pipe_write (struct link_pipe *pipe, struct link_lane *lane,
                      uint64_t now_us);
/** Whether the source ended and all its bytes were written. */
bool link_pipe_finished (const struct link_pipe *pipe);

#endif
