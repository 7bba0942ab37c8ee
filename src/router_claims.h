#ifndef ROUTER_CLAIMS_H
#define ROUTER_CLAIMS_H

/** @file
 *  Claims of non-idempotent calls at control, made by a few threads since a
 *  call to control waits for its answer. */

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "cactus_config.h"
#include "control_client.h"

struct router_claims;
struct router_request;

/** State of a claim under way; embedded in its request. */
struct router_claim
{
  /** Number of the claim within the router's incarnation. */
  uint64_t claim_id;
  /** Result of the claim; valid once it was answered. */
  enum wire_status wire;
  enum control_status status;
  enum control_claim_state state;
  uint32_t http_status;
  uint64_t billed_tokens;
  /** Content type, a line feed, and the body; owned. */
  GString *answer;
};

/** How a claimed call ended. */
struct router_claim_outcome
{
  /** Frees the claim: the call certainly did not run. */
  bool not_run;
  /** Whether the outcome is known. */
  bool known;
  uint32_t http_status;
  uint64_t billed_tokens;
  const char *content_type;
  const char *body;
  size_t body_bytes;
};

/** Starts @p threads threads that call control through @p client, and as many
 *  that tell it how calls ended. */
struct router_claims *router_claims_create (struct control_client *client,
                                            const char *cluster,
                                            const char *host,
                                            uint64_t incarnation,
                                            uint32_t threads);
/** Waits for the calls under way and stops. */
void router_claims_destroy (struct router_claims *claims);
/** Claims the request's key; posts ROUTER_EVENT_CLAIM when answered, at once
 *  and unsent while control is known to be out of reach. */
void router_claims_submit (struct router_claims *claims,
                           struct router_request *request);
/** Tells control how the call ended, again until it answers. */
void router_claims_finish (struct router_claims *claims,
                           struct router_request *request,
                           const struct router_claim_outcome *end);

#endif
