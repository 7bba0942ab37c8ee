/** @file
 *  One direction of one relayed connection. */

#include "link_pipe.h"

#include <errno.h>
#include <sys/socket.h>

#include <glib.h>

#define CHUNK_BYTES 16384
#define BUFFERED_BYTES_MAX (4u * 1024 * 1024)
#define US_A_SECOND 1000000u

struct link_chunk
{
  uint64_t due_us;
  uint32_t bytes;
  uint32_t written;
  char data[];
};

struct link_pipe
{
  int from_fd;
  int to_fd;
  /** struct link_chunk. */
  GQueue chunks;
  uint64_t buffered_bytes;
  bool ended;
  bool end_passed;
};

struct link_pipe *
link_pipe_create (int from_fd, int to_fd)
{
  struct link_pipe *pipe = g_new0 (struct link_pipe, 1);
  pipe->from_fd = from_fd;
  pipe->to_fd = to_fd;
  g_queue_init (&pipe->chunks);
  return pipe;
}

void
link_pipe_destroy (struct link_pipe *pipe)
{
  if (!pipe)
    return;
  g_queue_clear_full (&pipe->chunks, g_free);
  g_free (pipe);
}

bool
link_pipe_wants_read (const struct link_pipe *pipe,
                      const struct link_lane *lane)
{
  return !pipe->ended && !lane->frozen
         && pipe->buffered_bytes < BUFFERED_BYTES_MAX;
}

uint64_t
link_pipe_due_us (const struct link_pipe *pipe, const struct link_lane *lane,
                  uint64_t now_us)
{
  const struct link_chunk *first = g_queue_peek_head ((GQueue *)&pipe->chunks);
  if (!first || lane->frozen)
    return UINT64_MAX;
  return first->due_us > now_us ? first->due_us - now_us : 0;
}

/* When the lane has carried @p bytes more, to the other end. */
static uint64_t
schedule (struct link_lane *lane, uint64_t bytes, uint64_t now_us)
{
  if (lane->bandwidth_bytes_s == 0)
    return now_us + lane->delay_us;
  uint64_t start_us = MAX (now_us, lane->busy_until_us);
  lane->busy_until_us
      = start_us + bytes * US_A_SECOND / lane->bandwidth_bytes_s;
  return lane->busy_until_us + lane->delay_us;
}

bool
link_pipe_read (struct link_pipe *pipe, struct link_lane *lane,
                uint64_t now_us)
{
  struct link_chunk *chunk = g_malloc (sizeof *chunk + CHUNK_BYTES);
  ssize_t got = recv (pipe->from_fd, chunk->data, CHUNK_BYTES, MSG_DONTWAIT);
  if (got <= 0)
    {
      g_free (chunk);
      pipe->ended = got == 0;
      return got == 0 || errno == EAGAIN || errno == EINTR;
    }
  chunk->bytes = (uint32_t)got;
  chunk->written = 0;
  chunk->due_us = schedule (lane, chunk->bytes, now_us);
  pipe->buffered_bytes += chunk->bytes;
  g_queue_push_tail (&pipe->chunks, chunk);
  return true;
}

/* Writes the first chunk; 1 when it is done, 0 when the sink is full, -1 on
   failure. */
static int
write_first (struct link_pipe *pipe, struct link_lane *lane,
             struct link_chunk *chunk)
{
  ssize_t put
      = send (pipe->to_fd, chunk->data + chunk->written,
              chunk->bytes - chunk->written, MSG_DONTWAIT | MSG_NOSIGNAL);
  if (put < 0)
    return errno == EAGAIN || errno == EINTR ? 0 : -1;
  chunk->written += (uint32_t)put;
  lane->passed_bytes += (uint64_t)put;
  pipe->buffered_bytes -= (uint64_t)put;
  if (chunk->written < chunk->bytes)
    return 0;
  g_free (g_queue_pop_head (&pipe->chunks));
  return 1;
}

bool
link_pipe_write (struct link_pipe *pipe, struct link_lane *lane,
                 uint64_t now_us)
{
  while (link_pipe_due_us (pipe, lane, now_us) == 0)
    {
      int outcome
          = write_first (pipe, lane, g_queue_peek_head (&pipe->chunks));
      if (outcome <= 0)
        return outcome == 0;
    }
  if (pipe->ended && !pipe->end_passed && !lane->frozen
      && pipe->chunks.length == 0)
    {
      shutdown (pipe->to_fd, SHUT_WR);
      pipe->end_passed = true;
    }
  return true;
}

bool
link_pipe_finished (const struct link_pipe *pipe)
{
  return pipe->end_passed;
}
