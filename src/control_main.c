/** @file
 *  cactus-control: a member of the replicated log. */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include <glib.h>
#include <sodium.h>

#include "base_hash.h"
#include "base_log.h"
#include "base_settings.h"
#include "cactus_config.h"
#include "control_daemon.h"
#include "http_ready_file.h"
#include "http_status.h"

#define SUMMARY                                                               \
  "cactus-control keeps the replicated log: accepted bundles, top-ups, "      \
  "claims and sessions."

/* Settings from the command line. */
struct settings
{
  char *cluster;
  char *host;
  char *availability_zone;
  char *region;
  char *rpc;
  char *http;
  char *data_dir;
  char *ready_file;
  char *members;
  char *root_key;
  uint64_t member_id;
  uint64_t election_ms;
  uint64_t heartbeat_ms;
  uint64_t lease_ms;
  uint64_t snapshot_entries;
};

static struct control_daemon *the_daemon;
static volatile sig_atomic_t signal_count;

static void
on_signal (int number)
{
  static const char line[] = "<4>cactus-control: second signal, ending now\n";
  (void)number;
  if (signal_count++ > 0)
    {
      ssize_t written = write (STDERR_FILENO, line, sizeof line - 1);
      (void)written;
      _exit (1);
    }
  control_daemon_stop (the_daemon);
}

static bool
check_ready (void *context)
{
  return control_daemon_ready (context);
}

/* Fills the options.  Returns 0, or -1 with findings. */
static int
make_options (const struct settings *settings,
              struct control_daemon_options *options, char address[16],
              struct base_findings *findings)
{
  options->cluster = settings->cluster;
  options->host = settings->host;
  options->availability_zone = settings->availability_zone;
  options->member_id = settings->member_id;
  options->data_dir = settings->data_dir;
  options->election_ms = (uint32_t)settings->election_ms;
  options->heartbeat_ms = (uint32_t)settings->heartbeat_ms;
  options->lease_ms = (uint32_t)settings->lease_ms;
  options->snapshot_entries = settings->snapshot_entries;
  base_endpoint_split (settings->rpc, address, &options->port);
  options->address = address;
  consensus_configuration_parse (&options->members, settings->members,
                                 "--members", findings);
  if (!consensus_configuration_find (&options->members, settings->member_id))
    base_findings_add (findings, "--members",
                       "has no member with the id of --member-id");
  options->has_root_key = settings->root_key != NULL;
  if (settings->root_key
      && base_hex_read (options->root_key, sizeof options->root_key,
                        settings->root_key)
             != 0)
    base_findings_add (findings, "--root-key",
                       "must be 64 hexadecimal digits");
  return base_findings_count (findings) == 0 ? 0 : -1;
}

static void
catch_signals (void)
{
  struct sigaction action = { .sa_handler = on_signal };
  sigemptyset (&action.sa_mask);
  sigaction (SIGTERM, &action, NULL);
  sigaction (SIGINT, &action, NULL);
}

static int
run (const struct settings *settings)
{
  char address[16];
  char http_address[16];
  uint16_t http_port = 0;
  int status = 2;
  struct http_status *pages = NULL;
  struct base_findings *findings = base_findings_create ();
  struct base_metrics *metrics = base_metrics_create ();
  struct control_daemon_options options = { .metrics = metrics };
  if (make_options (settings, &options, address, findings) != 0)
    goto done;
  the_daemon = control_daemon_create (&options, findings);
  if (!the_daemon)
    goto done;
  catch_signals ();
  base_endpoint_split (settings->http, http_address, &http_port);
  pages = http_status_create (http_address, http_port, metrics, check_ready,
                              the_daemon);
  if (!pages)
    {
      base_findings_add (findings, "--http", "can't listen on %s",
                         settings->http);
      goto done;
    }
  if (http_ready_file_write (settings->ready_file,
                             control_daemon_port (the_daemon),
                             http_status_port (pages))
      != 0)
    {
      base_findings_add (findings, "--ready-file", "can't be written");
      goto done;
    }
  base_log (BASE_LOG_NOTICE, "serving rpc_port=%u http_port=%u",
            control_daemon_port (the_daemon), http_status_port (pages));
  status = control_daemon_run (the_daemon) == 0 ? 0 : 1;
  base_log (BASE_LOG_NOTICE, "ended status=%d", status);
done:
  base_findings_print (findings, stderr);
  http_status_destroy (pages);
  control_daemon_destroy (the_daemon);
  base_metrics_destroy (metrics);
  base_findings_destroy (findings);
  return status;
}

int
main (int argc, char **argv)
{
  struct settings settings = { 0 };
  const struct base_setting table[] = {
    { "cluster", BASE_SETTING_STRING, &settings.cluster, "cactus", false, 0, 0,
      "Name of the cluster" },
    { "host", BASE_SETTING_STRING, &settings.host, NULL, true, 0, 0,
      "Unique name of this process" },
    { "availability-zone", BASE_SETTING_STRING, &settings.availability_zone,
      "", false, 0, 0, "Availability zone of this host" },
    { "region", BASE_SETTING_STRING, &settings.region, "", false, 0, 0,
      "Region of this host" },
    { "rpc", BASE_SETTING_ENDPOINT, &settings.rpc, NULL, true, 0, 0,
      "Address and port to serve ONC RPC on" },
    { "http", BASE_SETTING_ENDPOINT, &settings.http, "127.0.0.1:0", false, 0,
      0, "Address and port of /healthz, /readyz, /metrics" },
    { "data-dir", BASE_SETTING_STRING, &settings.data_dir, NULL, true, 0, 0,
      "Folder for the log and the snapshot" },
    { "ready-file", BASE_SETTING_STRING, &settings.ready_file, NULL, false, 0,
      0, "File to write the ports to once serving" },
    { "member-id", BASE_SETTING_NUMBER, &settings.member_id, NULL, true, 1,
      1000000, "Id of this member" },
    { "members", BASE_SETTING_STRING, &settings.members, NULL, true, 0, 0,
      "Members that bootstrap the log, ID@A.B.C.D:PORT,..." },
    { "root-key", BASE_SETTING_STRING, &settings.root_key, NULL, false, 0, 0,
      "Public key that verifies version 1, in hexadecimal" },
    { "election-ms", BASE_SETTING_NUMBER, &settings.election_ms, "400", false,
      50, 60000, "Shortest election timeout, in milliseconds" },
    { "heartbeat-ms", BASE_SETTING_NUMBER, &settings.heartbeat_ms, "75", false,
      5, 10000, "Interval of the leader's heartbeats, in milliseconds" },
    { "lease-ms", BASE_SETTING_NUMBER, &settings.lease_ms, "5000", false, 100,
      600000, "Lifetime of a session without a heartbeat, in milliseconds" },
    { "snapshot-entries", BASE_SETTING_NUMBER, &settings.snapshot_entries,
      "16384", false, 1, 1000000,
      "Number of log entries after which a snapshot replaces them" },
    { 0 }
  };
  enum base_settings_outcome outcome
      = base_settings_read (argc, argv, SUMMARY, table);
  int status = outcome == BASE_SETTINGS_EXIT ? 0 : 2;
  if (outcome == BASE_SETTINGS_RUN)
    {
      base_log_open ("cactus-control", settings.host);
      status = sodium_init () < 0 ? 1 : run (&settings);
    }
  base_settings_clear (table);
  return status;
}
