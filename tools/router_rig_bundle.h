#ifndef ROUTER_RIG_BUNDLE_H
#define ROUTER_RIG_BUNDLE_H

/** @file
 *  The bundle that a router_rig pushes to control. */

#include <stdint.h>

/** Name of the operator who signs the bundle. */
#define ROUTER_RIG_OPERATOR "ana"

/** Makes the document of version 1, whose operator has @p public_key; freed
 *  with free. */
char *router_rig_bundle (const uint8_t public_key[32]);

#endif
