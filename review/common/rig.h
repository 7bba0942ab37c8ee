#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

/** @file
 *  Runs the programs of the deploy file as processes on loopback addresses,
 *  with stand-ins for replicas, clients and the operator.  The words are those
 *  of the platform's pages. */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** Number of core machines. */
#define RIG_CORES 3
/** Maximum number of front machines. */
#define RIG_FRONTS_MAX 7
/** Interval of liveness reports, in milliseconds. */
#define RIG_HEARTBEAT_MS 1200
/** Bounds of the sheets, in milliseconds. */
#define RIG_CONTACT_MS 4000
#define RIG_DRAIN_MS 3000
#define RIG_CONFIG_APPLY_MS 3000

/** Exit statuses of a case. */
enum rig_verdict
{
  RIG_HELD = 0,
  RIG_BROKEN = 1,
  RIG_UNABLE = 2
};

/** A response as a client sees it. */
struct rig_answer
{
  /** 0 without a response. */
  int status;
  /** The response's own framing says that it is complete. */
  bool is_complete;
  /** Value of X-Replica-Signature, or NULL. */
  char *signature;
  GString *body;
};

/** A request that reached a replica. */
struct rig_exchange
{
  int fd;
  const char *method;
  const char *path;
  /** Values of the headers, or NULL. */
  const char *request_id;
  const char *tenant;
  const char *last_event_id;
};

struct rig_replica;

/** What a replica is like. */
struct rig_replica_options
{
  const char *id;
  const char *service;
  /** Version of its software; "v1" by default. */
  const char *version;
  /** Core machine that gets its liveness reports, and one that gets every
   *  second of them; the same one by default. */
  uint32_t core;
  uint32_t other_core;
  /** Answers a request that is meant for this replica.  Returns whether the
   *  channel stays open. */
  bool (*serve) (struct rig_replica *replica,
                 const struct rig_exchange *exchange);
};

/** Returns whether the case plays its disruption (TROUBLE is not 0). */
bool rig_has_trouble (void);
/** Starts the core and @p fronts front machines.  Opens record.txt in @p
 *  folder. */
void rig_create (const char *folder, uint32_t fronts);
/** Ends all processes and returns @p verdict, which it records. */
int rig_end (enum rig_verdict verdict);
/** Ends all processes and exits, since the case can't run. */
void rig_give_up (const char *reason) G_GNUC_NORETURN;
/** Writes a line to record.txt. */
void rig_record (const char *format, ...) G_GNUC_PRINTF (1, 2);
/** Milliseconds since rig_create(). */
int64_t rig_now_ms (void);
void rig_sleep_ms (int64_t ms);

/** Sends a signal to a front machine's process. */
void rig_signal_front (uint32_t front, int signal_number);
/** Waits until the process ended, and starts it again. */
void rig_restart_front (uint32_t front);
/** Kills the processes of all machines and starts them again at once. */
void rig_kill_all (void);
/** Stops a core machine's process by SIGTERM and starts it again. */
void rig_roll_core (uint32_t core);
/** Time of the last start of a front machine's process. */
int64_t rig_front_started_ms (uint32_t front);
/** Returns what a front machine's process has written. */
char *rig_front_log (uint32_t front);

/** Calls a core machine's control address; returns the status, or 0. */
int rig_control (uint32_t core, const char *method, const char *path,
                 const char *body);
/** Sends a configuration, to one core machine after the other until one
 *  acknowledges it. */
void rig_configure (const char *config);
/** Sends a request to a front machine.  @p lines are further header lines,
 *  each ended by CRLF. */
struct rig_answer rig_request (uint32_t front, const char *method,
                               const char *path, const char *id,
                               const char *lines, uint32_t deadline_ms);
void rig_answer_clear (struct rig_answer *answer);
/** Repeats a GET until each front machine answers it with 200. */
void rig_wait_served (const char *path, const char *lines);

/** Starts a replica and its liveness reports. */
struct rig_replica *
rig_replica_create (const struct rig_replica_options *options);
const char *rig_replica_id (const struct rig_replica *replica);
/** Ends the liveness reports, after the one in progress. */
void rig_replica_stop_reports (struct rig_replica *replica);
/** Reports this state from now on, at once. */
void rig_replica_set_state (struct rig_replica *replica, const char *state);
/** Has the replica's port refuse new channels, or take them again. */
void rig_replica_close_port (struct rig_replica *replica);
void rig_replica_open_port (struct rig_replica *replica);
/** Sends bytes; false when the channel is gone. */
bool rig_send (int fd, const char *data, size_t bytes);
/** Sends a complete response with the replica's proof.  @p lines are further
 *  header lines, each ended by CRLF. */
bool rig_reply (const struct rig_exchange *exchange, const char *status,
                const char *lines, const char *body);

#endif
