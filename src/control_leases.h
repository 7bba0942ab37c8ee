#ifndef CONTROL_LEASES_H
#define CONTROL_LEASES_H

/** @file
 *  The leader's memory of which processes renew their session.  A new leader
 *  waits one lease before it calls anyone dead. */

#include <stdbool.h>
#include <stdint.h>

#include "control_processes.h"

struct control_leases;

/** Makes an empty memory. */
struct control_leases *control_leases_create (uint32_t lease_ms);
/** Frees it. */
void control_leases_destroy (struct control_leases *leases);
/** Forgets everything at the start of a leadership. */
void control_leases_reset (struct control_leases *leases, uint64_t now_ms);
/** The process renewed its session and runs @p bundle_version. */
void control_leases_renew (struct control_leases *leases,
                           const struct wire_process *process,
                           uint64_t now_ms);
/** Whether the session of a registered process has run out. */
bool control_leases_expired (const struct control_leases *leases,
                             const struct wire_process *process,
                             uint64_t now_ms);
/** Bundle version that the process last reported; 0 when it is not known. */
uint64_t control_leases_version (const struct control_leases *leases,
                                 const struct wire_process *process);

#endif
