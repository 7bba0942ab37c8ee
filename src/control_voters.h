#ifndef CONTROL_VOTERS_H
#define CONTROL_VOTERS_H

/** @file
 *  Decides which control members vote: learners take free places of voters,
 *  and the place of a voter that has been silent for long.  Without I/O. */

#include <stdbool.h>
#include <stdint.h>

#include "consensus_configuration.h"

/** What the leader knows of one member. */
struct control_voters_member
{
  uint64_t id;
  enum consensus_role role;
  /** Time since its last answer, in milliseconds; 0 for the leader. */
  uint64_t silent_ms;
  /** Holds nearly all that is committed. */
  bool caught_up;
};

enum control_voters_action
{
  CONTROL_VOTERS_NONE,
  CONTROL_VOTERS_PROMOTE,
  CONTROL_VOTERS_REMOVE
};

/** What to change next; @p id is the member.  @p wanted_voters members are to
 *  vote. */
enum control_voters_action
control_voters_decide (const struct control_voters_member *members,
                       uint32_t count, uint32_t wanted_voters, uint64_t *id);

#endif
