#include "link_direction.h"

#include <errno.h>
#include <sys/socket.h>

#include "base_clock.h"

#define READ_BYTES 16384
/* Bytes held before reading stops. */
#define HELD_BYTES_MAX (256u * 1024)

/* Bytes on their way, to be written at due_us. */
struct link_chunk
{
  uint64_t due_us;
  size_t sent;
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
link_direction_init (struct link_direction *way, int from_fd, int to_fd)
{
  *way = (struct link_direction){ .from_fd = from_fd, .to_fd = to_fd };
  g_queue_init (&way->chunks);
}

void
link_direction_clear (struct link_direction *way)
{
  g_queue_clear_full (&way->chunks, free_chunk);
}

bool
link_direction_has_room (const struct link_direction *way)
{
  return !way->ended && way->held_bytes < HELD_BYTES_MAX;
}

bool
link_direction_read (struct link_direction *way, uint32_t delay_ms)
{
  guint8 buffer[READ_BYTES];
  if (!link_direction_has_room (way))
    return true;
  ssize_t got = recv (way->from_fd, buffer, sizeof buffer, MSG_DONTWAIT);
  if (got < 0)
    return errno == EAGAIN || errno == EINTR;
  if (got == 0)
    {
      way->ended = true;
      return true;
    }
  struct link_chunk *chunk = g_new0 (struct link_chunk, 1);
  chunk->due_us = now_us () + delay_ms * UINT64_C (1000);
  chunk->bytes = g_byte_array_new ();
  g_byte_array_append (chunk->bytes, buffer, (guint)got);
  g_queue_push_tail (&way->chunks, chunk);
  way->held_bytes += (size_t)got;
  return true;
}

/* Bytes of the chunk that may be written now. */
static size_t
allowed_bytes (const struct link_chunk *chunk, const double *allowance)
{
  size_t left = chunk->bytes->len - chunk->sent;
  if (!allowance || *allowance >= (double)left)
    return left;
  return *allowance < 1 ? 0 : (size_t)*allowance;
}

static void
pass_end (struct link_direction *way)
{
  shutdown (way->to_fd, SHUT_WR);
  way->shut = true;
}

bool
link_direction_write (struct link_direction *way, double *allowance,
                      uint64_t *passed_bytes)
{
  struct link_chunk *chunk;
  uint64_t now = now_us ();
  while ((chunk = g_queue_peek_head (&way->chunks)) && chunk->due_us <= now)
    {
      size_t allowed = allowed_bytes (chunk, allowance);
      if (allowed == 0)
        return true;
      ssize_t put = send (way->to_fd, chunk->bytes->data + chunk->sent,
                          allowed, MSG_DONTWAIT | MSG_NOSIGNAL);
      if (put < 0)
        return errno == EAGAIN || errno == EINTR;
      chunk->sent += (size_t)put;
      way->held_bytes -= (size_t)put;
      if (allowance)
        *allowance -= (double)put;
      *passed_bytes += (uint64_t)put;
      if (chunk->sent == chunk->bytes->len)
        free_chunk (g_queue_pop_head (&way->chunks));
    }
  if (way->ended && !chunk && !way->shut)
    pass_end (way);
  return true;
}
