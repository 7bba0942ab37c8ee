#ifndef CONTROL_CLAIMS_H
#define CONTROL_CLAIMS_H

/** @file
 *  Claims of non-idempotent calls, as the replicated log applies them.  A key
 *  is granted at most once until it is proven that the call did not run. */

#include "wire_control.h"

struct control_claims;

/** Makes an empty table. */
struct control_claims *control_claims_create (void);
/** Frees it. */
void control_claims_destroy (struct control_claims *claims);
/** Number of keys held. */
uint32_t control_claims_count (const struct control_claims *claims);
/** Claims a key; with the same router, incarnation and claim_id again the
 *  same answer. */
void control_claims_claim (struct control_claims *claims,
                           const struct control_claim_args *args,
                           uint64_t now_ms,
                           struct control_claim_result *result);
/** Ends a claim: done, unknown, or freed when it was not run.  A claim that is
 *  given up before it came is not granted when it comes. */
void control_claims_finish (struct control_claims *claims,
                            const struct control_finish_args *args,
                            uint64_t now_ms, struct control_answer *result);
/** The router is gone: its running claims become unknown. */
void control_claims_mark_unknown (struct control_claims *claims,
                                  const char *router, uint64_t incarnation);
/** Drops claims beyond the retention window, and whose router no longer
 *  runs them. */
void control_claims_expire (struct control_claims *claims, uint64_t now_ms);
/** Fills the snapshot's part, oldest first. */
void control_claims_save (const struct control_claims *claims,
                          struct control_state_image *image);
/** Reads the snapshot's part into an empty table. */
void control_claims_load (struct control_claims *claims,
                          const struct control_state_image *image);

#endif
