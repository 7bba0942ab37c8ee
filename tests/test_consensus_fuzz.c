/** @file
 *  Stateful fuzz test of the replicated log, compared with a single list of
 *  entries.  Faults: lost, duplicated, delayed and reordered messages, crashes
 *  at any step, lost disks, frozen members and network partitions.  The runs
 *  also change the membership and make snapshots.  The seeds are fixed. */

#include <inttypes.h>

#include <glib.h>

#include "consensus_harness.h"

#define SEEDS 8
#define STEPS 200000
#define SETTLE_MS 15000

static uint64_t
below (struct consensus_harness *sim, uint64_t bound)
{
  return base_random_below (&sim->random, bound);
}

/* Returns the id of a member slot, which may be unused. */
static uint64_t
any_id (struct consensus_harness *sim)
{
  return 1 + below (sim, CONSENSUS_HARNESS_MEMBERS_MAX);
}

/* Returns the id of a member that was started before and may have crashed. */
static uint64_t
any_member (struct consensus_harness *sim)
{
  uint64_t id = any_id (sim);
  while (!sim->members[id].exists)
    id = any_id (sim);
  return id;
}

/* In one of three cases returns the id of the leader, if there is one, else
   that of any member. */
static uint64_t
leader_or_any (struct consensus_harness *sim)
{
  uint64_t leader = below (sim, 3) == 0 ? consensus_harness_leader (sim) : 0;
  return leader != 0 ? leader : any_member (sim);
}

static void
crash_one (struct consensus_harness *sim)
{
  uint64_t id = any_member (sim);
  if (!sim->members[id].consensus)
    return;
  /* In one of three cases the disk is lost too, if the other voters with their
     disks form a majority. */
  bool wipe = below (sim, 3) == 0 && consensus_harness_can_lose (sim, id);
  consensus_harness_crash (sim, id);
  if (wipe)
    consensus_harness_wipe (sim, id);
}

static void
restart_one (struct consensus_harness *sim)
{
  uint64_t id = any_member (sim);
  if (sim->members[id].exists && !sim->members[id].consensus)
    consensus_harness_start (sim, id);
}

static void
freeze_one (struct consensus_harness *sim)
{
  uint64_t id = leader_or_any (sim);
  sim->members[id].paused_until_ms = sim->now_ms + below (sim, 2000);
}

/* Cuts off one direction between two members, both directions, or a member
   from all others. */
static void
partition_some (struct consensus_harness *sim)
{
  uint64_t from = any_member (sim);
  uint64_t to = any_member (sim);
  uint64_t until_ms = sim->now_ms + below (sim, 3000);
  uint64_t kind = below (sim, 3);
  sim->cut_until_ms[from][to] = until_ms;
  if (kind > 0)
    sim->cut_until_ms[to][from] = until_ms;
  for (uint64_t id = 1; kind == 2 && id <= CONSENSUS_HARNESS_MEMBERS_MAX; id++)
    {
      sim->cut_until_ms[from][id] = until_ms;
      sim->cut_until_ms[id][from] = until_ms;
    }
}

static uint32_t
count_voters (const struct consensus_configuration *members)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < members->count; i++)
    count += members->members[i].role == CONSENSUS_VOTER;
  return count;
}

/* Adds a new member, promotes a learner or removes a member. */
static void
change_members (struct consensus_harness *sim)
{
  uint64_t leader = consensus_harness_leader (sim);
  uint64_t id = any_id (sim);
  if (leader == 0 || !consensus_harness_is_active (sim, leader))
    return;
  struct consensus *consensus = sim->members[leader].consensus;
  struct consensus_configuration members = *consensus_members (consensus);
  const struct consensus_member *known
      = consensus_configuration_find (&members, id);
  struct consensus_member member
      = { .id = id, .role = CONSENSUS_LEARNER, .port = (uint16_t)id };
  if (known && known->role == CONSENSUS_LEARNER)
    {
      member = *known;
      member.role = CONSENSUS_REJOINING;
      consensus_change_member (consensus, &member, false);
    }
  else if (!known)
    {
      if (consensus_change_member (consensus, &member, false)
          && !sim->members[id].exists)
        consensus_harness_start (sim, id);
    }
  else if (count_voters (&members) > 3 && consensus_harness_can_lose (sim, id))
    consensus_change_member (consensus, &member, true);
}

/* Starts a read; in half of the cases its effects are carried out before the
   next tick. */
static void
read_at (struct consensus_harness *sim, uint64_t id)
{
  consensus_harness_read (sim, id);
  if (below (sim, 2) == 0)
    consensus_harness_run_effects (sim, id);
}

static void
use_one (struct consensus_harness *sim)
{
  uint64_t id = leader_or_any (sim);
  if (!consensus_harness_is_active (sim, id))
    return;
  switch (below (sim, 40))
    {
    case 0:
      consensus_transfer_leadership (sim->members[id].consensus, sim->now_ms);
      break;
    case 1:
      consensus_harness_compact (sim, id);
      break;
    default:
      if (below (sim, 2) == 0)
        consensus_harness_propose (sim, id);
      else
        read_at (sim, id);
      break;
    }
}

static void
run_one (struct consensus_harness *sim)
{
  uint64_t id = any_member (sim);
  if (!consensus_harness_is_active (sim, id))
    return;
  /* In one of four cases the member continues without a tick, as if no time
     had passed. */
  if (below (sim, 4) > 0)
    consensus_harness_tick (sim, id);
  /* In one of four cases the effects are not carried out yet and accumulate;
     a crash before the sync loses them. */
  if (below (sim, 4) > 0)
    consensus_harness_run_effects (sim, id);
}

static void
one_step (struct consensus_harness *sim)
{
  uint64_t dice = below (sim, 1000);
  sim->now_ms += below (sim, 4);
  if (dice < 2)
    crash_one (sim);
  else if (dice < 13)
    restart_one (sim);
  else if (dice < 14)
    freeze_one (sim);
  else if (dice < 16)
    partition_some (sim);
  else if (dice < 18)
    change_members (sim);
  else if (dice < 100)
    use_one (sim);
  else if (dice < 550)
    run_one (sim);
  else
    consensus_harness_deliver (sim);
}

/* After the faults end, all members apply the same entries, and no member
   that lost its disk is still rejoining. */
static void
check_settled (struct consensus_harness *sim)
{
  consensus_harness_run_without_faults (sim, SETTLE_MS);
  uint64_t leader = consensus_harness_leader (sim);
  g_assert_cmpuint (leader, !=, 0);
  consensus_harness_propose (sim, leader);
  consensus_harness_run_without_faults (sim, 1000);
  uint64_t committed = consensus_harness_committed (sim);
  const struct consensus_configuration *members = &sim->committed_members;
  for (uint32_t i = 0; i < members->count; i++)
    {
      const struct consensus_member *member = &members->members[i];
      const struct consensus_harness_member *known = &sim->members[member->id];
      g_assert_cmpuint (member->incarnation, ==, known->incarnation);
      g_assert_cmpint (member->role, !=, CONSENSUS_REJOINING);
      g_assert_cmpuint (known->applied, ==, committed);
    }
}

static void
fuzz (uint64_t seed, uint32_t initial_members)
{
  struct consensus_harness *sim
      = consensus_harness_create (seed, initial_members);
  sim->loss_per_thousand = seed % 2 == 0 ? 20 : 100;
  sim->duplicate_per_thousand = 30;
  sim->crash_before_sync_per_thousand = 10;
  sim->max_delay_ms = seed % 3 == 0 ? 200 : 20;
  for (uint32_t step = 0; step < STEPS; step++)
    one_step (sim);
  check_settled (sim);
  g_test_message (
      "seed %" PRIu64 " founders %u: committed %" PRIu64 " elections %" PRIu64
      " reads %" PRIu64 " snapshots %" PRIu64 " member changes %" PRIu64,
      seed, initial_members, consensus_harness_committed (sim), sim->elections,
      sim->reads_confirmed, sim->snapshots_installed, sim->members_changed);
  g_assert_cmpuint (consensus_harness_committed (sim), >, 50);
  consensus_harness_destroy (sim);
}

static void
test_three (void)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    fuzz (seed, 3);
}

static void
test_five (void)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    fuzz (100 + seed, 5);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/consensus/fuzz/three", test_three);
  g_test_add_func ("/consensus/fuzz/five", test_five);
  return g_test_run ();
}
