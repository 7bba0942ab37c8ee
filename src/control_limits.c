#include "control_limits.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "base_log.h"
#include "control_limits_state.h"

/* Longest time between two commands that counts, in ms.  It bounds what a
   clock that is set forward, or a new leader with such a clock, can add. */
#define STEP_MAX_MS 500
/* Time after which a limit that no router confirmed is dropped, in ms. */
#define CONFIRMATION_MS 60000
/* Time for which less urgent requests yield to more urgent ones that lacked
   permits, in ms: a router asks again within that time. */
#define YIELD_MS 300
/* Time without a permit after which any router gets one, even if it has nearer
   targets, in ms: only responses show that a limit has ended. */
#define IDLE_MS 600
/* Time by which responses of one target may overtake each other, in ms.  A
   response without a limit shows its end if it comes this much later than the
   last one that named it, or belongs to a request that was sent later. */
#define OVERTAKING_MS 500

static void
free_limit (gpointer data)
{
  struct control_limited_target *limit = data;
  control_bucket_clear (&limit->bucket);
  g_free (limit->target);
  g_free (limit);
}

struct control_limits *
control_limits_create (void)
{
  struct control_limits *limits = g_new0 (struct control_limits, 1);
  limits->limits = g_ptr_array_new_with_free_func (free_limit);
  return limits;
}

void
control_limits_destroy (struct control_limits *limits)
{
  if (!limits)
    return;
  g_ptr_array_unref (limits->limits);
  g_free (limits);
}

/* Returns the index of the first target whose name is not before @p target. */
static guint
lower_bound (const struct control_limits *limits, const char *target)
{
  guint low = 0;
  guint high = limits->limits->len;
  while (low < high)
    {
      guint middle = low + (high - low) / 2;
      const struct control_limited_target *limit
          = limits->limits->pdata[middle];
      if (strcmp (limit->target, target) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static struct control_limited_target *
find_limit (const struct control_limits *limits, const char *target)
{
  guint index = lower_bound (limits, target);
  if (index == limits->limits->len)
    return NULL;
  struct control_limited_target *limit = limits->limits->pdata[index];
  return strcmp (limit->target, target) == 0 ? limit : NULL;
}

/* Drops the target whose last statement is the oldest. */
static void
drop_oldest (struct control_limits *limits)
{
  guint oldest = 0;
  for (guint i = 1; i < limits->limits->len; i++)
    {
      const struct control_limited_target *limit = limits->limits->pdata[i];
      const struct control_limited_target *other
          = limits->limits->pdata[oldest];
      if (limit->seen_ms < other->seen_ms)
        oldest = i;
    }
  g_ptr_array_remove_index (limits->limits, oldest);
  limits->version++;
}

struct control_limited_target *
control_limits_add (struct control_limits *limits, const char *target,
                    uint64_t rate_mrps)
{
  if (limits->limits->len >= CONTROL_LIMITS_MAX)
    drop_oldest (limits);
  struct control_limited_target *limit
      = g_new0 (struct control_limited_target, 1);
  limit->target = g_strdup (target);
  control_bucket_init (&limit->bucket, rate_mrps, limits->clock_ms);
  g_ptr_array_insert (limits->limits, (gint)lower_bound (limits, target),
                      limit);
  return limit;
}

/* A bucket that begins has no permits: the target has had requests without
   them. */
static void
begin_limit (struct control_limits *limits,
             struct control_limited_target *limit,
             const struct control_limit_report *report)
{
  control_bucket_clear (&limit->bucket);
  control_bucket_init (&limit->bucket, report->rate_mrps, limits->clock_ms);
  memset (limit->short_until_ms, 0, sizeof limit->short_until_ms);
  limit->born_ms = report->born_ms;
  limit->is_limited = true;
  limits->version++;
  base_log (BASE_LOG_NOTICE, "limit-begins target=%s rate_mrps=%lu",
            limit->target, (unsigned long)report->rate_mrps);
}

static void
end_limit (struct control_limits *limits, struct control_limited_target *limit,
           const char *reason)
{
  limit->is_limited = false;
  limits->version++;
  base_log (BASE_LOG_NOTICE, "limit-ends target=%s reason=\"%s\"",
            limit->target, reason);
}

static void
change_rate (struct control_limits *limits,
             struct control_limited_target *limit, uint64_t rate_mrps)
{
  base_log (BASE_LOG_NOTICE, "limit-changes target=%s rate_mrps=%lu",
            limit->target, (unsigned long)rate_mrps);
  control_bucket_set_rate (&limit->bucket, rate_mrps, limits->clock_ms);
  limits->version++;
}

/* Returns the time of these limits at which the router's clock, which was
   @p call_ms when it sent its call, showed @p time_ms. */
static uint64_t
convert_time (const struct control_limits *limits, uint64_t time_ms,
              uint64_t call_ms)
{
  uint64_t age_ms = call_ms > time_ms ? call_ms - time_ms : 0;
  return limits->clock_ms - MIN (age_ms, limits->clock_ms);
}

static void
apply_named (struct control_limits *limits,
             struct control_limited_target *limit,
             const struct control_limit_report *report, uint64_t sent_ms,
             uint64_t seen_ms)
{
  bool is_same = limit->born_ms == report->born_ms;
  /* This response was on its way when the limit ended. */
  if (is_same && !limit->is_limited && sent_ms <= limit->ended_ms)
    return;
  if (!is_same || !limit->is_limited)
    begin_limit (limits, limit, report);
  else if (seen_ms >= limit->seen_ms
           && limit->bucket.rate_mrps != report->rate_mrps)
    change_rate (limits, limit, report->rate_mrps);
  limit->seen_ms = is_same ? MAX (limit->seen_ms, seen_ms) : seen_ms;
}

static void
apply_report (struct control_limits *limits,
              const struct control_limit_report *report, uint64_t call_ms)
{
  uint64_t sent_ms = convert_time (limits, report->sent_ms, call_ms);
  uint64_t seen_ms = convert_time (limits, report->seen_ms, call_ms);
  struct control_limited_target *limit = find_limit (limits, report->target);
  if (limit && report->born_ms < limit->born_ms)
    return;
  if (report->limited)
    {
      if (!limit)
        limit = control_limits_add (limits, report->target, report->rate_mrps);
      apply_named (limits, limit, report, sent_ms, seen_ms);
    }
  else if (limit && limit->is_limited
           && MAX (sent_ms + OVERTAKING_MS, seen_ms)
                  > limit->seen_ms + OVERTAKING_MS)
    {
      limit->ended_ms = seen_ms;
      end_limit (limits, limit, "a response names no limit");
    }
}

static void
expire_limits (struct control_limits *limits)
{
  for (guint i = limits->limits->len; i-- > 0;)
    {
      struct control_limited_target *limit = limits->limits->pdata[i];
      if (limits->clock_ms < limit->seen_ms + CONFIRMATION_MS)
        continue;
      if (limit->is_limited)
        end_limit (limits, limit, "no response confirms it");
      g_ptr_array_remove_index (limits->limits, i);
    }
}

/* Returns whether more urgent requests lack permits of the target. */
static bool
yields (const struct control_limits *limits,
        const struct control_limited_target *limit, uint32_t priority)
{
  for (uint32_t i = 0; i < priority; i++)
    if (limit->short_until_ms[i] > limits->clock_ms)
      return true;
  return false;
}

static void
add_grant (struct control_router_result *result,
           const struct control_limited_target *limit, uint32_t priority)
{
  struct control_permit_grant *grants = result->grants.grants_val;
  u_int count = result->grants.grants_len;
  for (u_int i = 0; i < count; i++)
    if (grants[i].priority == priority
        && strcmp (grants[i].target, limit->target) == 0)
      {
        grants[i].permits++;
        return;
      }
  /* The array's size is the power of two from its length on. */
  if ((count & (count - 1)) == 0)
    {
      grants = g_realloc_n (grants, MAX (2 * count, 1), sizeof *grants);
      result->grants.grants_val = grants;
    }
  grants[result->grants.grants_len++]
      = (struct control_permit_grant){ strdup (limit->target), limit->born_ms,
                                       priority, 1 };
}

/* The limits that an ask names, and the router that asks. */
struct ask
{
  uint64_t router_hash;
  struct control_limited_target *limits[CONTROL_LIMITS_MAX];
  uint32_t count;
  uint32_t near;
  bool has_others;
};

static void
grant (struct control_limits *limits, const struct ask *ask,
       struct control_limited_target *limit, uint32_t priority,
       struct control_router_result *result)
{
  control_bucket_grant (&limit->bucket, ask->router_hash, limits->clock_ms);
  limit->granted_ms = limits->clock_ms;
  add_grant (result, limit, priority);
}

/* Grants a permit of one of the first @p count targets: of the first that has
   one for a request that waits, or of that with the most.  Returns whether
   there was one. */
static bool
grant_one (struct control_limits *limits, const struct ask *ask,
           uint32_t count, uint32_t priority, bool is_waiting,
           struct control_router_result *result)
{
  /* Where all targets are limited, the last permit is for a request that
     waits. */
  uint32_t least = is_waiting || ask->has_others ? 1 : 2;
  struct control_limited_target *chosen = NULL;
  for (uint32_t i = 0; i < count && !(chosen && is_waiting); i++)
    {
      struct control_limited_target *limit = ask->limits[i];
      if (control_bucket_has_permits (&limit->bucket, least)
          && !yields (limits, limit, priority)
          && (!chosen
              || limit->bucket.level_micro > chosen->bucket.level_micro))
        chosen = limit;
    }
  if (!chosen || result->grants.grants_len == CONTROL_LIMITS_MAX)
    return false;
  grant (limits, ask, chosen, priority, result);
  return true;
}

/* Grants permits of targets that are not near and got none lately. */
static void
grant_idle (struct control_limits *limits, const struct ask *ask,
            uint32_t priority, struct control_router_result *result)
{
  for (uint32_t i = ask->near; i < ask->count; i++)
    {
      struct control_limited_target *limit = ask->limits[i];
      if (limits->clock_ms >= limit->granted_ms + IDLE_MS
          && control_bucket_has_permits (&limit->bucket, 1)
          && result->grants.grants_len < CONTROL_LIMITS_MAX)
        grant (limits, ask, limit, priority, result);
    }
}

static void
note_short (struct control_limits *limits, const struct ask *ask,
            uint32_t count, uint32_t priority)
{
  for (uint32_t i = 0; i < count; i++)
    ask->limits[i]->short_until_ms[priority] = limits->clock_ms + YIELD_MS;
}

static void
serve_want (struct control_limits *limits, const struct ask *ask,
            const struct control_permit_want *want,
            struct control_router_result *result)
{
  uint32_t priority = MIN (want->priority, CONTROL_PRIORITIES - 1);
  uint32_t waiting = want->waiting;
  uint32_t expected = want->expected;
  while (waiting > 0
         && grant_one (limits, ask, ask->count, priority, true, result))
    waiting--;
  while (expected > 0
         && grant_one (limits, ask, ask->near, priority, false, result))
    expected--;
  if (want->expected > 0)
    grant_idle (limits, ask, priority, result);
  /* Permits for expected requests are asked for ahead of need, so that only
     their lack in large part matters. */
  if (waiting > 0)
    note_short (limits, ask, ask->count, priority);
  else if (2 * expected > want->expected)
    note_short (limits, ask, ask->near, priority);
}

static void
serve_ask (struct control_limits *limits, uint64_t router_hash,
           const struct control_permit_ask *from,
           struct control_router_result *result)
{
  struct ask ask = { .router_hash = router_hash, .has_others = from->others };
  for (u_int i = 0; i < from->targets.targets_len; i++)
    {
      struct control_limited_target *limit
          = find_limit (limits, from->targets.targets_val[i]);
      if (!limit || !limit->is_limited)
        continue;
      control_bucket_refill (&limit->bucket, limits->clock_ms);
      ask.limits[ask.count++] = limit;
      if (i < from->near_targets)
        ask.near = ask.count;
    }
  /* Wants come by priority, the most urgent first. */
  for (u_int i = 0; i < from->wants.wants_len; i++)
    serve_want (limits, &ask, &from->wants.wants_val[i], result);
}

static void
record_use (struct control_limits *limits, uint64_t router_hash,
            const struct control_permit_use *use)
{
  struct control_limited_target *limit = find_limit (limits, use->target);
  if (!limit || !limit->is_limited || limit->born_ms != use->born_ms)
    return;
  control_bucket_refill (&limit->bucket, limits->clock_ms);
  control_bucket_record_use (&limit->bucket, router_hash, use->used,
                             use->returned);
}

static void
advance_clock (struct control_limits *limits, uint64_t wall_ms)
{
  if (limits->wall_ms != 0 && wall_ms > limits->wall_ms)
    limits->clock_ms += MIN (wall_ms - limits->wall_ms, STEP_MAX_MS);
  limits->wall_ms = wall_ms;
}

void
control_limits_call (struct control_limits *limits, const char *router,
                     const struct control_limit_call *call, uint64_t sent_ms,
                     uint64_t wall_ms, struct control_router_result *result)
{
  uint64_t router_hash = XXH3_64bits (router, strlen (router));
  advance_clock (limits, wall_ms);
  expire_limits (limits);
  for (u_int i = 0; i < call->uses.uses_len; i++)
    record_use (limits, router_hash, &call->uses.uses_val[i]);
  for (u_int i = 0; i < call->reports.reports_len; i++)
    apply_report (limits, &call->reports.reports_val[i], sent_ms);
  result->grants.grants_len = 0;
  result->grants.grants_val = NULL;
  for (u_int i = 0; i < call->asks.asks_len; i++)
    serve_ask (limits, router_hash, &call->asks.asks_val[i], result);
}

uint64_t
control_limits_version (const struct control_limits *limits)
{
  return limits->version;
}

void
control_limits_list (const struct control_limits *limits,
                     struct control_limit_list *list)
{
  list->list_version = limits->version;
  list->limits.limits_val
      = calloc (limits->limits->len + 1, sizeof *list->limits.limits_val);
  for (guint i = 0; i < limits->limits->len; i++)
    {
      const struct control_limited_target *limit = limits->limits->pdata[i];
      if (!limit->is_limited)
        continue;
      list->limits.limits_val[list->limits.limits_len++]
          = (struct control_limit){ strdup (limit->target), limit->born_ms,
                                    limit->bucket.rate_mrps };
    }
}
