#include "edge_timeouts.h"

#include "edge_answer.h"
#include "edge_permits.h"
#include "edge_pool.h"
#include "edge_reach.h"
#include "edge_room.h"
#include "edge_send.h"

/* Time after the deadline during which a sent request still waits for its
   response, in milliseconds. */
#define DEADLINE_SLACK_MS 100
/* Maximum wait for a lease, in milliseconds. */
#define LEASE_WAIT_MAX_MS 400
/* Value of Retry-After until control may have answered a lease call, in
   milliseconds. */
#define LEASE_RETRY_AFTER_MS 200
/* Percentage of the latency objective after which an unanswered request of an
   idempotent route is retried at another target; a stream gets the whole
   objective. */
#define SAFE_TIMEOUT_PERCENT 75
/* Time without data after which a stream is resumed at another target, in
   milliseconds; callers disconnect after 2,000 at the earliest. */
#define STREAM_GAP_TIMEOUT_MS 1200

static void
end_by_deadline (struct edge_request *request)
{
  if (request->is_started)
    edge_answer_end_stream (
        request, true, "the deadline passed before the response was complete");
  else if (request->attempts_maybe_run > 0 || request->maybe_ran)
    edge_answer_refuse (
        request, MHD_HTTP_GATEWAY_TIMEOUT, 0,
        "the deadline passed before the response was complete");
  else
    edge_answer_refuse (request, MHD_HTTP_SERVICE_UNAVAILABLE,
                        LEASE_RETRY_AFTER_MS,
                        "the deadline passed before the request was sent");
}

/* Returns the reason why the target counts as stalled, or NULL. */
static const char *
find_stall (const struct edge_request *request, uint64_t now_ms)
{
  uint64_t objective_ms = request->route->latency_objective_ms;
  if (request->is_buffer_full || request->awaits_answer_room)
    return NULL;
  if (request->is_started)
    return now_ms > request->last_data_ms + STREAM_GAP_TIMEOUT_MS
               ? "the target sent no stream data for " G_STRINGIFY (
                   STREAM_GAP_TIMEOUT_MS) " ms"
               : NULL;
  if (request->route->kind == EDGE_ROUTE_IDEMPOTENT)
    objective_ms = objective_ms * SAFE_TIMEOUT_PERCENT / 100;
  if (objective_ms > 0 && now_ms > request->sent_ms + objective_ms)
    return "no response within the latency objective";
  return NULL;
}

void
edge_timeouts_check (struct edge_request *request, uint64_t now_ms,
                     uint64_t looked_ms)
{
  uint64_t slack_ms = request->step == EDGE_STEP_SENT ? DEADLINE_SLACK_MS : 0;
  if (now_ms >= request->deadline_ms + slack_ms)
    {
      edge_pool_note_deadline (request, looked_ms);
      end_by_deadline (request);
      return;
    }
  if (request->step == EDGE_STEP_AWAITS_TABLE)
    {
      edge_request_retry_table (request, now_ms);
      return;
    }
  if (request->step == EDGE_STEP_AWAITS_VERSION)
    {
      edge_request_retry_version (request);
      return;
    }
  if (edge_room_is_overdue (request, now_ms))
    {
      edge_send_reject_full (request);
      return;
    }
  if (edge_permits_is_overdue (request))
    {
      edge_send_reject_unpermitted (request);
      return;
    }
  if (request->step == EDGE_STEP_AWAITS_LEASE
      && now_ms >= request->arrived_ms + LEASE_WAIT_MAX_MS
      && !edge_silence_ends_soon (request->edge, now_ms))
    {
      edge_answer_refuse (request, MHD_HTTP_SERVICE_UNAVAILABLE,
                          LEASE_RETRY_AFTER_MS,
                          "control does not lease tokens now");
      return;
    }
  if (request->step == EDGE_STEP_AWAITS_LEASE
      && edge_prepaid_usable_tokens (request->edge->prepaid,
                                     request->account->name, now_ms)
             >= request->reserved_tokens)
    {
      edge_request_retry_lease (request);
      return;
    }
  if (request->step != EDGE_STEP_SENT)
    return;
  edge_request_retry_answer (request);
  if (request->attempt
      && edge_attempt_connect_is_overdue (request->attempt, looked_ms))
    {
      edge_send_handle_attempt_end (request, EDGE_ATTEMPT_UNSENT);
      return;
    }
  if (request->attempt && edge_attempt_is_flooded (request->attempt, now_ms))
    {
      edge_send_handle_attempt_end (request, EDGE_ATTEMPT_LOST);
      return;
    }
  const char *reason = find_stall (request, looked_ms);
  if (reason && !request->via)
    {
      edge_reach_suspect (request->edge, request->target);
      edge_pool_note_silence (request);
    }
  if (reason && edge_send_may_repeat (request))
    edge_send_handle_stall (request, reason);
}
