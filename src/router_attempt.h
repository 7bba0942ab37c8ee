#ifndef ROUTER_ATTEMPT_H
#define ROUTER_ATTEMPT_H

/** @file
 *  One attempt to have a target serve a request. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "router_poll.h"

struct router_attempt;

/** How an attempt ended. */
enum router_attempt_outcome
{
  /** A whole response was received. */
  ROUTER_ATTEMPT_COMPLETE,
  /** No byte of the request was sent. */
  ROUTER_ATTEMPT_UNSENT,
  /** The target responded that it did not run the request. */
  ROUTER_ATTEMPT_REFUSED,
  /** The connection was lost after bytes were sent, or the response is
   *  malformed, incomplete or too large. */
  ROUTER_ATTEMPT_LOST
};

/** Callbacks of an attempt, on its worker's thread.  Embed as the first member
 *  of the owner's struct. */
struct router_attempt_callbacks
{
  /** The next event of a streamed response; returning false ends the attempt
   *  as lost. */
  bool (*event) (struct router_attempt_callbacks *callbacks, const char *data,
                 size_t bytes);
  /** Whether the event that ends a streamed response was received. */
  bool (*has_last_event) (const struct router_attempt_callbacks *callbacks);
  /** The attempt ended; its owner must then destroy it. */
  void (*done) (struct router_attempt_callbacks *callbacks,
                enum router_attempt_outcome outcome);
};

/** The HTTP request to send. */
struct router_attempt_call
{
  const char *address;
  uint16_t port;
  const char *method;
  /** Path and query. */
  const char *path;
  const char *content_type;
  const char *request_id;
  const char *key;
  const char *account;
  const char *budget;
  /** Sent unchanged; must stay valid until the attempt ends. */
  const char *body;
  size_t body_bytes;
  /** Whether an idle connection may be reused.  If the target closed it before
   *  responding, libcurl sends the request once more. */
  bool reuse;
  /** Deadline of the whole attempt, in milliseconds from its start. */
  uint32_t timeout_ms;
};

/** Starts an attempt in @p loop.  Returns NULL when it can't be started. */
struct router_attempt *
router_attempt_create (struct router_poll *loop,
                       const struct router_attempt_call *call,
                       struct router_attempt_callbacks *callbacks);
/** Frees an attempt; one still running is cancelled and its connection
 *  closed. */
void router_attempt_destroy (struct router_attempt *attempt);
/** Handles a finished transfer; pass it to router_poll_create as done. */
void router_attempt_handle_done (CURL *easy, CURLcode code);
/** Pauses or continues reading the response. */
void router_attempt_pause (struct router_attempt *attempt, bool pause);
/** HTTP status of the response; 0 before it is received. */
uint32_t router_attempt_status (const struct router_attempt *attempt);
/** Content type of the response, or NULL. */
const char *router_attempt_content_type (const struct router_attempt *attempt);
/** Body of a response that is not a stream. */
const GString *router_attempt_body (const struct router_attempt *attempt);
/** Monotonic time at which body data was last received, in milliseconds; 0
 *  before the first. */
uint64_t router_attempt_last_byte_ms (const struct router_attempt *attempt);

#endif
