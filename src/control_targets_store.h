#ifndef CONTROL_TARGETS_STORE_H
#define CONTROL_TARGETS_STORE_H

/** @file
 *  Keeps the targets that a control member reports in its data folder, so that
 *  a start of all members doesn't hide which builds and departures there were.
 *  A thread of its own writes them soon after a change, or at once when a
 *  caller waits for it; one write serves all callers that wait.  A slow or
 *  full disk delays nothing else. */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "control_targets.h"

struct control_targets_store;

/** Restores what @p folder holds, if anything, into @p targets, which @p mutex
 *  guards, and starts to write changes. */
struct control_targets_store *
control_targets_store_create (const char *folder, GMutex *mutex,
                              struct control_targets *targets);
/** Waits at most @p timeout_ms until the targets are on the disk with change
 *  number @p change.  Returns whether they are; false also when a write fails.
 *  Thread-safe. */
bool control_targets_store_wait (struct control_targets_store *store,
                                 uint64_t change, uint32_t timeout_ms);
/** Writes the last changes and stops.  NULL is allowed. */
void control_targets_store_destroy (struct control_targets_store *store);

#endif
