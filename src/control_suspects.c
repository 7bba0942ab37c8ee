#include "control_suspects.h"

#include <string.h>

static void
free_suspect (gpointer data)
{
  struct control_suspicion *suspect = data;
  for (uint32_t i = 0; i < suspect->account_count; i++)
    g_free (suspect->accounts[i].account);
  control_turns_clear (&suspect->turns);
  g_free (suspect);
}

GPtrArray *
control_suspects_create (void)
{
  return g_ptr_array_new_with_free_func (free_suspect);
}

struct control_suspicion *
control_suspects_find (const GPtrArray *suspects,
                       enum control_suspect_kind kind, uint64_t id,
                       guint *index)
{
  for (guint i = 0; i < suspects->len; i++)
    {
      struct control_suspicion *suspect = suspects->pdata[i];
      *index = i;
      if (suspect->id == id && suspect->kind == kind)
        return suspect;
    }
  return NULL;
}

bool
control_suspicion_is_blocked (const struct control_suspicion *suspect,
                              uint64_t wall_ms)
{
  for (uint32_t i = 0; i < suspect->account_count; i++)
    if (suspect->accounts[i].blocked_until_ms > wall_ms)
      return true;
  return suspect->all_blocked_until_ms > wall_ms
         || suspect->turns.blocked_until_ms > wall_ms;
}

bool
control_suspicion_has (const struct control_suspicion *suspect,
                       uint64_t target)
{
  for (uint32_t i = 0; i < suspect->account_count; i++)
    if (control_evidence_has (&suspect->accounts[i], target))
      return true;
  return control_turns_has (&suspect->turns, target);
}

static uint32_t
count_crashes (const struct control_suspicion *suspect)
{
  return suspect->kind == CONTROL_SUSPECT_REQUEST ? suspect->accounts[0].count
                                                  : suspect->turns.count;
}

/* Returns whether a loses its place before b, which is of the same kind. */
static bool
yields_to (const struct control_suspicion *a,
           const struct control_suspicion *b, uint64_t wall_ms)
{
  bool a_blocked = control_suspicion_is_blocked (a, wall_ms);
  bool b_blocked = control_suspicion_is_blocked (b, wall_ms);
  if (a_blocked != b_blocked)
    return b_blocked;
  if (count_crashes (a) != count_crashes (b))
    return count_crashes (a) < count_crashes (b);
  return a->last_crash_ms < b->last_crash_ms;
}

/* Makes room for one suspect if there are too many of its kind. */
static void
make_room (GPtrArray *suspects, enum control_suspect_kind kind,
           uint64_t wall_ms)
{
  const struct control_suspicion *first = NULL;
  guint first_index = 0;
  guint count = 0;
  for (guint i = 0; i < suspects->len; i++)
    {
      const struct control_suspicion *suspect = suspects->pdata[i];
      if (suspect->kind != kind)
        continue;
      count++;
      if (first && !yields_to (suspect, first, wall_ms))
        continue;
      first = suspect;
      first_index = i;
    }
  if (count >= CONTROL_SUSPECTS_MAX)
    g_ptr_array_remove_index (suspects, first_index);
}

struct control_suspicion *
control_suspects_ensure (GPtrArray *suspects, enum control_suspect_kind kind,
                         uint64_t id, uint64_t wall_ms)
{
  guint index;
  struct control_suspicion *suspect
      = control_suspects_find (suspects, kind, id, &index);
  if (suspect)
    return suspect;
  make_room (suspects, kind, wall_ms);
  suspect = g_new0 (struct control_suspicion, 1);
  suspect->kind = kind;
  suspect->id = id;
  g_ptr_array_add (suspects, suspect);
  return suspect;
}

struct control_evidence *
control_suspicion_ensure_account (struct control_suspicion *suspect,
                                  const char *account)
{
  struct control_evidence *evidence = &suspect->accounts[0];
  for (uint32_t i = 0; i < suspect->account_count; i++)
    {
      if (strcmp (suspect->accounts[i].account, account) == 0)
        return &suspect->accounts[i];
      if (suspect->accounts[i].count < evidence->count)
        evidence = &suspect->accounts[i];
    }
  if (suspect->account_count < CONTROL_SUSPECT_ACCOUNTS_MAX)
    evidence = &suspect->accounts[suspect->account_count++];
  g_free (evidence->account);
  *evidence = (struct control_evidence){ .account = g_strdup (account) };
  return evidence;
}
