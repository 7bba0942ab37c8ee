#ifndef CONTROL_LIVENESS_H
#define CONTROL_LIVENESS_H

/** @file
 *  The leader's memory of which processes renew their session.  A new leader
 *  waits one lease before it calls anyone dead. */

#include <stdbool.h>
#include <stdint.h>

#include "control_processes.h"

struct control_liveness;

/** Makes an empty memory. */
struct control_liveness *control_liveness_create (uint32_t lease_ms);
/** Frees it. */
void control_liveness_destroy (struct control_liveness *leases);
/** Forgets everything at the start of a leadership. */
void control_liveness_reset (struct control_liveness *leases, uint64_t now_ms);
/** The process renewed its session and runs @p bundle_version. */
void control_liveness_renew (struct control_liveness *leases,
                             const struct wire_process *process,
                             uint64_t now_ms);
/** Whether the session of a registered process has run out. */
bool control_liveness_expired (const struct control_liveness *leases,
                               const struct wire_process *process,
                               uint64_t now_ms);
/** Bundle version that the process last reported; 0 when it is not known. */
uint64_t
control_liveness_bundle_version (const struct control_liveness *leases,
                                 const struct wire_process *process);

#endif
