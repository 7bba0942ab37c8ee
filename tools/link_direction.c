#include "link_direction.h"

#include <errno.h>
#include <sys/socket.h>

#include "base_clock.h"

#define READ_BYTES 16384
/* Reading stops while this many bytes are held. */
#define HELD_BYTES_MAX (256u * 1024)

/* Bytes of one read, to be written from due_us on. */
struct link_chunk
{
  uint64_t due_us;
  size_t sent_bytes;
  GByteArray *bytes;
};

static uint64_t
now_us (void)
{
  return base_clock_now_us (base_clock_system ());
}

static void
free_chunk (gpointer data)
{
  struct link_chunk *chunk = data;
  g_byte_array_unref (chunk->bytes);
  g_free (chunk);
}

void
link_direction_init (struct link_direction *direction, int from_fd, int to_fd)
{
  *direction = (struct link_direction){ .from_fd = from_fd, .to_fd = to_fd };
  g_queue_init (&direction->chunks);
}

void
link_direction_clear (struct link_direction *direction)
{
  g_queue_clear_full (&direction->chunks, free_chunk);
}

bool
link_direction_has_room (const struct link_direction *direction)
{
  return !direction->from_closed && direction->held_bytes < HELD_BYTES_MAX;
}

bool
link_direction_read (struct link_direction *direction, uint32_t delay_ms)
{
  guint8 buffer[READ_BYTES];
  if (!link_direction_has_room (direction))
    return true;
  ssize_t got = recv (direction->from_fd, buffer, sizeof buffer, MSG_DONTWAIT);
  if (got < 0)
    return errno == EAGAIN || errno == EINTR;
  if (got == 0)
    {
      direction->from_closed = true;
      return true;
    }
  struct link_chunk *chunk = g_new0 (struct link_chunk, 1);
  chunk->due_us = now_us () + delay_ms * UINT64_C (1000);
  chunk->bytes = g_byte_array_new ();
  g_byte_array_append (chunk->bytes, buffer, (guint)got);
  g_queue_push_tail (&direction->chunks, chunk);
  direction->held_bytes += (size_t)got;
  return true;
}

/* Number of the chunk's bytes that may be written now. */
static size_t
allowed_bytes (const struct link_chunk *chunk, const double *allowance)
{
  size_t left = chunk->bytes->len - chunk->sent_bytes;
  if (!allowance || *allowance >= (double)left)
    return left;
  return *allowance < 1 ? 0 : (size_t)*allowance;
}

static void
pass_close (struct link_direction *direction)
{
  shutdown (direction->to_fd, SHUT_WR);
  direction->to_closed = true;
}

bool
link_direction_write (struct link_direction *direction, double *allowance,
                      uint64_t *passed_bytes)
{
  struct link_chunk *chunk;
  uint64_t now = now_us ();
  if (direction->silent)
    {
      link_direction_clear (direction);
      direction->held_bytes = 0;
      return true;
    }
  while ((chunk = g_queue_peek_head (&direction->chunks))
         && chunk->due_us <= now)
    {
      size_t allowed = allowed_bytes (chunk, allowance);
      if (allowed == 0)
        return true;
      ssize_t put
          = send (direction->to_fd, chunk->bytes->data + chunk->sent_bytes,
                  allowed, MSG_DONTWAIT | MSG_NOSIGNAL);
      if (put < 0)
        return errno == EAGAIN || errno == EINTR;
      chunk->sent_bytes += (size_t)put;
      direction->held_bytes -= (size_t)put;
      if (allowance)
        *allowance -= (double)put;
      *passed_bytes += (uint64_t)put;
      if (chunk->sent_bytes == chunk->bytes->len)
        free_chunk (g_queue_pop_head (&direction->chunks));
    }
  if (direction->from_closed && !chunk && !direction->to_closed)
    pass_close (direction);
  return true;
}
