/** @file
 *  Tests of the process cactus-ledger: SIGKILL under load, a torn tail and a
 *  flipped byte in the log, control unreachable, ledgers that share a
 *  budget. */

#include <fcntl.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "base_clock.h"
#include "base_hash.h"
#include "base_random.h"
#include "ledger_rig.h"
#include "wire_client.h"

#define CALLERS 8
#define BUDGET_TOKENS UINT64_C (100000000)
#define DEADLINE_MS 20000

/* A thread that calls the ledger and counts the settlements that were
   acknowledged. */
struct caller
{
  struct ledger_client *client;
  uint32_t number;
  /* Acknowledged settlements and their tokens. */
  atomic_uint_least64_t acknowledged;
  uint64_t tokens;
  atomic_bool *stopping;
};

static uint64_t
now_ms (void)
{
  return base_clock_now_ms (base_clock_system ());
}

static struct ledger_request
reserve_request (struct ledger_client *client, uint64_t key, uint64_t tokens,
                 uint64_t wait_ms)
{
  struct ledger_request request = { 0 };
  struct ledger_reserve *reserve = &request.op.ledger_op_u.reserve;
  request.op.kind = LEDGER_RESERVE;
  request.deadline_ms = now_ms () + wait_ms;
  reserve->reservation_id = ledger_client_next_id (client);
  reserve->account_id = base_account_id ("lonja");
  reserve->budget_id = base_budget_id ("lonja", "default");
  memcpy (reserve->key, &key, sizeof key);
  reserve->tokens = tokens;
  reserve->key_from_caller = true;
  return request;
}

/* Settles, extends or releases the reservation of @p held. */
static enum ledger_status
end_request (struct ledger_client *client, const struct ledger_request *held,
             enum ledger_op_kind kind, uint64_t tokens)
{
  struct ledger_request request = { 0 };
  request.op.kind = kind;
  request.ledger = held->ledger;
  request.op.ledger_op_u.settle.reservation_id
      = held->op.ledger_op_u.reserve.reservation_id;
  if (kind != LEDGER_RELEASE)
    request.op.ledger_op_u.settle.used_tokens = tokens;
  ledger_rig_call (client, &request);
  return request.result.status;
}

/* Reserves and settles until stopping is set. */
static gpointer
call_until_stopped (gpointer data)
{
  struct caller *caller = data;
  uint64_t count = 0;
  while (!atomic_load (caller->stopping))
    {
      uint64_t key = (uint64_t)caller->number << 32 | ++count;
      struct ledger_request held
          = reserve_request (caller->client, key, 100, DEADLINE_MS);
      if (!ledger_rig_call (caller->client, &held)
          || held.result.status != LEDGER_OK)
        continue;
      uint64_t used = 1 + count % 100;
      if (end_request (caller->client, &held, LEDGER_SETTLE, used)
          != LEDGER_OK)
        continue;
      caller->tokens += used;
      atomic_fetch_add (&caller->acknowledged, 1);
    }
  return NULL;
}

/* Reads the whole statement, which must hold no key twice, and counts its
   lines and tokens. */
static void
read_statement (uint16_t port, uint64_t *lines, uint64_t *tokens)
{
  struct wire_client *wire
      = wire_client_create ("127.0.0.1", port, LEDGER_PROGRAM, LEDGER_VERSION);
  struct ledger_bills_args args = { 0 };
  GHashTable *seen
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  *lines = 0;
  *tokens = 0;
  do
    {
      struct ledger_bills_result result;
      enum wire_status status = wire_client_call (
          wire, LEDGER_BILLS, (xdrproc_t)xdr_ledger_bills_args, &args,
          (xdrproc_t)xdr_ledger_bills_result, &result, sizeof result, 10000);
      g_assert_cmpint (status, ==, WIRE_OK);
      for (u_int i = 0; i < result.bills.bills_len; i++)
        {
          const struct ledger_bill *bill = &result.bills.bills_val[i];
          uint64_t *key = g_memdup2 (bill->key, sizeof *key);
          g_assert_false (bill->written_off);
          g_assert_true (g_hash_table_add (seen, key));
          *tokens += bill->tokens;
        }
      *lines += result.bills.bills_len;
      args.after_index = result.next_index;
      xdr_free ((xdrproc_t)xdr_ledger_bills_result, (char *)&result);
    }
  while (args.after_index != 0);
  g_hash_table_unref (seen);
  wire_client_destroy (wire);
}

static struct ledger_budget_result
read_budget (uint16_t port)
{
  struct ledger_budget_result result;
  struct ledger_budget_args args = { base_budget_id ("lonja", "default") };
  struct wire_client *wire
      = wire_client_create ("127.0.0.1", port, LEDGER_PROGRAM, LEDGER_VERSION);
  g_assert_cmpint (wire_client_call (wire, LEDGER_BUDGET,
                                     (xdrproc_t)xdr_ledger_budget_args, &args,
                                     (xdrproc_t)xdr_ledger_budget_result,
                                     &result, sizeof result, 10000),
                   ==, WIRE_OK);
  wire_client_destroy (wire);
  return result;
}

static void
wait_acknowledged (struct caller *callers, uint64_t count)
{
  uint64_t total = 0;
  while (total < count)
    {
      total = 0;
      for (int i = 0; i < CALLERS; i++)
        total += atomic_load (&callers[i].acknowledged);
      g_usleep (2000);
    }
}

/* After several kills by SIGKILL under load, the statement holds each
   acknowledged bill exactly once, and its tokens add up. */
static void
test_kill_under_load (void)
{
  struct ledger_rig *rig = ledger_rig_create ();
  struct ledger_rig_process process;
  struct caller callers[CALLERS] = { 0 };
  GThread *threads[CALLERS];
  atomic_bool stopping = false;
  uint64_t lines, tokens, acknowledged = 0, acknowledged_tokens = 0;
  ledger_rig_top_up (rig, "lonja", "default", BUDGET_TOKENS);
  g_assert_true (ledger_rig_start (rig, "a", &process, NULL));
  struct ledger_client *client
      = ledger_client_create ("cactus", "router", 77, "zone", "region");
  struct ledger_endpoint endpoint = ledger_rig_endpoint ("a", &process);
  ledger_client_set_ledgers (client, &endpoint, 1);
  for (uint32_t i = 0; i < CALLERS; i++)
    {
      callers[i].client = client;
      callers[i].number = i + 1;
      callers[i].stopping = &stopping;
      threads[i] = g_thread_new ("caller", call_until_stopped, &callers[i]);
    }
  for (uint64_t kills = 1; kills <= 4; kills++)
    {
      wait_acknowledged (callers, kills * 300);
      ledger_rig_stop (&process, SIGKILL);
      g_assert_true (ledger_rig_start (rig, "a", &process, NULL));
      endpoint = ledger_rig_endpoint ("a", &process);
      ledger_client_set_ledgers (client, &endpoint, 1);
    }
  wait_acknowledged (callers, 1500);
  atomic_store (&stopping, true);
  for (int i = 0; i < CALLERS; i++)
    {
      g_thread_join (threads[i]);
      acknowledged += atomic_load (&callers[i].acknowledged);
      acknowledged_tokens += callers[i].tokens;
    }
  g_assert_cmpuint (ledger_client_destroy (client, 5000), ==, 0);
  read_statement (process.rpc_port, &lines, &tokens);
  struct ledger_budget_result budget = read_budget (process.rpc_port);
  g_assert_cmpuint (lines, ==, acknowledged);
  g_assert_cmpuint (tokens, ==, acknowledged_tokens);
  g_assert_cmpuint (budget.spent_tokens, ==, acknowledged_tokens);
  g_assert_cmpuint (budget.reserved_tokens, ==, 0);
  g_assert_cmpint (ledger_rig_stop (&process, SIGTERM), ==, 0);
  ledger_rig_destroy (rig);
}

/* Reserves and settles @p count requests of 10 tokens. */
static void
settle_some (struct ledger_client *client, uint64_t first_key, int count)
{
  for (int i = 0; i < count; i++)
    {
      struct ledger_request held
          = reserve_request (client, first_key + (uint64_t)i, 10, DEADLINE_MS);
      g_assert_true (ledger_rig_call (client, &held));
      g_assert_cmpint (held.result.status, ==, LEDGER_OK);
      g_assert_cmpint (end_request (client, &held, LEDGER_SETTLE, 10), ==,
                       LEDGER_OK);
    }
}

static char *
newest_segment (const char *folder)
{
  char *newest = NULL;
  const char *name;
  GDir *listing = g_dir_open (folder, 0, NULL);
  while ((name = g_dir_read_name (listing)))
    if (g_str_has_prefix (name, "log-")
        && (!newest || strcmp (name, newest) > 0))
      {
        g_free (newest);
        newest = g_strdup (name);
      }
  g_dir_close (listing);
  char *path = g_build_filename (folder, newest, NULL);
  g_free (newest);
  return path;
}

static struct ledger_client *
client_of (struct ledger_rig_process *process)
{
  struct ledger_client *client
      = ledger_client_create ("cactus", "router", 78, "zone", "region");
  struct ledger_endpoint endpoint = ledger_rig_endpoint ("a", process);
  ledger_client_set_ledgers (client, &endpoint, 1);
  return client;
}

/* A tail torn by a crash is truncated; a flipped bit in the middle of the log
   makes the start fail with a message that names file and offset. */
static void
test_damaged_files (void)
{
  struct ledger_rig *rig = ledger_rig_create ();
  struct ledger_rig_process process;
  uint64_t lines, tokens;
  char *messages, *contents;
  gsize bytes;
  ledger_rig_top_up (rig, "lonja", "default", BUDGET_TOKENS);
  g_assert_true (ledger_rig_start (rig, "a", &process, NULL));
  struct ledger_client *client = client_of (&process);
  settle_some (client, 1, 20);
  ledger_rig_stop (&process, SIGKILL);
  ledger_client_destroy (client, 0);
  char *folder = ledger_rig_folder (rig, "a");
  char *path = newest_segment (folder);
  int fd = open (path, O_WRONLY | O_APPEND);
  g_assert_cmpint (write (fd, "CACR\0\0torn", 10), ==, 10);
  close (fd);
  g_assert_true (ledger_rig_start (rig, "a", &process, NULL));
  read_statement (process.rpc_port, &lines, &tokens);
  g_assert_cmpuint (lines, ==, 20);
  g_assert_cmpuint (tokens, ==, 200);
  ledger_rig_stop (&process, SIGKILL);
  g_assert_true (g_file_get_contents (path, &contents, &bytes, NULL));
  contents[bytes / 2] ^= 1;
  g_assert_true (g_file_set_contents (path, contents, (gssize)bytes, NULL));
  g_assert_false (ledger_rig_start (rig, "a", &process, &messages));
  g_assert_nonnull (strstr (messages, path));
  g_assert_nonnull (strstr (messages, "offset"));
  g_free (messages);
  g_free (contents);
  g_free (path);
  g_free (folder);
  ledger_rig_destroy (rig);
}

/* Idle tokens of one ledger are recalled for the other one within the deadline
   of a reservation.  While control is unreachable, a refusal reports the
   remaining free tokens, and no token is spent twice. */
static void
test_recall_between_ledgers (void)
{
  struct ledger_rig *rig = ledger_rig_create ();
  struct ledger_rig_process a, b;
  g_assert_true (ledger_rig_start (rig, "a", &a, NULL));
  struct ledger_client *at_a = client_of (&a);
  ledger_rig_top_up (rig, "lonja", "default", 10000);
  struct ledger_request held = reserve_request (at_a, 1, 10000, DEADLINE_MS);
  g_assert_true (ledger_rig_call (at_a, &held));
  g_assert_cmpint (held.result.status, ==, LEDGER_OK);
  g_assert_cmpint (end_request (at_a, &held, LEDGER_RELEASE, 0), ==,
                   LEDGER_OK);
  g_assert_true (ledger_rig_start (rig, "b", &b, NULL));
  struct ledger_client *at_b
      = ledger_client_create ("cactus", "other", 79, "zone", "region");
  struct ledger_endpoint endpoint = ledger_rig_endpoint ("b", &b);
  ledger_client_set_ledgers (at_b, &endpoint, 1);
  struct ledger_request second = reserve_request (at_b, 2, 9000, DEADLINE_MS);
  do
    {
      second = reserve_request (at_b, 2, 9000, DEADLINE_MS);
      g_assert_true (ledger_rig_call (at_b, &second));
    }
  while (second.result.status == LEDGER_NO_BUDGET);
  g_assert_cmpint (second.result.status, ==, LEDGER_OK);
  ledger_rig_set_control_unavailable (rig, true);
  struct ledger_request third = reserve_request (at_a, 3, 2000, DEADLINE_MS);
  g_assert_true (ledger_rig_call (at_a, &third));
  g_assert_cmpint (third.result.status, ==, LEDGER_NO_BUDGET);
  g_assert_cmpuint (third.result.tokens, <=, 1000);
  g_assert_cmpuint (third.result.retry_after_ms, >=, 1000);
  ledger_rig_set_control_unavailable (rig, false);
  g_assert_cmpint (end_request (at_b, &second, LEDGER_SETTLE, 9000), ==,
                   LEDGER_OK);
  ledger_client_destroy (at_a, 1000);
  ledger_client_destroy (at_b, 1000);
  g_assert_cmpint (ledger_rig_stop (&a, SIGTERM), ==, 0);
  g_assert_cmpint (ledger_rig_stop (&b, SIGTERM), ==, 0);
  ledger_rig_destroy (rig);
}

/* With routers in two zones of a region, a caller's retry through the other
   router is answered with the bill, whichever ledger has the key. */
static void
test_one_bill_in_a_region (void)
{
  struct ledger_rig *rig = ledger_rig_create ();
  struct ledger_rig_process processes[2];
  struct ledger_endpoint endpoints[2];
  struct ledger_client *clients[2];
  uint32_t used[2] = { 0 };
  ledger_rig_top_up (rig, "lonja", "default", BUDGET_TOKENS);
  for (int i = 0; i < 2; i++)
    {
      const char *host = i == 0 ? "a" : "b";
      g_assert_true (ledger_rig_start (rig, host, &processes[i], NULL));
      endpoints[i] = ledger_rig_endpoint (host, &processes[i]);
      g_strlcpy (endpoints[i].availability_zone, host,
                 sizeof endpoints[i].availability_zone);
    }
  for (int i = 0; i < 2; i++)
    {
      const char *zone = i == 0 ? "a" : "b";
      clients[i] = ledger_client_create ("cactus", zone, 90 + (uint64_t)i,
                                         zone, "region");
      ledger_client_set_ledgers (clients[i], endpoints, 2);
    }
  for (uint64_t key = 1; key <= 40; key++)
    {
      struct ledger_request held
          = reserve_request (clients[0], key, 10, DEADLINE_MS);
      g_assert_true (ledger_rig_call (clients[0], &held));
      g_assert_cmpint (held.result.status, ==, LEDGER_OK);
      used[held.ledger]++;
      g_assert_cmpint (end_request (clients[0], &held, LEDGER_SETTLE, 10), ==,
                       LEDGER_OK);
      struct ledger_request again
          = reserve_request (clients[1], key, 10, DEADLINE_MS);
      g_assert_true (ledger_rig_call (clients[1], &again));
      g_assert_cmpint (again.result.status, ==, LEDGER_DUPLICATE_DONE);
      g_assert_cmpuint (again.result.tokens, ==, 10);
    }
  g_assert_cmpuint (used[0], >, 0);
  g_assert_cmpuint (used[1], >, 0);
  for (int i = 0; i < 2; i++)
    {
      ledger_client_destroy (clients[i], 1000);
      g_assert_cmpint (ledger_rig_stop (&processes[i], SIGTERM), ==, 0);
    }
  ledger_rig_destroy (rig);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/ledger_process/kill-under-load", test_kill_under_load);
  g_test_add_func ("/ledger_process/damaged-files", test_damaged_files);
  g_test_add_func ("/ledger_process/recall-between-ledgers",
                   test_recall_between_ledgers);
  g_test_add_func ("/ledger_process/one-bill-in-a-region",
                   test_one_bill_in_a_region);
  return g_test_run ();
}
