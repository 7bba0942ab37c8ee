#ifndef ROUTER_RIG_BUNDLE_H
#define ROUTER_RIG_BUNDLE_H

/** @file
 *  The configuration of a router rig. */

#include <stdint.h>

/** Name of the operator who signs it. */
#define ROUTER_RIG_OPERATOR "ana"

/** Document of version 1 whose operator has that public key, freed with
 *  free. */
char *router_rig_bundle (const uint8_t public_key[32]);

#endif
