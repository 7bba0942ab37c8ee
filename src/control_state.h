#ifndef CONTROL_STATE_H
#define CONTROL_STATE_H

/** @file
 *  Everything that the replicated log is applied to.  Deterministic: the same
 *  commands in the same order give the same state on every member. */

#include "control_bundles.h"
#include "control_claims.h"
#include "control_documents.h"
#include "control_drains.h"
#include "control_prepaid.h"
#include "control_processes.h"
#include "escrow_pool.h"
#include "wire_control.h"

struct control_state;

/** Outcome of an applied command, freed by control_outcome_clear. */
struct control_outcome
{
  enum control_command_kind kind;
  /** Codec of the member that is filled. */
  xdrproc_t codec;
  union
  {
    struct control_push_result push;
    struct control_top_up_result top_up;
    struct control_ledger_result ledger;
    struct control_claim_result claim;
    struct control_document_result document;
    struct control_lease_result lease;
    /** FINISH, DRAIN, REGISTER, LAPSE. */
    struct control_answer answer;
  } result;
};

/** Makes an empty state. */
struct control_state *control_state_create (void);
/** Frees it. */
void control_state_destroy (struct control_state *state);
/** Applies a command. */
void control_state_apply (struct control_state *state,
                          const struct control_command *command,
                          struct control_outcome *outcome);
/** Applies an encoded command; false when it is malformed (then it changes
 *  nothing). */
bool control_state_apply_bytes (struct control_state *state, const char *data,
                                uint32_t bytes,
                                struct control_outcome *outcome);
/** Frees what the outcome holds. */
void control_outcome_clear (struct control_outcome *outcome);
/** Encodes a command, allocated with g_malloc. */
char *control_command_encode (struct control_command *command,
                              uint32_t *bytes);

/** Encodes the whole state, freed by the caller with g_free. */
char *control_state_save (struct control_state *state, uint32_t *bytes);
/** Reads a state into an empty one; 0, or -1 when malformed. */
int control_state_load (struct control_state *state, const char *data,
                        uint32_t bytes);

/** Wall time of the last command, in milliseconds. */
uint64_t control_state_wall_ms (const struct control_state *state);
/** The parts, for reading. */
struct control_bundles *control_state_bundles (struct control_state *state);
struct control_claims *control_state_claims (struct control_state *state);
struct control_processes *
control_state_processes (struct control_state *state);
struct control_drains *control_state_drains (struct control_state *state);
struct escrow_pool *control_state_pool (struct control_state *state);
struct control_documents *
control_state_documents (struct control_state *state);
struct control_prepaid *control_state_prepaid (struct control_state *state);

#endif
