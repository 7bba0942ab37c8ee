#ifndef ROUTER_RIG_H
#define ROUTER_RIG_H

/** @file
 *  Real processes around one router, for tests and benchmarks: a control
 *  member, a ledger, the router and targets, on loopback. */

#include <stdbool.h>
#include <stdint.h>

#include "fleet_process.h"

/** Key of the account "alice", which may use everything. */
#define ROUTER_RIG_KEY "alice-key"
/** Key of the account "carol", which has a rule but no tokens. */
#define ROUTER_RIG_NO_TOKENS_KEY "carol-key"
/** Key of the account "bob", which has no rule. */
#define ROUTER_RIG_NO_RULE_KEY "bob-key"
/** Model service, plain service, and what a call of the latter costs. */
#define ROUTER_RIG_MODEL "writer"
#define ROUTER_RIG_PLAIN "shop"
#define ROUTER_RIG_CALL_TOKENS 3
/** Tokens that alice has. */
#define ROUTER_RIG_TOKENS 100000000

struct router_rig;

/** Starts control, a ledger and a router with more @p arguments (ended by
 *  NULL); aborts the test when one doesn't start. */
struct router_rig *router_rig_create (const char *const *arguments);
/** Kills what runs and removes its files. */
void router_rig_destroy (struct router_rig *rig);
/** Starts a target of @p service with more arguments (ended by NULL) and
 *  waits until the router knows it. */
struct fleet_process *router_rig_start_target (struct router_rig *rig,
                                               const char *name,
                                               const char *service,
                                               const char *const *arguments);
/** Kills the router, starts it anew on its port and waits until it knows
 *  @p target. */
void router_rig_restart_router (struct router_rig *rig, const char *target);
/** The router. */
struct fleet_process *router_rig_router (struct router_rig *rig);
/** The ledger. */
struct fleet_process *router_rig_ledger (struct router_rig *rig);
/** The control member. */
struct fleet_process *router_rig_control (struct router_rig *rig);
/** HTTP port of the router. */
uint16_t router_rig_port (struct router_rig *rig);
/** Waits until /readyz of the router says ready; aborts otherwise. */
void router_rig_wait_ready (struct router_rig *rig);
/** Has control drain a target, or undrain it. */
void router_rig_drain (struct router_rig *rig, const char *target, bool drain);
/** Sets the faults of a target, a JSON object. */
void router_rig_set_faults (struct fleet_process *target, const char *faults);
/** Tokens that the ledger billed alice in all. */
uint64_t router_rig_billed (struct router_rig *rig);
/** Tokens of alice's that the ledger wrote off. */
uint64_t router_rig_written_off (struct router_rig *rig);
/** Waits until nothing of alice's is reserved; tokens billed then. */
uint64_t router_rig_wait_settled (struct router_rig *rig);
/** Sum of a member ("runs", "tokens", "complete_runs") over a target's
 *  oracle. */
uint64_t router_rig_oracle_sum (struct fleet_process *target,
                                const char *member);

#endif
