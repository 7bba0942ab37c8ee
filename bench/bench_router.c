/** @file
 *  What a router adds: latency over calling the target directly, processor
 *  time a request and a token, memory a stream.  --json prints one JSON line
 *  a slope, --seconds N sets the length of each part, --only latency, memory
 *  or tokens runs one part. */

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
#define WHOLE_BODY                                                            \
  "{\"model\":\"" ROUTER_RIG_MODEL "\",\"prompt\":\"price of hake at the "    \
  "northern ports\",\"max_tokens\":16}"
#define STREAM_BODY                                                           \
  "{\"model\":\"" ROUTER_RIG_MODEL "\",\"prompt\":\"price of hake at the "    \
  "northern ports\",\"max_tokens\":4000,\"stream\":true}"
#define SETTLE_US 1500000
/* Connections are made and shares of the budget reach the ledger meanwhile. */
#define WARM_UP_MS 2000

static uint32_t seconds = 5;
static const char *only;

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
static const char *const slow_target[] = {
  "--slots", "20000",           "--queue-limit", "0",         "--token-rate",
  "1",       "--answer-tokens", "4000",          "--threads", "4",
  NULL
};
static const char *const token_target[] = {
  "--slots", "20000",           "--queue-limit", "0",         "--token-rate",
  "100",     "--answer-tokens", "4000",          "--threads", "4",
  NULL
};
static const char *const no_arguments[] = { NULL };

/* Shows why requests were refused, if any were, and the waits for the
   ledger. */
static void
show_waits (struct router_rig *rig)
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

/* Figures with refused or failed requests in them are marked so. */
static void
note_failed (const char *what, uint64_t count)
{
  if (count > 0)
    fprintf (stderr, "bench_router: %" PRIu64 " %s failed\n", count, what);
}

/* Calls the target directly and through the router at once. */
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
                                 .body = WHOLE_BODY,
                                 .api_key = ROUTER_RIG_KEY,
                                 .rate = rate,
                                 .duration_ms = seconds * 1000 };
  struct bench_series routed = direct;
  routed.port = router_rig_port (rig);
  struct bench_series warm_up = routed;
  warm_up.duration_ms = WARM_UP_MS;
  bench_series_run (&warm_up, NULL);
  bench_series_clear (&warm_up);
  uint64_t cpu = bench_process_cpu_us (router);
  bench_series_run (&direct, &routed);
  cpu = bench_process_cpu_us (router) - cpu;
  snprintf (sizes, sizeof sizes, "%" PRIu32 "/s each way", rate);
  note_failed ("calls", direct.failed_calls + routed.failed_calls);
  const double shares[] = { 0.5, 0.99 };
  for (size_t i = 0; i < G_N_ELEMENTS (shares); i++)
    {
      uint32_t without = bench_series_quantile (&direct, shares[i]);
      uint32_t with = bench_series_quantile (&routed, shares[i]);
      uint32_t percent = (uint32_t)(shares[i] * 100);
      snprintf (name, sizeof name, "direct_p%" PRIu32 "_%" PRIu32, percent,
                rate);
      bench_slope_print (name, "us", without, sizes);
      snprintf (name, sizeof name, "routed_p%" PRIu32 "_%" PRIu32, percent,
                rate);
      bench_slope_print (name, "us", with, sizes);
      snprintf (name, sizeof name, "router_added_p%" PRIu32 "_%" PRIu32,
                percent, rate);
      bench_slope_print (name, "us", (double)with - without, sizes);
    }
  snprintf (name, sizeof name, "router_request_cpu_%" PRIu32, rate);
  bench_slope_print (name, "us/request",
                     (double)cpu / (double)MAX (routed.succeeded_calls, 1),
                     sizes);
  show_waits (rig);
  bench_series_clear (&direct);
  bench_series_clear (&routed);
  router_rig_destroy (rig);
}

static void
bench_memory (void)
{
  static const uint32_t counts[] = { 500, 2000 };
  char sizes[96];
  struct router_rig *rig = router_rig_create (no_arguments);
  router_rig_start_target (rig, "t1", ROUTER_RIG_MODEL, slow_target);
  int router = fleet_process_id (router_rig_router (rig));
  uint64_t empty = bench_process_memory_bytes (router);
  bench_slope_print ("router_memory_idle", "bytes", (double)empty,
                     "0 streams");
  for (size_t i = 0; i < G_N_ELEMENTS (counts); i++)
    {
      struct bench_streams *streams = bench_streams_open (
          router_rig_port (rig), PATH, STREAM_BODY, ROUTER_RIG_KEY, counts[i]);
      bench_streams_read (streams, 1000);
      uint64_t full = bench_process_memory_bytes (router);
      snprintf (sizes, sizeof sizes, "%" PRIu32 " streams", counts[i]);
      note_failed ("streams", bench_streams_refused (streams));
      bench_slope_print ("router_stream_memory", "bytes/stream",
                         (double)(full - empty) / counts[i], sizes);
      bench_streams_close (streams);
      g_usleep (SETTLE_US);
    }
  router_rig_destroy (rig);
}

/* Streams at 100 tokens a second each; tokens are counted by the target. */
static void
bench_tokens (uint32_t count)
{
  char sizes[96];
  struct router_rig *rig = router_rig_create (no_arguments);
  router_rig_start_target (rig, "t1", ROUTER_RIG_MODEL, token_target);
  int router = fleet_process_id (router_rig_router (rig));
  struct bench_streams *streams = bench_streams_open (
      router_rig_port (rig), PATH, STREAM_BODY, ROUTER_RIG_KEY, count);
  bench_streams_read (streams, 500);
  uint64_t cpu = bench_process_cpu_us (router);
  uint64_t events = bench_streams_events (streams);
  bench_streams_read (streams, seconds * 1000);
  cpu = bench_process_cpu_us (router) - cpu;
  events = bench_streams_events (streams) - events;
  snprintf (sizes, sizeof sizes, "%" PRIu32 " streams", count);
  note_failed ("streams", bench_streams_refused (streams));
  bench_slope_print ("router_tokens_per_core", "tokens/s/core",
                     (double)events * 1e6 / (double)MAX (cpu, 1), sizes);
  bench_slope_print ("router_token_cpu", "us/token",
                     (double)cpu / (double)MAX (events, 1), sizes);
  bench_streams_close (streams);
  router_rig_destroy (rig);
}

static bool
wanted (const char *part)
{
  return !only || strcmp (only, part) == 0;
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
        only = argv[i + 1];
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
