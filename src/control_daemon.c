#include "control_internal.h"

#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base_clock.h"
#include "base_log.h"
#include "base_random.h"
#include "cactus_config.h"

/* Maximum time that a round waits for calls, so that a stop request is
   noticed. */
#define ROUND_WAIT_MAX_MS 50
/* Interval of the check for expired sessions. */
#define SWEEP_MS 250
/* Duration above which a round is logged: a third of the shortest election
   timeout. */
#define SLOW_ROUND_MS 200
/* Time without a call after which a connection is closed. */
#define IDLE_MAX_MS 60000
/* Maximum time for handing over leadership before the process ends. */
#define HAND_OVER_TIMEOUT_MS 1000
/* Maximum time until a departure is acknowledged or not, below the second
   after which a target asks another member. */
#define DEPARTURE_ACK_MS 800
/* Time for which a departure that another member reports waits for this
   member's disk before that member is asked again. */
#define LEARNED_STORE_MS 250

static uint64_t
now_ms (void)
{
  return base_clock_now_ms (base_clock_system ());
}

/* Handles a consensus message of another member. */
static void
handle_message (struct control_daemon *daemon, struct wire_call *call,
                uint64_t now)
{
  struct consensus_wire_message message = { 0 };
  bool_t accepted = TRUE;
  if (wire_call_procedure (call) != CONSENSUS_STEP
      || !wire_call_args (call, (xdrproc_t)xdr_consensus_wire_message,
                          &message))
    {
      wire_call_fail (call);
      return;
    }
  if (strcmp (message.cluster, daemon->options.cluster) == 0)
    consensus_step (daemon->consensus, now, &message);
  else
    accepted = FALSE;
  xdr_free ((xdrproc_t)xdr_consensus_wire_message, (char *)&message);
  wire_call_reply (call, (xdrproc_t)xdr_bool, &accepted);
}

static void
handle_call (struct wire_handler *handler, struct wire_call *call)
{
  struct control_daemon *daemon = (struct control_daemon *)handler;
  uint64_t now = now_ms ();
  base_counter_add (daemon->counters.calls, 1);
  /* The time is updated before the call is handled, so that a member that was
     frozen notices its expired timeouts first. */
  consensus_tick (daemon->consensus, now);
  if (wire_call_program (call) == CONSENSUS_PROGRAM)
    handle_message (daemon, call, now);
  else
    control_call_handle (daemon, call, now);
}

/* Fails all calls that wait for a proposal, after leadership was lost. */
static void
fail_proposals (struct control_daemon *daemon)
{
  struct control_pending_call *pending;
  while ((pending = control_pending_pop (daemon->proposals, UINT64_MAX)))
    {
      control_call_reply_status (daemon, pending->call, pending->procedure,
                                 CONTROL_UNAVAILABLE,
                                 "the member lost leadership; the proposal "
                                 "may still be applied");
      control_pending_call_free (pending);
    }
}

static void
apply_entry (struct control_daemon *daemon,
             const struct consensus_wire_entry *entry, uint64_t now)
{
  struct control_outcome outcome = { 0 };
  bool valid
      = entry->kind != CONSENSUS_ENTRY_COMMAND
        || control_state_apply_bytes (daemon->state, entry->data.data_val,
                                      entry->data.data_len, &outcome);
  struct control_pending_call *pending
      = control_pending_pop (daemon->proposals, entry->index);
  if (pending && pending->index == entry->index && pending->term == entry->term
      && valid)
    control_call_reply_applied (daemon, pending, &outcome, now);
  else if (pending)
    control_call_reply_status (daemon, pending->call, pending->procedure,
                               CONTROL_UNAVAILABLE,
                               "another entry replaced the proposal");
  if (pending)
    control_pending_call_free (pending);
  control_outcome_clear (&outcome);
  base_counter_add (daemon->counters.applied, 1);
}

static void
reply_reads (struct control_daemon *daemon,
             const struct consensus_effects *effects)
{
  for (guint i = 0; i < effects->reads->len; i++)
    {
      const struct consensus_read *read
          = &g_array_index (effects->reads, struct consensus_read, i);
      struct control_pending_call *pending
          = control_pending_pop (daemon->reads, read->id);
      if (!pending)
        continue;
      if (read->confirmed)
        control_call_reply_read (daemon, pending);
      else
        control_call_reply_status (daemon, pending->call, pending->procedure,
                                   CONTROL_UNAVAILABLE,
                                   "the member lost leadership");
      control_pending_call_free (pending);
    }
}

void
control_send_messages (struct control_daemon *daemon, GPtrArray *messages)
{
  for (guint i = 0; i < messages->len; i++)
    {
      control_peers_send (daemon->peers, messages->pdata[i]);
      messages->pdata[i] = NULL;
    }
  g_ptr_array_set_size (messages, 0);
}

/* Persists the effects; sets failure, which ends the process, on an error. */
static void
persist (struct control_daemon *daemon, struct consensus_effects *effects,
         uint64_t now)
{
  bool installed = effects->snapshot_installed;
  if (control_store_persist (daemon->store, daemon->consensus, effects) != 0)
    {
      base_log (BASE_LOG_ERROR, "data-folder-failed error=%s",
                g_strerror (errno));
      daemon->failure = -1;
      return;
    }
  control_room_note (daemon);
  if (installed
      && control_snapshot_load (daemon, consensus_snapshot (daemon->consensus))
             != 0)
    daemon->failure = -1;
  consensus_mark_persisted (daemon->consensus, now);
}

/* Adds the members that @p members doesn't list. */
static void
add_unlisted (struct consensus_configuration *members,
              const struct consensus_configuration *others)
{
  for (uint32_t i = 0; i < others->count; i++)
    if (!consensus_configuration_find (members, others->members[i].id))
      consensus_configuration_add (members, &others->members[i]);
}

/* Connects to each known member: those of the log, those that another member
   listed and those of the settings.  A member whose log is behind must be able
   to answer one that was added since, or it neither votes for it nor catches
   up with it. */
static void
update_senders (struct control_daemon *daemon)
{
  const struct consensus_configuration *members
      = consensus_members (daemon->consensus);
  struct consensus_configuration learned;
  g_mutex_lock (&daemon->mutex);
  learned = daemon->learned_members;
  g_mutex_unlock (&daemon->mutex);
  struct consensus_configuration known = *members;
  add_unlisted (&known, &learned);
  add_unlisted (&known, &daemon->options.members);
  control_peers_update (daemon->peers, &known, daemon->options.member_id);
  if (members->count == 0)
    members = learned.count > 0 ? &learned : &daemon->options.members;
  control_targets_sync_update (daemon->targets_sync, members,
                               daemon->options.member_id);
}

static void
propose_lapse (void *context, struct control_process *process)
{
  struct control_daemon *daemon = context;
  struct control_command command = { 0 };
  if (process->lapsed
      || !control_liveness_expired (daemon->liveness, &process->process,
                                    now_ms ()))
    return;
  command.body.kind = CONTROL_COMMAND_LAPSE;
  command.body.control_command_body_u.process = process->process;
  control_propose (daemon, &command);
}

/* On the leader, updates the voters and proposes CONTROL_COMMAND_LAPSE for
   each expired session. */
static void
sweep_sessions (struct control_daemon *daemon, uint64_t now)
{
  bool ready = consensus_is_ready (daemon->consensus);
  if (ready && !daemon->was_ready)
    control_liveness_reset (daemon->liveness, now);
  daemon->was_ready = ready;
  if (!ready || now < daemon->sweep_due_ms)
    return;
  daemon->sweep_due_ms = now + SWEEP_MS;
  control_members_update_voters (daemon, now);
  control_processes_visit (control_state_processes (daemon->state),
                           propose_lapse, daemon);
}

/* Carries out the effects in this order: sends the early messages, persists
   and syncs, sends the other messages, applies the committed entries. */
static void
carry_out_effects (struct control_daemon *daemon)
{
  struct consensus *consensus = daemon->consensus;
  struct consensus_effects *effects = consensus_effects (consensus);
  const struct consensus_wire_entry *entry;
  uint64_t now = now_ms ();
  consensus_tick (consensus, now);
  sweep_sessions (daemon, now);
  consensus_flush (consensus, now);
  update_senders (daemon);
  control_send_messages (daemon, effects->early_messages);
  persist (daemon, effects, now);
  if (daemon->failure != 0)
    return;
  consensus_flush (consensus, now);
  control_send_messages (daemon, effects->early_messages);
  control_send_messages (daemon, effects->messages);
  while ((entry = consensus_next_committed (consensus)))
    apply_entry (daemon, entry, now);
  reply_reads (daemon, effects);
  consensus_effects_clear (consensus);
}

/* Publishes a new document to other threads. */
static void
publish_document (struct control_daemon *daemon)
{
  struct control_documents *documents
      = control_state_documents (daemon->state);
  uint64_t version = control_documents_version (documents);
  if (version == daemon->published_version)
    return;
  g_mutex_lock (&daemon->mutex);
  if (daemon->published_document)
    g_bytes_unref (daemon->published_document);
  daemon->published_document
      = g_bytes_ref (control_documents_bytes (documents));
  daemon->published_version = version;
  g_mutex_unlock (&daemon->mutex);
  base_log (BASE_LOG_NOTICE, "document-held version=%" PRIu64, version);
}

static void
end_round (struct wire_handler *handler)
{
  struct control_daemon *daemon = (struct control_daemon *)handler;
  uint64_t start_us = base_clock_now_us (base_clock_system ());
  carry_out_effects (daemon);
  if (daemon->failure != 0)
    return;
  if (!consensus_is_leader (daemon->consensus))
    fail_proposals (daemon);
  control_snapshot_write (daemon);
  control_counters_update (daemon);
  publish_document (daemon);
  control_watch_reply_due (daemon->watch, now_ms ());
  daemon->round_end_took_ms
      = (base_clock_now_us (base_clock_system ()) - start_us) / 1000;
  base_histogram_record (daemon->counters.round_us,
                         base_clock_now_us (base_clock_system ()) - start_us);
}

/* Opens the data folder and loads what it holds. */
static int
open_store (struct control_daemon *daemon, struct base_findings *findings)
{
  const struct control_daemon_options *options = &daemon->options;
  const struct control_store_wait wait = { control_room_wait, daemon };
  struct store_identity *identity = &daemon->identity;
  g_strlcpy (identity->cluster, options->cluster, sizeof identity->cluster);
  g_strlcpy (identity->role, "control", sizeof identity->role);
  g_snprintf (identity->name, sizeof identity->name, "%" PRIu64,
              options->member_id);
  if (store_identity_open (options->data_dir, identity, findings) != 0)
    return -1;
  struct consensus_options consensus
      = { .member_id = options->member_id,
          .incarnation = identity->incarnation,
          .seed = base_random_system_seed (),
          .election_ms = options->election_ms,
          .first_election_ms = options->first_election_ms,
          .heartbeat_ms = options->heartbeat_ms,
          .bootstrap = options->members,
          .joins_only = options->joins_only };
  daemon->consensus = consensus_create (&consensus);
  daemon->store = control_room_open_store (daemon, findings);
  if (!daemon->store
      || control_store_load (daemon->store, daemon->consensus, findings) != 0)
    return -1;
  control_store_set_wait (daemon->store, &wait);
  if (control_store_cut_bytes (daemon->store) > 0)
    base_log (BASE_LOG_WARNING,
              "log-cut bytes=%" PRIu64 " last_index=%" PRIu64,
              control_store_cut_bytes (daemon->store),
              consensus_last_index (daemon->consensus));
  GBytes *snapshot = consensus_snapshot (daemon->consensus);
  if (snapshot && control_snapshot_load (daemon, snapshot) != 0)
    {
      base_findings_add (findings, options->data_dir,
                         "the state in the snapshot can't be decoded");
      return -1;
    }
  consensus_start (daemon->consensus, now_ms ());
  return 0;
}

static int
listen_on (struct control_daemon *daemon, struct base_findings *findings)
{
  static const struct wire_program programs[]
      = { { CONTROL_PROGRAM, CONTROL_VERSION },
          { CONSENSUS_PROGRAM, CONSENSUS_VERSION } };
  daemon->server = wire_server_create (
      daemon->options.address, daemon->options.port, programs,
      G_N_ELEMENTS (programs), &daemon->handler);
  if (daemon->server)
    {
      wire_server_set_idle_limit (daemon->server, IDLE_MAX_MS);
      return 0;
    }
  base_findings_add (findings, "--rpc", "can't listen on %s:%u: %s",
                     daemon->options.address, daemon->options.port,
                     g_strerror (errno));
  return -1;
}

/* Stores the targets for the exchange with other members. */
static bool
store_targets (void *context, uint64_t change)
{
  struct control_daemon *daemon = context;
  return control_targets_store_wait (daemon->targets_store, change,
                                     LEARNED_STORE_MS);
}

struct control_daemon *
control_daemon_create (const struct control_daemon_options *options,
                       struct base_findings *findings)
{
  struct control_daemon *daemon = g_new0 (struct control_daemon, 1);
  daemon->options = *options;
  daemon->identity.lock_fd = -1;
  daemon->handler.call = handle_call;
  daemon->handler.round = end_round;
  daemon->state = control_state_create ();
  daemon->peers = control_peers_create (options->cluster);
  daemon->liveness = control_liveness_create (options->lease_ms);
  daemon->proposals = control_pending_create ();
  daemon->reads = control_pending_create ();
  daemon->watch = control_watch_create (daemon);
  daemon->streams = control_streams_create ();
  daemon->targets = control_targets_create (options->target_timeout_ms
                                                ? options->target_timeout_ms
                                                : CACTUS_TARGET_LAPSE_MS);
  g_mutex_init (&daemon->mutex);
  const struct control_targets_sync_options sync
      = { .cluster = options->cluster,
          .address = options->address,
          .mutex = &daemon->mutex,
          .targets = daemon->targets,
          .store = store_targets,
          .context = daemon };
  daemon->targets_sync = control_targets_sync_create (&sync);
  control_counters_create (daemon);
  if (open_store (daemon, findings) == 0 && listen_on (daemon, findings) == 0)
    {
      daemon->targets_store = control_targets_store_create (
          options->data_dir, &daemon->mutex, daemon->targets);
      return daemon;
    }
  control_daemon_destroy (daemon);
  return NULL;
}

void
control_daemon_destroy (struct control_daemon *daemon)
{
  if (!daemon)
    return;
  wire_server_destroy (daemon->server);
  control_targets_sync_destroy (daemon->targets_sync);
  control_targets_store_destroy (daemon->targets_store);
  control_peers_destroy (daemon->peers);
  control_pending_destroy (daemon->proposals);
  control_pending_destroy (daemon->reads);
  control_liveness_destroy (daemon->liveness);
  control_watch_destroy (daemon->watch);
  control_streams_destroy (daemon->streams);
  control_targets_destroy (daemon->targets);
  if (daemon->published_document)
    g_bytes_unref (daemon->published_document);
  g_mutex_clear (&daemon->mutex);
  control_state_destroy (daemon->state);
  control_store_close (daemon->store);
  consensus_destroy (daemon->consensus);
  store_identity_close (&daemon->identity);
  g_free (daemon);
}

uint16_t
control_daemon_port (const struct control_daemon *daemon)
{
  return wire_server_port (daemon->server);
}

/* After a stop request, hands over leadership.  Returns whether the process
   may end now. */
static bool
may_end (struct control_daemon *daemon, uint64_t now)
{
  if (!atomic_load (&daemon->stopping))
    return false;
  if (daemon->stop_deadline_ms == 0)
    {
      daemon->stop_deadline_ms = now + HAND_OVER_TIMEOUT_MS;
      base_log (BASE_LOG_NOTICE, "shutting-down");
      control_targets_sync_stop (daemon->targets_sync);
    }
  consensus_transfer_leadership (daemon->consensus, now);
  return !consensus_is_leader (daemon->consensus)
         || consensus_members (daemon->consensus)->count == 1
         || now >= daemon->stop_deadline_ms;
}

int
control_daemon_run (struct control_daemon *daemon)
{
  uint64_t now = now_ms ();
  while (daemon->failure == 0 && !may_end (daemon, now))
    {
      uint64_t due = consensus_next_due_ms (daemon->consensus);
      uint64_t wait_ms = due > now ? due - now : 0;
      uint64_t began_ms = now;
      wire_server_round (daemon->server,
                         (uint32_t)MIN (wait_ms, ROUND_WAIT_MAX_MS));
      now = now_ms ();
      if (now > began_ms + SLOW_ROUND_MS)
        base_log (BASE_LOG_WARNING,
                  "round-slow took_ms=%" PRIu64 " in_end_ms=%" PRIu64
                  " open_calls=%" PRIu32,
                  now - began_ms, daemon->round_end_took_ms,
                  wire_server_open_calls (daemon->server));
    }
  return daemon->failure;
}

void
control_daemon_stop (struct control_daemon *daemon)
{
  atomic_store (&daemon->stopping, true);
  if (daemon->server)
    wire_server_wake (daemon->server);
}

bool
control_daemon_ready (struct control_daemon *daemon)
{
  return atomic_load (&daemon->ready);
}

/* Notifies routers and members of a departure.  Returns whether it is on the
   disks of a majority of the members, so that it outlives the loss of any
   minority of them and the end of all their processes. */
static bool
share_departure (struct control_daemon *daemon, const char *target,
                 uint64_t change)
{
  uint64_t start_ms = now_ms ();
  /* The others write while this member does. */
  wire_server_wake (daemon->server);
  bool stored = control_targets_store_wait (daemon->targets_store, change,
                                            DEPARTURE_ACK_MS);
  uint64_t stored_ms = now_ms ();
  uint32_t spent_ms = (uint32_t)MIN (stored_ms - start_ms, DEPARTURE_ACK_MS);
  bool confirmed = control_targets_sync_wait (daemon->targets_sync, change,
                                              DEPARTURE_ACK_MS - spent_ms);
  if (!stored || !confirmed)
    base_log (BASE_LOG_WARNING,
              "departure-unconfirmed target=%s change=%" PRIu64
              " stored=%d confirmed=%d waited_ms=%" PRIu64,
              target, change, (int)stored, (int)confirmed,
              now_ms () - start_ms);
  return stored && confirmed;
}

bool
control_daemon_announce_target (struct control_daemon *daemon,
                                const struct control_target *target)
{
  g_mutex_lock (&daemon->mutex);
  uint64_t former = control_targets_newest_change (daemon->targets);
  control_targets_announce (daemon->targets, target, now_ms ());
  bool changed = control_targets_newest_change (daemon->targets) != former;
  uint64_t departure
      = control_targets_departure (daemon->targets, target->name);
  g_mutex_unlock (&daemon->mutex);
  if (changed)
    base_log (BASE_LOG_NOTICE,
              "target-announced target=%s service=%s address=%s:%u"
              " state=%d born_ms=%" PRIu64 " sequence=%" PRIu64,
              target->name, target->service, target->address, target->port,
              (int)target->state, (uint64_t)target->born_ms,
              (uint64_t)target->sequence);
  /* A repeated announcement waits too, as the first one may not have been
     acknowledged. */
  if (target->state == CONTROL_TARGET_LEAVING && departure != 0)
    return share_departure (daemon, target->name, departure);
  if (changed)
    wire_server_wake (daemon->server);
  return true;
}

bool
control_daemon_mark_target_gone (struct control_daemon *daemon,
                                 const char *target)
{
  g_mutex_lock (&daemon->mutex);
  control_targets_mark_gone (daemon->targets, target, now_ms ());
  uint64_t change = control_targets_departure (daemon->targets, target);
  g_mutex_unlock (&daemon->mutex);
  base_log (BASE_LOG_NOTICE, "target-over target=%s", target);
  return share_departure (daemon, target, change);
}

void
control_daemon_learn_members (struct control_daemon *daemon,
                              const struct consensus_configuration *members)
{
  g_mutex_lock (&daemon->mutex);
  daemon->learned_members = *members;
  g_mutex_unlock (&daemon->mutex);
}

uint64_t
control_daemon_incarnation (const struct control_daemon *daemon)
{
  return daemon->identity.incarnation;
}

uint64_t
control_daemon_evacuations_change (const struct control_daemon *daemon)
{
  return atomic_load (&daemon->evacuations_change);
}

GBytes *
control_daemon_document (struct control_daemon *daemon, uint64_t *version)
{
  GBytes *bytes = NULL;
  g_mutex_lock (&daemon->mutex);
  *version = daemon->published_version;
  if (daemon->published_document)
    bytes = g_bytes_ref (daemon->published_document);
  g_mutex_unlock (&daemon->mutex);
  return bytes;
}
