#ifndef CONTROL_QUARANTINE_STATE_H
#define CONTROL_QUARANTINE_STATE_H

/** @file
 *  State of control_quarantine, for its own source files. */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "control_suspects.h"
#include "wire_control.h"

/** Time for which a part is blocked, in ms.  One crash after that blocks it
 *  again. */
#define CONTROL_QUARANTINE_PART_BLOCK_MS 120000
/** Time for which a crash counts whatever the account and the moment of the
 *  response, in ms. */
#define CONTROL_QUARANTINE_TURN_MS 600000

/** A crash as it was reported. */
struct control_quarantine_crash
{
  enum control_suspect_kind kind;
  uint64_t id;
  const char *account;
  const char *target_name;
  struct control_crash crash;
  /** The response may not have begun, or long before. */
  bool is_any_moment;
};

struct control_quarantine
{
  uint64_t version;
  /** See control_suspects.h. */
  GPtrArray *suspects;
};

/** Returns whether routers are told of the suspect. */
bool control_quarantine_is_listed (const struct control_suspicion *suspect);
/** Counts a crash for a part whatever the account. */
void control_quarantine_report_turn (
    struct control_quarantine *quarantine, struct control_suspicion *suspect,
    const struct control_quarantine_crash *report, uint64_t wall_ms);
/** Grants a trial of a part if its block is over, as for a request. */
bool control_quarantine_grant_part (struct control_quarantine *quarantine,
                                    uint64_t part, uint64_t wall_ms);
/** Adds a line about a suspect to a list for routers. */
void control_quarantine_add_line (struct control_suspects *suspects,
                                  const struct control_suspicion *suspect,
                                  const char *account, bool for_all,
                                  uint64_t blocked_until_ms, uint64_t wall_ms);
/** Adds the lines of a part about all accounts, and about what its crashes
 *  block whatever the moment: that a trial is due after the block, which
 *  builds that know no trials of parts take for a line about a request, and a
 *  longer block for those builds. */
void control_quarantine_add_part (const struct control_quarantine *quarantine,
                                  struct control_suspects *suspects,
                                  const struct control_suspicion *suspect,
                                  uint64_t wall_ms);

#endif
