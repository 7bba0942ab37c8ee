#ifndef CONSENSUS_STATE_H
#define CONSENSUS_STATE_H

/** @file
 *  State shared by the files of the replicated log's core. */

#include "base_random.h"
#include "consensus.h"
#include "consensus_log.h"

/** What a member does in its term. */
enum consensus_phase
{
  CONSENSUS_FOLLOWER,
  CONSENSUS_PRE_CANDIDATE,
  CONSENSUS_CANDIDATE,
  CONSENSUS_LEADER
};

/** Most appends with entries that a peer has not answered. */
#define CONSENSUS_PIPELINE 2

/** What is known of another member. */
struct consensus_peer
{
  uint64_t id;
  uint64_t incarnation;
  uint64_t match_index;
  uint64_t next_index;
  /** One append at a time until its place in the log is found. */
  bool probing;
  bool probe_sent;
  /** Last index of each append that is under way, oldest first. */
  uint32_t sent_count;
  uint64_t sent_index[CONSENSUS_PIPELINE];
  /** Last answer in this leadership, in milliseconds. */
  uint64_t heard_ms;
  /** Newest heartbeat round that it answered. */
  uint64_t round;
  bool vote_granted;
  /** Snapshot transfer: next offset, and when the last piece went out. */
  bool sending_snapshot;
  uint64_t snapshot_index;
  uint64_t snapshot_offset;
  uint64_t snapshot_sent_ms;
  /** What it said before the log was founded. */
  uint64_t hello_incarnation;
  bool hello_empty;
};

/** A read that waits for its round. */
struct consensus_pending_read
{
  uint64_t id;
  uint64_t round;
  uint64_t index;
};

struct consensus
{
  struct consensus_options options;
  struct base_random random;
  struct consensus_log *log;
  struct consensus_wire_vote vote;
  enum consensus_phase phase;
  uint64_t leader;
  uint64_t commit_index;
  uint64_t applied_index;
  uint64_t persisted_index;
  uint64_t election_due_ms;
  uint64_t leader_heard_ms;
  uint64_t hello_due_ms;
  uint64_t heartbeat_due_ms;
  uint64_t lead_since_ms;
  /** First index of the leader's own term. */
  uint64_t term_start_index;
  uint64_t round;
  bool round_wanted;
  bool transferring;
  uint64_t transfer_until_ms;
  uint64_t read_id;
  /** struct consensus_pending_read. */
  GArray *pending_reads;
  uint32_t peer_count;
  struct consensus_peer peers[CONSENSUS_MEMBERS_MAX];
  /** Snapshot being received. */
  GByteArray *incoming;
  uint64_t incoming_from;
  uint64_t incoming_term;
  uint64_t incoming_index;
  struct consensus_effects effects;
};

/** Rebuilds the peers from the newest configuration. */
void consensus_refresh_peers (struct consensus *consensus);
/** The peer of that id, or NULL. */
struct consensus_peer *consensus_peer (struct consensus *consensus,
                                       uint64_t id);
/** Queues an empty message; the caller fills in the rest. */
struct consensus_wire_message *
consensus_send (struct consensus *consensus, uint64_t to, uint64_t incarnation,
                enum consensus_message_kind kind);
/** Appends an entry to the own log; takes over the data. */
uint64_t consensus_append_own (struct consensus *consensus, uint32_t kind,
                               char *data, uint32_t bytes);
/** Marks entries from @p index on as not persisted. */
void consensus_mark_unpersisted (struct consensus *consensus, uint64_t index);
/** Whether this member is a voter of the newest configuration. */
bool consensus_votes (const struct consensus *consensus);

/** Whether this member may stand for election. */
bool consensus_may_campaign (const struct consensus *consensus);
/** Follows @p leader (0: none) in @p term. */
void consensus_follow (struct consensus *consensus, uint64_t now_ms,
                       uint64_t term, uint64_t leader);
/** Draws the next election timeout. */
void consensus_reset_election (struct consensus *consensus, uint64_t now_ms);
/** Begins a pre-vote, or the election itself. */
void consensus_campaign (struct consensus *consensus, uint64_t now_ms,
                         bool pre_vote);
void consensus_on_vote (struct consensus *consensus, uint64_t now_ms,
                        const struct consensus_wire_message *message);
void consensus_on_vote_answer (struct consensus *consensus, uint64_t now_ms,
                               const struct consensus_wire_message *message);

/** Leader: begins, sends, commits. */
void consensus_lead (struct consensus *consensus, uint64_t now_ms);
void consensus_broadcast (struct consensus *consensus, uint64_t now_ms,
                          bool heartbeat);
void consensus_advance_commit (struct consensus *consensus);
void consensus_on_append_answer (struct consensus *consensus, uint64_t now_ms,
                                 const struct consensus_wire_message *message);
void
consensus_on_snapshot_answer (struct consensus *consensus, uint64_t now_ms,
                              const struct consensus_wire_message *message);
void consensus_leader_tick (struct consensus *consensus, uint64_t now_ms);
void consensus_confirm_reads (struct consensus *consensus);
void consensus_fail_reads (struct consensus *consensus);

/** Follower: appends and snapshots. */
void consensus_on_append (struct consensus *consensus,
                          struct consensus_wire_message *message);
void consensus_on_snapshot (struct consensus *consensus,
                            const struct consensus_wire_message *message);

/** Membership: hello, founding, readmission, promotion. */
void consensus_on_hello (struct consensus *consensus, uint64_t now_ms,
                         const struct consensus_wire_message *message);
void consensus_on_hello_answer (struct consensus *consensus,
                                const struct consensus_wire_message *message);
void consensus_membership_tick (struct consensus *consensus, uint64_t now_ms);
void consensus_promote_ready (struct consensus *consensus);

#endif
