#ifndef CONTROL_TARGETS_H
#define CONTROL_TARGETS_H

/** @file
 *  Targets as they announced themselves to this control member.  A target is
 *  its name together with the time at which its run began; an announcement
 *  counts only when its sequence number is above the last one of that run.
 *  Without I/O. */

#include <stdbool.h>
#include <stdint.h>

#include "wire_control.h"

struct control_targets;

/** Makes an empty list; a target that is not heard of for @p silent_ms counts
 *  as silent. */
struct control_targets *control_targets_create (uint32_t silent_ms);
/** Frees it. */
void control_targets_destroy (struct control_targets *targets);
/** Takes an announcement, which is copied; false when a newer one is known.
 */
bool control_targets_announce (struct control_targets *targets,
                               const struct control_target *target,
                               uint64_t now_ms);
/** The run of that name that is known is over. */
void control_targets_mark_gone (struct control_targets *targets,
                                const char *name, uint64_t now_ms);
/** Marks silent targets, and forgets those that are long gone. */
void control_targets_expire (struct control_targets *targets, uint64_t now_ms);
/** Rises with each change that a router has to hear of. */
uint64_t control_targets_change_count (const struct control_targets *targets);
/** Copies what changed after @p change, allocated with malloc; the count. */
uint32_t control_targets_changed_since (const struct control_targets *targets,
                                        uint64_t change,
                                        struct control_target **list);
/** Copies a record; freed with xdr_free. */
void control_target_copy (const struct control_target *from,
                          struct control_target *to);

#endif
