/** @file
 *  Tests of control's pool: top-ups and returns count once, grants are resent
 *  until acknowledged, recalls, fencing, snapshots. */

#include <string.h>

#include <glib.h>

#include "base_hash.h"
#include "escrow_pool.h"

static char cluster[] = "c";

static enum control_status
top_up (struct escrow_pool *pool, const char *id, uint64_t tokens,
        uint64_t *total)
{
  struct control_top_up_result result;
  struct control_top_up_args args = { .cluster = cluster,
                                      .top_up_id = (char *)id,
                                      .operator_name = cluster,
                                      .account = (char *)"lonja",
                                      .budget = (char *)"default",
                                      .tokens = tokens };
  escrow_pool_top_up (pool, &args, 1000, &result);
  enum control_status status = result.answer.status;
  if (total)
    *total = result.topped_up_tokens;
  xdr_free ((xdrproc_t)xdr_control_top_up_result, (char *)&result);
  return status;
}

static struct control_ledger_result
exchange (struct escrow_pool *pool, const char *ledger, uint64_t incarnation,
          uint64_t grant_ack, struct control_demand *demand,
          struct control_transfer *back)
{
  struct control_ledger_result result;
  struct control_ledger_args args = { .cluster = cluster,
                                      .ledger = (char *)ledger,
                                      .incarnation = incarnation,
                                      .grant_ack_sequence = grant_ack };
  args.demands.demands_len = demand ? 1 : 0;
  args.demands.demands_val = demand;
  args.returns.returns_len = back ? 1 : 0;
  args.returns.returns_val = back;
  escrow_pool_exchange (pool, &args, 1000, &result);
  return result;
}

static void
release (struct control_ledger_result *result)
{
  xdr_free ((xdrproc_t)xdr_control_ledger_result, (char *)result);
}

static uint64_t
lonja (void)
{
  return base_budget_id ("lonja", "default");
}

static void
assert_sound (struct escrow_pool *pool)
{
  struct base_findings *findings = base_findings_create ();
  escrow_pool_audit (pool, findings);
  g_assert_cmpuint (base_findings_count (findings), ==, 0);
  base_findings_destroy (findings);
}

static void
test_top_up_once (void)
{
  uint64_t total;
  struct escrow_pool *pool = escrow_pool_create (ESCROW_POLICY_DEMAND_FLOOR);
  g_assert_cmpint (top_up (pool, "t1", 500, &total), ==, CONTROL_OK);
  g_assert_cmpint (top_up (pool, "t2", 200, &total), ==, CONTROL_OK);
  g_assert_cmpuint (total, ==, 700);
  g_assert_cmpint (top_up (pool, "t1", 500, &total), ==, CONTROL_OK);
  g_assert_cmpuint (total, ==, 500);
  g_assert_cmpint (top_up (pool, "t1", 501, NULL), ==, CONTROL_CONFLICT);
  g_assert_cmpint (top_up (pool, "t3", 0, NULL), ==, CONTROL_REFUSED);
  g_assert_cmpint (top_up (pool, "t4", UINT64_MAX, NULL), ==, CONTROL_REFUSED);
  assert_sound (pool);
  escrow_pool_destroy (pool);
}

static void
test_grants_resent (void)
{
  struct escrow_pool *pool = escrow_pool_create (ESCROW_POLICY_ON_DEMAND_ONLY);
  struct control_demand demand = { .budget_id = lonja (), .want_tokens = 300 };
  top_up (pool, "t1", 1000, NULL);
  struct control_ledger_result first
      = exchange (pool, "a", 1, 0, &demand, NULL);
  struct control_ledger_result again = exchange (pool, "a", 1, 0, NULL, NULL);
  struct control_ledger_result later = exchange (pool, "a", 1, 1, NULL, NULL);
  g_assert_cmpuint (first.grants.grants_len, ==, 1);
  g_assert_cmpuint (first.grants.grants_val[0].tokens, ==, 300);
  g_assert_cmpuint (again.grants.grants_len, ==, 1);
  g_assert_cmpuint (again.grants.grants_val[0].sequence, ==, 1);
  g_assert_cmpuint (later.grants.grants_len, ==, 0);
  release (&first);
  release (&again);
  release (&later);
  assert_sound (pool);
  escrow_pool_destroy (pool);
}

static void
test_recall_and_return_once (void)
{
  struct escrow_pool *pool = escrow_pool_create (ESCROW_POLICY_ON_DEMAND_ONLY);
  struct control_demand all = { .budget_id = lonja (), .want_tokens = 1000 };
  struct control_demand idle = { .budget_id = lonja (), .free_tokens = 1000 };
  struct control_demand some = { .budget_id = lonja (), .want_tokens = 400 };
  struct control_transfer back = { 1, lonja (), 400 };
  top_up (pool, "t1", 1000, NULL);
  struct control_ledger_result a = exchange (pool, "a", 1, 0, &all, NULL);
  release (&a);
  a = exchange (pool, "a", 1, 1, &idle, NULL);
  release (&a);
  struct control_ledger_result b = exchange (pool, "b", 2, 0, &some, NULL);
  g_assert_cmpuint (b.grants.grants_len, ==, 0);
  g_assert_cmpuint (b.recalls.recalls_len, ==, 0);
  release (&b);
  a = exchange (pool, "a", 1, 1, NULL, NULL);
  g_assert_cmpuint (a.recalls.recalls_len, ==, 1);
  g_assert_cmpuint (a.recalls.recalls_val[0].tokens, ==, 400);
  release (&a);
  for (int i = 0; i < 2; i++)
    {
      a = exchange (pool, "a", 1, 1, NULL, &back);
      g_assert_cmpuint (a.return_ack_sequence, ==, 1);
      release (&a);
    }
  b = exchange (pool, "b", 2, 0, NULL, NULL);
  g_assert_cmpuint (b.grants.grants_len, ==, 1);
  g_assert_cmpuint (b.grants.grants_val[0].tokens, ==, 400);
  release (&b);
  assert_sound (pool);
  escrow_pool_destroy (pool);
}

static void
test_nothing_left (void)
{
  struct escrow_pool *pool = escrow_pool_create (ESCROW_POLICY_DEMAND_FLOOR);
  struct control_demand want = { .budget_id = lonja (), .want_tokens = 10 };
  struct control_ledger_result a = exchange (pool, "a", 1, 0, &want, NULL);
  g_assert_cmpuint (a.recalls.recalls_len, ==, 1);
  g_assert_cmpuint (a.recalls.recalls_val[0].tokens, ==, 0);
  release (&a);
  top_up (pool, "t1", 10, NULL);
  a = exchange (pool, "a", 1, 0, &want, NULL);
  g_assert_cmpuint (a.recalls.recalls_len, ==, 0);
  g_assert_cmpuint (a.grants.grants_len, ==, 1);
  release (&a);
  escrow_pool_destroy (pool);
}

static void
test_fencing (void)
{
  struct escrow_pool *pool = escrow_pool_create (ESCROW_POLICY_ON_DEMAND_ONLY);
  struct control_demand want = { .budget_id = lonja (), .want_tokens = 300 };
  struct control_transfer back = { 1, lonja (), 300 };
  struct control_budget_result shown;
  top_up (pool, "t1", 1000, NULL);
  struct control_ledger_result a = exchange (pool, "a", 1, 0, &want, NULL);
  release (&a);
  a = exchange (pool, "a", 2, 0, NULL, NULL);
  g_assert_cmpint (a.answer.status, ==, CONTROL_OK);
  g_assert_cmpuint (a.grants.grants_len, ==, 0);
  release (&a);
  a = exchange (pool, "a", 1, 1, NULL, &back);
  g_assert_cmpint (a.answer.status, ==, CONTROL_FENCED);
  release (&a);
  escrow_pool_budget (pool, lonja (), &shown);
  g_assert_cmpuint (shown.unallocated_tokens, ==, 700);
  g_assert_cmpuint (shown.shares.shares_len, ==, 1);
  g_assert_cmpuint (shown.shares.shares_val[0].written_off_tokens, ==, 300);
  xdr_free ((xdrproc_t)xdr_control_budget_result, (char *)&shown);
  assert_sound (pool);
  escrow_pool_destroy (pool);
}

static void
test_save_and_load (void)
{
  size_t used;
  struct escrow_pool *pool = escrow_pool_create (ESCROW_POLICY_ON_DEMAND_ONLY);
  struct control_demand want = { .budget_id = lonja (), .want_tokens = 300 };
  GByteArray *before = g_byte_array_new ();
  GByteArray *after = g_byte_array_new ();
  top_up (pool, "t1", 1000, NULL);
  struct control_ledger_result a = exchange (pool, "a", 1, 0, &want, NULL);
  release (&a);
  escrow_pool_save (pool, before);
  escrow_pool_destroy (pool);
  for (guint cut = 0; cut < before->len; cut++)
    {
      pool = escrow_pool_create (ESCROW_POLICY_ON_DEMAND_ONLY);
      g_assert_cmpint (escrow_pool_load (pool, before->data, cut, &used), ==,
                       -1);
      escrow_pool_destroy (pool);
    }
  pool = escrow_pool_create (ESCROW_POLICY_ON_DEMAND_ONLY);
  g_assert_cmpint (escrow_pool_load (pool, before->data, before->len, &used),
                   ==, 0);
  g_assert_cmpuint (used, ==, before->len);
  escrow_pool_save (pool, after);
  g_assert_cmpuint (after->len, ==, before->len);
  g_assert_cmpint (memcmp (before->data, after->data, before->len), ==, 0);
  escrow_pool_destroy (pool);
  g_byte_array_unref (before);
  g_byte_array_unref (after);
}

/* A snapshot with the same top-up twice is rejected. */
static void
test_load_doubled (void)
{
  size_t used;
  const guint entry_bytes = 1 + 2 + 24;
  struct escrow_pool *pool = escrow_pool_create (ESCROW_POLICY_ON_DEMAND_ONLY);
  GByteArray *bytes = g_byte_array_new ();
  top_up (pool, "t1", 1000, NULL);
  escrow_pool_save (pool, bytes);
  escrow_pool_destroy (pool);
  guint8 *entry
      = g_memdup2 (bytes->data + bytes->len - entry_bytes, entry_bytes);
  bytes->data[bytes->len - entry_bytes - 4] = 2;
  g_byte_array_append (bytes, entry, entry_bytes);
  pool = escrow_pool_create (ESCROW_POLICY_ON_DEMAND_ONLY);
  g_assert_cmpint (escrow_pool_load (pool, bytes->data, bytes->len, &used), ==,
                   -1);
  escrow_pool_destroy (pool);
  g_byte_array_unref (bytes);
  g_free (entry);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/escrow_pool/top-up-once", test_top_up_once);
  g_test_add_func ("/escrow_pool/grants-resent", test_grants_resent);
  g_test_add_func ("/escrow_pool/recall-and-return-once",
                   test_recall_and_return_once);
  g_test_add_func ("/escrow_pool/nothing-left", test_nothing_left);
  g_test_add_func ("/escrow_pool/fencing", test_fencing);
  g_test_add_func ("/escrow_pool/save-and-load", test_save_and_load);
  g_test_add_func ("/escrow_pool/load-doubled", test_load_doubled);
  return g_test_run ();
}
