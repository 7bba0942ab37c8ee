#ifndef LEDGER_SERVER_H
#define LEDGER_SERVER_H

/** @file
 *  Serves the ledger protocol: operations of a round are applied, synced with
 *  one write, then answered. */

#include <stdbool.h>
#include <stdint.h>

#include "base_findings.h"
#include "base_metrics.h"
#include "control_client.h"
#include "wire_common.h"

struct ledger_server;

/** What a server is made from; strings are kept by the caller. */
struct ledger_server_options
{
  const char *cluster;
  const char *host;
  const char *data_folder;
  const char *rpc_address;
  uint16_t rpc_port;
  /** Most bytes of sealed bills that are kept. */
  uint64_t bills_bytes_max;
  /** NULL for none. */
  struct control_client *control;
};

/** Opens the data folder and listens; NULL with findings. */
struct ledger_server *
ledger_server_create (const struct ledger_server_options *options,
                      struct base_findings *findings);
/** Commits, makes a snapshot and frees the server. */
void ledger_server_destroy (struct ledger_server *server);
/** Runs one round. */
void ledger_server_round (struct ledger_server *server);
/** Ends the wait of the round; any thread, also in a signal handler. */
void ledger_server_wake (struct ledger_server *server);
/** Port that is listened on. */
uint16_t ledger_server_port (const struct ledger_server *server);
/** Incarnation of the data folder. */
uint64_t ledger_server_incarnation (const struct ledger_server *server);
/** Tells which processes live; keys are reconciled with the other ledgers.
 *  Any thread. */
void ledger_server_set_peers (struct ledger_server *server,
                              const struct wire_process *peers,
                              uint32_t count);
/** Metrics of the process. */
struct base_metrics *ledger_server_metrics (struct ledger_server *server);
/** Whether reservations are served; any thread. */
bool ledger_server_is_ready (struct ledger_server *server);

#endif
