#include "edge_send.h"

#include <inttypes.h>
#include <string.h>

#include "base_event.h"
#include "edge_answer.h"
#include "edge_settle.h"

#define CANDIDATES_MAX 1024
/* Sends that targets refused, beyond the runs that the route allows. */
#define REFUSED_SENDS_MAX 2
/* Time for a connection: several round trips between regions. */
#define CONNECT_TIMEOUT_MS 400
/* Time past a request's deadline after which the library ends a transfer; the
   router's own limit comes first. */
#define TRANSFER_SLACK_MS 2000
/* Time that a caller is told to stay away when targets are full or gone. */
#define FULL_RETRY_AFTER_MS 150
#define GONE_RETRY_AFTER_MS 200
/* Least time left that makes another send worthwhile, in milliseconds. */
#define SEND_TIME_MIN_MS 50
#define STATUS_REDIRECTION 300
#define STATUS_SERVER_ERROR 500
#define STATUS_MISDIRECTED 421

/* Candidates of one choice. */
struct choice
{
  const struct edge_request *request;
  struct place_candidate candidates[CANDIDATES_MAX];
  struct edge_target *targets[CANDIDATES_MAX];
  uint32_t count;
};

static enum place_distance
distance_to (const struct edge *edge, const char *zone)
{
  const struct edge_options *options = &edge->options;
  if (strcmp (zone, options->availability_zone) == 0)
    return PLACE_SAME_ZONE;
  const char *region = options->region_of (options->region_context, zone);
  return region && strcmp (region, options->region) == 0 ? PLACE_SAME_REGION
                                                         : PLACE_OTHER_REGION;
}

static bool
is_avoided (const struct edge_request *request, const char *name)
{
  for (uint32_t i = 0; i < request->avoid_count; i++)
    if (strcmp (request->avoid[i], name) == 0)
      return true;
  return false;
}

static void
add_candidate (void *context, struct edge_target *target)
{
  struct choice *choice = context;
  const struct edge_request *request = choice->request;
  if (choice->count == CANDIDATES_MAX)
    return;
  choice->targets[choice->count] = target;
  choice->candidates[choice->count++] = (struct place_candidate){
    .name = target->record.name,
    .load = &target->load,
    .distance = distance_to (request->edge, target->record.availability_zone),
    .slots = target->record.slots,
    .kv_tokens = request->service->kv_tokens,
    .is_unannounced = edge_target_is_silent (target, edge_now_ms ()),
    .is_avoided = is_avoided (request, target->record.name),
    .routers = edge_retry_routers (request->edge->retry),
  };
}

/* The best target, also one left alone when all are. */
static int
choose (struct choice *choice, uint64_t now_ms, uint64_t random)
{
  const struct place_request *call = &choice->request->call;
  int index
      = place_choose (choice->candidates, choice->count, call, now_ms, random);
  return index >= 0 ? index
                    : place_choose (choice->candidates, choice->count, call,
                                    UINT64_MAX / 2, random);
}

static uint32_t
left_ms (const struct edge_request *request, uint64_t now_ms)
{
  return request->deadline_ms > now_ms
             ? (uint32_t)(request->deadline_ms - now_ms)
             : 0;
}

static void
fill_send (struct edge_request *request, uint64_t now_ms)
{
  uint32_t priority = request->route->priority;
  if (request->account && request->account->has_priority)
    priority = request->account->priority;
  request->send = (struct edge_send_headers){
    .request_id = request->head.request_id,
    .target = request->target->record.name,
    .account = request->account ? request->account->name : NULL,
    .deadline_ms = left_ms (request, now_ms),
    .priority = priority,
    .last_event_id = request->events ? edge_events_last_id (request->events)
                                     : request->head.last_event_id,
  };
}

/* Connections are kept only for requests that may be sent twice: a target may
   close a kept one just as a request is on its way. */
static struct edge_attempt *
start_attempt (struct edge_request *request)
{
  struct edge_attempt_call call = {
    .dialect = request->edge->options.dialect,
    .head = &request->head,
    .send = &request->send,
    .address = request->target->record.address,
    .port = (uint16_t)request->target->record.port,
    .body = request->body,
    .reuse = request->is_idempotent,
    .connect_timeout_ms = CONNECT_TIMEOUT_MS,
    .timeout_ms = request->send.deadline_ms + TRANSFER_SLACK_MS,
  };
  return edge_attempt_create (request->edge->loop, &call, &request->user);
}

static void
send_to (struct edge_request *request, struct edge_target *target,
         const struct place_candidate *candidate, uint64_t now_ms)
{
  request->target = edge_target_ref (target);
  request->unread_tokens = place_sent (candidate, &request->call, now_ms);
  request->awaits_first = true;
  request->sends++;
  request->runs++;
  request->sent_ms = now_ms;
  request->heard_ms = 0;
  request->step = EDGE_STEP_SENT;
  fill_send (request, now_ms);
  base_event ("send id=%s target=%s address=%s:%u heard=%d running=%" PRIu32
              " unread_tokens=%" PRIu32 " faults=%.2f send=%" PRIu32
              " left_ms=%" PRIu32 " after_event=%" PRId64,
              request->head.request_id, target->record.name,
              target->record.address, target->record.port,
              !edge_target_is_silent (target, now_ms), target->load.running,
              request->unread_tokens,
              place_recent_failures (&target->load, now_ms), request->sends,
              request->send.deadline_ms, request->send.last_event_id);
  request->attempt = start_attempt (request);
  if (!request->attempt)
    edge_send_done (request, EDGE_UNSENT);
}

/* No target: the final answer, by whether it may have run. */
static void
give_up (struct edge_request *request, uint32_t retry_after_ms,
         const char *reason)
{
  if (request->is_started)
    edge_answer_end (request, true, reason);
  else if (request->maybe_ran)
    edge_answer_refuse (request, MHD_HTTP_BAD_GATEWAY, 0, reason);
  else
    edge_answer_refuse (request, MHD_HTTP_SERVICE_UNAVAILABLE, retry_after_ms,
                        reason);
}

void
edge_send_request (struct edge_request *request)
{
  struct edge *edge = request->edge;
  uint64_t now_ms = edge_now_ms ();
  struct choice *choice = g_new (struct choice, 1);
  choice->request = request;
  choice->count = 0;
  edge_targets_visit (edge->targets, request->service->name, add_candidate,
                      choice);
  int index = choose (choice, now_ms, base_random_next (&edge->random));
  if (index < 0)
    give_up (request, GONE_RETRY_AFTER_MS, "no target is known");
  else
    send_to (request, choice->targets[index], &choice->candidates[index],
             now_ms);
  g_free (choice);
}

static void
avoid_target (struct edge_request *request)
{
  if (request->avoid_count < EDGE_AVOID_MAX)
    request->avoid[request->avoid_count++]
        = g_intern_string (request->target->record.name);
}

/* Sends it once more, when time and the budget of second sends allow it. */
static bool
send_again (struct edge_request *request, const char *reason)
{
  struct edge *edge = request->edge;
  uint64_t now_ms = edge_now_ms ();
  if (left_ms (request, now_ms) < SEND_TIME_MIN_MS
      || request->sends >= request->route->max_attempts + REFUSED_SENDS_MAX
      || !edge_retry_take (edge->retry, request->service->name, now_ms))
    return false;
  base_event ("send-again id=%s reason=\"%s\" after=%s sends=%" PRIu32
              " runs=%" PRIu32 " left_ms=%" PRIu32,
              request->head.request_id, reason, request->target->record.name,
              request->sends, request->runs, left_ms (request, now_ms));
  base_counter_add (edge->counters.resent, 1);
  avoid_target (request);
  edge_settle_target (request);
  if (request->events)
    edge_events_resume (request->events);
  edge_send_request (request);
  return true;
}

bool
edge_send_may_repeat (struct edge_request *request)
{
  return request->is_idempotent
         && request->runs < request->route->max_attempts;
}

/* The target did not run it. */
static void
take_not_run (struct edge_request *request, const char *reason)
{
  request->runs--;
  if (!send_again (request, reason))
    give_up (request, FULL_RETRY_AFTER_MS, reason);
}

/* The target may have run it, and no answer can be passed on. */
static void
take_lost (struct edge_request *request, const char *reason)
{
  request->maybe_ran = true;
  place_failed (&request->target->load, edge_now_ms ());
  if (edge_send_may_repeat (request) && send_again (request, reason))
    {
      if (request->is_started)
        base_counter_add (request->edge->counters.resumed, 1);
      return;
    }
  give_up (request, 0, reason);
}

static void
take_refusal (struct edge_request *request,
              const struct edge_target_response *answer)
{
  base_event ("target-refused id=%s target=%s status=%" PRIu32
              " running=%" PRIu32,
              request->head.request_id, request->target->record.name,
              answer->status, request->target->load.running);
  if (answer->status == STATUS_MISDIRECTED)
    {
      /* Its run is over, though no announcement has said so yet. */
      request->target->is_replaced = true;
      take_not_run (request, "the address has another target");
      return;
    }
  place_failed (&request->target->load, edge_now_ms ());
  take_not_run (request, "the target is full");
}

/* The target ended a stream that is under way; only a successful stream that
   ends after a whole event is complete. */
static void
end_stream (struct edge_request *request,
            const struct edge_target_response *answer, uint64_t now_ms)
{
  if (!answer->is_stream || answer->status >= STATUS_REDIRECTION)
    take_lost (request, "the target did not go on with the stream");
  else if (edge_events_partial (request->events))
    take_lost (request, "the stream ended inside an event");
  else
    {
      place_served (&request->target->load, now_ms);
      edge_answer_end (request, false, "-");
    }
}

/* A whole answer of the target. */
static void
take_whole (struct edge_request *request)
{
  const struct edge_target_response *answer
      = edge_attempt_answer (request->attempt);
  uint64_t now_ms = edge_now_ms ();
  if (answer->not_run)
    {
      take_refusal (request, answer);
      return;
    }
  if (request->is_started)
    {
      end_stream (request, answer, now_ms);
      return;
    }
  request->maybe_ran = true;
  if (answer->status < STATUS_SERVER_ERROR)
    {
      place_served (&request->target->load, now_ms);
      edge_answer_whole (request);
      return;
    }
  place_failed (&request->target->load, now_ms);
  if (!edge_send_may_repeat (request)
      || !send_again (request, "the target failed"))
    edge_answer_whole (request);
}

void
edge_send_done (struct edge_request *request, enum edge_outcome outcome)
{
  const char *reason
      = request->attempt ? edge_attempt_error (request->attempt) : "no memory";
  if (outcome == EDGE_WHOLE)
    {
      take_whole (request);
      return;
    }
  base_event ("send-failed id=%s target=%s outcome=%s error=\"%s\" reused=%d "
              "events=%" PRIu32 " after_ms=%" PRIu64,
              request->head.request_id, request->target->record.name,
              outcome == EDGE_UNSENT ? "unsent" : "lost", reason,
              request->attempt && edge_attempt_reused (request->attempt),
              request->event_count, edge_now_ms () - request->sent_ms);
  if (outcome == EDGE_UNSENT)
    {
      place_unreachable (&request->target->load, edge_now_ms ());
      take_not_run (request, "the target can't be reached");
    }
  else
    take_lost (request, reason);
}

void
edge_send_abandon (struct edge_request *request, const char *reason)
{
  struct edge_target *target = edge_target_ref (request->target);
  uint64_t now_ms = edge_now_ms ();
  uint64_t sent_ms = request->sent_ms;
  request->maybe_ran = true;
  if (send_again (request, reason))
    {
      place_failed (&target->load, now_ms);
      base_event (
          "target-silent id=%s target=%s reason=\"%s\" after_ms=%" PRIu64,
          request->head.request_id, target->record.name, reason,
          now_ms - sent_ms);
    }
  edge_target_unref (target);
}
