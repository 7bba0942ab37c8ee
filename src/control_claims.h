#ifndef CONTROL_CLAIMS_H
#define CONTROL_CLAIMS_H

/** @file
 *  Claims of non-idempotent calls, as the replicated log applies them.  A key
 *  is granted to at most one attempt, unless that attempt is proven not to
 *  have run. */

#include "wire_control.h"

/** The claimed keys. */
struct control_claims;

/** Creates an empty table. */
struct control_claims *control_claims_create (void);
/** Frees the table. */
void control_claims_destroy (struct control_claims *claims);
/** Number of keys in the table. */
uint32_t control_claims_count (const struct control_claims *claims);
/** Claims a key.  Idempotent for the same router, incarnation and claim_id.
 *  Strings and the body in @p result are allocated with malloc. */
void control_claims_claim (struct control_claims *claims,
                           const struct control_claim_args *args,
                           uint64_t now_ms,
                           struct control_claim_result *result);
/** Ends a claim: marks it done or unknown, or releases its key when the call
 *  did not run.  If a finish with not_run arrives before the claim itself, the
 *  later claim is refused. */
void control_claims_finish (struct control_claims *claims,
                            const struct control_finish_args *args,
                            uint64_t now_ms, struct control_answer *result);
/** Marks the running claims of a lost router incarnation unknown. */
void control_claims_mark_unknown (struct control_claims *claims,
                                  const char *router, uint64_t incarnation);
/** Drops claims older than the retention time, except those that still run. */
void control_claims_expire (struct control_claims *claims, uint64_t now_ms);
/** Fills in the claims of a snapshot, oldest first; they are freed with the
 *  image. */
void control_claims_save (const struct control_claims *claims,
                          struct control_state_image *image);
/** Reads the claims of a snapshot into an empty table. */
void control_claims_load (struct control_claims *claims,
                          const struct control_state_image *image);

#endif
