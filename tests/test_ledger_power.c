/** @file
 *  Random histories of a ledger's store that is killed before syncs and whose
 *  disk loses power with a torn last write.  POWER_SEEDS sets the number of
 *  histories, POWER_SEED the first one. */

#include <inttypes.h>
#include <string.h>

#include <glib.h>

#include "ledger_store.h"
#include "lossy_disk.h"
#include "tool_folder.h"

#define BUDGET_ID 5
#define BUDGET_TOKENS (UINT64_C (1) << 40)
#define SEEDS 5
#define ROUNDS 8
#define FAILED_SYNC_SEEDS 20
/* Bills of a round whose log record is split: about 9 MB. */
#define LONG_ROUND_BILLS 40000
#define SHORT_ROUND_BILLS 20

/* A ledger's store and what it must hold. */
struct history
{
  char *folder;
  struct base_random random;
  struct ledger_store *store;
  uint64_t next_id;
  /* Bills that were synced or read at a start, and those that were written
     since. */
  uint64_t known_bills;
  uint64_t written_bills;
};

static uint64_t
environment (const char *name, uint64_t otherwise)
{
  const char *text = g_getenv (name);
  return text ? g_ascii_strtoull (text, NULL, 10) : otherwise;
}

/* Opens the store; false when the process is killed before a sync. */
static bool
open_store (struct history *history)
{
  struct ledger_budget_result budget;
  struct base_findings *findings = base_findings_create ();
  history->store = ledger_store_open (history->folder, "cactus", "a",
                                      UINT64_C (1) << 30, findings);
  if (!history->store && !lossy_disk_failed ())
    g_error ("the ledger can't start: %s", base_findings_text (findings, 0));
  base_findings_destroy (findings);
  if (!history->store)
    return false;
  escrow_ledger_budget (ledger_store_ledger (history->store), BUDGET_ID,
                        &budget);
  g_assert_cmpuint (budget.spent_tokens, >=, history->known_bills);
  g_assert_cmpuint (budget.spent_tokens, <=,
                    history->known_bills + history->written_bills);
  history->known_bills = budget.spent_tokens;
  history->written_bills = 0;
  return true;
}

/* Creates a ledger that holds one budget and one session. */
static void
create_ledger (struct history *history)
{
  struct control_transfer grant = { 1, BUDGET_ID, BUDGET_TOKENS };
  struct control_ledger_result result = { 0 };
  result.grants.grants_len = 1;
  result.grants.grants_val = &grant;
  lossy_disk_allow (UINT64_MAX);
  g_assert_true (open_store (history));
  struct escrow_ledger *ledger = ledger_store_ledger (history->store);
  escrow_ledger_handle_answer (ledger, &result, 1000);
  escrow_ledger_open_session (ledger, "router", 9, 1500);
  g_assert_cmpint (ledger_store_commit (history->store), ==, 0);
  ledger_store_close (history->store, false);
}

/* Reserves 10 tokens and settles that with 1 token. */
static void
bill_one (struct history *history)
{
  struct escrow_ledger *ledger = ledger_store_ledger (history->store);
  struct ledger_op op = { .kind = LEDGER_RESERVE };
  struct ledger_op_result result;
  struct ledger_reserve *reserve = &op.ledger_op_u.reserve;
  uint64_t id = history->next_id++;
  reserve->reservation_id = id;
  reserve->account_id = 1;
  reserve->budget_id = BUDGET_ID;
  memcpy (reserve->key, &id, sizeof id);
  reserve->tokens = 10;
  escrow_ledger_op (ledger, 9, &op, 2000 + id, &result);
  g_assert_cmpint (result.status, ==, LEDGER_OK);
  op.kind = LEDGER_SETTLE;
  memset (&op.ledger_op_u, 0, sizeof op.ledger_op_u);
  op.ledger_op_u.settle.reservation_id = id;
  op.ledger_op_u.settle.used_tokens = 1;
  escrow_ledger_op (ledger, 9, &op, 2000 + id, &result);
  g_assert_cmpint (result.status, ==, LEDGER_OK);
  history->written_bills++;
}

/* Commits rounds until the process is killed before a sync, or closes the
   store with a snapshot. */
static void
commit_until_killed (struct history *history)
{
  bool last_long = base_random_below (&history->random, 2) == 0;
  uint64_t syncs = base_random_below (&history->random, 5);
  uint32_t rounds = 0;
  lossy_disk_allow (syncs);
  while (!lossy_disk_failed () && rounds++ < 4)
    {
      uint64_t bills
          = 1 + base_random_below (&history->random, SHORT_ROUND_BILLS);
      if (last_long && rounds > 1)
        bills = LONG_ROUND_BILLS;
      while (bills-- > 0)
        bill_one (history);
      if (ledger_store_commit (history->store) == 0)
        {
          history->known_bills += history->written_bills;
          history->written_bills = 0;
        }
    }
  ledger_store_close (history->store, true);
}

/* Commits some rounds; false when one fails. */
static bool
commit_rounds (struct history *history, uint64_t rounds)
{
  while (rounds-- > 0)
    {
      bill_one (history);
      if (ledger_store_commit (history->store) != 0)
        return false;
      history->known_bills += history->written_bills;
      history->written_bills = 0;
    }
  return true;
}

/* Guards against a ledger that opens its log again after a failed sync, goes
   on behind records that never reached the disk, and can't start after the
   next loss of power. */
static void
test_failed_sync (void)
{
  for (uint64_t seed = 1; seed <= FAILED_SYNC_SEEDS; seed++)
    {
      struct history history
          = { g_dir_make_tmp ("cactus-XXXXXX", NULL), { 0 }, NULL, 1, 0, 0 };
      base_random_seed (&history.random, seed);
      create_ledger (&history);
      for (uint32_t round = 0; round < ROUNDS; round++)
        {
          g_assert_true (open_store (&history));
          g_assert_true (commit_rounds (
              &history, base_random_below (&history.random, 4)));
          lossy_disk_fail_once ();
          g_assert_false (commit_rounds (&history, 1));
          ledger_store_close (history.store, false);
          g_assert_true (open_store (&history));
          g_assert_true (commit_rounds (
              &history, base_random_below (&history.random, 4)));
          ledger_store_close (history.store, false);
          lossy_disk_lose_power (history.folder, &history.random);
        }
      lossy_disk_wipe (history.folder);
      tool_folder_remove (history.folder);
      g_free (history.folder);
    }
}

static void
play (uint64_t seed)
{
  struct history history
      = { g_dir_make_tmp ("cactus-XXXXXX", NULL), { 0 }, NULL, 1, 0, 0 };
  base_random_seed (&history.random, seed);
  create_ledger (&history);
  for (uint32_t round = 0; round < ROUNDS; round++)
    {
      lossy_disk_allow (base_random_below (&history.random, 4) == 0
                            ? base_random_below (&history.random, 2)
                            : UINT64_MAX);
      if (open_store (&history))
        commit_until_killed (&history);
      if (base_random_below (&history.random, 2) == 0)
        lossy_disk_lose_power (history.folder, &history.random);
    }
  lossy_disk_wipe (history.folder);
  tool_folder_remove (history.folder);
  g_free (history.folder);
}

/* Guards against ledgers that can't start after a loss of power tore the last
   write, also one of a long round, and against bills that are lost then. */
static void
test_histories (void)
{
  uint64_t first = environment ("POWER_SEED", 1);
  uint64_t count = environment ("POWER_SEEDS", SEEDS);
  for (uint64_t seed = first; seed < first + count; seed++)
    {
      g_test_message ("seed %" PRIu64, seed);
      play (seed);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/ledger-power/histories", test_histories);
  g_test_add_func ("/ledger-power/failed-sync", test_failed_sync);
  return g_test_run ();
}
