#ifndef ROUTER_STREAM_H
#define ROUTER_STREAM_H

/** @file
 *  The answer on its way to a caller: written by a worker, read by the HTTP
 *  server, with bounded memory between them. */

#include <stdbool.h>
#include <stddef.h>
#include <sys/types.h>

#include <glib.h>
#include <microhttpd.h>

/** Bytes that may wait for a slow caller before its target is paused. */
#define ROUTER_STREAM_HIGH_BYTES (32u * 1024)
/** Bytes below which it goes on. */
#define ROUTER_STREAM_LOW_BYTES (8u * 1024)

/** State between both sides, guarded by its mutex; embed it. */
struct router_stream
{
  GMutex mutex;
  /** NULL once the caller's side is over. */
  struct MHD_Connection *connection;
  struct MHD_Response *response;
  unsigned int status;
  GString *pending;
  bool suspended;
  bool queued;
  bool ended;
  bool cut;
  bool aborted;
  /** The writer waits for room. */
  bool wants_room;
  /** Called without the mutex when there is room again. */
  void (*room) (struct router_stream *stream);
};

/** Starts the stream of a connection. */
void router_stream_init (struct router_stream *stream,
                         struct MHD_Connection *connection,
                         void (*room) (struct router_stream *stream));
/** Frees what it holds. */
void router_stream_clear (struct router_stream *stream);

/** Server's side: queues the answer, or suspends the connection until there
 *  is one. */
enum MHD_Result router_stream_queue_response (struct router_stream *stream);
/** Server's side: the connection is over; whether the answer was whole. */
bool router_stream_detach (struct router_stream *stream);

/** Worker's side: sets the whole answer; takes over @p response. */
void router_stream_set_response (struct router_stream *stream,
                                 unsigned int status,
                                 struct MHD_Response *response);
/** Worker's side: makes a response whose body is what is written later. */
struct MHD_Response *
router_stream_create_response (struct router_stream *stream);
/** Worker's side: adds bytes; false when the writer should wait for room. */
bool router_stream_write (struct router_stream *stream, const char *data,
                          size_t bytes);
/** Worker's side: no more comes; @p cut shows the caller that it isn't
 *  whole. */
void router_stream_end (struct router_stream *stream, bool cut);
/** Worker's side: whether the caller closed a suspended connection; it is then
 *  ended. */
bool router_stream_caller_left (struct router_stream *stream);
/** Ends the connection at once. */
void router_stream_abort (struct router_stream *stream);

#endif
