#ifndef TRIAL_LINKS_H
#define TRIAL_LINKS_H

/** @file
 *  The links between the availability zones of a trial, with the delays and
 *  the bandwidth of the brief. */

#include <stdbool.h>
#include <stdint.h>

#include "trial_fleet.h"

struct trial_links;

/** Makes the links of a deployment. */
struct trial_links *trial_links_create (const struct load_mix *mix);
/** Closes them. */
void trial_links_destroy (struct trial_links *links);
/** Lets the other zones reach a port of a process over their links. */
void trial_links_add (struct trial_links *links, enum trial_role role,
                      uint32_t zone, uint32_t index, uint16_t port);
/** Cuts zone @p zone from the others, or heals it. */
void trial_links_cut (struct trial_links *links, uint32_t zone, bool cut);

#endif
