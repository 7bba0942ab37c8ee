#include "edge_targets.h"

#include <stdlib.h>
#include <string.h>

#include "control_streams.h"
#include "control_targets.h"

/* Time within which a target must send a heartbeat to another member, or again
   to a member that restarted, before it counts as silent, in milliseconds. */
#define SILENCE_GRACE_MS 1500
/* Time within which a process that took over a target's name announces itself,
   in milliseconds: two heartbeats. */
#define DOUBT_MS 2500
/* Time after which another build that a service's targets had no longer
   counts, in milliseconds: all streams that it began are over. */
#define BUILD_MEMORY_MS (2 * CONTROL_STREAMS_KEEP_MS)
/* Time for which a statement that a target is brittle counts for others of its
   service, in milliseconds. */
#define BRITTLE_MEMORY_MS 4000
/* Interval at which a service's builds are counted again. */
#define BUILD_CHECK_MS 1000

struct edge_targets
{
  /* Targets (struct edge_target) by name. */
  GHashTable *by_name;
  /* Builds of a service's targets (struct service_builds) by service. */
  GHashTable *builds;
  /* Times (uint64_t) at which a target of a service last said that it is
     brittle, by service. */
  GHashTable *brittle;
  /* Time at which any did. */
  uint64_t brittle_ms;
};

/* The builds of a service's targets. */
struct service_builds
{
  /* Build of the latest record. */
  uint64_t build;
  /* Time of the first record, time at which there were last several builds, or
     0, and time at which the builds were last counted. */
  uint64_t since_ms;
  uint64_t several_ms;
  uint64_t checked_ms;
};

struct edge_target *
edge_target_ref (struct edge_target *target)
{
  target->references++;
  return target;
}

void
edge_target_unref (struct edge_target *target)
{
  if (--target->references > 0)
    return;
  xdr_free ((xdrproc_t)xdr_control_target, (char *)&target->record);
  place_load_clear (&target->load);
  g_free (target);
}

static void
drop_target (gpointer data)
{
  edge_target_unref (data);
}

struct edge_targets *
edge_targets_create (void)
{
  struct edge_targets *targets = g_new0 (struct edge_targets, 1);
  targets->by_name
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, drop_target);
  targets->brittle
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  targets->builds
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return targets;
}

void
edge_targets_destroy (struct edge_targets *targets)
{
  if (!targets)
    return;
  g_hash_table_unref (targets->by_name);
  g_hash_table_unref (targets->builds);
  g_hash_table_unref (targets->brittle);
  g_free (targets);
}

bool
edge_target_is_silent (const struct edge_target *target, uint64_t now_ms)
{
  return target->live_sources == 0
         && now_ms >= target->silent_since_ms + SILENCE_GRACE_MS;
}

static void
set_live_sources (struct edge_target *target, uint32_t live_sources,
                  uint64_t now_ms)
{
  if (target->live_sources != 0 && live_sources == 0)
    target->silent_since_ms = now_ms;
  target->live_sources = live_sources;
}

bool
edge_target_accepts_work (const struct edge_target *target)
{
  return target->record.state == CONTROL_TARGET_READY && !target->is_replaced
         && !target->pacing.is_leaving;
}

/* Takes over from a new record how long the target stays cold. */
static void
set_cold (struct edge_target *target, uint64_t now_ms)
{
  const struct control_target *record = &target->record;
  if (record->state != CONTROL_TARGET_GONE)
    target->cold_until_ms = now_ms + record->cold_left_ms;
}

void
edge_target_note_cold (struct edge_target *target, uint32_t cold_ms,
                       uint64_t now_ms)
{
  target->cold_stated_until_ms
      = MAX (target->cold_stated_until_ms, now_ms + cold_ms);
}

uint64_t
edge_target_cold_left_ms (const struct edge_target *target, uint64_t now_ms)
{
  uint64_t until_ms
      = MAX (target->cold_until_ms, target->cold_stated_until_ms);
  return until_ms > now_ms ? until_ms - now_ms : 0;
}

/* Sets the target's build from its record. */
static void
set_build (struct edge_targets *targets, struct edge_target *target,
           uint64_t now_ms)
{
  const struct control_target *record = &target->record;
  struct service_builds *known
      = g_hash_table_lookup (targets->builds, record->service);
  target->build
      = control_streams_build (record->service, record->software_version);
  if (!known)
    {
      known = g_new0 (struct service_builds, 1);
      known->build = target->build;
      known->since_ms = now_ms;
      g_hash_table_insert (targets->builds, g_strdup (record->service), known);
    }
  else if (known->build != target->build)
    {
      known->build = target->build;
      known->several_ms = now_ms;
    }
}

/* Returns whether the record replaces the known one: a later incarnation, a
   later state (states of an incarnation only advance), or a later report. */
static bool
is_newer (const struct control_target *known,
          const struct control_target *record)
{
  if (record->born_ms != known->born_ms)
    return record->born_ms > known->born_ms;
  if (known->state != record->state)
    return record->state > known->state;
  return record->sequence > known->sequence;
}

static struct edge_target *
add_target (struct edge_targets *targets, const struct control_target *record,
            uint64_t now_ms)
{
  struct edge_target *target = g_new0 (struct edge_target, 1);
  target->references = 1;
  control_target_copy (record, &target->record);
  set_build (targets, target, now_ms);
  set_cold (target, now_ms);
  place_load_init (&target->load);
  g_hash_table_replace (targets->by_name, g_strdup (record->name), target);
  return target;
}

/* Marks targets at the same address as replaced, except for the incarnation
   that started last. */
static void
resolve_address (struct edge_targets *targets, struct edge_target *target)
{
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init (&iterator, targets->by_name);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct edge_target *other = value;
      if (other == target || other->record.port != target->record.port
          || strcmp (other->record.address, target->record.address) != 0)
        continue;
      if (other->record.born_ms < target->record.born_ms)
        other->is_replaced = true;
      else if (other->record.born_ms > target->record.born_ms)
        target->is_replaced = true;
    }
}

/* Handles a report that a target is gone, from a member that did not know the
   target's incarnation. */
static bool
mark_gone (struct edge_target *target)
{
  if (!target || target->record.state == CONTROL_TARGET_GONE)
    return false;
  target->record.state = CONTROL_TARGET_GONE;
  return true;
}

bool
edge_targets_merge (struct edge_targets *targets, uint32_t source,
                    const struct control_target *record, uint64_t now_ms)
{
  uint32_t bit = UINT32_C (1) << source;
  struct edge_target *target
      = g_hash_table_lookup (targets->by_name, record->name);
  if (record->state == CONTROL_TARGET_GONE && !*record->service)
    return mark_gone (target);
  bool is_new = !target || target->record.born_ms < record->born_ms;
  if (is_new)
    target = add_target (targets, record, now_ms);
  else if (target->record.born_ms > record->born_ms)
    return false;
  bool did_accept_work = edge_target_accepts_work (target);
  bool was_live = target->live_sources != 0;
  if (!is_new && is_newer (&target->record, record))
    {
      xdr_free ((xdrproc_t)xdr_control_target, (char *)&target->record);
      control_target_copy (record, &target->record);
      set_build (targets, target, now_ms);
      set_cold (target, now_ms);
    }
  set_live_sources (target,
                    record->silent ? target->live_sources & ~bit
                                   : target->live_sources | bit,
                    now_ms);
  resolve_address (targets, target);
  return is_new || did_accept_work != edge_target_accepts_work (target)
         || was_live != (target->live_sources != 0);
}

void
edge_targets_forget_source (struct edge_targets *targets, uint32_t source,
                            uint64_t now_ms)
{
  GHashTableIter iterator;
  gpointer value;
  uint32_t bit = UINT32_C (1) << source;
  g_hash_table_iter_init (&iterator, targets->by_name);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct edge_target *target = value;
      set_live_sources (target, target->live_sources & ~bit, now_ms);
    }
}

struct edge_target *
edge_targets_find (const struct edge_targets *targets, const char *name)
{
  return g_hash_table_lookup (targets->by_name, name);
}

void
edge_targets_visit (struct edge_targets *targets, const char *service,
                    void (*visit) (void *context, struct edge_target *target),
                    void *context)
{
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init (&iterator, targets->by_name);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct edge_target *target = value;
      if (edge_target_accepts_work (target)
          && strcmp (target->record.service, service) == 0)
        visit (context, target);
    }
}

void
edge_targets_note_brittle (struct edge_targets *targets, const char *service,
                           uint64_t now_ms)
{
  targets->brittle_ms = now_ms;
  uint64_t *stated_ms = g_hash_table_lookup (targets->brittle, service);
  if (!stated_ms)
    {
      stated_ms = g_new (uint64_t, 1);
      g_hash_table_insert (targets->brittle, g_strdup (service), stated_ms);
    }
  *stated_ms = now_ms;
}

bool
edge_targets_has_brittle (const struct edge_targets *targets, uint64_t now_ms)
{
  return targets->brittle_ms != 0
         && now_ms < targets->brittle_ms + BRITTLE_MEMORY_MS;
}

bool
edge_targets_is_brittle (const struct edge_targets *targets,
                         const struct edge_target *target, uint64_t now_ms)
{
  if (!edge_pacing_is_stale (&target->pacing, now_ms))
    return target->pacing.is_brittle;
  const uint64_t *stated_ms
      = g_hash_table_lookup (targets->brittle, target->record.service);
  return target->pacing.is_brittle
         || (stated_ms && now_ms < *stated_ms + BRITTLE_MEMORY_MS);
}

void
edge_targets_visit_all (struct edge_targets *targets,
                        void (*visit) (void *context,
                                       struct edge_target *target),
                        void *context)
{
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init (&iterator, targets->by_name);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    if (edge_target_accepts_work (value))
      visit (context, value);
}

bool
edge_targets_has_build (struct edge_targets *targets, const char *service,
                        uint64_t build)
{
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init (&iterator, targets->by_name);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct edge_target *target = value;
      if (edge_target_accepts_work (target) && target->build == build
          && strcmp (target->record.service, service) == 0)
        return true;
    }
  return false;
}

/* Returns whether the target exists, as far as is known, or did a while ago.
 */
static bool
counts_as_present (const struct edge_target *target, uint64_t now_ms)
{
  return target->record.state != CONTROL_TARGET_GONE
         && (target->live_sources != 0
             || now_ms < target->silent_since_ms + BUILD_MEMORY_MS);
}

static bool
has_other_build (struct edge_targets *targets, const char *service,
                 uint64_t build, uint64_t now_ms)
{
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init (&iterator, targets->by_name);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct edge_target *target = value;
      if (target->build != build && counts_as_present (target, now_ms)
          && strcmp (target->record.service, service) == 0)
        return true;
    }
  return false;
}

uint64_t
edge_targets_only_build (struct edge_targets *targets, const char *service,
                         uint64_t now_ms)
{
  struct service_builds *known
      = g_hash_table_lookup (targets->builds, service);
  if (!known)
    return 0;
  if (now_ms >= known->checked_ms + BUILD_CHECK_MS)
    {
      known->checked_ms = now_ms;
      if (known->several_ms != 0
          && has_other_build (targets, service, known->build, now_ms))
        known->several_ms = now_ms;
    }
  if (known->several_ms != 0 && now_ms < known->several_ms + BUILD_MEMORY_MS)
    return 0;
  return known->build;
}

uint64_t
edge_targets_known_since_ms (const struct edge_targets *targets,
                             const char *service)
{
  const struct service_builds *known
      = g_hash_table_lookup (targets->builds, service);
  return known ? known->since_ms : 0;
}

bool
edge_targets_is_current (const struct edge_targets *targets,
                         const struct edge_target *target)
{
  return g_hash_table_lookup (targets->by_name, target->record.name) == target;
}

void
edge_target_doubt (struct edge_target *target, uint64_t now_ms)
{
  target->doubted_until_ms = now_ms + DOUBT_MS;
}

static void
count_target (void *context, struct edge_target *target)
{
  (void)target;
  (*(uint32_t *)context)++;
}

uint32_t
edge_targets_count (struct edge_targets *targets, const char *service)
{
  uint32_t count = 0;
  edge_targets_visit (targets, service, count_target, &count);
  return count;
}
