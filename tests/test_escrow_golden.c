/** @file
 *  Golden file of a run of one budget at control and two ledgers: requests,
 *  retries, a ledger that can't reach control and reconnects, and a router
 *  that settles after its session expired.  CACTUS_GOLDEN_WRITE=1 rewrites
 *  the file. */

#include <string.h>

#include <glib.h>

#include "base_hash.h"
#include "escrow_ledger.h"
#include "escrow_pool.h"

#define LEASE_MS 10000
#define GOLDEN_FILE "tests/golden/escrow-cut-and-heal.txt"

/* One run: control's pool, the ledgers, and the text for the golden file. */
struct run
{
  struct escrow_pool *pool;
  struct escrow_ledger *ledgers[2];
  /* Whether the ledger can't reach control. */
  bool cut[2];
  uint64_t now_ms;
  GString *text;
};

static char cluster[] = "c";
static char *const names[2] = { (char *)"santander", (char *)"vigo" };

static const char *
status_name (enum ledger_status status)
{
  static const char *const texts[] = {
    "ok",           "no-budget",           "duplicate-done", "duplicate-open",
    "key-conflict", "unknown-reservation", "session-lapsed", "unavailable",
    "bad-request"
  };
  return texts[status];
}

static uint64_t
budget_id (void)
{
  return base_budget_id ("lonja", "default");
}

static void
op (struct run *run, int ledger, const char *router, uint64_t incarnation,
    const char *name, struct ledger_op *sent)
{
  struct ledger_op_result result;
  escrow_ledger_open_session (run->ledgers[ledger], router, incarnation,
                              run->now_ms);
  escrow_ledger_op (run->ledgers[ledger], incarnation, sent, run->now_ms,
                    &result);
  g_string_append_printf (run->text,
                          "%6" G_GUINT64_FORMAT " %s -> %s: %s: %s %lu "
                          "retry-after-ms %u\n",
                          run->now_ms, router, names[ledger], name,
                          status_name (result.status),
                          (unsigned long)result.tokens, result.retry_after_ms);
}

static void
reserve (struct run *run, int ledger, const char *router, uint64_t id,
         const char *key, const char *body, uint64_t tokens)
{
  struct ledger_op sent = { .kind = LEDGER_RESERVE };
  struct ledger_reserve *reserve = &sent.ledger_op_u.reserve;
  char *name
      = g_strdup_printf ("reserve %lu key %s body %s tokens %lu",
                         (unsigned long)id, key, body, (unsigned long)tokens);
  reserve->reservation_id = id;
  reserve->account_id = base_account_id ("lonja");
  reserve->budget_id = budget_id ();
  base_digest ((uint8_t *)reserve->key, key, strlen (key));
  base_digest ((uint8_t *)reserve->body_digest, body, strlen (body));
  reserve->tokens = tokens;
  reserve->key_from_caller = true;
  op (run, ledger, router, base_hash_string (router), name, &sent);
  g_free (name);
}

static void
end (struct run *run, int ledger, const char *router, uint64_t id,
     enum ledger_op_kind kind, uint64_t tokens)
{
  static const char *const kinds[] = { "", "", "extend", "settle", "release" };
  struct ledger_op sent = { .kind = kind };
  char *name = g_strdup_printf ("%s %lu tokens %lu", kinds[kind],
                                (unsigned long)id, (unsigned long)tokens);
  sent.ledger_op_u.settle.reservation_id = id;
  if (kind != LEDGER_RELEASE)
    sent.ledger_op_u.settle.used_tokens = tokens;
  op (run, ledger, router, base_hash_string (router), name, &sent);
  g_free (name);
}

static void
top_up (struct run *run, const char *id, uint64_t tokens)
{
  struct control_top_up_result result;
  struct control_top_up_args args = { .cluster = cluster,
                                      .top_up_id = (char *)id,
                                      .operator_name = cluster,
                                      .account = (char *)"lonja",
                                      .budget = (char *)"default",
                                      .tokens = tokens };
  escrow_pool_top_up (run->pool, &args, run->now_ms, &result);
  g_string_append_printf (
      run->text, "%6lu top-up %s tokens %lu: topped up %lu\n",
      (unsigned long)run->now_ms, id, (unsigned long)tokens,
      (unsigned long)result.topped_up_tokens);
  xdr_free ((xdrproc_t)xdr_control_top_up_result, (char *)&result);
}

static void
exchange (struct run *run, int ledger)
{
  struct control_ledger_result result;
  struct control_ledger_args args = { 0 };
  run->now_ms += 10;
  escrow_ledger_set_connected (run->ledgers[ledger], !run->cut[ledger]);
  if (run->cut[ledger])
    {
      g_string_append_printf (run->text, "%6lu %s: control unreachable\n",
                              (unsigned long)run->now_ms, names[ledger]);
      return;
    }
  escrow_ledger_report (run->ledgers[ledger], run->now_ms, 100, &args);
  args.cluster = g_strdup (cluster);
  args.ledger = g_strdup (names[ledger]);
  args.incarnation = (uint64_t)ledger + 1;
  escrow_pool_exchange (run->pool, &args, run->now_ms, &result);
  escrow_ledger_handle_answer (run->ledgers[ledger], &result, run->now_ms);
  g_string_append_printf (run->text, "%6lu %s: exchange",
                          (unsigned long)run->now_ms, names[ledger]);
  for (u_int i = 0; i < args.returns.returns_len; i++)
    g_string_append_printf (run->text, " return %lu",
                            args.returns.returns_val[i].tokens);
  for (u_int i = 0; i < result.grants.grants_len; i++)
    g_string_append_printf (run->text, " grant %lu",
                            result.grants.grants_val[i].tokens);
  for (u_int i = 0; i < result.recalls.recalls_len; i++)
    g_string_append_printf (run->text, " recall %lu",
                            result.recalls.recalls_val[i].tokens);
  g_string_append (run->text, "\n");
  xdr_free ((xdrproc_t)xdr_control_ledger_args, (char *)&args);
  xdr_free ((xdrproc_t)xdr_control_ledger_result, (char *)&result);
}

static void
exchanges (struct run *run)
{
  for (int round = 0; round < 3; round++)
    for (int i = 0; i < 2; i++)
      exchange (run, i);
}

static void
show (struct run *run)
{
  struct control_budget_result control;
  escrow_pool_budget (run->pool, budget_id (), &control);
  g_string_append_printf (run->text,
                          "%6lu control: topped up %lu unallocated %lu\n",
                          (unsigned long)run->now_ms, control.topped_up_tokens,
                          control.unallocated_tokens);
  xdr_free ((xdrproc_t)xdr_control_budget_result, (char *)&control);
  for (int i = 0; i < 2; i++)
    {
      struct ledger_budget_result shown;
      escrow_ledger_budget (run->ledgers[i], budget_id (), &shown);
      g_string_append_printf (
          run->text,
          "%6lu %s: free %lu reserved %lu spent %lu written off %lu\n",
          (unsigned long)run->now_ms, names[i], shown.free_tokens,
          shown.reserved_tokens, shown.spent_tokens, shown.written_off_tokens);
    }
}

static void
lapse (struct run *run, int ledger)
{
  uint32_t count = escrow_ledger_expire_sessions (run->ledgers[ledger],
                                                  LEASE_MS, run->now_ms);
  g_string_append_printf (run->text,
                          "%6lu %s: %u orphaned reservations written off\n",
                          (unsigned long)run->now_ms, names[ledger], count);
}

static void
play (struct run *run)
{
  exchanges (run);
  reserve (run, 0, "router-1", 1, "sheet-7", "cod", 900);
  top_up (run, "may", 10000);
  top_up (run, "may", 10000);
  exchanges (run);
  reserve (run, 0, "router-1", 2, "sheet-7", "cod", 900);
  reserve (run, 0, "router-1", 3, "sheet-7", "cod", 900);
  reserve (run, 0, "router-1", 4, "sheet-7", "hake", 900);
  end (run, 0, "router-1", 2, LEDGER_SETTLE, 640);
  end (run, 0, "router-1", 2, LEDGER_SETTLE, 640);
  reserve (run, 0, "router-1", 5, "sheet-7", "cod", 900);
  show (run);
  g_string_append (run->text, "-- vigo can't reach control\n");
  run->cut[1] = true;
  top_up (run, "june", 4000);
  exchanges (run);
  reserve (run, 1, "router-2", 1, "lot-1", "squid", 4000);
  reserve (run, 1, "router-2", 2, "lot-2", "squid", 6000);
  reserve (run, 0, "router-1", 6, "lot-3", "prawn", 9000);
  exchange (run, 0);
  reserve (run, 0, "router-1", 7, "lot-3", "prawn", 6000);
  end (run, 0, "router-1", 7, LEDGER_EXTEND, 256);
  show (run);
  g_string_append (run->text, "-- vigo reaches control again\n");
  run->cut[1] = false;
  end (run, 1, "router-2", 1, LEDGER_SETTLE, 100);
  exchanges (run);
  reserve (run, 1, "router-2", 3, "lot-2", "squid", 6000);
  exchanges (run);
  reserve (run, 1, "router-2", 4, "lot-2", "squid", 5000);
  end (run, 1, "router-2", 4, LEDGER_RELEASE, 0);
  show (run);
  g_string_append (run->text, "-- router-1 hangs for longer than its lease\n");
  run->now_ms += LEASE_MS;
  lapse (run, 0);
  show (run);
  end (run, 0, "router-1", 7, LEDGER_SETTLE, 200);
  end (run, 0, "router-1", 7, LEDGER_SETTLE, 250);
  exchanges (run);
  show (run);
}

static void
test_golden (void)
{
  char *expected = NULL;
  const char *source = g_getenv ("CACTUS_SOURCE");
  char *path = g_build_filename (source ? source : ".", GOLDEN_FILE, NULL);
  struct run run = { .now_ms = 1000, .text = g_string_new (NULL) };
  run.pool = escrow_pool_create (ESCROW_POLICY_DEMAND_FLOOR);
  for (int i = 0; i < 2; i++)
    run.ledgers[i] = escrow_ledger_create ();
  play (&run);
  if (g_getenv ("CACTUS_GOLDEN_WRITE"))
    g_assert_true (g_file_set_contents (path, run.text->str, -1, NULL));
  g_assert_true (g_file_get_contents (path, &expected, NULL, NULL));
  g_assert_cmpstr (run.text->str, ==, expected);
  for (int i = 0; i < 2; i++)
    escrow_ledger_destroy (run.ledgers[i]);
  escrow_pool_destroy (run.pool);
  g_string_free (run.text, TRUE);
  g_free (expected);
  g_free (path);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/escrow_golden/cut-and-heal", test_golden);
  return g_test_run ();
}
