#include "edge_room.h"

#include <inttypes.h>
#include <string.h>

#include "base_event.h"
#include "edge_send.h"

/* Longest wait for room, in milliseconds: below the latency objectives, so
   that a request that gets room is still of use. */
#define WAIT_MAX_MS 300
/* Interval at which a router's part of a target is computed again, in ms. */
#define WINDOW_INTERVAL_MS 1000
/* Percentage of a target's memory that the requests of all routers may hold at
   most. */
#define MEMORY_PERCENT 90

static uint32_t
count_routers (const struct edge *edge)
{
  return MAX (edge_peers_count (edge->peers) + 1,
              edge_retry_routers (edge->retry));
}

/* Requests of this router that may run at the brittle target. */
static uint32_t
find_window (const struct edge *edge, struct edge_target *target,
             uint64_t now_ms)
{
  if (target->brittle_window_ms == 0
      || now_ms >= target->brittle_window_ms + WINDOW_INTERVAL_MS)
    {
      const struct edge_pacing_part part = edge_peers_part (
          edge->peers, edge->options.host, edge->demand_weight,
          target->record.name, target->record.slots);
      uint32_t window = edge_pacing_brittle_window (&part);
      /* A part that grows is used one interval later: by then the others know
         that theirs have shrunk. */
      target->brittle_window = target->brittle_window_ms == 0
                                   ? window
                                   : MIN (window, target->brittle_part);
      target->brittle_part = window;
      target->brittle_window_ms = now_ms;
    }
  return target->brittle_window;
}

/* Returns whether the request fits into this router's part of the target's
   memory, which is as large as its part of the slots. */
static bool
has_memory (const struct edge_request *request,
            const struct edge_target *target, uint32_t window)
{
  const struct place_request *placement = &request->placement;
  uint64_t tokens = target->load.held_tokens + placement->prompt_tokens
                    + placement->output_tokens;
  uint64_t limit = request->service->kv_tokens * MEMORY_PERCENT / 100;
  return limit == 0 || target->load.running == 0
         || tokens * MAX (target->record.slots, 1) <= limit * MAX (window, 1);
}

enum edge_room
edge_room_find (const struct edge_request *request, struct edge_target *target,
                uint64_t now_ms)
{
  const struct edge *edge = request->edge;
  if (edge_pacing_rest_left_ms (&target->pacing, now_ms) > 0)
    return EDGE_ROOM_RESTS;
  if (target->load.running >= edge_pacing_window (&target->pacing))
    return EDGE_ROOM_FULL;
  if (!edge_targets_is_brittle (edge->targets, target, now_ms))
    return EDGE_ROOM_FREE;
  uint32_t window = find_window (edge, target, now_ms);
  return target->load.running < window && has_memory (request, target, window)
             ? EDGE_ROOM_FREE
             : EDGE_ROOM_FULL;
}

void
edge_room_note_sent (const struct edge_request *request)
{
  const struct edge_target *target = request->target;
  if (target->pacing.window == 0
      && !edge_targets_is_brittle (request->edge->targets, target,
                                   request->sent_ms))
    return;
  edge_demand_note_granted (request->edge->room_demand, request->service->name,
                            edge_request_priority (request), 1,
                            edge_now_ms ());
}

void
edge_room_note_rejection (const struct edge_request *request)
{
  struct edge_target *target = request->target;
  if (target->pacing.is_brittle)
    edge_pacing_note_rejection (&target->pacing, count_routers (request->edge),
                                edge_now_ms ());
}

/* Number of waiting requests that come before this one. */
static uint32_t
count_ahead (const struct edge_request *request)
{
  uint32_t count = 0;
  for (GList *link = request->edge->requests.head; link; link = link->next)
    {
      const struct edge_request *other = link->data;
      count += other != request && other->step == EDGE_STEP_AWAITS_ROOM
               && other->service == request->service
               && edge_request_compare (&other, &request) < 0;
    }
  return count;
}

bool
edge_room_await (struct edge_request *request)
{
  struct edge *edge = request->edge;
  const char *service = request->service->name;
  uint64_t now_ms = edge_now_ms ();
  bool waits = request->step == EDGE_STEP_AWAITS_ROOM;
  if (waits)
    return !edge_room_is_overdue (request, now_ms);
  edge_demand_note_denied (edge->room_demand, service, now_ms);
  if (edge_demand_is_hopeless (edge->room_demand, service,
                               edge_request_priority (request),
                               count_ahead (request), WAIT_MAX_MS, now_ms))
    return false;
  request->step = EDGE_STEP_AWAITS_ROOM;
  request->room_wait_ms = now_ms;
  base_event ("room-wait id=%s service=%s priority=%u",
              request->head.request_id, service,
              edge_request_priority (request));
  return true;
}

bool
edge_room_is_overdue (const struct edge_request *request, uint64_t now_ms)
{
  return request->step == EDGE_STEP_AWAITS_ROOM
         && now_ms >= request->room_wait_ms + WAIT_MAX_MS;
}

uint32_t
edge_room_retry_after_ms (const struct edge_request *request)
{
  uint64_t now_ms = edge_now_ms ();
  uint64_t left_ms
      = request->deadline_ms > now_ms ? request->deadline_ms - now_ms : 0;
  return edge_demand_retry_after_ms (
      request->edge->room_demand, request->service->name,
      edge_request_priority (request), 0, left_ms, now_ms);
}

/* Smallest weight of a router's demand, so that one with few requests keeps a
   part. */
#define WEIGHT_MIN 4u
/* Part of the mean demand that each interval makes up, and percentage by which
   the mean must differ from the weight that others know. */
#define MEAN_PART 4
#define WEIGHT_CHANGE_PERCENT 25
/* Interval of changes for each router of the fleet, in ms, so that all routers
   together change their weights 20 times a second at most. */
#define WEIGHT_SPACING_MS 50

/* Computes the weight of the router's demand for brittle targets: its requests
   that are open, or were rejected for want of room in the last interval, in
   the mean.  It changes seldom, since each change goes to all routers. */
static void
weigh_demand (struct edge *edge, uint64_t now_ms)
{
  uint32_t count = edge->requests.length + edge->room_rejections;
  if (now_ms < edge->demand_weighed_ms + WINDOW_INTERVAL_MS)
    return;
  edge->demand_weighed_ms = now_ms;
  edge->room_rejections = 0;
  if (!edge_targets_has_brittle (edge->targets, now_ms))
    {
      edge->demand_weight = 0;
      edge->mean_demand = 0;
      return;
    }
  edge->mean_demand = edge->mean_demand == 0
                          ? count
                          : edge->mean_demand - edge->mean_demand / MEAN_PART
                                + count / MEAN_PART;
  uint32_t mean = MAX (edge->mean_demand, WEIGHT_MIN);
  uint32_t difference = mean > edge->demand_weight
                            ? mean - edge->demand_weight
                            : edge->demand_weight - mean;
  if (100 * difference <= WEIGHT_CHANGE_PERCENT * edge->demand_weight
      || now_ms < edge->demand_told_ms
                      + (uint64_t)WEIGHT_SPACING_MS * count_routers (edge))
    return;
  edge->demand_weight = mean;
  edge->demand_told_ms = now_ms;
}

void
edge_room_run (struct edge *edge, uint64_t now_ms)
{
  weigh_demand (edge, now_ms);
  const struct edge_service *full = NULL;
  if (!edge->has_freed_room)
    return;
  edge->has_freed_room = false;
  GPtrArray *waiting = g_ptr_array_new ();
  for (GList *link = edge->requests.head; link; link = link->next)
    {
      struct edge_request *request = link->data;
      if (request->step == EDGE_STEP_AWAITS_ROOM)
        g_ptr_array_add (waiting, request);
    }
  g_ptr_array_sort (waiting, edge_request_compare);
  for (guint i = 0; i < waiting->len; i++)
    {
      struct edge_request *request = waiting->pdata[i];
      if (request->service == full)
        continue;
      edge_send_request (request);
      if (request->step == EDGE_STEP_AWAITS_ROOM)
        full = request->service;
    }
  g_ptr_array_unref (waiting);
}
