#ifndef TRIAL_OPERATOR_H
#define TRIAL_OPERATOR_H

/** @file
 *  What an operator does in a trial: pushes bundles and tops accounts up. */

#include <stdbool.h>
#include <stdint.h>

#include "load_mix.h"

struct trial_operator;

/** Makes an operator with a key of its own, for the control members at
 *  @p endpoints. */
struct trial_operator *trial_operator_create (const struct load_mix *mix,
                                              const char *cluster,
                                              const char *const *endpoints);
/** Frees it. */
void trial_operator_destroy (struct trial_operator *who);
/** Its public key in hexadecimal, which is the root key of the trial. */
const char *trial_operator_root_key (const struct trial_operator *who);
/** Pushes the next version, again until answered or @p limit_ms; whether it
 *  was accepted. */
bool trial_operator_push (struct trial_operator *who, uint32_t limit_ms);
/** Credits @p tokens to account @p account under a new id, sent again under
 *  that id until answered or @p limit_ms; whether it was accepted. */
bool trial_operator_top_up (struct trial_operator *who, uint32_t account,
                            uint64_t tokens, uint32_t limit_ms);

#endif
