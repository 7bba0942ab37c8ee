#ifndef ROUTER_RELAY_H
#define ROUTER_RELAY_H

/** @file
 *  Passes a target's stream on to the caller, no further than the ledger
 *  authorised and no faster than the caller reads. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "router_refusal.h"
#include "router_request.h"

/** Asks for the first tokens when an attempt starts. */
void router_relay_prepare (struct router_request *request);
/** Takes one event of the target; false when it makes no sense. */
bool router_relay_handle_event (struct router_request *request,
                                const char *data, size_t bytes);
/** The ledger answered; goes on, or cuts the stream. */
void router_relay_handle_grant (struct router_request *request);
/** Passes on what may be passed on; ends and bills a finished stream. */
void router_relay_flush (struct router_request *request);
/** The caller has room again. */
void router_relay_resume (struct router_request *request);
/** Ends a started stream that can't be whole, with an event that says why;
 *  bills what the caller got. */
void router_relay_cut (struct router_request *request,
                       enum router_refusal refusal, const char *reason);
/** Reads the usage of a whole answer; false when it isn't one. */
bool router_relay_read_usage (const char *body, size_t bytes,
                              uint64_t *tokens);

#endif
