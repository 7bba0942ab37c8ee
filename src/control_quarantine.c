#include "control_quarantine.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include <xxhash.h>

#include "base_log.h"
#include "control_quarantine_state.h"
#include "control_suspects.h"

/* Times for which a crash counts, in ms.  Responses are completed on a part
   all the time, but not on a request that comes once an hour. */
#define PART_CRASH_LIFETIME_MS 60000
#define REQUEST_CRASH_LIFETIME_MS UINT64_C (86400000)
/* Accounts for which a part is blocked that block it for all. */
#define BLOCKED_ACCOUNTS 2
/* Crashes from which on routers are told of a request, or of a part that
   crashed targets at any moment, so that they report whether it is sound. With
   a crash of any target many requests are lost once, and each change of the
   list goes to all routers. */
#define LISTED_CRASHES 2

/* Times for which a request is blocked before its first trial, and after each,
   in ms: a sound one is free again soon, and one that crashes targets gets two
   trials in a day. */
static const uint64_t request_block_ms[]
    = { 10000, 600000, UINT64_C (86400000) };

struct control_quarantine *
control_quarantine_create (void)
{
  struct control_quarantine *quarantine
      = g_new0 (struct control_quarantine, 1);
  quarantine->suspects = control_suspects_create ();
  return quarantine;
}

void
control_quarantine_destroy (struct control_quarantine *quarantine)
{
  if (!quarantine)
    return;
  g_ptr_array_unref (quarantine->suspects);
  g_free (quarantine);
}

static uint64_t
block_ms (const struct control_suspicion *suspect,
          const struct control_evidence *evidence)
{
  uint32_t last = G_N_ELEMENTS (request_block_ms) - 1;
  return suspect->kind == CONTROL_SUSPECT_PART
             ? CONTROL_QUARANTINE_PART_BLOCK_MS
             : request_block_ms[MIN (evidence->trials, last)];
}

static bool
has_listed_account (const struct control_suspicion *suspect)
{
  uint32_t crashes
      = suspect->kind == CONTROL_SUSPECT_PART ? 1 : LISTED_CRASHES;
  for (uint32_t i = 0; i < suspect->account_count; i++)
    if (suspect->accounts[i].count >= crashes
        || suspect->accounts[i].blocked_until_ms > 0)
      return true;
  return false;
}

bool
control_quarantine_is_listed (const struct control_suspicion *suspect)
{
  return suspect->turns.count >= LISTED_CRASHES
         || suspect->turns.blocked_until_ms > 0
         || suspect->all_blocked_until_ms > 0 || has_listed_account (suspect);
}

/* Drops crashes that no longer count.  After a block all but one of those that
   led to it go on to count. */
static void
expire_crashes (const struct control_suspicion *suspect,
                struct control_evidence *evidence, uint64_t wall_ms)
{
  uint64_t lifetime_ms = suspect->kind == CONTROL_SUSPECT_PART
                             ? PART_CRASH_LIFETIME_MS
                             : REQUEST_CRASH_LIFETIME_MS;
  if (evidence->blocked_until_ms > wall_ms)
    return;
  if (evidence->blocked_until_ms > 0)
    {
      while (evidence->count >= CONTROL_QUARANTINE_CRASHES)
        control_evidence_drop (evidence, 0);
      return;
    }
  while (evidence->count > 0
         && evidence->crashes[0].crash_ms + lifetime_ms < wall_ms)
    control_evidence_drop (evidence, 0);
}

/* Returns whether something blocked explains the target's crash. */
static bool
is_explained (const struct control_quarantine *quarantine, uint64_t target,
              uint64_t wall_ms)
{
  for (guint i = 0; i < quarantine->suspects->len; i++)
    {
      const struct control_suspicion *suspect = quarantine->suspects->pdata[i];
      if (control_suspicion_is_blocked (suspect, wall_ms)
          && control_suspicion_has (suspect, target))
        return true;
    }
  return false;
}

/* The crashes under a suspect that is now blocked are explained by it: other
   parts that were present are not to blame for them.  Other requests stay
   suspected, as two that crash targets may come together, and a sound one is
   cleared by its next response. */
static void
explain_crash (struct control_quarantine *quarantine,
               const struct control_suspicion *blocked, uint64_t target)
{
  for (guint i = 0; i < quarantine->suspects->len; i++)
    {
      struct control_suspicion *suspect = quarantine->suspects->pdata[i];
      if (suspect == blocked || suspect->kind != CONTROL_SUSPECT_PART)
        continue;
      for (uint32_t k = 0; k < suspect->account_count; k++)
        control_evidence_forget (&suspect->accounts[k], target,
                                 CONTROL_QUARANTINE_CRASHES);
    }
}

static void
block_for_all (struct control_suspicion *suspect, uint64_t wall_ms)
{
  uint32_t accounts = 0;
  for (uint32_t i = 0; i < suspect->account_count; i++)
    accounts += suspect->accounts[i].blocked_until_ms > wall_ms;
  if (accounts < BLOCKED_ACCOUNTS)
    return;
  suspect->all_blocked_until_ms = wall_ms + CONTROL_QUARANTINE_PART_BLOCK_MS;
  base_log (BASE_LOG_NOTICE, "part-blocked part=%lx account=* accounts=%u",
            (unsigned long)suspect->id, accounts);
}

static void
block (struct control_quarantine *quarantine,
       struct control_suspicion *suspect, struct control_evidence *evidence,
       const struct control_quarantine_crash *report, uint64_t wall_ms)
{
  uint64_t until_ms = wall_ms + block_ms (suspect, evidence);
  evidence->blocked_until_ms = MAX (evidence->blocked_until_ms, until_ms);
  for (uint32_t c = 0; c < evidence->count; c++)
    explain_crash (quarantine, suspect, evidence->crashes[c].target);
  if (suspect->kind == CONTROL_SUSPECT_PART)
    base_log (BASE_LOG_NOTICE, "part-blocked part=%lx account=%s target=%s",
              (unsigned long)suspect->id, report->account,
              report->target_name);
  else
    base_log (BASE_LOG_NOTICE,
              "request-blocked request=%lx account=%s target=%s trials=%u "
              "left_ms=%lu",
              (unsigned long)suspect->id, report->account, report->target_name,
              evidence->trials,
              (unsigned long)(evidence->blocked_until_ms - wall_ms));
}

static void
report_crash (struct control_quarantine *quarantine,
              const struct control_quarantine_crash *report, uint64_t wall_ms)
{
  bool is_part = report->kind == CONTROL_SUSPECT_PART;
  bool is_known
      = is_part && is_explained (quarantine, report->crash.target, wall_ms);
  base_log (BASE_LOG_INFO,
            "crash-reported suspect=%s:%lx account=%s target=%s any_moment=%d "
            "explained=%d",
            is_part ? "part" : "request", (unsigned long)report->id,
            report->account, report->target_name, report->is_any_moment,
            is_known);
  struct control_suspicion *suspect = control_suspects_ensure (
      quarantine->suspects, report->kind, report->id, wall_ms);
  if (is_part)
    control_quarantine_report_turn (quarantine, suspect, report, wall_ms);
  if (report->is_any_moment || is_known)
    return;
  struct control_evidence *evidence
      = control_suspicion_ensure_account (suspect, report->account);
  expire_crashes (suspect, evidence, wall_ms);
  if (!control_evidence_add (evidence, &report->crash))
    return;
  suspect->last_crash_ms
      = MAX (suspect->last_crash_ms, report->crash.crash_ms);
  if (evidence->count >= CONTROL_QUARANTINE_CRASHES)
    block (quarantine, suspect, evidence, report, wall_ms);
  if (is_part)
    block_for_all (suspect, wall_ms);
  quarantine->version += control_quarantine_is_listed (suspect);
}

/* A complete response shows that the suspect doesn't crash targets. */
static void
report_sound (struct control_quarantine *quarantine,
              enum control_suspect_kind kind, uint64_t id, uint64_t wall_ms)
{
  guint index;
  const struct control_suspicion *suspect
      = control_suspects_find (quarantine->suspects, kind, id, &index);
  if (!suspect)
    return;
  if (control_suspicion_is_blocked (suspect, wall_ms))
    base_log (BASE_LOG_NOTICE,
              kind == CONTROL_SUSPECT_PART ? "part-unblocked part=%lx"
                                           : "request-unblocked request=%lx",
              (unsigned long)id);
  quarantine->version += control_quarantine_is_listed (suspect);
  g_ptr_array_remove_index (quarantine->suspects, index);
}

/* Time until which something counts of the suspect. */
static uint64_t
expiry_ms (const struct control_suspicion *suspect)
{
  if (suspect->kind == CONTROL_SUSPECT_PART
      && suspect->turns.blocked_until_ms > 0)
    return MAX (suspect->last_crash_ms, suspect->turns.blocked_until_ms)
           + REQUEST_CRASH_LIFETIME_MS;
  if (suspect->kind == CONTROL_SUSPECT_PART)
    return suspect->last_crash_ms + CONTROL_QUARANTINE_TURN_MS
           + CONTROL_QUARANTINE_PART_BLOCK_MS;
  return MAX (suspect->last_crash_ms, suspect->accounts[0].blocked_until_ms)
         + REQUEST_CRASH_LIFETIME_MS;
}

/* Removes suspects of which nothing counts any more. */
static void
expire (struct control_quarantine *quarantine, uint64_t wall_ms)
{
  for (guint i = quarantine->suspects->len; i-- > 0;)
    {
      const struct control_suspicion *suspect = quarantine->suspects->pdata[i];
      if (control_suspicion_is_blocked (suspect, wall_ms)
          || expiry_ms (suspect) >= wall_ms)
        continue;
      quarantine->version += control_quarantine_is_listed (suspect);
      g_ptr_array_remove_index (quarantine->suspects, i);
    }
}

/* Returns the replicated time at which the router's clock, which was
   @p call_ms when it sent its call, showed @p time_ms. */
static uint64_t
convert_time (uint64_t time_ms, uint64_t call_ms, uint64_t wall_ms)
{
  uint64_t age_ms = call_ms > time_ms ? call_ms - time_ms : 0;
  return wall_ms - MIN (age_ms, wall_ms);
}

void
control_quarantine_report (struct control_quarantine *quarantine,
                           const struct control_part_reports *reports,
                           uint64_t sent_ms, uint64_t wall_ms)
{
  expire (quarantine, wall_ms);
  for (u_int i = 0; i < reports->crashes.crashes_len; i++)
    {
      const struct control_part_crash *from = &reports->crashes.crashes_val[i];
      bool is_any_moment = from->account[0] == CONTROL_TURNS_MARK;
      const struct control_quarantine_crash report = {
        .kind = CONTROL_SUSPECT_PART,
        .id = from->part,
        .account = from->account + is_any_moment,
        .is_any_moment = is_any_moment,
        .target_name = from->target,
        .crash = { convert_time (from->lost_ms, sent_ms, wall_ms), 0,
                   XXH3_64bits (from->target, strlen (from->target)) },
      };
      report_crash (quarantine, &report, wall_ms);
    }
  for (u_int i = 0; i < reports->sound.sound_len; i++)
    report_sound (quarantine, CONTROL_SUSPECT_PART,
                  reports->sound.sound_val[i], wall_ms);
}

/* Grants a trial if the request's block is over; the next one is due only
   after a longer block, whatever becomes of this one. */
static bool
grant_trial (struct control_quarantine *quarantine, uint64_t digest,
             uint64_t wall_ms)
{
  guint index;
  struct control_suspicion *suspect = control_suspects_find (
      quarantine->suspects, CONTROL_SUSPECT_REQUEST, digest, &index);
  if (!suspect)
    return control_quarantine_grant_part (quarantine, digest, wall_ms);
  if (suspect->accounts[0].blocked_until_ms == 0)
    return true;
  struct control_evidence *evidence = &suspect->accounts[0];
  if (evidence->blocked_until_ms > wall_ms)
    return false;
  evidence->trials++;
  evidence->blocked_until_ms = wall_ms + block_ms (suspect, evidence);
  quarantine->version++;
  base_log (BASE_LOG_NOTICE, "request-tried request=%lx account=%s trials=%u",
            (unsigned long)digest, evidence->account, evidence->trials);
  return true;
}

static void
grant_trials (struct control_quarantine *quarantine,
              const struct control_request_reports *reports, uint64_t wall_ms,
              struct control_router_result *result)
{
  u_int count = reports->trials.trials_len;
  result->trials.trials_len = 0;
  result->trials.trials_val
      = count > 0 ? calloc (count, sizeof *result->trials.trials_val) : NULL;
  for (u_int i = 0; i < count; i++)
    if (grant_trial (quarantine, reports->trials.trials_val[i], wall_ms))
      result->trials.trials_val[result->trials.trials_len++]
          = reports->trials.trials_val[i];
}

void
control_quarantine_call (struct control_quarantine *quarantine,
                         const struct control_request_reports *reports,
                         uint64_t sent_ms, uint64_t wall_ms,
                         struct control_router_result *result)
{
  expire (quarantine, wall_ms);
  for (u_int i = 0; i < reports->crashes.crashes_len; i++)
    {
      const struct control_request_crash *from
          = &reports->crashes.crashes_val[i];
      const struct control_quarantine_crash report = {
        .kind = CONTROL_SUSPECT_REQUEST,
        .id = from->digest,
        .account = from->account,
        .target_name = from->target,
        .crash = { convert_time (from->lost_ms, sent_ms, wall_ms),
                   convert_time (from->sent_ms, sent_ms, wall_ms),
                   XXH3_64bits (from->target, strlen (from->target)) },
      };
      report_crash (quarantine, &report, wall_ms);
    }
  for (u_int i = 0; i < reports->sound.sound_len; i++)
    report_sound (quarantine, CONTROL_SUSPECT_REQUEST,
                  reports->sound.sound_val[i], wall_ms);
  grant_trials (quarantine, reports, wall_ms, result);
}

uint64_t
control_quarantine_version (const struct control_quarantine *quarantine)
{
  return quarantine->version;
}

void
control_quarantine_list (const struct control_quarantine *quarantine,
                         uint64_t wall_ms, struct control_suspects *suspects)
{
  suspects->list_version = quarantine->version;
  suspects->parts.parts_val = calloc (
      (size_t)quarantine->suspects->len * (CONTROL_SUSPECT_ACCOUNTS_MAX + 3)
          + 1,
      sizeof *suspects->parts.parts_val);
  for (guint i = 0; i < quarantine->suspects->len; i++)
    {
      const struct control_suspicion *suspect = quarantine->suspects->pdata[i];
      if (!control_quarantine_is_listed (suspect))
        continue;
      if (suspect->kind == CONTROL_SUSPECT_PART)
        control_quarantine_add_part (quarantine, suspects, suspect, wall_ms);
      for (uint32_t k = 0; k < suspect->account_count; k++)
        {
          const struct control_evidence *evidence = &suspect->accounts[k];
          if (suspect->kind == CONTROL_SUSPECT_REQUEST
              || evidence->blocked_until_ms > wall_ms)
            control_quarantine_add_line (suspects, suspect, evidence->account,
                                         false, evidence->blocked_until_ms,
                                         wall_ms);
        }
    }
}
