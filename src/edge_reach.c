#include "edge_reach.h"

#include <inttypes.h>
#include <string.h>

#include "base_event.h"
#include "edge_probe.h"
#include "edge_request.h"

/* Number of other targets that are probed when one is lost; each of them that
   is lost too has as many more probed. */
#define CHECKS 12
/* A target that nobody reaches and that has stopped announcing itself for this
   time is probed less often, at this interval, in milliseconds. */
#define GONE_MS 10000

/* A choice of targets to probe. */
struct check
{
  struct edge *edge;
  uint64_t now_ms;
  uint32_t targets;
};

static void
count_target (void *context, struct edge_target *target)
{
  struct check *check = context;
  check->targets += !target->path.is_lost;
}

/* Probes each target with the same probability, CHECKS in the mean. */
static void
check_path (void *context, struct edge_target *target)
{
  struct check *check = context;
  if (!target->path.is_lost
      && base_random_below (&check->edge->random, check->targets) < CHECKS)
    edge_path_check (&target->path, check->now_ms);
}

/* What cut one target off may have cut off others. */
static void
check_others (struct edge *edge, uint64_t now_ms)
{
  struct check check = { edge, now_ms, 0 };
  edge_targets_visit_all (edge->targets, count_target, &check);
  if (check.targets > 0)
    edge_targets_visit_all (edge->targets, check_path, &check);
}

void
edge_reach_note_connection (struct edge *edge, struct edge_target *target,
                            int error)
{
  uint64_t now_ms = edge_now_ms ();
  uint64_t lost_ms = target->path.lost_ms;
  if (error == 0)
    {
      if (edge_path_note_reached (&target->path, now_ms))
        base_event ("target-reached target=%s after_ms=%" PRIu64,
                    target->record.name, now_ms - lost_ms);
      return;
    }
  edge->has_lost_paths = true;
  if (!edge_path_note_lost (&target->path, now_ms))
    return;
  base_event ("target-unreachable target=%s zone=%s error=\"%s\" heard=%d",
              target->record.name, target->record.availability_zone,
              strerror (error), !edge_target_is_silent (target, now_ms));
  check_others (edge, now_ms);
}

void
edge_reach_note_relayed (struct edge *edge, struct edge_target *target,
                         const char *peer, enum edge_path_result result)
{
  static const char *const names[]
      = { "reached", "refused", "unreachable", "no-peer", "busy-peer" };
  uint64_t now_ms = edge_now_ms ();
  if (result == EDGE_PATH_BUSY_PEER)
    edge_peers_note_busy (edge->peers, peer, now_ms);
  else
    edge_peers_note_contact (edge->peers, peer, result != EDGE_PATH_NO_PEER,
                             now_ms);
  if (edge_path_note_relayed (&target->path, peer, result, now_ms))
    base_event ("target-relay target=%s via=%s result=%s relay=%d",
                target->record.name, peer, names[result],
                (int)target->path.relay);
}

void
edge_reach_note_head (struct edge *edge, struct edge_target *target,
                      const struct edge_target_response *response,
                      const char *request_id)
{
  uint32_t changes
      = edge_pacing_note_head (&target->pacing, response, edge_now_ms (),
                               base_random_next (&edge->random));
  if (response->cold_ms > 0)
    {
      if (edge_target_cold_left_ms (target, edge_now_ms ()) == 0)
        base_event ("target-cold target=%s id=%s left_ms=%" PRIu32,
                    target->record.name, request_id, response->cold_ms);
      edge_target_note_cold (target, response->cold_ms, edge_now_ms ());
    }
  if (response->is_brittle)
    edge_targets_note_brittle (edge->targets, target->record.service,
                               target->pacing.stated_ms);
  if (response->malformed_statement)
    base_event ("target-statement-malformed target=%s id=%s header=%s",
                target->record.name, request_id,
                response->malformed_statement);
  if (changes == 0)
    return;
  base_counter_add (edge->counters.target_statements, 1);
  base_event ("target-states target=%s id=%s status=%" PRIu32
              " leaving=%d brittle=%d rejections_per_s=%" PRIu32
              " rest_ms=%" PRIu32,
              target->record.name, request_id, response->status,
              target->pacing.is_leaving, target->pacing.is_brittle,
              target->pacing.rejections_per_s, response->rest_ms);
}

void
edge_reach_suspect (struct edge *edge, struct edge_target *target)
{
  edge_path_suspect (&target->path, edge_now_ms ());
  edge->has_lost_paths |= target->path.probe_ms != 0;
}

bool
edge_reach_needs_relay (const struct edge *edge,
                        const struct edge_target *target)
{
  return target->path.is_lost && edge_peers_count (edge->peers) > 0;
}

static bool
may_pass (const void *context, const char *availability_zone)
{
  return edge_request_allows_zone (context, availability_zone);
}

const struct edge_peer *
edge_reach_choose_peer (struct edge *edge, const struct edge_target *target,
                        const struct edge_request *request, uint64_t now_ms)
{
  const struct edge_peers_wish wish
      = { target->record.availability_zone,
          edge_distance_to (edge, target->record.availability_zone),
          &target->path, request ? may_pass : NULL, request };
  return edge_peers_choose (edge->peers, &wish, now_ms,
                            base_random_next (&edge->random));
}

/* A look at all paths. */
struct survey
{
  struct edge *edge;
  uint64_t now_ms;
  uint32_t targets;
  uint32_t lost;
  bool has_work;
};

/* Returns whether the target has probably ended, and was probed lately. */
static bool
is_gone (const struct edge_target *target, uint64_t now_ms)
{
  const struct edge_path *path = &target->path;
  return path->is_lost && path->relay == EDGE_PATH_RELAY_FAILS
         && now_ms >= path->lost_ms + GONE_MS
         && now_ms < path->tried_ms + GONE_MS
         && edge_target_is_silent (target, now_ms);
}

static void
survey_path (void *context, struct edge_target *target)
{
  struct survey *survey = context;
  struct edge *edge = survey->edge;
  struct edge_path *path = &target->path;
  survey->targets++;
  survey->lost += path->is_lost;
  survey->has_work |= path->is_lost || path->probe_ms != 0;
  if (is_gone (target, survey->now_ms))
    return;
  if (edge_path_needs_probe (path, survey->now_ms)
      && edge_probe_start (edge, target, NULL, EDGE_PROBE_PATH,
                           survey->now_ms))
    edge_path_begin_probe (path);
  if (!edge_path_needs_relay_probe (path, survey->now_ms))
    return;
  const struct edge_peer *peer
      = edge_reach_choose_peer (edge, target, NULL, survey->now_ms);
  if (!peer
      || edge_probe_start (edge, target, peer, EDGE_PROBE_PATH,
                           survey->now_ms))
    edge_path_begin_relay_probe (path, peer != NULL, survey->now_ms);
}

void
edge_reach_run (struct edge *edge, uint64_t now_ms)
{
  struct survey survey = { edge, now_ms, 0, 0, false };
  if (!edge->has_lost_paths)
    return;
  edge_targets_visit_all (edge->targets, survey_path, &survey);
  edge->has_lost_paths = survey.has_work;
  edge->is_cut_off = survey.lost > 0 && 2 * survey.lost >= survey.targets;
  base_counter_set (edge->counters.lost_targets, survey.lost);
}
