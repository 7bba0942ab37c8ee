/** @file
 *  Measures the budgets' state without RPC: time per operation of a ledger,
 *  memory of budgets at a ledger and at control, snapshots, and the start of
 *  a ledger.  --json prints each result as a JSON line. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>
#include <glib/gstdio.h>

#include "base_hash.h"
#include "escrow_ledger.h"
#include "escrow_pool.h"
#include "ledger_store.h"
#include "store_log.h"
#include "tool_folder.h"
#include "bench_slope.h"

#define BUDGETS 280000u
#define OPERATIONS 300000u
/* Log records that a starting ledger replays. */
#define RECORDS 100000u
#define POOL_LEDGERS 7u
#define BUDGET_TOKENS UINT64_C (1000000)
#define FOLDER_TEMPLATE "cactus-bench-XXXXXX"

static char cluster[] = "cactus";

/* Returns the resident memory of this process; 0 when it can't be read. */
static uint64_t
resident_bytes (void)
{
  unsigned long pages = 0;
  unsigned long resident = 0;
  FILE *stream = fopen ("/proc/self/statm", "r");
  if (!stream)
    return 0;
  if (fscanf (stream, "%lu %lu", &pages, &resident) != 2)
    resident = 0;
  fclose (stream);
  return resident * (uint64_t)sysconf (_SC_PAGESIZE);
}

/* Grants the ledger BUDGET_TOKENS of each budget, as control's answers do. */
static void
grant_all (struct escrow_ledger *ledger)
{
  struct control_transfer grant = { 0 };
  struct control_ledger_result result = { 0 };
  result.grants.grants_len = 1;
  result.grants.grants_val = &grant;
  for (uint64_t i = 1; i <= BUDGETS; i++)
    {
      grant.sequence = i;
      grant.budget_id = i;
      grant.tokens = BUDGET_TOKENS;
      escrow_ledger_handle_answer (ledger, &result, 1000);
    }
}

static void
reserve (struct escrow_ledger *ledger, uint64_t id)
{
  struct ledger_op op = { .kind = LEDGER_RESERVE };
  struct ledger_op_result result;
  struct ledger_reserve *args = &op.ledger_op_u.reserve;
  args->reservation_id = id;
  args->account_id = 1;
  args->budget_id = 1 + id % BUDGETS;
  memcpy (args->key, &id, sizeof id);
  args->tokens = 500;
  args->key_from_caller = id % 2;
  escrow_ledger_op (ledger, 7, &op, 1000 + id / 1000, &result);
  g_assert_cmpint (result.status, ==, LEDGER_OK);
}

static void
settle (struct escrow_ledger *ledger, uint64_t id)
{
  struct ledger_op op = { .kind = LEDGER_SETTLE };
  struct ledger_op_result result;
  op.ledger_op_u.settle.reservation_id = id;
  op.ledger_op_u.settle.used_tokens = 1;
  escrow_ledger_op (ledger, 7, &op, 1000 + id / 1000, &result);
  g_assert_cmpint (result.status, ==, LEDGER_OK);
}

/* Measures a ledger with BUDGETS budgets: memory, time per request, journal
   and snapshot. */
static void
bench_core (void)
{
  uint64_t bytes_before = resident_bytes ();
  struct escrow_ledger *ledger = escrow_ledger_create ();
  GByteArray *journal = g_byte_array_new ();
  grant_all (ledger);
  double bytes = (double)(resident_bytes () - bytes_before);
  bench_slope_print ("ledger_budget_bytes", "B/budget", bytes / BUDGETS,
                     "280,000 budgets, resident");
  bench_slope_print ("ledger_budget_record_bytes", "B/budget",
                     (double)escrow_ledger_count (ledger).budget_bytes
                         / BUDGETS,
                     "280,000 budgets, table");
  escrow_ledger_set_journal (ledger, journal);
  escrow_ledger_open_session (ledger, "router", 7, 1000);
  uint64_t start_us = bench_slope_now_us ();
  for (uint64_t id = 1; id <= OPERATIONS; id++)
    {
      reserve (ledger, id);
      settle (ledger, id);
    }
  bench_slope_print ("escrow_request_us", "us/request",
                     (double)(bench_slope_now_us () - start_us) / OPERATIONS,
                     "reserve and settle, no I/O");
  bench_slope_print ("escrow_journal_bytes", "B/request",
                     (double)journal->len / OPERATIONS, "reserve and settle");
  bench_slope_print (
      "ledger_resident_mib", "MiB",
      (double)(resident_bytes () - bytes_before - journal->len) / 1048576,
      "280,000 budgets, 131,072 keys and 131,072 ended reservations");
  GByteArray *saved = g_byte_array_new ();
  start_us = bench_slope_now_us ();
  escrow_ledger_save (ledger, saved);
  bench_slope_print (
      "escrow_save_ms", "ms",
      (double)(bench_slope_now_us () - start_us) / 1000,
      "280,000 budgets, 131,072 keys and 131,072 ended reservations");
  bench_slope_print (
      "escrow_saved_mib", "MiB", (double)saved->len / 1048576,
      "280,000 budgets, 131,072 keys and 131,072 ended reservations");
  g_byte_array_unref (saved);
  g_byte_array_unref (journal);
  escrow_ledger_destroy (ledger);
}

static struct ledger_store *
open_store (const char *folder)
{
  struct base_findings *findings = base_findings_create ();
  struct ledger_store *store = ledger_store_open (
      folder, "cactus", "bench", UINT64_C (1) << 30, findings);
  base_findings_print (findings, stderr);
  g_assert_nonnull (store);
  base_findings_destroy (findings);
  return store;
}

/* Appends RECORDS records, one per operation of @p ledger, to the log of a
   closed store. */
static void
append_records (const char *folder, struct escrow_ledger *ledger)
{
  struct base_findings *findings = base_findings_create ();
  GByteArray *journal = g_byte_array_new ();
  struct store_log *log = store_log_open (folder, 1, false, findings);
  g_assert_nonnull (log);
  escrow_ledger_set_journal (ledger, journal);
  escrow_ledger_open_session (ledger, "router", 7, 1000);
  for (uint64_t i = 1; i <= RECORDS; i++)
    {
      if (i % 2)
        reserve (ledger, i);
      else
        settle (ledger, i - 1);
      store_log_append (log, journal->data, journal->len);
      g_byte_array_set_size (journal, 0);
    }
  store_log_sync (log);
  store_log_close (log);
  g_byte_array_unref (journal);
  base_findings_destroy (findings);
}

/* Measures a start from a snapshot of all budgets and RECORDS log records. */
static void
bench_start (void)
{
  char *folder = g_dir_make_tmp (FOLDER_TEMPLATE, NULL);
  struct ledger_store *store = open_store (folder);
  grant_all (ledger_store_ledger (store));
  ledger_store_close (store, true);
  struct escrow_ledger *writer = escrow_ledger_create ();
  grant_all (writer);
  append_records (folder, writer);
  escrow_ledger_destroy (writer);
  uint64_t start_us = bench_slope_now_us ();
  store = open_store (folder);
  bench_slope_print ("ledger_start_ms", "ms",
                     (double)(bench_slope_now_us () - start_us) / 1000,
                     "snapshot of 280,000 budgets, 100,000 records");
  g_assert_cmpuint (ledger_store_replayed_records (store), >=, RECORDS);
  ledger_store_close (store, false);
  tool_folder_remove (folder);
  g_free (folder);
}

/* Exchanges as ledger @p ledger_number, acknowledging all grants. */
static void
exchange (struct escrow_pool *pool, uint32_t ledger_number)
{
  char name[8];
  struct control_ledger_result result;
  g_snprintf (name, sizeof name, "l%u", ledger_number);
  struct control_ledger_args args = { .cluster = cluster,
                                      .ledger = name,
                                      .incarnation = ledger_number + 1 };
  args.grant_ack_sequence = BUDGETS;
  escrow_pool_exchange (pool, &args, 1000, &result);
  xdr_free ((xdrproc_t)xdr_control_ledger_result, (char *)&result);
}

/* Measures control's state of BUDGETS budgets: time per top-up, memory and
   snapshot. */
static void
bench_pool (void)
{
  char budget[16];
  char id[16];
  uint64_t bytes_before = resident_bytes ();
  struct escrow_pool *pool = escrow_pool_create (ESCROW_POLICY_DEMAND_FLOOR);
  for (uint32_t i = 0; i < POOL_LEDGERS; i++)
    exchange (pool, i);
  uint64_t start_us = bench_slope_now_us ();
  for (uint32_t i = 0; i < BUDGETS; i++)
    {
      struct control_top_up_result result;
      g_snprintf (id, sizeof id, "t%u", i);
      g_snprintf (budget, sizeof budget, "b%u", i);
      struct control_top_up_args args = { .cluster = cluster,
                                          .top_up_id = id,
                                          .operator_name = cluster,
                                          .account = cluster,
                                          .budget = budget,
                                          .tokens = BUDGET_TOKENS };
      escrow_pool_top_up (pool, &args, 1000, &result);
      xdr_free ((xdrproc_t)xdr_control_top_up_result, (char *)&result);
    }
  bench_slope_print ("pool_top_up_us", "us/top-up",
                     (double)(bench_slope_now_us () - start_us) / BUDGETS,
                     "spread over 7 ledgers");
  for (uint32_t i = 0; i < POOL_LEDGERS; i++)
    exchange (pool, i);
  bench_slope_print ("pool_budget_bytes", "B/budget",
                     (double)(resident_bytes () - bytes_before) / BUDGETS,
                     "280,000 budgets, 7 ledgers, resident with top-up ids");
  GByteArray *saved = g_byte_array_new ();
  start_us = bench_slope_now_us ();
  escrow_pool_save (pool, saved);
  bench_slope_print ("pool_save_ms", "ms",
                     (double)(bench_slope_now_us () - start_us) / 1000,
                     "280,000 budgets, 7 ledgers");
  bench_slope_print ("pool_saved_bytes", "B/budget",
                     (double)saved->len / BUDGETS,
                     "280,000 budgets, 7 ledgers");
  g_byte_array_unref (saved);
  escrow_pool_destroy (pool);
}

int
main (int argc, char **argv)
{
  bench_slope_init (argc, argv);
  bench_core ();
  bench_start ();
  bench_pool ();
  return 0;
}
