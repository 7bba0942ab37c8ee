/** @file
 *  Measures the overhead of a router: latency compared with direct calls of
 *  the target, CPU time per request and per token, and memory per stream.
 *  --json prints each result as a JSON line, --seconds N sets the length of
 *  each part, --only PART runs one part: latency, memory or tokens. */

#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <glib.h>

#include "bench_callers.h"
#include "router_call.h"
#include "router_rig.h"
#include "bench_slope.h"

#define PATH "/v1/completions"
#define NON_STREAMING_BODY                                                    \
  "{\"model\":\"" ROUTER_RIG_MODEL "\",\"prompt\":\"price of hake at the "    \
  "northern ports\",\"max_tokens\":16}"
#define STREAM_BODY                                                           \
  "{\"model\":\"" ROUTER_RIG_MODEL "\",\"prompt\":\"price of hake at the "    \
  "northern ports\",\"max_tokens\":4000,\"stream\":true}"
/* Pause in which the router ends the requests of closed streams. */
#define CLOSE_WAIT_US 1500000
/* Time before the measurement in which connections are opened and the ledger
   receives its share of the budget. */
#define WARM_UP_MS 2000

static uint32_t seconds = 5;
static const char *only_part;

static const char *const fast_target[] = { "--slots",
                                           "20000",
                                           "--queue-limit",
                                           "0",
                                           "--call-ms",
                                           "0",
                                           "--token-rate",
                                           "1000000",
                                           "--first-token-ms",
                                           "10",
                                           "--threads",
                                           "4",
                                           NULL };
static const char *const held_stream_target[] = {
  "--slots", "20000",           "--queue-limit", "0",         "--token-rate",
  "1",       "--answer-tokens", "4000",          "--threads", "4",
  NULL
};
static const char *const streaming_target[] = {
  "--slots", "20000",           "--queue-limit", "0",         "--token-rate",
  "100",     "--answer-tokens", "4000",          "--threads", "4",
  NULL
};
static const char *const no_arguments[] = { NULL };

/* Prints metrics of the router to the standard error stream: refusals by
   reason, and times spent on the queue and on ledger operations. */
static void
print_router_metrics (struct router_rig *rig)
{
  struct router_call_options call = { .path = "/metrics" };
  struct router_call_result result
      = router_call (router_rig_port (rig), &call);
  char **lines = g_strsplit (result.body->str, "\n", -1);
  for (char **line = lines; *line; line++)
    if (g_str_has_prefix (*line, "cactus_router_refused_total")
        || strstr (*line, "reserve_us_sum") || strstr (*line, "settle_us_sum")
        || strstr (*line, "settle_us_count") || strstr (*line, "queue_us_sum"))
      fprintf (stderr, "%s\n", *line);
  g_strfreev (lines);
  router_call_clear (&result);
}

/* Warns on the standard error stream that the result includes @p count calls
   or streams that did not succeed. */
static void
report_failures (const char *event, uint64_t count)
{
  if (count > 0)
    fprintf (stderr, "bench_router: %" PRIu64 " %s\n", count, event);
}

/* Measures latency with direct and routed calls at the same time. */
static void
bench_latency (uint32_t rate)
{
  char sizes[96];
  char name[64];
  struct router_rig *rig = router_rig_create (no_arguments);
  struct fleet_process *target
      = router_rig_start_target (rig, "t1", ROUTER_RIG_MODEL, fast_target);
  int router = fleet_process_id (router_rig_router (rig));
  struct bench_series direct = { .port = fleet_process_http_port (target),
                                 .path = PATH,
                                 .body = NON_STREAMING_BODY,
                                 .api_key = ROUTER_RIG_KEY,
                                 .rate = rate,
                                 .duration_ms = seconds * 1000 };
  struct bench_series routed = direct;
  routed.port = router_rig_port (rig);
  struct bench_series warm_up = routed;
  warm_up.duration_ms = WARM_UP_MS;
  bench_series_run (&warm_up, NULL);
  bench_series_clear (&warm_up);
  uint64_t cpu_us = bench_process_cpu_us (router);
  bench_series_run (&direct, &routed);
  cpu_us = bench_process_cpu_us (router) - cpu_us;
  snprintf (sizes, sizeof sizes, "%" PRIu32 "/s each way", rate);
  report_failures ("calls failed", direct.failed_calls + routed.failed_calls);
  const double shares[] = { 0.5, 0.99 };
  for (size_t i = 0; i < G_N_ELEMENTS (shares); i++)
    {
      uint32_t direct_us = bench_series_quantile (&direct, shares[i]);
      uint32_t routed_us = bench_series_quantile (&routed, shares[i]);
      uint32_t percent = (uint32_t)(shares[i] * 100);
      snprintf (name, sizeof name, "direct_p%" PRIu32 "_%" PRIu32, percent,
                rate);
      bench_slope_print (name, "us", direct_us, sizes);
      snprintf (name, sizeof name, "routed_p%" PRIu32 "_%" PRIu32, percent,
                rate);
      bench_slope_print (name, "us", routed_us, sizes);
      snprintf (name, sizeof name, "router_added_p%" PRIu32 "_%" PRIu32,
                percent, rate);
      bench_slope_print (name, "us", (double)routed_us - direct_us, sizes);
    }
  snprintf (name, sizeof name, "router_request_cpu_%" PRIu32, rate);
  bench_slope_print (name, "us/request",
                     (double)cpu_us / (double)MAX (routed.succeeded_calls, 1),
                     sizes);
  print_router_metrics (rig);
  bench_series_clear (&direct);
  bench_series_clear (&routed);
  router_rig_destroy (rig);
}

/* Measures the router's memory with open streams of one token per second. */
static void
bench_memory (void)
{
  static const uint32_t counts[] = { 500, 2000 };
  char sizes[96];
  struct router_rig *rig = router_rig_create (no_arguments);
  router_rig_start_target (rig, "t1", ROUTER_RIG_MODEL, held_stream_target);
  int router = fleet_process_id (router_rig_router (rig));
  uint64_t idle_bytes = bench_process_memory_bytes (router);
  bench_slope_print ("router_memory_idle", "bytes", (double)idle_bytes,
                     "0 streams");
  for (size_t i = 0; i < G_N_ELEMENTS (counts); i++)
    {
      struct bench_streams *streams = bench_streams_open (
          router_rig_port (rig), PATH, STREAM_BODY, ROUTER_RIG_KEY, counts[i]);
      bench_streams_read (streams, 1000);
      uint64_t full = bench_process_memory_bytes (router);
      snprintf (sizes, sizeof sizes, "%" PRIu32 " streams", counts[i]);
      report_failures ("stream requests were refused and retried",
                       bench_streams_refused (streams));
      bench_slope_print ("router_stream_memory", "bytes/stream",
                         (double)(full - idle_bytes) / counts[i], sizes);
      bench_streams_close (streams);
      g_usleep (CLOSE_WAIT_US);
    }
  router_rig_destroy (rig);
}

/* Measures the CPU time per token with @p count streams of 100 tokens per
   second each. */
static void
bench_tokens (uint32_t count)
{
  char sizes[96];
  struct router_rig *rig = router_rig_create (no_arguments);
  router_rig_start_target (rig, "t1", ROUTER_RIG_MODEL, streaming_target);
  int router = fleet_process_id (router_rig_router (rig));
  struct bench_streams *streams = bench_streams_open (
      router_rig_port (rig), PATH, STREAM_BODY, ROUTER_RIG_KEY, count);
  bench_streams_read (streams, 500);
  uint64_t cpu_us = bench_process_cpu_us (router);
  uint64_t events = bench_streams_events (streams);
  bench_streams_read (streams, seconds * 1000);
  cpu_us = bench_process_cpu_us (router) - cpu_us;
  events = bench_streams_events (streams) - events;
  snprintf (sizes, sizeof sizes, "%" PRIu32 " streams", count);
  report_failures ("stream requests were refused and retried",
                   bench_streams_refused (streams));
  bench_slope_print ("router_tokens_per_core", "tokens/s/core",
                     (double)events * 1e6 / (double)MAX (cpu_us, 1), sizes);
  bench_slope_print ("router_token_cpu", "us/token",
                     (double)cpu_us / (double)MAX (events, 1), sizes);
  bench_streams_close (streams);
  router_rig_destroy (rig);
}

static bool
wanted (const char *part)
{
  return !only_part || strcmp (only_part, part) == 0;
}

int
main (int argc, char **argv)
{
  bench_slope_init (argc, argv);
  for (int i = 1; i < argc; i++)
    {
      if (strcmp (argv[i], "--seconds") == 0 && i + 1 < argc)
        seconds = (uint32_t)MAX (1, atoi (argv[i + 1]));
      if (strcmp (argv[i], "--only") == 0 && i + 1 < argc)
        only_part = argv[i + 1];
    }
  signal (SIGPIPE, SIG_IGN);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  if (wanted ("latency"))
    {
      bench_latency (200);
      bench_latency (1000);
    }
  if (wanted ("memory"))
    bench_memory ();
  if (wanted ("tokens"))
    bench_tokens (200);
  curl_global_cleanup ();
  return EXIT_SUCCESS;
}
