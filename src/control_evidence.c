#include "control_evidence.h"

#include <string.h>

#include <glib.h>

/* Minimum time between two crashes that both count, in ms: targets that end
   together have one cause, such as the loss of a zone. */
#define SEPARATION_MS 150

void
control_evidence_drop (struct control_evidence *evidence, uint32_t index)
{
  evidence->count--;
  memmove (&evidence->crashes[index], &evidence->crashes[index + 1],
           (evidence->count - index) * sizeof evidence->crashes[0]);
}

bool
control_evidence_is_together (const struct control_crash *a,
                              const struct control_crash *b)
{
  const struct control_crash *first = a->crash_ms <= b->crash_ms ? a : b;
  const struct control_crash *second = first == a ? b : a;
  return second->crash_ms - first->crash_ms < SEPARATION_MS
         && (second->sent_ms == 0 || second->sent_ms < first->crash_ms);
}

bool
control_evidence_add (struct control_evidence *evidence,
                      const struct control_crash *crash)
{
  for (uint32_t i = 0; i < evidence->count; i++)
    if (evidence->crashes[i].target == crash->target
        || control_evidence_is_together (&evidence->crashes[i], crash))
      return false;
  if (evidence->count == CONTROL_EVIDENCE_KEPT)
    control_evidence_drop (evidence, 0);
  uint32_t i = evidence->count++;
  for (; i > 0 && evidence->crashes[i - 1].crash_ms > crash->crash_ms; i--)
    evidence->crashes[i] = evidence->crashes[i - 1];
  evidence->crashes[i] = *crash;
  return true;
}

void
control_evidence_forget (struct control_evidence *evidence, uint64_t target,
                         uint32_t least)
{
  for (uint32_t i = evidence->count; i-- > 0;)
    if (evidence->crashes[i].target == target)
      {
        control_evidence_drop (evidence, i);
        if (evidence->count < least)
          evidence->blocked_until_ms = 0;
      }
}

bool
control_evidence_has (const struct control_evidence *evidence, uint64_t target)
{
  for (uint32_t i = 0; i < evidence->count; i++)
    if (evidence->crashes[i].target == target)
      return true;
  return false;
}
