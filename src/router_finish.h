#ifndef ROUTER_FINISH_H
#define ROUTER_FINISH_H

/** @file
 *  Ends of a request: the final answer, and what follows at ledger, control
 *  and target. */

#include <stdint.h>

#include "router_refusal.h"
#include "router_request.h"

/** Refuses the request, or tells that it failed.  What is reserved is freed,
 *  and a claim ends as not run or unknown, by the refusal. */
void router_finish_refuse (struct router_request *request,
                           enum router_refusal refusal,
                           uint32_t retry_after_ms, const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));
/** Answers with the answer of an earlier run of the same claim. */
void router_finish_replay (struct router_request *request);
/** Bills a whole answer; router_finish_deliver follows when it is settled. */
void router_finish_settle (struct router_request *request,
                           uint64_t used_tokens);
/** Gives the caller the whole answer of the attempt. */
void router_finish_deliver (struct router_request *request);
/** The caller got a whole stream, or left: no more is done for it. */
void router_finish_close (struct router_request *request);
/** Records how the claimed call ended, where one is held. */
void router_finish_claim (struct router_request *request, bool not_run,
                          bool known);
/** Counts an answer in the metrics. */
void router_finish_record_metrics (struct router_request *request);
/** Adds the headers that every answer has. */
void router_finish_add_headers (const struct router_request *request,
                                struct MHD_Response *response);

#endif
