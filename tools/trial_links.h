#ifndef TRIAL_LINKS_H
#define TRIAL_LINKS_H

/** @file
 *  Relays that simulate the links between the availability zones of a trial,
 *  with the delays and the bandwidth of the deployment. */

#include <stdbool.h>
#include <stdint.h>

#include "trial_fleet.h"

struct trial_links;

/** Creates the links of a deployment, one for each ordered pair of zones. */
struct trial_links *trial_links_create (const struct load_mix *mix);
/** Closes all links. */
void trial_links_destroy (struct trial_links *links);
/** Makes a port of a process reachable from the other zones; prints a line
 *  for each link that can't listen. */
void trial_links_add (struct trial_links *links, enum trial_role role,
                      uint32_t zone, uint32_t index, uint16_t port);
/** Cuts zone @p zone off from the others, or heals its links. */
void trial_links_cut (struct trial_links *links, uint32_t zone, bool cut);

#endif
