#ifndef CONTROL_LIVENESS_H
#define CONTROL_LIVENESS_H

/** @file
 *  The leader's in-memory record of session renewals.  A new leader has seen
 *  no renewals yet, so it waits one lease before it declares a session
 *  expired. */

#include <stdbool.h>
#include <stdint.h>

#include "control_processes.h"

/** Last renewals of all processes. */
struct control_liveness;

/** Creates an empty table; a session expires after @p lease_ms. */
struct control_liveness *control_liveness_create (uint32_t lease_ms);
/** Frees the table; NULL is allowed. */
void control_liveness_destroy (struct control_liveness *liveness);
/** Forgets all renewals; called when this member becomes the leader. */
void control_liveness_reset (struct control_liveness *liveness,
                             uint64_t now_ms);
/** Records that the process renewed its session, and its bundle_version. */
void control_liveness_renew (struct control_liveness *liveness,
                             const struct wire_process *process,
                             uint64_t now_ms);
/** Whether the session of a registered process has expired. */
bool control_liveness_expired (const struct control_liveness *liveness,
                               const struct wire_process *process,
                               uint64_t now_ms);
/** Bundle version that the process last reported; 0 when none is known. */
uint64_t
control_liveness_bundle_version (const struct control_liveness *liveness,
                                 const struct wire_process *process);

#endif
