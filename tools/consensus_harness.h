#ifndef CONSENSUS_HARNESS_H
#define CONSENSUS_HARNESS_H

/** @file
 *  Simulates the members of a replicated log in one thread, with simulated
 *  time, network and disks, for tests.  Compares every applied entry with
 *  one reference log. */

#include "base_random.h"
#include "consensus.h"

/** Highest member id of a simulation; ids start at 1. */
#define CONSENSUS_HARNESS_MEMBERS_MAX 8

/** Simulated disk of a member: the state that survives a crash. */
struct consensus_harness_disk
{
  struct consensus_wire_vote vote;
  GBytes *snapshot;
  uint64_t snapshot_index;
  /** Log entries (struct consensus_wire_entry) from base + 1 on. */
  GArray *entries;
};

/** One member of the replicated log. */
struct consensus_harness_member
{
  uint64_t id;
  uint64_t incarnation;
  /** Whether a member with this id was ever started. */
  bool exists;
  /** NULL while the member is crashed or was never started. */
  struct consensus *consensus;
  struct consensus_harness_disk disk;
  uint64_t paused_until_ms;
  uint64_t applied;
  uint64_t log_digest;
  /** For each read since the member's start, in order of its id: the index
   *  that was committed when the read began. */
  GArray *reads;
};

struct consensus_harness;

/** Disks of the members that take the place of the simulated ones.  All calls
 *  pass the member's id. */
struct consensus_harness_stores
{
  /** Loads a member that starts; false when it crashes meanwhile. */
  bool (*load) (struct consensus_harness *sim, uint64_t id,
                struct consensus *consensus);
  /** Persists and syncs the member's effects; false when it crashes. */
  bool (*persist) (struct consensus_harness *sim, uint64_t id,
                   struct consensus *consensus);
  /** Stores the snapshot that the member made; false when it crashes. */
  bool (*compact) (struct consensus_harness *sim, uint64_t id,
                   struct consensus *consensus);
  /** The member crashes; a part of its unsynced effects may be kept. */
  void (*crash) (struct consensus_harness *sim, uint64_t id,
                 struct consensus *consensus);
  /** The disk of a crashed member is lost. */
  void (*wipe) (struct consensus_harness *sim, uint64_t id);
};

/** The simulation.  Aborts by g_error when a member violates a guarantee of
 *  the replicated log. */
struct consensus_harness
{
  uint64_t now_ms;
  struct base_random random;
  uint32_t initial_members;
  struct consensus_harness_member members[CONSENSUS_HARNESS_MEMBERS_MAX + 1];
  /** Messages in flight (struct consensus_harness_packet). */
  GPtrArray *network;
  /** For each sender and receiver: messages are dropped until this time. */
  uint64_t cut_until_ms[CONSENSUS_HARNESS_MEMBERS_MAX + 1]
                       [CONSENSUS_HARNESS_MEMBERS_MAX + 1];
  /** Probabilities in 1/1000 that a message is lost, and that it is sent
   *  twice. */
  uint32_t loss_per_thousand;
  uint32_t duplicate_per_thousand;
  uint32_t max_delay_ms;
  /** Probability in 1/1000 that a member with unsynced state crashes after its
   *  early messages were sent and before the sync. */
  uint32_t crash_before_sync_per_thousand;
  /** The reference log: for each index, the term of the committed entry and
   *  the digest of all entries up to it. */
  GArray *committed_terms;
  GArray *committed_digests;
  /** For each index: the term of the member that first applied the entry,
   *  which was committed in that term or an earlier one. */
  GArray *first_applied_terms;
  struct consensus_configuration committed_members;
  /** Incarnation of the leader of each term. */
  GHashTable *leader_incarnations;
  uint64_t reads_confirmed;
  uint64_t proposals;
  uint64_t elections;
  uint64_t snapshots_installed;
  uint64_t members_changed;
  /** NULL for the simulated disks. */
  const struct consensus_harness_stores *stores;
  void *stores_context;
  /** Log of the simulated events, one per line; NULL to record none. */
  GString *trace;
};

/** Creates a simulation and starts @p initial_members members with empty
 *  disks. */
struct consensus_harness *consensus_harness_create (uint64_t seed,
                                                    uint32_t initial_members);
/** As consensus_harness_create, with other disks. */
struct consensus_harness *
consensus_harness_create_on (const struct consensus_harness_stores *stores,
                             void *stores_context, uint64_t seed,
                             uint32_t initial_members);
/** Frees the simulation. */
void consensus_harness_destroy (struct consensus_harness *sim);
/** Starts a member, or restarts it from its disk. */
void consensus_harness_start (struct consensus_harness *sim, uint64_t id);
/** Crashes a member; a random part of its unsynced state reaches the disk. */
void consensus_harness_crash (struct consensus_harness *sim, uint64_t id);
/** Empties the disk of a crashed member and gives it a new incarnation. */
void consensus_harness_wipe (struct consensus_harness *sim, uint64_t id);
/** Whether the member runs and is not paused. */
bool consensus_harness_is_active (const struct consensus_harness *sim,
                                  uint64_t id);
/** Notifies a member of the current time. */
void consensus_harness_tick (struct consensus_harness *sim, uint64_t id);
/** Runs the pending effects of a member: sends early messages, syncs the disk,
 *  sends the other messages, applies committed entries.  The member may crash
 *  before the sync. */
void consensus_harness_run_effects (struct consensus_harness *sim,
                                    uint64_t id);
/** Delivers one message that is due; false when there is none. */
bool consensus_harness_deliver (struct consensus_harness *sim);
/** Proposes a random command at a member. */
void consensus_harness_propose (struct consensus_harness *sim, uint64_t id);
/** Begins a linearizable read at a member. */
void consensus_harness_read (struct consensus_harness *sim, uint64_t id);
/** Replaces the applied entries of a member by a snapshot. */
void consensus_harness_compact (struct consensus_harness *sim, uint64_t id);
/** Restarts crashed members, ends all pauses and network cuts, and runs all
 *  members for @p duration_ms without further crashes or lost messages. */
void consensus_harness_run_without_faults (struct consensus_harness *sim,
                                           uint64_t duration_ms);
/** Returns the index of the last committed entry. */
uint64_t consensus_harness_committed (const struct consensus_harness *sim);
/** Returns the member that leads the highest term; 0 when none leads. */
uint64_t consensus_harness_leader (const struct consensus_harness *sim);
/** Whether every configuration that a member knows keeps a majority of voters
 *  with intact disks when member @p id loses its disk; false while a member is
 *  crashed. */
bool consensus_harness_can_lose (struct consensus_harness *sim, uint64_t id);

#endif
