#ifndef CONSENSUS_H
#define CONSENSUS_H

/** @file
 *  The replicated log (Raft) as a state machine without I/O.  Calls pass in
 *  the current time and produce effects, which the caller carries out in this
 *  order: send the early messages; persist and sync the vote, the snapshot
 *  and the entries; call consensus_mark_persisted; send the other messages;
 *  apply the committed entries.
 *
 *  Extensions: pre-vote, check-quorum, learners, membership changes of one
 *  member at a time, and leadership transfer.  A member is identified by its
 *  id and the incarnation of its data folder: the same id with a new folder
 *  is a different member. */

#include "consensus_configuration.h"

struct consensus;

/** Settings of one member. */
struct consensus_options
{
  uint64_t member_id;
  /** Incarnation of the data folder. */
  uint64_t incarnation;
  /** Seed of the random election timeouts. */
  uint64_t seed;
  /** Shortest election timeout; the longest is twice as long. */
  uint32_t election_ms;
  /** Shortest election timeout after a start; 0 means the same as for later
   *  timeouts. */
  uint32_t first_election_ms;
  /** Interval between the leader's heartbeats. */
  uint32_t heartbeat_ms;
  /** Members that create the log together when all of them have empty data
   *  folders.  A member with an empty folder that finds an existing log asks
   *  these members to readmit it. */
  struct consensus_configuration bootstrap;
  /** Never creates a new log, even when all other members are empty. */
  bool joins_only;
};

/** Result of a linearizable read. */
struct consensus_read
{
  uint64_t id;
  /** If true, the read may be answered once the entry at @ref index is
   *  applied.  If false, leadership was lost and the read failed. */
  bool confirmed;
  uint64_t index;
};

/** Work for the caller; cleared by consensus_effects_clear and
 *  consensus_mark_persisted. */
struct consensus_effects
{
  /** The vote must be persisted. */
  bool vote_changed;
  struct consensus_wire_vote vote;
  /** A snapshot was received: it must be persisted, and the state machine
   *  restored from it. */
  bool snapshot_installed;
  /** First entry to persist; it and all later entries replace those stored
   *  from this index on.  0 when there is nothing to persist. */
  uint64_t persist_from;
  /** Messages (struct consensus_wire_message) to send before the sync. */
  GPtrArray *early_messages;
  /** Messages (struct consensus_wire_message) to send after the sync. */
  GPtrArray *messages;
  /** Finished reads (struct consensus_read). */
  GArray *reads;
};

/** Creates a member without a vote and without a log. */
struct consensus *consensus_create (const struct consensus_options *options);
/** Frees a member. */
void consensus_destroy (struct consensus *consensus);
/** Restores a persisted vote.  A vote older than the one already loaded is
 *  ignored. */
void consensus_load_vote (struct consensus *consensus,
                          const struct consensus_wire_vote *vote);
/** Restores the persisted snapshot.  Returns false when it is malformed. */
bool consensus_load_snapshot (struct consensus *consensus, GBytes *snapshot);
/** Restores a persisted entry and takes ownership of its data; it replaces all
 *  entries from its index on.  Returns false when the entry before it is
 *  missing; the caller then keeps ownership of the data. */
bool consensus_load_entry (struct consensus *consensus,
                           struct consensus_wire_entry *entry);
/** Starts the member after loading. */
void consensus_start (struct consensus *consensus, uint64_t now_ms);

/** Runs the timers that are due. */
void consensus_tick (struct consensus *consensus, uint64_t now_ms);
/** Handles a message of another member; takes ownership of the data of the
 *  entries that it stores and sets these pointers to NULL. */
void consensus_step (struct consensus *consensus, uint64_t now_ms,
                     struct consensus_wire_message *message);
/** Proposes a command.  Returns its index, or 0 when this member is not the
 *  leader or is transferring leadership.  Another leader may replace the
 *  entry: the entry at this index is the command only if its term is that of
 *  the proposal. */
uint64_t consensus_propose (struct consensus *consensus, const void *data,
                            uint32_t bytes);
/** Starts a linearizable read.  Returns its id, or 0 when this member is not a
 *  leader with a committed entry of its term. */
uint64_t consensus_read_begin (struct consensus *consensus, uint64_t now_ms);
/** Proposes to add or update @p member, or to remove it when @p remove is
 *  true.  Returns false when the change isn't possible now. */
bool consensus_change_member (struct consensus *consensus,
                              const struct consensus_member *member,
                              bool remove);
/** Transfers leadership to a voter that holds the whole log, as soon as there
 *  is one.  The transfer is given up after the shortest election timeout. */
void consensus_transfer_leadership (struct consensus *consensus,
                                    uint64_t now_ms);

/** Time of the next timer for consensus_tick, in milliseconds. */
uint64_t consensus_next_due_ms (const struct consensus *consensus);
/** Makes the leader send a heartbeat at the next flush, before it is due. */
void consensus_request_heartbeat (struct consensus *consensus);
/** Queues messages for new entries and requested heartbeats.  Must be called
 *  once in each round, before the effects are carried out. */
void consensus_flush (struct consensus *consensus, uint64_t now_ms);
/** Effects since the last consensus_effects_clear. */
struct consensus_effects *consensus_effects (struct consensus *consensus);
/** Reports that everything in the effects is persisted and synced. */
void consensus_mark_persisted (struct consensus *consensus, uint64_t now_ms);
/** Clears the messages and reads of the effects; frees the messages left in
 *  the lists. */
void consensus_effects_clear (struct consensus *consensus);
/** Frees a message. */
void consensus_message_free (struct consensus_wire_message *message);

/** Entry at @p index, or NULL. */
const struct consensus_wire_entry *
consensus_entry (const struct consensus *consensus, uint64_t index);
/** Next committed entry to apply, or NULL; each entry is returned once. */
const struct consensus_wire_entry *
consensus_next_committed (struct consensus *consensus);
/** Creates a snapshot of @p state, the state after the last applied entry,
 *  and removes the entries up to that one.  The member owns the result. */
GBytes *consensus_compact (struct consensus *consensus, const void *state,
                           uint32_t bytes);
/** Snapshot that precedes the first entry of the log, or NULL. */
GBytes *consensus_snapshot (const struct consensus *consensus);
/** Decodes a snapshot; the caller frees @p wire with xdr_free.  Returns false
 *  when the snapshot is malformed. */
bool consensus_snapshot_decode (GBytes *snapshot,
                                struct consensus_wire_snapshot *wire);

/** Number of votes that the other members granted in the last election. */
uint32_t consensus_votes (const struct consensus *consensus);
/** Whether this member is the leader. */
bool consensus_is_leader (const struct consensus *consensus);
/** Whether this member is the leader and has committed an entry of its term.
 */
bool consensus_is_ready (const struct consensus *consensus);
/** Whether this member has applied all that was committed, as of the last
 *  message of a leader that had committed an entry of its term. */
bool consensus_is_current (const struct consensus *consensus);
/** Id of the current leader; 0 when none is known. */
uint64_t consensus_leader_id (const struct consensus *consensus);
/** Current term. */
uint64_t consensus_term (const struct consensus *consensus);
/** Index of the last entry known to be committed. */
uint64_t consensus_commit_index (const struct consensus *consensus);
/** Index of the last applied entry. */
uint64_t consensus_applied_index (const struct consensus *consensus);
/** Index of the last entry in the log. */
uint64_t consensus_last_index (const struct consensus *consensus);
/** Index of the last entry that the snapshot covers. */
uint64_t consensus_snapshot_index (const struct consensus *consensus);
/** Latest configuration in the log, committed or not. */
const struct consensus_configuration *
consensus_members (const struct consensus *consensus);
/** Index up to which a member's log is known to match the leader's; for this
 *  member itself, the last persisted index.  Only valid on the leader. */
uint64_t consensus_match_index (const struct consensus *consensus,
                                uint64_t member_id);
/** Returns whether a responding member is catching up with this leader: it
 *  receives a snapshot, or lacks many entries.  Compacting the log would make
 *  it begin again. */
bool consensus_has_member_catching_up (const struct consensus *consensus,
                                       uint64_t now_ms);
/** Time since a member's last response, or since this member became leader if
 *  that is later, in milliseconds; UINT64_MAX for an unknown member.  Only
 *  valid on the leader. */
uint64_t consensus_contact_age_ms (const struct consensus *consensus,
                                   uint64_t member_id, uint64_t now_ms);
/** Whether this member has neither log nor vote. */
bool consensus_is_empty (const struct consensus *consensus);

#endif
