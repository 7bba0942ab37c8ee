#include "control_internal.h"

#include <stdlib.h>
#include <string.h>

#include "base_clock.h"
#include "base_hash.h"
#include "control_fetch.h"

/* Arguments of any call; each begins with the cluster's name. */
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
  struct control_router_args router;
  struct control_watch_call watch;
  struct control_fetch_args fetch;
  struct control_streams_args streams;
  struct control_evacuation_args evacuation;
  struct control_evacuation_list_args evacuation_list;
};

/* Result of any call; each begins with a control_answer. */
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
  struct control_router_result router;
  struct control_watch_answer watch;
  struct control_fetch_result fetch;
  struct control_streams_result streams;
  struct control_evacuation_result evacuation;
  struct control_evacuation_list_result evacuation_list;
};

/* Codecs of a procedure, and the command that carries its arguments in the
   log; 0 when the arguments are not logged. */
struct procedure_info
{
  xdrproc_t args_codec;
  xdrproc_t result_codec;
  enum control_command_kind command;
};

#define PROCEDURE(args, result, command)                                      \
  {                                                                           \
    (xdrproc_t) xdr_control_##args, (xdrproc_t)xdr_control_##result, command  \
  }

static const struct procedure_info procedures[] = {
  [CONTROL_SYNC] = PROCEDURE (sync_args, sync_result, 0),
  [CONTROL_PUSH] = PROCEDURE (push_args, push_result, CONTROL_COMMAND_PUSH),
  [CONTROL_BUNDLE] = PROCEDURE (bundle_args, bundle_result, 0),
  [CONTROL_TOP_UP]
  = PROCEDURE (top_up_args, top_up_result, CONTROL_COMMAND_TOP_UP),
  [CONTROL_LEDGER]
  = PROCEDURE (ledger_args, ledger_result, CONTROL_COMMAND_LEDGER),
  [CONTROL_CLAIM]
  = PROCEDURE (claim_args, claim_result, CONTROL_COMMAND_CLAIM),
  [CONTROL_FINISH] = PROCEDURE (finish_args, answer, CONTROL_COMMAND_FINISH),
  [CONTROL_BUDGET] = PROCEDURE (budget_args, budget_result, 0),
  [CONTROL_DRAIN] = PROCEDURE (drain_args, answer, CONTROL_COMMAND_DRAIN),
  [CONTROL_STATUS] = PROCEDURE (status_args, status_result, 0),
  [CONTROL_MEMBER_CHANGE] = PROCEDURE (member_args, answer, 0),
  [CONTROL_DOCUMENT]
  = PROCEDURE (document_args, document_result, CONTROL_COMMAND_DOCUMENT),
  [CONTROL_READ] = PROCEDURE (read_args, read_result, 0),
  [CONTROL_LEASE]
  = PROCEDURE (router_args, router_result, CONTROL_COMMAND_ROUTER),
  [CONTROL_WATCH] = PROCEDURE (watch_call, watch_answer, 0),
  [CONTROL_FETCH] = PROCEDURE (fetch_args, fetch_result, 0),
  [CONTROL_STREAMS] = PROCEDURE (streams_args, streams_result, 0),
  [CONTROL_EVACUATION]
  = PROCEDURE (evacuation_args, evacuation_result, CONTROL_COMMAND_EVACUATION),
  [CONTROL_EVACUATION_LIST]
  = PROCEDURE (evacuation_list_args, evacuation_list_result, 0),
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
  else if (procedure == CONTROL_WATCH)
    result.watch.result.availability_zone = strdup ("");
  wire_call_reply (call, procedures[procedure].result_codec, &result);
  xdr_free (procedures[procedure].result_codec, (char *)&result);
}

/* Proposes the command.  Returns its log index, or 0 when it can't be
   proposed. */
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
make_pending_call (struct control_daemon *daemon, struct wire_call *call,
                   uint32_t procedure, uint64_t index)
{
  struct control_pending_call *pending
      = g_new0 (struct control_pending_call, 1);
  pending->call = call;
  pending->procedure = procedure;
  pending->index = index;
  pending->term = consensus_term (daemon->consensus);
  return pending;
}

/* Proposes the call's command and queues the call until it is applied. */
static void
propose_call (struct control_daemon *daemon, struct wire_call *call,
              uint32_t procedure, const union call_args *args)
{
  struct control_command command = { 0 };
  command.body.kind = procedures[procedure].command;
  memcpy (&command.body.control_command_body_u, args,
          MIN (sizeof command.body.control_command_body_u, sizeof *args));
  uint64_t index = propose (daemon, &command);
  if (index == 0)
    control_call_reply_status (
        daemon, call, procedure, CONTROL_UNAVAILABLE,
        "the leader is handing over leadership; try again");
  else
    control_pending_add (daemon->proposals,
                         make_pending_call (daemon, call, procedure, index));
}

static void
reply_sync (struct control_daemon *daemon, struct wire_call *call,
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

/* Returns whether the process has a live session with the same incarnation,
   address, ports and location. */
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

/* Renews the session of the process, and registers it first when it is new or
   changed.  Takes ownership of the arguments when it queues the call. */
static void
handle_sync (struct control_daemon *daemon, struct wire_call *call,
             union call_args *args, uint64_t now_ms)
{
  struct control_command command = { 0 };
  const struct wire_process *process = &args->sync.process;
  if (control_processes_superseded (control_state_processes (daemon->state),
                                    process))
    {
      control_call_reply_status (
          daemon, call, CONTROL_SYNC, CONTROL_FENCED,
          "a newer incarnation of this process is registered");
      return;
    }
  if (is_registered (daemon, process))
    {
      reply_sync (daemon, call, &args->sync, now_ms);
      return;
    }
  command.body.kind = CONTROL_COMMAND_REGISTER;
  command.body.control_command_body_u.process = *process;
  uint64_t index = propose (daemon, &command);
  if (index == 0)
    {
      control_call_reply_status (
          daemon, call, CONTROL_SYNC, CONTROL_UNAVAILABLE,
          "the leader is handing over leadership; try again");
      return;
    }
  struct control_pending_call *pending
      = make_pending_call (daemon, call, CONTROL_SYNC, index);
  pending->codec = (xdrproc_t)xdr_control_sync_args;
  pending->args.sync = args->sync;
  memset (args, 0, sizeof *args);
  control_pending_add (daemon->proposals, pending);
}

/* Starts a linearizable read and queues the call until it is confirmed.  Takes
   ownership of the arguments when it queues the call. */
static void
handle_read (struct control_daemon *daemon, struct wire_call *call,
             uint32_t procedure, union call_args *args, uint64_t now_ms)
{
  uint64_t id = consensus_read_begin (daemon->consensus, now_ms);
  if (id == 0)
    {
      control_call_reply_status (
          daemon, call, procedure, CONTROL_UNAVAILABLE,
          "the leader has not committed an entry of its term yet; "
          "try again");
      return;
    }
  struct control_pending_call *pending
      = make_pending_call (daemon, call, procedure, id);
  pending->codec = procedures[procedure].args_codec;
  if (procedure == CONTROL_BUNDLE)
    pending->args.bundle = args->bundle;
  else if (procedure == CONTROL_READ)
    pending->args.read = args->read;
  else
    pending->args.budget = args->budget;
  memset (args, 0, sizeof *args);
  control_pending_add (daemon->reads, pending);
}

static void
handle_push (struct control_daemon *daemon, struct wire_call *call,
             const union call_args *args)
{
  bool first
      = args->push.bundle_version == 1
        && control_bundles_version (control_state_bundles (daemon->state))
               == 0;
  /* Any other document is proposed, even a malformed one: the reply then lists
     the findings. */
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

/* Proposes an order, unless its zone is in none of this member's settings.  A
   zone that is evacuated can be taken back in any case. */
static void
handle_evacuation (struct control_daemon *daemon, struct wire_call *call,
                   const union call_args *args)
{
  const struct control_daemon_options *options = &daemon->options;
  const char *zone = args->evacuation.availability_zone;
  bool is_known
      = (options->knows_zone && options->knows_zone (options->zones, zone))
        || control_evacuations_has (control_state_evacuations (daemon->state),
                                    zone);
  if (!options->knows_zone)
    control_call_reply_status (
        daemon, call, CONTROL_EVACUATION, CONTROL_REFUSED,
        "the routers of this cluster know no evacuations");
  else if (is_known || !control_evacuations_is_name (zone))
    propose_call (daemon, call, CONTROL_EVACUATION, args);
  else
    control_call_reply_status (daemon, call, CONTROL_EVACUATION,
                               CONTROL_NOT_FOUND,
                               "the availability zone is unknown");
}

static void
handle_member_change (struct control_daemon *daemon, struct wire_call *call,
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
  control_pending_add (
      daemon->proposals,
      make_pending_call (daemon, call, CONTROL_MEMBER_CHANGE, index));
}

static void
reply_status (struct control_daemon *daemon, struct wire_call *call)
{
  struct control_status_result result = { 0 };
  control_status_fill (daemon, &result);
  wire_call_reply (call, (xdrproc_t)xdr_control_status_result, &result);
  xdr_free ((xdrproc_t)xdr_control_status_result, (char *)&result);
}

/* Handles a call that only the leader serves. */
static void
handle_leader_call (struct control_daemon *daemon, struct wire_call *call,
                    uint32_t procedure, union call_args *args, uint64_t now_ms)
{
  if (!consensus_is_leader (daemon->consensus))
    control_call_reply_status (daemon, call, procedure, CONTROL_NOT_LEADER,
                               "");
  else if (!consensus_is_ready (daemon->consensus))
    control_call_reply_status (
        daemon, call, procedure, CONTROL_UNAVAILABLE,
        "the leader has not committed an entry of its term yet; "
        "try again");
  else if (procedure == CONTROL_SYNC)
    handle_sync (daemon, call, args, now_ms);
  else if (procedure == CONTROL_BUNDLE || procedure == CONTROL_BUDGET
           || procedure == CONTROL_READ)
    handle_read (daemon, call, procedure, args, now_ms);
  else if (procedure == CONTROL_PUSH)
    handle_push (daemon, call, args);
  else if (procedure == CONTROL_EVACUATION)
    handle_evacuation (daemon, call, args);
  else if (procedure == CONTROL_MEMBER_CHANGE)
    handle_member_change (daemon, call, args);
  else
    propose_call (daemon, call, procedure, args);
}

/* Records the streams that began, and answers those asked for. */
static void
handle_streams (struct control_daemon *daemon, struct wire_call *call,
                const struct control_streams_args *args, uint64_t now_ms)
{
  struct control_streams_result result = { 0 };
  result.answer.leader_address = strdup ("");
  result.answer.text = strdup ("");
  for (u_int i = 0; i < args->begun.begun_len; i++)
    {
      const struct control_stream *begun = &args->begun.begun_val[i];
      if (!control_streams_note (daemon->streams, begun->stream, begun->build,
                                 now_ms))
        base_counter_add (daemon->counters.streams_dropped, 1);
    }
  base_counter_add (daemon->counters.streams_noted, args->begun.begun_len);
  base_counter_set (daemon->counters.streams_kept,
                    control_streams_count (daemon->streams));
  result.builds.builds_len = args->asked.asked_len;
  result.builds.builds_val
      = calloc (args->asked.asked_len + 1, sizeof *result.builds.builds_val);
  for (u_int i = 0; i < args->asked.asked_len; i++)
    result.builds.builds_val[i] = control_streams_find (
        daemon->streams, args->asked.asked_val[i], now_ms);
  wire_call_reply (call, (xdrproc_t)xdr_control_streams_result, &result);
  xdr_free ((xdrproc_t)xdr_control_streams_result, (char *)&result);
}

void
control_call_handle (struct control_daemon *daemon, struct wire_call *call,
                     uint64_t now_ms)
{
  union call_args args;
  uint32_t procedure = wire_call_procedure (call);
  memset (&args, 0, sizeof args);
  if (procedure >= G_N_ELEMENTS (procedures)
      || !procedures[procedure].args_codec
      || !wire_call_args (call, procedures[procedure].args_codec, &args))
    {
      wire_call_fail (call);
      return;
    }
  if (strcmp (args.cluster, daemon->options.cluster) != 0)
    control_call_reply_status (daemon, call, procedure, CONTROL_WRONG_CLUSTER,
                               daemon->options.cluster);
  else if (procedure == CONTROL_STATUS)
    reply_status (daemon, call);
  else if (procedure == CONTROL_WATCH)
    control_watch_handle (daemon->watch, call, &args.watch, now_ms);
  else if (procedure == CONTROL_EVACUATION_LIST)
    control_watch_list_evacuations (daemon->watch, call, now_ms);
  else if (procedure == CONTROL_FETCH)
    control_fetch_handle (daemon, call, &args.fetch);
  else if (procedure == CONTROL_STREAMS)
    handle_streams (daemon, call, &args.streams, now_ms);
  else
    handle_leader_call (daemon, call, procedure, &args, now_ms);
  xdr_free (procedures[procedure].args_codec, (char *)&args);
}

void
control_call_reply_applied (struct control_daemon *daemon,
                            const struct control_pending_call *pending,
                            struct control_outcome *outcome, uint64_t now_ms)
{
  if (pending->procedure == CONTROL_MEMBER_CHANGE)
    control_call_reply_status (daemon, pending->call, pending->procedure,
                               CONTROL_OK, "");
  else if (pending->procedure != CONTROL_SYNC)
    wire_call_reply (pending->call, outcome->codec, &outcome->result);
  else if (outcome->result.answer.status == CONTROL_OK)
    reply_sync (daemon, pending->call, &pending->args.sync, now_ms);
  else
    control_call_reply_status (daemon, pending->call, CONTROL_SYNC,
                               outcome->result.answer.status,
                               outcome->result.answer.text);
}

static void
fill_read_result (struct control_daemon *daemon,
                  struct control_read_result *result)
{
  result->answer.leader_address = strdup ("");
  result->answer.text = strdup ("");
  result->document_version
      = control_documents_version (control_state_documents (daemon->state));
}

void
control_call_reply_read (struct control_daemon *daemon,
                         const struct control_pending_call *pending)
{
  union call_result result;
  memset (&result, 0, sizeof result);
  if (pending->procedure == CONTROL_BUNDLE)
    control_bundles_get (control_state_bundles (daemon->state),
                         pending->args.bundle.bundle_version, &result.bundle);
  else if (pending->procedure == CONTROL_READ)
    fill_read_result (daemon, &result.read);
  else
    {
      escrow_pool_budget (control_state_pool (daemon->state),
                          base_budget_id (pending->args.budget.account,
                                          pending->args.budget.budget),
                          &result.budget);
    }
  wire_call_reply (pending->call, procedures[pending->procedure].result_codec,
                   &result);
  xdr_free (procedures[pending->procedure].result_codec, (char *)&result);
}
