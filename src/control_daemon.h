#ifndef CONTROL_DAEMON_H
#define CONTROL_DAEMON_H

/** @file
 *  The control process: serves calls, replicates the log and applies its
 *  entries, all on one thread. */

#include <stdbool.h>
#include <stdint.h>

#include "base_findings.h"
#include "base_metrics.h"
#include "consensus_configuration.h"
#include "wire_control.h"

struct control_daemon;

/** Settings of the process; its strings must outlive the daemon. */
struct control_daemon_options
{
  const char *cluster;
  const char *host;
  /** Availability zone of the host, which routers are told; may be NULL. */
  const char *availability_zone;
  uint64_t member_id;
  const char *address;
  uint16_t port;
  const char *data_dir;
  /** Members that bootstrap the log. */
  struct consensus_configuration members;
  /** Only joins an existing log; never bootstraps one. */
  bool joins_only;
  /** Desired number of voters.  Learners are promoted up to it, and replace
   *  voters that do not respond.  0 means that only operators change roles. */
  uint32_t wanted_voters;
  /** Time without an announcement after which a target is marked silent, in
   *  milliseconds; 0 means the default. */
  uint32_t target_timeout_ms;
  /** Whether @ref root_key is set; without it no version 1 is accepted. */
  bool has_root_key;
  uint8_t root_key[32];
  /** Shortest election timeout, in milliseconds. */
  uint32_t election_ms;
  /** Shortest first election timeout after a start, in milliseconds; 0 means
   *  @ref election_ms. */
  uint32_t first_election_ms;
  /** Interval of the leader's heartbeats, in milliseconds. */
  uint32_t heartbeat_ms;
  /** Lifetime of a session without a heartbeat, in milliseconds. */
  uint32_t lease_ms;
  /** Returns whether operators may evacuate this availability zone; NULL:
   * none, since the cluster's routers don't know evacuations.  Called on the
   * daemon's thread, with @ref zones. */
  bool (*knows_zone) (const void *zones, const char *zone);
  const void *zones;
  /** Number of applied entries after which a snapshot replaces them. */
  uint64_t snapshot_entries;
  struct base_metrics *metrics;
};

/** Opens the data folder and listens.  Returns NULL with findings on an
 *  error. */
struct control_daemon *
control_daemon_create (const struct control_daemon_options *options,
                       struct base_findings *findings);
/** Closes the sockets and the data folder, and frees the daemon. */
void control_daemon_destroy (struct control_daemon *daemon);
/** Returns the RPC port. */
uint16_t control_daemon_port (const struct control_daemon *daemon);
/** Serves calls until control_daemon_stop is called.  Returns 0, or -1 after
 *  an I/O error in the data folder or a malformed snapshot. */
int control_daemon_run (struct control_daemon *daemon);
/** Requests a graceful shutdown, which hands over leadership first.  Safe to
 *  call from any thread and from a signal handler. */
void control_daemon_stop (struct control_daemon *daemon);
/** Records a target's announcement.  Returns whether it may be acknowledged:
 *  false while the departure that it makes or repeats isn't on the disks of a
 *  majority of the members, this one included.  Thread-safe. */
bool control_daemon_announce_target (struct control_daemon *daemon,
                                     const struct control_target *target);
/** Marks a target as gone.  Returns whether that may be acknowledged, as for
 *  control_daemon_announce_target().  Thread-safe. */
bool control_daemon_mark_target_gone (struct control_daemon *daemon,
                                      const char *target);
/** Sets the members to contact beside those of this member's log.
 *  Thread-safe. */
void
control_daemon_learn_members (struct control_daemon *daemon,
                              const struct consensus_configuration *members);
/** Returns this member's configuration document and its version; NULL when
 *  there is none.  The caller frees it with g_bytes_unref.  Thread-safe. */
GBytes *control_daemon_document (struct control_daemon *daemon,
                                 uint64_t *version);
/** Returns the newest change of evacuations that this member has applied.
 *  Thread-safe. */
uint64_t
control_daemon_evacuations_change (const struct control_daemon *daemon);
/** Returns the incarnation of the data folder. */
uint64_t control_daemon_incarnation (const struct control_daemon *daemon);
/** Returns whether a leader is known.  Thread-safe. */
bool control_daemon_ready (struct control_daemon *daemon);
/** Returns false while the member waits for room on its disk; it shares
 *  nothing with other members and routers meanwhile.  Thread-safe. */
bool control_daemon_has_room (const struct control_daemon *daemon);

#endif
