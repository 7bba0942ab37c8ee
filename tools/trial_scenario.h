#ifndef TRIAL_SCENARIO_H
#define TRIAL_SCENARIO_H

/** @file
 *  Scenarios of a trial: a rate of requests and a list of faults by time. */

#include <stddef.h>
#include <stdint.h>

#include "load_run.h"
#include "trial_fleet.h"

/** What happens at a moment of a scenario. */
enum trial_action
{
  TRIAL_CUT,
  TRIAL_HEAL,
  TRIAL_KILL,
  TRIAL_FREEZE,
  TRIAL_THAW,
  /** SIGTERM; waits for the end. */
  TRIAL_TERMINATE,
  TRIAL_START,
  TRIAL_LOSE_DISK,
  TRIAL_TOP_UP,
  TRIAL_PUSH,
  TRIAL_RATE,
  /** Sets a target's faults. */
  TRIAL_FAULTS
};

/** One event; what the last fields mean follows from the action. */
struct trial_event
{
  uint64_t at_ms;
  enum trial_action action;
  enum trial_role role;
  uint32_t zone;
  uint32_t index;
  /** Tokens of a top-up, or requests a second. */
  uint64_t amount;
  /** Faults of a target, as JSON. */
  const char *faults;
};

/** A scenario. */
struct trial_scenario
{
  const char *name;
  const char *mix;
  uint64_t rate;
  uint64_t duration_ms;
  /** First top-up of every account, in tokens. */
  uint64_t top_up_tokens;
  const struct trial_event *events;
  size_t event_count;
};

/** Scenario of that name, or NULL. */
const struct trial_scenario *trial_scenario_find (const char *name);
/** Prints the names, one a line. */
void trial_scenario_list (void);
/** Plays the scenario over a started fleet; number of events that failed. */
uint32_t trial_scenario_play (const struct trial_scenario *scenario,
                              struct trial_fleet *fleet, struct load_run *run);

#endif
