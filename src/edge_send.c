#include "edge_send.h"

#include <errno.h>
#include <inttypes.h>
#include <string.h>

#include "base_clock.h"
#include "base_event.h"
#include "edge_answer.h"
#include "edge_permits.h"
#include "edge_pool.h"
#include "edge_reach.h"
#include "edge_room.h"
#include "edge_settle.h"
#include "edge_suspicion.h"
#include "edge_tunnel.h"
#include "edge_version.h"

#define CANDIDATES_MAX 1024
/* Attempts allowed beyond the route's limit, for targets that refused the
   request without running it. */
#define REFUSED_SENDS_MAX 2
/* Attempts of a request that may fail to reach a target. */
#define UNSENT_MAX 8
/* Time of the choice among candidates that can't be used at present: as if all
   holds had passed. */
#define ANY_TIME_MS (UINT64_MAX / 2)
#define HELD_MS (UINT64_MAX / 4)
/* Timeout of connecting to a target; long enough for several round trips
   between regions. */
#define CONNECT_TIMEOUT_MS 400
/* Time after a request's deadline at which libcurl ends the transfer; the
   router's own timeout comes first. */
#define TRANSFER_SLACK_MS 2000
/* Values of Retry-After when all targets are full, and when there are none, in
   milliseconds. */
#define FULL_RETRY_AFTER_MS 150
#define NO_TARGET_RETRY_AFTER_MS 200
/* Value of Retry-After when all targets are in evacuated zones, in ms. */
#define EVACUATED_RETRY_AFTER_MS 1000
/* Minimum time left before the deadline for a retry, in milliseconds. */
#define RETRY_TIME_MIN_MS 50
/* Maximum value of Retry-After when a request or a part of its prompt is
   blocked, in ms. */
#define BLOCKED_RETRY_AFTER_MAX_MS 60000
/* Value of Retry-After when another router tries a request whose block is
   over, in ms. */
#define TRIAL_RETRY_AFTER_MS 1000
#define STATUS_REDIRECTION 300
#define STATUS_SERVER_ERROR 500
#define STATUS_MISDIRECTED 421

/* The candidate targets for a request. */
struct choice
{
  const struct edge_request *request;
  struct place_candidate candidates[CANDIDATES_MAX];
  struct edge_target *targets[CANDIDATES_MAX];
  uint32_t count;
  /* Targets in evacuated zones. */
  uint32_t evacuated_count;
  /* Limited targets for which there is no permit. */
  uint32_t unpermitted_count;
  /* Targets that have no room, and those that rest, with the shortest time
     left. */
  uint32_t full_count;
  uint32_t resting_count;
  uint64_t rest_left_ms;
  /* Cold targets that were passed over, unless takes_cold. */
  uint32_t cold_count;
  bool takes_cold;
  /* Rate of permits of a cold target (edge_cold_rate_mrps), with takes_cold.
   */
  int64_t cold_mrps;
  /* Targets outside of the regions that the request is bound to. */
  uint32_t outside_count;
  /* Time of the choice, and the same as base_clock_steady_wall_ms. */
  uint64_t now_ms;
  uint64_t steady_ms;
};

static bool
is_avoided (const struct edge_request *request, const char *name)
{
  for (uint32_t i = 0; i < request->avoid_count; i++)
    if (strcmp (request->avoid[i], name) == 0)
      return true;
  return false;
}

/* Returns whether the target takes the request now; counts it otherwise. */
static bool
has_room (struct choice *choice, struct edge_target *target)
{
  uint64_t left_ms;
  switch (edge_room_find (choice->request, target, choice->now_ms))
    {
    case EDGE_ROOM_RESTS:
      left_ms = edge_pacing_rest_left_ms (&target->pacing, choice->now_ms);
      choice->rest_left_ms = choice->resting_count == 0
                                 ? left_ms
                                 : MIN (choice->rest_left_ms, left_ms);
      choice->resting_count++;
      return false;
    case EDGE_ROOM_FULL:
      choice->full_count++;
      return false;
    case EDGE_ROOM_FREE:
    default:
      return true;
    }
}

/* Returns whether the target is cold and must be passed over.  A cold one that
   is considered counts as limited until it is warm. */
static bool
is_held_back (struct choice *choice, const struct edge_target *target,
              const struct edge_limit_target *key)
{
  const struct edge_request *request = choice->request;
  struct edge *edge = request->edge;
  uint64_t left_ms = request->service->cold_per_s > 0
                         ? edge_target_cold_left_ms (target, choice->now_ms)
                         : 0;
  if (left_ms == 0)
    {
      edge_limits_release (edge->limits, key, choice->steady_ms);
      return false;
    }
  if (!choice->takes_cold)
    {
      choice->cold_count++;
      return true;
    }
  if (choice->cold_mrps == EDGE_COLD_NONE)
    {
      choice->unpermitted_count++;
      return true;
    }
  edge_limits_hold (edge->limits, key, (uint64_t)choice->cold_mrps,
                    choice->steady_ms + left_ms, choice->steady_ms);
  return false;
}

static void
add_candidate (void *context, struct edge_target *target)
{
  struct choice *choice = context;
  const struct edge_request *request = choice->request;
  const struct edge_limits *limits = request->edge->limits;
  const struct edge_limit_target key
      = { target->record.name, target->record.born_ms };
  if (choice->count == CANDIDATES_MAX
      || !edge_version_may_serve (request, target))
    return;
  if (!edge_request_allows_zone (request, target->record.availability_zone))
    {
      choice->outside_count++;
      return;
    }
  if (edge_evacuations_has (request->edge->evacuations,
                            target->record.availability_zone))
    {
      choice->evacuated_count++;
      return;
    }
  if (!has_room (choice, target) || is_held_back (choice, target, &key))
    return;
  bool is_relayed = edge_reach_needs_relay (request->edge, target);
  bool is_limited = edge_limits_find (limits, &key, choice->steady_ms, NULL);
  if (is_limited
      && !edge_limits_has_permit (
          limits, &key, edge_request_priority (request), choice->steady_ms))
    {
      choice->unpermitted_count++;
      return;
    }
  choice->targets[choice->count] = target;
  choice->candidates[choice->count++] = (struct place_candidate){
    .name = target->record.name,
    .load = &target->load,
    .distance
    = edge_distance_to (request->edge, target->record.availability_zone),
    .slots = target->record.slots,
    .kv_tokens = request->service->kv_tokens,
    .is_unannounced = edge_target_is_silent (target, choice->now_ms),
    .is_relayed = is_relayed,
    .held_until_ms = target->path.relay == EDGE_PATH_RELAY_WORKS ? 0 : HELD_MS,
    .is_avoided = is_avoided (request, target->record.name),
    .has_permit = is_limited,
    .routers = edge_retry_routers (request->edge->retry),
  };
}

/* Returns the index of the best candidate, or -1 when there are no candidates.
   When all targets are on hold after connection failures, chooses among them
   as if the hold had passed, by means of a time in the far future. */
static int
choose (struct choice *choice, uint64_t now_ms, uint64_t random)
{
  const struct place_request *placement = &choice->request->placement;
  int index = place_choose (choice->candidates, choice->count, placement,
                            now_ms, random);
  return index >= 0 ? index
                    : place_choose (choice->candidates, choice->count,
                                    placement, ANY_TIME_MS, random);
}

static uint32_t
remaining_ms (const struct edge_request *request, uint64_t now_ms)
{
  return request->deadline_ms > now_ms
             ? (uint32_t)(request->deadline_ms - now_ms)
             : 0;
}

static void
fill_send (struct edge_request *request, uint64_t now_ms)
{
  request->send = (struct edge_send_headers){
    .request_id = request->head.request_id,
    .target = request->target->record.name,
    .account = request->account ? request->account->name : NULL,
    .deadline_ms = remaining_ms (request, now_ms),
    .priority = edge_request_priority (request),
    .last_event_id = request->events ? edge_events_last_id (request->events)
                                     : request->head.last_event_id,
  };
}

/* Starts an attempt.  Only idempotent requests reuse kept-alive connections:
   the target may close one just as a request is sent on it. */
static struct edge_attempt *
start_attempt (struct edge_request *request)
{
  struct edge_attempt_options options = {
    .dialect = request->edge->options.dialect,
    .head = &request->head,
    .send = &request->send,
    .address = request->target->record.address,
    .port = (uint16_t)request->target->record.port,
    .body = request->body,
    .reuse = request->is_idempotent,
    .pool = request->target->pool,
    .connects = request->needs_connection,
    .connect_timeout_ms = CONNECT_TIMEOUT_MS,
    .timeout_ms = request->send.deadline_ms + TRANSFER_SLACK_MS,
  };
  struct edge *edge = request->edge;
  const struct edge_peer *peer = edge_peers_find (edge->peers, request->via);
  char *via_header = NULL;
  char *via_deadline_header = NULL;
  if (peer)
    {
      via_header = edge_tunnel_header (request->target);
      options.via_address = peer->address;
      options.via_port = peer->port;
      options.via_header = via_header;
      via_deadline_header
          = edge_tunnel_deadline_header (request->send.deadline_ms);
      options.via_deadline_header = via_deadline_header;
      options.own_address = edge->options.address;
      options.reuse = false;
      options.connect_timeout_ms = EDGE_TUNNEL_WAIT_MS;
    }
  struct edge_attempt *attempt
      = edge_attempt_create (edge->loop, &options, &request->callbacks);
  g_free (via_deadline_header);
  g_free (via_header);
  return attempt;
}

/* Sends the request to the target, passed on by @p peer unless that is
   NULL. */
static void
send_to (struct edge_request *request, struct edge_target *target,
         const struct place_candidate *candidate, const struct edge_peer *peer,
         uint64_t now_ms)
{
  struct edge *edge = request->edge;
  request->target = edge_target_ref (target);
  request->unread_tokens
      = place_note_sent (candidate, &request->placement, now_ms);
  request->awaits_first_response = true;
  request->attempts_sent++;
  request->attempts_maybe_run++;
  request->sent_ms = now_ms;
  request->first_data_ms = 0;
  request->events_before = request->event_count;
  request->last_data_ms = 0;
  request->step = EDGE_STEP_SENT;
  request->via = peer ? peer->name : NULL;
  if (peer)
    {
      edge_peers_note_open (edge->peers, request->via, true);
      base_counter_add (edge->counters.sent_via_others, 1);
    }
  fill_send (request, now_ms);
  edge_pressure_note (edge->pressure, EDGE_PRESSURE_OUT,
                      request->body->len + EDGE_PRESSURE_HEAD_BYTES, now_ms);
  int64_t limit_mrps = edge_permits_use (request, target);
  edge_room_note_sent (request);
  base_event (
      "send id=%s target=%s address=%s:%u heard=%d running=%" PRIu32
      " unread_tokens=%" PRIu32 " faults=%.2f send=%" PRIu32
      " left_ms=%" PRIu32 " after_event=%" PRId64 " limit_mrps=%" PRId64
      " software=%s taken_up=%s via=%s",
      request->head.request_id, target->record.name, target->record.address,
      target->record.port, !edge_target_is_silent (target, now_ms),
      target->load.running, request->unread_tokens,
      place_recent_failures (&target->load, now_ms), request->attempts_sent,
      request->send.deadline_ms, request->send.last_event_id, limit_mrps,
      *target->record.software_version ? target->record.software_version : "-",
      *request->head.resumed_id ? request->head.resumed_id : "-",
      request->via ? request->via : "-");
  request->attempt = start_attempt (request);
  if (!request->attempt)
    edge_send_handle_attempt_end (request, EDGE_ATTEMPT_UNSENT);
}

/* Ends the request with an error; its status depends on whether the request
   may have run. */
static void
give_up (struct edge_request *request, uint32_t retry_after_ms,
         const char *reason)
{
  if (request->is_started)
    edge_answer_end_stream (request, true, reason);
  else if (request->maybe_ran)
    edge_answer_refuse (request, MHD_HTTP_BAD_GATEWAY, 0, reason);
  else
    edge_answer_refuse (request, MHD_HTTP_SERVICE_UNAVAILABLE, retry_after_ms,
                        reason);
}

bool
edge_send_is_blocked (struct edge_request *request)
{
  uint64_t left_ms = 0;
  const char *reason = edge_suspicion_find_block (request, &left_ms);
  if (!reason)
    return false;
  base_counter_add (request->edge->counters.quarantined, 1);
  give_up (request, (uint32_t)MIN (left_ms, BLOCKED_RETRY_AFTER_MAX_MS),
           reason);
  return true;
}

void
edge_send_reject_unpermitted (struct edge_request *request)
{
  struct edge *edge = request->edge;
  if (request->awaits_trial)
    {
      base_counter_add (edge->counters.quarantined, 1);
      give_up (request, TRIAL_RETRY_AFTER_MS, "the request crashes targets");
      return;
    }
  base_counter_add (edge->counters.limit_rejected, 1);
  give_up (request, edge_permits_retry_after_ms (request),
           "the targets take no more requests at the moment");
}

void
edge_send_reject_full (struct edge_request *request)
{
  base_counter_add (request->edge->counters.room_rejected, 1);
  request->edge->room_rejections++;
  give_up (request, edge_room_retry_after_ms (request),
           "the targets have no room at the moment");
}

static void
visit_targets (struct choice *choice, bool takes_cold)
{
  const struct edge_request *request = choice->request;
  choice->takes_cold = takes_cold;
  choice->cold_mrps = takes_cold
                          ? edge_cold_rate_mrps (request->service->cold_per_s,
                                                 &request->edge->options.cold)
                          : EDGE_COLD_NONE;
  choice->count = 0;
  choice->evacuated_count = 0;
  choice->unpermitted_count = 0;
  choice->full_count = 0;
  choice->resting_count = 0;
  choice->rest_left_ms = 0;
  choice->cold_count = 0;
  choice->outside_count = 0;
  edge_targets_visit (request->edge->targets, request->service->name,
                      add_candidate, choice);
}

/* Cold targets are candidates only where there are no others. */
static struct choice *
find_candidates (const struct edge_request *request)
{
  struct choice *choice = g_new (struct choice, 1);
  choice->request = request;
  choice->now_ms = edge_now_ms ();
  choice->steady_ms = base_clock_steady_wall_ms ();
  visit_targets (choice, false);
  if (choice->count == 0 && choice->cold_count > 0)
    {
      base_counter_add (request->edge->counters.cold_only, 1);
      visit_targets (choice, true);
    }
  return choice;
}

/* Sends the request to the chosen target, if there is a way to it.  What
   nobody reached lately gets a request now and then. */
static bool
send_if_reachable (struct edge_request *request, const struct choice *choice,
                   int index, uint64_t now_ms)
{
  struct edge *edge = request->edge;
  struct edge_target *target = choice->targets[index];
  const struct edge_peer *peer = NULL;
  if (edge_reach_needs_relay (edge, target))
    {
      peer = edge_reach_choose_peer (edge, target, request, now_ms);
      bool is_hopeless = !peer || target->path.relay == EDGE_PATH_RELAY_FAILS;
      if (is_hopeless && !edge_path_take_try (&target->path, now_ms))
        return false;
      if (is_hopeless)
        peer = NULL;
    }
  send_to (request, target, &choice->candidates[index], peer, now_ms);
  return true;
}

/* Removes a candidate. */
static void
drop_candidate (struct choice *choice, int index)
{
  choice->count--;
  choice->candidates[index] = choice->candidates[choice->count];
  choice->targets[index] = choice->targets[choice->count];
}

/* Rejects a request whose service has targets only in regions that it is not
   allowed to reach. */
static void
reject_outside (struct edge_request *request)
{
  const struct edge_account *account = request->account;
  base_counter_add (request->edge->counters.region_rejected, 1);
  give_up (request, NO_TARGET_RETRY_AFTER_MS,
           edge_regions_overlap (request->route->regions,
                                 account ? account->regions : NULL)
               ? "no target in an allowed region is available"
               : "the route and the account allow no common region");
}

/* Has the request wait, or rejects it, since no target takes it now. */
static void
handle_no_candidate (struct edge_request *request, const struct choice *choice,
                     bool is_unreachable)
{
  if (choice->full_count > 0)
    {
      if (!edge_room_await (request))
        edge_send_reject_full (request);
    }
  else if (choice->unpermitted_count > 0)
    {
      if (!edge_permits_await (request))
        edge_send_reject_unpermitted (request);
    }
  else if (choice->resting_count > 0)
    give_up (request, (uint32_t)choice->rest_left_ms,
             "all targets of the service rest");
  else if (choice->evacuated_count > 0 && !is_unreachable)
    {
      base_counter_add (request->edge->counters.evacuated_rejected, 1);
      give_up (request, EVACUATED_RETRY_AFTER_MS,
               "all availability zones with targets of the service are "
               "evacuated");
    }
  else if (is_unreachable)
    give_up (request, NO_TARGET_RETRY_AFTER_MS,
             "no router reaches a target of the service");
  else if (choice->outside_count > 0)
    reject_outside (request);
  else
    give_up (request, NO_TARGET_RETRY_AFTER_MS,
             request->build == 0
                 ? "the service has no available target"
                 : "no target of the software version that began the stream "
                   "is available");
}

/* Sends the request to the best candidate that can be reached. */
static bool
send_to_best (struct edge_request *request, struct choice *choice,
              bool *is_unreachable, uint64_t now_ms)
{
  struct edge *edge = request->edge;
  int index = choose (choice, now_ms, base_random_next (&edge->random));
  while (index >= 0 && !send_if_reachable (request, choice, index, now_ms))
    {
      *is_unreachable = true;
      drop_candidate (choice, index);
      index = choose (choice, now_ms, base_random_next (&edge->random));
    }
  return index >= 0;
}

void
edge_send_request (struct edge_request *request)
{
  bool is_unreachable = false;
  if (edge_send_is_blocked (request) || edge_request_refuse_late (request))
    return;
  if (!edge_suspicion_may_send (request))
    {
      if (!edge_suspicion_await_trial (request))
        edge_send_reject_unpermitted (request);
      return;
    }
  uint64_t now_ms = edge_now_ms ();
  struct choice *choice = find_candidates (request);
  bool is_sent = send_to_best (request, choice, &is_unreachable, now_ms);
  if (!is_sent && !choice->takes_cold && choice->cold_count > 0)
    {
      visit_targets (choice, true);
      is_sent = send_to_best (request, choice, &is_unreachable, now_ms);
    }
  if (!is_sent)
    handle_no_candidate (request, choice, is_unreachable);
  g_free (choice);
}

/* Returns whether the request can be sent again without waiting for a
   permit: a stream that has begun, only to a target of its build. */
static bool
has_candidate (struct edge_request *request)
{
  struct choice *choice = find_candidates (request);
  bool found = choice->count > 0 || choice->full_count > 0
               || (choice->unpermitted_count == 0 && choice->resting_count == 0
                   && choice->evacuated_count == 0 && request->build == 0);
  request->rest_left_ms = !found ? (uint32_t)choice->rest_left_ms : 0;
  g_free (choice);
  return found;
}

static void
avoid_target (struct edge_request *request)
{
  if (request->avoid_count < EDGE_AVOID_MAX)
    request->avoid[request->avoid_count++]
        = g_intern_string (request->target->record.name);
}

/* Returns what keeps the request from being sent again, or NULL. */
static const char *
find_obstacle (struct edge_request *request, bool is_unsent, uint64_t now_ms)
{
  if (remaining_ms (request, now_ms) < RETRY_TIME_MIN_MS)
    return "time";
  if (request->attempts_sent - request->unsent_count
      >= request->route->max_attempts + REFUSED_SENDS_MAX)
    return "attempts";
  if (!has_candidate (request))
    return "candidates";
  /* What reached no target puts no load on any. */
  if (is_unsent)
    return request->unsent_count < UNSENT_MAX ? NULL : "attempts";
  if (!edge_retry_take (request->edge->retry, request->service->name, now_ms))
    return "budget";
  return NULL;
}

/* Retries the request at another target, or on another way if the attempt
   reached none (@p is_unsent).  Returns false when the time left, the number
   of attempts or the retry budget does not allow it. */
static bool
send_again (struct edge_request *request, bool is_unsent, const char *reason)
{
  struct edge *edge = request->edge;
  uint64_t now_ms = edge_now_ms ();
  request->obstacle = find_obstacle (request, is_unsent, now_ms);
  if (request->obstacle)
    return false;
  base_event ("send-again id=%s reason=\"%s\" after=%s sends=%" PRIu32
              " runs=%" PRIu32 " left_ms=%" PRIu32,
              request->head.request_id, reason, request->target->record.name,
              request->attempts_sent, request->attempts_maybe_run,
              remaining_ms (request, now_ms));
  base_counter_add (edge->counters.resent, 1);
  if (!is_unsent)
    avoid_target (request);
  edge_release_target (request);
  if (request->events)
    edge_events_discard_partial (request->events);
  edge_send_request (request);
  return true;
}

bool
edge_send_may_repeat (struct edge_request *request)
{
  return request->is_idempotent
         && request->attempts_maybe_run < request->route->max_attempts;
}

/* Handles an attempt that reached no target. */
static void
handle_unsent (struct edge_request *request)
{
  struct edge *edge = request->edge;
  struct edge_target *target = request->target;
  uint64_t now_ms = edge_now_ms ();
  base_counter_add (edge->counters.unsent, 1);
  request->unsent_count++;
  request->attempts_maybe_run--;
  if (request->via)
    edge_reach_note_relayed (
        edge, target, request->via,
        edge_tunnel_result (request->attempt
                                ? edge_attempt_tunnel_status (request->attempt)
                                : EDGE_TUNNEL_NONE));
  else
    {
      edge_reach_note_connection (
          edge, target,
          request->attempt ? edge_attempt_system_error (request->attempt)
                           : EIO);
      edge_target_doubt (target, now_ms);
      if (!edge_reach_needs_relay (edge, target))
        place_note_refused_connection (&target->load, now_ms);
    }
  if (!send_again (request, true, "the target can't be reached"))
    give_up (request, MAX (NO_TARGET_RETRY_AFTER_MS, request->rest_left_ms),
             "the target can't be reached");
}

/* Handles an attempt that did not run. */
static void
handle_not_run (struct edge_request *request, const char *reason)
{
  request->attempts_maybe_run--;
  if (!send_again (request, false, reason))
    give_up (request, MAX (FULL_RETRY_AFTER_MS, request->rest_left_ms),
             reason);
}

/* Handles an attempt that may have run and has no usable response. */
static void
handle_lost (struct edge_request *request, const char *reason)
{
  request->maybe_ran = true;
  place_note_failure (&request->target->load, edge_now_ms ());
  if (edge_send_may_repeat (request) && !request->is_suspected
      && send_again (request, false, reason))
    {
      if (request->is_started)
        base_counter_add (request->edge->counters.resumed, 1);
      return;
    }
  give_up (request, 0, reason);
}

/* Handles a response that reports that the target did not run the request. */
static void
handle_refusal (struct edge_request *request,
                const struct edge_target_response *response)
{
  base_event ("target-refused id=%s target=%s status=%" PRIu32
              " running=%" PRIu32,
              request->head.request_id, request->target->record.name,
              response->status, request->target->load.running);
  if (response->status == STATUS_MISDIRECTED)
    {
      /* This incarnation of the target has ended, although no control member
         has reported that yet. */
      request->target->is_replaced = true;
      handle_not_run (request, "the address now belongs to another target");
      return;
    }
  edge_room_note_rejection (request);
  place_note_failure (&request->target->load, edge_now_ms ());
  handle_not_run (request,
                  "the target refused the request without running it");
}

/* Handles the end of a whole response after the stream to the caller
   began. */
static void
end_stream (struct edge_request *request,
            const struct edge_target_response *response, uint64_t now_ms)
{
  if (!response->is_stream || response->status >= STATUS_REDIRECTION)
    handle_lost (request, "the target did not resume the stream");
  else
    {
      place_note_success (&request->target->load, now_ms);
      edge_suspicion_note_complete (request, true);
      edge_answer_end_stream (request, false, "-");
    }
}

/* Handles a complete response of the target. */
static void
handle_response (struct edge_request *request)
{
  const struct edge_target_response *response
      = edge_attempt_response (request->attempt);
  uint64_t now_ms = edge_now_ms ();
  if (!response->not_run
      && edge_attempt_body_end (request->attempt) == HTTP_BODY_END_CONNECTION)
    edge_suspicion_note_lost (request);
  if (response->not_run)
    {
      handle_refusal (request, response);
      return;
    }
  if (request->is_started)
    {
      end_stream (request, response, now_ms);
      return;
    }
  request->maybe_ran = true;
  edge_suspicion_note_complete (request,
                                response->status < STATUS_REDIRECTION);
  if (response->status < STATUS_SERVER_ERROR)
    {
      place_note_success (&request->target->load, now_ms);
      edge_answer_complete (request);
      return;
    }
  place_note_failure (&request->target->load, now_ms);
  if (!edge_send_may_repeat (request)
      || !send_again (request, false,
                      "the target answered with a server error"))
    edge_answer_complete (request);
}

/* Formats the ids of the prompt parts; the caller frees the text. */
static char *
format_parts (const struct place_request *placement)
{
  GString *text = g_string_new (placement->part_count > 0 ? NULL : "-");
  for (uint32_t i = 0; i < placement->part_count; i++)
    g_string_append_printf (text, "%s%" PRIx64, i > 0 ? "," : "",
                            placement->parts[i].id);
  return g_string_free (text, FALSE);
}

void
edge_send_handle_attempt_end (struct edge_request *request,
                              enum edge_attempt_outcome outcome)
{
  const char *reason = request->attempt ? edge_attempt_error (request->attempt)
                                        : "the transfer could not be started";
  if (outcome == EDGE_ATTEMPT_COMPLETE)
    {
      handle_response (request);
      return;
    }
  char *parts = format_parts (&request->placement);
  base_event ("send-failed id=%s target=%s outcome=%s error=\"%s\" reused=%d "
              "events=%" PRIu32 " after_ms=%" PRIu64
              " head=%d request=%" PRIx64 " parts=%s via=%s",
              request->head.request_id, request->target->record.name,
              outcome == EDGE_ATTEMPT_UNSENT ? "unsent" : "lost", reason,
              request->attempt && edge_attempt_reused (request->attempt),
              request->event_count, edge_now_ms () - request->sent_ms,
              request->attempt && edge_attempt_head_ms (request->attempt) > 0,
              edge_request_digest (request), parts,
              request->via ? request->via : "-");
  g_free (parts);
  if (outcome == EDGE_ATTEMPT_UNSENT)
    handle_unsent (request);
  else
    {
      if (request->attempt && edge_attempt_is_silent_loss (request->attempt))
        edge_pool_note_silence (request);
      edge_suspicion_note_lost (request);
      handle_lost (request, reason);
    }
}

void
edge_send_handle_stall (struct edge_request *request, const char *reason)
{
  struct edge_target *target = edge_target_ref (request->target);
  uint64_t now_ms = edge_now_ms ();
  uint64_t sent_ms = request->sent_ms;
  request->maybe_ran = true;
  if (send_again (request, false, reason))
    {
      place_note_failure (&target->load, now_ms);
      base_event (
          "target-silent id=%s target=%s reason=\"%s\" after_ms=%" PRIu64,
          request->head.request_id, target->record.name, reason,
          now_ms - sent_ms);
    }
  edge_target_unref (target);
}
