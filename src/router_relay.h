#ifndef ROUTER_RELAY_H
#define ROUTER_RELAY_H

/** @file
 *  Forwards a target's stream to the caller, no further than the ledger has
 *  authorised and no faster than the caller reads. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "router_refusal.h"
#include "router_request.h"

/** Requests authorisation for the first tokens when an attempt starts. */
void router_relay_prepare (struct router_request *request);
/** Discards what a failed attempt left before anything was sent to the caller:
 *  another attempt starts the stream from its beginning. */
void router_relay_discard (struct router_request *request);
/** Handles one event from the target.  Returns false when it is invalid. */
bool router_relay_handle_event (struct router_request *request,
                                const char *data, size_t bytes);
/** Handles the ledger's answer to a raised watermark: continues, or cuts the
 *  stream. */
void router_relay_handle_authorisation (struct router_request *request);
/** Forwards held events that are authorised; ends and settles a finished
 *  stream. */
void router_relay_flush (struct router_request *request);
/** Continues after the caller's buffer was full. */
void router_relay_resume (struct router_request *request);
/** Ends an incomplete stream with an event that gives the reason, and bills
 *  what was delivered.  Refuses the request if no event was sent yet. */
void router_relay_cut (struct router_request *request,
                       enum router_refusal refusal, const char *reason);
/** Reads the total usage of a complete response.  Returns false when it is
 *  invalid. */
bool router_relay_read_usage (const char *body, size_t bytes,
                              uint64_t *tokens);

#endif
