#ifndef LEDGER_RIG_H
#define LEDGER_RIG_H

/** @file
 *  Runs cactus-ledger processes against a control of one thread that holds a
 *  pool, for tests and benchmarks.  One rig a process. */

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "ledger_client.h"

/** A control and the folder of its ledgers. */
struct ledger_rig;

/** A started ledger. */
struct ledger_rig_process
{
  pid_t pid;
  uint16_t rpc_port;
  uint16_t http_port;
};

/** Starts the control. */
struct ledger_rig *ledger_rig_create (void);
/** Stops it and removes the folders; ledgers were stopped before. */
void ledger_rig_destroy (struct ledger_rig *rig);
/** Starts ledger @p host and waits until it serves; false when it ended
 *  instead, and then its messages are in @p messages (g_free), if not NULL. */
bool ledger_rig_start (struct ledger_rig *rig, const char *host,
                       struct ledger_rig_process *process, char **messages);
/** Sends the signal and waits for the end; the exit status. */
int ledger_rig_stop (struct ledger_rig_process *process, int signal_number);
/** Data folder of ledger @p host, freed with g_free. */
char *ledger_rig_folder (const struct ledger_rig *rig, const char *host);
/** Tops up a budget. */
void ledger_rig_top_up (struct ledger_rig *rig, const char *account,
                        const char *budget, uint64_t tokens);
/** Tops up @p count budgets whose ids are 1 and up, at once. */
void ledger_rig_top_up_many (struct ledger_rig *rig, uint32_t count,
                             uint64_t tokens);
/** Cuts the ledgers off from control. */
void ledger_rig_set_control_unavailable (struct ledger_rig *rig, bool cut);
/** Tokens of a budget that control still holds. */
uint64_t ledger_rig_unallocated (struct ledger_rig *rig, uint64_t budget_id);
/** Where the ledger is, for a client. */
struct ledger_endpoint
ledger_rig_endpoint (const char *host,
                     const struct ledger_rig_process *process);
/** Sends one operation and waits for its result; false when it was lost. */
bool ledger_rig_call (struct ledger_client *client,
                      struct ledger_request *request);

#endif
