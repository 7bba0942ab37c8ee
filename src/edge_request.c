#include "edge_request.h"

#include <inttypes.h>
#include <string.h>
#include <sys/epoll.h>

#include <xxhash.h>

#include "base_clock.h"
#include "base_event.h"
#include "edge_answer.h"
#include "edge_disconnect.h"
#include "edge_front.h"
#include "edge_links.h"
#include "edge_loans.h"
#include "edge_permits.h"
#include "edge_reach.h"
#include "edge_send.h"
#include "edge_settle.h"
#include "edge_start.h"
#include "edge_version.h"

#define EVENT_MAX_BYTES (256u * 1024)
/* Deadline of a request that does not specify one, in milliseconds. */
#define DEFAULT_DEADLINE_MS 30000
/* Value of Retry-After where another router may serve the request, in
   milliseconds. */
#define ELSEWHERE_RETRY_AFTER_MS 50
/* Time that a failure of a target costs the caller of a request that is sent
   again, and of one that isn't: the caller has to find out what happened. */
#define RETRY_COST_MS 400
#define LOSS_COST_MS 1000
/* Percentage of the grace period in which requests are still sent to targets
   after a stop request: the load balancer notices the stop within two
   readiness checks, and later requests could be cut off by the forced stop. */
#define STOP_SERVE_PERCENT 28

static bool may_send (struct edge_attempt_callbacks *callbacks);
static void handle_head (struct edge_attempt_callbacks *callbacks);
static bool handle_data (struct edge_attempt_callbacks *callbacks,
                         const char *data, size_t bytes);
static bool hold (struct edge_attempt_callbacks *callbacks, uint64_t bytes);
static void describe_events (struct edge_attempt_callbacks *callbacks,
                             struct http_ending *ending);
static void handle_done (struct edge_attempt_callbacks *callbacks,
                         enum edge_attempt_outcome outcome);
static void handle_writable (struct router_stream *stream);

struct edge_request *
edge_request_create (struct edge *edge, struct MHD_Connection *connection,
                     const char *http_version, int caller_fd)
{
  struct edge_request *request = g_new0 (struct edge_request, 1);
  request->callbacks.may_send = may_send;
  request->callbacks.head = handle_head;
  request->callbacks.data = handle_data;
  request->callbacks.hold = hold;
  request->callbacks.describe_events = describe_events;
  request->callbacks.done = handle_done;
  request->watch.ready = edge_disconnect_handle;
  request->edge = edge;
  request->references = 1;
  request->caller_fd = caller_fd;
  request->arrived_ms = edge_now_ms ();
  request->head.last_event_id = EDGE_NO_EVENT;
  request->head.lines = g_ptr_array_new_with_free_func (g_free);
  request->body = g_string_new (NULL);
  request->link.data = request;
  router_stream_init (&request->stream, connection, http_version,
                      handle_writable);
  router_poll_watch_close (edge->loop, caller_fd, &request->watch);
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

uint32_t
edge_request_priority (const struct edge_request *request)
{
  uint32_t priority = request->route->priority;
  if (request->account && request->account->has_priority)
    priority = request->account->priority;
  return MIN (priority, EDGE_DEMAND_PRIORITIES - 1);
}

gint
edge_request_compare (gconstpointer a, gconstpointer b)
{
  const struct edge_request *left = *(struct edge_request *const *)a;
  const struct edge_request *right = *(struct edge_request *const *)b;
  uint32_t left_priority = edge_request_priority (left);
  uint32_t right_priority = edge_request_priority (right);
  if (left_priority != right_priority)
    return left_priority < right_priority ? -1 : 1;
  return (left->arrived_ms > right->arrived_ms)
         - (left->arrived_ms < right->arrived_ms);
}

bool
edge_request_allows_zone (const struct edge_request *request,
                          const char *availability_zone)
{
  const struct edge_options *options = &request->edge->options;
  const struct edge_regions *route = request->route->regions;
  const struct edge_regions *account
      = request->account ? request->account->regions : NULL;
  if (!route && !account)
    return true;
  return edge_regions_allow (
      route, account,
      options->region_of (options->region_context, availability_zone));
}

uint64_t
edge_request_digest (struct edge_request *request)
{
  const char *account = request->account ? request->account->name : "";
  if (request->has_digest)
    return request->digest;
  /* The host is part of the path: routes of two hosts may share prefixes. */
  char *head = g_strdup_printf ("%s %s %s %s", account, request->head.method,
                                request->head.host ? request->head.host : "",
                                request->head.uri);
  request->digest
      = XXH3_64bits_withSeed (request->body->str, request->body->len,
                              XXH3_64bits (head, strlen (head)));
  request->has_digest = true;
  g_free (head);
  return request->digest;
}

/* Chooses a service at random by the route's weights. */
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
  if (!edge_is_informed (edge))
    {
      edge_answer_refuse (request, MHD_HTTP_SERVICE_UNAVAILABLE,
                          ELSEWHERE_RETRY_AFTER_MS,
                          edge->table ? "the evacuated zones aren't known yet"
                                      : "no configuration is in force yet");
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
                      "no route matches this host and path");
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
  edge_answer_refuse (request, MHD_HTTP_UNAUTHORIZED, 0, "unknown API key");
  return false;
}

static void
set_placement (struct edge_request *request)
{
  struct place_request *placement = &request->placement;
  const struct edge_request_head *head = &request->head;
  placement->is_engine = request->service->is_engine;
  placement->prompt_tokens = head->prompt_tokens;
  placement->output_tokens = head->output_tokens;
  placement->part_count = head->part_count;
  if (request->edge->options.compares_failure_rates && !placement->is_engine)
    placement->failure_cost_ms
        = request->is_idempotent ? RETRY_COST_MS : LOSS_COST_MS;
  memcpy (placement->parts, head->parts, sizeof placement->parts);
}

static void
set_limits (struct edge_request *request)
{
  const struct edge_route *route = request->route;
  uint32_t limit_ms = request->head.deadline_ms ? request->head.deadline_ms
                                                : DEFAULT_DEADLINE_MS;
  if (route->timeout_ms > 0)
    limit_ms = MIN (limit_ms, route->timeout_ms);
  request->deadline_ms = request->arrived_ms + limit_ms;
  request->is_idempotent
      = route->kind == EDGE_ROUTE_IDEMPOTENT
        || (route->kind == EDGE_ROUTE_STREAM && route->is_resumable);
  request->service = choose_service (request->edge, route);
  if (route->kind == EDGE_ROUTE_STREAM)
    request->events
        = edge_events_create (EVENT_MAX_BYTES, request->head.last_event_id);
}

static void
refuse_exhausted (struct edge_request *request)
{
  struct edge *edge = request->edge;
  base_counter_add (edge->counters.exhausted, 1);
  base_event (
      "lease-exhausted id=%s account=%s tokens=%" PRIu64
      " free_tokens=%" PRIu64,
      request->head.request_id, request->account->name,
      request->reserved_tokens,
      edge_prepaid_free_tokens (edge->prepaid, request->account->name));
  edge_answer_refuse (request, MHD_HTTP_PAYMENT_REQUIRED, 0,
                      "the prepaid tokens don't cover the request");
}

static void
log_lease_wait (const struct edge_request *request, uint64_t now_ms)
{
  const struct edge_prepaid *prepaid = request->edge->prepaid;
  const char *account = request->account->name;
  base_event ("lease-wait id=%s account=%s tokens=%" PRIu64
              " free_tokens=%" PRIu64 " usable_tokens=%" PRIu64
              " answered_ago_ms=%" PRIu64,
              request->head.request_id, account, request->reserved_tokens,
              edge_prepaid_free_tokens (prepaid, account),
              edge_prepaid_usable_tokens (prepaid, account, now_ms),
              now_ms - edge_prepaid_last_answer_ms (prepaid));
}

/* Returns whether the request waits for a loan.  Tokens of the own lease go
   before. */
static bool
seek_loan (struct edge_request *request, uint64_t now_ms)
{
  if (request->has_sought_loan)
    return false;
  request->has_sought_loan = true;
  return edge_prepaid_usable_tokens (request->edge->prepaid,
                                     request->account->name, now_ms)
             < request->reserved_tokens
         && edge_loans_ask (request);
}

/* Reserves the maximum number of tokens that the request may use, if its
   account is prepaid and its service an engine.  Returns true when the request
   may be sent; otherwise the request waits for a loan or a lease, or was
   refused. */
static bool
reserve (struct edge_request *request)
{
  struct edge *edge = request->edge;
  uint64_t now_ms = edge_now_ms ();
  if (!request->account || !request->account->is_prepaid
      || !request->service->is_engine)
    return true;
  request->reserved_tokens = (uint64_t)request->placement.prompt_tokens
                             + request->placement.output_tokens;
  if (seek_loan (request, now_ms))
    {
      request->step = EDGE_STEP_AWAITS_LEASE;
      return false;
    }
  uint32_t waited_ms = request->is_in_demand
                           ? (uint32_t)MAX (now_ms - request->arrived_ms, 1)
                           : 0;
  request->is_in_demand = true;
  switch (edge_prepaid_reserve (edge->prepaid, request->account->name,
                                request->reserved_tokens, waited_ms, now_ms))
    {
    case EDGE_PREPAID_RESERVED:
      request->holds_tokens = true;
      return true;
    case EDGE_PREPAID_WAIT:
      if (waited_ms == 0)
        log_lease_wait (request, now_ms);
      if (edge_control_is_unreachable (edge)
          && !edge_silence_ends_soon (edge, now_ms))
        {
          edge_answer_refuse (request, MHD_HTTP_SERVICE_UNAVAILABLE,
                              ELSEWHERE_RETRY_AFTER_MS,
                              "this router lacks tokens and control is cut "
                              "off");
          return false;
        }
      request->step = EDGE_STEP_AWAITS_LEASE;
      return false;
    case EDGE_PREPAID_EXHAUSTED:
    default:
      refuse_exhausted (request);
      return false;
    }
}

bool
edge_request_refuse_late (struct edge_request *request)
{
  const struct edge *edge = request->edge;
  if (!edge->stopping || request->maybe_ran || request->is_started
      || request->attempts_maybe_run > 0
      || edge_now_ms () < edge->stop_started_ms
                              + (uint64_t)edge->options.grace_ms
                                    * STOP_SERVE_PERCENT / 100)
    return false;
  edge_answer_refuse (request, MHD_HTTP_SERVICE_UNAVAILABLE,
                      ELSEWHERE_RETRY_AFTER_MS, "this router is stopping");
  return true;
}

/* Refuses a request with a malformed header value rather than replacing the
   value by a default. */
static bool
check_headers (struct edge_request *request)
{
  if (!request->head.malformed_header)
    return true;
  char *reason = g_strdup_printf ("malformed value of header %s",
                                  request->head.malformed_header);
  edge_answer_refuse (request, MHD_HTTP_BAD_REQUEST, 0, reason);
  g_free (reason);
  return false;
}

/* Counts the request for its service, reserves its tokens and sends it. */
static void
admit (struct edge_request *request)
{
  struct edge *edge = request->edge;
  set_placement (request);
  edge_retry_request (edge->retry, request->service->name,
                      request->arrived_ms);
  edge_demand_note_request (edge->demand, request->service->name,
                            edge_request_priority (request),
                            base_clock_steady_wall_ms ());
  if (!edge_send_is_blocked (request) && reserve (request))
    edge_send_request (request);
}

/* Returns whether the request waits for the first routing table. */
static bool
await_table (struct edge_request *request, uint64_t now_ms)
{
  struct edge *edge = request->edge;
  bool waits = request->step == EDGE_STEP_AWAITS_TABLE;
  const struct edge_start start = {
    .wait_max_ms = edge->options.start_wait_ms,
    .arrived_ms = request->arrived_ms,
    .deadline_ms = request->head.deadline_ms,
    .waiting = edge->awaiting_table - waits,
  };
  bool may_wait = !edge_is_informed (edge) && !edge->stopping
                  && edge_start_may_wait (&start, now_ms);
  if (may_wait && !waits)
    {
      request->step = EDGE_STEP_AWAITS_TABLE;
      request->deadline_ms = UINT64_MAX;
      edge->awaiting_table++;
    }
  else if (!may_wait && waits)
    {
      request->step = EDGE_STEP_READING;
      edge->awaiting_table--;
    }
  return may_wait;
}

static void
route_and_admit (struct edge_request *request)
{
  if (!find_route (request) || !find_account (request))
    return;
  set_limits (request);
  if (edge_version_find (request))
    admit (request);
}

void
edge_request_begin (struct edge_request *request)
{
  struct edge *edge = request->edge;
  request->references++;
  g_queue_push_tail_link (&edge->requests, &request->link);
  base_counter_add (edge->counters.requests, 1);
  base_counter_set (edge->counters.open_requests, edge->requests.length);
  edge_pressure_note (edge->pressure, EDGE_PRESSURE_IN,
                      request->body->len + EDGE_PRESSURE_HEAD_BYTES,
                      request->arrived_ms);
  if (edge_request_refuse_late (request) || !check_headers (request))
    return;
  if (await_table (request, request->arrived_ms))
    return;
  route_and_admit (request);
}

void
edge_request_retry_table (struct edge_request *request, uint64_t now_ms)
{
  if (request->step == EDGE_STEP_AWAITS_TABLE
      && !await_table (request, now_ms))
    route_and_admit (request);
}

void
edge_request_retry_version (struct edge_request *request)
{
  if (request->step == EDGE_STEP_AWAITS_VERSION && edge_version_find (request))
    admit (request);
}

void
edge_request_retry_lease (struct edge_request *request)
{
  if (request->step == EDGE_STEP_AWAITS_LEASE && request->loan == 0
      && reserve (request))
    edge_send_request (request);
}

void
edge_request_handle_loan (struct edge_request *request,
                          enum edge_borrower_outcome outcome)
{
  switch (outcome)
    {
    case EDGE_BORROWER_GRANTED:
      request->holds_tokens = true;
      edge_send_request (request);
      return;
    case EDGE_BORROWER_EXHAUSTED:
      request->loan = 0;
      refuse_exhausted (request);
      return;
    case EDGE_BORROWER_DECLINED:
    case EDGE_BORROWER_UNANSWERED:
    default:
      request->loan = 0;
      edge_request_retry_lease (request);
      return;
    }
}

static bool
may_send (struct edge_attempt_callbacks *callbacks)
{
  struct edge_request *request = (struct edge_request *)callbacks;
  request->sent_ms = edge_now_ms ();
  return !router_poll_closes_are_due (request->edge->loop)
         || !edge_disconnect_has_left (request);
}

static void
handle_head (struct edge_attempt_callbacks *callbacks)
{
  struct edge_request *request = (struct edge_request *)callbacks;
  if (request->via)
    edge_reach_note_relayed (request->edge, request->target, request->via,
                             EDGE_PATH_REACHED);
  else
    request->target->path.heard_ms = edge_now_ms ();
  const struct edge_target_response *response
      = edge_attempt_response (request->attempt);
  if (response->request_id_matches && !response->request_id_differs)
    edge_reach_note_head (request->edge, request->target, response,
                          request->head.request_id);
  edge_permits_note_head (request);
}

/* Forwards the complete events of a stream.  Responses that are not streams
   are buffered by the attempt until they are complete. */
static bool
handle_data (struct edge_attempt_callbacks *callbacks, const char *data,
             size_t bytes)
{
  struct edge_request *request = (struct edge_request *)callbacks;
  if (!edge_version_may_go_on (request))
    return false;
  GString *out = g_string_new (NULL);
  if (!request->events)
    request->events = edge_events_create (EVENT_MAX_BYTES, EDGE_NO_EVENT);
  int count = edge_events_feed (request->events, data, bytes, out);
  request->last_data_ms = edge_now_ms ();
  if (!request->via)
    request->target->path.heard_ms = request->last_data_ms;
  if (request->first_data_ms == 0)
    request->first_data_ms = request->last_data_ms;
  edge_pressure_note (request->edge->pressure, EDGE_PRESSURE_IN,
                      bytes + EDGE_PRESSURE_PIECE_BYTES,
                      request->last_data_ms);
  edge_pressure_note (request->edge->pressure, EDGE_PRESSURE_OUT,
                      out->len + EDGE_PRESSURE_PIECE_BYTES,
                      request->last_data_ms);
  if (count > 0)
    {
      edge_settle_first_response (request);
      if (request->event_count == request->events_before)
        edge_version_bind (request);
      request->event_count += (uint32_t)count;
      if (!request->is_started)
        edge_answer_start_stream (request);
      request->is_buffer_full
          = !router_stream_write (&request->stream, out->str, out->len);
      edge_front_hold (request->edge->front, request->caller,
                       request->stream.pending->allocated_len);
      edge_front_schedule (request->edge->front);
      if (request->is_buffer_full)
        edge_attempt_pause (request->attempt, true);
    }
  g_string_free (out, TRUE);
  return count >= 0;
}

/* Notes how much of an answer is held that is not a stream. */
static bool
hold (struct edge_attempt_callbacks *callbacks, uint64_t bytes)
{
  struct edge_request *request = (struct edge_request *)callbacks;
  request->awaits_answer_room
      = !edge_front_hold (request->edge->front, request->caller, bytes);
  return !request->awaits_answer_room;
}

void
edge_request_retry_answer (struct edge_request *request)
{
  if (!request->awaits_answer_room || !request->attempt)
    return;
  request->awaits_answer_room
      = !edge_front_hold (request->edge->front, request->caller,
                          edge_attempt_body (request->attempt)->allocated_len);
  if (!request->awaits_answer_room)
    edge_attempt_pause (request->attempt, false);
}

static void
describe_events (struct edge_attempt_callbacks *callbacks,
                 struct http_ending *ending)
{
  const struct edge_request *request = (struct edge_request *)callbacks;
  ending->is_resumed = request->send.last_event_id != EDGE_NO_EVENT;
  ending->events = request->event_count - request->events_before;
  ending->has_partial_event
      = request->events && edge_events_has_partial (request->events);
}

static void
handle_done (struct edge_attempt_callbacks *callbacks,
             enum edge_attempt_outcome outcome)
{
  struct edge_request *request = (struct edge_request *)callbacks;
  if (outcome != EDGE_ATTEMPT_UNWANTED)
    {
      edge_send_handle_attempt_end (request, outcome);
      return;
    }
  request->attempts_maybe_run--;
  edge_disconnect_end (request);
}

static void
handle_writable (struct router_stream *stream)
{
  struct edge_request *request
      = (struct edge_request *)((char *)stream
                                - offsetof (struct edge_request, stream));
  request->is_buffer_full = false;
  if (request->attempt)
    edge_attempt_pause (request->attempt, false);
}

void
edge_request_close (struct edge_request *request)
{
  router_poll_unwatch_close (request->edge->loop, request->caller_fd);
  router_stream_detach (&request->stream);
  if (request->step != EDGE_STEP_READING)
    edge_settle_request (request);
  edge_request_unref (request);
}
