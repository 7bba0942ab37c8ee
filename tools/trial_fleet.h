#ifndef TRIAL_FLEET_H
#define TRIAL_FLEET_H

/** @file
 *  A fleet of real processes in three availability zones of two regions on
 *  loopback addresses, with links between the zones that can be cut. */

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

/** Describes a fleet for @p mix with its files under @p folder (made when
 *  missing): in each zone one control member, one ledger, @p routers routers
 *  and the targets of the deployment. */
struct trial_fleet *trial_fleet_create (const struct load_mix *mix,
                                        const char *folder, uint32_t routers);
/** Kills what runs and frees all. */
void trial_fleet_destroy (struct trial_fleet *fleet);
/** Starts all processes, pushes the bundle, and waits until every router
 *  serves; false with a line on standard error. */
bool trial_fleet_start (struct trial_fleet *fleet);
/** Tops every account up with @p tokens; false when one was refused. */
bool trial_fleet_top_up (struct trial_fleet *fleet, uint64_t tokens);
/** Tokens that account @p account was topped up with so far. */
uint64_t trial_fleet_topped_up (const struct trial_fleet *fleet,
                                uint32_t account);
/** Pushes the next version of the bundle; false when it was not accepted. */
bool trial_fleet_push (struct trial_fleet *fleet);
/** Process @p index of a role in zone @p zone (0 to 2), or NULL. */
struct fleet_process *trial_fleet_process (struct trial_fleet *fleet,
                                           enum trial_role role, uint32_t zone,
                                           uint32_t index);
/** Kills a ledger or control member, empties its data folder and starts it
 *  again. */
void trial_fleet_lose_disk (struct trial_fleet *fleet, enum trial_role role,
                            uint32_t zone);
/** Cuts zone @p zone from the others, or heals it. */
void trial_fleet_cut_zone (struct trial_fleet *fleet, uint32_t zone, bool cut);
/** Sets the faults of a target (a JSON object); false when it does not take
 *  them. */
bool trial_fleet_set_faults (struct trial_fleet *fleet, uint32_t zone,
                             uint32_t index, const char *faults);
/** HTTP endpoints of all routers, ended by NULL: zone 0 first. */
const char *const *trial_fleet_routers (const struct trial_fleet *fleet);
/** Asks every target and ledger what it served and billed. */
void trial_fleet_collect (struct trial_fleet *fleet,
                          struct load_oracle *oracle);
/** Stops all processes with SIGTERM; number that did not end with status 0
 *  in time. */
uint32_t trial_fleet_stop (struct trial_fleet *fleet);

#endif
