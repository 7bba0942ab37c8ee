/** @file
 *  Tests of a ledger's tables: idempotency keys are dropped by age and number,
 *  ended reservations by age, and 280000 budgets fit into 32 MB. */

#include <string.h>

#include <glib.h>

#include "escrow_budget.h"
#include "escrow_ended.h"
#include "escrow_key.h"

#define WINDOW_MS 1000
#define KEYS_MAX 10
#define BUDGETS 280000u
#define BUDGET_BYTES_MAX (32u * 1000 * 1000)
#define ENDED_WINDOW_MS 120000u

static struct escrow_entry
entry_of (uint64_t number)
{
  struct escrow_entry entry = { .kind = ESCROW_ENTRY_RESERVE };
  entry.account_id = 1;
  entry.ref.incarnation = 2;
  entry.ref.id = number;
  memcpy (entry.key, &number, sizeof number);
  return entry;
}

static struct escrow_key *
find (struct escrow_keys *keys, uint64_t number, uint64_t now_ms)
{
  struct escrow_entry entry = entry_of (number);
  return escrow_keys_find (keys, entry.account_id, entry.key, now_ms);
}

static void
open_key (struct escrow_keys *keys, uint64_t number)
{
  struct escrow_entry entry = entry_of (number);
  escrow_keys_open (keys, &entry);
}

static void
test_window (void)
{
  struct escrow_keys *keys = escrow_keys_create (WINDOW_MS, KEYS_MAX);
  open_key (keys, 1);
  open_key (keys, 2);
  escrow_keys_close (keys, find (keys, 1, 0), ESCROW_KEY_BILLED, 7, 100);
  g_assert_cmpuint (find (keys, 1, 100 + WINDOW_MS - 1)->tokens, ==, 7);
  g_assert_null (find (keys, 1, 100 + WINDOW_MS));
  g_assert_nonnull (find (keys, 2, 100 + 10 * WINDOW_MS));
  open_key (keys, 1);
  g_assert_cmpint (find (keys, 1, 5000)->state, ==, ESCROW_KEY_OPEN);
  escrow_keys_destroy (keys);
}

static void
test_bounded (void)
{
  struct escrow_keys *keys = escrow_keys_create (WINDOW_MS, KEYS_MAX);
  for (uint64_t i = 1; i <= 100; i++)
    {
      open_key (keys, i);
      escrow_keys_close (keys, find (keys, i, i), ESCROW_KEY_BILLED, i, i);
    }
  g_assert_cmpuint (escrow_keys_count (keys), ==, KEYS_MAX);
  g_assert_null (find (keys, 90, 100));
  g_assert_nonnull (find (keys, 91, 100));
  escrow_keys_destroy (keys);
}

static void
note_evicted (void *context, struct escrow_ref ref)
{
  uint64_t *last = context;
  *last = ref.id;
}

static void
test_ended (void)
{
  uint64_t evicted = 0;
  struct escrow_ended_table *table
      = escrow_ended_create (note_evicted, &evicted);
  for (uint64_t i = 1; i <= 10; i++)
    {
      struct escrow_entry entry = entry_of (i);
      entry.now_ms = i;
      escrow_ended_put (table, &entry, ESCROW_ENDED_SETTLED);
    }
  struct escrow_entry late = entry_of (11);
  late.now_ms = ENDED_WINDOW_MS + 4;
  escrow_ended_put (table, &late, ESCROW_ENDED_RELEASED);
  g_assert_cmpuint (evicted, ==, 4);
  g_assert_null (escrow_ended_find (table, entry_of (4).ref));
  g_assert_nonnull (escrow_ended_find (table, entry_of (5).ref));
  escrow_ended_destroy (table);
}

static void
test_many_budgets (void)
{
  struct escrow_budgets *budgets = escrow_budgets_create ();
  struct escrow_budget *first = escrow_budgets_ensure (budgets, 1);
  for (uint64_t i = 1; i <= BUDGETS; i++)
    escrow_budgets_ensure (budgets, i)->granted_tokens = i;
  g_assert_true (escrow_budgets_find (budgets, 1) == first);
  for (uint64_t i = 1; i <= BUDGETS; i++)
    g_assert_cmpuint (escrow_budgets_find (budgets, i)->granted_tokens, ==, i);
  g_assert_null (escrow_budgets_find (budgets, BUDGETS + 1));
  g_assert_cmpuint (escrow_budgets_count (budgets), ==, BUDGETS);
  g_assert_cmpuint (escrow_budgets_bytes (budgets), <, BUDGET_BYTES_MAX);
  escrow_budgets_destroy (budgets);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/escrow_key/window", test_window);
  g_test_add_func ("/escrow_key/bounded", test_bounded);
  g_test_add_func ("/escrow_key/ended", test_ended);
  g_test_add_func ("/escrow_key/many-budgets", test_many_budgets);
  return g_test_run ();
}
