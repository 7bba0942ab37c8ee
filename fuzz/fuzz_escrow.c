/** @file
 *  Fuzzes the readers of escrow data on disk: a ledger's saved state, its
 *  journal, and the pool's saved state; the first byte of the input selects
 *  one.  A ledger that was read must save to bytes that load again. */

#include <glib.h>

#include "escrow_ledger.h"
#include "escrow_pool.h"

/** The fuzz target, as libFuzzer calls it. */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t bytes);

/* Aborts unless the ledger's saved state loads again. */
static void
check_saved (const struct escrow_ledger *ledger)
{
  GByteArray *saved = g_byte_array_new ();
  struct escrow_ledger *copy = escrow_ledger_create ();
  escrow_ledger_save (ledger, saved);
  g_assert_cmpint (escrow_ledger_load (copy, saved->data, saved->len), ==, 0);
  escrow_ledger_destroy (copy);
  g_byte_array_unref (saved);
}

static void
read_ledger (const uint8_t *data, size_t bytes)
{
  struct escrow_ledger *ledger = escrow_ledger_create ();
  if (escrow_ledger_load (ledger, data, bytes) == 0)
    check_saved (ledger);
  escrow_ledger_destroy (ledger);
}

static void
replay_journal (const uint8_t *data, size_t bytes)
{
  struct base_findings *findings = base_findings_create ();
  struct escrow_ledger *ledger = escrow_ledger_create ();
  if (escrow_ledger_replay (ledger, data, bytes) == 0)
    check_saved (ledger);
  escrow_ledger_audit (ledger, findings);
  escrow_ledger_destroy (ledger);
  base_findings_destroy (findings);
}

static void
read_pool (const uint8_t *data, size_t bytes)
{
  size_t used;
  struct base_findings *findings = base_findings_create ();
  struct escrow_pool *pool = escrow_pool_create (ESCROW_POLICY_DEMAND_FLOOR);
  if (escrow_pool_load (pool, data, bytes, &used) == 0)
    escrow_pool_audit (pool, findings);
  escrow_pool_destroy (pool);
  base_findings_destroy (findings);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t bytes)
{
  if (bytes == 0)
    return 0;
  if (data[0] % 3 == 0)
    read_ledger (data + 1, bytes - 1);
  else if (data[0] % 3 == 1)
    replay_journal (data + 1, bytes - 1);
  else
    read_pool (data + 1, bytes - 1);
  return 0;
}
