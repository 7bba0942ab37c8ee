#include "edge_limits.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base_event.h"

#define STATUS_OK 200
#define STATUS_SERVER_ERROR 500
#define STATUS_MISDIRECTED 421
/* Time for which a limit that this router read in a response, and reported,
   holds although it is not in control's list, in ms: until the list has come
   through. */
#define UNLISTED_MS 2000
/* Interval at which a known limit is reported again, so that control doesn't
   drop it, and that of reports of its end, in ms. */
#define CONFIRM_INTERVAL_MS 5000
#define END_INTERVAL_MS 150
/* Interval at which a held target that control doesn't list is reported. */
#define HOLD_REPORT_MS 500
/* Time for which a limit that is over is kept in mind, in ms: for responses
   that were on their way when it ended. */
#define OVER_MS 5000
/* Time before its end from which a permit may be used by a less urgent
   request, in ms. */
#define LEFT_OVER_MS 300

/* Permits of one grant. */
struct permits
{
  uint32_t priority;
  uint32_t count;
  uint64_t expires_ms;
};

/* What is known of one target. */
struct limit
{
  uint64_t born_ms;
  uint64_t limit_mrps;
  /* The limit is in control's list. */
  bool is_listed;
  /* Time until which a limit that a response named holds without control's
     list: UINT64_MAX while control has not answered the report. */
  uint64_t unlisted_until_ms;
  /* Time until which edge_limits_hold limits the target. */
  uint64_t held_until_ms;
  /* Nothing else limits the target, so that it is free when the hold ends,
     also while control's list still has it: control may be cut off. */
  bool is_hold_only;
  /* Time at which the limit was dropped from control's list, or 0. */
  uint64_t over_ms;
  /* What is to be reported, and the time of the last report. */
  bool has_report;
  bool reports_limit;
  uint64_t report_sent_ms;
  uint64_t report_seen_ms;
  uint64_t reported_ms;
  /* struct permits, the oldest first. */
  GArray *permits;
  /* The last response named a limit that can't be read. */
  bool is_malformed;
  /* Permits used, and expired unused, since the last call. */
  uint32_t used;
  uint32_t returned;
};

struct edge_limits
{
  uint64_t version;
  /* struct limit by the target's name. */
  GHashTable *by_target;
};

static void
free_limit (gpointer data)
{
  struct limit *limit = data;
  g_array_unref (limit->permits);
  g_free (limit);
}

struct edge_limits *
edge_limits_create (void)
{
  struct edge_limits *limits = g_new0 (struct edge_limits, 1);
  limits->by_target
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_limit);
  return limits;
}

void
edge_limits_destroy (struct edge_limits *limits)
{
  if (!limits)
    return;
  g_hash_table_unref (limits->by_target);
  g_free (limits);
}

static struct limit *
ensure_limit (struct edge_limits *limits, const char *target)
{
  struct limit *limit = g_hash_table_lookup (limits->by_target, target);
  if (!limit)
    {
      limit = g_new0 (struct limit, 1);
      limit->permits = g_array_new (FALSE, FALSE, sizeof (struct permits));
      g_hash_table_insert (limits->by_target, g_strdup (target), limit);
    }
  return limit;
}

static bool
is_in_force (const struct limit *limit, uint64_t now_ms)
{
  return (limit->is_listed && !limit->is_hold_only)
         || now_ms < limit->unlisted_until_ms || now_ms < limit->held_until_ms;
}

/* Counts the permits as unused; they are not used any more. */
static void
drop_permits (struct limit *limit)
{
  for (guint i = 0; i < limit->permits->len; i++)
    limit->returned += g_array_index (limit->permits, struct permits, i).count;
  g_array_set_size (limit->permits, 0);
}

/* What was known of another incarnation of the target says nothing about this
   one. */
static void
begin_incarnation (struct limit *limit, uint64_t born_ms)
{
  GArray *permits = limit->permits;
  g_array_set_size (permits, 0);
  *limit = (struct limit){ .born_ms = born_ms, .permits = permits };
}

static void
queue_report (struct limit *limit, bool is_limit, uint64_t sent_ms,
              uint64_t seen_ms)
{
  limit->has_report = true;
  limit->reports_limit = is_limit;
  limit->report_sent_ms = sent_ms;
  limit->report_seen_ms = seen_ms;
}

static void
note_named (struct edge_limits *limits, const struct edge_limit_head *head,
            uint64_t now_ms)
{
  uint64_t limit_mrps = head->response->limit_mrps;
  struct limit *limit = ensure_limit (limits, head->target.name);
  if (limit->born_ms != head->target.born_ms)
    begin_incarnation (limit, head->target.born_ms);
  limit->is_malformed = false;
  limit->is_hold_only = false;
  bool was_in_force = is_in_force (limit, now_ms);
  if (!was_in_force && head->sent_ms <= limit->over_ms)
    return;
  bool is_same = was_in_force && limit->limit_mrps == limit_mrps;
  if (!is_same)
    base_event ("limit-named target=%s limit_mrps=%" PRIu64
                " former_mrps=%" PRIi64 " id=%s",
                head->target.name, limit_mrps,
                was_in_force ? (int64_t)limit->limit_mrps : -1,
                head->request_id);
  if (!limit->is_listed)
    limit->unlisted_until_ms = UINT64_MAX;
  if (is_same && limit->is_listed
      && now_ms < limit->reported_ms + CONFIRM_INTERVAL_MS)
    return;
  if (limit_mrps < limit->limit_mrps)
    drop_permits (limit);
  limit->limit_mrps = limit_mrps;
  queue_report (limit, true, head->sent_ms, now_ms);
}

/* An error may come from something in front of the target that knows of no
   limit, so only other responses show its end.  The limit holds until it is
   gone from control's list. */
static void
note_none (struct edge_limits *limits, const struct edge_limit_head *head,
           uint64_t now_ms)
{
  struct limit *limit
      = g_hash_table_lookup (limits->by_target, head->target.name);
  if (!limit || limit->born_ms != head->target.born_ms
      || !is_in_force (limit, now_ms) || now_ms < limit->held_until_ms
      || head->response->not_run
      || head->response->status >= STATUS_SERVER_ERROR
      || now_ms < limit->reported_ms + END_INTERVAL_MS)
    return;
  base_event ("limit-ended target=%s former_mrps=%" PRIu64 " id=%s",
              head->target.name, limit->limit_mrps, head->request_id);
  limit->unlisted_until_ms = 0;
  queue_report (limit, false, head->sent_ms, now_ms);
}

/* What was known before holds on. */
static void
note_malformed (struct edge_limits *limits, const struct edge_limit_head *head)
{
  struct limit *limit = ensure_limit (limits, head->target.name);
  if (!limit->is_malformed)
    base_event ("limit-malformed target=%s id=%s", head->target.name,
                head->request_id);
  limit->is_malformed = true;
}

void
edge_limits_note_head (struct edge_limits *limits,
                       const struct edge_limit_head *head, uint64_t now_ms)
{
  const struct edge_target_response *response = head->response;
  if (!response->request_id_matches || response->request_id_differs
      || response->status < STATUS_OK
      || response->status == STATUS_MISDIRECTED)
    return;
  switch (response->limit)
    {
    case EDGE_LIMIT_NAMED:
      note_named (limits, head, now_ms);
      break;
    case EDGE_LIMIT_MALFORMED:
      note_malformed (limits, head);
      break;
    case EDGE_LIMIT_NONE:
    default:
      note_none (limits, head, now_ms);
      break;
    }
}

void
edge_limits_hold (struct edge_limits *limits,
                  const struct edge_limit_target *target, uint64_t rate_mrps,
                  uint64_t until_ms, uint64_t now_ms)
{
  struct limit *limit = ensure_limit (limits, target->name);
  if (limit->born_ms != target->born_ms)
    begin_incarnation (limit, target->born_ms);
  bool was_in_force = is_in_force (limit, now_ms);
  if (!was_in_force || (limit->is_listed && limit->limit_mrps == rate_mrps))
    limit->is_hold_only = true;
  limit->held_until_ms = until_ms;
  if (!was_in_force || rate_mrps < limit->limit_mrps)
    {
      base_event ("limit-held target=%s limit_mrps=%" PRIu64
                  " for_ms=%" PRIu64,
                  target->name, rate_mrps, until_ms - now_ms);
      drop_permits (limit);
      limit->limit_mrps = rate_mrps;
    }
  else if (limit->is_listed)
    return;
  if (!limit->has_report && now_ms >= limit->reported_ms + HOLD_REPORT_MS)
    queue_report (limit, true, now_ms, now_ms);
}

/* Returns whether no target is known to be limited. */
static bool
is_empty (const struct edge_limits *limits)
{
  return g_hash_table_size (limits->by_target) == 0;
}

void
edge_limits_release (struct edge_limits *limits,
                     const struct edge_limit_target *target, uint64_t now_ms)
{
  if (is_empty (limits))
    return;
  struct limit *limit = g_hash_table_lookup (limits->by_target, target->name);
  if (limit && limit->born_ms == target->born_ms)
    limit->held_until_ms = MIN (limit->held_until_ms, now_ms);
}

static struct limit *
find_in_force (const struct edge_limits *limits,
               const struct edge_limit_target *target, uint64_t now_ms)
{
  if (is_empty (limits))
    return NULL;
  struct limit *limit = g_hash_table_lookup (limits->by_target, target->name);
  return limit && limit->born_ms == target->born_ms
                 && is_in_force (limit, now_ms)
             ? limit
             : NULL;
}

bool
edge_limits_find (const struct edge_limits *limits,
                  const struct edge_limit_target *target, uint64_t now_ms,
                  uint64_t *limit_mrps)
{
  const struct limit *limit = find_in_force (limits, target, now_ms);
  if (limit && limit_mrps)
    *limit_mrps = limit->limit_mrps;
  return limit != NULL;
}

/* Returns the permits that a request of the priority may use: those of its own
   priority before those of less urgent requests. */
static struct permits *
find_permits (const struct limit *limit, uint32_t priority, uint64_t now_ms)
{
  struct permits *best = NULL;
  for (guint i = 0; i < limit->permits->len; i++)
    {
      struct permits *permits
          = &g_array_index (limit->permits, struct permits, i);
      bool is_usable = permits->priority >= priority
                       || now_ms + LEFT_OVER_MS >= permits->expires_ms;
      if (permits->count == 0 || now_ms >= permits->expires_ms || !is_usable)
        continue;
      if (permits->priority == priority)
        return permits;
      if (!best || permits->priority < best->priority)
        best = permits;
    }
  return best;
}

bool
edge_limits_has_permit (const struct edge_limits *limits,
                        const struct edge_limit_target *target,
                        uint32_t priority, uint64_t now_ms)
{
  const struct limit *limit = find_in_force (limits, target, now_ms);
  return limit && find_permits (limit, priority, now_ms);
}

void
edge_limits_use_permit (struct edge_limits *limits,
                        const struct edge_limit_target *target,
                        uint32_t priority, uint64_t now_ms)
{
  struct limit *limit = find_in_force (limits, target, now_ms);
  struct permits *permits
      = limit ? find_permits (limit, priority, now_ms) : NULL;
  if (!permits)
    return;
  permits->count--;
  limit->used++;
}

uint32_t
edge_limits_count_permits (const struct edge_limits *limits,
                           const struct edge_limit_target *target,
                           uint32_t priority, uint64_t now_ms)
{
  const struct limit *limit = find_in_force (limits, target, now_ms);
  uint32_t count = 0;
  for (guint i = 0; limit && i < limit->permits->len; i++)
    {
      const struct permits *permits
          = &g_array_index (limit->permits, struct permits, i);
      if (permits->priority == priority && now_ms < permits->expires_ms)
        count += permits->count;
    }
  return count;
}

uint32_t
edge_limits_count (const struct edge_limits *limits, uint64_t now_ms)
{
  GHashTableIter iterator;
  gpointer value;
  uint32_t count = 0;
  g_hash_table_iter_init (&iterator, limits->by_target);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    count += is_in_force (value, now_ms);
  return count;
}

bool
edge_limits_needs_call (const struct edge_limits *limits)
{
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init (&iterator, limits->by_target);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    if (((const struct limit *)value)->has_report)
      return true;
  return false;
}

static void
expire_permits (struct limit *limit, uint64_t now_ms)
{
  for (guint i = limit->permits->len; i-- > 0;)
    {
      const struct permits *permits
          = &g_array_index (limit->permits, struct permits, i);
      if (now_ms < permits->expires_ms && permits->count > 0)
        continue;
      limit->returned += permits->count;
      g_array_remove_index (limit->permits, i);
    }
}

static void
add_report (struct limit *limit, const char *target, uint64_t now_ms,
            struct control_limit_call *call)
{
  if (!limit->has_report || call->reports.reports_len == CONTROL_LIMITS_MAX)
    return;
  limit->has_report = false;
  limit->reported_ms = now_ms;
  call->reports.reports_val[call->reports.reports_len++]
      = (struct control_limit_report){
          .target = strdup (target),
          .born_ms = limit->born_ms,
          .limited = limit->reports_limit,
          .rate_mrps = limit->limit_mrps,
          .sent_ms = limit->report_sent_ms,
          .seen_ms = limit->report_seen_ms,
        };
}

static void
add_use (struct limit *limit, const char *target,
         struct control_limit_call *call)
{
  if ((limit->used == 0 && limit->returned == 0)
      || call->uses.uses_len == CONTROL_LIMITS_MAX)
    return;
  call->uses.uses_val[call->uses.uses_len++]
      = (struct control_permit_use){ strdup (target), limit->born_ms,
                                     limit->used, limit->returned };
  limit->used = 0;
  limit->returned = 0;
}

/* Control is told, until its list says so, that a held target is free. */
static void
end_hold (struct limit *limit, uint64_t now_ms)
{
  if (limit->is_hold_only && limit->is_listed && now_ms >= limit->held_until_ms
      && now_ms >= limit->reported_ms + END_INTERVAL_MS)
    queue_report (limit, false, now_ms, now_ms);
}

void
edge_limits_fill_call (struct edge_limits *limits, uint64_t now_ms,
                       struct control_limit_call *call)
{
  GHashTableIter iterator;
  gpointer target, value;
  uint32_t count = g_hash_table_size (limits->by_target);
  call->reports.reports_val
      = calloc (count + 1, sizeof *call->reports.reports_val);
  call->uses.uses_val = calloc (count + 1, sizeof *call->uses.uses_val);
  g_hash_table_iter_init (&iterator, limits->by_target);
  while (g_hash_table_iter_next (&iterator, &target, &value))
    {
      struct limit *limit = value;
      expire_permits (limit, now_ms);
      end_hold (limit, now_ms);
      add_report (limit, target, now_ms, call);
      add_use (limit, target, call);
      if (!is_in_force (limit, now_ms) && !limit->is_listed
          && !limit->has_report && now_ms >= limit->over_ms + OVER_MS)
        g_hash_table_iter_remove (&iterator);
    }
}

/* Control has the reports of the call that it answered. */
static void
begin_unlisted_time (struct edge_limits *limits, uint64_t now_ms)
{
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init (&iterator, limits->by_target);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct limit *limit = value;
      if (!limit->has_report && limit->unlisted_until_ms == UINT64_MAX)
        limit->unlisted_until_ms = now_ms + UNLISTED_MS;
    }
}

void
edge_limits_apply_result (struct edge_limits *limits,
                          const struct control_router_result *result,
                          uint64_t called_ms, uint64_t now_ms)
{
  begin_unlisted_time (limits, now_ms);
  for (u_int i = 0; i < result->grants.grants_len; i++)
    {
      const struct control_permit_grant *grant = &result->grants.grants_val[i];
      struct limit *limit
          = g_hash_table_lookup (limits->by_target, grant->target);
      if (!limit || !limit->is_listed || limit->born_ms != grant->born_ms)
        continue;
      struct permits permits
          = { grant->priority, grant->permits, called_ms + CONTROL_PERMIT_MS };
      g_array_append_val (limit->permits, permits);
    }
}

static void
apply_line (struct limit *limit, const struct control_limit *line)
{
  if (limit->born_ms != line->born_ms)
    begin_incarnation (limit, line->born_ms);
  if (line->rate_mrps < limit->limit_mrps)
    drop_permits (limit);
  if (line->rate_mrps != limit->limit_mrps)
    limit->is_hold_only = false;
  limit->is_listed = true;
  limit->limit_mrps = line->rate_mrps;
}

void
edge_limits_apply_list (struct edge_limits *limits,
                        const struct control_limit_list *list, uint64_t now_ms)
{
  GHashTableIter iterator;
  gpointer target, value;
  if (list->list_version <= limits->version)
    return;
  limits->version = list->list_version;
  GHashTable *listed = g_hash_table_new (g_str_hash, g_str_equal);
  for (u_int i = 0; i < list->limits.limits_len; i++)
    {
      const struct control_limit *line = &list->limits.limits_val[i];
      struct limit *limit = ensure_limit (limits, line->target);
      if (!limit->is_listed || limit->limit_mrps != line->rate_mrps)
        base_event ("limit-in-force target=%s limit_mrps=%" PRIu64
                    " list=%" PRIu64,
                    line->target, (uint64_t)line->rate_mrps, limits->version);
      apply_line (limit, line);
      g_hash_table_add (listed, line->target);
    }
  g_hash_table_iter_init (&iterator, limits->by_target);
  while (g_hash_table_iter_next (&iterator, &target, &value))
    {
      struct limit *limit = value;
      if (!limit->is_listed || g_hash_table_contains (listed, target))
        continue;
      base_event ("limit-over target=%s list=%" PRIu64, (const char *)target,
                  limits->version);
      limit->is_listed = false;
      limit->unlisted_until_ms = 0;
      limit->over_ms = now_ms;
      drop_permits (limit);
    }
  g_hash_table_unref (listed);
}
