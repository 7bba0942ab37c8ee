#ifndef BASE_ADDRESS_MAP_H
#define BASE_ADDRESS_MAP_H

/** @file
 *  Rewrites IPv4 addresses before connecting, for networks in which other
 *  availability zones are reached through relays.  The rules are global and
 *  set once at start. */

#include <stdbool.h>

#include "base_findings.h"

/** Sets the rules, a list "FROM=TO,..." of address prefixes, for example
 *  "127.2.=127.12.": the prefix FROM of an address is replaced by TO.  Errors
 *  are added to @p findings under @p place, and leave the rules as they
 *  were. */
void base_address_map_set (const char *rules, const char *place,
                           struct base_findings *findings);
/** Writes the address to connect to for @p address into @p mapped.  The first
 *  matching rule applies; without one the address is unchanged. */
void base_address_map_apply (const char *address, char mapped[16]);

#endif
