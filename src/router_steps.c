#include "router_steps.h"

#include "router.h"
#include "router_begin.h"
#include "router_finish.h"
#include "router_ledger.h"
#include "router_relay.h"
#include "router_serve.h"

#define CALLER_CHECK_MS 250
/* A response is sent after this time even if its settlement is not answered,
   or control has not recorded the outcome of its call. */
#define SETTLE_WAIT_MS 2000
/* Time after a stream's last event in which its transfer may end in order, so
   that its connection can be used again. */
#define LAST_EVENT_WAIT_MS 100

static void
handle_ledger_answers (struct router_request *request)
{
  if (router_ledger_take_answer (&request->reserve)
      && request->step == ROUTER_STEP_RESERVING)
    router_begin_handle_reservation (request);
  /* The request may be waiting for another target by then. */
  if (router_ledger_take_answer (&request->extend)
      && (request->step == ROUTER_STEP_SENDING
          || request->step == ROUTER_STEP_QUEUED))
    router_relay_handle_authorisation (request);
  if (router_ledger_take_answer (&request->settle))
    router_finish_deliver_recorded (request);
}

/* A request ends when its caller disconnects, but a claimed call that was sent
   continues, so that its outcome is known. */
static void
handle_caller_left (struct router_request *request)
{
  request->caller_left = true;
  switch (request->step)
    {
    case ROUTER_STEP_QUEUED:
      router_finish_claim (request, true, false);
      router_ledger_release (request);
      router_finish_close (request);
      break;
    case ROUTER_STEP_SENDING:
      if (!request->idempotent)
        break;
      if (request->relay.started)
        router_ledger_settle (request, request->relay.delivered_tokens);
      else
        router_ledger_release (request);
      router_finish_close (request);
      break;
    case ROUTER_STEP_NEW:
    case ROUTER_STEP_RESERVING:
    case ROUTER_STEP_CLAIMING:
    case ROUTER_STEP_SETTLING:
    case ROUTER_STEP_ANSWERED:
      break;
    }
}

static void
handle_queue_events (struct router_request *request, uint32_t events)
{
  if (request->step != ROUTER_STEP_QUEUED)
    return;
  if (events & ROUTER_EVENT_TARGET_CHOSEN)
    router_serve_send (request);
  else if (events & ROUTER_EVENT_NO_TARGET)
    router_serve_no_target (request);
  else if (events & ROUTER_EVENT_EXPIRED)
    router_finish_refuse (request, ROUTER_REFUSAL_QUEUE_TIMEOUT, 0,
                          "no target became free in time");
}

void
router_steps_handle (struct router_request *request, uint32_t events)
{
  if (events & ROUTER_EVENT_START)
    router_begin (request);
  if (events & ROUTER_EVENT_CALLER_LEFT)
    handle_caller_left (request);
  if (events & ROUTER_EVENT_LEDGER)
    handle_ledger_answers (request);
  if (events & ROUTER_EVENT_OUTCOME)
    {
      request->outcome_open = false;
      router_finish_deliver_recorded (request);
    }
  if ((events & ROUTER_EVENT_CLAIM) && request->step == ROUTER_STEP_CLAIMING)
    router_serve_handle_claim (request);
  handle_queue_events (request, events);
  if ((events & ROUTER_EVENT_WRITABLE) && request->step == ROUTER_STEP_SENDING)
    router_relay_resume (request);
}

static void
end_at_deadline (struct router_request *request)
{
  if (request->step == ROUTER_STEP_QUEUED)
    router_finish_refuse (request, ROUTER_REFUSAL_QUEUE_TIMEOUT, 0,
                          "no target became free in time");
  else if (request->step == ROUTER_STEP_SENDING)
    router_relay_cut (request, ROUTER_REFUSAL_DEADLINE,
                      "the deadline of the request's class passed");
}

/* Ends an attempt whose target is connected but too slow. */
static void
check_target (struct router_request *request, uint64_t now_ms)
{
  uint32_t first_ms = request->request_class->first_token_ms;
  uint32_t stall_ms = request->router->options.stall_ms;
  uint64_t last_byte_ms = router_attempt_last_byte_ms (request->attempt);
  if (!request->body.stream)
    return;
  if (request->relay.finished)
    {
      /* The stream is whole; a target that then falls silent needs no more
         time. */
      if (now_ms > last_byte_ms + LAST_EVENT_WAIT_MS)
        router_relay_flush (request);
      return;
    }
  if (last_byte_ms == 0 && first_ms > 0
      && now_ms > request->sent_ms + first_ms)
    router_serve_abandon (request, "the target sent no first token in time");
  else if (last_byte_ms > 0 && now_ms > last_byte_ms + stall_ms
           && request->relay.held->len == 0 && !request->relay.buffer_full)
    router_serve_abandon (request,
                          "the target stopped sending within its response");
}

void
router_steps_check_timeouts (struct router_request *request, uint64_t now_ms)
{
  if (now_ms >= request->checked_ms + CALLER_CHECK_MS)
    {
      request->checked_ms = now_ms;
      if (!request->caller_left
          && router_stream_caller_left (&request->stream))
        {
          handle_caller_left (request);
          return;
        }
    }
  if (request->deadline_ms > 0 && now_ms >= request->deadline_ms
      && request->step != ROUTER_STEP_SETTLING)
    end_at_deadline (request);
  else if (request->step == ROUTER_STEP_SENDING && request->attempt)
    check_target (request, now_ms);
  else if (request->step == ROUTER_STEP_SETTLING
           && now_ms >= request->settling_ms + SETTLE_WAIT_MS)
    router_finish_deliver (request);
}
