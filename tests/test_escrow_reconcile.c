/** @file
 *  Tests of ledgers that billed the same key while they were cut off from each
 *  other: only one bill is kept, whatever the order of their exchanges. */

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base_random.h"
#include "escrow_reconcile.h"

#define LEDGERS 3
#define KEYS 40
#define GRANT_TOKENS 1000000
#define ROUTER_INCARNATION 77
#define BUDGET 5
#define FUZZ_STEPS 60000

struct fixture
{
  struct escrow_ledger *ledgers[LEDGERS];
  GByteArray *journals[LEDGERS];
  uint64_t next_id;
  uint64_t now_ms;
};

static const char *const names[LEDGERS] = { "a", "b", "c" };

static void
grant_tokens (struct escrow_ledger *ledger)
{
  struct control_transfer grant = { 1, BUDGET, GRANT_TOKENS };
  struct control_ledger_result result = { 0 };
  result.grants.grants_len = 1;
  result.grants.grants_val = &grant;
  escrow_ledger_handle_answer (ledger, &result, 1);
}

static void
set_up (struct fixture *fixture, gconstpointer data)
{
  (void)data;
  fixture->now_ms = 1000;
  for (int i = 0; i < LEDGERS; i++)
    {
      fixture->ledgers[i] = escrow_ledger_create ();
      fixture->journals[i] = g_byte_array_new ();
      escrow_ledger_set_journal (fixture->ledgers[i], fixture->journals[i]);
      grant_tokens (fixture->ledgers[i]);
      g_assert_true (escrow_ledger_open_session (fixture->ledgers[i], "router",
                                                 ROUTER_INCARNATION, 1));
    }
}

static void
tear_down (struct fixture *fixture, gconstpointer data)
{
  (void)data;
  for (int i = 0; i < LEDGERS; i++)
    {
      escrow_ledger_destroy (fixture->ledgers[i]);
      g_byte_array_unref (fixture->journals[i]);
    }
}

static enum ledger_status
reserve (struct fixture *fixture, int ledger, uint8_t key, uint64_t *id)
{
  struct ledger_op_result result;
  struct ledger_op op = { .kind = LEDGER_RESERVE };
  struct ledger_reserve *args = &op.ledger_op_u.reserve;
  *id = ++fixture->next_id;
  args->reservation_id = *id;
  args->account_id = 9;
  args->budget_id = BUDGET;
  args->key[0] = (char)key;
  args->tokens = 100;
  args->key_from_caller = true;
  escrow_ledger_op (fixture->ledgers[ledger], ROUTER_INCARNATION, &op,
                    fixture->now_ms, &result);
  return result.status;
}

/* Bills a key.  Returns false when the ledger knows that it is billed
   already. */
static bool
bill (struct fixture *fixture, int ledger, uint8_t key, uint64_t tokens)
{
  uint64_t id;
  struct ledger_op_result result;
  struct ledger_op op = { .kind = LEDGER_SETTLE };
  enum ledger_status status = reserve (fixture, ledger, key, &id);
  if (status == LEDGER_DUPLICATE_DONE)
    return false;
  g_assert_cmpint (status, ==, LEDGER_OK);
  op.ledger_op_u.settle.reservation_id = id;
  op.ledger_op_u.settle.used_tokens = tokens;
  escrow_ledger_op (fixture->ledgers[ledger], ROUTER_INCARNATION, &op,
                    fixture->now_ms++, &result);
  g_assert_cmpint (result.status, ==, LEDGER_OK);
  return true;
}

/* One ledger sends another its bills after position @p after; the answer may
   be lost.  Returns the next position to send from. */
static uint64_t
send_bills (struct fixture *fixture, int from, int to, uint64_t after,
            bool answer_lost)
{
  struct ledger_settled list[16];
  uint64_t next;
  uint32_t count = escrow_reconcile_list_bills (
      fixture->ledgers[from], after, list, G_N_ELEMENTS (list), &next);
  for (uint32_t i = 0; i < count; i++)
    {
      struct ledger_verdict verdict
          = escrow_reconcile_receive (fixture->ledgers[to], names[to],
                                      names[from], &list[i], fixture->now_ms);
      if (!answer_lost)
        escrow_reconcile_apply_verdict (fixture->ledgers[from], &list[i],
                                        &verdict, fixture->now_ms);
    }
  return answer_lost ? after : next;
}

static uint64_t
spent (const struct fixture *fixture, int ledger)
{
  struct ledger_budget_result result;
  escrow_ledger_budget (fixture->ledgers[ledger], BUDGET, &result);
  g_assert_cmpuint (result.free_tokens + result.spent_tokens, ==,
                    GRANT_TOKENS);
  return result.spent_tokens;
}

static void
assert_sound (const struct fixture *fixture)
{
  for (int i = 0; i < LEDGERS; i++)
    {
      struct base_findings *findings = base_findings_create ();
      escrow_ledger_audit (fixture->ledgers[i], findings);
      g_assert_cmpuint (base_findings_count (findings), ==, 0);
      base_findings_destroy (findings);
    }
}

static void
test_larger_stays (struct fixture *fixture, gconstpointer data)
{
  bool first_sends = GPOINTER_TO_INT (data);
  bill (fixture, 0, 1, 10);
  bill (fixture, 1, 1, 66);
  if (first_sends)
    send_bills (fixture, 0, 1, 0, false);
  else
    send_bills (fixture, 1, 0, 0, false);
  g_assert_cmpuint (spent (fixture, 0), ==, 0);
  g_assert_cmpuint (spent (fixture, 1), ==, 66);
  /* Further exchanges in both directions change nothing. */
  send_bills (fixture, 0, 1, 0, false);
  send_bills (fixture, 1, 0, 0, false);
  g_assert_cmpuint (spent (fixture, 0) + spent (fixture, 1), ==, 66);
}

static void
test_known_elsewhere (struct fixture *fixture, gconstpointer data)
{
  uint64_t id;
  (void)data;
  bill (fixture, 0, 1, 10);
  send_bills (fixture, 0, 1, 0, true);
  g_assert_cmpint (reserve (fixture, 1, 1, &id), ==, LEDGER_DUPLICATE_DONE);
}

/* The statement shows the bill and the line that cancels it. */
static void
test_statement (struct fixture *fixture, gconstpointer data)
{
  struct escrow_reader reader = { 0 };
  struct escrow_entry entry;
  uint64_t billed = 0;
  uint64_t cancelled = 0;
  (void)data;
  bill (fixture, 0, 1, 10);
  bill (fixture, 1, 1, 66);
  send_bills (fixture, 0, 1, 0, false);
  reader.data = fixture->journals[0]->data;
  reader.bytes = fixture->journals[0]->len;
  while (reader.offset < reader.bytes)
    {
      struct ledger_bill line = { 0 };
      g_assert_cmpint (escrow_entry_get (&entry, &reader), ==, 0);
      if (!escrow_ledger_make_bill (fixture->ledgers[0], &entry, &line))
        continue;
      billed += line.cancels ? 0 : line.tokens;
      cancelled += line.cancels ? line.tokens : 0;
    }
  g_assert_cmpuint (billed, ==, 10);
  g_assert_cmpuint (cancelled, ==, 10);
}

/* Restarts a ledger from its journal, or from a snapshot. */
static void
restart (struct fixture *fixture, int index, bool from_saved)
{
  struct escrow_ledger *fresh = escrow_ledger_create ();
  if (from_saved)
    {
      GByteArray *saved = g_byte_array_new ();
      escrow_ledger_save (fixture->ledgers[index], saved);
      g_assert_cmpint (escrow_ledger_load (fresh, saved->data, saved->len), ==,
                       0);
      g_byte_array_unref (saved);
    }
  else
    {
      const GByteArray *journal = fixture->journals[index];
      g_assert_cmpint (
          escrow_ledger_replay (fresh, journal->data, journal->len), ==, 0);
    }
  escrow_ledger_destroy (fixture->ledgers[index]);
  fixture->ledgers[index] = fresh;
  escrow_ledger_set_journal (fresh, fixture->journals[index]);
}

/* Random bills, exchanges with lost answers, and restarts; in the end each key
   has one bill, the largest that was made. */
static void
test_fuzz (struct fixture *fixture, gconstpointer data)
{
  struct base_random random;
  uint64_t largest[KEYS] = { 0 };
  uint64_t positions[LEDGERS][LEDGERS] = { 0 };
  uint64_t billed_twice = 0;
  (void)data;
  base_random_seed (&random, 21);
  for (uint32_t step = 0; step < FUZZ_STEPS; step++)
    {
      int from = (int)base_random_below (&random, LEDGERS);
      int to = (int)base_random_below (&random, LEDGERS);
      uint8_t key = (uint8_t)base_random_below (&random, KEYS);
      uint64_t dice = base_random_below (&random, 1000);
      uint64_t tokens = 1 + base_random_below (&random, 100);
      if (dice < 20 && bill (fixture, from, key, tokens))
        {
          billed_twice += largest[key] > 0;
          largest[key] = MAX (largest[key], tokens);
        }
      else if (dice < 40)
        {
          restart (fixture, from, dice < 30);
          memset (positions[from], 0, sizeof positions[from]);
        }
      else if (dice < 80 && from != to)
        positions[from][to]
            = send_bills (fixture, from, to, positions[from][to],
                          base_random_below (&random, 3) == 0);
    }
  for (int round = 0; round < 20; round++)
    for (int from = 0; from < LEDGERS; from++)
      for (int to = 0; to < LEDGERS; to++)
        if (from != to)
          positions[from][to]
              = send_bills (fixture, from, to, positions[from][to], false);
  uint64_t expected = 0;
  uint64_t total = 0;
  for (int i = 0; i < KEYS; i++)
    expected += largest[i];
  for (int i = 0; i < LEDGERS; i++)
    total += spent (fixture, i);
  assert_sound (fixture);
  g_assert_cmpuint (billed_twice, >, 5);
  g_assert_cmpuint (total, ==, expected);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add ("/escrow_reconcile/larger-stays", struct fixture,
              GINT_TO_POINTER (0), set_up, test_larger_stays, tear_down);
  g_test_add ("/escrow_reconcile/larger-stays-told-first", struct fixture,
              GINT_TO_POINTER (1), set_up, test_larger_stays, tear_down);
  g_test_add ("/escrow_reconcile/known-elsewhere", struct fixture, NULL,
              set_up, test_known_elsewhere, tear_down);
  g_test_add ("/escrow_reconcile/statement", struct fixture, NULL, set_up,
              test_statement, tear_down);
  g_test_add ("/escrow_reconcile/fuzz", struct fixture, NULL, set_up,
              test_fuzz, tear_down);
  return g_test_run ();
}
