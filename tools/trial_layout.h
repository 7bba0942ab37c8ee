#ifndef TRIAL_LAYOUT_H
#define TRIAL_LAYOUT_H

/** @file
 *  Addresses of a trial's processes and links on loopback. */

#include <stdint.h>

#include "link_relay.h"
#include "trial_fleet.h"

/** Room for an IPv4 address as text. */
#define TRIAL_ADDRESS_BYTES 16

/** Writes the address of process @p index of a role in zone @p zone. */
void trial_layout_address (enum trial_role role, uint32_t zone, uint32_t index,
                           char address[TRIAL_ADDRESS_BYTES]);
/** Address under which zone @p from reaches that process over the link. */
void trial_layout_link_address (uint32_t from, enum trial_role role,
                                uint32_t zone, uint32_t index,
                                char address[TRIAL_ADDRESS_BYTES]);
/** The --address-map of zone @p zone, freed by the caller. */
char *trial_layout_address_map (uint32_t zone);
/** Name of a zone and of its region, as the brief gives them. */
const char *trial_layout_zone_name (const struct load_mix *mix, uint32_t zone);
const char *trial_layout_region_name (const struct load_mix *mix,
                                      uint32_t zone);
/** Short name of a role, for names of processes. */
const char *trial_layout_role_name (enum trial_role role);

#endif
