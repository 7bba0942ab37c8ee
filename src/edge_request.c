#include "edge_request.h"

#include <inttypes.h>
#include <string.h>
#include <sys/epoll.h>

#include "base_event.h"
#include "edge_answer.h"
#include "edge_front.h"
#include "edge_links.h"
#include "edge_send.h"
#include "edge_settle.h"

#define EVENT_MAX_BYTES (256u * 1024)
/* Time past a deadline for an answer that is on its way, in milliseconds. */
#define DEADLINE_SLACK_MS 100
/* Time that a caller waits where none is said. */
#define DEADLINE_DEFAULT_MS 30000
/* Time that a caller is told to stay away: next to none where another router
   may serve it, else until control may have answered. */
#define ELSEWHERE_RETRY_AFTER_MS 50
#define LEASE_RETRY_AFTER_MS 200
/* Age of control's last answer above which it counts as cut off: three
   intervals of calls. */
#define CUT_OFF_MS 1000
/* Longest wait for a lease while control does not answer. */
#define LEASE_WAIT_MAX_MS 400
/* Part of the objective after which a safe call without an answer is tried
   elsewhere; of a stream, the whole objective. */
#define SAFE_PATIENCE_PERCENT 75
/* Silence inside a stream after which it is resumed elsewhere, in
   milliseconds; callers leave after 2,000 at the earliest. */
#define GAP_PATIENCE_MS 1200
/* Part of the grace after a stop in which new requests are served: the
   balancer notices within two checks, and later ones could be cut off by the
   end. */
#define STOP_SERVE_PERCENT 28

static bool take_data (struct edge_attempt_callbacks *user, const char *data,
                       size_t bytes);
static void take_done (struct edge_attempt_callbacks *user,
                       enum edge_outcome outcome);
static void take_caller (struct router_watch *watch, uint32_t events);
static void take_room (struct router_stream *stream);

struct edge_request *
edge_request_create (struct edge *edge, struct MHD_Connection *connection,
                     int caller_fd)
{
  struct edge_request *request = g_new0 (struct edge_request, 1);
  request->user.data = take_data;
  request->user.done = take_done;
  request->watch.ready = take_caller;
  request->edge = edge;
  request->references = 1;
  request->caller_fd = caller_fd;
  request->arrived_ms = edge_now_ms ();
  request->head.last_event_id = EDGE_NO_EVENT;
  request->head.lines = g_ptr_array_new_with_free_func (g_free);
  request->body = g_string_new (NULL);
  request->link.data = request;
  router_stream_init (&request->stream, connection, take_room);
  router_poll_watch (edge->loop, caller_fd, EPOLLRDHUP | EPOLLHUP | EPOLLERR,
                     &request->watch);
  return request;
}

void
edge_request_unref (struct edge_request *request)
{
  if (--request->references > 0)
    return;
  router_stream_clear (&request->stream);
  edge_events_destroy (request->events);
  edge_table_unref (request->table);
  g_ptr_array_unref (request->head.lines);
  g_string_free (request->body, TRUE);
  g_free (request->head.method);
  g_free (request->head.uri);
  g_free (request->head.host);
  g_free (request->head.key);
  g_free (request);
}

/* The service by the route's weights. */
static const struct edge_service *
choose_service (struct edge *edge, const struct edge_route *route)
{
  uint64_t total = 0;
  for (uint32_t i = 0; i < route->share_count; i++)
    total += route->shares[i].weight;
  uint64_t drawn = base_random_below (&edge->random, MAX (total, 1));
  for (uint32_t i = 0; i < route->share_count; i++)
    {
      if (drawn < route->shares[i].weight)
        return route->shares[i].service;
      drawn -= route->shares[i].weight;
    }
  return route->shares[route->share_count - 1].service;
}

static bool
find_route (struct edge_request *request)
{
  struct edge *edge = request->edge;
  if (!edge->table)
    {
      edge_answer_refuse (request, MHD_HTTP_SERVICE_UNAVAILABLE,
                          ELSEWHERE_RETRY_AFTER_MS,
                          "no configuration is in force yet");
      return false;
    }
  request->table = edge_table_ref (edge->table);
  char *path = g_strndup (request->head.uri, strcspn (request->head.uri, "?"));
  if (request->head.host)
    request->route
        = edge_table_find_route (request->table, request->head.host, path);
  g_free (path);
  if (request->route)
    return true;
  edge_answer_refuse (request, MHD_HTTP_NOT_FOUND, 0,
                      "no route has this host and path");
  return false;
}

static bool
find_account (struct edge_request *request)
{
  const char *key = request->head.key;
  if (key)
    request->account = edge_table_find_account_by_key (request->table, key);
  if (request->account || request->route->is_public
      || !edge_table_has_accounts (request->table))
    return true;
  edge_answer_refuse (request, MHD_HTTP_UNAUTHORIZED, 0,
                      "the key is not known");
  return false;
}

static void
set_call (struct edge_request *request)
{
  struct place_request *call = &request->call;
  const struct edge_request_head *head = &request->head;
  call->is_engine = request->service->is_engine;
  call->prompt_tokens = head->prompt_tokens;
  call->output_tokens = head->output_tokens;
  call->part_count = head->part_count;
  memcpy (call->parts, head->parts, sizeof call->parts);
}

static void
set_limits (struct edge_request *request)
{
  const struct edge_route *route = request->route;
  uint32_t limit_ms = request->head.deadline_ms ? request->head.deadline_ms
                                                : DEADLINE_DEFAULT_MS;
  if (route->timeout_ms > 0)
    limit_ms = MIN (limit_ms, route->timeout_ms);
  request->deadline_ms = request->arrived_ms + limit_ms;
  request->is_idempotent
      = route->kind == EDGE_SAFE
        || (route->kind == EDGE_STREAM && route->is_resumable);
  request->service = choose_service (request->edge, route);
  set_call (request);
  if (route->kind == EDGE_STREAM)
    request->events
        = edge_events_create (EVENT_MAX_BYTES, request->head.last_event_id);
}

/* Whether control has not answered for a while.  A run that it has never
   answered waits for the leader while members can be heard. */
static bool
is_cut_off (const struct edge *edge, uint64_t now_ms)
{
  uint64_t heard_ms = edge_prepaid_answered_ms (edge->prepaid);
  if (heard_ms == 0)
    heard_ms = edge_links_heard_ms (edge->links);
  return now_ms > heard_ms + CUT_OFF_MS;
}

/* Reserves the worst case; true when the request may be sent. */
static bool
reserve (struct edge_request *request)
{
  struct edge *edge = request->edge;
  uint64_t now_ms = edge_now_ms ();
  if (!request->account || !request->account->is_prepaid
      || !request->service->is_engine)
    return true;
  request->reserved_tokens
      = (uint64_t)request->call.prompt_tokens + request->call.output_tokens;
  uint32_t waited_ms = request->step == EDGE_STEP_LEASE
                           ? (uint32_t)MAX (now_ms - request->arrived_ms, 1)
                           : 0;
  switch (edge_prepaid_reserve (edge->prepaid, request->account->name,
                                request->reserved_tokens, waited_ms, now_ms))
    {
    case EDGE_PREPAID_RESERVED:
      request->holds_tokens = true;
      return true;
    case EDGE_PREPAID_WAIT:
      if (waited_ms == 0)
        base_event ("lease-wait id=%s account=%s tokens=%" PRIu64
                    " free_tokens=%" PRIu64 " usable_tokens=%" PRIu64
                    " answered_ago_ms=%" PRIu64,
                    request->head.request_id, request->account->name,
                    request->reserved_tokens,
                    edge_prepaid_free (edge->prepaid, request->account->name),
                    edge_prepaid_usable (edge->prepaid, request->account->name,
                                         now_ms),
                    now_ms - edge_prepaid_answered_ms (edge->prepaid));
      if (is_cut_off (edge, now_ms))
        {
          edge_answer_refuse (request, MHD_HTTP_SERVICE_UNAVAILABLE,
                              ELSEWHERE_RETRY_AFTER_MS,
                              "this router lacks tokens and control is cut "
                              "off");
          return false;
        }
      request->step = EDGE_STEP_LEASE;
      return false;
    case EDGE_PREPAID_EXHAUSTED:
    default:
      base_counter_add (edge->counters.exhausted, 1);
      base_event ("lease-exhausted id=%s account=%s tokens=%" PRIu64
                  " free_tokens=%" PRIu64,
                  request->head.request_id, request->account->name,
                  request->reserved_tokens,
                  edge_prepaid_free (edge->prepaid, request->account->name));
      edge_answer_refuse (request, MHD_HTTP_PAYMENT_REQUIRED, 0,
                          "the prepaid tokens don't cover the request");
      return false;
    }
}

static bool
may_begin (struct edge_request *request)
{
  const struct edge *edge = request->edge;
  if (!edge->stopping
      || request->arrived_ms < edge->stopping_ms
                                   + (uint64_t)edge->options.grace_ms
                                         * STOP_SERVE_PERCENT / 100)
    return true;
  edge_answer_refuse (request, MHD_HTTP_SERVICE_UNAVAILABLE,
                      ELSEWHERE_RETRY_AFTER_MS, "this router is stopping");
  return false;
}

/* A value that can't be read is never taken for another. */
static bool
is_read (struct edge_request *request)
{
  if (!request->head.malformed_header)
    return true;
  char *reason
      = g_strdup_printf ("%s can't be read", request->head.malformed_header);
  edge_answer_refuse (request, MHD_HTTP_BAD_REQUEST, 0, reason);
  g_free (reason);
  return false;
}

void
edge_request_begin (struct edge_request *request)
{
  struct edge *edge = request->edge;
  request->references++;
  g_queue_push_tail_link (&edge->requests, &request->link);
  base_counter_add (edge->counters.requests, 1);
  base_counter_set (edge->counters.open, edge->requests.length);
  if (!may_begin (request) || !is_read (request) || !find_route (request)
      || !find_account (request))
    return;
  set_limits (request);
  edge_retry_request (edge->retry, request->service->name,
                      request->arrived_ms);
  if (reserve (request))
    edge_send_request (request);
}

void
edge_request_leased (struct edge_request *request)
{
  if (request->step == EDGE_STEP_LEASE && reserve (request))
    edge_send_request (request);
}

/* Passes whole events on; an answer that is no stream is held until its
   end. */
static bool
take_data (struct edge_attempt_callbacks *user, const char *data, size_t bytes)
{
  struct edge_request *request = (struct edge_request *)user;
  GString *out = g_string_new (NULL);
  if (!request->events)
    request->events = edge_events_create (EVENT_MAX_BYTES, EDGE_NO_EVENT);
  int count = edge_events_feed (request->events, data, bytes, out);
  request->heard_ms = edge_now_ms ();
  if (count > 0)
    {
      edge_settle_first (request);
      request->event_count += (uint32_t)count;
      if (!request->is_started)
        edge_answer_start (request);
      request->is_full
          = !router_stream_write (&request->stream, out->str, out->len);
      edge_front_touch (request->edge->front);
      if (request->is_full)
        edge_attempt_pause (request->attempt, true);
    }
  g_string_free (out, TRUE);
  return count >= 0;
}

static void
take_done (struct edge_attempt_callbacks *user, enum edge_outcome outcome)
{
  struct edge_request *request = (struct edge_request *)user;
  edge_send_done (request, outcome);
}

static void
take_room (struct router_stream *stream)
{
  struct edge_request *request
      = (struct edge_request *)((char *)stream
                                - offsetof (struct edge_request, stream));
  request->is_full = false;
  if (request->attempt)
    edge_attempt_pause (request->attempt, false);
}

/* The caller closed its connection. */
static void
take_caller (struct router_watch *watch, uint32_t events)
{
  struct edge_request *request
      = (struct edge_request *)((char *)watch
                                - offsetof (struct edge_request, watch));
  (void)events;
  if (request->step == EDGE_STEP_OVER)
    return;
  base_counter_add (request->edge->counters.left, 1);
  edge_settle_count (request, EDGE_ACCOUNT_LEFT);
  base_event ("caller-left id=%s target=%s events=%" PRIu32 " age_ms=%" PRIu64,
              request->head.request_id,
              request->target ? request->target->record.name : "-",
              request->event_count, edge_now_ms () - request->arrived_ms);
  request->references++;
  if (request->step == EDGE_STEP_READING)
    router_poll_unwatch (request->edge->loop, request->caller_fd);
  else
    edge_settle_close (request);
  router_stream_abort (&request->stream);
  edge_front_touch (request->edge->front);
  edge_request_unref (request);
}

void
edge_request_leave (struct edge_request *request)
{
  router_poll_unwatch (request->edge->loop, request->caller_fd);
  router_stream_leave (&request->stream);
  if (request->step != EDGE_STEP_READING)
    edge_settle_close (request);
  edge_request_unref (request);
}

static void
end_by_deadline (struct edge_request *request)
{
  if (request->is_started)
    edge_answer_end (request, true, "the deadline passed");
  else if (request->runs > 0 || request->maybe_ran)
    edge_answer_refuse (request, MHD_HTTP_GATEWAY_TIMEOUT, 0,
                        "the deadline passed");
  else
    edge_answer_refuse (request, MHD_HTTP_SERVICE_UNAVAILABLE,
                        LEASE_RETRY_AFTER_MS, "the deadline passed unsent");
}

/* A target that took the request and is silent. */
static const char *
find_silence (const struct edge_request *request, uint64_t now_ms)
{
  uint64_t objective_ms = request->route->target_latency_ms;
  if (request->is_full)
    return NULL;
  if (request->is_started)
    return now_ms > request->heard_ms + GAP_PATIENCE_MS
               ? "the stream stands still"
               : NULL;
  if (request->route->kind == EDGE_SAFE)
    objective_ms = objective_ms * SAFE_PATIENCE_PERCENT / 100;
  if (objective_ms > 0 && now_ms > request->sent_ms + objective_ms)
    return "no answer within the objective";
  return NULL;
}

void
edge_request_sweep (struct edge_request *request, uint64_t now_ms)
{
  uint64_t slack_ms = request->step == EDGE_STEP_SENT ? DEADLINE_SLACK_MS : 0;
  if (now_ms >= request->deadline_ms + slack_ms)
    {
      end_by_deadline (request);
      return;
    }
  if (request->step == EDGE_STEP_LEASE
      && now_ms >= request->arrived_ms + LEASE_WAIT_MAX_MS)
    {
      edge_answer_refuse (request, MHD_HTTP_SERVICE_UNAVAILABLE,
                          LEASE_RETRY_AFTER_MS,
                          "control does not lease tokens now");
      return;
    }
  if (request->step == EDGE_STEP_LEASE
      && edge_prepaid_usable (request->edge->prepaid, request->account->name,
                              now_ms)
             >= request->reserved_tokens)
    {
      edge_request_leased (request);
      return;
    }
  if (request->step != EDGE_STEP_SENT || !edge_send_may_repeat (request))
    return;
  const char *reason = find_silence (request, now_ms);
  if (reason)
    edge_send_abandon (request, reason);
}
