/** @file
 *  cactus-router: routes callers' requests to targets, within their token
 *  budgets. */

#include <inttypes.h>
#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

#include <curl/curl.h>
#include <sodium.h>

#include "base_clock.h"
#include "base_log.h"
#include "base_random.h"
#include "base_settings.h"
#include "control_session.h"
#include "http_ready_file.h"
#include "router.h"
#include "router_http.h"
#include "router_peers.h"
#include "router_session.h"

#define DRAIN_POLL_MS 20
#define LEDGER_DRAIN_MS 5000
#define EXIT_BAD_SETTINGS 2
#define INCARNATION_RANDOM_BITS 20

struct router_settings
{
  char *cluster;
  char *host;
  char *availability_zone;
  char *region;
  char *rpc;
  char *http;
  char **control;
  char **ledgers;
  char *data_dir;
  char *ready_file;
  uint64_t workers;
  uint64_t http_threads;
  uint64_t retry_percent;
  uint64_t stall_ms;
  uint64_t caller_timeout_s;
  uint64_t drain_limit_ms;
  uint64_t metrics_accounts;
};

static struct router_settings settings;

static const struct base_setting setting_list[] = {
  { "cluster", BASE_SETTING_STRING, &settings.cluster, "cactus", false, 0, 0,
    "Name of the cluster" },
  { "host", BASE_SETTING_STRING, &settings.host, NULL, true, 0, 0,
    "Unique name of this process" },
  { "availability-zone", BASE_SETTING_STRING, &settings.availability_zone,
    NULL, true, 0, 0, "Availability zone" },
  { "region", BASE_SETTING_STRING, &settings.region, NULL, true, 0, 0,
    "Region" },
  { "rpc", BASE_SETTING_ENDPOINT, &settings.rpc, "127.0.0.1:0", false, 0, 0,
    "Address and port for other routers" },
  { "http", BASE_SETTING_ENDPOINT, &settings.http, "127.0.0.1:0", false, 0, 0,
    "Address and port for callers and targets" },
  { "control", BASE_SETTING_ENDPOINTS, &settings.control, NULL, true, 0, 0,
    "Addresses of the members of control" },
  { "ledgers", BASE_SETTING_ENDPOINTS, &settings.ledgers, NULL, false, 0, 0,
    "Ledgers to use instead of those that control lists" },
  { "data-dir", BASE_SETTING_STRING, &settings.data_dir, NULL, false, 0, 0,
    "Folder that keeps the newest bundle across restarts" },
  { "ready-file", BASE_SETTING_STRING, &settings.ready_file, NULL, false, 0, 0,
    "File to write the ports to" },
  { "workers", BASE_SETTING_NUMBER, &settings.workers, "2", false, 1, 64,
    "Worker threads, which send requests to targets" },
  { "http-threads", BASE_SETTING_NUMBER, &settings.http_threads, "2", false, 2,
    64, "HTTP threads, which serve callers" },
  { "retry-percent", BASE_SETTING_NUMBER, &settings.retry_percent, "20", false,
    0, 100, "Retries allowed, in percent of the requests" },
  { "stall-ms", BASE_SETTING_NUMBER, &settings.stall_ms, "10000", false, 100,
    3600000,
    "Longest time without data within a streamed response, in milliseconds" },
  { "caller-timeout-s", BASE_SETTING_NUMBER, &settings.caller_timeout_s, "30",
    false, 1, 3600,
    "Longest time without progress on a caller's connection, in seconds" },
  { "drain-limit-ms", BASE_SETTING_NUMBER, &settings.drain_limit_ms, "900000",
    false, 0, 86400000, "Longest graceful shutdown, in milliseconds" },
  { "metrics-accounts", BASE_SETTING_NUMBER, &settings.metrics_accounts, "256",
    false, 1, 100000, "Client accounts with metrics of their own" },
  { 0 }
};

/* Components of a running router. */
struct router_process
{
  struct base_metrics *set;
  struct control_client *control;
  struct ledger_client *ledger;
  struct router *router;
  struct router_http *http_server;
  struct router_peers *peers;
  struct router_session session;
  struct control_session *control_session;
};

static uint64_t
make_incarnation (void)
{
  uint64_t random = base_random_system_seed ();
  uint64_t mask = (UINT64_C (1) << INCARNATION_RANDOM_BITS) - 1;
  return (base_clock_wall_ms (base_clock_system ()) << INCARNATION_RANDOM_BITS)
         | (random & mask);
}

static bool
create_router (struct router_process *process,
               const struct router_identity *identity)
{
  struct router_options options = { 0 };
  options.workers = (uint32_t)settings.workers;
  options.retry_percent = (uint32_t)settings.retry_percent;
  options.stall_ms = (uint32_t)settings.stall_ms;
  options.metrics_accounts = (uint32_t)settings.metrics_accounts;
  process->set = base_metrics_create ();
  process->control
      = control_client_create ((const char *const *)settings.control);
  process->ledger = ledger_client_create (
      identity->cluster, identity->host, identity->incarnation,
      identity->availability_zone, identity->region);
  process->router = router_create (identity, &options, process->set,
                                   process->ledger, process->control);
  return process->router != NULL;
}

static bool
listen_to_callers (struct router_process *process)
{
  char address[16];
  uint16_t port;
  base_endpoint_split (settings.http, address, &port);
  process->http_server = router_http_create (
      process->router, address, port, (uint32_t)settings.http_threads,
      (uint32_t)settings.caller_timeout_s);
  if (!process->http_server)
    base_log (BASE_LOG_ERROR,
              "can't listen on the HTTP address; the router exits http=%s",
              settings.http);
  return process->http_server != NULL;
}

static bool
listen_to_peers (struct router_process *process)
{
  char address[16];
  uint16_t port;
  base_endpoint_split (settings.rpc, address, &port);
  process->peers = router_peers_create (process->router, address, port);
  if (!process->peers)
    base_log (BASE_LOG_ERROR,
              "can't listen on the RPC address; the router exits rpc=%s",
              settings.rpc);
  return process->peers != NULL;
}

static void
open_session (struct router_process *process,
              const struct router_identity *identity)
{
  char address[16];
  uint16_t port;
  struct wire_process self = { 0 };
  char *cache = settings.data_dir
                    ? g_build_filename (settings.data_dir, "bundle", NULL)
                    : NULL;
  base_endpoint_split (settings.rpc, address, &port);
  self.kind = WIRE_PROCESS_ROUTER;
  self.host = settings.host;
  self.availability_zone = settings.availability_zone;
  self.region = settings.region;
  self.address = address;
  self.rpc_port = router_peers_port (process->peers);
  self.http_port = router_http_port (process->http_server);
  self.incarnation = identity->incarnation;
  router_peers_start (process->peers, &self);
  struct gossip *gossip = router_peers_gossip (process->peers);
  atomic_store (&process->router->gossip, gossip);
  router_session_init (&process->session, process->router, gossip);
  if (settings.ledgers)
    router_session_set_fixed_ledgers (&process->session,
                                      (const char *const *)settings.ledgers);
  process->control_session
      = control_session_create (process->control, identity->cluster, &self,
                                cache, &process->session.callbacks);
  router_peers_set_session (process->peers, process->control_session);
  g_free (cache);
}

static int
wait_signal (const sigset_t *signals, uint32_t wait_ms)
{
  struct timespec wait = { 0 };
  wait.tv_sec = wait_ms / 1000;
  wait.tv_nsec = (long)(wait_ms % 1000) * 1000000L;
  return sigtimedwait (signals, NULL, &wait);
}

/* Logs how many open requests are cut off, then exits at once. */
static void
exit_with_open_requests (struct router *router, const char *reason)
{
  base_log (BASE_LOG_ERROR,
            "shutdown not graceful, open requests are cut off reason=\"%s\" "
            "cut=%" PRIu32,
            reason, atomic_load (&router->open_requests));
  _exit (EXIT_FAILURE);
}

static void
drain (struct router *router, const sigset_t *signals)
{
  uint64_t until_ms
      = base_clock_now_ms (base_clock_system ()) + settings.drain_limit_ms;
  atomic_store (&router->draining, true);
  base_log (BASE_LOG_NOTICE,
            "shutdown begins, waiting for open requests open=%" PRIu32,
            atomic_load (&router->open_requests));
  while (atomic_load (&router->open_requests) > 0)
    {
      if (wait_signal (signals, DRAIN_POLL_MS) > 0)
        exit_with_open_requests (router, "second signal");
      if (base_clock_now_ms (base_clock_system ()) > until_ms)
        exit_with_open_requests (router, "drain limit");
    }
}

static void
destroy_process (struct router_process *process)
{
  if (process->peers)
    router_peers_set_session (process->peers, NULL);
  router_http_destroy (process->http_server);
  if (process->router)
    atomic_store (&process->router->gossip, NULL);
  if (process->control_session)
    control_session_destroy (process->control_session);
  router_peers_destroy (process->peers);
  uint32_t unsettled
      = process->ledger
            ? ledger_client_destroy (process->ledger, LEDGER_DRAIN_MS)
            : 0;
  if (unsettled > 0)
    base_log (
        BASE_LOG_WARNING,
        "operations at ledgers without an answer, dropped count=%" PRIu32,
        unsettled);
  router_destroy (process->router);
  if (process->control)
    control_client_destroy (process->control);
  base_metrics_destroy (process->set);
}

static int
run_router (const sigset_t *signals)
{
  struct router_process process = { 0 };
  struct router_identity identity
      = { settings.cluster, settings.host, settings.availability_zone,
          settings.region, make_incarnation () };
  int status = EXIT_FAILURE;
  if (!create_router (&process, &identity) || !listen_to_callers (&process)
      || !listen_to_peers (&process))
    goto done;
  open_session (&process, &identity);
  http_ready_file_write (settings.ready_file,
                         router_peers_port (process.peers),
                         router_http_port (process.http_server));
  base_log (BASE_LOG_NOTICE, "router serves port=%u",
            (unsigned)router_http_port (process.http_server));
  while (wait_signal (signals, UINT16_MAX) < 0)
    continue;
  drain (process.router, signals);
  status = EXIT_SUCCESS;
done:
  destroy_process (&process);
  base_log (BASE_LOG_NOTICE, "router stopped");
  return status;
}

int
main (int argc, char **argv)
{
  sigset_t signals;
  int status = EXIT_SUCCESS;
  enum base_settings_outcome outcome = base_settings_read (
      argc, argv,
      "Routes callers' requests to targets, within their token budgets.",
      setting_list);
  if (outcome != BASE_SETTINGS_RUN)
    {
      status
          = outcome == BASE_SETTINGS_EXIT ? EXIT_SUCCESS : EXIT_BAD_SETTINGS;
      goto done;
    }
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  signal (SIGPIPE, SIG_IGN);
  base_log_open ("cactus-router", settings.host);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  if (sodium_init () < 0)
    status = EXIT_FAILURE;
  else
    status = run_router (&signals);
  curl_global_cleanup ();
done:
  base_settings_clear (setting_list);
  return status;
}
