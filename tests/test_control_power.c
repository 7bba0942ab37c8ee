/** @file
 *  Stateful fuzz test of the replicated log on real folders, on a disk that
 *  loses what was not synced: losses of power one after another with torn last
 *  writes, processes killed before a sync, lost disks, snapshots and lost
 *  messages.  POWER_SEEDS sets the number of histories, POWER_SEED the first
 *  one. */

#include <inttypes.h>

#include <glib.h>

#include "consensus_harness.h"
#include "control_store.h"
#include "lossy_disk.h"
#include "tool_folder.h"

#define SEEDS 20
#define STEPS 30000
#define SETTLE_MS 15000
#define SYNCS_MAX 4

/* The members' folders. */
struct disks
{
  char *folders[CONSENSUS_HARNESS_MEMBERS_MAX + 1];
  struct control_store *stores[CONSENSUS_HARNESS_MEMBERS_MAX + 1];
  uint64_t cuts;
  uint64_t power_losses;
};

static uint64_t
below (struct consensus_harness *sim, uint64_t bound)
{
  return base_random_below (&sim->random, bound);
}

/* In one of @p one_in cases only a few more syncs succeed. */
static void
allow_syncs (struct consensus_harness *sim, uint64_t one_in)
{
  bool fails
      = sim->crash_before_sync_per_thousand > 0 && below (sim, one_in) == 0;
  lossy_disk_allow (fails ? below (sim, SYNCS_MAX) : UINT64_MAX);
}

/* Every member must start, unless it is killed meanwhile. */
static bool
load (struct consensus_harness *sim, uint64_t id, struct consensus *consensus)
{
  struct disks *disks = sim->stores_context;
  struct base_findings *findings = base_findings_create ();
  allow_syncs (sim, 4);
  struct control_store *store
      = control_store_open (disks->folders[id], findings);
  disks->stores[id] = store;
  bool loaded = store && control_store_load (store, consensus, findings) == 0;
  if (!loaded && !lossy_disk_failed ())
    g_error ("member %" PRIu64 " can't start: %s", id,
             base_findings_text (findings, 0));
  disks->cuts += loaded && control_store_cut_bytes (store) > 0;
  lossy_disk_allow (UINT64_MAX);
  base_findings_destroy (findings);
  return loaded;
}

static bool
persist (struct consensus_harness *sim, uint64_t id,
         struct consensus *consensus)
{
  struct disks *disks = sim->stores_context;
  g_assert_cmpint (control_store_persist (disks->stores[id], consensus,
                                          consensus_effects (consensus)),
                   ==, 0);
  return true;
}

static bool
compact (struct consensus_harness *sim, uint64_t id,
         struct consensus *consensus)
{
  struct disks *disks = sim->stores_context;
  allow_syncs (sim, 4);
  bool stored = control_store_compact (disks->stores[id], consensus) == 0;
  g_assert_true (stored || lossy_disk_failed ());
  lossy_disk_allow (UINT64_MAX);
  return stored;
}

/* The process is killed while it writes, and in one of two cases its host
   loses power. */
static void
crash (struct consensus_harness *sim, uint64_t id, struct consensus *consensus)
{
  struct disks *disks = sim->stores_context;
  lossy_disk_allow (below (sim, 2));
  if (disks->stores[id] && below (sim, 8) > 0)
    control_store_persist (disks->stores[id], consensus,
                           consensus_effects (consensus));
  g_clear_pointer (&disks->stores[id], control_store_close);
  lossy_disk_allow (UINT64_MAX);
  if (below (sim, 2) > 0)
    return;
  lossy_disk_lose_power (disks->folders[id], &sim->random);
  disks->power_losses++;
}

static void
wipe (struct consensus_harness *sim, uint64_t id)
{
  struct disks *disks = sim->stores_context;
  lossy_disk_wipe (disks->folders[id]);
}

static uint64_t
any_member (struct consensus_harness *sim)
{
  return 1 + below (sim, sim->initial_members);
}

static void
crash_one (struct consensus_harness *sim)
{
  uint64_t id = any_member (sim);
  if (!sim->members[id].consensus)
    return;
  bool loses_disk
      = below (sim, 4) == 0 && consensus_harness_can_lose (sim, id);
  consensus_harness_crash (sim, id);
  if (loses_disk)
    consensus_harness_wipe (sim, id);
}

/* All hosts lose power at once. */
static void
crash_all (struct consensus_harness *sim)
{
  for (uint64_t id = 1; id <= sim->initial_members; id++)
    if (sim->members[id].consensus)
      consensus_harness_crash (sim, id);
}

static void
use_one (struct consensus_harness *sim)
{
  uint64_t leader = consensus_harness_leader (sim);
  uint64_t id = leader && below (sim, 4) > 0 ? leader : any_member (sim);
  if (!consensus_harness_is_active (sim, id))
    return;
  if (below (sim, 40) == 0)
    consensus_harness_compact (sim, id);
  else if (below (sim, 4) == 0)
    consensus_harness_read (sim, id);
  else
    consensus_harness_propose (sim, id);
}

static void
run_one (struct consensus_harness *sim)
{
  uint64_t id = any_member (sim);
  if (!consensus_harness_is_active (sim, id))
    return;
  consensus_harness_tick (sim, id);
  /* Effects that accumulate make writes of several records. */
  if (below (sim, 3) > 0)
    consensus_harness_run_effects (sim, id);
}

static void
one_step (struct consensus_harness *sim)
{
  uint64_t dice = below (sim, 1000);
  sim->now_ms += below (sim, 4);
  if (dice < 2)
    crash_one (sim);
  else if (dice == 2 && below (sim, 4) == 0)
    crash_all (sim);
  else if (dice < 20)
    {
      uint64_t id = any_member (sim);
      if (!sim->members[id].consensus)
        consensus_harness_start (sim, id);
    }
  else if (dice < 140)
    use_one (sim);
  else if (dice < 500)
    run_one (sim);
  else
    consensus_harness_deliver (sim);
}

/* After the faults all members run, accept a change and hold all entries. */
static void
check_settled (struct consensus_harness *sim)
{
  consensus_harness_run_without_faults (sim, SETTLE_MS);
  uint64_t leader = consensus_harness_leader (sim);
  g_assert_cmpuint (leader, !=, 0);
  uint64_t before = consensus_harness_committed (sim);
  consensus_harness_propose (sim, leader);
  consensus_harness_run_without_faults (sim, 1000);
  uint64_t committed = consensus_harness_committed (sim);
  g_assert_cmpuint (committed, >, before);
  for (uint64_t id = 1; id <= sim->initial_members; id++)
    g_assert_cmpuint (sim->members[id].applied, ==, committed);
}

static void
play (uint64_t seed, uint32_t members)
{
  static const struct consensus_harness_stores stores
      = { load, persist, compact, crash, wipe };
  struct disks disks = { 0 };
  for (uint64_t id = 1; id <= CONSENSUS_HARNESS_MEMBERS_MAX; id++)
    disks.folders[id] = g_dir_make_tmp ("cactus-XXXXXX", NULL);
  struct consensus_harness *sim
      = consensus_harness_create_on (&stores, &disks, seed, members);
  sim->loss_per_thousand = 20;
  sim->duplicate_per_thousand = 30;
  sim->crash_before_sync_per_thousand = 50;
  sim->max_delay_ms = 20;
  for (uint32_t step = 0; step < STEPS; step++)
    one_step (sim);
  check_settled (sim);
  g_test_message (
      "seed %" PRIu64 " members %u: committed %" PRIu64 " elections %" PRIu64
      " reads %" PRIu64 " losses of power %" PRIu64 " cut logs %" PRIu64,
      seed, members, consensus_harness_committed (sim), sim->elections,
      sim->reads_confirmed, disks.power_losses, disks.cuts);
  consensus_harness_destroy (sim);
  for (uint64_t id = 1; id <= CONSENSUS_HARNESS_MEMBERS_MAX; id++)
    {
      control_store_close (disks.stores[id]);
      lossy_disk_wipe (disks.folders[id]);
      tool_folder_remove (disks.folders[id]);
      g_free (disks.folders[id]);
    }
}

static void
test_histories (gconstpointer data)
{
  const char *first = g_getenv ("POWER_SEED");
  const char *count = g_getenv ("POWER_SEEDS");
  uint64_t seed = first ? g_ascii_strtoull (first, NULL, 10) : 1;
  uint64_t end = seed + (count ? g_ascii_strtoull (count, NULL, 10) : SEEDS);
  for (; seed < end; seed++)
    play (seed, GPOINTER_TO_UINT (data));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_data_func ("/control-power/three", GUINT_TO_POINTER (3),
                        test_histories);
  g_test_add_data_func ("/control-power/five", GUINT_TO_POINTER (5),
                        test_histories);
  return g_test_run ();
}
