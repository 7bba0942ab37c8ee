#include <string.h>

#include <glib.h>

#include "base_log.h"
#include "control_quarantine.h"
#include "control_quarantine_state.h"
#include "control_suspects.h"

/* Times for which a part is blocked before its first trial, and after each, in
   ms.  A sound one that is blocked with the one to blame is often wanted, so
   the first trial comes soon. */
static const uint64_t turn_block_ms[]
    = { 2000, 30000, 600000, UINT64_C (86400000) };

/* A part, and the time at which its crashes are judged. */
struct judged
{
  const struct control_quarantine *quarantine;
  const struct control_suspicion *suspect;
  uint64_t wall_ms;
};

/* Returns whether the other suspect, which is blocked, explains the target's
   crash: a part only if it has more crashes, as it may be the one that comes
   with the part that is to blame, and a part that crashed a target in a trial
   is explained by none. */
static bool
does_explain (const struct judged *judged,
              const struct control_suspicion *other, uint64_t target)
{
  return (other->kind == CONTROL_SUSPECT_REQUEST
          || (judged->suspect->turns.trials == 0
              && other->turns.count > judged->suspect->turns.count))
         && control_suspicion_has (other, target);
}

static bool
explains_turn (const void *context, uint64_t target)
{
  const struct judged *judged = context;
  const GPtrArray *suspects = judged->quarantine->suspects;
  for (guint i = 0; i < suspects->len; i++)
    {
      const struct control_suspicion *other = suspects->pdata[i];
      if (other != judged->suspect
          && (control_suspicion_is_blocked (other, judged->wall_ms)
              || other->turns.blocked_until_ms > 0)
          && does_explain (judged, other, target))
        return true;
    }
  return false;
}

static struct control_turns_verdict
judge_turns (const struct control_quarantine *quarantine,
             const struct control_suspicion *suspect, uint64_t wall_ms)
{
  const struct judged judged = { quarantine, suspect, wall_ms };
  return control_turns_judge (&suspect->turns, explains_turn, &judged);
}

static uint64_t
turns_block_ms (const struct control_turns *turns)
{
  return turn_block_ms[MIN (turns->trials, G_N_ELEMENTS (turn_block_ms) - 1)];
}

/* Ends the blocks of parts whose crashes another one explains by now, unless
   they crashed a target in a trial. */
static void
end_explained_blocks (struct control_quarantine *quarantine, uint64_t wall_ms)
{
  for (guint i = 0; i < quarantine->suspects->len; i++)
    {
      struct control_suspicion *suspect = quarantine->suspects->pdata[i];
      if (suspect->turns.blocked_until_ms == 0 || suspect->turns.trials > 0
          || judge_turns (quarantine, suspect, wall_ms).is_blocked)
        continue;
      suspect->turns.blocked_until_ms = 0;
      quarantine->version++;
      base_log (BASE_LOG_NOTICE, "part-unblocked part=%lx explained=1",
                (unsigned long)suspect->id);
    }
}

/* Counts a crash for a part whatever the account. */
void
control_quarantine_report_turn (struct control_quarantine *quarantine,
                                struct control_suspicion *suspect,
                                const struct control_quarantine_crash *report,
                                uint64_t wall_ms)
{
  struct control_turns *turns = &suspect->turns;
  if (turns->blocked_until_ms == 0)
    control_turns_expire (turns,
                          wall_ms - MIN (wall_ms, CONTROL_QUARANTINE_TURN_MS));
  if (!control_turns_add (turns, &report->crash, report->account))
    return;
  suspect->last_crash_ms
      = MAX (suspect->last_crash_ms, report->crash.crash_ms);
  quarantine->version += control_quarantine_is_listed (suspect);
  const struct control_turns_verdict verdict
      = judge_turns (quarantine, suspect, wall_ms);
  if (verdict.is_blocked)
    {
      turns->blocked_until_ms
          = MAX (turns->blocked_until_ms, wall_ms + turns_block_ms (turns));
      base_log (BASE_LOG_NOTICE,
                "part-blocked part=%lx account=%s target=%s crashes=%u "
                "trials=%u left_ms=%lu",
                (unsigned long)suspect->id,
                verdict.account ? verdict.account : "*", report->target_name,
                turns->count, turns->trials,
                (unsigned long)(turns->blocked_until_ms - wall_ms));
    }
  end_explained_blocks (quarantine, wall_ms);
}

bool
control_quarantine_grant_part (struct control_quarantine *quarantine,
                               uint64_t part, uint64_t wall_ms)
{
  guint index;
  struct control_suspicion *suspect = control_suspects_find (
      quarantine->suspects, CONTROL_SUSPECT_PART, part, &index);
  if (!suspect || suspect->turns.blocked_until_ms == 0)
    return true;
  struct control_turns *turns = &suspect->turns;
  if (turns->blocked_until_ms > wall_ms)
    return false;
  turns->trials++;
  turns->blocked_until_ms = wall_ms + turns_block_ms (turns);
  quarantine->version++;
  base_log (BASE_LOG_NOTICE, "part-tried part=%lx trials=%u",
            (unsigned long)part, turns->trials);
  return true;
}

void
control_quarantine_add_line (struct control_suspects *suspects,
                             const struct control_suspicion *suspect,
                             const char *account, bool for_all,
                             uint64_t blocked_until_ms, uint64_t wall_ms)
{
  struct control_suspect *line
      = &suspects->parts.parts_val[suspects->parts.parts_len++];
  line->is_request = suspect->kind == CONTROL_SUSPECT_REQUEST;
  line->part = suspect->id;
  line->account = strdup (account);
  line->for_all = for_all;
  line->left_ms = blocked_until_ms > wall_ms ? blocked_until_ms - wall_ms : 0;
  line->needs_trial = line->is_request && blocked_until_ms > 0;
}

void
control_quarantine_add_part (const struct control_quarantine *quarantine,
                             struct control_suspects *suspects,
                             const struct control_suspicion *suspect,
                             uint64_t wall_ms)
{
  uint64_t until_ms = suspect->turns.blocked_until_ms;
  uint64_t all_until_ms = suspect->all_blocked_until_ms;
  if (until_ms == 0)
    {
      control_quarantine_add_line (suspects, suspect, "", true, all_until_ms,
                                   wall_ms);
      return;
    }
  const struct control_turns_verdict verdict
      = judge_turns (quarantine, suspect, wall_ms);
  const char *account = verdict.account ? verdict.account : "";
  bool for_all = !verdict.account;
  uint64_t long_ms = MAX (until_ms, suspect->last_crash_ms
                                        + CONTROL_QUARANTINE_PART_BLOCK_MS);
  if (for_all)
    all_until_ms = MAX (all_until_ms, long_ms);
  control_quarantine_add_line (suspects, suspect, "", true, all_until_ms,
                               wall_ms);
  if (!for_all)
    control_quarantine_add_line (suspects, suspect, account, false, long_ms,
                                 wall_ms);
  control_quarantine_add_line (suspects, suspect, account, for_all, until_ms,
                               wall_ms);
  struct control_suspect *line
      = &suspects->parts.parts_val[suspects->parts.parts_len - 1];
  line->is_request = true;
  line->needs_trial = true;
}
