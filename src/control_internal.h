#ifndef CONTROL_INTERNAL_H
#define CONTROL_INTERNAL_H

/** @file
 *  State shared by the files of the control process. */

#include <stdatomic.h>

#include "consensus.h"
#include "control_daemon.h"
#include "control_liveness.h"
#include "control_peers.h"
#include "control_pending.h"
#include "control_state.h"
#include "control_store.h"
#include "control_targets.h"
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
  struct base_counter *leader;
  struct base_counter *term;
  struct base_counter *bundle_version;
  struct base_counter *claims;
  struct base_counter *snapshots;
  struct base_counter *leader_changes;
  /** Time from the end of a round's calls to its replies. */
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
  struct control_pending *proposals;
  struct control_pending *reads;
  struct wire_server *server;
  struct control_watch *watch;
  /** Guards targets, learnt and the published document. */
  GMutex mutex;
  struct control_targets *targets;
  /** Members as others named them, while the own log is empty. */
  struct consensus_configuration learnt;
  /** Document that other threads read. */
  GBytes *published;
  uint64_t published_version;
  struct control_counters counters;
  /** Leader and term that were last logged. */
  uint64_t logged_leader;
  bool was_ready;
  uint64_t sweep_due_ms;
  /* Time that the last round's end took, in milliseconds. */
  uint64_t end_took_ms;
  uint64_t stop_by_ms;
  int failure;
  atomic_bool stopping;
  atomic_bool ready;
};

/** Takes one call of CONTROL_PROGRAM. */
void control_call_handle (struct control_daemon *daemon,
                          struct wire_call *call, uint64_t now_ms);
/** Answers a call whose command was applied. */
void control_call_reply_applied (struct control_daemon *daemon,
                                 const struct control_pending_call *waiter,
                                 struct control_outcome *outcome,
                                 uint64_t now_ms);
/** Answers a call whose read was confirmed. */
void control_call_reply_read (struct control_daemon *daemon,
                              const struct control_pending_call *waiter);
/** Answers a call with a status only. */
void control_call_reply_status (struct control_daemon *daemon,
                                struct wire_call *call, uint32_t procedure,
                                enum control_status status, const char *text);
/** Proposes a command that nobody waits for. */
void control_propose (struct control_daemon *daemon,
                      struct control_command *command);
/** Fills the answer to CONTROL_STATUS. */
void control_status_fill (struct control_daemon *daemon,
                          struct control_status_result *result);
/** Proposes a change of members; the reason when it can't be made. */
const char *control_change_member (struct control_daemon *daemon,
                                   const struct control_member_args *args);
/** Address of the leader as far as known, for CONTROL_NOT_LEADER. */
void control_leader_address (struct control_daemon *daemon,
                             struct control_answer *answer);
/** Sends messages to the other members and takes them over. */
void control_send_messages (struct control_daemon *daemon,
                            GPtrArray *messages);
/** Replaces the state by that of a snapshot; 0 or -1. */
int control_snapshot_load (struct control_daemon *daemon, GBytes *snapshot);
/** Writes a snapshot when the log has grown long. */
void control_snapshot_write (struct control_daemon *daemon);
/** Copies the members, allocated with malloc; the count. */
uint32_t control_members_list (struct control_daemon *daemon,
                               struct control_member **list);
/** Leader: lets learners take the places of silent voters. */
void control_members_update_voters (struct control_daemon *daemon,
                                    uint64_t now_ms);
/** Makes the counters. */
void control_counters_create (struct control_daemon *daemon);
/** Sets the gauges, and logs a change of leader. */
void control_counters_update (struct control_daemon *daemon);

#endif
