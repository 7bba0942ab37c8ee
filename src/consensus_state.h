#ifndef CONSENSUS_STATE_H
#define CONSENSUS_STATE_H

/** @file
 *  Internal state of a member, shared by the consensus_*.c files. */

#include "base_random.h"
#include "consensus.h"
#include "consensus_log.h"

/** Raft state of a member in its current term. */
enum consensus_phase
{
  CONSENSUS_FOLLOWER,
  CONSENSUS_PRE_CANDIDATE,
  CONSENSUS_CANDIDATE,
  CONSENSUS_LEADER
};

/** Maximum number of unanswered appends with entries to one peer. */
#define CONSENSUS_APPENDS_IN_FLIGHT_MAX 2

/** Another member, as seen from this one. */
struct consensus_peer
{
  uint64_t id;
  uint64_t incarnation;
  /** Last index at which the peer's log is known to match the leader's. */
  uint64_t match_index;
  /** Index of the next entry to send. */
  uint64_t next_index;
  /** The leader sends one append at a time, without entries, until it knows
   *  where the peer's log matches its own. */
  bool probing;
  bool probe_sent;
  /** Last index of each append in flight, oldest first. */
  uint32_t in_flight_count;
  uint64_t in_flight_index[CONSENSUS_APPENDS_IN_FLIGHT_MAX];
  /** Time of the last response to this leader, in milliseconds; before the
   *  first, the time of its election, or 0 for a peer added later. */
  uint64_t last_response_ms;
  /** Latest heartbeat round that the peer answered. */
  uint64_t round;
  bool vote_granted;
  /** Snapshot transfer: offset of the next piece, and time at which the last
   *  one was sent. */
  bool sending_snapshot;
  uint64_t snapshot_index;
  uint64_t snapshot_offset;
  uint64_t snapshot_sent_ms;
  /** The peer's last answer to CONSENSUS_HELLO: its incarnation, and whether
   *  it has neither log nor vote. */
  uint64_t hello_incarnation;
  bool hello_empty;
};

/** A read that waits until a majority answers its heartbeat round. */
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
  /** Current term and the vote given in it. */
  struct consensus_wire_vote vote;
  enum consensus_phase phase;
  /** Id of the leader; 0 when none is known. */
  uint64_t leader;
  /** What a leader last told as committed, also where this member lacks it;
   *  0 before the first such message since the start. */
  uint64_t leader_commit_index;
  uint64_t commit_index;
  uint64_t applied_index;
  uint64_t persisted_index;
  uint64_t election_due_ms;
  /** Time of the last message from a leader. */
  uint64_t leader_contact_ms;
  uint64_t hello_due_ms;
  uint64_t heartbeat_due_ms;
  /** Time at which this member last became leader. */
  uint64_t leader_since_ms;
  /** Index of the first entry of the leader's own term. */
  uint64_t term_start_index;
  /** Number of the latest heartbeat round. */
  uint64_t round;
  /** Whether the next flush sends a heartbeat. */
  bool heartbeat_requested;
  /** Leadership transfer in progress, until it times out. */
  bool transferring;
  uint64_t transfer_until_ms;
  /** Id of the latest read. */
  uint64_t read_id;
  /** struct consensus_pending_read, oldest first. */
  GArray *pending_reads;
  uint32_t peer_count;
  struct consensus_peer peers[CONSENSUS_MEMBERS_MAX];
  /** Snapshot being received, or NULL, and the leader, term and index that it
   *  belongs to. */
  GByteArray *incoming;
  uint64_t incoming_leader;
  uint64_t incoming_term;
  uint64_t incoming_index;
  struct consensus_effects effects;
};

/** Updates the list of peers from the latest configuration; peers that stay
 *  keep their state. */
void consensus_refresh_peers (struct consensus *consensus);
/** The peer with this id, or NULL. */
struct consensus_peer *consensus_peer (struct consensus *consensus,
                                       uint64_t id);
/** Queues a message with its sender, receiver, kind and term; the caller fills
 *  in the rest. */
struct consensus_wire_message *
consensus_queue_message (struct consensus *consensus, uint64_t to,
                         uint64_t incarnation,
                         enum consensus_message_kind kind);
/** Appends a new entry to this member's log and takes ownership of @p data.
 *  Returns its index. */
uint64_t consensus_append_local (struct consensus *consensus, uint32_t kind,
                                 char *data, uint32_t bytes);
/** Marks the entries from @p index on as not persisted. */
void consensus_mark_unpersisted (struct consensus *consensus, uint64_t index);
/** Whether this member is a voter in the latest configuration. */
bool consensus_is_voter (const struct consensus *consensus);

/** Whether this member may start an election. */
bool consensus_may_campaign (const struct consensus *consensus);
/** Becomes a follower of @p leader (0 when it is not known) in @p term. */
void consensus_become_follower (struct consensus *consensus, uint64_t now_ms,
                                uint64_t term, uint64_t leader);
/** Restarts the election timeout with a new random length. */
void consensus_reset_election_timeout (struct consensus *consensus,
                                       uint64_t now_ms);
/** Starts a pre-vote or, when @p pre_vote is false, an election. */
void consensus_campaign (struct consensus *consensus, uint64_t now_ms,
                         bool pre_vote);
/** Handles a request for a vote or a pre-vote. */
void consensus_on_vote (struct consensus *consensus, uint64_t now_ms,
                        const struct consensus_wire_message *message);
/** Handles the answer to a request for a vote or a pre-vote. */
void consensus_on_vote_answer (struct consensus *consensus, uint64_t now_ms,
                               const struct consensus_wire_message *message);

/** Becomes the leader of the current term. */
void consensus_become_leader (struct consensus *consensus, uint64_t now_ms);
/** Queues the entries and snapshot pieces that the peers lack; starts a new
 *  heartbeat round when @p heartbeat is true. */
void consensus_broadcast (struct consensus *consensus, uint64_t now_ms,
                          bool heartbeat);
/** Moves the commit index to the last entry that a majority has persisted. */
void consensus_advance_commit (struct consensus *consensus);
/** Handles a follower's answer to an append or to a whole snapshot. */
void consensus_on_append_answer (struct consensus *consensus, uint64_t now_ms,
                                 const struct consensus_wire_message *message);
/** Handles a follower's answer to a piece of a snapshot. */
void
consensus_on_snapshot_answer (struct consensus *consensus, uint64_t now_ms,
                              const struct consensus_wire_message *message);
/** Runs the leader's timers; the leader steps down when it was removed or has
 *  no contact with a majority. */
void consensus_leader_tick (struct consensus *consensus, uint64_t now_ms);
/** Reports as confirmed the pending reads whose round a majority has
 *  answered. */
void consensus_confirm_reads (struct consensus *consensus);
/** Reports all pending reads as failed. */
void consensus_fail_reads (struct consensus *consensus);

/** Handles an append of the leader, on a follower. */
void consensus_on_append (struct consensus *consensus,
                          struct consensus_wire_message *message);
/** Handles a piece of a snapshot, on a follower. */
void consensus_on_snapshot (struct consensus *consensus,
                            const struct consensus_wire_message *message);

/** Handles a hello: answers it, and readmits the sender or forwards the hello
 *  to the leader. */
void consensus_on_hello (struct consensus *consensus, uint64_t now_ms,
                         const struct consensus_wire_message *message);
/** Handles an answer to a hello; creates the log when all members are empty.
 */
void consensus_on_hello_answer (struct consensus *consensus,
                                const struct consensus_wire_message *message);
/** Sends hellos to all peers while there is no leader. */
void consensus_membership_tick (struct consensus *consensus, uint64_t now_ms);
/** Promotes a rejoining member that has caught up to voter; called on the
 *  leader. */
void consensus_promote_ready (struct consensus *consensus);

#endif
