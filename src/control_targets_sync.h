#ifndef CONTROL_TARGETS_SYNC_H
#define CONTROL_TARGETS_SYNC_H

/** @file
 *  Exchanges knowledge of targets among the control members: a thread for
 *  each other member makes the watch calls that routers make, and merges what
 *  it learns into the daemon's table (control_targets.h).  So a departure that
 *  one member was told of outlives that member's restart, and holds at members
 *  that hear the target themselves.  A member's call confirms the changes that
 *  it names; departures among them are on that member's disk by then. */

#include <stdbool.h>
#include <stdint.h>

#include "consensus_configuration.h"
#include "control_targets.h"
#include "wire_control.h"

struct control_targets_sync;

/** What the exchange works on. */
struct control_targets_sync_options
{
  const char *cluster;
  /** Address of this member, by which others know it. */
  const char *address;
  /** Guards @ref targets. */
  GMutex *mutex;
  struct control_targets *targets;
  /** Stores the targets up to a change number of theirs.  Returns whether they
   *  are on the disk; waits for a bounded time. */
  bool (*store) (void *context, uint64_t change);
  void *context;
};

/** Creates an exchange without members. */
struct control_targets_sync *control_targets_sync_create (
    const struct control_targets_sync_options *options);
/** Has the threads end after their calls in progress. */
void control_targets_sync_stop (struct control_targets_sync *sync);
/** Ends the threads, which waits for their calls in progress. */
void control_targets_sync_destroy (struct control_targets_sync *sync);
/** Watches the members other than @p self. */
void
control_targets_sync_update (struct control_targets_sync *sync,
                             const struct consensus_configuration *members,
                             uint64_t self);
/** Returns whether a watch call comes from another member. */
bool control_targets_sync_is_member (const struct control_watch_args *args);
/** Records that the member at @p address has this member's changes up to
 *  @p change. */
void control_targets_sync_note_call (struct control_targets_sync *sync,
                                     const char *address, uint64_t change,
                                     uint64_t now_ms);
/** Waits until a majority of the members, this one included, and all that have
 *  called lately have confirmed change number @p change.  Of the latter those
 *  that take longer than a few round trips aren't waited for; of the former
 *  all are, for at most @p timeout_ms.  Returns whether a majority has
 *  confirmed the change.  Thread-safe. */
bool control_targets_sync_wait (struct control_targets_sync *sync,
                                uint64_t change, uint32_t timeout_ms);

#endif
