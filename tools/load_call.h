#ifndef LOAD_CALL_H
#define LOAD_CALL_H

/** @file
 *  One request of a simulated caller: its attempts, retries under the same
 *  idempotency key, and the check of its answer. */

#include <stdbool.h>
#include <stdint.h>

#include <curl/curl.h>
#include <glib.h>

#include "load_mix.h"

/** How a request ended for its caller. */
enum load_outcome
{
  LOAD_ANSWERED,
  /** Answered with a status other than 200. */
  LOAD_REFUSED,
  /** The connection failed or timed out in the last attempt too. */
  LOAD_LOST,
  /** A 200 answer that ended early. */
  LOAD_CUT,
  /** A complete answer with other content than this request must have. */
  LOAD_WRONG
};

/** A request with its last attempt; only load_call_create makes one. */
struct load_call
{
  struct load_plan plan;
  /** Availability zone of the caller, as a number from 0. */
  uint32_t zone;
  /** When the request arrived at the caller, in ms. */
  uint64_t arrived_ms;
  /** When the last attempt began, in ms. */
  uint64_t attempt_ms;
  /** When the body of the last attempt's answer began, in ms; 0: not yet. */
  uint64_t first_byte_ms;
  uint64_t ended_ms;
  /** When to send the request again, in ms. */
  uint64_t next_attempt_ms;
  uint32_t attempts;
  /** Attempts that were answered with Cactus-Run: not-run. */
  uint32_t not_run_attempts;
  CURL *easy;
  struct curl_slist *headers;
  char *body;
  /** Body of the last attempt's answer. */
  GString *received;
  GString *answer_headers;
  long http_status;
  /** Code of the error body, for example "budget_exhausted". */
  char error_code[48];
  uint32_t retry_after_ms;
  enum load_outcome outcome;
};

/** Creates the request of a plan and takes the plan over. */
struct load_call *load_call_create (const struct load_mix *mix,
                                    const struct load_plan *plan,
                                    uint64_t now_ms);
/** Frees the request with its plan. */
void load_call_destroy (struct load_call *call);
/** Prepares the next attempt to the router at "A.B.C.D:PORT"; the caller then
 *  adds call->easy to a multi handle. */
void load_call_prepare (struct load_call *call, const char *router,
                        uint64_t now_ms);
/** Evaluates an attempt that ended: true when the request is over (outcome is
 *  set), false when it is to be sent again at next_attempt_ms. */
bool load_call_finish (struct load_call *call, CURLcode code, uint64_t now_ms);

#endif
