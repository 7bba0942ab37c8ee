#ifndef CONTROL_TARGETS_H
#define CONTROL_TARGETS_H

/** @file
 *  Targets as they announced themselves to this control member, and as the
 *  other members report them.  A start time (born_ms) identifies a target's
 *  incarnation.  An announcement of the same incarnation counts only when its
 *  sequence number is higher than the last one.
 *
 *  A target may announce itself to one member and sign off at another.  What
 *  others report tells which incarnation has signed off, and a departure that
 *  any member was told of holds here too.  Targets that only others hear are
 *  not reported to routers until they leave.  Without I/O. */

#include <stdbool.h>
#include <stdint.h>

#include "wire_control.h"

struct control_targets;

/** Creates an empty table; a target without an announcement for @p timeout_ms
 *  is marked silent. */
struct control_targets *control_targets_create (uint32_t timeout_ms);
/** Frees the table. */
void control_targets_destroy (struct control_targets *targets);
/** Records a copy of an announcement.  Returns false when a newer one is
 *  known. */
bool control_targets_announce (struct control_targets *targets,
                               const struct control_target *target,
                               uint64_t now_ms);
/** Marks the current incarnation of a target as gone; adds the name when it is
 *  not known.  A name that the wire can't carry is ignored. */
void control_targets_mark_gone (struct control_targets *targets,
                                const char *name, uint64_t now_ms);
/** Returns the number of the change by which the target's current incarnation
 *  became leaving or gone; 0 when it is neither, or unknown. */
uint64_t control_targets_departure (const struct control_targets *targets,
                                    const char *name);
/** Merges a record that member @p source (below 32) reported at wall time
 *  @p wall_ms.  Returns true when routers must be notified. */
bool control_targets_learn (struct control_targets *targets, uint32_t source,
                            const struct control_target *record,
                            uint64_t now_ms, uint64_t wall_ms);
/** Drops what only member @p source reports, after a while; called when that
 *  member has restarted or doesn't answer. */
void control_targets_forget_source (struct control_targets *targets,
                                    uint32_t source, uint64_t now_ms);
/** Marks targets whose announcements timed out as silent, and removes those
 *  without an announcement for the retention time. */
void control_targets_expire (struct control_targets *targets, uint64_t now_ms);
/** Returns the number of the newest change that routers must be notified of;
 *  changes are numbered from 1. */
uint64_t control_targets_newest_change (const struct control_targets *targets);
/** Copies the targets that changed after change number @p change into an array
 *  allocated with malloc.  Returns their number. */
uint32_t control_targets_changed_since (const struct control_targets *targets,
                                        uint64_t change,
                                        struct control_target **list);
/** Fills @p file with what routers are told; the caller frees it with
 *  xdr_free. */
void control_targets_save (const struct control_targets *targets,
                           uint64_t wall_ms,
                           struct control_targets_file *file);
/** Adds what an earlier process of this member saved, as silent targets. */
void control_targets_restore (struct control_targets *targets,
                              const struct control_targets_file *file,
                              uint64_t now_ms, uint64_t wall_ms);
/** Copies a record; the caller frees the copy with xdr_free. */
void control_target_copy (const struct control_target *from,
                          struct control_target *to);

#endif
