#ifndef ROUTER_REFUSAL_H
#define ROUTER_REFUSAL_H

/** @file
 *  Error responses that come from the router itself: refusals and failures. */

#include <stdint.h>

#include <microhttpd.h>

/** Reason why the router answers a request with an error of its own. */
enum router_refusal
{
  ROUTER_REFUSAL_BAD_REQUEST,
  ROUTER_REFUSAL_BAD_KEY,
  ROUTER_REFUSAL_NO_RULE,
  ROUTER_REFUSAL_UNKNOWN_SERVICE,
  ROUTER_REFUSAL_UNKNOWN_PATH,
  ROUTER_REFUSAL_METHOD_NOT_ALLOWED,
  ROUTER_REFUSAL_TOO_LARGE,
  ROUTER_REFUSAL_KEY_CONFLICT,
  ROUTER_REFUSAL_IN_PROGRESS,
  ROUTER_REFUSAL_ALREADY_BILLED,
  ROUTER_REFUSAL_OUTCOME_UNKNOWN,
  ROUTER_REFUSAL_ANSWER_NOT_KEPT,
  ROUTER_REFUSAL_BUDGET_EXHAUSTED,
  ROUTER_REFUSAL_OVERLOADED,
  ROUTER_REFUSAL_QUEUE_TIMEOUT,
  ROUTER_REFUSAL_NO_TARGET,
  ROUTER_REFUSAL_LEDGER_UNAVAILABLE,
  ROUTER_REFUSAL_CONTROL_UNAVAILABLE,
  ROUTER_REFUSAL_NO_BUNDLE,
  ROUTER_REFUSAL_STOPPING,
  ROUTER_REFUSAL_TARGETS_UNAVAILABLE,
  ROUTER_REFUSAL_TARGET_FAILED,
  ROUTER_REFUSAL_DEADLINE
};

/** Error code of a refusal, as in the response body and the metrics. */
const char *router_refusal_code (enum router_refusal refusal);
/** HTTP status of a refusal. */
unsigned int router_refusal_status (enum router_refusal refusal);
/** Value of the Cactus-Run header: "not-run", "ran" or "unknown". */
const char *router_refusal_run (enum router_refusal refusal);
/** JSON body of a refusal; free it with free. */
char *router_refusal_print (enum router_refusal refusal, const char *message);
/** Complete response for a refusal, with its headers.  Retry-After is
 *  @p retry_after_ms rounded up to whole seconds; 0 selects the default of the
 *  refusal, which may be no such header.  @p request_id may be NULL. */
struct MHD_Response *router_refusal_response (enum router_refusal refusal,
                                              const char *message,
                                              const char *request_id,
                                              uint32_t retry_after_ms);

#endif
