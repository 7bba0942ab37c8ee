#ifndef LOAD_CALL_H
#define LOAD_CALL_H

/** @file
 *  One request as a caller makes it: attempts, retries under the same key,
 *  and what came back. */

#include <stdbool.h>
#include <stdint.h>

#include <curl/curl.h>
#include <glib.h>

#include "load_mix.h"

/** How a request ended for its caller. */
enum load_outcome
{
  LOAD_ANSWERED,
  /** Refused with a clear status. */
  LOAD_REFUSED,
  /** The connection was lost or timed out, also after retries. */
  LOAD_LOST,
  /** A 200 answer that ended early. */
  LOAD_CUT,
  /** A whole answer that isn't the one to this request. */
  LOAD_WRONG
};

/** A request under way; embed nothing, made by load_call_create. */
struct load_call
{
  struct load_plan plan;
  /** Availability zone of the caller, as a number. */
  uint32_t zone;
  /** Moment of arrival and of the present attempt, in ms. */
  uint64_t arrived_ms;
  uint64_t attempt_ms;
  uint64_t first_byte_ms;
  uint64_t ended_ms;
  uint64_t next_attempt_ms;
  uint32_t attempts;
  /** Attempts whose answer said that the request was not run. */
  uint32_t not_run_attempts;
  CURL *easy;
  struct curl_slist *headers;
  char *body;
  GString *received;
  GString *answer_headers;
  long http_status;
  /** Code of the error body, for example "budget_exhausted". */
  char error_code[48];
  uint32_t retry_after_ms;
  enum load_outcome outcome;
};

/** Makes the call of a plan, which it takes over. */
struct load_call *load_call_create (const struct load_mix *mix,
                                    const struct load_plan *plan,
                                    uint64_t now_ms);
/** Frees it. */
void load_call_destroy (struct load_call *call);
/** Prepares the next attempt towards the router at "A.B.C.D:PORT"; add
 *  call->easy to a multi handle then. */
void load_call_prepare (struct load_call *call, const char *router,
                        uint64_t now_ms);
/** Takes in the end of an attempt: true when the request is over (outcome is
 *  set), false when it is to be sent again at next_attempt_ms. */
bool load_call_finish (struct load_call *call, CURLcode code, uint64_t now_ms);

#endif
