#ifndef CONSENSUS_HARNESS_H
#define CONSENSUS_HARNESS_H

/** @file
 *  Members of a replicated log in one thread with simulated time, network and
 *  disks, for tests.  Every applied entry is compared with a single list. */

#include "base_random.h"
#include "consensus.h"

/** Most member numbers that a simulation uses. */
#define CONSENSUS_HARNESS_MEMBERS_MAX 8

/** What survives a crash. */
struct consensus_harness_disk
{
  struct consensus_wire_vote vote;
  GBytes *snapshot;
  uint64_t base;
  /** struct consensus_wire_entry, from base + 1 on. */
  GArray *entries;
};

/** One member. */
struct consensus_harness_member
{
  uint64_t id;
  uint64_t incarnation;
  /** Whether the number is in use at all. */
  bool exists;
  /** NULL while crashed. */
  struct consensus *consensus;
  struct consensus_harness_disk disk;
  uint64_t paused_until_ms;
  uint64_t applied;
  uint64_t chain;
  /** Indexes that open reads must reach, by read id. */
  GArray *reads;
};

/** The simulation; a broken promise aborts through g_error. */
struct consensus_harness
{
  uint64_t now_ms;
  struct base_random random;
  uint32_t initial_members;
  struct consensus_harness_member members[CONSENSUS_HARNESS_MEMBERS_MAX + 1];
  /** struct consensus_harness_packet. */
  GPtrArray *network;
  /** Until when a direction is cut, in milliseconds. */
  uint64_t cut_until_ms[CONSENSUS_HARNESS_MEMBERS_MAX + 1]
                       [CONSENSUS_HARNESS_MEMBERS_MAX + 1];
  /** Chances in 1000. */
  uint32_t loss_per_thousand;
  uint32_t duplicate_per_thousand;
  uint32_t max_delay_ms;
  /** Chance in 1000 that a round with something to sync ends in a crash
   *  between its early messages and the sync. */
  uint32_t crash_before_sync_per_thousand;
  /** The single list: term and chained digest of each committed entry. */
  GArray *committed_terms;
  GArray *committed_chains;
  /** Term of the member that first applied it: it was committed then or
   *  before. */
  GArray *committed_in;
  struct consensus_configuration committed_members;
  /** Who led each term: id and incarnation. */
  GHashTable *leaders;
  uint64_t reads_confirmed;
  uint64_t proposals;
  uint64_t elections;
  uint64_t snapshots_installed;
  uint64_t members_changed;
  /** Lines of what happened; NULL when they aren't wanted. */
  GString *trace;
};

/** Makes @p founders members with empty disks. */
struct consensus_harness *consensus_harness_create (uint64_t seed,
                                                    uint32_t initial_members);
/** Frees it. */
void consensus_harness_destroy (struct consensus_harness *sim);
/** Starts a member from its disk. */
void consensus_harness_start (struct consensus_harness *sim, uint64_t id);
/** Ends a member; of what is not synced a random part is on the disk. */
void consensus_harness_crash (struct consensus_harness *sim, uint64_t id);
/** Empties the disk of a crashed member. */
void consensus_harness_wipe (struct consensus_harness *sim, uint64_t id);
/** Whether the member runs and is not frozen. */
bool consensus_harness_is_active (const struct consensus_harness *sim,
                                  uint64_t id);
/** Lets the member's time pass. */
void consensus_harness_tick (struct consensus_harness *sim, uint64_t id);
/** Carries out the member's effects: send, sync, send, apply; the member may
 *  crash before the sync. */
void consensus_harness_run_effects (struct consensus_harness *sim,
                                    uint64_t id);
/** Delivers one message that is due; false when none is. */
bool consensus_harness_deliver (struct consensus_harness *sim);
/** Proposes a command at a member. */
void consensus_harness_propose (struct consensus_harness *sim, uint64_t id);
/** Begins a read at a member. */
void consensus_harness_read (struct consensus_harness *sim, uint64_t id);
/** Replaces a member's applied entries by a snapshot. */
void consensus_harness_compact (struct consensus_harness *sim, uint64_t id);
/** Runs all members without further faults for @p duration_ms. */
void consensus_harness_run_without_faults (struct consensus_harness *sim,
                                           uint64_t duration_ms);
/** Index of the last committed entry. */
uint64_t consensus_harness_committed (const struct consensus_harness *sim);
/** Member that leads the highest term, or 0. */
uint64_t consensus_harness_leader (const struct consensus_harness *sim);
/** Whether voters with their disk make a majority without @p id in every
 *  configuration that a member knows. */
bool consensus_harness_can_lose (struct consensus_harness *sim, uint64_t id);

#endif
