#ifndef BASE_ADDRESS_MAP_H
#define BASE_ADDRESS_MAP_H

/** @file
 *  Rewrites IPv4 addresses before a connection is made, for networks in which
 *  another availability zone is reached through relays.  Set once at start. */

#include <stdbool.h>

#include "base_findings.h"

/** Sets the rules "PREFIX=PREFIX,...", for example "127.2.=127.12."; an
 *  address that begins with the left side begins with the right side instead.
 *  Findings name @p place; nothing changes when there are any. */
void base_address_map_set (const char *rules, const char *place,
                           struct base_findings *findings);
/** Writes the address to connect to for @p address into @p mapped; the first
 *  rule that fits is used. */
void base_address_map_apply (const char *address, char mapped[16]);

#endif
