#include "control_internal.h"

#include <stdlib.h>
#include <string.h>

#include "base_clock.h"
#include "base_hash.h"

/* Any argument of a call; each begins with the cluster's name. */
union call_args
{
  wire_name cluster;
  struct control_sync_args sync;
  struct control_push_args push;
  struct control_bundle_args bundle;
  struct control_top_up_args top_up;
  struct control_ledger_args ledger;
  struct control_claim_args claim;
  struct control_finish_args finish;
  struct control_budget_args budget;
  struct control_drain_args drain;
  struct control_status_args status;
  struct control_member_args member;
  struct control_document_args document;
  struct control_read_args read;
  struct control_lease_args lease;
  struct control_watch_args watch;
};

/* Any result of a call; each begins with a control_answer. */
union call_result
{
  struct control_answer answer;
  struct control_sync_result sync;
  struct control_push_result push;
  struct control_bundle_result bundle;
  struct control_top_up_result top_up;
  struct control_ledger_result ledger;
  struct control_claim_result claim;
  struct control_budget_result budget;
  struct control_status_result status;
  struct control_document_result document;
  struct control_read_result read;
  struct control_lease_result lease;
  struct control_watch_result watch;
};

/* How a call is decoded and answered; command is 0 for calls that the log
   doesn't carry. */
struct call_form
{
  xdrproc_t args_codec;
  xdrproc_t result_codec;
  enum control_command_kind command;
};

#define FORM(args, result, command)                                           \
  {                                                                           \
    (xdrproc_t) xdr_control_##args, (xdrproc_t)xdr_control_##result, command  \
  }

static const struct call_form forms[] = {
  [CONTROL_SYNC] = FORM (sync_args, sync_result, 0),
  [CONTROL_PUSH] = FORM (push_args, push_result, CONTROL_COMMAND_PUSH),
  [CONTROL_BUNDLE] = FORM (bundle_args, bundle_result, 0),
  [CONTROL_TOP_UP] = FORM (top_up_args, top_up_result, CONTROL_COMMAND_TOP_UP),
  [CONTROL_LEDGER] = FORM (ledger_args, ledger_result, CONTROL_COMMAND_LEDGER),
  [CONTROL_CLAIM] = FORM (claim_args, claim_result, CONTROL_COMMAND_CLAIM),
  [CONTROL_FINISH] = FORM (finish_args, answer, CONTROL_COMMAND_FINISH),
  [CONTROL_BUDGET] = FORM (budget_args, budget_result, 0),
  [CONTROL_DRAIN] = FORM (drain_args, answer, CONTROL_COMMAND_DRAIN),
  [CONTROL_STATUS] = FORM (status_args, status_result, 0),
  [CONTROL_MEMBER_CHANGE] = FORM (member_args, answer, 0),
  [CONTROL_DOCUMENT]
  = FORM (document_args, document_result, CONTROL_COMMAND_DOCUMENT),
  [CONTROL_READ] = FORM (read_args, read_result, 0),
  [CONTROL_LEASE] = FORM (lease_args, lease_result, CONTROL_COMMAND_LEASE),
  [CONTROL_WATCH] = FORM (watch_args, watch_result, 0),
};

void
control_call_reply_status (struct control_daemon *daemon,
                           struct wire_call *call, uint32_t procedure,
                           enum control_status status, const char *text)
{
  union call_result result;
  memset (&result, 0, sizeof result);
  result.answer.status = status;
  result.answer.text = strdup (text);
  if (status == CONTROL_NOT_LEADER)
    control_leader_address (daemon, &result.answer);
  else
    result.answer.leader_address = strdup ("");
  if (procedure == CONTROL_PUSH)
    result.push.accepted_signer = strdup ("");
  else if (procedure == CONTROL_BUNDLE)
    result.bundle.signer = strdup ("");
  else if (procedure == CONTROL_STATUS)
    result.status.member = strdup ("");
  else if (procedure == CONTROL_CLAIM)
    result.claim.state = CONTROL_CLAIM_RUNNING;
  wire_call_reply (call, forms[procedure].result_codec, &result);
  xdr_free (forms[procedure].result_codec, (char *)&result);
}

/* Proposes the command; its index, or 0. */
static uint64_t
propose (struct control_daemon *daemon, struct control_command *command)
{
  uint32_t bytes = 0;
  command->wall_ms = base_clock_steady_wall_ms ();
  char *data = control_command_encode (command, &bytes);
  uint64_t index = consensus_propose (daemon->consensus, data, bytes);
  g_free (data);
  return index;
}

void
control_propose (struct control_daemon *daemon,
                 struct control_command *command)
{
  propose (daemon, command);
}

static struct control_pending_call *
wait_for (struct control_daemon *daemon, struct wire_call *call,
          uint32_t procedure, uint64_t index)
{
  struct control_pending_call *waiter
      = g_new0 (struct control_pending_call, 1);
  waiter->call = call;
  waiter->procedure = procedure;
  waiter->index = index;
  waiter->term = consensus_term (daemon->consensus);
  return waiter;
}

/* Proposes what the call asks for and lets it wait. */
static void
propose_call (struct control_daemon *daemon, struct wire_call *call,
              uint32_t procedure, const union call_args *args)
{
  struct control_command command = { 0 };
  command.body.kind = forms[procedure].command;
  memcpy (&command.body.control_command_body_u, args,
          MIN (sizeof command.body.control_command_body_u, sizeof *args));
  uint64_t index = propose (daemon, &command);
  if (index == 0)
    control_call_reply_status (daemon, call, procedure, CONTROL_UNAVAILABLE,
                               "the leader is handing over");
  else
    control_pending_add (daemon->proposals,
                         wait_for (daemon, call, procedure, index));
}

static void
answer_sync (struct control_daemon *daemon, struct wire_call *call,
             const struct control_sync_args *args, uint64_t now_ms)
{
  struct control_sync_result result = { 0 };
  struct control_processes *processes
      = control_state_processes (daemon->state);
  struct control_drains *drains = control_state_drains (daemon->state);
  control_liveness_renew (daemon->liveness, &args->process, now_ms);
  result.answer.leader_address = strdup ("");
  result.answer.text = strdup ("");
  result.lease_ms = daemon->options.lease_ms;
  control_bundles_sync (control_state_bundles (daemon->state), args, &result);
  result.peers_digest = control_processes_digest (processes);
  if (result.peers_digest != args->peers_digest)
    result.peers.peers_len
        = control_processes_live (processes, &result.peers.peers_val);
  result.drained_digest = control_drains_digest (drains);
  if (result.drained_digest != args->drained_digest)
    result.drained.drained_len
        = control_drains_copy (drains, &result.drained.drained_val);
  wire_call_reply (call, (xdrproc_t)xdr_control_sync_result, &result);
  xdr_free ((xdrproc_t)xdr_control_sync_result, (char *)&result);
}

/* Whether the log knows the process just so, alive. */
static bool
is_registered (struct control_daemon *daemon,
               const struct wire_process *process)
{
  const struct control_process *known = control_processes_find (
      control_state_processes (daemon->state), process->kind, process->host);
  return known && !known->lapsed
         && known->process.incarnation == process->incarnation
         && known->process.rpc_port == process->rpc_port
         && known->process.http_port == process->http_port
         && strcmp (known->process.address, process->address) == 0
         && strcmp (known->process.availability_zone,
                    process->availability_zone)
                == 0
         && strcmp (known->process.region, process->region) == 0;
}

/* Takes the arguments over. */
static void
take_sync (struct control_daemon *daemon, struct wire_call *call,
           union call_args *args, uint64_t now_ms)
{
  struct control_command command = { 0 };
  const struct wire_process *process = &args->sync.process;
  if (control_processes_superseded (control_state_processes (daemon->state),
                                    process))
    {
      control_call_reply_status (daemon, call, CONTROL_SYNC, CONTROL_FENCED,
                                 "a newer incarnation holds this name");
      return;
    }
  if (is_registered (daemon, process))
    {
      answer_sync (daemon, call, &args->sync, now_ms);
      return;
    }
  command.body.kind = CONTROL_COMMAND_REGISTER;
  command.body.control_command_body_u.process = *process;
  uint64_t index = propose (daemon, &command);
  if (index == 0)
    {
      control_call_reply_status (daemon, call, CONTROL_SYNC,
                                 CONTROL_UNAVAILABLE,
                                 "the leader is handing over");
      return;
    }
  struct control_pending_call *waiter
      = wait_for (daemon, call, CONTROL_SYNC, index);
  waiter->codec = (xdrproc_t)xdr_control_sync_args;
  waiter->args.sync = args->sync;
  memset (args, 0, sizeof *args);
  control_pending_add (daemon->proposals, waiter);
}

/* Takes the arguments over. */
static void
take_read (struct control_daemon *daemon, struct wire_call *call,
           uint32_t procedure, union call_args *args, uint64_t now_ms)
{
  uint64_t id = consensus_read_begin (daemon->consensus, now_ms);
  if (id == 0)
    {
      control_call_reply_status (daemon, call, procedure, CONTROL_UNAVAILABLE,
                                 "the leader is not ready");
      return;
    }
  struct control_pending_call *waiter = wait_for (daemon, call, procedure, id);
  waiter->codec = forms[procedure].args_codec;
  if (procedure == CONTROL_BUNDLE)
    waiter->args.bundle = args->bundle;
  else if (procedure == CONTROL_READ)
    waiter->args.read = args->read;
  else
    waiter->args.budget = args->budget;
  memset (args, 0, sizeof *args);
  control_pending_add (daemon->reads, waiter);
}

static void
take_push (struct control_daemon *daemon, struct wire_call *call,
           const union call_args *args)
{
  bool first
      = args->push.bundle_version == 1
        && control_bundles_version (control_state_bundles (daemon->state))
               == 0;
  /* Documents that can't be read are proposed too: the answer lists the
     findings. */
  if (first
      && !(daemon->options.has_root_key
           && control_bundles_root_signed (&args->push,
                                           daemon->options.root_key)))
    {
      control_call_reply_status (
          daemon, call, CONTROL_PUSH, CONTROL_REFUSED,
          "version 1 is not a valid document signed with "
          "the root key");
      return;
    }
  propose_call (daemon, call, CONTROL_PUSH, args);
}

static void
take_member_change (struct control_daemon *daemon, struct wire_call *call,
                    const union call_args *args)
{
  const char *refusal = control_change_member (daemon, &args->member);
  if (refusal)
    {
      control_call_reply_status (daemon, call, CONTROL_MEMBER_CHANGE,
                                 CONTROL_REFUSED, refusal);
      return;
    }
  uint64_t index = consensus_last_index (daemon->consensus);
  control_pending_add (daemon->proposals,
                       wait_for (daemon, call, CONTROL_MEMBER_CHANGE, index));
}

static void
answer_status (struct control_daemon *daemon, struct wire_call *call)
{
  struct control_status_result result = { 0 };
  control_status_fill (daemon, &result);
  wire_call_reply (call, (xdrproc_t)xdr_control_status_result, &result);
  xdr_free ((xdrproc_t)xdr_control_status_result, (char *)&result);
}

/* Calls that only the leader answers. */
static void
take_leader_call (struct control_daemon *daemon, struct wire_call *call,
                  uint32_t procedure, union call_args *args, uint64_t now_ms)
{
  if (!consensus_is_leader (daemon->consensus))
    control_call_reply_status (daemon, call, procedure, CONTROL_NOT_LEADER,
                               "");
  else if (!consensus_is_ready (daemon->consensus))
    control_call_reply_status (daemon, call, procedure, CONTROL_UNAVAILABLE,
                               "the leader is not ready");
  else if (procedure == CONTROL_SYNC)
    take_sync (daemon, call, args, now_ms);
  else if (procedure == CONTROL_BUNDLE || procedure == CONTROL_BUDGET
           || procedure == CONTROL_READ)
    take_read (daemon, call, procedure, args, now_ms);
  else if (procedure == CONTROL_PUSH)
    take_push (daemon, call, args);
  else if (procedure == CONTROL_MEMBER_CHANGE)
    take_member_change (daemon, call, args);
  else
    propose_call (daemon, call, procedure, args);
}

void
control_call_handle (struct control_daemon *daemon, struct wire_call *call,
                     uint64_t now_ms)
{
  union call_args args;
  uint32_t procedure = wire_call_procedure (call);
  memset (&args, 0, sizeof args);
  if (procedure >= G_N_ELEMENTS (forms) || !forms[procedure].args_codec
      || !wire_call_args (call, forms[procedure].args_codec, &args))
    {
      wire_call_fail (call);
      return;
    }
  if (strcmp (args.cluster, daemon->options.cluster) != 0)
    control_call_reply_status (daemon, call, procedure, CONTROL_WRONG_CLUSTER,
                               daemon->options.cluster);
  else if (procedure == CONTROL_STATUS)
    answer_status (daemon, call);
  else if (procedure == CONTROL_WATCH)
    control_watch_handle (daemon->watch, call, &args.watch, now_ms);
  else
    take_leader_call (daemon, call, procedure, &args, now_ms);
  xdr_free (forms[procedure].args_codec, (char *)&args);
}

void
control_call_reply_applied (struct control_daemon *daemon,
                            const struct control_pending_call *waiter,
                            struct control_outcome *outcome, uint64_t now_ms)
{
  if (waiter->procedure == CONTROL_MEMBER_CHANGE)
    control_call_reply_status (daemon, waiter->call, waiter->procedure,
                               CONTROL_OK, "");
  else if (waiter->procedure != CONTROL_SYNC)
    wire_call_reply (waiter->call, outcome->codec, &outcome->result);
  else if (outcome->result.answer.status == CONTROL_OK)
    answer_sync (daemon, waiter->call, &waiter->args.sync, now_ms);
  else
    control_call_reply_status (daemon, waiter->call, CONTROL_SYNC,
                               outcome->result.answer.status,
                               outcome->result.answer.text);
}

static void
read_document (struct control_daemon *daemon,
               struct control_read_result *result)
{
  result->answer.leader_address = strdup ("");
  result->answer.text = strdup ("");
  result->document_version
      = control_documents_version (control_state_documents (daemon->state));
}

void
control_call_reply_read (struct control_daemon *daemon,
                         const struct control_pending_call *waiter)
{
  union call_result result;
  memset (&result, 0, sizeof result);
  if (waiter->procedure == CONTROL_BUNDLE)
    control_bundles_get (control_state_bundles (daemon->state),
                         waiter->args.bundle.bundle_version, &result.bundle);
  else if (waiter->procedure == CONTROL_READ)
    read_document (daemon, &result.read);
  else
    {
      escrow_pool_budget (control_state_pool (daemon->state),
                          base_budget_id (waiter->args.budget.account,
                                          waiter->args.budget.budget),
                          &result.budget);
    }
  wire_call_reply (waiter->call, forms[waiter->procedure].result_codec,
                   &result);
  xdr_free (forms[waiter->procedure].result_codec, (char *)&result);
}
