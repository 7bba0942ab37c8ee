#ifndef TRIAL_SCENARIO_H
#define TRIAL_SCENARIO_H

/** @file
 *  Scenarios of a trial: a rate of requests, and events at set times. */

#include <stddef.h>
#include <stdint.h>

#include "load_run.h"
#include "trial_fleet.h"

/** Action of an event. */
enum trial_action
{
  /** Cuts a zone off from the others. */
  TRIAL_CUT,
  TRIAL_HEAL,
  /** SIGKILL. */
  TRIAL_KILL,
  /** SIGSTOP. */
  TRIAL_FREEZE,
  /** SIGCONT. */
  TRIAL_THAW,
  /** SIGTERM; waits until the process exits. */
  TRIAL_TERMINATE,
  /** Starts a process again and waits until it is ready. */
  TRIAL_START,
  /** Kills a ledger or control member and restarts it without its data. */
  TRIAL_LOSE_DISK,
  /** Tops up every account. */
  TRIAL_TOP_UP,
  /** Pushes the next version of the bundle. */
  TRIAL_PUSH,
  /** Changes the rate of requests. */
  TRIAL_RATE,
  /** Sets the faults of a target. */
  TRIAL_FAULTS
};

/** One event; its action decides which of the last fields count. */
struct trial_event
{
  /** Time since the start of the scenario, in milliseconds. */
  uint64_t at_ms;
  enum trial_action action;
  enum trial_role role;
  uint32_t zone;
  /** Index of the process among those of its role and zone. */
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
  /** Requests a second. */
  uint64_t rate;
  uint64_t duration_ms;
  /** First top-up of every account, in tokens. */
  uint64_t top_up_tokens;
  const struct trial_event *events;
  size_t event_count;
};

/** Finds the scenario of that name; NULL when there is none. */
const struct trial_scenario *trial_scenario_find (const char *name);
/** Prints the names of all scenarios, one a line. */
void trial_scenario_list (void);
/** Plays the scenario on a started fleet; number of events that failed. */
uint32_t trial_scenario_play (const struct trial_scenario *scenario,
                              struct trial_fleet *fleet, struct load_run *run);

#endif
