/** @file
 *  Tests of the ledger's server while writes fail, and of statements that span
 *  sealed and unsealed bills. */

#include <signal.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include <glib.h>

#include "base_clock.h"
#include "base_hash.h"
#include "ledger_rig.h"
#include "ledger_server.h"
#include "ledger_store.h"
#include "tool_folder.h"

#define BUDGET_ID 5
#define BUDGET_TOKENS 100000
#define DEADLINE_MS 1500
#define TRIES 100

static atomic_bool stopping;

static struct ledger_store *
open_store (const char *folder)
{
  struct base_findings *findings = base_findings_create ();
  struct ledger_store *store = ledger_store_open (
      folder, "cactus", "a", UINT64_C (1) << 30, findings);
  g_assert_cmpuint (base_findings_count (findings), ==, 0);
  base_findings_destroy (findings);
  return store;
}

/* Creates a data folder whose ledger holds one budget. */
static char *
make_folder (void)
{
  char *folder = g_dir_make_tmp ("cactus-XXXXXX", NULL);
  struct ledger_store *store = open_store (folder);
  struct control_transfer grant = { 1, BUDGET_ID, BUDGET_TOKENS };
  struct control_ledger_result result = { 0 };
  result.grants.grants_len = 1;
  result.grants.grants_val = &grant;
  escrow_ledger_handle_answer (ledger_store_ledger (store), &result, 1000);
  g_assert_cmpint (ledger_store_commit (store), ==, 0);
  ledger_store_close (store, false);
  return folder;
}

static gpointer
serve (gpointer data)
{
  while (!atomic_load (&stopping))
    ledger_server_round (data);
  return NULL;
}

static enum ledger_status
reserve (struct ledger_client *client, struct ledger_request *request)
{
  memset (request, 0, sizeof *request);
  struct ledger_reserve *reserve = &request->op.ledger_op_u.reserve;
  request->op.kind = LEDGER_RESERVE;
  request->deadline_ms
      = base_clock_now_ms (base_clock_system ()) + DEADLINE_MS;
  reserve->reservation_id = ledger_client_next_id (client);
  reserve->account_id = 1;
  reserve->budget_id = BUDGET_ID;
  memcpy (reserve->key, &reserve->reservation_id,
          sizeof reserve->reservation_id);
  reserve->tokens = 10;
  ledger_rig_call (client, request);
  return request->result.status;
}

static enum ledger_status
settle (struct ledger_client *client, struct ledger_request *request)
{
  uint64_t id = request->op.ledger_op_u.reserve.reservation_id;
  request->op.kind = LEDGER_SETTLE;
  request->op.ledger_op_u.settle.reservation_id = id;
  request->op.ledger_op_u.settle.used_tokens = 7;
  ledger_rig_call (client, request);
  return request->result.status;
}

static void
limit_file_size (rlim_t bytes)
{
  struct rlimit limit;
  getrlimit (RLIMIT_FSIZE, &limit);
  limit.rlim_cur = bytes;
  g_assert_cmpint (setrlimit (RLIMIT_FSIZE, &limit), ==, 0);
}

/* While the disk is full nothing is acknowledged.  Afterwards the ledger
   serves again, with all acknowledged bills and without the reservations that
   failed.  The full disk is simulated by a limit of the file size. */
static void
test_full_disk (void)
{
  char *folder = make_folder ();
  struct ledger_request request;
  struct base_findings *findings = base_findings_create ();
  struct ledger_server_options options = { .cluster = "cactus",
                                           .host = "a",
                                           .data_folder = folder,
                                           .rpc_address = "127.0.0.1",
                                           .bills_bytes_max = 1 << 30 };
  signal (SIGXFSZ, SIG_IGN);
  struct ledger_server *server = ledger_server_create (&options, findings);
  g_assert_nonnull (server);
  GThread *thread = g_thread_new ("server", serve, server);
  struct ledger_client *client
      = ledger_client_create ("cactus", "router", 9, "zone", "region");
  struct ledger_rig_process process = { 0, ledger_server_port (server), 0 };
  struct ledger_endpoint endpoint = ledger_rig_endpoint ("a", &process);
  ledger_client_set_ledgers (client, &endpoint, 1);
  g_assert_cmpint (reserve (client, &request), ==, LEDGER_OK);
  g_assert_cmpint (settle (client, &request), ==, LEDGER_OK);
  limit_file_size (16);
  g_assert_cmpint (reserve (client, &request), ==, LEDGER_UNAVAILABLE);
  g_assert_cmpint (reserve (client, &request), ==, LEDGER_UNAVAILABLE);
  limit_file_size (RLIM_INFINITY);
  int tries = 0;
  while (reserve (client, &request) != LEDGER_OK && ++tries < TRIES)
    g_usleep (100000);
  g_assert_cmpint (request.result.status, ==, LEDGER_OK);
  g_assert_cmpint (settle (client, &request), ==, LEDGER_OK);
  g_assert_cmpuint (ledger_client_destroy (client, 5000), ==, 0);
  atomic_store (&stopping, true);
  ledger_server_wake (server);
  g_thread_join (thread);
  ledger_server_destroy (server);
  struct ledger_store *store = open_store (folder);
  struct ledger_budget_result budget;
  escrow_ledger_budget (ledger_store_ledger (store), BUDGET_ID, &budget);
  g_assert_cmpuint (budget.spent_tokens, ==, 14);
  g_assert_cmpuint (budget.reserved_tokens, ==, 0);
  g_assert_cmpuint (budget.free_tokens, ==, BUDGET_TOKENS - 14);
  ledger_store_close (store, false);
  base_findings_destroy (findings);
  tool_folder_remove (folder);
  g_free (folder);
}

/* Reserves 10 tokens under @p id, or settles that with 1 token. */
static void
apply (struct ledger_store *store, uint64_t id, enum ledger_op_kind kind)
{
  struct ledger_op op = { .kind = kind };
  struct ledger_op_result result;
  struct ledger_reserve *reserve = &op.ledger_op_u.reserve;
  reserve->reservation_id = id;
  if (kind == LEDGER_RESERVE)
    {
      reserve->account_id = 1 + id % 2;
      reserve->budget_id = BUDGET_ID;
      memcpy (reserve->key, &id, sizeof id);
      reserve->tokens = 10;
    }
  else
    op.ledger_op_u.settle.used_tokens = 1;
  escrow_ledger_op (ledger_store_ledger (store), 9, &op, 2000 + id, &result);
  g_assert_cmpint (result.status, ==, LEDGER_OK);
}

/* Reads the statement of an account (0 means all accounts), counts its lines
   and adds up settled_at_ms.  Returns false when a page can't be read. */
static bool
read_pages (struct ledger_store *store, uint64_t account_id, uint64_t *lines,
            uint64_t *sum)
{
  bool readable = true;
  struct ledger_bills_args args = { .account_id = account_id };
  *lines = 0;
  *sum = 0;
  do
    {
      struct ledger_bills_result result;
      readable = ledger_bills_read_page (ledger_store_bills (store),
                                         ledger_store_ledger (store), &args,
                                         &result);
      *lines += result.bills.bills_len;
      for (u_int i = 0; i < result.bills.bills_len; i++)
        *sum += result.bills.bills_val[i].settled_at_ms;
      args.after_index = result.next_index;
      xdr_free ((xdrproc_t)xdr_ledger_bills_result, (char *)&result);
    }
  while (readable && args.after_index != 0);
  return readable;
}

/* Reads a whole statement; returns the sum of settled_at_ms. */
static uint64_t
read_statement (struct ledger_store *store, uint64_t account_id,
                uint64_t *lines)
{
  uint64_t sum;
  g_assert_true (read_pages (store, account_id, lines, &sum));
  return sum;
}

/* The statement stays the same across sealed files, bills in memory and
   restarts, with and without a snapshot. */
static void
test_statement (void)
{
  uint64_t lines;
  uint64_t expected = 0;
  char *folder = make_folder ();
  struct ledger_store *store = open_store (folder);
  escrow_ledger_open_session (ledger_store_ledger (store), "router", 9, 1500);
  for (uint64_t id = 1; id <= 5000; id++)
    {
      apply (store, id, LEDGER_RESERVE);
      apply (store, id, LEDGER_SETTLE);
      expected += id % 2 == 0 ? 2000 + id : 0;
      if (id % 1500 != 0)
        continue;
      g_assert_cmpint (ledger_store_commit (store), ==, 0);
      ledger_store_close (store, id % 3000 == 0);
      store = open_store (folder);
    }
  g_assert_cmpint (ledger_store_commit (store), ==, 0);
  g_assert_cmpuint (read_statement (store, 1, &lines), ==, expected);
  g_assert_cmpuint (lines, ==, 2500);
  read_statement (store, 0, &lines);
  g_assert_cmpuint (lines, ==, 5000);
  ledger_store_close (store, true);
  store = open_store (folder);
  g_assert_cmpuint (read_statement (store, 1, &lines), ==, expected);
  g_assert_cmpuint (lines, ==, 2500);
  ledger_store_close (store, false);
  tool_folder_remove (folder);
  g_free (folder);
}

/* Returns the path of the file with the oldest sealed bills. */
static char *
oldest_bills_file (const char *folder)
{
  char *oldest = NULL;
  const char *name;
  GDir *files = g_dir_open (folder, 0, NULL);
  while ((name = g_dir_read_name (files)))
    if (g_str_has_prefix (name, "bills-")
        && (!oldest || strcmp (name, oldest) < 0))
      {
        g_free (oldest);
        oldest = g_strdup (name);
      }
  g_dir_close (files);
  g_assert_nonnull (oldest);
  char *path = g_build_filename (folder, oldest, NULL);
  g_free (oldest);
  return path;
}

/* A statement of which bills can't be read must not end as if it were
   complete. */
static void
test_short_file_ends_statement (void)
{
  uint64_t lines;
  uint64_t sum;
  char *folder = make_folder ();
  struct ledger_store *store = open_store (folder);
  escrow_ledger_open_session (ledger_store_ledger (store), "router", 9, 1500);
  for (uint64_t id = 1; id <= 5000; id++)
    {
      apply (store, id, LEDGER_RESERVE);
      apply (store, id, LEDGER_SETTLE);
    }
  g_assert_cmpint (ledger_store_commit (store), ==, 0);
  ledger_store_close (store, true);
  store = open_store (folder);
  char *path = oldest_bills_file (folder);
  g_assert_cmpint (truncate (path, 2000 * 88 + 7), ==, 0);
  bool readable = read_pages (store, 0, &lines, &sum);
  g_test_message ("%u of 5000 lines, readable=%d", (unsigned)lines,
                  (int)readable);
  g_assert_false (readable);
  g_assert_cmpuint (lines, <, 5000);
  g_assert_cmpint (unlink (path), ==, 0);
  g_assert_false (read_pages (store, 0, &lines, &sum));
  ledger_store_close (store, false);
  tool_folder_remove (folder);
  g_free (path);
  g_free (folder);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/ledger_server/full-disk", test_full_disk);
  g_test_add_func ("/ledger_server/statement", test_statement);
  g_test_add_func ("/ledger_server/short-file-ends-statement",
                   test_short_file_ends_statement);
  return g_test_run ();
}
