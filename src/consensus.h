#ifndef CONSENSUS_H
#define CONSENSUS_H

/** @file
 *  The replicated log as a state machine without I/O: calls with the time
 *  give effects, which the caller carries out in order: early messages;
 *  persist the vote, the snapshot and the entries, synced; then
 *  consensus_mark_persisted; then the other messages; then what is to be
 * applied. Raft with pre-vote, check-quorum, learners, single-member changes
 * and leadership transfer; a member with another data folder is another
 * member.
 */

#include "consensus_configuration.h"

struct consensus;

/** Settings of one member. */
struct consensus_options
{
  uint64_t member_id;
  /** Incarnation of the data folder. */
  uint64_t incarnation;
  /** Seed of the election timeouts. */
  uint64_t seed;
  /** Shortest election timeout; the longest is twice as long. */
  uint32_t election_ms;
  /** Shortest first election timeout after a start; 0: as the others. */
  uint32_t first_election_ms;
  uint32_t heartbeat_ms;
  /** Members that found the log together, all with fresh folders; others
   *  ask them for readmission. */
  struct consensus_configuration bootstrap;
  /** Never founds a log, also when all others are new. */
  bool joins_only;
};

/** Outcome of a linearizable read. */
struct consensus_read
{
  uint64_t id;
  /** False when the leadership was lost; else the read may be answered once
   *  @ref index is applied. */
  bool confirmed;
  uint64_t index;
};

/** What is to be done; cleared by consensus_effects_clear. */
struct consensus_effects
{
  /** The vote is to be persisted. */
  bool vote_changed;
  struct consensus_wire_vote vote;
  /** A snapshot was received: to be persisted, and the state replaced by it.
   */
  bool snapshot_installed;
  /** First entry to persist, replacing all from there on; 0: none. */
  uint64_t persist_from;
  /** struct consensus_wire_message, to be sent at once. */
  GPtrArray *early_messages;
  /** The same, to be sent only after all of the above is synced. */
  GPtrArray *messages;
  /** struct consensus_read. */
  GArray *reads;
};

/** Makes a member without state. */
struct consensus *consensus_create (const struct consensus_options *options);
/** Frees it. */
void consensus_destroy (struct consensus *consensus);
/** Takes back the persisted vote. */
void consensus_load_vote (struct consensus *consensus,
                          const struct consensus_wire_vote *vote);
/** Takes back the persisted snapshot; false when it is malformed. */
bool consensus_load_snapshot (struct consensus *consensus, GBytes *snapshot);
/** Takes back a persisted entry and its data; it replaces all from its index
 *  on.  False when entries before it are missing. */
bool consensus_load_entry (struct consensus *consensus,
                           struct consensus_wire_entry *entry);
/** Starts after loading. */
void consensus_start (struct consensus *consensus, uint64_t now_ms);

/** Lets time pass. */
void consensus_tick (struct consensus *consensus, uint64_t now_ms);
/** Takes a message of another member; the entries' data is taken over. */
void consensus_step (struct consensus *consensus, uint64_t now_ms,
                     struct consensus_wire_message *message);
/** Proposes a command; its index, or 0 when this member is not the leader or
 *  is handing over.  The entry at that index is the command only when its
 *  term is the proposal's term. */
uint64_t consensus_propose (struct consensus *consensus, const void *data,
                            uint32_t bytes);
/** Begins a linearizable read; its id, or 0 when this member can't. */
uint64_t consensus_read_begin (struct consensus *consensus, uint64_t now_ms);
/** Proposes a change of one member: added or changed when @p remove is
 *  false.  False when it can't be made now. */
bool consensus_change_member (struct consensus *consensus,
                              const struct consensus_member *member,
                              bool remove);
/** Hands leadership over to the most advanced voter. */
void consensus_transfer_leadership (struct consensus *consensus,
                                    uint64_t now_ms);

/** Time at which consensus_tick has something to do, in milliseconds. */
uint64_t consensus_next_due_ms (const struct consensus *consensus);
/** The leader sends a heartbeat with the next flush, ahead of its time. */
void consensus_request_heartbeat (struct consensus *consensus);
/** Sends what was proposed; called once a round before the effects. */
void consensus_flush (struct consensus *consensus, uint64_t now_ms);
/** Effects since the last clearing. */
struct consensus_effects *consensus_effects (struct consensus *consensus);
/** Everything of the effects is persisted and synced. */
void consensus_mark_persisted (struct consensus *consensus, uint64_t now_ms);
/** Forgets the effects; messages that are still listed are freed. */
void consensus_effects_clear (struct consensus *consensus);
/** Frees a message. */
void consensus_message_free (struct consensus_wire_message *message);

/** Entry at @p index, or NULL. */
const struct consensus_wire_entry *
consensus_entry (const struct consensus *consensus, uint64_t index);
/** Next committed entry to apply, or NULL; each is given once. */
const struct consensus_wire_entry *
consensus_next_committed (struct consensus *consensus);
/** Makes a snapshot of @p state, which stands at the last applied entry, and
 *  drops the entries up to there.  Owned by the member. */
GBytes *consensus_compact (struct consensus *consensus, const void *state,
                           uint32_t bytes);
/** The snapshot that the log begins after, or NULL. */
GBytes *consensus_snapshot (const struct consensus *consensus);
/** State within a snapshot; the caller frees @p wire with xdr_free. */
bool consensus_snapshot_decode (GBytes *snapshot,
                                struct consensus_wire_snapshot *wire);

/** Whether this member leads. */
bool consensus_is_leader (const struct consensus *consensus);
/** Whether this member is the leader with an entry of its term committed. */
bool consensus_is_ready (const struct consensus *consensus);
/** Id of the leader as far as known; 0 when there is none. */
uint64_t consensus_leader_id (const struct consensus *consensus);
uint64_t consensus_term (const struct consensus *consensus);
uint64_t consensus_commit_index (const struct consensus *consensus);
uint64_t consensus_applied_index (const struct consensus *consensus);
uint64_t consensus_last_index (const struct consensus *consensus);
/** Index of the snapshot. */
uint64_t consensus_snapshot_index (const struct consensus *consensus);
/** Newest configuration known. */
const struct consensus_configuration *
consensus_members (const struct consensus *consensus);
/** Index up to which a member has confirmed, seen from the leader. */
uint64_t consensus_match_index (const struct consensus *consensus,
                                uint64_t member_id);
/** Time since a member's last answer, seen from the leader; UINT64_MAX when
 *  it is not known. */
uint64_t consensus_contact_age_ms (const struct consensus *consensus,
                                   uint64_t member_id, uint64_t now_ms);
/** Whether this member has no log and no vote yet. */
bool consensus_is_empty (const struct consensus *consensus);

#endif
