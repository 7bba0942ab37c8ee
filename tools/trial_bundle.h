#ifndef TRIAL_BUNDLE_H
#define TRIAL_BUNDLE_H

/** @file
 *  Bundle of a trial: the accounts, services, classes and rules that a mix
 *  needs. */

#include <stdint.h>

#include "load_mix.h"

/** Makes the bundle document of version @p version for @p mix, freed with
 *  g_free; @p operator_key is the public key of operator "trial". */
char *trial_bundle_document (const struct load_mix *mix, uint64_t version,
                             const uint8_t operator_key[32]);

#endif
