#include "router_serve.h"

#include <string.h>

#include "base_clock.h"
#include "router.h"
#include "router_finish.h"
#include "router_ledger.h"
#include "router_relay.h"
#include "router_worker.h"

#define STATUS_OK 200
#define STATUS_CLIENT_ERROR 400
#define STATUS_SERVER_ERROR 500
#define DEFAULT_BUDGET "default"

static bool
is_model (const struct router_request *request)
{
  return request->service->kind == BUNDLE_SERVICE_MODEL;
}

/* Refuses a request after failed attempts; the refusal states whether the
   request may have run. */
static void
refuse_failed (struct router_request *request)
{
  if (request->maybe_ran)
    router_finish_refuse (request, ROUTER_REFUSAL_TARGET_FAILED, 0,
                          "the target failed; the request may have run");
  else
    router_finish_refuse (request, ROUTER_REFUSAL_TARGETS_UNAVAILABLE, 0,
                          "no target accepted the request");
}

void
router_serve_no_target (struct router_request *request)
{
  if (request->attempts > 0)
    refuse_failed (request);
  else
    router_finish_refuse (request, ROUTER_REFUSAL_NO_TARGET, 0,
                          "this router knows no live target of service %s",
                          request->service->name);
}

static void
enter_queue (struct router_request *request)
{
  uint32_t retry_after_ms = 0;
  struct router *router = request->router;
  request->queued_us = base_clock_now_us (base_clock_system ());
  request->step = ROUTER_STEP_QUEUED;
  switch (router_queue_enter (router->queue, request,
                              router_worker_reader (request->worker),
                              &retry_after_ms))
    {
    case ROUTER_QUEUE_CHOSEN:
      router_serve_send (request);
      break;
    case ROUTER_QUEUE_WAITING:
      break;
    case ROUTER_QUEUE_NO_TARGET:
      router_serve_no_target (request);
      break;
    case ROUTER_QUEUE_REFUSED:
      router_finish_refuse (request, ROUTER_REFUSAL_OVERLOADED, retry_after_ms,
                            "the queue for a target is full or too slow");
      break;
    }
}

void
router_serve_start (struct router_request *request)
{
  if (request->idempotent)
    {
      enter_queue (request);
      return;
    }
  request->step = ROUTER_STEP_CLAIMING;
  router_claims_submit (request->router->claims, request);
}

/* This router holds the claim: it dispatches the call or releases the
   claim. */
static void
use_claim (struct router_request *request)
{
  request->holds_claim = true;
  if (request->caller_left)
    {
      router_finish_claim (request, true, false);
      router_ledger_release (request);
      router_finish_close (request);
    }
  else if (!request->holds_tokens && request->reserved_tokens > 0)
    router_finish_refuse (
        request, ROUTER_REFUSAL_IN_PROGRESS, 0,
        "a request with this idempotency key is in progress");
  else
    enter_queue (request);
}

static void
refuse_claim (struct router_request *request)
{
  const struct router_claim *claim = &request->claim;
  /* If control's answer was lost, control may hold the claim for this router.
     The refusal then releases it. */
  request->holds_claim = claim->rpc_status == WIRE_LOST;
  if (claim->rpc_status == WIRE_OK && claim->status == CONTROL_CONFLICT)
    router_finish_refuse (
        request, ROUTER_REFUSAL_KEY_CONFLICT, 0,
        "this idempotency key was used with a different request");
  else
    router_finish_refuse (request, ROUTER_REFUSAL_CONTROL_UNAVAILABLE, 0,
                          "control can't record the call at the moment");
}

void
router_serve_handle_claim (struct router_request *request)
{
  const struct router_claim *claim = &request->claim;
  if (claim->rpc_status != WIRE_OK || claim->status != CONTROL_OK)
    {
      refuse_claim (request);
      return;
    }
  switch (claim->state)
    {
    case CONTROL_CLAIM_GRANTED:
      use_claim (request);
      break;
    case CONTROL_CLAIM_DONE:
      router_finish_replay (request);
      break;
    case CONTROL_CLAIM_RUNNING:
      router_finish_refuse (request, ROUTER_REFUSAL_IN_PROGRESS, 0,
                            "a call with this idempotency key is in progress");
      break;
    case CONTROL_CLAIM_UNKNOWN:
    default:
      router_finish_refuse (
          request, ROUTER_REFUSAL_OUTCOME_UNKNOWN, 0,
          "a call with this idempotency key may have run; it will not "
          "be run again");
      break;
    }
}

static void
avoid_target (struct router_request *request)
{
  if (request->avoid_count == ROUTER_AVOIDED_TARGETS_MAX)
    return;
  g_strlcpy (request->avoid[request->avoid_count++], request->choice.target,
             CACTUS_NAME_BYTES + 1);
}

static uint32_t
remaining_ms (const struct router_request *request)
{
  uint64_t now = base_clock_now_ms (base_clock_system ());
  return request->deadline_ms > now ? (uint32_t)(request->deadline_ms - now)
                                    : 0;
}

/* A target that failed after receiving the request does not get it again.
   When there is no other target, the caller is refused at once and does not
   wait. */
static bool
may_retry (struct router_request *request, enum retry_progress progress)
{
  struct router *router = request->router;
  if (request->caller_left)
    return false;
  if (progress == RETRY_SENT
      && !router_queue_has_untried_target (
          router->queue, request, router_worker_reader (request->worker)))
    return false;
  return retry_decide (router->retry, progress, request->idempotent,
                       request->attempts, remaining_ms (request))
         == RETRY_AGAIN;
}

/* Handles an attempt that failed before any byte was sent to the caller. */
static void
retry_attempt (struct router_request *request, enum retry_progress progress)
{
  request->maybe_ran |= progress == RETRY_SENT;
  router_relay_discard (request);
  if (request->maybe_ran)
    progress = MAX (progress, RETRY_SENT);
  avoid_target (request);
  router_attempt_destroy (request->attempt);
  request->attempt = NULL;
  router_queue_release (request->router->queue, request,
                        router_worker_reader (request->worker), true);
  if (!may_retry (request, progress))
    {
      refuse_failed (request);
      return;
    }
  router_metrics_count_retry (request->router->metrics);
  enter_queue (request);
}

static void
fail_attempt (struct router_request *request, enum retry_progress progress,
              const char *reason)
{
  if (!request->relay.started)
    {
      retry_attempt (request, progress);
      return;
    }
  router_queue_release (request->router->queue, request,
                        router_worker_reader (request->worker), true);
  router_relay_cut (request, ROUTER_REFUSAL_TARGET_FAILED, reason);
}

void
router_serve_abandon (struct router_request *request, const char *reason)
{
  fail_attempt (request, RETRY_SENT, reason);
}

/* A complete response of a model target must contain its usage. */
static void
handle_complete_response (struct router_request *request)
{
  uint64_t used = 0;
  const GString *body = router_attempt_body (request->attempt);
  if (!is_model (request))
    router_finish_settle (request, request->service->call_tokens);
  else if (router_relay_read_usage (body->str, body->len, &used))
    router_finish_settle (request, used);
  else
    fail_attempt (request, RETRY_SENT,
                  "the target's response has no valid choices or usage");
}

static void
handle_response (struct router_request *request)
{
  uint32_t status = router_attempt_status (request->attempt);
  bool refused = status >= STATUS_CLIENT_ERROR;
  if (request->relay.finished)
    router_relay_flush (request);
  else if (status >= STATUS_SERVER_ERROR && request->idempotent)
    fail_attempt (request, RETRY_SENT,
                  "the target responded with a server error");
  else if (is_model (request) && refused)
    {
      router_ledger_release (request);
      router_finish_settle (request, 0);
    }
  else if (is_model (request) && (status != STATUS_OK || request->body.stream))
    fail_attempt (
        request, RETRY_SENT,
        "the target's response has an unexpected status or is no stream");
  else
    handle_complete_response (request);
}

static bool
handle_event (struct router_attempt_callbacks *callbacks, const char *data,
              size_t bytes)
{
  return router_relay_handle_event ((struct router_request *)callbacks, data,
                                    bytes);
}

static bool
has_last_event (const struct router_attempt_callbacks *callbacks)
{
  return ((const struct router_request *)callbacks)->relay.finished;
}

static void
handle_done (struct router_attempt_callbacks *callbacks,
             enum router_attempt_outcome outcome)
{
  struct router_request *request = (struct router_request *)callbacks;
  switch (outcome)
    {
    case ROUTER_ATTEMPT_COMPLETE:
      handle_response (request);
      break;
    case ROUTER_ATTEMPT_UNSENT:
      fail_attempt (request, RETRY_UNSENT, "the target could not be reached");
      break;
    case ROUTER_ATTEMPT_REFUSED:
      fail_attempt (request, RETRY_REFUSED, "the target refused the request");
      break;
    case ROUTER_ATTEMPT_LOST:
      fail_attempt (request, RETRY_SENT,
                    "the connection to the target was lost or its response "
                    "was malformed");
      break;
    }
}

static void
fill_call (struct router_request *request, struct router_attempt_call *call)
{
  const struct router_head *head = &request->head;
  call->address = request->choice.address;
  call->port = request->choice.port;
  call->method = head->method;
  call->path = head->uri;
  call->content_type = head->content_type;
  call->request_id = request->request_id;
  call->key = request->key;
  call->account = request->account->name;
  call->budget = head->budget ? head->budget : DEFAULT_BUDGET;
  call->body = head->body->str;
  call->body_bytes = head->body->len;
  call->reuse = request->idempotent;
  call->timeout_ms = remaining_ms (request);
  if (is_model (request))
    {
      call->content_type = "application/json";
      call->body = request->target_body;
      call->body_bytes = request->target_body_bytes;
    }
  else if (request->service->call_timeout_ms > 0)
    call->timeout_ms
        = MIN (call->timeout_ms, request->service->call_timeout_ms);
}

void
router_serve_send (struct router_request *request)
{
  struct router_attempt_call call = { 0 };
  uint64_t now_us = base_clock_now_us (base_clock_system ());
  request->attempt_callbacks.event = handle_event;
  request->attempt_callbacks.has_last_event = has_last_event;
  request->attempt_callbacks.done = handle_done;
  if (request->attempts++ == 0)
    {
      retry_budget_earn (request->router->retry);
      base_histogram_record (request->class_series->queue_us,
                             now_us - request->queued_us);
    }
  request->step = ROUTER_STEP_SENDING;
  request->sent_ms = now_us / 1000;
  if (remaining_ms (request) == 0)
    {
      router_finish_refuse (request, ROUTER_REFUSAL_QUEUE_TIMEOUT, 0,
                            "the deadline passed before a target was free");
      return;
    }
  fill_call (request, &call);
  request->attempt
      = router_attempt_create (router_worker_poll (request->worker), &call,
                               &request->attempt_callbacks);
  if (!request->attempt)
    {
      retry_attempt (request, RETRY_UNSENT);
      return;
    }
  if (request->body.stream)
    router_relay_prepare (request);
}
