#ifndef ROUTER_SERVE_H
#define ROUTER_SERVE_H

/** @file
 *  Phase of a request between its reservation and its response: claim,
 *  queue, and attempts at targets. */

#include "router_request.h"

/** Starts after the reservation: claims a non-idempotent call, or queues an
 *  idempotent one. */
void router_serve_start (struct router_request *request);
/** Handles control's answer to the claim. */
void router_serve_handle_claim (struct router_request *request);
/** Sends the request to the chosen target. */
void router_serve_send (struct router_request *request);
/** Refuses the request because no target is available. */
void router_serve_no_target (struct router_request *request);
/** Ends the current attempt as lost or too slow, and retries where that is
 *  safe. */
void router_serve_abandon (struct router_request *request, const char *reason);

#endif
