/** @file
 *  cactus-target: stand-in for a model engine or a plain service. */

#include <signal.h>
#include <stdlib.h>

#include <curl/curl.h>

#include "base_log.h"
#include "base_settings.h"
#include "http_ready_file.h"
#include "target_announcer.h"
#include "target_engine.h"
#include "target_server.h"

/* While it leaves, the target polls for requests in progress, and stops after
   this many polls in a row without one (0.5 s). */
#define DRAIN_POLL_US 20000
#define DRAIN_IDLE_POLLS 25
/* Interval between two writes of the oracle file. */
#define ORACLE_INTERVAL_NS 200000000L

struct target_settings
{
  char *target;
  char *service;
  char *availability_zone;
  char *region;
  char *http;
  char **routers;
  char *ready_file;
  char *oracle_file;
  uint64_t slots;
  uint64_t queue_limit;
  uint64_t first_token_ms;
  uint64_t token_rate;
  uint64_t call_ms;
  uint64_t answer_tokens;
  uint64_t weight;
  uint64_t threads;
};

static struct target_settings settings;

static const struct base_setting setting_list[] = {
  { "target", BASE_SETTING_STRING, &settings.target, NULL, true, 0, 0,
    "Name of the target" },
  { "service", BASE_SETTING_STRING, &settings.service, NULL, true, 0, 0,
    "Service that the target belongs to" },
  { "availability-zone", BASE_SETTING_STRING, &settings.availability_zone,
    "zone-a", false, 0, 0, "Availability zone" },
  { "region", BASE_SETTING_STRING, &settings.region, "region-a", false, 0, 0,
    "Region" },
  { "http", BASE_SETTING_ENDPOINT, &settings.http, "127.0.0.1:0", false, 0, 0,
    "Address and port to listen on" },
  { "routers", BASE_SETTING_ENDPOINTS, &settings.routers, NULL, false, 0, 0,
    "HTTP endpoints of the routers to announce to" },
  { "ready-file", BASE_SETTING_STRING, &settings.ready_file, NULL, false, 0, 0,
    "File to write the ports to" },
  { "oracle-file", BASE_SETTING_STRING, &settings.oracle_file, NULL, false, 0,
    0, "File that the served runs are written to" },
  { "slots", BASE_SETTING_NUMBER, &settings.slots, "16", false, 1, 100000,
    "Requests served at once" },
  { "queue-limit", BASE_SETTING_NUMBER, &settings.queue_limit, "64", false, 0,
    100000, "Requests that may wait for a slot" },
  { "first-token-ms", BASE_SETTING_NUMBER, &settings.first_token_ms, "20",
    false, 0, 600000, "Time to the first token, in milliseconds" },
  { "token-rate", BASE_SETTING_NUMBER, &settings.token_rate, "200", false, 1,
    1000000, "Tokens a second of one request" },
  { "call-ms", BASE_SETTING_NUMBER, &settings.call_ms, "5", false, 0, 600000,
    "Time of one plain call, in milliseconds" },
  { "answer-tokens", BASE_SETTING_NUMBER, &settings.answer_tokens, "0", false,
    0, 1000000, "Length of every answer in tokens; 0: from the prompt" },
  { "weight", BASE_SETTING_NUMBER, &settings.weight, "100", false, 1, 1000,
    "Relative speed, announced to the routers" },
  { "threads", BASE_SETTING_NUMBER, &settings.threads, "2", false, 2, 64,
    "Threads of the HTTP server" },
  { 0 }
};

/* Waits for a stop signal and updates the oracle file until it comes. */
static void
wait_for_stop (struct target_oracle *oracle)
{
  struct timespec wait = { .tv_nsec = ORACLE_INTERVAL_NS };
  sigset_t signals;
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  while (sigtimedwait (&signals, NULL, &wait) < 0)
    target_oracle_save (oracle, settings.oracle_file);
}

static void
block_signals (void)
{
  sigset_t signals;
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  signal (SIGPIPE, SIG_IGN);
}

/* Waits until no request has run or waited during DRAIN_IDLE_POLLS polls;
   routers may send further ones until they know that the target leaves. */
static void
wait_until_idle (struct target_engine *engine)
{
  uint32_t running;
  uint32_t queued;
  for (uint32_t idle = 0; idle < DRAIN_IDLE_POLLS;)
    {
      target_engine_counts (engine, &running, &queued);
      idle = running + queued == 0 ? idle + 1 : 0;
      g_usleep (DRAIN_POLL_US);
    }
}

static void
serve (struct target_server *server, struct target_engine *engine,
       struct target_oracle *oracle)
{
  static const char *const no_routers[] = { NULL };
  struct target_identity identity = { settings.target,
                                      settings.service,
                                      settings.availability_zone,
                                      settings.region,
                                      NULL,
                                      target_server_port (server),
                                      (uint32_t)settings.slots,
                                      (uint32_t)settings.weight };
  char address[16];
  uint16_t port;
  base_endpoint_split (settings.http, address, &port);
  identity.address = address;
  const char *const *routers
      = settings.routers ? (const char *const *)settings.routers : no_routers;
  struct target_announcer *announcer
      = target_announcer_create (&identity, routers, engine);
  http_ready_file_write (settings.ready_file, 0, identity.port);
  base_log (BASE_LOG_NOTICE, "target serving service=%s port=%u",
            settings.service, identity.port);
  wait_for_stop (oracle);
  base_log (BASE_LOG_NOTICE, "target leaving, finishing its requests");
  target_announcer_set_leaving (announcer);
  wait_until_idle (engine);
  target_oracle_save (oracle, settings.oracle_file);
  target_announcer_destroy (announcer);
}

static int
run_target (void)
{
  struct target_faults faults = { 0 };
  char address[16];
  uint16_t port;
  int status = EXIT_FAILURE;
  struct target_engine_options options
      = { (uint32_t)settings.slots, (uint32_t)settings.queue_limit,
          (uint32_t)settings.first_token_ms, (uint32_t)settings.token_rate,
          (uint32_t)settings.call_ms };
  base_endpoint_split (settings.http, address, &port);
  struct target_oracle *oracle = target_oracle_create ();
  struct target_engine *engine
      = target_engine_create (&options, &faults, oracle);
  struct target_server *server = target_server_create (
      address, port, (uint32_t)settings.threads,
      (uint32_t)settings.answer_tokens, engine, &faults, oracle);
  if (!server)
    {
      base_log (BASE_LOG_ERROR, "can't start the HTTP server, exiting http=%s",
                settings.http);
      goto done;
    }
  serve (server, engine, oracle);
  target_server_destroy (server);
  status = EXIT_SUCCESS;
done:
  target_engine_destroy (engine);
  target_oracle_destroy (oracle);
  return status;
}

int
main (int argc, char **argv)
{
  int status = EXIT_SUCCESS;
  enum base_settings_outcome outcome = base_settings_read (
      argc, argv, "Stand-in for a model engine or a plain service.",
      setting_list);
  if (outcome != BASE_SETTINGS_RUN)
    {
      status = outcome == BASE_SETTINGS_EXIT ? EXIT_SUCCESS : 2;
      goto done;
    }
  block_signals ();
  base_log_open ("cactus-target", settings.target);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  status = run_target ();
  curl_global_cleanup ();
done:
  base_settings_clear (setting_list);
  return status;
}
