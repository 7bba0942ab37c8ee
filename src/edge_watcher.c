#include "edge_watcher.h"

#include <stdlib.h>
#include <string.h>

#include "base_clock.h"

/* Maximum time for which a member may hold a long-poll call, and the call's
   deadline, in milliseconds. */
#define LONG_POLL_MS 400
#define CALL_TIMEOUT_MS 1200
/* Pause after a failed call, in milliseconds. */
#define RETRY_PAUSE_MS 150

struct edge_watcher
{
  struct edge_watcher_shared *shared;
  uint32_t source;
  struct wire_client *client;
  /* Last change that was received, within the member's epoch. */
  uint64_t epoch;
  uint64_t change;
  /* Document version that the member last reported. */
  uint64_t member_version;
  /* Version of the newest list of suspects that the member sent. */
  uint64_t suspects_version;
  /* Version of the newest list of limits that the member sent. */
  uint64_t limits_version;
  /* Version of the newest list of evacuations that the member sent. */
  uint64_t evacuations_version;
  /* Last change of other routers that was received, within the epoch. */
  uint64_t routers_change;
  atomic_bool stopping;
  GThread *thread;
};

void
edge_update_free (struct edge_update *update)
{
  if (update->status == WIRE_OK)
    xdr_free ((xdrproc_t)xdr_control_watch_answer, (char *)&update->answer);
  g_free (update);
}

static void
record_answer (struct edge_watcher *watcher, const struct edge_update *update)
{
  if (update->status != WIRE_OK)
    {
      watcher->epoch = 0;
      watcher->suspects_version = 0;
      watcher->limits_version = 0;
      watcher->evacuations_version = 0;
      return;
    }
  watcher->epoch = update->answer.result.epoch;
  watcher->change = update->answer.result.change;
  watcher->routers_change = update->answer.result.routers_change;
  watcher->member_version = update->answer.result.document_version;
  watcher->suspects_version = MAX (
      watcher->suspects_version, update->answer.result.suspects.list_version);
  watcher->limits_version = MAX (watcher->limits_version,
                                 update->answer.result.limits.list_version);
  watcher->evacuations_version = MAX (watcher->evacuations_version,
                                      update->answer.evacuations.list_version);
}

/* Makes one watch call and queues its result. */
static void
watch_once (struct edge_watcher *watcher)
{
  struct edge_watcher_shared *shared = watcher->shared;
  struct control_watch_call call = { .has_evacuations = true };
  struct control_watch_args args = { 0 };
  struct edge_update *update = g_new0 (struct edge_update, 1);
  args.cluster = shared->cluster;
  args.router = shared->router;
  args.epoch = watcher->epoch;
  args.change = watcher->change;
  args.document_version = watcher->member_version;
  args.wait_ms = LONG_POLL_MS;
  args.suspects_version = watcher->suspects_version;
  args.limits_version = watcher->limits_version;
  args.routers_change = watcher->routers_change;
  args.self.name = shared->router;
  args.self.address = shared->address;
  args.self.availability_zone = shared->availability_zone;
  args.self.relay_port = atomic_load (&shared->relay_port);
  args.self.is_cut_off = atomic_load (&shared->is_cut_off);
  args.self.demand = atomic_load (&shared->demand);
  call.args = args;
  call.evacuations.in_force = atomic_load (&shared->evacuations_version);
  call.evacuations.from_member
      = MAX (watcher->evacuations_version, call.evacuations.in_force);
  update->source = watcher->source;
  update->sent_ms = base_clock_steady_wall_ms ();
  update->status = wire_client_call (
      watcher->client, CONTROL_WATCH, (xdrproc_t)xdr_control_watch_call, &call,
      (xdrproc_t)xdr_control_watch_answer, &update->answer,
      sizeof update->answer, CALL_TIMEOUT_MS);
  record_answer (watcher, update);
  bool failed = update->status != WIRE_OK;
  g_async_queue_push (shared->updates, update);
  shared->wake (shared->wake_context);
  if (failed)
    g_usleep (1000 * RETRY_PAUSE_MS);
}

static gpointer
run (gpointer data)
{
  struct edge_watcher *watcher = data;
  while (!atomic_load (&watcher->stopping))
    watch_once (watcher);
  return NULL;
}

struct edge_watcher *
edge_watcher_create (struct edge_watcher_shared *shared, uint32_t source,
                     const char *address, uint16_t port)
{
  struct edge_watcher *watcher = g_new0 (struct edge_watcher, 1);
  watcher->shared = shared;
  watcher->source = source;
  watcher->client
      = wire_client_create (address, port, CONTROL_PROGRAM, CONTROL_VERSION);
  watcher->thread = g_thread_new ("watch", run, watcher);
  return watcher;
}

void
edge_watcher_stop (struct edge_watcher *watcher)
{
  atomic_store (&watcher->stopping, true);
}

void
edge_watcher_destroy (struct edge_watcher *watcher)
{
  edge_watcher_stop (watcher);
  g_thread_join (watcher->thread);
  wire_client_destroy (watcher->client);
  g_free (watcher);
}
