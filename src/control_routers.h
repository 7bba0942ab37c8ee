#ifndef CONTROL_ROUTERS_H
#define CONTROL_ROUTERS_H

/** @file
 *  The routers that call a control member, as it tells them to each other.  In
 *  memory only: each router calls every member.  Does no I/O. */

#include <stdint.h>

#include "wire_control.h"

struct control_routers;

/** Creates an empty table; a router that hasn't called for @p timeout_ms is
 *  marked as gone. */
struct control_routers *control_routers_create (uint32_t timeout_ms);
/** Frees the table; NULL is allowed. */
void control_routers_destroy (struct control_routers *routers);
/** Notes a call of a router, with what it says of itself. */
void control_routers_note_call (struct control_routers *routers,
                                const struct control_router_record *record,
                                uint64_t now_ms);
/** Notes up to which change of evacuations the named router, which has called,
 *  has them in force. */
void control_routers_note_evacuations (struct control_routers *routers,
                                       const char *name, uint64_t change);
/** Returns the number of routers that have called lately and have the change
 *  of evacuations in force; all of them for change 0. */
uint32_t control_routers_count_evacuations (struct control_routers *routers,
                                            uint64_t change, uint64_t now_ms);
/** Marks routers that have stopped calling, and forgets those that did so long
 *  ago.  Returns the number of the others. */
uint32_t control_routers_expire (struct control_routers *routers,
                                 uint64_t now_ms);
/** Returns the number of the newest change; changes are numbered from 1. */
uint64_t control_routers_newest_change (const struct control_routers *routers);
/** Copies the routers that changed after change number @p change, except the
 *  one named @p name, into an array allocated with malloc.  Returns their
 *  number. */
uint32_t control_routers_changed_since (const struct control_routers *routers,
                                        uint64_t change, const char *name,
                                        struct control_router_record **list);

#endif
