#ifndef TRIAL_OPERATOR_H
#define TRIAL_OPERATOR_H

/** @file
 *  Operator of a trial: pushes bundles and tops up accounts. */

#include <stdbool.h>
#include <stdint.h>

#include "load_mix.h"

struct trial_operator;

/** Creates an operator with a new key pair, for the control members at
 *  @p endpoints. */
struct trial_operator *trial_operator_create (const struct load_mix *mix,
                                              const char *cluster,
                                              const char *const *endpoints);
/** Frees the operator. */
void trial_operator_destroy (struct trial_operator *op);
/** Its public key in hexadecimal, which is the root key of the trial. */
const char *trial_operator_root_key (const struct trial_operator *op);
/** Pushes the next version of the bundle and retries until it is accepted, at
 *  most for @p limit_ms; whether it was. */
bool trial_operator_push (struct trial_operator *op, uint32_t limit_ms);
/** Tops up an account with @p tokens under a new id and retries under the
 *  same id until it is accepted, at most for @p limit_ms; whether it was. */
bool trial_operator_top_up (struct trial_operator *op, uint32_t account,
                            uint64_t tokens, uint32_t limit_ms);

#endif
