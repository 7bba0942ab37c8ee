#ifndef ROUTER_STREAM_H
#define ROUTER_STREAM_H

/** @file
 *  Response on its way to a caller: written by a worker, read by the HTTP
 *  server, with bounded memory between them. */

#include <stdbool.h>
#include <stddef.h>
#include <sys/types.h>

#include <glib.h>
#include <microhttpd.h>

/** Buffered bytes at which the target of a slow caller is paused. */
#define ROUTER_STREAM_HIGH_BYTES (32u * 1024)
/** Buffered bytes below which the target is resumed. */
#define ROUTER_STREAM_LOW_BYTES (8u * 1024)

/** State shared by both threads, guarded by its mutex; embed it. */
struct router_stream
{
  GMutex mutex;
  /** NULL after the caller's connection has ended. */
  struct MHD_Connection *connection;
  struct MHD_Response *response;
  unsigned int status;
  GString *pending;
  bool suspended;
  bool queued;
  bool ended;
  bool cut;
  bool aborted;
  /** The worker waits for space in the buffer. */
  bool writer_waits;
  /** Called without the mutex when the buffer has space again. */
  void (*writable) (struct router_stream *stream);
};

/** Initialises the stream of a connection. */
void router_stream_init (struct router_stream *stream,
                         struct MHD_Connection *connection,
                         void (*writable) (struct router_stream *stream));
/** Frees the members of a stream. */
void router_stream_clear (struct router_stream *stream);

/** HTTP server: queues the response, or suspends the connection until there is
 *  one. */
enum MHD_Result router_stream_queue_response (struct router_stream *stream);
/** HTTP server: the connection ended.  Returns whether the whole stream was
 *  sent. */
bool router_stream_detach (struct router_stream *stream);

/** Worker: sets the complete response; takes ownership of @p response. */
void router_stream_set_response (struct router_stream *stream,
                                 unsigned int status,
                                 struct MHD_Response *response);
/** Worker: creates a response whose body is written later. */
struct MHD_Response *
router_stream_create_response (struct router_stream *stream);
/** Worker: appends bytes; false when the worker should wait for space. */
bool router_stream_write (struct router_stream *stream, const char *data,
                          size_t bytes);
/** Worker: ends the stream; with @p cut the caller sees an incomplete
 *  response. */
void router_stream_end (struct router_stream *stream, bool cut);
/** Worker: whether the caller closed a suspended connection, which is then
 *  ended. */
bool router_stream_caller_left (struct router_stream *stream);
/** Ends the connection at once. */
void router_stream_abort (struct router_stream *stream);

#endif
