#ifndef ROUTER_FINISH_H
#define ROUTER_FINISH_H

/** @file
 *  How a request ends: its final response, the settlement at the ledger, the
 *  outcome at control, and the release of its target. */

#include <stdint.h>

#include "router_refusal.h"
#include "router_request.h"

/** Responds with a refusal or failure.  Releases the reservation, and ends a
 *  held claim as not run or unknown, depending on the refusal; the response
 *  waits until control has recorded that. */
void router_finish_refuse (struct router_request *request,
                           enum router_refusal refusal,
                           uint32_t retry_after_ms, const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));
/** Responds with the stored response of an earlier run of the same claim. */
void router_finish_replay (struct router_request *request);
/** Settles the bill of a complete response and records the outcome of a
 * claimed call; router_finish_deliver follows when both are done. */
void router_finish_settle (struct router_request *request,
                           uint64_t used_tokens);
/** Sends the response if it waits for nothing any more. */
void router_finish_deliver_recorded (struct router_request *request);
/** Sends the refusal, or else the complete response of the attempt, to the
 *  caller. */
void router_finish_deliver (struct router_request *request);
/** Ends a request that needs no more response: takes it out of the queue,
 *  cancels its attempt, and releases its target. */
void router_finish_close (struct router_request *request);
/** Records the outcome of the call at control, if the request holds a
 *  claim. */
void router_finish_claim (struct router_request *request, bool not_run,
                          bool known);
/** Records the response in the metrics of the account and the class. */
void router_finish_record_metrics (struct router_request *request);
/** Adds the headers common to all responses of a run. */
void router_finish_add_headers (const struct router_request *request,
                                struct MHD_Response *response);

#endif
