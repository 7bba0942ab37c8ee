#ifndef ROUTER_RIG_H
#define ROUTER_RIG_H

/** @file
 *  Runs one router with a control member, a ledger and targets as processes
 *  on loopback, for tests and benchmarks. */

#include <stdbool.h>
#include <stdint.h>

#include "fleet_process.h"

/** API key of the account "alice", which may use all services. */
#define ROUTER_RIG_KEY "alice-key"
/** API key of the account "carol", which has a rule but no tokens. */
#define ROUTER_RIG_NO_TOKENS_KEY "carol-key"
/** API key of the account "bob", which has no rule. */
#define ROUTER_RIG_NO_RULE_KEY "bob-key"
/** Name of the model service, name of the plain service, and tokens that a
 *  call of the plain service costs. */
#define ROUTER_RIG_MODEL "writer"
#define ROUTER_RIG_PLAIN "shop"
#define ROUTER_RIG_CALL_TOKENS 3
/** Tokens of alice's budget. */
#define ROUTER_RIG_TOKENS 100000000

struct router_rig;

/** Starts control, a ledger and a router, and waits until the router is ready;
 *  aborts the test on failure.  @p arguments are additional ones for the
 *  router, ended by NULL. */
struct router_rig *router_rig_create (const char *const *arguments);
/** Kills all processes of the rig and removes their files. */
void router_rig_destroy (struct router_rig *rig);
/** Starts a target of @p service with additional arguments (ended by NULL) and
 *  waits until the router lists it. */
struct fleet_process *router_rig_start_target (struct router_rig *rig,
                                               const char *name,
                                               const char *service,
                                               const char *const *arguments);
/** Waits until the router lists a target; aborts the test when it doesn't in
 *  time. */
void router_rig_wait_listed (struct router_rig *rig, const char *target);
/** Kills the router, restarts it on the same port and waits until it is ready
 *  and lists @p target. */
void router_rig_restart_router (struct router_rig *rig, const char *target);
/** The router's process. */
struct fleet_process *router_rig_router (struct router_rig *rig);
/** The ledger's process. */
struct fleet_process *router_rig_ledger (struct router_rig *rig);
/** The control member's process. */
struct fleet_process *router_rig_control (struct router_rig *rig);
/** HTTP port of the router. */
uint16_t router_rig_port (struct router_rig *rig);
/** Waits until /readyz of the router answers with status 200; aborts the test
 *  when it doesn't in time. */
void router_rig_wait_ready (struct router_rig *rig);
/** Drains a target through control, or ends the draining. */
void router_rig_drain (struct router_rig *rig, const char *target, bool drain);
/** Sets the faults that a target injects; @p faults is a JSON object. */
void router_rig_set_faults (struct fleet_process *target, const char *faults);
/** Total of tokens that the ledger has billed to alice. */
uint64_t router_rig_billed (struct router_rig *rig);
/** Total of alice's tokens that the ledger has written off. */
uint64_t router_rig_written_off (struct router_rig *rig);
/** Waits until alice has no reservation left; returns the tokens billed by
 *  then. */
uint64_t router_rig_wait_settled (struct router_rig *rig);
/** Sums a JSON member ("runs", "tokens" or "complete_runs") over all records
 *  of a target's oracle, which lists the requests it really ran. */
uint64_t router_rig_oracle_sum (struct fleet_process *target,
                                const char *member);

#endif
