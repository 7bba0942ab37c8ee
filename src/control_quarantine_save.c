#include "control_quarantine.h"

#include <stdlib.h>
#include <string.h>

#include "control_quarantine_state.h"
#include "control_suspects.h"

static void
save_evidence (struct control_evidence_image *to, char *account,
               uint32_t crashes)
{
  to->account = account;
  to->crash_ms.crash_ms_val = calloc (crashes + 1, sizeof (u_quad_t));
  to->target_hashes.target_hashes_val
      = calloc (crashes + 1, sizeof (u_quad_t));
}

static void
save_crash (struct control_evidence_image *to,
            const struct control_crash *crash)
{
  to->crash_ms.crash_ms_val[to->crash_ms.crash_ms_len++] = crash->crash_ms;
  to->target_hashes.target_hashes_val[to->target_hashes.target_hashes_len++]
      = crash->target;
}

/* Returns the account's name with the mark of crashes at any moment; free it
   with free(). */
static char *
mark_account (const char *account)
{
  char name[WIRE_NAME_BYTES + 1];
  g_snprintf (name, sizeof name, "%c%s", CONTROL_TURNS_MARK, account);
  return strdup (name);
}

/* Appends the crashes at any moment, by account.  They follow all others, so
   that builds that don't know them read those. */
static void
save_turns (const struct control_turns *turns,
            struct control_suspect_image *image)
{
  const u_int first = image->accounts.accounts_len;
  for (uint32_t i = 0; i < turns->count; i++)
    {
      struct control_evidence_image *lines = image->accounts.accounts_val;
      char *account = mark_account (turns->turns[i].account);
      u_int k = first;
      while (k < image->accounts.accounts_len
             && strcmp (lines[k].account, account) != 0)
        k++;
      if (k < image->accounts.accounts_len)
        free (account);
      else
        {
          save_evidence (&lines[k], account, turns->count);
          lines[k].blocked_until_ms = turns->blocked_until_ms;
          image->accounts.accounts_len++;
        }
      save_crash (&lines[k], &turns->turns[i].crash);
    }
}

static void
save_part (const struct control_suspicion *from,
           struct control_suspect_image *to)
{
  to->part = from->id;
  to->last_crash_ms = from->last_crash_ms;
  to->all_blocked_until_ms = from->all_blocked_until_ms;
  to->accounts.accounts_len = from->account_count;
  to->accounts.accounts_val
      = calloc (from->account_count + from->turns.count + 1,
                sizeof *to->accounts.accounts_val);
  for (uint32_t k = 0; k < from->account_count; k++)
    {
      const struct control_evidence *evidence = &from->accounts[k];
      struct control_evidence_image *line = &to->accounts.accounts_val[k];
      save_evidence (line, strdup (evidence->account), evidence->count);
      line->blocked_until_ms = evidence->blocked_until_ms;
      for (uint32_t c = 0; c < evidence->count; c++)
        save_crash (line, &evidence->crashes[c]);
    }
  save_turns (&from->turns, to);
}

static void
save_request (const struct control_suspicion *from,
              struct control_request_image *to)
{
  const struct control_evidence *evidence = &from->accounts[0];
  to->digest = from->id;
  to->account = strdup (evidence->account);
  to->blocked_until_ms = evidence->blocked_until_ms;
  to->trials = evidence->trials;
  to->crash_ms.crash_ms_len = evidence->count;
  to->crash_ms.crash_ms_val = calloc (evidence->count + 1, sizeof (u_quad_t));
  to->sent_ms.sent_ms_len = evidence->count;
  to->sent_ms.sent_ms_val = calloc (evidence->count + 1, sizeof (u_quad_t));
  to->target_hashes.target_hashes_len = evidence->count;
  to->target_hashes.target_hashes_val
      = calloc (evidence->count + 1, sizeof (u_quad_t));
  for (uint32_t c = 0; c < evidence->count; c++)
    {
      to->crash_ms.crash_ms_val[c] = evidence->crashes[c].crash_ms;
      to->sent_ms.sent_ms_val[c] = evidence->crashes[c].sent_ms;
      to->target_hashes.target_hashes_val[c] = evidence->crashes[c].target;
    }
}

void
control_quarantine_save (const struct control_quarantine *quarantine,
                         struct control_quarantine_image *image,
                         struct control_routers_image *routers)
{
  const GPtrArray *suspects = quarantine->suspects;
  image->list_version = quarantine->version;
  image->suspects.suspects_val
      = calloc (suspects->len + 1, sizeof *image->suspects.suspects_val);
  routers->requests.requests_val
      = calloc (suspects->len + 1, sizeof *routers->requests.requests_val);
  for (guint i = 0; i < suspects->len; i++)
    {
      const struct control_suspicion *from = suspects->pdata[i];
      if (from->kind == CONTROL_SUSPECT_PART)
        save_part (
            from,
            &image->suspects.suspects_val[image->suspects.suspects_len++]);
      else
        save_request (
            from,
            &routers->requests.requests_val[routers->requests.requests_len++]);
    }
}

static void
load_evidence (struct control_evidence *evidence,
               const struct control_evidence_image *from)
{
  evidence->account = g_strdup (from->account);
  evidence->blocked_until_ms = from->blocked_until_ms;
  evidence->count = MIN (
      MIN (from->crash_ms.crash_ms_len, from->target_hashes.target_hashes_len),
      CONTROL_EVIDENCE_KEPT);
  for (uint32_t i = 0; i < evidence->count; i++)
    evidence->crashes[i]
        = (struct control_crash){ from->crash_ms.crash_ms_val[i], 0,
                                  from->target_hashes.target_hashes_val[i] };
}

static void
load_turns (struct control_turns *turns,
            const struct control_evidence_image *from)
{
  u_int count = MIN (from->crash_ms.crash_ms_len,
                     from->target_hashes.target_hashes_len);
  for (u_int i = 0; i < count; i++)
    {
      const struct control_crash crash
          = { from->crash_ms.crash_ms_val[i], 0,
              from->target_hashes.target_hashes_val[i] };
      control_turns_add (turns, &crash, from->account + 1);
    }
  turns->blocked_until_ms
      = MAX (turns->blocked_until_ms, from->blocked_until_ms);
}

/* Trials that led to a block of this length, which snapshots don't name. */
static uint32_t
trials_before (uint64_t block_ms)
{
  return (block_ms > 10000) + (block_ms > 120000) + (block_ms > 3600000);
}

static void
load_part (struct control_quarantine *quarantine,
           const struct control_suspect_image *from)
{
  struct control_suspicion *suspect = control_suspects_ensure (
      quarantine->suspects, CONTROL_SUSPECT_PART, from->part, 0);
  suspect->last_crash_ms = from->last_crash_ms;
  suspect->all_blocked_until_ms = from->all_blocked_until_ms;
  for (u_int i = 0; i < from->accounts.accounts_len; i++)
    {
      const struct control_evidence_image *line
          = &from->accounts.accounts_val[i];
      if (line->account[0] == CONTROL_TURNS_MARK)
        load_turns (&suspect->turns, line);
      else if (suspect->account_count < CONTROL_SUSPECT_ACCOUNTS_MAX)
        load_evidence (&suspect->accounts[suspect->account_count++], line);
    }
  if (suspect->turns.blocked_until_ms > suspect->last_crash_ms)
    suspect->turns.trials = trials_before (suspect->turns.blocked_until_ms
                                           - suspect->last_crash_ms);
}

static void
load_request (struct control_quarantine *quarantine,
              const struct control_request_image *from)
{
  struct control_suspicion *suspect = control_suspects_ensure (
      quarantine->suspects, CONTROL_SUSPECT_REQUEST, from->digest, 0);
  struct control_evidence *evidence
      = control_suspicion_ensure_account (suspect, from->account);
  evidence->blocked_until_ms = from->blocked_until_ms;
  evidence->trials = from->trials;
  evidence->count = MIN (
      MIN (from->crash_ms.crash_ms_len, from->target_hashes.target_hashes_len),
      MIN (from->sent_ms.sent_ms_len, CONTROL_EVIDENCE_KEPT));
  for (uint32_t i = 0; i < evidence->count; i++)
    {
      evidence->crashes[i]
          = (struct control_crash){ from->crash_ms.crash_ms_val[i],
                                    from->sent_ms.sent_ms_val[i],
                                    from->target_hashes.target_hashes_val[i] };
      suspect->last_crash_ms
          = MAX (suspect->last_crash_ms, evidence->crashes[i].crash_ms);
    }
}

void
control_quarantine_load (struct control_quarantine *quarantine,
                         const struct control_quarantine_image *image,
                         const struct control_routers_image *routers)
{
  quarantine->version = image->list_version;
  for (u_int i = 0; i < image->suspects.suspects_len; i++)
    load_part (quarantine, &image->suspects.suspects_val[i]);
  for (u_int i = 0; i < routers->requests.requests_len; i++)
    load_request (quarantine, &routers->requests.requests_val[i]);
}
