#ifndef CONTROL_EVACUATIONS_H
#define CONTROL_EVACUATIONS_H

/** @file
 *  The availability zones that an operator evacuated: no new request is sent
 *  to their targets.  Part of the replicated state, so an order that was
 *  accepted outlives each member.  Answers an operator who empties a zone
 *  beside lost answers, orders that are sent again and members that change.
 *  Deterministic, without I/O. */

#include <stdbool.h>
#include <stdint.h>

#include "wire_control.h"

/** Maximum length of a zone's name in bytes. */
#define CONTROL_ZONE_NAME_MAX 63

struct control_evacuations_set;

/** Creates an empty set: change 0. */
struct control_evacuations_set *control_evacuations_create (void);
/** Frees the set; NULL is allowed. */
void control_evacuations_destroy (struct control_evacuations_set *evacuations);
/** Returns whether @p zone can be a zone's name: 1 to CONTROL_ZONE_NAME_MAX
 *  visible ASCII characters without a slash. */
bool control_evacuations_is_name (const char *zone);
/** Applies an order at the replicated time @p wall_ms and fills @p result:
 *  CONTROL_OK, also when the zone is already so; CONTROL_CONFLICT when it is
 *  not, and an order for it was accepted after the order's after_change;
 * CONTROL_REFUSED for a name that can't be one, or when
 * CONTROL_EVACUATIONS_MAX zones are evacuated. */
void control_evacuations_order (struct control_evacuations_set *evacuations,
                                const struct control_evacuation_args *args,
                                uint64_t wall_ms,
                                struct control_evacuation_result *result);
/** Returns the number of the newest change; 0 when there was none. */
uint64_t
control_evacuations_change (const struct control_evacuations_set *evacuations);
/** Returns whether the zone is evacuated. */
bool
control_evacuations_has (const struct control_evacuations_set *evacuations,
                         const char *zone);
/** Copies the evacuated zones, in the order of their names, into an array
 *  allocated with malloc.  Returns their number. */
uint32_t
control_evacuations_copy (const struct control_evacuations_set *evacuations,
                          struct control_evacuation **zones);
/** Copies the set into an image, which is freed with xdr_free. */
void
control_evacuations_save (const struct control_evacuations_set *evacuations,
                          struct control_evacuations_image *image);
/** Reads an image into an empty set. */
void control_evacuations_load (struct control_evacuations_set *evacuations,
                               const struct control_evacuations_image *image);

#endif
