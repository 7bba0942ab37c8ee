#ifndef CONTROL_STATE_H
#define CONTROL_STATE_H

/** @file
 *  The replicated state machine, to which the log's commands are applied.
 *  Deterministic: the same commands in the same order give the same state on
 *  every member. */

#include "control_bundles.h"
#include "control_claims.h"
#include "control_documents.h"
#include "control_drains.h"
#include "control_evacuations.h"
#include "control_prepaid.h"
#include "control_processes.h"
#include "control_limits.h"
#include "control_quarantine.h"
#include "escrow_pool.h"
#include "wire_control.h"

struct control_state;

/** Result of an applied command; freed by control_outcome_clear. */
struct control_outcome
{
  enum control_command_kind kind;
  /** Codec of the member of @ref result that is filled. */
  xdrproc_t codec;
  union
  {
    struct control_push_result push;
    struct control_top_up_result top_up;
    struct control_ledger_result ledger;
    struct control_claim_result claim;
    struct control_document_result document;
    /** Result of CONTROL_COMMAND_LEASE_2 and _LEASE_3. */
    struct control_lease_result lease;
    struct control_router_result router;
    struct control_evacuation_result evacuation;
    /** Result of CONTROL_COMMAND_FINISH, _DRAIN, _REGISTER and _LAPSE. */
    struct control_answer answer;
  } result;
};

/** Creates an empty state. */
struct control_state *control_state_create (void);
/** Frees the state. */
void control_state_destroy (struct control_state *state);
/** Applies a command and fills @p outcome. */
void control_state_apply (struct control_state *state,
                          const struct control_command *command,
                          struct control_outcome *outcome);
/** Applies an encoded command.  Returns false, and leaves the state unchanged,
 *  when it is malformed. */
bool control_state_apply_bytes (struct control_state *state, const char *data,
                                uint32_t bytes,
                                struct control_outcome *outcome);
/** Frees the contents of the outcome. */
void control_outcome_clear (struct control_outcome *outcome);
/** Encodes a command; the caller frees it with g_free. */
char *control_command_encode (struct control_command *command,
                              uint32_t *bytes);

/** Encodes the whole state; the caller frees it with g_free. */
char *control_state_save (struct control_state *state, uint32_t *bytes);
/** Decodes into an empty state.  Returns 0, or -1 when the data are
 *  malformed. */
int control_state_load (struct control_state *state, const char *data,
                        uint32_t bytes);

/** Returns the replicated wall time, the highest of the applied commands, in
 *  milliseconds. */
uint64_t control_state_wall_ms (const struct control_state *state);
/** These functions return the parts of the state, which keeps ownership of
 *  them. */
struct control_bundles *control_state_bundles (struct control_state *state);
struct control_claims *control_state_claims (struct control_state *state);
struct control_processes *
control_state_processes (struct control_state *state);
struct control_drains *control_state_drains (struct control_state *state);
struct escrow_pool *control_state_pool (struct control_state *state);
struct control_documents *
control_state_documents (struct control_state *state);
struct control_prepaid *control_state_prepaid (struct control_state *state);
struct control_quarantine *
control_state_quarantine (struct control_state *state);
struct control_limits *control_state_limits (struct control_state *state);
struct control_evacuations_set *
control_state_evacuations (struct control_state *state);

#endif
