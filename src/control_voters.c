#include "control_voters.h"

#include <stddef.h>

/* Time without an answer after which a ready learner may replace a voter.  It
   is longer than the longest election, and shorter than the time within which
   a new member must have a vote. */
#define REPLACE_VOTER_AFTER_MS 1500
/* Time without an answer after which a learner counts as unreachable. */
#define LEARNER_TIMEOUT_MS 700
/* Time without an answer after which a learner is removed. */
#define REMOVE_LEARNER_AFTER_MS 15000

static const struct control_voters_member *
find_ready_learner (const struct control_voters_member *members,
                    uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    if (members[i].role == CONSENSUS_LEARNER && members[i].caught_up
        && members[i].silent_ms < LEARNER_TIMEOUT_MS)
      return &members[i];
  return NULL;
}

/* Finds the member that has not answered for the longest time, at least
   @p limit_ms, among the voters (@p voters true) or the learners. */
static const struct control_voters_member *
find_silent (const struct control_voters_member *members, uint32_t count,
             bool voters, uint64_t limit_ms)
{
  const struct control_voters_member *found = NULL;
  for (uint32_t i = 0; i < count; i++)
    {
      bool is_learner = members[i].role == CONSENSUS_LEARNER;
      if (is_learner == voters || members[i].silent_ms < limit_ms)
        continue;
      if (!found || members[i].silent_ms > found->silent_ms)
        found = &members[i];
    }
  return found;
}

static uint32_t
count_voters (const struct control_voters_member *members, uint32_t count)
{
  uint32_t voters = 0;
  for (uint32_t i = 0; i < count; i++)
    voters += members[i].role == CONSENSUS_VOTER;
  return voters;
}

/* Returns whether a majority of the voters is reachable, as that majority
   must agree on the change. */
static bool
may_remove_voter (const struct control_voters_member *members, uint32_t count)
{
  uint32_t reachable = 0;
  for (uint32_t i = 0; i < count; i++)
    reachable += members[i].role == CONSENSUS_VOTER
                 && members[i].silent_ms < REPLACE_VOTER_AFTER_MS;
  return reachable > count_voters (members, count) / 2;
}

enum control_voters_action
control_voters_decide (const struct control_voters_member *members,
                       uint32_t count, uint32_t wanted_voters, uint64_t *id)
{
  uint32_t slots = 0;
  const struct control_voters_member *learner
      = find_ready_learner (members, count);
  const struct control_voters_member *silent
      = find_silent (members, count, true, REPLACE_VOTER_AFTER_MS);
  for (uint32_t i = 0; i < count; i++)
    slots += members[i].role != CONSENSUS_LEARNER;
  bool may_change = may_remove_voter (members, count);
  /* The replacement votes before the silent voter is removed: with fewer
     voters than wanted, one more that fails would stop all changes. */
  if (learner
      && (slots < wanted_voters
          || (slots == wanted_voters && silent && may_change)))
    {
      *id = learner->id;
      return CONTROL_VOTERS_PROMOTE;
    }
  /* Without a learner only the one that has been replaced is removed: of more
     voters than that, a majority remains when several are silent. */
  bool is_replaced = silent && slots > wanted_voters
                     && (learner || slots == wanted_voters + 1)
                     && (silent->role != CONSENSUS_VOTER
                         || count_voters (members, count) > wanted_voters);
  if (is_replaced && may_change)
    {
      *id = silent->id;
      return CONTROL_VOTERS_REMOVE;
    }
  silent = find_silent (members, count, false, REMOVE_LEARNER_AFTER_MS);
  if (silent)
    {
      *id = silent->id;
      return CONTROL_VOTERS_REMOVE;
    }
  return CONTROL_VOTERS_NONE;
}
