#ifndef ROUTER_STREAM_H
#define ROUTER_STREAM_H

/** @file
 *  Response to a caller: written by a worker, read by the HTTP server, with
 *  bounded memory between them. */

#include <stdbool.h>
#include <stddef.h>
#include <sys/types.h>

#include <glib.h>
#include <microhttpd.h>

/** High watermark: number of buffered bytes at which reading from the target
 *  is paused. */
#define ROUTER_STREAM_HIGH_BYTES (32u * 1024)
/** Low watermark: number of buffered bytes below which reading is resumed. */
#define ROUTER_STREAM_LOW_BYTES (8u * 1024)

/** State shared by both threads, guarded by its mutex; embed it. */
struct router_stream
{
  GMutex mutex;
  /** The caller's connection; NULL after it has ended. */
  struct MHD_Connection *connection;
  struct MHD_Response *response;
  unsigned int status;
  /** Bytes that the HTTP server has not sent yet. */
  GString *pending;
  /** True while the connection is suspended until there is a response or
   *  data. */
  bool suspended;
  /** The body of the response is written as it arrives. */
  bool is_streamed;
  /** An orderly end of the connection would make the response look
   *  complete. */
  bool must_reset;
  /** The caller's version of HTTP has no chunks, so a streamed response to it
   *  ends with its connection. */
  bool ends_with_connection;
  /** True when the response was queued at the HTTP server. */
  bool queued;
  /** True when the worker has written the last byte. */
  bool ended;
  /** True when the response ends incomplete, once the pending bytes are
   *  sent. */
  bool cut;
  /** True when the connection ends at once; pending bytes are dropped. */
  bool aborted;
  /** True while the worker waits for space in the buffer. */
  bool writer_waits;
  /** Called without the mutex when the buffer has space again. */
  void (*writable) (struct router_stream *stream);
};

/** Initialises the stream of a connection; @p http_version is the caller's
 *  version of HTTP. */
void router_stream_init (struct router_stream *stream,
                         struct MHD_Connection *connection,
                         const char *http_version,
                         void (*writable) (struct router_stream *stream));
/** Frees the members of a stream. */
void router_stream_clear (struct router_stream *stream);

/** Queues the response, or suspends the connection until there is one.  Called
 *  by the HTTP server. */
enum MHD_Result router_stream_queue_response (struct router_stream *stream);
/** Reports that the connection ended.  Returns whether the whole stream was
 *  sent.  Called by the HTTP server. */
bool router_stream_detach (struct router_stream *stream);

/** Sets the complete response; takes ownership of @p response.  Called by the
 *  worker, as are the next four functions. */
void router_stream_set_response (struct router_stream *stream,
                                 unsigned int status,
                                 struct MHD_Response *response);
/** Creates a response whose body is written later. */
struct MHD_Response *
router_stream_create_response (struct router_stream *stream);
/** Appends bytes.  Returns false when the worker should wait for space. */
bool router_stream_write (struct router_stream *stream, const char *data,
                          size_t bytes);
/** Ends the stream; with @p cut the caller sees an incomplete response. */
void router_stream_end (struct router_stream *stream, bool cut);
/** Whether the caller closed a suspended connection, which is then ended. */
bool router_stream_caller_left (struct router_stream *stream);
/** Ends the connection at once. */
void router_stream_abort (struct router_stream *stream);

#endif
