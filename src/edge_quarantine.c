#include "edge_quarantine.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "control_turns.h"
#include "edge_quarantine_state.h"

/* Bounds of the lists of crashes: those to be confirmed, and those to be
   reported. */
#define PENDING_MAX 1024
#define REPORTS_MAX 1024
#define SOUND_MAX 256
#define TRIALS_MAX 64
/* Number of requests lately lost at this router that are remembered. */
#define RECENT_MAX 64

void
edge_quarantine_free_crash (gpointer data)
{
  struct crash *crash = data;
  g_free (crash->target);
  g_free (crash->account);
  g_free (crash);
}

static void
free_request (gpointer data)
{
  struct suspected_request *request = data;
  g_free (request->account);
  g_free (request);
}

static void
free_suspects (gpointer data)
{
  g_ptr_array_unref (data);
}

struct edge_quarantine *
edge_quarantine_create (void)
{
  struct edge_quarantine *quarantine = g_new0 (struct edge_quarantine, 1);
  quarantine->pending
      = g_ptr_array_new_with_free_func (edge_quarantine_free_crash);
  quarantine->reports
      = g_ptr_array_new_with_free_func (edge_quarantine_free_crash);
  quarantine->sound = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  quarantine->sound_requests = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  quarantine->recent = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  quarantine->asked = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  quarantine->trials = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  quarantine->suspects = g_hash_table_new_full (g_int64_hash, g_int64_equal,
                                                g_free, free_suspects);
  quarantine->requests = g_hash_table_new_full (g_int64_hash, g_int64_equal,
                                                g_free, free_request);
  quarantine->served = edge_served_create ();
  return quarantine;
}

void
edge_quarantine_destroy (struct edge_quarantine *quarantine)
{
  if (!quarantine)
    return;
  g_ptr_array_unref (quarantine->pending);
  g_ptr_array_unref (quarantine->reports);
  g_array_unref (quarantine->sound);
  g_array_unref (quarantine->sound_requests);
  g_array_unref (quarantine->recent);
  g_array_unref (quarantine->asked);
  g_array_unref (quarantine->trials);
  g_hash_table_unref (quarantine->suspects);
  g_hash_table_unref (quarantine->requests);
  edge_served_destroy (quarantine->served);
  g_free (quarantine);
}

/* Number of parts that requests may share.  A prompt with more parts than are
   considered has its last part beyond them. */
static uint32_t
shared_parts (const struct place_request *placement)
{
  uint32_t count = placement->part_count;
  return count == PLACE_PARTS_MAX || count == 0 ? count : count - 1;
}

static void
add_pending (struct edge_quarantine *quarantine, const struct crash *from)
{
  struct crash *crash = g_memdup2 (from, sizeof *from);
  crash->target = g_strdup (from->target);
  crash->account = g_strdup (from->account);
  if (quarantine->pending->len == PENDING_MAX)
    g_ptr_array_remove_index (quarantine->pending, 0);
  g_ptr_array_add (quarantine->pending, crash);
}

void
edge_quarantine_note_lost (struct edge_quarantine *quarantine,
                           const char *name, const char *account,
                           const struct place_request *placement,
                           uint64_t now_ms)
{
  struct crash crash = { .target = (char *)(uintptr_t)name,
                         .account = (char *)(uintptr_t)account,
                         .lost_ms = now_ms };
  for (uint32_t i = 0; i < shared_parts (placement); i++)
    {
      crash.part = placement->parts[i].id;
      add_pending (quarantine, &crash);
    }
}

static bool
is_pending (const struct edge_quarantine *quarantine,
            const struct crash *crash)
{
  for (guint i = 0; i < quarantine->pending->len; i++)
    {
      const struct crash *other = quarantine->pending->pdata[i];
      if (other->part == crash->part && !other->is_request
          && strcmp (other->target, crash->target) == 0
          && strcmp (other->account, crash->account) == 0)
        return true;
    }
  return false;
}

void
edge_quarantine_note_open (struct edge_quarantine *quarantine,
                           const char *name, const char *account,
                           const struct place_request *placement,
                           uint64_t now_ms)
{
  char marked[WIRE_NAME_BYTES + 1];
  struct crash crash = { .target = (char *)(uintptr_t)name,
                         .account = marked,
                         .lost_ms = now_ms };
  g_snprintf (marked, sizeof marked, "%c%s", CONTROL_TURNS_MARK, account);
  for (uint32_t i = 0; i < placement->part_count; i++)
    {
      crash.part = placement->parts[i].id;
      if (!edge_served_is_recent (quarantine->served, crash.part, now_ms)
          && !is_pending (quarantine, &crash))
        add_pending (quarantine, &crash);
    }
}

void
edge_quarantine_note_lost_request (struct edge_quarantine *quarantine,
                                   const struct edge_quarantine_loss *loss,
                                   uint64_t now_ms)
{
  const struct crash crash = { .target = (char *)(uintptr_t)loss->target,
                               .account = (char *)(uintptr_t)loss->account,
                               .is_request = true,
                               .part = loss->digest,
                               .sent_ms = loss->sent_ms,
                               .lost_ms = now_ms };
  add_pending (quarantine, &crash);
  if (quarantine->recent->len == RECENT_MAX)
    g_array_remove_index (quarantine->recent, 0);
  g_array_append_val (quarantine->recent, loss->digest);
}

/* Returns the index of the id in the array, or its length. */
static guint
find_id (const GArray *ids, uint64_t id)
{
  guint i = 0;
  while (i < ids->len && g_array_index (ids, uint64_t, i) != id)
    i++;
  return i;
}

/* Forgets one loss of the request.  Returns whether there was one. */
static bool
forget_recent (struct edge_quarantine *quarantine, uint64_t digest)
{
  guint i = find_id (quarantine->recent, digest);
  if (i == quarantine->recent->len)
    return false;
  g_array_remove_index (quarantine->recent, i);
  return true;
}

/* Removes the target's crashes from the pending ones; reports them or frees
   them. */
static void
resolve (struct edge_quarantine *quarantine, const char *name, bool is_crash)
{
  for (guint i = quarantine->pending->len; i-- > 0;)
    {
      struct crash *crash = quarantine->pending->pdata[i];
      if (strcmp (crash->target, name) != 0)
        continue;
      g_ptr_array_steal_index (quarantine->pending, i);
      if (!is_crash && crash->is_request)
        forget_recent (quarantine, crash->part);
      if (is_crash && quarantine->reports->len < REPORTS_MAX)
        g_ptr_array_add (quarantine->reports, crash);
      else
        edge_quarantine_free_crash (crash);
    }
}

void
edge_quarantine_confirm (struct edge_quarantine *quarantine, const char *name)
{
  resolve (quarantine, name, true);
}

void
edge_quarantine_dismiss (struct edge_quarantine *quarantine, const char *name)
{
  resolve (quarantine, name, false);
}

static void
add_id (GArray *ids, uint64_t id, guint most)
{
  if (ids->len < most && find_id (ids, id) == ids->len)
    g_array_append_val (ids, id);
}

/* Drops crashes of a part or request that turned out to be sound. */
static void
forget_part (GPtrArray *crashes, uint64_t part, bool is_request)
{
  for (guint i = crashes->len; i-- > 0;)
    {
      const struct crash *crash = crashes->pdata[i];
      if (crash->part == part && crash->is_request == is_request)
        g_ptr_array_remove_index (crashes, i);
    }
}

void
edge_quarantine_note_sound (struct edge_quarantine *quarantine,
                            const struct place_request *placement)
{
  for (uint32_t i = 0; i < placement->part_count; i++)
    {
      uint64_t part = placement->parts[i].id;
      forget_part (quarantine->pending, part, false);
      forget_part (quarantine->reports, part, false);
      if (g_hash_table_contains (quarantine->suspects, &part))
        add_id (quarantine->sound, part, SOUND_MAX);
    }
}

void
edge_quarantine_note_served (struct edge_quarantine *quarantine,
                             const struct place_request *placement,
                             uint64_t now_ms)
{
  for (uint32_t i = 0; i < shared_parts (placement); i++)
    edge_served_note (quarantine->served, placement->parts[i].id, now_ms);
}

void
edge_quarantine_note_sound_request (struct edge_quarantine *quarantine,
                                    uint64_t digest)
{
  forget_part (quarantine->pending, digest, true);
  forget_part (quarantine->reports, digest, true);
  while (forget_recent (quarantine, digest))
    continue;
  if (g_hash_table_contains (quarantine->requests, &digest))
    add_id (quarantine->sound_requests, digest, SOUND_MAX);
}

bool
edge_quarantine_has_no_requests (const struct edge_quarantine *quarantine)
{
  return quarantine->recent->len == 0
         && g_hash_table_size (quarantine->requests) == 0;
}

bool
edge_quarantine_suspects_request (const struct edge_quarantine *quarantine,
                                  uint64_t digest)
{
  return find_id (quarantine->recent, digest) < quarantine->recent->len
         || g_hash_table_contains (quarantine->requests, &digest);
}

enum edge_quarantine_verdict
edge_quarantine_check_request (const struct edge_quarantine *quarantine,
                               uint64_t digest, uint64_t now_ms,
                               uint64_t *left_ms)
{
  const struct suspected_request *request
      = g_hash_table_lookup (quarantine->requests, &digest);
  *left_ms = 0;
  if (!request || !request->needs_trial)
    return EDGE_QUARANTINE_FREE;
  if (now_ms >= request->blocked_until_ms)
    return EDGE_QUARANTINE_NEEDS_TRIAL;
  *left_ms = request->blocked_until_ms - now_ms;
  return EDGE_QUARANTINE_BLOCKED;
}

bool
edge_quarantine_has_trial (const struct edge_quarantine *quarantine,
                           uint64_t digest)
{
  return find_id (quarantine->trials, digest) < quarantine->trials->len;
}

void
edge_quarantine_ask_trial (struct edge_quarantine *quarantine, uint64_t digest)
{
  add_id (quarantine->asked, digest, TRIALS_MAX);
}

bool
edge_quarantine_take_trial (struct edge_quarantine *quarantine,
                            uint64_t digest)
{
  guint index = find_id (quarantine->trials, digest);
  if (index == quarantine->trials->len)
    return false;
  g_array_remove_index_fast (quarantine->trials, index);
  return true;
}

void
edge_quarantine_apply_trials (struct edge_quarantine *quarantine,
                              const struct control_router_result *result)
{
  g_array_set_size (quarantine->trials, 0);
  for (u_int i = 0; i < result->trials.trials_len; i++)
    add_id (quarantine->trials, result->trials.trials_val[i], TRIALS_MAX);
}

static uint64_t
blocked_until_ms (const GPtrArray *suspects, const char *account)
{
  uint64_t until_ms = 0;
  for (guint i = 0; i < suspects->len; i++)
    {
      const struct suspect *suspect = suspects->pdata[i];
      if (suspect->for_all || strcmp (suspect->account, account) == 0)
        until_ms = MAX (until_ms, suspect->blocked_until_ms);
    }
  return until_ms;
}

bool
edge_quarantine_is_blocked (const struct edge_quarantine *quarantine,
                            const char *account,
                            const struct place_request *placement,
                            uint64_t now_ms, uint64_t *left_ms)
{
  uint64_t until_ms = 0;
  for (uint32_t i = 0; i < placement->part_count; i++)
    {
      const GPtrArray *suspects = g_hash_table_lookup (
          quarantine->suspects, &placement->parts[i].id);
      if (suspects)
        until_ms = MAX (until_ms, blocked_until_ms (suspects, account));
    }
  *left_ms = until_ms > now_ms ? until_ms - now_ms : 0;
  return *left_ms > 0;
}

/* Returns what control says of trials of the part for the account, or NULL. */
static const struct suspected_request *
find_trial_line (const struct edge_quarantine *quarantine, const char *account,
                 uint64_t part)
{
  const struct suspected_request *line
      = g_hash_table_lookup (quarantine->requests, &part);
  return line && line->needs_trial
                 && (!line->account || strcmp (line->account, account) == 0)
             ? line
             : NULL;
}

enum edge_quarantine_verdict
edge_quarantine_check_parts (const struct edge_quarantine *quarantine,
                             const char *account,
                             const struct place_request *placement,
                             uint64_t now_ms, uint64_t *left_ms)
{
  uint64_t until_ms = 0;
  bool needs_trial = false;
  for (uint32_t i = 0; i < placement->part_count; i++)
    {
      const uint64_t part = placement->parts[i].id;
      const struct suspected_request *trial
          = find_trial_line (quarantine, account, part);
      const GPtrArray *suspects
          = g_hash_table_lookup (quarantine->suspects, &part);
      needs_trial |= trial != NULL;
      if (trial)
        until_ms = MAX (until_ms, trial->blocked_until_ms);
      else if (suspects)
        until_ms = MAX (until_ms, blocked_until_ms (suspects, account));
    }
  *left_ms = until_ms > now_ms ? until_ms - now_ms : 0;
  if (*left_ms > 0)
    return EDGE_QUARANTINE_BLOCKED;
  return needs_trial ? EDGE_QUARANTINE_NEEDS_TRIAL : EDGE_QUARANTINE_FREE;
}

uint32_t
edge_quarantine_find_trials (const struct edge_quarantine *quarantine,
                             const char *account,
                             const struct place_request *placement,
                             uint64_t now_ms, uint64_t parts[PLACE_PARTS_MAX])
{
  uint32_t count = 0;
  if (g_hash_table_size (quarantine->requests) == 0)
    return 0;
  for (uint32_t i = 0; i < placement->part_count; i++)
    {
      const uint64_t part = placement->parts[i].id;
      const struct suspected_request *line
          = find_trial_line (quarantine, account, part);
      if (line && now_ms >= line->blocked_until_ms)
        parts[count++] = part;
    }
  return count;
}

bool
edge_quarantine_needs_call (const struct edge_quarantine *quarantine)
{
  return quarantine->reports->len > 0 || quarantine->sound->len > 0
         || quarantine->sound_requests->len > 0 || quarantine->asked->len > 0;
}

uint64_t
edge_quarantine_version (const struct edge_quarantine *quarantine)
{
  return quarantine->version;
}
