/** @file
 *  Command bills: lists the bills of all live ledgers. */

#include <stdio.h>
#include <string.h>

#include "base_hash.h"
#include "cactus_config.h"
#include "ctl_accepted.h"
#include "ctl_cluster.h"
#include "ctl_table.h"
#include "wire_ledger.h"

/** Query for bills, and the bills read so far. */
struct bills_query
{
  struct ledger_bills_args range;
  const struct bundle *bundle;
  /** Name of the budget to show by name; others are shown by their id. */
  const char *budget;
  struct ctl_table *table;
  uint64_t total_tokens;
  uint64_t count;
};

/* Parses an ISO 8601 time to milliseconds since the Unix epoch; NULL gives
   @p fallback_ms.  Returns false after printing an error. */
static bool
parse_time (const char *text, uint64_t fallback_ms, uint64_t *time_ms)
{
  *time_ms = fallback_ms;
  if (!text)
    return true;
  GTimeZone *utc = g_time_zone_new_utc ();
  GDateTime *time = g_date_time_new_from_iso8601 (text, utc);
  g_time_zone_unref (utc);
  if (!time)
    {
      ctl_fail (CTL_USAGE, "\"%s\" is not a time such as 2026-12-03T04:30:00Z",
                text);
      return false;
    }
  *time_ms = (uint64_t)g_date_time_to_unix (time) * 1000;
  g_date_time_unref (time);
  return true;
}

/* Returns the name of an account, or its id in hexadecimal when the bundle
   lacks it; freed with g_free. */
static char *
account_name_of (const struct bundle *bundle, uint64_t account_id)
{
  const struct bundle_account *account;
  for (size_t i = 0; (account = bundle_account_at (bundle, i)); i++)
    if (account->account_id == account_id)
      return g_strdup (account->name);
  return g_strdup_printf ("%016lx", (unsigned long)account_id);
}

/* Returns the name of the query's budget when @p budget_id is its id, else the
   id in hexadecimal; freed with g_free. */
static char *
budget_name_of (const struct bills_query *query, const char *account,
                uint64_t budget_id)
{
  if (base_budget_id (account, query->budget) == budget_id)
    return g_strdup (query->budget);
  return g_strdup_printf ("%016lx", (unsigned long)budget_id);
}

static char *
format_time (uint64_t time_ms)
{
  GDateTime *time = g_date_time_new_from_unix_utc ((gint64)(time_ms / 1000));
  char *text
      = time ? g_date_time_format (time, "%Y-%m-%dT%H:%M:%SZ") : g_strdup ("");
  if (time)
    g_date_time_unref (time);
  return text;
}

static void
add_bill (struct bills_query *query, const char *ledger,
          const struct ledger_bill *bill)
{
  char key[2 * WIRE_DIGEST_BYTES + 1];
  char *account = account_name_of (query->bundle, bill->account_id);
  char *budget = budget_name_of (query, account, bill->budget_id);
  char *time = format_time (bill->settled_at_ms);
  base_hex_write (key, (const uint8_t *)bill->key, WIRE_DIGEST_BYTES);
  ctl_table_add_text (query->table, time);
  ctl_table_add_text (query->table, account);
  ctl_table_add_text (query->table, budget);
  ctl_table_add_text (query->table, key);
  ctl_table_add_text (query->table, ledger);
  ctl_table_add_bool (query->table, bill->written_off);
  ctl_table_add_number (query->table, bill->tokens);
  query->total_tokens += bill->tokens;
  query->count++;
  g_free (account);
  g_free (budget);
  g_free (time);
}

/* Adds the bills of one ledger, page by page.  Returns false when it did not
   answer. */
static bool
fetch_ledger_bills (struct bills_query *query,
                    const struct wire_process *ledger)
{
  struct ledger_bills_args args = query->range;
  struct ledger_bills_result result;
  enum wire_status status;
  struct wire_client *client
      = wire_client_create (ledger->address, (uint16_t)ledger->rpc_port,
                            LEDGER_PROGRAM, LEDGER_VERSION);
  do
    {
      status = wire_client_call (client, LEDGER_BILLS,
                                 (xdrproc_t)xdr_ledger_bills_args, &args,
                                 (xdrproc_t)xdr_ledger_bills_result, &result,
                                 sizeof result, CACTUS_CALL_TIMEOUT_MS);
      for (u_int i = 0; i < result.bills.bills_len; i++)
        add_bill (query, ledger->host, &result.bills.bills_val[i]);
      args.after_index = result.next_index;
      xdr_free ((xdrproc_t)xdr_ledger_bills_result, (char *)&result);
    }
  while (status == WIRE_OK && args.after_index != 0);
  wire_client_destroy (client);
  return status == WIRE_OK;
}

/* Adds the bills of all live ledgers; prints an error for each ledger that did
   not answer. */
static enum ctl_exit
fetch_all_bills (struct bills_query *query,
                 const struct control_status_result *status)
{
  enum ctl_exit code = CTL_OK;
  for (u_int i = 0; i < status->processes.processes_len; i++)
    {
      const struct wire_process *process = &status->processes.processes_val[i];
      if (process->kind == WIRE_PROCESS_LEDGER
          && !fetch_ledger_bills (query, process))
        code
            = ctl_fail (CTL_REFUSED,
                        "ledger %s at %s:%u did not answer: some of its bills "
                        "are missing here; repeat the command when it "
                        "answers",
                        process->host, process->address, process->rpc_port);
    }
  return code;
}

static bool
read_range (const struct ctl_options *options, struct ledger_bills_args *range)
{
  uint64_t from_ms;
  uint64_t to_ms;
  memset (range, 0, sizeof *range);
  if (!parse_time (options->from, 0, &from_ms)
      || !parse_time (options->to, INT64_MAX, &to_ms))
    return false;
  range->from_ms = from_ms;
  range->to_ms = to_ms;
  if (options->account)
    range->account_id = base_account_id (options->account);
  return true;
}

enum ctl_exit
ctl_bills (struct ctl_context *context)
{
  static const char *const columns[]
      = { "settled_at", "account",     "budget", "key",
          "ledger",     "written_off", "tokens", NULL };
  struct control_status_result status = { 0 };
  struct bundle *bundle = NULL;
  struct bills_query query = { 0 };
  if (!read_range (&context->options, &query.range))
    return CTL_USAGE;
  enum ctl_exit code = ctl_fetch_accepted_bundle (context, &bundle);
  if (code == CTL_OK)
    code = ctl_wait_leader_status (context, &status);
  if (code != CTL_OK)
    goto done;
  query.bundle = bundle;
  query.budget = context->options.budget;
  query.table = ctl_table_create (columns);
  code = fetch_all_bills (&query, &status);
  ctl_table_print (query.table, context->options.json);
  if (!context->options.json)
    printf ("%lu bill(s), %lu token(s)\n", (unsigned long)query.count,
            (unsigned long)query.total_tokens);
done:
  ctl_table_destroy (query.table);
  ctl_status_clear (&status);
  bundle_unref (bundle);
  return code;
}
