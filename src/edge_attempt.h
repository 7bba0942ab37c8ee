#ifndef EDGE_ATTEMPT_H
#define EDGE_ATTEMPT_H

/** @file
 *  One attempt to send a request to a target. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "edge_dialect.h"
#include "http_ending.h"
#include "router_poll.h"

struct edge_attempt;

/** How an attempt ended. */
enum edge_attempt_outcome
{
  /** A whole response was received. */
  EDGE_ATTEMPT_COMPLETE,
  /** No connection could be made, so nothing was sent. */
  EDGE_ATTEMPT_UNSENT,
  /** A connection was made, but may_send returned false: nothing was sent. */
  EDGE_ATTEMPT_UNWANTED,
  /** The connection or the response failed after sending began; the request
   *  may have run. */
  EDGE_ATTEMPT_LOST
};

/** Callbacks of an attempt, called on the loop's thread.  Embed it as the
 *  first member of the owner's struct. */
struct edge_attempt_callbacks
{
  /** The connection to the target is ready: returns whether the request may
   *  still be sent.  The attempt must not be destroyed in this call. */
  bool (*may_send) (struct edge_attempt_callbacks *callbacks);
  /** The head of the final response is complete.  The attempt must not be
   *  destroyed in this call. */
  void (*head) (struct edge_attempt_callbacks *callbacks);
  /** Receives bytes of a successful stream; returning false ends the attempt
   *  as lost. */
  bool (*data) (struct edge_attempt_callbacks *callbacks, const char *data,
                size_t bytes);
  /** The body of a response that is not a stream takes @p bytes: returns
   *  whether more may be read; if not, the owner calls edge_attempt_pause once
   *  it may. */
  bool (*hold) (struct edge_attempt_callbacks *callbacks, uint64_t bytes);
  /** The transfer of a successful stream ended: fills in the members of @p
   *  ending that concern events. */
  void (*describe_events) (struct edge_attempt_callbacks *callbacks,
                           struct http_ending *ending);
  /** The attempt ended; the owner must destroy it. */
  void (*done) (struct edge_attempt_callbacks *callbacks,
                enum edge_attempt_outcome outcome);
};

/** What to send and where; the pointers must stay valid until the attempt
 *  ends. */
struct edge_attempt_options
{
  const struct edge_dialect *dialect;
  const struct edge_request_head *head;
  const struct edge_send_headers *send;
  const char *address;
  uint16_t port;
  const GString *body;
  /** Whether a kept-alive connection may be used; otherwise a new one is
   *  opened. */
  bool reuse;
  /** Number of the pool that the connection is taken from and returned to.  A
   *  connection of one pool is never used in another. */
  uint32_t pool;
  /** Whether a new connection is opened, which may be kept afterwards. */
  bool connects;
  uint32_t connect_timeout_ms;
  uint32_t timeout_ms;
  /** Router that passes the connection on (edge_tunnel.h), or NULL. */
  const char *via_address;
  uint16_t via_port;
  /** With it: the header lines that name the target and say how long the
   *  connection is needed, and this router's address. */
  const char *via_header;
  const char *via_deadline_header;
  const char *own_address;
};

/** Starts an attempt.  Returns NULL when it can't be started. */
struct edge_attempt *
edge_attempt_create (struct router_poll *loop,
                     const struct edge_attempt_options *options,
                     struct edge_attempt_callbacks *callbacks);
/** Destroys an attempt; one that is still running is aborted and its
 *  connection closed.  NULL is allowed. */
void edge_attempt_destroy (struct edge_attempt *attempt);
/** Handles the end of a transfer; the callback for router_poll_create. */
void edge_attempt_finish (CURL *easy, CURLcode code);
/** Returns the number of the pool that the attempt's connection belongs to. */
uint32_t edge_attempt_pool (const struct edge_attempt *attempt);
/** Returns whether the request was sent on a kept connection and no head of a
 *  response has arrived on it. */
bool edge_attempt_awaits_on_kept (const struct edge_attempt *attempt);
/** Has the connection closed at the end of the attempt. */
void edge_attempt_forbid_reuse (struct edge_attempt *attempt);
/** Returns whether the attempt still waits for its connection, at @p looked_ms
 *  for longer than its timeout. */
bool edge_attempt_connect_is_overdue (const struct edge_attempt *attempt,
                                      uint64_t looked_ms);
/** Returns whether much more than the response's content comes; the attempt is
 *  then lost. */
bool edge_attempt_is_flooded (struct edge_attempt *attempt, uint64_t now_ms);
/** Pauses or continues reading the response. */
void edge_attempt_pause (struct edge_attempt *attempt, bool pause);
/** Returns the status and headers of the response. */
const struct edge_target_response *
edge_attempt_response (const struct edge_attempt *attempt);
/** Returns the time at which the head of the final response began to arrive,
 * in milliseconds; 0 if it did not. */
uint64_t edge_attempt_head_ms (const struct edge_attempt *attempt);
/** Returns whether the head of the final response is complete. */
bool edge_attempt_has_head (const struct edge_attempt *attempt);
/** Returns what tells where the body of the response ends. */
enum http_body_end edge_attempt_body_end (const struct edge_attempt *attempt);
/** Returns the body of a response that is not a successful stream. */
const GString *edge_attempt_body (const struct edge_attempt *attempt);
/** Takes that body, which is freed with g_free. */
char *edge_attempt_take_body (struct edge_attempt *attempt, size_t *bytes);
/** Returns a description of the attempt's error, or "none". */
const char *edge_attempt_error (const struct edge_attempt *attempt);
/** Returns the system's error of a connection that could not be made. */
int edge_attempt_system_error (const struct edge_attempt *attempt);
/** Returns whether the attempt was lost because nothing came for a while,
 *  rather than because the target or its host closed the connection. */
bool edge_attempt_is_silent_loss (const struct edge_attempt *attempt);
/** Returns the status with which another router answered the request to pass
 *  the connection on (enum edge_tunnel_status); 0 when it didn't. */
long edge_attempt_tunnel_status (const struct edge_attempt *attempt);
/** Sets the times after which TCP gives up a silent connection to a target or
 *  to another router. */
void edge_attempt_set_timeouts (int fd);
/** Returns whether a kept-alive connection was used. */
bool edge_attempt_reused (const struct edge_attempt *attempt);

#endif
