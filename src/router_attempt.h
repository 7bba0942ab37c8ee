#ifndef ROUTER_ATTEMPT_H
#define ROUTER_ATTEMPT_H

/** @file
 *  One try of a request at a target. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "router_poll.h"

struct router_attempt;

/** How an attempt ended. */
enum router_attempt_outcome
{
  /** The whole answer came. */
  ROUTER_ATTEMPT_COMPLETE,
  /** No byte of the request was sent. */
  ROUTER_ATTEMPT_UNSENT,
  /** The target says that it did not run the request. */
  ROUTER_ATTEMPT_REFUSED,
  /** The connection was lost, or the answer made no sense. */
  ROUTER_ATTEMPT_LOST
};

/** What an attempt calls on its worker's thread; first member of the user. */
struct router_attempt_callbacks
{
  /** The answer is a stream of events, and this is the next one; false gives
   *  the attempt up as lost. */
  bool (*event) (struct router_attempt_callbacks *user, const char *data,
                 size_t bytes);
  /** The attempt ended; it is then destroyed by its owner. */
  void (*done) (struct router_attempt_callbacks *user,
                enum router_attempt_outcome outcome);
};

/** What is sent. */
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
  /** Sent unchanged; must stay until the attempt ends. */
  const char *body;
  size_t body_bytes;
  /** Whether a connection may be used again: the library then sends a request
   *  once more when the target closed it unused. */
  bool reuse;
  /** Deadline of the whole attempt, in milliseconds. */
  uint32_t timeout_ms;
};

/** Starts an attempt in @p loop; NULL when it can't be started. */
struct router_attempt *
router_attempt_create (struct router_poll *loop,
                       const struct router_attempt_call *call,
                       struct router_attempt_callbacks *user);
/** Ends it, whatever its state, and closes the connection when it runs. */
void router_attempt_destroy (struct router_attempt *attempt);
/** Takes in a transfer that ended, as router_poll_create's done. */
void router_attempt_handle_done (CURL *easy, CURLcode code);
/** Stops or goes on reading the answer. */
void router_attempt_pause (struct router_attempt *attempt, bool pause);
/** HTTP status of the answer; 0 before it came. */
uint32_t router_attempt_status (const struct router_attempt *attempt);
/** Content type of the answer, or NULL. */
const char *router_attempt_content_type (const struct router_attempt *attempt);
/** Body of an answer that is not a stream. */
const GString *router_attempt_body (const struct router_attempt *attempt);
/** Monotonic time of the last byte from the target, in milliseconds; 0 before
 *  the first. */
uint64_t router_attempt_last_byte_ms (const struct router_attempt *attempt);

#endif
