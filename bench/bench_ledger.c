/** @file
 *  Measures a cactus-ledger process that syncs its writes: requests per second
 *  from 50 callers, latency at 1,000 requests per second, CPU time, log bytes
 *  and memory.  A request is a reservation and its settlement.  --json prints
 *  each result as a JSON line. */

#include <inttypes.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "base_hash.h"
#include "base_metrics.h"
#include "ledger_rig.h"
#include "bench_slope.h"

#define CALLERS 50
/* Routers' clients, which the callers share. */
#define ROUTERS 5
#define CLOSED_LOOP_MS 4000
#define OPEN_LOOP_REQUESTS 4000u
#define OPEN_LOOP_REQUESTS_PER_S 1000u
#define BUDGETS 200u
#define MANY_BUDGETS 280000u
#define BUDGET_TOKENS UINT64_C (1000000000)
#define DEADLINE_MS 10000

static atomic_bool stopping;
static atomic_uint_least64_t settled;

/* Makes a reservation of a new id under a new idempotency key. */
static void
fill_reserve (struct ledger_client *client, struct ledger_request *request)
{
  char name[32];
  struct ledger_reserve *reserve = &request->op.ledger_op_u.reserve;
  uint64_t id = ledger_client_next_id (client);
  memset (request, 0, sizeof *request);
  request->op.kind = LEDGER_RESERVE;
  request->deadline_ms = bench_slope_now_us () / 1000 + DEADLINE_MS;
  reserve->reservation_id = id;
  g_snprintf (name, sizeof name, "b%u", (unsigned)(id % BUDGETS));
  reserve->account_id = base_account_id ("account");
  reserve->budget_id = base_budget_id ("account", name);
  base_digest ((uint8_t *)reserve->key, request, sizeof *request);
  reserve->tokens = 500;
}

/* Turns a reservation into its settlement. */
static void
fill_settle (struct ledger_request *request)
{
  uint64_t id = request->op.ledger_op_u.reserve.reservation_id;
  request->op.kind = LEDGER_SETTLE;
  request->op.ledger_op_u.settle.reservation_id = id;
  request->op.ledger_op_u.settle.used_tokens = 300;
}

static gpointer
run_caller (gpointer data)
{
  struct ledger_client *client = data;
  while (!atomic_load (&stopping))
    {
      struct ledger_request request;
      fill_reserve (client, &request);
      if (!ledger_rig_call (client, &request)
          || request.result.status != LEDGER_OK)
        continue;
      fill_settle (&request);
      ledger_rig_call (client, &request);
      atomic_fetch_add (&settled, 1);
    }
  return NULL;
}

/* Reads a number from /proc/PID/NAME: the field after @p label, or user plus
   system time in clock ticks when @p label is NULL.  Returns 0 on failure. */
static double
read_process (pid_t pid, const char *name, const char *label)
{
  char path[64];
  char *text = NULL;
  double value = 0;
  g_snprintf (path, sizeof path, "/proc/%d/%s", (int)pid, name);
  if (!g_file_get_contents (path, &text, NULL, NULL))
    return 0;
  if (label)
    {
      const char *at = strstr (text, label);
      value = at ? g_ascii_strtod (at + strlen (label), NULL) : 0;
    }
  else
    {
      char **fields = g_strsplit (strrchr (text, ')'), " ", 20);
      value = g_ascii_strtod (fields[12], NULL)
              + g_ascii_strtod (fields[13], NULL);
      g_strfreev (fields);
    }
  g_free (text);
  return value;
}

/* Returns the CPU time that the ledger has used, in microseconds. */
static double
processor_us (const struct ledger_rig_process *process)
{
  return read_process (process->pid, "stat", NULL) * 1e6
         / (double)sysconf (_SC_CLK_TCK);
}

/* Returns the size of the log files of ledger @p host. */
static double
folder_bytes (struct ledger_rig *rig, const char *host)
{
  const char *name;
  double total = 0;
  char *folder = ledger_rig_folder (rig, host);
  GDir *listing = g_dir_open (folder, 0, NULL);
  while ((name = g_dir_read_name (listing)))
    if (g_str_has_prefix (name, "log-"))
      {
        char *contents;
        gsize log_bytes;
        char *path = g_build_filename (folder, name, NULL);
        if (g_file_get_contents (path, &contents, &log_bytes, NULL))
          {
            total += (double)log_bytes;
            g_free (contents);
          }
        g_free (path);
      }
  g_dir_close (listing);
  g_free (folder);
  return total;
}

/* Measures throughput: each caller sends its next operation when it has the
   result of the last one. */
static void
bench_closed_loop (struct ledger_rig *rig, struct ledger_rig_process *process,
                   struct ledger_client **clients)
{
  GThread *threads[CALLERS];
  double log_bytes = folder_bytes (rig, "a");
  double processor_before_us = processor_us (process);
  uint64_t start_us = bench_slope_now_us ();
  for (int i = 0; i < CALLERS; i++)
    threads[i] = g_thread_new ("caller", run_caller, clients[i % ROUTERS]);
  g_usleep (CLOSED_LOOP_MS * 1000);
  atomic_store (&stopping, true);
  for (int i = 0; i < CALLERS; i++)
    g_thread_join (threads[i]);
  double seconds = (double)(bench_slope_now_us () - start_us) / 1e6;
  double count = (double)atomic_load (&settled);
  bench_slope_print ("ledger_requests_s", "requests/s", count / seconds,
                     "50 callers, 5 routers, reserve and settle synced");
  bench_slope_print ("ledger_request_cpu_us", "us/request",
                     (processor_us (process) - processor_before_us) / count,
                     "50 callers, 5 routers");
  bench_slope_print ("ledger_log_bytes", "B/request",
                     (folder_bytes (rig, "a") - log_bytes) / count,
                     "50 callers, 5 routers, with record heads");
}

/* A request of bench_open_loop. */
struct timed_request
{
  struct ledger_request base;
  struct ledger_client *client;
  /* Time at which the reservation was submitted. */
  uint64_t sent_us;
};

static struct base_histogram *latency_us;
static atomic_uint_least64_t finished;

static void
settle_done (struct ledger_request *request)
{
  g_free (request);
  atomic_fetch_add (&finished, 1);
}

static void
reserve_done (struct ledger_request *request)
{
  struct timed_request *timed = (struct timed_request *)request;
  base_histogram_record (latency_us, bench_slope_now_us () - timed->sent_us);
  fill_settle (request);
  request->done = settle_done;
  ledger_client_submit (timed->client, request);
}

/* Sends requests at OPEN_LOOP_REQUESTS_PER_S, however long the results take,
   and prints the latency of the reservations.  @p state says where the tokens
   are at the start. */
static void
bench_open_loop (struct ledger_rig_process *process,
                 struct ledger_client **clients, uint32_t requests,
                 const char *state)
{
  char sizes[80];
  latency_us = base_histogram_create ();
  atomic_store (&finished, 0);
  double processor_before_us = processor_us (process);
  uint64_t start_us = bench_slope_now_us ();
  for (uint64_t i = 0; i < requests; i++)
    {
      uint64_t due_us = start_us + i * 1000000 / OPEN_LOOP_REQUESTS_PER_S;
      while (bench_slope_now_us () < due_us)
        g_usleep (100);
      struct timed_request *timed = g_new0 (struct timed_request, 1);
      timed->client = clients[i / BUDGETS % ROUTERS];
      fill_reserve (timed->client, &timed->base);
      timed->base.done = reserve_done;
      timed->sent_us = bench_slope_now_us ();
      ledger_client_submit (timed->client, &timed->base);
    }
  while (atomic_load (&finished) < requests)
    g_usleep (1000);
  g_snprintf (sizes, sizeof sizes, "1,000 requests/s, 5 routers, %s", state);
  bench_slope_print ("ledger_reserve_p50_us", "us",
                     (double)base_histogram_quantile (latency_us, 0.5), sizes);
  bench_slope_print ("ledger_reserve_p99_us", "us",
                     (double)base_histogram_quantile (latency_us, 0.99),
                     sizes);
  bench_slope_print ("ledger_open_cpu_us", "us/request",
                     (processor_us (process) - processor_before_us) / requests,
                     sizes);
  base_histogram_destroy (latency_us);
}

/* Measures memory and CPU time of a ledger that is granted MANY_BUDGETS
   budgets.  Ends when the memory has stopped growing, or after 60 s. */
static void
bench_budgets (struct ledger_rig *rig, struct ledger_rig_process *process)
{
  double before_kb = read_process (process->pid, "status", "VmRSS:");
  double processor_before_us = processor_us (process);
  ledger_rig_top_up_many (rig, MANY_BUDGETS, BUDGET_TOKENS);
  uint64_t start_us = bench_slope_now_us ();
  uint64_t unchanged_samples = 0;
  while (bench_slope_now_us () < start_us + 60000000)
    {
      double after_kb = read_process (process->pid, "status", "VmRSS:");
      g_usleep (1500000);
      if (after_kb > before_kb + 20000
          && read_process (process->pid, "status", "VmRSS:") == after_kb
          && ++unchanged_samples > 1)
        break;
    }
  double grown_kb
      = read_process (process->pid, "status", "VmRSS:") - before_kb;
  bench_slope_print ("ledger_process_budget_bytes", "B/budget",
                     grown_kb * 1024 / MANY_BUDGETS,
                     "280,000 budgets granted, VmRSS");
  bench_slope_print ("ledger_grant_cpu_us", "us/grant",
                     (processor_us (process) - processor_before_us)
                         / MANY_BUDGETS,
                     "280,000 grants with their reports");
}

int
main (int argc, char **argv)
{
  struct ledger_rig_process process;
  struct ledger_client *clients[ROUTERS];
  bench_slope_init (argc, argv);
  struct ledger_rig *rig = ledger_rig_create ();
  g_assert_true (ledger_rig_start (rig, "a", &process, NULL));
  struct ledger_endpoint endpoint = ledger_rig_endpoint ("a", &process);
  ledger_rig_top_up_many (rig, BUDGETS, BUDGET_TOKENS);
  for (int i = 0; i < ROUTERS; i++)
    {
      char name[16];
      g_snprintf (name, sizeof name, "router-%d", i);
      clients[i] = ledger_client_create ("cactus", name, 100 + (uint64_t)i,
                                         "zone", "region");
      ledger_client_set_ledgers (clients[i], &endpoint, 1);
    }
  g_usleep (500000);
  bench_open_loop (&process, clients, BUDGETS, "tokens fetched from control");
  bench_open_loop (&process, clients, OPEN_LOOP_REQUESTS,
                   "tokens at the ledger");
  bench_closed_loop (rig, &process, clients);
  bench_budgets (rig, &process);
  for (int i = 0; i < ROUTERS; i++)
    ledger_client_destroy (clients[i], 2000);
  ledger_rig_stop (&process, SIGTERM);
  ledger_rig_destroy (rig);
  return 0;
}
