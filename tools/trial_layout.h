#ifndef TRIAL_LAYOUT_H
#define TRIAL_LAYOUT_H

/** @file
 *  Loopback addresses and names of a trial's processes and links. */

#include <stdint.h>

#include "link_relay.h"
#include "trial_fleet.h"

/** Size of an IPv4 address as text with its terminator, in bytes. */
#define TRIAL_ADDRESS_BYTES 16

/** Writes the address of process @p index of a role in zone @p zone. */
void trial_layout_address (enum trial_role role, uint32_t zone, uint32_t index,
                           char address[TRIAL_ADDRESS_BYTES]);
/** Writes the address at which zone @p from reaches that process through the
 *  link. */
void trial_layout_link_address (uint32_t from, enum trial_role role,
                                uint32_t zone, uint32_t index,
                                char address[TRIAL_ADDRESS_BYTES]);
/** Value of --address-map for the processes of zone @p zone; freed with
 *  g_free. */
char *trial_layout_address_map (uint32_t zone);
/** Name of a zone in the deployment of @p mix. */
const char *trial_layout_zone_name (const struct load_mix *mix, uint32_t zone);
/** Name of a zone's region in the deployment of @p mix. */
const char *trial_layout_region_name (const struct load_mix *mix,
                                      uint32_t zone);
/** Short name of a role, as in the names of processes and programs. */
const char *trial_layout_role_name (enum trial_role role);

#endif
