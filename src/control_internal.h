#ifndef CONTROL_INTERNAL_H
#define CONTROL_INTERNAL_H

/** @file
 *  Daemon state and functions shared by the files of the control process. */

#include <stdatomic.h>

#include "consensus.h"
#include "control_daemon.h"
#include "control_liveness.h"
#include "control_peers.h"
#include "control_pending.h"
#include "control_state.h"
#include "control_store.h"
#include "control_targets.h"
#include "control_targets_store.h"
#include "control_targets_sync.h"
#include "control_streams.h"
#include "control_watch.h"
#include "store_identity.h"
#include "wire_server.h"

/** Metrics of the process. */
struct control_counters
{
  struct base_counter *calls;
  struct base_counter *applied;
  struct base_counter *syncs;
  struct base_counter *dropped_messages;
  struct base_counter *silent_connections;
  struct base_counter *leader;
  struct base_counter *term;
  struct base_counter *bundle_version;
  struct base_counter *claims;
  struct base_counter *snapshots;
  struct base_counter *leader_changes;
  /** Bytes of configuration documents sent to routers. */
  struct base_counter *document_bytes;
  /** Notes of streams that routers began, notes dropped because the table is
   *  full, and streams that are remembered. */
  struct base_counter *streams_noted;
  struct base_counter *streams_dropped;
  struct base_counter *streams_kept;
  /** Zones that are evacuated, and the newest change. */
  struct base_counter *evacuated_zones;
  struct base_counter *evacuations_change;
  struct base_counter *written_off_open;
  struct base_counter *written_off_unreported;
  /** Duration of end_round, from the last call of a round to the replies, in
   *  microseconds. */
  struct base_histogram *round_us;
};

struct control_daemon
{
  struct wire_handler handler;
  struct control_daemon_options options;
  struct store_identity identity;
  struct consensus *consensus;
  struct control_store *store;
  struct control_state *state;
  struct control_peers *peers;
  struct control_liveness *liveness;
  /** Calls that wait for their command to be applied. */
  struct control_pending *proposals;
  /** Calls that wait for their read to be confirmed. */
  struct control_pending *reads;
  struct wire_server *server;
  struct control_watch *watch;
  struct control_streams *streams;
  /** Guards targets, learned_members, published_document and
   *  published_version. */
  GMutex mutex;
  struct control_targets *targets;
  struct control_targets_sync *targets_sync;
  struct control_targets_store *targets_store;
  /** Members that another member listed last. */
  struct consensus_configuration learned_members;
  /** Copy of the state's document for other threads. */
  GBytes *published_document;
  uint64_t published_version;
  struct control_counters counters;
  /** Leader in the last leader-changed log line. */
  uint64_t logged_leader;
  /** Time of the next log line while no leader is known, in milliseconds. */
  uint64_t leaderless_log_due_ms;
  /** Whether this member was a ready leader in the previous round. */
  bool was_ready;
  /** Time since which the data folder's disk is full, or 0; written by the
   *  thread that runs the daemon. */
  atomic_uint_least64_t full_since_ms;
  /** Time at which a snapshot that found no room is written again, or 0. */
  uint64_t snapshot_retry_ms;
  /** Time of the next check for expired sessions, in milliseconds. */
  uint64_t sweep_due_ms;
  /** Time that end_round took in the last round, in milliseconds. */
  uint64_t round_end_took_ms;
  /** Time by which the process ends after a stop request, in milliseconds; 0
   *  when no stop was requested. */
  uint64_t stop_deadline_ms;
  /** 0, or -1 after an I/O error in the data folder or a malformed snapshot,
   *  which ends control_daemon_run. */
  int failure;
  /** Newest change of evacuations that was logged, for all threads. */
  atomic_uint_least64_t evacuations_change;
  atomic_bool stopping;
  atomic_bool ready;
};

/** Handles one call of CONTROL_PROGRAM. */
void control_call_handle (struct control_daemon *daemon,
                          struct wire_call *call, uint64_t now_ms);
/** Replies to a call whose command was applied. */
void control_call_reply_applied (struct control_daemon *daemon,
                                 const struct control_pending_call *pending,
                                 struct control_outcome *outcome,
                                 uint64_t now_ms);
/** Replies to a call whose read was confirmed. */
void control_call_reply_read (struct control_daemon *daemon,
                              const struct control_pending_call *pending);
/** Replies to a call with a status and text, and no other result. */
void control_call_reply_status (struct control_daemon *daemon,
                                struct wire_call *call, uint32_t procedure,
                                enum control_status status, const char *text);
/** Proposes a command that no call waits for. */
void control_propose (struct control_daemon *daemon,
                      struct control_command *command);
/** Fills the result of CONTROL_STATUS. */
void control_status_fill (struct control_daemon *daemon,
                          struct control_status_result *result);
/** Proposes a membership change.  Returns NULL, or the reason why it was
 *  refused. */
const char *control_change_member (struct control_daemon *daemon,
                                   const struct control_member_args *args);
/** Fills in the leader's address and port, or "" and 0 when no leader is
 *  known. */
void control_leader_address (struct control_daemon *daemon,
                             struct control_answer *answer);
/** Queues messages to the other members.  Takes ownership of the messages
 *  and empties the array. */
void control_send_messages (struct control_daemon *daemon,
                            GPtrArray *messages);
/** Replaces the state by that of a snapshot.  Returns 0, or -1 when it is
 *  malformed. */
int control_snapshot_load (struct control_daemon *daemon, GBytes *snapshot);
/** Writes a snapshot when the log has reached its limit; sets failure on an
 *  error. */
void control_snapshot_write (struct control_daemon *daemon);
/** Waits for a moment while the disk of the data folder is full; false when
 * the process stops.  The member answers nothing meanwhile, as with a disk
 * that stalls, so that another one leads.  @p context is the daemon. */
bool control_room_wait (void *context);
/** Opens the log, whose sync may need room; waits for it.  Returns NULL with
 *  findings on another error. */
struct control_store *control_room_open_store (struct control_daemon *daemon,
                                               struct base_findings *findings);
/** Logs that the disk has room again, after control_room_wait. */
void control_room_note (struct control_daemon *daemon);
/** Copies the members into an array allocated with malloc.  Returns their
 *  number. */
uint32_t control_members_list (struct control_daemon *daemon,
                               struct control_member **list);
/** On the leader, promotes learners and removes members that do not
 *  respond. */
void control_members_update_voters (struct control_daemon *daemon,
                                    uint64_t now_ms);
/** Registers the metrics. */
void control_counters_create (struct control_daemon *daemon);
/** Sets the gauges and the ready flag, and logs a change of leader. */
void control_counters_update (struct control_daemon *daemon);

#endif
