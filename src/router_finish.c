#include "router_finish.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base_clock.h"
#include "router.h"
#include "router_ledger.h"
#include "router_worker.h"

#define JSON_TYPE "application/json"
#define NUMBER_BYTES 24

/* Takes the request out of the queue, cancels its attempt and releases its
   target. */
static void
leave_target (struct router_request *request)
{
  struct router *router = request->router;
  if (request->step == ROUTER_STEP_QUEUED)
    router_queue_leave (router->queue, request);
  router_attempt_destroy (request->attempt);
  request->attempt = NULL;
  router_queue_release (router->queue, request,
                        router_worker_reader (request->worker), false);
}

void
router_finish_close (struct router_request *request)
{
  leave_target (request);
  request->step = ROUTER_STEP_ANSWERED;
  router_worker_remove (request->worker, request);
}

void
router_finish_claim (struct router_request *request, bool not_run, bool known)
{
  struct router_claim_outcome outcome = { 0 };
  if (!request->holds_claim)
    return;
  request->holds_claim = false;
  request->outcome_open = true;
  outcome.not_run = not_run;
  outcome.known = known;
  outcome.billed_tokens = request->billed_tokens;
  if (known)
    {
      const GString *body = router_attempt_body (request->attempt);
      outcome.http_status = router_attempt_status (request->attempt);
      outcome.content_type = router_attempt_content_type (request->attempt);
      outcome.body = body->str;
      outcome.body_bytes = body->len;
    }
  router_claims_finish (request->router->claims, request, &outcome);
}

/* Releases the reservation.  Ends a held claim as not run, or as unknown where
   a target may have run the call. */
static void
release_claim_and_tokens (struct router_request *request,
                          enum router_refusal refusal)
{
  bool unknown = refusal == ROUTER_REFUSAL_TARGET_FAILED
                 || refusal == ROUTER_REFUSAL_DEADLINE;
  router_finish_claim (request, !unknown, false);
  router_ledger_release (request);
}

/* A request that was sent to a target may have run, so it is never refused as
   not run. */
static enum router_refusal
correct_refusal (const struct router_request *request,
                 enum router_refusal refusal)
{
  bool not_run = strcmp (router_refusal_run (refusal), "not-run") == 0;
  return request->maybe_ran && not_run ? ROUTER_REFUSAL_TARGET_FAILED
                                       : refusal;
}

/* Returns whether control lists the call as running.  The response then waits
   until control has recorded the end, so that a retry right after it is told
   how the call ended. */
static bool
has_recorded_claim (const struct router_request *request)
{
  return request->holds_claim && request->claim.rpc_status == WIRE_OK;
}

void
router_finish_refuse (struct router_request *request,
                      enum router_refusal refusal, uint32_t retry_after_ms,
                      const char *format, ...)
{
  char number[NUMBER_BYTES];
  bool waits = has_recorded_claim (request);
  va_list arguments;
  refusal = correct_refusal (request, refusal);
  va_start (arguments, format);
  char *message = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  struct MHD_Response *response = router_refusal_response (
      refusal, message, request->request_id, retry_after_ms);
  if (refusal == ROUTER_REFUSAL_ALREADY_BILLED)
    {
      snprintf (number, sizeof number, "%" PRIu64,
                request->rerun_billed_tokens);
      MHD_add_response_header (response, "Cactus-Billed-Tokens", number);
    }
  router_metrics_count_refusal (request->router->metrics,
                                router_refusal_code (refusal));
  g_free (message);
  release_claim_and_tokens (request, refusal);
  leave_target (request);
  request->refusal = response;
  request->refusal_status = router_refusal_status (refusal);
  request->step = ROUTER_STEP_SETTLING;
  request->settling_ms = base_clock_now_ms (base_clock_system ());
  if (!waits)
    router_finish_deliver (request);
}

void
router_finish_add_headers (const struct router_request *request,
                           struct MHD_Response *response)
{
  MHD_add_response_header (response, "Cactus-Request-Id", request->request_id);
  MHD_add_response_header (response, "Cactus-Run", "ran");
}

static void
send_response (struct router_request *request, uint32_t status,
               const char *content_type, const char *body, size_t bytes)
{
  char number[NUMBER_BYTES];
  struct MHD_Response *response = MHD_create_response_from_buffer (
      bytes, (void *)body, MHD_RESPMEM_MUST_COPY);
  router_finish_add_headers (request, response);
  MHD_add_response_header (response, "Content-Type",
                           content_type ? content_type : JSON_TYPE);
  snprintf (number, sizeof number, "%" PRIu64, request->billed_tokens);
  MHD_add_response_header (response, "Cactus-Billed-Tokens", number);
  router_stream_set_response (&request->stream, status, response);
}

void
router_finish_replay (struct router_request *request)
{
  const GString *response = request->claim.response;
  char *line_feed = memchr (response->str, '\n', response->len);
  if (request->claim.http_status == 0 || !line_feed)
    {
      router_finish_refuse (request, ROUTER_REFUSAL_ANSWER_NOT_KEPT, 0,
                            "the call ran, but its response was not stored");
      return;
    }
  request->billed_tokens = request->claim.billed_tokens;
  *line_feed = '\0';
  send_response (request, request->claim.http_status, response->str,
                 line_feed + 1,
                 response->len - (size_t)(line_feed + 1 - response->str));
  router_ledger_release (request);
  router_finish_close (request);
}

void
router_finish_settle (struct router_request *request, uint64_t used_tokens)
{
  router_queue_release (request->router->queue, request,
                        router_worker_reader (request->worker), false);
  request->step = ROUTER_STEP_SETTLING;
  request->settling_ms = base_clock_now_ms (base_clock_system ());
  router_ledger_settle (request, used_tokens);
  router_finish_claim (request, false, true);
  router_finish_deliver_recorded (request);
}

void
router_finish_deliver_recorded (struct router_request *request)
{
  bool is_settled = request->refusal || !request->settle.open;
  if (request->step == ROUTER_STEP_SETTLING && is_settled
      && !request->outcome_open)
    router_finish_deliver (request);
}

static void
deliver_refusal (struct router_request *request)
{
  router_stream_set_response (&request->stream, request->refusal_status,
                              request->refusal);
  request->refusal = NULL;
  router_finish_close (request);
}

void
router_finish_deliver (struct router_request *request)
{
  if (request->refusal)
    {
      deliver_refusal (request);
      return;
    }
  struct router_attempt *attempt = request->attempt;
  const GString *body = router_attempt_body (attempt);
  send_response (request, router_attempt_status (attempt),
                 router_attempt_content_type (attempt), body->str, body->len);
  router_finish_record_metrics (request);
  router_finish_close (request);
}

void
router_finish_record_metrics (struct router_request *request)
{
  uint64_t latency_us = router_request_age_us (request);
  const struct router_series *series[]
      = { request->account_series, request->class_series };
  for (size_t i = 0; i < G_N_ELEMENTS (series); i++)
    {
      base_counter_add (series[i]->served, 1);
      base_counter_add (series[i]->billed_tokens,
                        request->billed_tokens - request->rerun_billed_tokens);
      base_histogram_record (series[i]->latency_us, latency_us);
    }
}
