#ifndef CONTROL_DRAINS_H
#define CONTROL_DRAINS_H

/** @file
 *  Set of the targets that operators drained, part of the replicated state. */

#include <stdbool.h>

#include "wire_control.h"

struct control_drains;

/** Creates an empty set. */
struct control_drains *control_drains_create (void);
/** Frees the set. */
void control_drains_destroy (struct control_drains *drains);
/** Adds (@p drain true) or removes a target.  Sets @p answer to CONTROL_OK, or
 *  to CONTROL_REFUSED when the set is full. */
void control_drains_set (struct control_drains *drains, const char *target,
                         bool drain, struct control_answer *answer);
/** Returns the digest of the set; 0 when it is empty. */
uint64_t control_drains_digest (const struct control_drains *drains);
/** Copies the names in ascending order into an array allocated with malloc.
 *  Returns their number. */
uint32_t control_drains_copy (const struct control_drains *drains,
                              wire_name **names);
/** Reads names in ascending order into an empty set. */
void control_drains_load (struct control_drains *drains,
                          const wire_name *names, uint32_t count);

#endif
