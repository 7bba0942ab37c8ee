#include "control_targets.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

/* Time without an announcement after which a target is removed, in
   milliseconds.  Gone and silent targets are kept that long, so that a late
   announcement of that incarnation is recognized. */
#define RETENTION_MS 120000u
/* Changes of the time for which a target stays cold that routers are told of:
   when it ends later, or earlier, than they know, by more than this, in
   milliseconds. */
#define COLD_LATER_MS 200u
#define COLD_EARLIER_MS 500u

/* A target with its last change and announcement. */
struct entry
{
  struct control_target target;
  /* Change number of the last change. */
  uint64_t change;
  /* Time of the last announcement, or of the call that marked it as gone, in
     milliseconds; 0 when only other members know the target. */
  uint64_t announced_ms;
  /* Time at which the entry is removed. */
  uint64_t expires_ms;
  /* Other members that receive the target's announcements, one bit each. */
  uint32_t sources;
  /* Routers are told of the target. */
  bool is_reported;
};

struct control_targets
{
  uint32_t timeout_ms;
  /* Time of the latest call, in milliseconds. */
  uint64_t now_ms;
  /* Number of the newest change; changes are numbered from 1. */
  uint64_t change;
  /* struct entry by name. */
  GHashTable *entries;
};

void
control_target_copy (const struct control_target *from,
                     struct control_target *to)
{
  *to = *from;
  to->name = strdup (from->name);
  to->service = strdup (from->service);
  to->address = strdup (from->address);
  to->availability_zone = strdup (from->availability_zone);
  to->software_version
      = strdup (from->software_version ? from->software_version : "");
}

static void
free_entry (gpointer data)
{
  struct entry *entry = data;
  xdr_free ((xdrproc_t)xdr_control_target, (char *)&entry->target);
  g_free (entry);
}

struct control_targets *
control_targets_create (uint32_t timeout_ms)
{
  struct control_targets *targets = g_new0 (struct control_targets, 1);
  targets->timeout_ms = timeout_ms;
  targets->entries
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_entry);
  return targets;
}

void
control_targets_destroy (struct control_targets *targets)
{
  if (!targets)
    return;
  g_hash_table_unref (targets->entries);
  g_free (targets);
}

/* Returns whether the announcement is older than the known record. */
static bool
is_outdated (const struct entry *entry, const struct control_target *target)
{
  const struct control_target *known = &entry->target;
  if (target->born_ms != known->born_ms)
    return target->born_ms < known->born_ms;
  return target->sequence <= known->sequence
         || known->state == CONTROL_TARGET_GONE;
}

/* Time for which the target stays cold by its last announcement, in
   milliseconds. */
static u_int
cold_left_ms (const struct entry *entry, uint64_t now_ms)
{
  u_int left_ms = entry->target.cold_left_ms;
  uint64_t age_ms = entry->announced_ms > 0 ? now_ms - entry->announced_ms : 0;
  return left_ms > age_ms ? left_ms - (u_int)age_ms : 0;
}

/* Returns whether the target stays cold for as long as routers know. */
static bool
is_as_cold (const struct entry *entry, const struct control_target *target,
            uint64_t now_ms)
{
  u_int known_ms = cold_left_ms (entry, now_ms);
  return target->cold_left_ms <= known_ms + COLD_LATER_MS
         && known_ms <= target->cold_left_ms + COLD_EARLIER_MS;
}

/* Returns whether the records are equal in the fields that routers use. */
static bool
is_same_to_routers (const struct control_target *a,
                    const struct control_target *b)
{
  return a->born_ms == b->born_ms && a->state == b->state
         && a->silent == b->silent && a->slots == b->slots
         && a->port == b->port && strcmp (a->address, b->address) == 0
         && strcmp (a->service, b->service) == 0
         && strcmp (a->availability_zone, b->availability_zone) == 0
         && strcmp (a->software_version, b->software_version) == 0;
}

/* Returns whether the entry is a sign-off of a target that was not known. */
static bool
is_nameless (const struct entry *entry)
{
  return entry->target.state == CONTROL_TARGET_GONE && !*entry->target.service;
}

static void
note_change (struct control_targets *targets, struct entry *entry)
{
  entry->is_reported = true;
  entry->change = ++targets->change;
}

static void
mark_entry_gone (struct control_targets *targets, struct entry *entry,
                 uint64_t kept_ms)
{
  entry->target.state = CONTROL_TARGET_GONE;
  entry->expires_ms = targets->now_ms + kept_ms;
  note_change (targets, entry);
}

bool
control_targets_announce (struct control_targets *targets,
                          const struct control_target *target, uint64_t now_ms)
{
  struct control_target copy;
  struct entry *entry = g_hash_table_lookup (targets->entries, target->name);
  targets->now_ms = now_ms;
  if (entry && is_outdated (entry, target))
    return false;
  control_target_copy (target, &copy);
  copy.silent = false;
  /* An incarnation that announced that it is leaving does not become available
     again. */
  if (entry && entry->target.born_ms == target->born_ms
      && entry->target.state == CONTROL_TARGET_LEAVING)
    copy.state = CONTROL_TARGET_LEAVING;
  bool changed = !entry || !entry->is_reported
                 || !is_same_to_routers (&entry->target, &copy)
                 || !is_as_cold (entry, &copy, now_ms);
  if (!entry)
    entry = g_new0 (struct entry, 1);
  else
    {
      if (entry->target.born_ms != target->born_ms)
        entry->sources = 0;
      g_hash_table_steal (targets->entries, entry->target.name);
      xdr_free ((xdrproc_t)xdr_control_target, (char *)&entry->target);
    }
  entry->target = copy;
  entry->announced_ms = now_ms;
  entry->expires_ms = now_ms + RETENTION_MS;
  if (changed)
    note_change (targets, entry);
  g_hash_table_insert (targets->entries, entry->target.name, entry);
  return true;
}

/* Adds a target of which nothing but the name is known. */
static struct entry *
add_nameless (struct control_targets *targets, const char *name)
{
  struct entry *entry = g_new0 (struct entry, 1);
  entry->target.name = strdup (name);
  entry->target.service = strdup ("");
  entry->target.address = strdup ("");
  entry->target.availability_zone = strdup ("");
  entry->target.software_version = strdup ("");
  g_hash_table_insert (targets->entries, entry->target.name, entry);
  return entry;
}

void
control_targets_mark_gone (struct control_targets *targets, const char *name,
                           uint64_t now_ms)
{
  struct entry *entry = g_hash_table_lookup (targets->entries, name);
  targets->now_ms = now_ms;
  /* One record that can't be encoded would keep all others from routers. */
  if (strlen (name) > WIRE_NAME_BYTES)
    return;
  /* The target may be unknown to this member, but known to other members and
     routers. */
  if (!entry)
    entry = add_nameless (targets, name);
  else if (entry->target.state == CONTROL_TARGET_GONE)
    return;
  entry->announced_ms = now_ms;
  mark_entry_gone (targets, entry, RETENTION_MS);
}

uint64_t
control_targets_departure (const struct control_targets *targets,
                           const char *name)
{
  const struct entry *entry = g_hash_table_lookup (targets->entries, name);
  return entry && entry->target.state != CONTROL_TARGET_READY ? entry->change
                                                              : 0;
}

/* Time for which a departure that another member reports is kept: as long as
   there.  Builds that don't report it leave another value, or 0. */
static uint64_t
kept_ms (const struct control_target *record)
{
  return record->cold_left_ms > 0 ? MIN (record->cold_left_ms, RETENTION_MS)
                                  : RETENTION_MS;
}

static void
set_sources (struct entry *entry, uint32_t sources, uint64_t now_ms)
{
  entry->sources = sources;
  if (entry->announced_ms != 0 || entry->target.state == CONTROL_TARGET_GONE)
    return;
  if (sources != 0)
    entry->expires_ms = UINT64_MAX;
  else if (entry->expires_ms == UINT64_MAX)
    entry->expires_ms = now_ms + RETENTION_MS;
}

/* Replaces the entry, or NULL, by what another member knows of a later
   incarnation.  Returns the new entry. */
static struct entry *
replace_learned (struct control_targets *targets,
                 const struct control_target *record)
{
  struct entry *entry = g_new0 (struct entry, 1);
  g_hash_table_remove (targets->entries, record->name);
  control_target_copy (record, &entry->target);
  entry->target.silent = true;
  entry->expires_ms = targets->now_ms + RETENTION_MS;
  g_hash_table_insert (targets->entries, entry->target.name, entry);
  if (record->state == CONTROL_TARGET_GONE)
    mark_entry_gone (targets, entry, kept_ms (record));
  else if (record->state != CONTROL_TARGET_READY)
    note_change (targets, entry);
  return entry;
}

/* Returns whether a run began after a sign-off that is kept for @p left_ms
   more. */
static bool
is_later_run (const struct control_target *run, uint64_t left_ms,
              uint64_t wall_ms)
{
  uint64_t age_ms = RETENTION_MS - MIN (left_ms, RETENTION_MS);
  return wall_ms < run->born_ms || wall_ms - run->born_ms < age_ms;
}

/* Learns of a target that signed off before it was known here.  A run that
   began after that is another one. */
static struct entry *
resolve_sign_off (struct control_targets *targets, const struct entry *entry,
                  const struct control_target *record, uint64_t wall_ms)
{
  uint64_t left_ms = entry->expires_ms > targets->now_ms
                         ? entry->expires_ms - targets->now_ms
                         : 0;
  struct entry *known = replace_learned (targets, record);
  if (!is_later_run (record, left_ms, wall_ms)
      && known->target.state != CONTROL_TARGET_GONE)
    mark_entry_gone (targets, known, left_ms);
  return known;
}

/* Merges a sign-off that another member was told of without knowing the
   target.  Builds that don't report how long they keep it can't be
   followed. */
static void
learn_sign_off (struct control_targets *targets, struct entry *entry,
                const struct control_target *record, uint64_t wall_ms)
{
  uint64_t left_ms = record->cold_left_ms;
  if (left_ms == 0 || left_ms > RETENTION_MS)
    return;
  if (!entry)
    {
      entry = add_nameless (targets, record->name);
      mark_entry_gone (targets, entry, left_ms);
    }
  else if (entry->target.state != CONTROL_TARGET_GONE
           && !is_later_run (&entry->target, left_ms, wall_ms))
    mark_entry_gone (targets, entry, left_ms);
}

bool
control_targets_learn (struct control_targets *targets, uint32_t source,
                       const struct control_target *record, uint64_t now_ms,
                       uint64_t wall_ms)
{
  uint64_t change = targets->change;
  uint32_t bit = UINT32_C (1) << source;
  struct entry *entry = g_hash_table_lookup (targets->entries, record->name);
  targets->now_ms = now_ms;
  if (!*record->service)
    {
      if (record->state == CONTROL_TARGET_GONE)
        learn_sign_off (targets, entry, record, wall_ms);
      return targets->change != change;
    }
  if (entry && is_nameless (entry))
    entry = resolve_sign_off (targets, entry, record, wall_ms);
  else if (!entry || record->born_ms > entry->target.born_ms)
    entry = replace_learned (targets, record);
  else if (record->born_ms < entry->target.born_ms)
    return false;
  else if (record->state > entry->target.state)
    {
      entry->target.state = record->state;
      if (record->state == CONTROL_TARGET_GONE)
        mark_entry_gone (targets, entry, kept_ms (record));
      else
        note_change (targets, entry);
    }
  set_sources (entry,
               record->silent || record->state == CONTROL_TARGET_GONE
                   ? entry->sources & ~bit
                   : entry->sources | bit,
               now_ms);
  return targets->change != change;
}

void
control_targets_forget_source (struct control_targets *targets,
                               uint32_t source, uint64_t now_ms)
{
  GHashTableIter iterator;
  gpointer value;
  uint32_t bit = UINT32_C (1) << source;
  g_hash_table_iter_init (&iterator, targets->entries);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct entry *entry = value;
      set_sources (entry, entry->sources & ~bit, now_ms);
    }
}

/* Handles the end of an entry's time.  Returns whether it is to be removed:
   other members may still hear the target. */
static bool
is_over (struct entry *entry)
{
  if (entry->sources == 0 || entry->target.state == CONTROL_TARGET_GONE)
    return true;
  entry->announced_ms = 0;
  entry->expires_ms = UINT64_MAX;
  entry->is_reported = entry->target.state != CONTROL_TARGET_READY;
  return false;
}

void
control_targets_expire (struct control_targets *targets, uint64_t now_ms)
{
  GHashTableIter iterator;
  gpointer value;
  targets->now_ms = now_ms;
  g_hash_table_iter_init (&iterator, targets->entries);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct entry *entry = value;
      if (now_ms >= entry->expires_ms)
        {
          if (is_over (entry))
            g_hash_table_iter_remove (&iterator);
        }
      else if (!entry->target.silent
               && entry->target.state != CONTROL_TARGET_GONE
               && now_ms >= entry->announced_ms + targets->timeout_ms)
        {
          entry->target.silent = true;
          entry->change = ++targets->change;
        }
    }
}

uint64_t
control_targets_newest_change (const struct control_targets *targets)
{
  return targets->change;
}

uint32_t
control_targets_changed_since (const struct control_targets *targets,
                               uint64_t change, struct control_target **list)
{
  GHashTableIter iterator;
  gpointer value;
  uint32_t count = 0;
  *list = calloc (g_hash_table_size (targets->entries) + 1, sizeof **list);
  g_hash_table_iter_init (&iterator, targets->entries);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct entry *entry = value;
      if (!entry->is_reported || entry->change <= change
          || count == CONTROL_TARGETS_MAX)
        continue;
      struct control_target *copy = &(*list)[count++];
      control_target_copy (&entry->target, copy);
      if (copy->state == CONTROL_TARGET_GONE)
        copy->cold_left_ms = (u_int)(entry->expires_ms > targets->now_ms
                                         ? entry->expires_ms - targets->now_ms
                                         : 1);
      else
        copy->cold_left_ms = cold_left_ms (entry, targets->now_ms);
    }
  return count;
}

void
control_targets_save (const struct control_targets *targets, uint64_t wall_ms,
                      struct control_targets_file *file)
{
  GHashTableIter iterator;
  gpointer value;
  u_int count = 0;
  guint size = g_hash_table_size (targets->entries);
  struct control_target_entry *list = calloc (size + 1, sizeof *list);
  g_hash_table_iter_init (&iterator, targets->entries);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct entry *entry = value;
      if (!entry->is_reported || entry->expires_ms <= targets->now_ms
          || count == CONTROL_TARGETS_MAX)
        continue;
      control_target_copy (&entry->target, &list[count].target);
      list[count++].left_ms
          = MIN (entry->expires_ms - targets->now_ms, RETENTION_MS);
    }
  file->wall_ms = wall_ms;
  file->entries.entries_len = count;
  file->entries.entries_val = list;
}

void
control_targets_restore (struct control_targets *targets,
                         const struct control_targets_file *file,
                         uint64_t now_ms, uint64_t wall_ms)
{
  uint64_t away_ms = wall_ms > file->wall_ms ? wall_ms - file->wall_ms : 0;
  targets->now_ms = now_ms;
  for (u_int i = 0; i < file->entries.entries_len; i++)
    {
      const struct control_target_entry *saved = &file->entries.entries_val[i];
      uint64_t left_ms = MIN (saved->left_ms, RETENTION_MS);
      if (left_ms <= away_ms
          || g_hash_table_contains (targets->entries, saved->target.name))
        continue;
      struct entry *entry = replace_learned (targets, &saved->target);
      entry->expires_ms = now_ms + left_ms - away_ms;
      note_change (targets, entry);
    }
}
