#ifndef ROUTER_SERVE_H
#define ROUTER_SERVE_H

/** @file
 *  Steps of a request between its reservation and its answer: claim, queue,
 *  attempts at targets. */

#include "router_request.h"

/** Tokens are reserved: claims a non-idempotent call, or goes on. */
void router_serve_start (struct router_request *request);
/** Control answered the claim. */
void router_serve_handle_claim (struct router_request *request);
/** A target was chosen: sends the request. */
void router_serve_send (struct router_request *request);
/** No target is left. */
void router_serve_no_target (struct router_request *request);
/** Gives up the attempt under way as lost or too slow, and tries again where
 *  that is safe. */
void router_serve_abandon (struct router_request *request, const char *reason);

#endif
