#ifndef CONTROL_DRAINS_H
#define CONTROL_DRAINS_H

/** @file
 *  Targets that operators drained, as the replicated log applies them. */

#include <stdbool.h>

#include "wire_control.h"

struct control_drains;

/** Makes an empty set. */
struct control_drains *control_drains_create (void);
/** Frees it. */
void control_drains_destroy (struct control_drains *drains);
/** Adds or removes a target; CONTROL_REFUSED when the set is full. */
void control_drains_set (struct control_drains *drains, const char *target,
                         bool drain, struct control_answer *answer);
/** Digest of the set; 0 when it is empty. */
uint64_t control_drains_digest (const struct control_drains *drains);
/** Copies the names in order, allocated with malloc; their number. */
uint32_t control_drains_copy (const struct control_drains *drains,
                              wire_name **names);
/** Reads names into an empty set. */
void control_drains_load (struct control_drains *drains,
                          const wire_name *names, uint32_t count);

#endif
