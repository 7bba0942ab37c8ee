#ifndef LEDGER_RIG_H
#define LEDGER_RIG_H

/** @file
 *  Runs cactus-ledger processes with a stand-in for control, for tests and
 *  benchmarks.  The stand-in is one thread that serves a token pool.  A
 *  process can have only one rig at a time. */

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "ledger_client.h"

/** The stand-in for control, and the folder of its ledgers. */
struct ledger_rig;

/** A running cactus-ledger process. */
struct ledger_rig_process
{
  pid_t pid;
  uint16_t rpc_port;
  uint16_t http_port;
};

/** Starts the stand-in for control. */
struct ledger_rig *ledger_rig_create (void);
/** Stops the stand-in for control and removes all folders; stop the ledgers
 *  first. */
void ledger_rig_destroy (struct ledger_rig *rig);
/** Starts ledger @p host and waits until it is ready; false when it ended or
 *  wasn't ready in time.  Stores the log of the ledger in @p messages, if not
 *  NULL; free it with g_free. */
bool ledger_rig_start (struct ledger_rig *rig, const char *host,
                       struct ledger_rig_process *process, char **messages);
/** The same with another program than cactus-ledger. */
bool ledger_rig_start_program (struct ledger_rig *rig, const char *program,
                               const char *host,
                               struct ledger_rig_process *process,
                               char **messages);
/** Fills the disk of a ledger that runs cactus-ledger-full, as
 *  tests/full_disk.c describes; NULL makes room. */
void ledger_rig_fill (const struct ledger_rig *rig, const char *host,
                      const char *how);
/** Sends a signal and waits for the ledger to end; returns its exit status, or
 *  -1 when a signal ended it. */
int ledger_rig_stop (struct ledger_rig_process *process, int signal_number);
/** Returns the data folder of ledger @p host, freed with g_free. */
char *ledger_rig_folder (const struct ledger_rig *rig, const char *host);
/** Tops up a budget of an account. */
void ledger_rig_top_up (struct ledger_rig *rig, const char *account,
                        const char *budget, uint64_t tokens);
/** Tops up @p count budgets, "b0" and up, of the account "account" by @p
 *  tokens each. */
void ledger_rig_top_up_many (struct ledger_rig *rig, uint32_t count,
                             uint64_t tokens);
/** While @p unavailable, control answers the ledgers with
 *  CONTROL_UNAVAILABLE. */
void ledger_rig_set_control_unavailable (struct ledger_rig *rig,
                                         bool unavailable);
/** Returns the tokens of a budget that control has not allocated to a
 *  ledger. */
uint64_t ledger_rig_unallocated (struct ledger_rig *rig, uint64_t budget_id);
/** Returns the endpoint of a ledger, for ledger_client. */
struct ledger_endpoint
ledger_rig_endpoint (const char *host,
                     const struct ledger_rig_process *process);
/** Sends one request and waits for its result; false when the request was
 *  lost. */
bool ledger_rig_call (struct ledger_client *client,
                      struct ledger_request *request);

#endif
