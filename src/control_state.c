#include "control_state.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base_deflate.h"
#include "control_state_images.h"

struct control_state
{
  uint64_t wall_ms;
  struct control_bundles *bundles;
  struct control_claims *claims;
  struct control_processes *processes;
  struct control_drains *drains;
  struct escrow_pool *pool;
  struct control_documents *documents;
  struct control_prepaid *prepaid;
  struct control_quarantine *quarantine;
  struct control_limits *limits;
  struct control_evacuations_set *evacuations;
};

struct control_state *
control_state_create (void)
{
  struct control_state *state = g_new0 (struct control_state, 1);
  state->bundles = control_bundles_create ();
  state->claims = control_claims_create ();
  state->processes = control_processes_create ();
  state->drains = control_drains_create ();
  state->pool = escrow_pool_create (ESCROW_POLICY_DEMAND_FLOOR);
  state->documents = control_documents_create ();
  state->prepaid = control_prepaid_create ();
  state->quarantine = control_quarantine_create ();
  state->limits = control_limits_create ();
  state->evacuations = control_evacuations_create ();
  return state;
}

void
control_state_destroy (struct control_state *state)
{
  if (!state)
    return;
  control_bundles_destroy (state->bundles);
  control_claims_destroy (state->claims);
  control_processes_destroy (state->processes);
  control_drains_destroy (state->drains);
  escrow_pool_destroy (state->pool);
  control_documents_destroy (state->documents);
  control_prepaid_destroy (state->prepaid);
  control_quarantine_destroy (state->quarantine);
  control_limits_destroy (state->limits);
  control_evacuations_destroy (state->evacuations);
  g_free (state);
}

static void
set_answer (struct control_answer *answer, enum control_status status,
            const char *text)
{
  answer->status = status;
  answer->leader_address = strdup ("");
  answer->text = strdup (text);
}

static void
apply_register (struct control_state *state,
                const struct wire_process *process,
                struct control_answer *answer)
{
  uint64_t previous = 0;
  if (!control_processes_register (state->processes, process, state->wall_ms,
                                   &previous))
    {
      set_answer (answer, CONTROL_FENCED,
                  "a newer incarnation of this process is registered");
      return;
    }
  if (previous != 0 && process->kind == WIRE_PROCESS_ROUTER)
    control_claims_mark_unknown (state->claims, process->host, previous);
  set_answer (answer, CONTROL_OK, "");
}

static void
apply_lapse (struct control_state *state, const struct wire_process *process,
             struct control_answer *answer)
{
  if (control_processes_lapse (state->processes, process, state->wall_ms)
      && process->kind == WIRE_PROCESS_ROUTER)
    control_claims_mark_unknown (state->claims, process->host,
                                 process->incarnation);
  set_answer (answer, CONTROL_OK, "");
}

/* Returns whether the router's session is live.  Only then may it claim: the
   end of the session ends its claims. */
static bool
is_router_live (const struct control_state *state, const char *router,
                uint64_t incarnation)
{
  const struct control_process *process
      = control_processes_find (state->processes, WIRE_PROCESS_ROUTER, router);
  return process && !process->lapsed
         && process->process.incarnation == incarnation;
}

static void
apply_claim (struct control_state *state,
             const struct control_claim_args *args,
             struct control_claim_result *result)
{
  control_claims_expire (state->claims, state->wall_ms);
  if (is_router_live (state, args->router, args->router_incarnation))
    {
      control_claims_claim (state->claims, args, state->wall_ms, result);
      return;
    }
  result->state = CONTROL_CLAIM_RUNNING;
  set_answer (&result->answer, CONTROL_FENCED,
              "the router has no live session");
}

static void
apply_document (struct control_state *state,
                const struct control_document_args *args,
                struct control_document_result *result)
{
  GBytes *bytes = control_documents_unpack (args->document.document_val,
                                            args->document.document_len);
  if (bytes
      && control_documents_put (state->documents, args->document_version,
                                bytes))
    control_prepaid_set_totals (state->prepaid, args->totals.totals_val,
                                args->totals.totals_len);
  if (bytes)
    set_answer (&result->answer, CONTROL_OK, "");
  else
    set_answer (&result->answer, CONTROL_REFUSED,
                "the document can't be decompressed");
  g_clear_pointer (&bytes, g_bytes_unref);
  result->held_version = control_documents_version (state->documents);
}

/* Returns whether the call is new. */
static bool
apply_lease (struct control_state *state,
             const struct control_lease_args *args,
             struct control_lease_result *result)
{
  if (!control_prepaid_lease (state->prepaid, args, state->wall_ms, result))
    return false;
  control_quarantine_report (state->quarantine, &args->reports, args->sent_ms,
                             state->wall_ms);
  return true;
}

/* A call that is repeated gets no permits and trials: those that it was
   granted expire. */
static void
apply_router (struct control_state *state,
              const struct control_router_args *args, uint64_t wall_ms,
              struct control_router_result *result)
{
  if (!apply_lease (state, &args->lease, &result->lease))
    return;
  control_limits_call (state->limits, args->lease.router, &args->limits,
                       args->lease.sent_ms, wall_ms, result);
  control_quarantine_call (state->quarantine, &args->requests,
                           args->lease.sent_ms, state->wall_ms, result);
}

void
control_state_apply (struct control_state *state,
                     const struct control_command *command,
                     struct control_outcome *outcome)
{
  const struct control_command_body *body = &command->body;
  memset (outcome, 0, sizeof *outcome);
  outcome->kind = body->kind;
  outcome->codec = (xdrproc_t)xdr_control_answer;
  /* The wall clocks of members differ, so a new leader's may be behind; the
     replicated time never goes back. */
  state->wall_ms = MAX (state->wall_ms, command->wall_ms);
  switch (body->kind)
    {
    case CONTROL_COMMAND_PUSH:
      outcome->codec = (xdrproc_t)xdr_control_push_result;
      control_bundles_push (state->bundles, &body->control_command_body_u.push,
                            &outcome->result.push);
      break;
    case CONTROL_COMMAND_TOP_UP:
      outcome->codec = (xdrproc_t)xdr_control_top_up_result;
      escrow_pool_top_up (state->pool, &body->control_command_body_u.top_up,
                          state->wall_ms, &outcome->result.top_up);
      break;
    case CONTROL_COMMAND_LEDGER:
      outcome->codec = (xdrproc_t)xdr_control_ledger_result;
      escrow_pool_exchange (state->pool, &body->control_command_body_u.ledger,
                            state->wall_ms, &outcome->result.ledger);
      break;
    case CONTROL_COMMAND_CLAIM:
      outcome->codec = (xdrproc_t)xdr_control_claim_result;
      apply_claim (state, &body->control_command_body_u.claim,
                   &outcome->result.claim);
      break;
    case CONTROL_COMMAND_FINISH:
      control_claims_finish (state->claims,
                             &body->control_command_body_u.finish,
                             state->wall_ms, &outcome->result.answer);
      break;
    case CONTROL_COMMAND_DRAIN:
      control_drains_set (
          state->drains, body->control_command_body_u.drain.target,
          body->control_command_body_u.drain.drain, &outcome->result.answer);
      break;
    case CONTROL_COMMAND_REGISTER:
      apply_register (state, &body->control_command_body_u.process,
                      &outcome->result.answer);
      break;
    case CONTROL_COMMAND_LAPSE:
      apply_lapse (state, &body->control_command_body_u.process,
                   &outcome->result.answer);
      break;
    case CONTROL_COMMAND_DOCUMENT:
      outcome->codec = (xdrproc_t)xdr_control_document_result;
      apply_document (state, &body->control_command_body_u.document,
                      &outcome->result.document);
      break;
    case CONTROL_COMMAND_LEASE_2:
      outcome->codec = (xdrproc_t)xdr_control_lease_result;
      control_prepaid_lease_2 (state->prepaid,
                               &body->control_command_body_u.lease_2,
                               state->wall_ms, &outcome->result.lease);
      break;
    case CONTROL_COMMAND_LEASE_3:
      outcome->codec = (xdrproc_t)xdr_control_lease_result;
      apply_lease (state, &body->control_command_body_u.lease_3,
                   &outcome->result.lease);
      break;
    case CONTROL_COMMAND_ROUTER:
      outcome->codec = (xdrproc_t)xdr_control_router_result;
      apply_router (state, &body->control_command_body_u.router,
                    command->wall_ms, &outcome->result.router);
      break;
    case CONTROL_COMMAND_EVACUATION:
      outcome->codec = (xdrproc_t)xdr_control_evacuation_result;
      control_evacuations_order (state->evacuations,
                                 &body->control_command_body_u.evacuation,
                                 state->wall_ms, &outcome->result.evacuation);
      break;
    }
}

bool
control_state_apply_bytes (struct control_state *state, const char *data,
                           uint32_t bytes, struct control_outcome *outcome)
{
  struct control_command command = { 0 };
  XDR stream;
  xdrmem_create (&stream, (char *)data, bytes, XDR_DECODE);
  bool valid = xdr_control_command (&stream, &command);
  XDR_DESTROY (&stream);
  memset (outcome, 0, sizeof *outcome);
  if (valid)
    control_state_apply (state, &command, outcome);
  xdr_free ((xdrproc_t)xdr_control_command, (char *)&command);
  return valid;
}

void
control_outcome_clear (struct control_outcome *outcome)
{
  if (outcome->codec)
    xdr_free (outcome->codec, (char *)&outcome->result);
  memset (outcome, 0, sizeof *outcome);
}

static void
save_document (struct control_state *state, struct control_state_image *image)
{
  GBytes *bytes = control_documents_bytes (state->documents);
  gsize size = 0;
  image->held_version = control_documents_version (state->documents);
  if (!bytes)
    return;
  const void *data = g_bytes_get_data (bytes, &size);
  GBytes *packed = base_deflate (data, size);
  data = g_bytes_get_data (packed, &size);
  image->held_document.held_document_len = (u_int)size;
  image->held_document.held_document_val = malloc (size + 1);
  memcpy (image->held_document.held_document_val, data, size);
  g_bytes_unref (packed);
}

/* Loads the document; false when it can't be decompressed. */
static bool
load_document (struct control_state *state,
               const struct control_state_image *image)
{
  GBytes *bytes
      = control_documents_unpack (image->held_document.held_document_val,
                                  image->held_document.held_document_len);
  if (!bytes)
    return false;
  control_documents_put (state->documents, image->held_version, bytes);
  g_bytes_unref (bytes);
  return true;
}

char *
control_command_encode (struct control_command *command, uint32_t *bytes)
{
  XDR stream;
  *bytes = (uint32_t)xdr_sizeof ((xdrproc_t)xdr_control_command, command);
  char *data = g_malloc (*bytes + 1);
  xdrmem_create (&stream, data, *bytes, XDR_ENCODE);
  xdr_control_command (&stream, command);
  XDR_DESTROY (&stream);
  return data;
}

char *
control_state_save (struct control_state *state, uint32_t *bytes)
{
  struct control_state_images images = { 0 };
  struct control_state_image *image = &images.state;
  GByteArray *pool = g_byte_array_new ();
  image->wall_ms = state->wall_ms;
  control_bundles_save (state->bundles, image);
  control_processes_save (state->processes, image);
  control_claims_save (state->claims, image);
  image->drained.drained_len
      = control_drains_copy (state->drains, &image->drained.drained_val);
  escrow_pool_save (state->pool, pool);
  save_document (state, image);
  control_prepaid_save (state->prepaid, image, &images.reports);
  control_quarantine_save (state->quarantine, &images.reports.quarantine,
                           &images.routers);
  control_limits_save (state->limits, &images.routers.limits);
  control_evacuations_save (state->evacuations, &images.evacuations);
  image->pool.pool_len = pool->len;
  image->pool.pool_val = (char *)pool->data;
  char *data = control_state_images_encode (&images, bytes);
  image->pool.pool_val = NULL;
  image->pool.pool_len = 0;
  control_state_images_clear (&images);
  g_byte_array_unref (pool);
  return data;
}

int
control_state_load (struct control_state *state, const char *data,
                    uint32_t bytes)
{
  struct control_state_images images = { 0 };
  const struct control_state_image *image = &images.state;
  bool has_reports = false;
  size_t used = 0;
  int status = -1;
  if (control_state_images_decode (data, bytes, &images, &has_reports)
      && control_bundles_load (state->bundles, image) == 0
      && escrow_pool_load (state->pool, (const uint8_t *)image->pool.pool_val,
                           image->pool.pool_len, &used)
             == 0
      && load_document (state, image))
    {
      state->wall_ms = image->wall_ms;
      control_processes_load (state->processes, image);
      control_claims_load (state->claims, image);
      control_drains_load (state->drains, image->drained.drained_val,
                           image->drained.drained_len);
      control_prepaid_load (state->prepaid, image,
                            has_reports ? &images.reports : NULL);
      control_quarantine_load (state->quarantine, &images.reports.quarantine,
                               &images.routers);
      control_limits_load (state->limits, &images.routers.limits);
      control_evacuations_load (state->evacuations, &images.evacuations);
      status = 0;
    }
  control_state_images_clear (&images);
  return status;
}

uint64_t
control_state_wall_ms (const struct control_state *state)
{
  return state->wall_ms;
}

struct control_bundles *
control_state_bundles (struct control_state *state)
{
  return state->bundles;
}

struct control_claims *
control_state_claims (struct control_state *state)
{
  return state->claims;
}

struct control_processes *
control_state_processes (struct control_state *state)
{
  return state->processes;
}

struct control_drains *
control_state_drains (struct control_state *state)
{
  return state->drains;
}

struct escrow_pool *
control_state_pool (struct control_state *state)
{
  return state->pool;
}

struct control_documents *
control_state_documents (struct control_state *state)
{
  return state->documents;
}

struct control_prepaid *
control_state_prepaid (struct control_state *state)
{
  return state->prepaid;
}

struct control_quarantine *
control_state_quarantine (struct control_state *state)
{
  return state->quarantine;
}

struct control_limits *
control_state_limits (struct control_state *state)
{
  return state->limits;
}

struct control_evacuations_set *
control_state_evacuations (struct control_state *state)
{
  return state->evacuations;
}
