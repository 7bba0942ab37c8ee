#ifndef EDGE_ATTEMPT_H
#define EDGE_ATTEMPT_H

/** @file
 *  One send of a request to a target. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "edge_dialect.h"
#include "router_poll.h"

struct edge_attempt;

/** How a send ended. */
enum edge_outcome
{
  /** The whole answer came. */
  EDGE_WHOLE,
  /** No connection: nothing was sent. */
  EDGE_UNSENT,
  /** Lost, cut or spoilt after it was sent; it may have run. */
  EDGE_LOST
};

/** What a send calls on the loop's thread; first member of the user. */
struct edge_attempt_callbacks
{
  /** Bytes of a stream that succeeds; false gives it up as lost. */
  bool (*data) (struct edge_attempt_callbacks *user, const char *data,
                size_t bytes);
  /** The send ended; the user destroys it. */
  void (*done) (struct edge_attempt_callbacks *user,
                enum edge_outcome outcome);
};

/** What is sent; the pointers stay valid until the send ends. */
struct edge_attempt_call
{
  const struct edge_dialect *dialect;
  const struct edge_request_head *head;
  const struct edge_send_headers *send;
  const char *address;
  uint16_t port;
  const GString *body;
  /** A kept connection may be used; else the request gets a new one. */
  bool reuse;
  uint32_t connect_timeout_ms;
  uint32_t timeout_ms;
};

/** Starts a send; NULL when it can't be started. */
struct edge_attempt *edge_attempt_create (struct router_poll *loop,
                                          const struct edge_attempt_call *call,
                                          struct edge_attempt_callbacks *user);
/** Ends it, whatever its state, and closes its connection when it runs. */
void edge_attempt_destroy (struct edge_attempt *attempt);
/** Takes in a transfer that ended, as router_poll_create's done. */
void edge_attempt_done (CURL *easy, CURLcode code);
/** Stops or goes on reading. */
void edge_attempt_pause (struct edge_attempt *attempt, bool pause);
/** Head of the answer. */
const struct edge_target_response *
edge_attempt_answer (const struct edge_attempt *attempt);
/** Body of an answer that is no successful stream. */
const GString *edge_attempt_body (const struct edge_attempt *attempt);
/** The library's word for how it ended. */
const char *edge_attempt_error (const struct edge_attempt *attempt);
/** Whether a kept connection was used. */
bool edge_attempt_reused (const struct edge_attempt *attempt);

#endif
