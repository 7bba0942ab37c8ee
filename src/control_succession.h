#ifndef CONTROL_SUCCESSION_H
#define CONTROL_SUCCESSION_H

/** @file
 *  Decides which control members vote: learners take free places of voters,
 *  and the place of a voter that has been silent for long.  Without I/O. */

#include <stdbool.h>
#include <stdint.h>

#include "consensus_configuration.h"

/** What the leader knows of one member. */
struct control_succession_member
{
  uint64_t id;
  enum consensus_role role;
  /** Time since its last answer, in milliseconds; 0 for the leader. */
  uint64_t silent_ms;
  /** Holds nearly all that is committed. */
  bool caught_up;
};

enum control_succession_action
{
  CONTROL_SUCCESSION_NONE,
  CONTROL_SUCCESSION_PROMOTE,
  CONTROL_SUCCESSION_REMOVE
};

/** What to change next; @p id is the member.  @p wanted_voters members are to
 *  vote. */
enum control_succession_action
control_succession_decide (const struct control_succession_member *members,
                           uint32_t count, uint32_t wanted_voters,
                           uint64_t *id);

#endif
