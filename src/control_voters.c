#include "control_voters.h"

#include <stddef.h>

/* Silence after which a waiting learner takes a voter's place; above the
   longest election, below the time in which a new member is to count. */
#define REPLACE_AFTER_MS 1500
/* Silence after which a learner counts as alive no more. */
#define LEARNER_ALIVE_MS 700
/* Silence after which a learner is removed. */
#define FORGET_LEARNER_MS 15000

static const struct control_voters_member *
find_ready_learner (const struct control_voters_member *members,
                    uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    if (members[i].role == CONSENSUS_LEARNER && members[i].caught_up
        && members[i].silent_ms < LEARNER_ALIVE_MS)
      return &members[i];
  return NULL;
}

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

/* A change must be agreed on by those that are left. */
static bool
may_remove_voter (const struct control_voters_member *members, uint32_t count)
{
  uint32_t voters = 0;
  uint32_t alive = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      voters += members[i].role == CONSENSUS_VOTER;
      alive += members[i].role == CONSENSUS_VOTER
               && members[i].silent_ms < REPLACE_AFTER_MS;
    }
  return alive > voters / 2;
}

enum control_voters_action
control_voters_decide (const struct control_voters_member *members,
                       uint32_t count, uint32_t wanted_voters, uint64_t *id)
{
  uint32_t places = 0;
  const struct control_voters_member *learner
      = find_ready_learner (members, count);
  const struct control_voters_member *silent
      = find_silent (members, count, true, REPLACE_AFTER_MS);
  for (uint32_t i = 0; i < count; i++)
    places += members[i].role != CONSENSUS_LEARNER;
  if (learner && places < wanted_voters)
    {
      *id = learner->id;
      return CONTROL_VOTERS_PROMOTE;
    }
  if (learner && silent && may_remove_voter (members, count))
    {
      *id = silent->id;
      return CONTROL_VOTERS_REMOVE;
    }
  silent = find_silent (members, count, false, FORGET_LEARNER_MS);
  if (silent)
    {
      *id = silent->id;
      return CONTROL_VOTERS_REMOVE;
    }
  return CONTROL_VOTERS_NONE;
}
