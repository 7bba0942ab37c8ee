/** @file
 *  cactus-ledger: holds an availability zone's shares of prepaid budgets and
 *  serves reservations of their tokens to routers. */

#include <stdint.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "base_log.h"
#include "base_settings.h"
#include "control_client.h"
#include "control_session.h"
#include "http_ready_file.h"
#include "http_status.h"
#include "ledger_server.h"

#define MEBIBYTE (UINT64_C (1024) * 1024)

/* Settings of the process; see main for their meaning. */
struct ledger_options
{
  char *cluster;
  char *host;
  char *availability_zone;
  char *region;
  char *rpc;
  char *http;
  char **control;
  char *data_dir;
  char *ready_file;
  uint64_t bills_mib;
};

static atomic_int stop_signals;
static struct ledger_server *current_server;

/* The first signal stops the server cleanly, the second one ends the process
   at once. */
static void
on_signal (int number)
{
  (void)number;
  if (atomic_fetch_add (&stop_signals, 1) > 0)
    _exit (1);
  if (current_server)
    ledger_server_wake (current_server);
}

static bool
is_ready (void *context)
{
  return ledger_server_is_ready (context);
}

/* Fills in this process's entry in the list of processes at control. */
static void
fill_process (struct wire_process *process,
              const struct ledger_options *options,
              struct ledger_server *server, uint16_t http_port)
{
  static char address[16];
  uint16_t port;
  base_endpoint_split (options->rpc, address, &port);
  process->kind = WIRE_PROCESS_LEDGER;
  process->host = options->host;
  process->availability_zone = options->availability_zone;
  process->region = options->region;
  process->address = address;
  process->rpc_port = ledger_server_port (server);
  process->http_port = http_port;
  process->incarnation = ledger_server_incarnation (server);
}

/* Callbacks of the session with control. */
struct session_callbacks
{
  struct control_session_callbacks base;
  struct ledger_server *server;
};

static void
handle_peers (struct control_session_callbacks *base,
              const struct wire_process *peers, uint32_t count)
{
  struct session_callbacks *callbacks = (struct session_callbacks *)base;
  ledger_server_set_peers (callbacks->server, peers, count);
}

/* Serves until a signal; returns the exit status. */
static int
serve (const struct ledger_options *options, struct ledger_server *server,
       struct control_client *control)
{
  struct session_callbacks callbacks
      = { .base = { .peers = handle_peers }, .server = server };
  char address[16];
  uint16_t port;
  int status = 1;
  struct wire_process process = { 0 };
  struct control_session *session = NULL;
  char *bundle_cache = g_build_filename (options->data_dir, "bundle", NULL);
  base_endpoint_split (options->http, address, &port);
  struct http_status *http = http_status_create (
      address, port, ledger_server_metrics (server), is_ready, server);
  if (!http)
    {
      base_log (BASE_LOG_ERROR, "http-not-listening endpoint=%s",
                options->http);
      goto done;
    }
  fill_process (&process, options, server, http_status_port (http));
  if (control)
    session = control_session_create (control, options->cluster, &process,
                                      bundle_cache, &callbacks.base);
  if (http_ready_file_write (options->ready_file, ledger_server_port (server),
                             http_status_port (http))
      == 0)
    status = 0;
  else
    base_log (BASE_LOG_ERROR, "ready-file-not-written path=%s",
              options->ready_file);
  while (status == 0 && atomic_load (&stop_signals) == 0)
    ledger_server_round (server);
  base_log (BASE_LOG_NOTICE, "stopping");
  if (session)
    control_session_destroy (session);
  http_status_destroy (http);
done:
  g_free (bundle_cache);
  return status;
}

static void
catch_signals (void)
{
  struct sigaction action = { .sa_handler = on_signal };
  sigaction (SIGTERM, &action, NULL);
  sigaction (SIGINT, &action, NULL);
  signal (SIGPIPE, SIG_IGN);
}

/* Creates the server and serves; returns the exit status. */
static int
run (const struct ledger_options *options)
{
  char address[16];
  uint16_t port;
  int status = 1;
  struct base_findings *findings = base_findings_create ();
  struct control_client *control
      = options->control && options->control[0]
            ? control_client_create ((const char *const *)options->control)
            : NULL;
  base_endpoint_split (options->rpc, address, &port);
  struct ledger_server_options server_options
      = { .cluster = options->cluster,
          .host = options->host,
          .data_folder = options->data_dir,
          .rpc_address = address,
          .rpc_port = port,
          .bills_bytes_max = options->bills_mib * MEBIBYTE,
          .control = control };
  current_server = ledger_server_create (&server_options, findings);
  if (current_server)
    {
      catch_signals ();
      status = serve (options, current_server, control);
    }
  base_findings_print (findings, stderr);
  struct ledger_server *server = current_server;
  current_server = NULL;
  ledger_server_destroy (server);
  control_client_destroy (control);
  base_findings_destroy (findings);
  return status;
}

int
main (int argc, char **argv)
{
  struct ledger_options options = { 0 };
  const struct base_setting settings[] = {
    { "cluster", BASE_SETTING_STRING, &options.cluster, "cactus", false, 0, 0,
      "name of the cluster" },
    { "host", BASE_SETTING_STRING, &options.host, NULL, true, 0, 0,
      "unique name of this process" },
    { "availability-zone", BASE_SETTING_STRING, &options.availability_zone,
      NULL, true, 0, 0, "availability zone of this host" },
    { "region", BASE_SETTING_STRING, &options.region, NULL, true, 0, 0,
      "region of this host" },
    { "rpc", BASE_SETTING_ENDPOINT, &options.rpc, "127.0.0.1:0", false, 0, 0,
      "address and port of RPC from routers and ledgers" },
    { "http", BASE_SETTING_ENDPOINT, &options.http, "127.0.0.1:0", false, 0, 0,
      "address and port of /healthz, /readyz and /metrics" },
    { "control", BASE_SETTING_ENDPOINTS, &options.control, NULL, false, 0, 0,
      "control members; without them the ledger gets no shares" },
    { "data-dir", BASE_SETTING_STRING, &options.data_dir, NULL, true, 0, 0,
      "folder of the log, snapshot and bills" },
    { "ready-file", BASE_SETTING_STRING, &options.ready_file, NULL, false, 0,
      0, "file written with the ports when the ledger is ready" },
    { "bills-mib", BASE_SETTING_NUMBER, &options.bills_mib, "4096", false, 1,
      1 << 20, "most MiB of bills to keep; the oldest are removed" },
    { 0 }
  };
  int status = 2;
  enum base_settings_outcome outcome = base_settings_read (
      argc, argv, "Serves an availability zone's shares of prepaid budgets.",
      settings);
  if (outcome == BASE_SETTINGS_EXIT)
    status = 0;
  if (outcome == BASE_SETTINGS_RUN)
    {
      base_log_open ("cactus-ledger", options.host);
      status = run (&options);
    }
  base_settings_clear (settings);
  return status;
}
