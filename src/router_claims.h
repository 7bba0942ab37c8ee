#ifndef ROUTER_CLAIMS_H
#define ROUTER_CLAIMS_H

/** @file
 *  Claims, made at control, for non-idempotent calls.  They are made on a few
 *  threads of their own, since an RPC to control blocks until it is
 *  answered. */

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "cactus_config.h"
#include "control_client.h"

struct router_claims;
struct router_request;

/** State of a claim; embedded in its request. */
struct router_claim
{
  /** Number of the claim, unique within the router's incarnation. */
  uint64_t claim_id;
  /** Result, valid after ROUTER_EVENT_CLAIM; the members after the first only
   *  with WIRE_OK. */
  enum wire_status rpc_status;
  enum control_status status;
  enum control_claim_state state;
  uint32_t http_status;
  uint64_t billed_tokens;
  /** Stored response of an earlier run: content type, a line feed, and the
   *  body; owned. */
  GString *response;
};

/** How a claimed call ended. */
struct router_claim_outcome
{
  /** It is certain that the call did not run; the claim is then released. */
  bool not_run;
  /** Whether the outcome is known. */
  bool known;
  uint32_t http_status;
  uint64_t billed_tokens;
  const char *content_type;
  const char *body;
  size_t body_bytes;
};

/** Starts @p threads threads that make claims through @p client, and as many
 *  that send outcomes to control. */
struct router_claims *router_claims_create (struct control_client *client,
                                            const char *cluster,
                                            const char *host,
                                            uint64_t incarnation,
                                            uint32_t threads);
/** Waits for open claims and, for a limited time, until all outcomes are
 *  recorded; then stops the threads. */
void router_claims_destroy (struct router_claims *claims);
/** Claims the request's key and posts ROUTER_EVENT_CLAIM with the result.
 *  While control is known to be unreachable, the result is WIRE_UNSENT at
 *  once. */
void router_claims_submit (struct router_claims *claims,
                           struct router_request *request);
/** Sends the outcome of a claimed call to control and repeats it until control
 *  has recorded it, then posts ROUTER_EVENT_OUTCOME. */
void router_claims_finish (struct router_claims *claims,
                           struct router_request *request,
                           const struct router_claim_outcome *outcome);

#endif
