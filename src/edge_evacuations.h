#ifndef EDGE_EVACUATIONS_H
#define EDGE_EVACUATIONS_H

/** @file
 *  The availability zones to whose targets a router sends nothing new, from
 *  the lists of control members, which differ in age.  Answers a zone that is
 *  evacuated beside cuts, members that are behind after a start, and routers
 *  that start meanwhile: what is in force never goes back to an older list,
 *  and a router that starts waits for a member that is up to date.  Does no
 *  I/O. */

#include <stdbool.h>
#include <stdint.h>

#include "wire_control.h"

/** Longest time for which a router that starts waits for a member that is up
 *  to date, from the first answer of any member, in milliseconds. */
#define EDGE_EVACUATIONS_WAIT_MS 3000

struct edge_evacuations;

/** Creates an empty set: version 0, nothing known. */
struct edge_evacuations *edge_evacuations_create (void);
/** Destroys the set; NULL is allowed. */
void edge_evacuations_destroy (struct edge_evacuations *evacuations);
/** Applies a member's answer; NULL from a member that doesn't know
 *  evacuations, so that none can have been ordered through it.  Returns
 *  whether another list is in force than before. */
bool edge_evacuations_apply (struct edge_evacuations *evacuations,
                             const struct control_evacuations *list,
                             uint64_t now_ms);
/** Returns whether the zone is evacuated. */
bool edge_evacuations_has (const struct edge_evacuations *evacuations,
                           const char *zone);
/** Returns whether requests may be sent: a member that is up to date has
 *  answered, or none did in time. */
bool edge_evacuations_is_known (const struct edge_evacuations *evacuations,
                                uint64_t now_ms);
/** Returns the version of the list in force; 0 for none. */
uint64_t edge_evacuations_version (const struct edge_evacuations *evacuations);
/** Returns the number of evacuated zones. */
uint32_t edge_evacuations_count (const struct edge_evacuations *evacuations);

#endif
