#include "ledger_server.h"

#include <errno.h>
#include <inttypes.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include "base_clock.h"
#include "base_log.h"
#include "cactus_config.h"
#include "ledger_batch.h"
#include "ledger_exchange.h"
#include "ledger_metrics.h"
#include "ledger_reconcile.h"
#include "ledger_store.h"
#include "wire_server.h"

/* Longest wait of a round, in ms. */
#define ROUND_WAIT_MS 20
/* Interval of exchanges with control, in ms. */
#define EXCHANGE_INTERVAL_MS 200
/* Interval of exchanges while a refused reservation or a return of tokens
   waits for control's answer, in ms. */
#define EXCHANGE_URGENT_MS 30
/* Interval of exchanges while the shortfall of a refused reservation is not
   reported to control yet, in ms. */
#define EXCHANGE_SHORTFALL_MS 3
/* Maximum number of budgets reported in one exchange. */
#define DEMANDS_MAX 64
/* Interval at which expired sessions are ended and gauges are set, in ms. */
#define CHECK_INTERVAL_MS 1000
/* Time between two rounds above which this process is assumed to have been
   suspended, in ms. */
#define SUSPENDED_MS 3000
/* Interval of attempts to reopen the data folder after a failed write, in ms.
 */
#define REOPEN_INTERVAL_MS 2000

struct ledger_server
{
  struct wire_handler base;
  struct ledger_server_options options;
  struct wire_server *wire;
  struct ledger_store *store;
  struct escrow_ledger *ledger;
  struct ledger_exchange *exchange;
  struct ledger_reconcile *reconcile;
  struct ledger_metrics metrics;
  /* The batches of this round. */
  struct ledger_batches *batches;
  uint64_t incarnation;
  /* Monotonic times of the last round, exchange, check of sessions and attempt
     to reopen the data folder, in ms. */
  uint64_t last_round_ms;
  uint64_t last_exchange_ms;
  uint64_t last_check_ms;
  uint64_t last_reopen_ms;
  /* True when control answered the last exchange. */
  bool connected;
  /* True when a write failed: the data folder has to be reopened. */
  atomic_bool failed;
  /* True when control fenced this incarnation: reservations are refused. */
  atomic_bool fenced;
};

static uint64_t
wall_ms (void)
{
  return base_clock_wall_ms (base_clock_system ());
}

static uint64_t
monotonic_ms (void)
{
  return base_clock_now_ms (base_clock_system ());
}

static void
handle_batch (struct ledger_server *server, struct wire_call *call)
{
  struct ledger_batch_context context
      = { .cluster = server->options.cluster,
          .incarnation = server->incarnation,
          .ledger = atomic_load (&server->failed) ? NULL : server->ledger,
          .fenced = atomic_load (&server->fenced),
          .now_ms = wall_ms () };
  ledger_batches_handle_call (server->batches, call, &context,
                              &server->metrics);
}

static void
handle_bills (struct ledger_server *server, struct wire_call *call)
{
  struct ledger_bills_args args = { 0 };
  struct ledger_bills_result result = { 0 };
  if (!wire_call_args (call, (xdrproc_t)xdr_ledger_bills_args, &args)
      || !server->store)
    {
      wire_call_fail (call);
      return;
    }
  if (ledger_bills_read_page (ledger_store_bills (server->store),
                              server->ledger, &args, &result))
    wire_call_reply (call, (xdrproc_t)xdr_ledger_bills_result, &result);
  else
    wire_call_fail (call);
  xdr_free ((xdrproc_t)xdr_ledger_bills_result, (char *)&result);
}

static void
handle_budget (struct ledger_server *server, struct wire_call *call)
{
  struct ledger_budget_args args = { 0 };
  struct ledger_budget_result result = { 0 };
  if (!wire_call_args (call, (xdrproc_t)xdr_ledger_budget_args, &args))
    {
      wire_call_fail (call);
      return;
    }
  if (server->store)
    escrow_ledger_budget (server->ledger, args.budget_id, &result);
  else
    result.status = LEDGER_UNAVAILABLE;
  wire_call_reply (call, (xdrproc_t)xdr_ledger_budget_result, &result);
}

static void
handle_call (struct wire_handler *handler, struct wire_call *call)
{
  struct ledger_server *server = (struct ledger_server *)handler;
  switch (wire_call_procedure (call))
    {
    case LEDGER_BATCH:
      handle_batch (server, call);
      break;
    case LEDGER_BILLS:
      handle_bills (server, call);
      break;
    case LEDGER_BUDGET:
      handle_budget (server, call);
      break;
    case LEDGER_RECONCILE:
      ledger_reconcile_handle_call (
          server->reconcile, call,
          atomic_load (&server->failed) ? NULL : server->ledger, wall_ms ());
      break;
    default:
      wire_call_fail (call);
    }
}

/* Records whether control answers.  While control is unreachable, refusals are
   final. */
static void
set_connected (struct ledger_server *server, bool connected)
{
  if (connected != server->connected)
    base_log (BASE_LOG_NOTICE, "control-connection connected=%d", connected);
  server->connected = connected;
  base_counter_set (server->metrics.connected, connected);
  if (server->ledger)
    escrow_ledger_set_connected (server->ledger, connected);
}

/* Applies control's answer, if there is one, before the round's sync. */
static void
apply_exchange (struct ledger_server *server)
{
  struct control_ledger_result result;
  enum wire_status status;
  if (!server->exchange
      || !ledger_exchange_take_result (server->exchange, &result, &status))
    return;
  bool answered = status == WIRE_OK && result.answer.status == CONTROL_OK;
  base_counter_add (answered ? server->metrics.exchanges
                             : server->metrics.exchange_failures,
                    1);
  if (status == WIRE_OK && result.answer.status == CONTROL_FENCED
      && !atomic_exchange (&server->fenced, true))
    base_log (BASE_LOG_ERROR, "fenced incarnation=%016" PRIx64,
              server->incarnation);
  set_connected (server, answered);
  if (answered && server->ledger)
    escrow_ledger_handle_answer (server->ledger, &result, wall_ms ());
  /* When an answer holds the maximum number of grants, there may be more:
     request them at once. */
  if (answered && result.grants.grants_len == CONTROL_BATCH_MAX)
    server->last_exchange_ms = 0;
  xdr_free ((xdrproc_t)xdr_control_ledger_result, (char *)&result);
}

/* Reports to control when an exchange is due.  Called after the round's sync,
   so that only synced changes are reported to control. */
static void
send_exchange (struct ledger_server *server, uint64_t now_ms)
{
  struct control_ledger_args args = { 0 };
  if (!server->exchange || atomic_load (&server->failed)
      || !ledger_exchange_is_idle (server->exchange))
    return;
  uint64_t interval_ms = EXCHANGE_INTERVAL_MS;
  if (escrow_ledger_has_unreported_shortfall (server->ledger))
    interval_ms = EXCHANGE_SHORTFALL_MS;
  else if (escrow_ledger_awaits_control (server->ledger))
    interval_ms = EXCHANGE_URGENT_MS;
  if (now_ms < server->last_exchange_ms + interval_ms)
    return;
  server->last_exchange_ms = now_ms;
  args.cluster = strdup (server->options.cluster);
  args.ledger = strdup (server->options.host);
  args.incarnation = server->incarnation;
  escrow_ledger_report (server->ledger, wall_ms (), DEMANDS_MAX, &args);
  ledger_exchange_send (server->exchange, &args);
}

/* Ends expired sessions.  After this process was suspended, sessions are
   renewed first, since their heartbeats could not be received. */
static void
check_sessions (struct ledger_server *server, uint64_t now_ms)
{
  if (server->last_round_ms + SUSPENDED_MS < now_ms)
    {
      base_log (BASE_LOG_WARNING, "was-frozen ms=%" PRIu64,
                now_ms - server->last_round_ms);
      escrow_ledger_renew_sessions (server->ledger, wall_ms ());
    }
  server->last_round_ms = now_ms;
  if (now_ms < server->last_check_ms + CHECK_INTERVAL_MS)
    return;
  server->last_check_ms = now_ms;
  uint32_t orphans = escrow_ledger_expire_sessions (
      server->ledger, CACTUS_LEDGER_LEASE_MS, wall_ms ());
  base_counter_add (server->metrics.orphans, orphans);
  if (orphans > 0)
    base_log (BASE_LOG_NOTICE, "sessions-lapsed orphans=%u", orphans);
  ledger_metrics_set_gauges (&server->metrics,
                             escrow_ledger_count (server->ledger),
                             ledger_store_log_bytes (server->store));
}

/* Records that the log could not be written. */
static void
fail (struct ledger_server *server)
{
  int error = errno;
  base_counter_add (server->metrics.commit_failures, 1);
  if (!atomic_exchange (&server->failed, true))
    base_log (BASE_LOG_ERROR, "log-write-failed folder=%s error=%s",
              server->options.data_folder, g_strerror (error));
}

/* Syncs the round's changes.  Returns false when they must not be
   acknowledged. */
static bool
commit (struct ledger_server *server)
{
  uint64_t before_us = base_clock_now_us (base_clock_system ());
  if (atomic_load (&server->failed))
    return false;
  if (ledger_store_commit (server->store) != 0)
    {
      fail (server);
      return false;
    }
  uint64_t us = base_clock_now_us (base_clock_system ()) - before_us;
  base_counter_add (server->metrics.commits, 1);
  base_histogram_record (server->metrics.commit_us, us);
  return true;
}

/* Opens the data folder; sessions in it are renewed, since no heartbeats were
   received in the meantime. */
static int
open_store (struct ledger_server *server, struct base_findings *findings)
{
  const struct ledger_server_options *options = &server->options;
  server->store
      = ledger_store_open (options->data_folder, options->cluster,
                           options->host, options->bills_bytes_max, findings);
  if (!server->store)
    return -1;
  server->ledger = ledger_store_ledger (server->store);
  server->incarnation = ledger_store_incarnation (server->store);
  server->last_round_ms = monotonic_ms ();
  escrow_ledger_renew_sessions (server->ledger, wall_ms ());
  escrow_ledger_set_connected (server->ledger, server->connected);
  return 0;
}

/* Reloads the state from the data folder: after a failed write the state in
   memory contains changes that are not on disk. */
static void
reopen (struct ledger_server *server, uint64_t now_ms)
{
  if (now_ms < server->last_reopen_ms + REOPEN_INTERVAL_MS)
    return;
  server->last_reopen_ms = now_ms;
  struct base_findings *findings = base_findings_create ();
  ledger_store_close (server->store, false);
  server->store = NULL;
  server->ledger = NULL;
  if (open_store (server, findings) == 0)
    {
      ledger_reconcile_restart (server->reconcile);
      base_log (BASE_LOG_NOTICE, "log-opened-again records=%" PRIu64,
                ledger_store_replayed_records (server->store));
      atomic_store (&server->failed, false);
    }
  base_findings_destroy (findings);
}

static void
end_round (struct wire_handler *handler)
{
  struct ledger_server *server = (struct ledger_server *)handler;
  uint64_t now_ms = monotonic_ms ();
  apply_exchange (server);
  if (!atomic_load (&server->failed))
    {
      check_sessions (server, now_ms);
      ledger_reconcile_apply_verdicts (server->reconcile, server->ledger,
                                       wall_ms ());
    }
  bool committed = commit (server);
  ledger_reconcile_reply (server->reconcile, committed);
  ledger_batches_reply (server->batches, committed, server->incarnation);
  if (committed)
    {
      send_exchange (server, now_ms);
      ledger_reconcile_send_bills (server->reconcile, server->ledger, now_ms);
      ledger_store_update_snapshot (server->store);
    }
  else
    reopen (server, now_ms);
}

static void
wake_server (void *context)
{
  ledger_server_wake (context);
}

struct ledger_server *
ledger_server_create (const struct ledger_server_options *options,
                      struct base_findings *findings)
{
  struct wire_program program = { LEDGER_PROGRAM, LEDGER_VERSION };
  struct ledger_server *server = g_new0 (struct ledger_server, 1);
  server->base.call = handle_call;
  server->base.round = end_round;
  server->options = *options;
  server->batches = ledger_batches_create ();
  server->reconcile = ledger_reconcile_create (options->cluster, options->host,
                                               wake_server, server);
  /* Assume that control answers, so that refusals are not final, until an
     exchange fails. */
  server->connected = options->control != NULL;
  ledger_metrics_open (&server->metrics);
  if (open_store (server, findings) != 0)
    goto fail;
  server->wire = wire_server_create (options->rpc_address, options->rpc_port,
                                     &program, 1, &server->base);
  if (!server->wire)
    {
      base_findings_add (findings, "--rpc", "can't listen on %s:%u: %s",
                         options->rpc_address, options->rpc_port,
                         g_strerror (errno));
      goto fail;
    }
  if (options->control)
    server->exchange
        = ledger_exchange_create (options->control, wake_server, server);
  base_log (BASE_LOG_NOTICE,
            "ledger-open incarnation=%016" PRIx64 " records=%" PRIu64,
            server->incarnation,
            ledger_store_replayed_records (server->store));
  return server;
fail:
  ledger_server_destroy (server);
  return NULL;
}

void
ledger_server_destroy (struct ledger_server *server)
{
  if (!server)
    return;
  if (server->exchange)
    ledger_exchange_destroy (server->exchange);
  ledger_reconcile_destroy (server->reconcile);
  wire_server_destroy (server->wire);
  ledger_store_close (server->store, !atomic_load (&server->failed));
  ledger_metrics_close (&server->metrics);
  ledger_batches_destroy (server->batches);
  g_free (server);
}

void
ledger_server_round (struct ledger_server *server)
{
  wire_server_round (server->wire, ROUND_WAIT_MS);
}

void
ledger_server_wake (struct ledger_server *server)
{
  wire_server_wake (server->wire);
}

uint16_t
ledger_server_port (const struct ledger_server *server)
{
  return wire_server_port (server->wire);
}

uint64_t
ledger_server_incarnation (const struct ledger_server *server)
{
  return server->incarnation;
}

void
ledger_server_set_peers (struct ledger_server *server,
                         const struct wire_process *peers, uint32_t count)
{
  ledger_reconcile_set_peers (server->reconcile, peers, count);
}

struct base_metrics *
ledger_server_metrics (struct ledger_server *server)
{
  return server->metrics.set;
}

bool
ledger_server_is_ready (struct ledger_server *server)
{
  return !atomic_load (&server->failed) && !atomic_load (&server->fenced);
}
