#ifndef LEDGER_SERVER_H
#define LEDGER_SERVER_H

/** @file
 *  Server of the ledger protocol.  It works in rounds: apply the operations
 *  that arrived, sync them to the log with one write, then answer them. */

#include <stdbool.h>
#include <stdint.h>

#include "base_findings.h"
#include "base_metrics.h"
#include "control_client.h"
#include "wire_common.h"

/** A ledger's server with its open data folder. */
struct ledger_server;

/** Options of a server; the caller keeps the strings. */
struct ledger_server_options
{
  const char *cluster;
  const char *host;
  const char *data_folder;
  const char *rpc_address;
  uint16_t rpc_port;
  /** Maximum size of the sealed bills that are kept, in bytes. */
  uint64_t bills_bytes_max;
  /** Client for calls to control; NULL for a ledger without control. */
  struct control_client *control;
};

/** Opens the data folder and listens.  Returns NULL and adds findings on
 *  failure. */
struct ledger_server *
ledger_server_create (const struct ledger_server_options *options,
                      struct base_findings *findings);
/** Commits, writes a snapshot and frees the server. */
void ledger_server_destroy (struct ledger_server *server);
/** Runs one round. */
void ledger_server_round (struct ledger_server *server);
/** Ends the wait of the current round.  Thread-safe and callable from a signal
 *  handler. */
void ledger_server_wake (struct ledger_server *server);
/** Returns the port that the server listens on. */
uint16_t ledger_server_port (const struct ledger_server *server);
/** Returns the incarnation of the data folder. */
uint64_t ledger_server_incarnation (const struct ledger_server *server);
/** Replaces the list of live processes; bills are reconciled with the ledgers
 *  among them.  Thread-safe. */
void ledger_server_set_peers (struct ledger_server *server,
                              const struct wire_process *peers,
                              uint32_t count);
/** Returns the metrics of the process. */
struct base_metrics *ledger_server_metrics (struct ledger_server *server);
/** Whether reservations are served: the log can be written and the ledger is
 *  not fenced.  Thread-safe. */
bool ledger_server_is_ready (struct ledger_server *server);

#endif
