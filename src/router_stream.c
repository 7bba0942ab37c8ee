#include "router_stream.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#include "base_log.h"

#define BLOCK_BYTES 4096

void
router_stream_init (struct router_stream *stream,
                    struct MHD_Connection *connection,
                    const char *http_version,
                    void (*writable) (struct router_stream *stream))
{
  memset (stream, 0, sizeof *stream);
  g_mutex_init (&stream->mutex);
  stream->connection = connection;
  stream->ends_with_connection
      = strcmp (http_version, MHD_HTTP_VERSION_1_0) == 0;
  stream->pending = g_string_new (NULL);
  stream->writable = writable;
}

void
router_stream_clear (struct router_stream *stream)
{
  if (stream->response)
    MHD_destroy_response (stream->response);
  g_string_free (stream->pending, TRUE);
  g_mutex_clear (&stream->mutex);
}

/* Returns the socket of the caller's connection, or -1.  Called with the mutex
   held. */
static int
caller_socket (const struct router_stream *stream)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      stream->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  return info ? info->connect_fd : -1;
}

/* Sets whether the end of this process ends the connection by a reset.  Called
   with the mutex held. */
static void
set_reset_at_exit (struct router_stream *stream, bool resets)
{
  const struct linger linger = { .l_onoff = resets, .l_linger = 0 };
  stream->must_reset = resets;
  setsockopt (caller_socket (stream), SOL_SOCKET, SO_LINGER, &linger,
              sizeof linger);
}

/* Resets a connection whose orderly end would make the response look complete.
   The HTTP server shuts connections down in order before it closes them, so
   the association is dissolved first.  Called with the mutex held. */
static void
reset_if_needed (struct router_stream *stream)
{
  const struct sockaddr none = { .sa_family = AF_UNSPEC };
  if (!stream->must_reset)
    return;
  stream->must_reset = false;
  if (connect (caller_socket (stream), &none, sizeof none) != 0)
    base_log (BASE_LOG_WARNING,
              "can't reset a caller's connection error=\"%s\"",
              g_strerror (errno));
}

/* Called with the mutex held. */
static void
resume (struct router_stream *stream)
{
  if (!stream->suspended)
    return;
  stream->suspended = false;
  MHD_resume_connection (stream->connection);
}

/* Called with the mutex held. */
static void
suspend (struct router_stream *stream)
{
  stream->suspended = true;
  MHD_suspend_connection (stream->connection);
}

enum MHD_Result
router_stream_queue_response (struct router_stream *stream)
{
  enum MHD_Result result = MHD_YES;
  g_mutex_lock (&stream->mutex);
  if (stream->aborted)
    result = MHD_NO;
  else if (!stream->response)
    suspend (stream);
  else if (!stream->queued)
    {
      stream->queued = true;
      if (stream->is_streamed && stream->ends_with_connection)
        set_reset_at_exit (stream, true);
      result = MHD_queue_response (stream->connection, stream->status,
                                   stream->response);
    }
  g_mutex_unlock (&stream->mutex);
  return result;
}

bool
router_stream_detach (struct router_stream *stream)
{
  g_mutex_lock (&stream->mutex);
  bool whole = stream->ended && stream->pending->len == 0;
  stream->connection = NULL;
  stream->suspended = false;
  g_mutex_unlock (&stream->mutex);
  return whole;
}

void
router_stream_set_response (struct router_stream *stream, unsigned int status,
                            struct MHD_Response *response)
{
  g_mutex_lock (&stream->mutex);
  stream->status = status;
  stream->response = response;
  resume (stream);
  g_mutex_unlock (&stream->mutex);
}

/* Breaks the response off.  Called with the mutex held. */
static ssize_t
end_with_error (struct router_stream *stream)
{
  reset_if_needed (stream);
  return MHD_CONTENT_READER_END_WITH_ERROR;
}

/* Ends the body after its last byte.  Called with the mutex held. */
static ssize_t
end_body (struct router_stream *stream)
{
  if (stream->cut)
    return end_with_error (stream);
  if (stream->must_reset)
    set_reset_at_exit (stream, false);
  return MHD_CONTENT_READER_END_OF_STREAM;
}

static ssize_t
read_pending (void *data, uint64_t position, char *buffer, size_t limit)
{
  struct router_stream *stream = data;
  ssize_t result = 0;
  bool writable = false;
  (void)position;
  g_mutex_lock (&stream->mutex);
  size_t bytes = MIN (stream->pending->len, limit);
  if (stream->aborted)
    result = end_with_error (stream);
  else if (bytes > 0)
    {
      memcpy (buffer, stream->pending->str, bytes);
      g_string_erase (stream->pending, 0, (gssize)bytes);
      result = (ssize_t)bytes;
    }
  else if (!stream->ended)
    suspend (stream);
  else
    result = end_body (stream);
  if (stream->writer_waits && stream->pending->len < ROUTER_STREAM_LOW_BYTES)
    {
      stream->writer_waits = false;
      writable = true;
    }
  g_mutex_unlock (&stream->mutex);
  if (writable)
    stream->writable (stream);
  return result;
}

struct MHD_Response *
router_stream_create_response (struct router_stream *stream)
{
  stream->is_streamed = true;
  return MHD_create_response_from_callback (MHD_SIZE_UNKNOWN, BLOCK_BYTES,
                                            read_pending, stream, NULL);
}

bool
router_stream_write (struct router_stream *stream, const char *data,
                     size_t bytes)
{
  g_mutex_lock (&stream->mutex);
  g_string_append_len (stream->pending, data, (gssize)bytes);
  bool writable = stream->pending->len < ROUTER_STREAM_HIGH_BYTES;
  stream->writer_waits = !writable;
  resume (stream);
  g_mutex_unlock (&stream->mutex);
  return writable;
}

void
router_stream_end (struct router_stream *stream, bool cut)
{
  g_mutex_lock (&stream->mutex);
  stream->ended = true;
  stream->cut = cut;
  resume (stream);
  g_mutex_unlock (&stream->mutex);
}

/* The HTTP server does not notice when the caller closes a suspended
   connection, so this peeks at the socket. */
bool
router_stream_caller_left (struct router_stream *stream)
{
  char byte;
  bool left = false;
  g_mutex_lock (&stream->mutex);
  if (stream->suspended && stream->connection)
    {
      left = recv (caller_socket (stream), &byte, 1, MSG_PEEK | MSG_DONTWAIT)
             == 0;
    }
  if (left)
    {
      stream->aborted = true;
      resume (stream);
    }
  g_mutex_unlock (&stream->mutex);
  return left;
}

void
router_stream_abort (struct router_stream *stream)
{
  g_mutex_lock (&stream->mutex);
  stream->aborted = true;
  if (stream->connection)
    reset_if_needed (stream);
  resume (stream);
  g_mutex_unlock (&stream->mutex);
}
