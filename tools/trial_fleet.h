#ifndef TRIAL_FLEET_H
#define TRIAL_FLEET_H

/** @file
 *  Fleet of real processes in three availability zones of two regions, on
 *  loopback addresses; the links between the zones can be cut. */

#include <stdbool.h>
#include <stdint.h>

#include "fleet_process.h"
#include "load_mix.h"
#include "load_oracle.h"

/** Number of availability zones; the third is a region of its own. */
#define TRIAL_ZONES 3

/** Role of a process. */
enum trial_role
{
  TRIAL_CONTROL,
  TRIAL_LEDGER,
  TRIAL_ROUTER,
  TRIAL_TARGET
};

struct trial_fleet;

/** Lays out a fleet for @p mix, without starting it: in each zone one control
 *  member, one ledger, @p routers routers and the targets of the deployment.
 *  Its files are kept under @p folder, which is created when missing. */
struct trial_fleet *trial_fleet_create (const struct load_mix *mix,
                                        const char *folder, uint32_t routers);
/** Kills all processes that run and frees the fleet. */
void trial_fleet_destroy (struct trial_fleet *fleet);
/** Starts all processes, pushes the bundle, and waits until every process is
 *  ready; false when one is not, with its name on standard error. */
bool trial_fleet_start (struct trial_fleet *fleet);
/** Tops up every account with @p tokens; false when a top-up failed, and then
 *  the accounts after it get none. */
bool trial_fleet_top_up (struct trial_fleet *fleet, uint64_t tokens);
/** Tokens with which an account was topped up so far, also those of a top-up
 *  that was sent and not answered. */
uint64_t trial_fleet_topped_up (const struct trial_fleet *fleet,
                                uint32_t account);
/** Pushes the next version of the bundle; false when it was not accepted. */
bool trial_fleet_push (struct trial_fleet *fleet);
/** Process @p index of a role in zone @p zone (from 0); NULL when there is
 *  none. */
struct fleet_process *trial_fleet_process (struct trial_fleet *fleet,
                                           enum trial_role role, uint32_t zone,
                                           uint32_t index);
/** Kills a ledger or control member, empties its data folder and restarts
 *  it. */
void trial_fleet_lose_disk (struct trial_fleet *fleet, enum trial_role role,
                            uint32_t zone);
/** Cuts zone @p zone off from the others, or heals its links. */
void trial_fleet_cut_zone (struct trial_fleet *fleet, uint32_t zone, bool cut);
/** Sets the faults of a target (a JSON object); false when it does not accept
 *  them. */
bool trial_fleet_set_faults (struct trial_fleet *fleet, uint32_t zone,
                             uint32_t index, const char *faults);
/** HTTP endpoints of all routers in the order of their zones, ended by
 *  NULL. */
const char *const *trial_fleet_routers (const struct trial_fleet *fleet);
/** Adds to @p oracle what every target served and every ledger billed; names
 *  those that can't be read on standard error. */
void trial_fleet_collect (struct trial_fleet *fleet,
                          struct load_oracle *oracle);
/** Stops all processes with SIGTERM; number of those that did not exit with
 *  status 0 in time. */
uint32_t trial_fleet_stop (struct trial_fleet *fleet);

#endif
