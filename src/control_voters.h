#ifndef CONTROL_VOTERS_H
#define CONTROL_VOTERS_H

/** @file
 *  Decides which control members vote: a learner fills a free voter slot, or
 *  replaces a voter that has not answered for REPLACE_VOTER_AFTER_MS.  It
 * votes before the other one is removed.  Without I/O. */

#include <stdbool.h>
#include <stdint.h>

#include "consensus_configuration.h"

/** One member as the leader sees it. */
struct control_voters_member
{
  uint64_t id;
  enum consensus_role role;
  /** Time since its last answer, in milliseconds; 0 for the leader itself. */
  uint64_t silent_ms;
  /** Whether its log holds nearly all committed entries. */
  bool caught_up;
};

/** Change of the membership: PROMOTE makes a learner a voter, REMOVE removes a
 *  voter or a learner. */
enum control_voters_action
{
  CONTROL_VOTERS_NONE,
  CONTROL_VOTERS_PROMOTE,
  CONTROL_VOTERS_REMOVE
};

/** Returns the next change to make and sets @p id to the member to change.
 *  @p wanted_voters is the desired number of voters. */
enum control_voters_action
control_voters_decide (const struct control_voters_member *members,
                       uint32_t count, uint32_t wanted_voters, uint64_t *id);

#endif
