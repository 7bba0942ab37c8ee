/** @file
 *  Measures the code that all programs share: recording into a histogram,
 *  syncing the log, and RPC calls over loopback.  --json prints each result as
 *  a JSON line. */

#include <stdatomic.h>
#include <stdio.h>

#include <glib.h>
#include <glib/gstdio.h>

#include "base_metrics.h"
#include "bench_slope.h"
#include "store_log.h"
#include "wire_client.h"
#include "wire_ledger.h"
#include "wire_server.h"
#include "tool_folder.h"

#define HISTOGRAM_RECORDS 20000000
#define SYNCS 1000
#define SYNC_RECORD_BYTES 200
#define CALLS_PER_CALLER 4000

static void
bench_histogram (void)
{
  struct base_histogram *histogram = base_histogram_create ();
  uint64_t start_us = bench_slope_now_us ();
  for (uint64_t i = 0; i < HISTOGRAM_RECORDS; i++)
    base_histogram_record (histogram, i & 0xffff);
  double spent_us = (double)(bench_slope_now_us () - start_us);
  bench_slope_print ("histogram_record_ns", "ns/record",
                     spent_us * 1000 / HISTOGRAM_RECORDS,
                     "20 M records, one thread");
  base_histogram_destroy (histogram);
}

static void
bench_sync (void)
{
  char record[SYNC_RECORD_BYTES] = { 0 };
  char *folder = g_dir_make_tmp ("cactus-bench-XXXXXX", NULL);
  struct base_findings *findings = base_findings_create ();
  struct store_log *log = store_log_open (folder, 1, false, findings);
  uint64_t start_us = bench_slope_now_us ();
  for (int i = 0; i < SYNCS; i++)
    {
      store_log_append (log, record, sizeof record);
      store_log_sync (log);
    }
  double spent_us = (double)(bench_slope_now_us () - start_us);
  bench_slope_print ("log_sync_us", "us/sync", spent_us / SYNCS,
                     "1,000 syncs of one 200-byte record");
  store_log_close (log);
  tool_folder_remove (folder);
  base_findings_destroy (findings);
  g_free (folder);
}

static void
reply_to_call (struct wire_handler *handler, struct wire_call *call)
{
  struct ledger_budget_args args = { 0 };
  struct ledger_budget_result result = { 0 };
  (void)handler;
  wire_call_args (call, (xdrproc_t)xdr_ledger_budget_args, &args);
  wire_call_reply (call, (xdrproc_t)xdr_ledger_budget_result, &result);
}

/* Tells the server thread to end. */
static atomic_bool stopping;

static gpointer
run_server (gpointer server)
{
  while (!atomic_load (&stopping))
    wire_server_round (server, 10);
  return NULL;
}

static gpointer
make_calls (gpointer data)
{
  struct wire_client *client = data;
  for (int i = 0; i < CALLS_PER_CALLER; i++)
    {
      struct ledger_budget_args args = { 1 };
      struct ledger_budget_result result;
      wire_client_call (
          client, LEDGER_BUDGET, (xdrproc_t)xdr_ledger_budget_args, &args,
          (xdrproc_t)xdr_ledger_budget_result, &result, sizeof result, 5000);
    }
  return NULL;
}

/* Measures calls of @p callers threads, each with its own connection. */
static void
bench_callers (uint16_t port, uint32_t callers)
{
  struct wire_client *clients[64];
  GThread *threads[64];
  char sizes[64];
  char name[64];
  double start_cpu_us = bench_slope_cpu_us ();
  uint64_t start_us = bench_slope_now_us ();
  for (uint32_t i = 0; i < callers; i++)
    {
      clients[i] = wire_client_create ("127.0.0.1", port, LEDGER_PROGRAM,
                                       LEDGER_VERSION);
      threads[i] = g_thread_new ("caller", make_calls, clients[i]);
    }
  for (uint32_t i = 0; i < callers; i++)
    g_thread_join (threads[i]);
  double spent_us = (double)(bench_slope_now_us () - start_us);
  double calls = (double)callers * CALLS_PER_CALLER;
  snprintf (sizes, sizeof sizes, "%u callers, both sides in one process",
            callers);
  snprintf (name, sizeof name, "rpc_calls_per_s_%u", callers);
  bench_slope_print (name, "calls/s", calls * 1e6 / spent_us, sizes);
  snprintf (name, sizeof name, "rpc_cpu_us_%u", callers);
  bench_slope_print (name, "us/call",
                     (bench_slope_cpu_us () - start_cpu_us) / calls, sizes);
  for (uint32_t i = 0; i < callers; i++)
    wire_client_destroy (clients[i]);
}

static void
bench_calls (void)
{
  static const uint32_t callers[] = { 1, 8, 50 };
  struct wire_program program = { LEDGER_PROGRAM, LEDGER_VERSION };
  struct wire_handler handler = { .call = reply_to_call };
  struct wire_server *server
      = wire_server_create ("127.0.0.1", 0, &program, 1, &handler);
  GThread *thread = g_thread_new ("server", run_server, server);
  for (size_t i = 0; i < G_N_ELEMENTS (callers); i++)
    bench_callers (wire_server_port (server), callers[i]);
  atomic_store (&stopping, true);
  wire_server_wake (server);
  g_thread_join (thread);
  wire_server_destroy (server);
}

int
main (int argc, char **argv)
{
  bench_slope_init (argc, argv);
  bench_histogram ();
  bench_sync ();
  bench_calls ();
  return 0;
}
