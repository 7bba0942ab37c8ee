#ifndef CONTROL_DAEMON_H
#define CONTROL_DAEMON_H

/** @file
 *  The control process: serves calls, replicates the log and applies it, all
 *  on one thread. */

#include <stdbool.h>
#include <stdint.h>

#include "base_findings.h"
#include "base_metrics.h"
#include "consensus_configuration.h"
#include "wire_control.h"

struct control_daemon;

/** Settings of the process; strings outlive it. */
struct control_daemon_options
{
  const char *cluster;
  const char *host;
  uint64_t member_id;
  const char *address;
  uint16_t port;
  const char *data_dir;
  struct consensus_configuration members;
  /** Joins a log that others founded, and never founds one. */
  bool joins_only;
  /** Members that are to vote; learners are promoted up to that, and take the
   *  place of silent voters.  0: roles change by operators only. */
  uint32_t wanted_voters;
  /** Silence after which an announced target counts as silent, in
   *  milliseconds. */
  uint32_t target_timeout_ms;
  /** Whether @ref root_key is set; without it no version 1 is accepted. */
  bool has_root_key;
  uint8_t root_key[32];
  uint32_t election_ms;
  /** Shortest first election timeout after a start; 0: as the others. */
  uint32_t first_election_ms;
  uint32_t heartbeat_ms;
  uint32_t lease_ms;
  /** Applied entries after which a snapshot replaces them. */
  uint64_t snapshot_entries;
  struct base_metrics *metrics;
};

/** Opens the data folder and listens; NULL with findings. */
struct control_daemon *
control_daemon_create (const struct control_daemon_options *options,
                       struct base_findings *findings);
/** Closes everything. */
void control_daemon_destroy (struct control_daemon *daemon);
/** Port that is served. */
uint16_t control_daemon_port (const struct control_daemon *daemon);
/** Serves until control_daemon_stop; 0, or -1 when the data folder failed. */
int control_daemon_run (struct control_daemon *daemon);
/** Asks for a graceful end: leadership is handed over first.  Callable from
 *  any thread and from a signal handler. */
void control_daemon_stop (struct control_daemon *daemon);
/** Takes a target's announcement; from any thread.  False when a newer one is
 *  known. */
bool control_daemon_announce_target (struct control_daemon *daemon,
                                     const struct control_target *target);
/** Takes word that a target is over; from any thread. */
void control_daemon_mark_target_gone (struct control_daemon *daemon,
                                      const char *target);
/** Tells which members there are, for a member that has no log yet; from any
 *  thread. */
void
control_daemon_learn_members (struct control_daemon *daemon,
                              const struct consensus_configuration *members);
/** The document that this member holds, with its version; NULL when there is
 *  none.  Freed with g_bytes_unref; from any thread. */
GBytes *control_daemon_document (struct control_daemon *daemon,
                                 uint64_t *version);
/** Incarnation of the data folder. */
uint64_t control_daemon_incarnation (const struct control_daemon *daemon);
/** Whether a leader is known; callable from any thread. */
bool control_daemon_ready (struct control_daemon *daemon);

#endif
