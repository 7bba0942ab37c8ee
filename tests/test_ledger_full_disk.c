/** @file
 *  Tests of the process cactus-ledger while its disk is full. */

#include <signal.h>
#include <string.h>

#include <glib.h>

#include "base_clock.h"
#include "base_hash.h"
#include "ledger_rig.h"
#include "wire_client.h"

#define ACCOUNT "lonja"
#define BUDGET "default"
#define BUDGET_TOKENS UINT64_C (100000)
#define USED_TOKENS 7
#define DEADLINE_MS 1000
#define FULL_MS 3000
/* Time within which a ledger serves after its disk has room again. */
#define SERVE_MS 6000
#define POLL_US 20000

struct fixture
{
  struct ledger_rig *rig;
  struct ledger_rig_process process;
  struct ledger_client *client;
  uint32_t acknowledged;
};

static uint64_t
now_ms (void)
{
  return base_clock_now_ms (base_clock_system ());
}

static bool
reserve (struct fixture *fixture, struct ledger_request *request)
{
  struct ledger_reserve *args = &request->op.ledger_op_u.reserve;
  memset (request, 0, sizeof *request);
  request->op.kind = LEDGER_RESERVE;
  request->deadline_ms = now_ms () + DEADLINE_MS;
  args->reservation_id = ledger_client_next_id (fixture->client);
  args->account_id = base_account_id (ACCOUNT);
  args->budget_id = base_budget_id (ACCOUNT, BUDGET);
  memcpy (args->key, &args->reservation_id, sizeof args->reservation_id);
  args->tokens = 10;
  return ledger_rig_call (fixture->client, request)
         && request->result.status == LEDGER_OK;
}

/* Settles a reservation; sent again until it is acknowledged, it must be
   billed once. */
static void
settle (struct fixture *fixture, struct ledger_request *request)
{
  uint64_t end_ms = now_ms () + FULL_MS + SERVE_MS;
  uint64_t id = request->op.ledger_op_u.reserve.reservation_id;
  struct ledger_request sent;
  do
    {
      g_assert_cmpuint (now_ms (), <, end_ms);
      memset (&sent, 0, sizeof sent);
      sent.op.kind = LEDGER_SETTLE;
      sent.ledger = request->ledger;
      sent.op.ledger_op_u.settle.reservation_id = id;
      sent.op.ledger_op_u.settle.used_tokens = USED_TOKENS;
    }
  while (!ledger_rig_call (fixture->client, &sent)
         || sent.result.status != LEDGER_OK);
  fixture->acknowledged++;
}

/* Whether a request is served and billed in time. */
static bool
is_served (struct fixture *fixture, uint64_t limit_ms)
{
  struct ledger_request request;
  uint64_t end_ms = now_ms () + limit_ms;
  while (!reserve (fixture, &request))
    {
      if (now_ms () >= end_ms)
        return false;
      g_usleep (POLL_US);
    }
  settle (fixture, &request);
  return true;
}

static struct ledger_budget_result
read_budget (struct fixture *fixture)
{
  struct ledger_budget_result result;
  struct ledger_budget_args args = { base_budget_id (ACCOUNT, BUDGET) };
  struct wire_client *wire = wire_client_create (
      "127.0.0.1", fixture->process.rpc_port, LEDGER_PROGRAM, LEDGER_VERSION);
  g_assert_cmpint (wire_client_call (wire, LEDGER_BUDGET,
                                     (xdrproc_t)xdr_ledger_budget_args, &args,
                                     (xdrproc_t)xdr_ledger_budget_result,
                                     &result, sizeof result, DEADLINE_MS),
                   ==, WIRE_OK);
  wire_client_destroy (wire);
  return result;
}

static void
check_spent (struct fixture *fixture)
{
  struct ledger_budget_result budget = read_budget (fixture);
  g_assert_cmpuint (budget.spent_tokens, ==,
                    fixture->acknowledged * USED_TOKENS);
  g_assert_cmpuint (budget.reserved_tokens, ==, 0);
}

static void
start (struct fixture *fixture)
{
  g_assert_true (ledger_rig_start_program (fixture->rig, "cactus-ledger-full",
                                           "a", &fixture->process, NULL));
  struct ledger_endpoint endpoint
      = ledger_rig_endpoint ("a", &fixture->process);
  fixture->client
      = ledger_client_create ("cactus", "router", 9, "zone", "region");
  ledger_client_set_ledgers (fixture->client, &endpoint, 1);
}

/* Guards against a ledger that doesn't serve again after its disk was full,
   or that forgets or repeats a bill: the disk fills before and after a
   reservation, in each way. */
static void
test_serves_again (void)
{
  static const char *const kinds[] = { "", "half", "names", "sync" };
  struct fixture fixture = { .rig = ledger_rig_create () };
  struct ledger_request held;
  ledger_rig_top_up (fixture.rig, ACCOUNT, BUDGET, BUDGET_TOKENS);
  start (&fixture);
  g_assert_true (is_served (&fixture, SERVE_MS));
  for (uint32_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      struct ledger_request refused;
      g_assert_true (reserve (&fixture, &held));
      ledger_rig_fill (fixture.rig, "a", kinds[i]);
      bool served = reserve (&fixture, &refused);
      /* The log has room as long as it needs no new file. */
      g_assert_cmpint (served, ==, strcmp (kinds[i], "names") == 0);
      if (served)
        settle (&fixture, &refused);
      g_usleep (FULL_MS * 1000);
      ledger_rig_fill (fixture.rig, "a", NULL);
      g_assert_true (is_served (&fixture, SERVE_MS));
      settle (&fixture, &held);
      check_spent (&fixture);
    }
  ledger_client_destroy (fixture.client, SERVE_MS);
  ledger_rig_stop (&fixture.process, SIGKILL);
  start (&fixture);
  g_assert_true (is_served (&fixture, SERVE_MS));
  check_spent (&fixture);
  ledger_client_destroy (fixture.client, SERVE_MS);
  ledger_rig_stop (&fixture.process, SIGTERM);
  ledger_rig_destroy (fixture.rig);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/ledger-full-disk/serves-again", test_serves_again);
  return g_test_run ();
}
