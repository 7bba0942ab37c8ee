#include "edge_permits.h"

#include <stdlib.h>
#include <string.h>

#include "base_clock.h"
#include "base_event.h"
#include "edge_ask.h"
#include "edge_send.h"

/* Longest wait for a permit, in ms: a few calls to control, and short beside
   the time after which a rejected caller comes back. */
#define WAIT_MAX_MS 300
/* Value of Retry-After where another router may have permits, in ms. */
#define ELSEWHERE_RETRY_AFTER_MS 200

/* The targets of a service, while they are collected. */
struct collection
{
  struct edge *edge;
  struct edge_ask_targets targets;
};

static uint64_t
now_ms (void)
{
  return base_clock_steady_wall_ms ();
}

static void
collect_target (void *context, struct edge_target *target)
{
  struct collection *collection = context;
  struct edge *edge = collection->edge;
  const struct edge_limit_target key
      = { target->record.name, target->record.born_ms };
  if (edge_pacing_rest_left_ms (&target->pacing, edge_now_ms ()) > 0
      || edge_evacuations_has (edge->evacuations,
                               target->record.availability_zone))
    return;
  edge_ask_targets_add (
      &collection->targets, edge->limits, &key,
      edge_distance_to (edge, target->record.availability_zone), &edge->random,
      now_ms ());
}

static void
collect_targets (struct edge *edge, const char *service,
                 struct collection *collection)
{
  collection->edge = edge;
  edge_ask_targets_init (&collection->targets);
  edge_targets_visit (edge->targets, service, collect_target, collection);
}

void
edge_permits_note_head (struct edge_request *request)
{
  struct edge *edge = request->edge;
  uint64_t steady_ms = now_ms ();
  const struct edge_limit_head head
      = { .target
          = { request->target->record.name, request->target->record.born_ms },
          .request_id = request->head.request_id,
          .sent_ms = steady_ms - (edge_now_ms () - request->sent_ms),
          .response = edge_attempt_response (request->attempt) };
  edge_limits_note_head (edge->limits, &head, steady_ms);
  base_counter_set (edge->counters.limited_targets,
                    edge_limits_count (edge->limits, steady_ms));
}

int64_t
edge_permits_use (struct edge_request *request,
                  const struct edge_target *target)
{
  struct edge *edge = request->edge;
  const struct edge_limit_target key
      = { target->record.name, target->record.born_ms };
  uint64_t steady_ms = now_ms ();
  uint64_t limit_mrps = 0;
  if (!edge_limits_find (edge->limits, &key, steady_ms, &limit_mrps))
    return -1;
  edge_limits_use_permit (edge->limits, &key, edge_request_priority (request),
                          steady_ms);
  base_counter_add (edge->counters.limited_sends, 1);
  return (int64_t)limit_mrps;
}

static bool
waits_for (const struct edge_request *request, const char *service)
{
  return request->step == EDGE_STEP_AWAITS_PERMIT && !request->awaits_trial
         && strcmp (request->service->name, service) == 0;
}

bool
edge_permits_needs_call (const struct edge *edge)
{
  return edge->has_unasked_requests;
}

/* Counts the requests that wait for the service, by priority, and notes that
   the call asks for them. */
static void
count_waiting (struct edge *edge, const char *service, uint64_t sequence,
               uint32_t waiting[EDGE_DEMAND_PRIORITIES])
{
  memset (waiting, 0, EDGE_DEMAND_PRIORITIES * sizeof *waiting);
  for (GList *link = edge->requests.head; link; link = link->next)
    {
      struct edge_request *request = link->data;
      if (!waits_for (request, service))
        continue;
      request->permit_sequence = sequence;
      waiting[edge_request_priority (request)]++;
    }
}

/* A call that is being filled. */
struct filling
{
  struct edge *edge;
  uint64_t sequence;
  struct control_limit_call *call;
};

static void
add_ask (void *context, const char *service)
{
  const struct filling *filling = context;
  struct edge *edge = filling->edge;
  struct control_limit_call *call = filling->call;
  struct collection collection;
  uint32_t waiting[EDGE_DEMAND_PRIORITIES];
  struct control_permit_ask ask;
  if (call->asks.asks_len == CONTROL_LIMITS_MAX)
    return;
  collect_targets (edge, service, &collection);
  count_waiting (edge, service, filling->sequence, waiting);
  if (edge_ask_fill (&collection.targets, edge->limits, edge->demand, service,
                     waiting, &edge->random, now_ms (), &ask))
    {
      u_int count = ++call->asks.asks_len;
      call->asks.asks_val
          = g_realloc_n (call->asks.asks_val, count, sizeof ask);
      call->asks.asks_val[count - 1] = ask;
    }
  edge_ask_targets_clear (&collection.targets);
}

/* The call asks for the trials that requests wait for. */
static void
note_trials_asked (struct edge *edge, uint64_t sequence)
{
  for (GList *link = edge->requests.head; link; link = link->next)
    {
      struct edge_request *request = link->data;
      if (request->step == EDGE_STEP_AWAITS_PERMIT && request->awaits_trial)
        request->permit_sequence = sequence;
    }
}

void
edge_permits_fill_asks (struct edge *edge, uint64_t sequence,
                        struct control_limit_call *call)
{
  struct filling filling = { edge, sequence, call };
  edge->has_unasked_requests = false;
  note_trials_asked (edge, sequence);
  if (edge_limits_count (edge->limits, now_ms ()) == 0)
    return;
  edge_demand_visit (edge->demand, now_ms (), add_ask, &filling);
}

static void
count_granted (struct edge *edge, const struct control_router_result *result)
{
  for (u_int i = 0; i < result->grants.grants_len; i++)
    {
      const struct control_permit_grant *grant = &result->grants.grants_val[i];
      const struct edge_target *target
          = edge_targets_find (edge->targets, grant->target);
      base_counter_add (edge->counters.permits_granted, grant->permits);
      if (target)
        edge_demand_note_granted (edge->demand, target->record.service,
                                  grant->priority, grant->permits, now_ms ());
    }
}

void
edge_permits_handle_result (struct edge *edge,
                            const struct control_router_result *result,
                            uint64_t called_ms)
{
  GPtrArray *waiting = g_ptr_array_new ();
  edge_limits_apply_result (edge->limits, result, called_ms, now_ms ());
  count_granted (edge, result);
  for (GList *link = edge->requests.head; link; link = link->next)
    {
      struct edge_request *request = link->data;
      if (request->step == EDGE_STEP_AWAITS_PERMIT)
        g_ptr_array_add (waiting, request);
    }
  g_ptr_array_sort (waiting, edge_request_compare);
  for (guint i = 0; i < waiting->len; i++)
    edge_send_request (waiting->pdata[i]);
  g_ptr_array_unref (waiting);
}

/* Number of waiting requests that get a permit before this one. */
static uint32_t
count_ahead (const struct edge_request *request)
{
  uint32_t count = 0;
  for (GList *link = request->edge->requests.head; link; link = link->next)
    {
      const struct edge_request *other = link->data;
      count += other != request && waits_for (other, request->service->name)
               && edge_request_compare (&other, &request) < 0;
    }
  return count;
}

/* Returns whether control answered a call that asked for the request. */
static bool
was_answered (const struct edge_request *request)
{
  return request->step == EDGE_STEP_AWAITS_PERMIT
         && request->permit_sequence != 0
         && request->permit_sequence <= request->edge->answered_sequence;
}

static void
begin_wait (struct edge_request *request, const char *reason)
{
  if (request->step == EDGE_STEP_AWAITS_PERMIT)
    return;
  request->step = EDGE_STEP_AWAITS_PERMIT;
  request->permit_sequence = 0;
  request->permit_wait_ms = now_ms ();
  request->edge->has_unasked_requests = true;
  base_event ("permit-wait id=%s service=%s priority=%u reason=%s",
              request->head.request_id, request->service->name,
              edge_request_priority (request), reason);
}

bool
edge_permits_await (struct edge_request *request)
{
  struct edge *edge = request->edge;
  const char *service = request->service->name;
  uint64_t time_ms = now_ms ();
  uint64_t waited_ms = request->step == EDGE_STEP_AWAITS_PERMIT
                           ? time_ms - request->permit_wait_ms
                           : 0;
  if (was_answered (request))
    edge_demand_note_denied (edge->demand, service, time_ms);
  if (waited_ms >= WAIT_MAX_MS || edge_control_is_unreachable (edge)
      || edge_demand_is_hopeless (
          edge->demand, service, edge_request_priority (request),
          count_ahead (request), WAIT_MAX_MS - waited_ms, time_ms))
    return false;
  begin_wait (request, "limit");
  return true;
}

bool
edge_permits_await_trial (struct edge_request *request)
{
  if (was_answered (request) || edge_control_is_unreachable (request->edge))
    return false;
  begin_wait (request, "trial");
  return true;
}

bool
edge_permits_is_overdue (const struct edge_request *request)
{
  return request->step == EDGE_STEP_AWAITS_PERMIT
         && now_ms () >= request->permit_wait_ms + WAIT_MAX_MS;
}

uint32_t
edge_permits_retry_after_ms (struct edge_request *request)
{
  struct edge *edge = request->edge;
  struct collection collection;
  uint64_t time_ms = edge_now_ms ();
  uint64_t left_ms
      = request->deadline_ms > time_ms ? request->deadline_ms - time_ms : 0;
  if (edge_control_is_unreachable (edge))
    return ELSEWHERE_RETRY_AFTER_MS;
  collect_targets (edge, request->service->name, &collection);
  uint64_t sum_mrps = edge_ask_targets_sum_mrps (&collection.targets);
  edge_ask_targets_clear (&collection.targets);
  return edge_demand_retry_after_ms (
      edge->demand, request->service->name, edge_request_priority (request),
      sum_mrps / MAX (edge_retry_routers (edge->retry), 1), left_ms,
      now_ms ());
}
