#include "control_turns.h"

#include <string.h>

#include <glib.h>

/* Crashes that happened together of which more than one count: a request that
   is sent again crashes two targets soon after each other.  They count only
   beside such of other times, as the loss of a zone ends many. */
#define TOGETHER_MAX 2
#define TIMES_MIN 3

static void
drop (struct control_turns *turns, uint32_t index)
{
  g_free (turns->turns[index].account);
  turns->count--;
  memmove (&turns->turns[index], &turns->turns[index + 1],
           (turns->count - index) * sizeof turns->turns[0]);
}

bool
control_turns_add (struct control_turns *turns,
                   const struct control_crash *crash, const char *account)
{
  uint32_t together = 0;
  for (uint32_t i = 0; i < turns->count; i++)
    {
      if (turns->turns[i].crash.target == crash->target)
        return false;
      together += control_evidence_is_together (&turns->turns[i].crash, crash);
    }
  if (together >= TOGETHER_MAX)
    return false;
  if (turns->count == CONTROL_EVIDENCE_KEPT)
    drop (turns, 0);
  uint32_t i = turns->count++;
  for (; i > 0 && turns->turns[i - 1].crash.crash_ms > crash->crash_ms; i--)
    turns->turns[i] = turns->turns[i - 1];
  turns->turns[i] = (struct control_turn){ *crash, g_strdup (account) };
  return true;
}

void
control_turns_expire (struct control_turns *turns, uint64_t oldest_ms)
{
  while (turns->count > 0 && turns->turns[0].crash.crash_ms < oldest_ms)
    drop (turns, 0);
}

void
control_turns_forget (struct control_turns *turns, uint64_t target)
{
  for (uint32_t i = turns->count; i-- > 0;)
    if (turns->turns[i].crash.target == target)
      drop (turns, i);
}

bool
control_turns_has (const struct control_turns *turns, uint64_t target)
{
  for (uint32_t i = 0; i < turns->count; i++)
    if (turns->turns[i].crash.target == target)
      return true;
  return false;
}

struct control_turns_verdict
control_turns_judge (const struct control_turns *turns,
                     control_turns_explains *explains, const void *context)
{
  struct control_turns_verdict verdict = { 0 };
  const char *accounts[CONTROL_EVIDENCE_KEPT];
  const struct control_crash *last = NULL;
  uint32_t times = 0;
  uint32_t count = 0;
  uint32_t most = 0;
  for (uint32_t i = 0; i < turns->count; i++)
    {
      const struct control_turn *turn = &turns->turns[i];
      if (explains (context, turn->crash.target))
        continue;
      accounts[count++] = turn->account;
      if (last && control_evidence_is_together (last, &turn->crash))
        continue;
      last = &turn->crash;
      times++;
    }
  if (times < TIMES_MIN)
    return verdict;
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t same = 0;
      for (uint32_t k = 0; k < count; k++)
        same += strcmp (accounts[k], accounts[i]) == 0;
      if (same <= most)
        continue;
      most = same;
      verdict.account = accounts[i];
    }
  if (count >= CONTROL_TURNS_CRASHES && count - most >= CONTROL_TURNS_OTHERS)
    verdict.account = NULL;
  verdict.is_blocked = count >= CONTROL_TURNS_CRASHES
                       && (!verdict.account || most >= CONTROL_TURNS_CRASHES);
  return verdict;
}

void
control_turns_clear (struct control_turns *turns)
{
  while (turns->count > 0)
    drop (turns, turns->count - 1);
  turns->blocked_until_ms = 0;
  turns->trials = 0;
}
