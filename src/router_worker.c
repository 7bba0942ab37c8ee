#include "router_worker.h"

#include <stddef.h>

#include "base_clock.h"
#include "router.h"
#include "router_steps.h"

#define BUSY_WAIT_MS 10
#define IDLE_WAIT_MS 200
#define SWEEP_INTERVAL_MS 20
#define QUEUE_INTERVAL_MS 10
#define LAPSE_INTERVAL_MS 500

struct router_worker
{
  struct router *router;
  bool first;
  atomic_bool stopping;
  GThread *thread;
  struct router_poll *loop;
  struct registry_reader *reader;
  /* Requests with pending events, newest first. */
  struct ck_stack inbox;
  GQueue requests;
  struct bundle *bundle;
  uint64_t bundle_version;
  uint64_t last_sweep_ms;
  uint64_t last_tick_ms;
  uint64_t last_lapse_ms;
};

CK_STACK_CONTAINER (struct router_request, inbox_link, request_of_link)

static void
handle_request (struct router_request *request)
{
  uint32_t events = atomic_exchange (&request->events, 0);
  router_steps_handle (request, events);
  router_request_unref (request);
}

/* Handles the oldest request first.  A link is read before its request is
   handled, since the request may then be posted again. */
static void
handle_inbox (struct router_worker *worker)
{
  struct ck_stack_entry *entry = ck_stack_batch_pop_upmc (&worker->inbox);
  struct ck_stack_entry *ordered = NULL;
  while (entry)
    {
      struct ck_stack_entry *next = entry->next;
      entry->next = ordered;
      ordered = entry;
      entry = next;
    }
  while (ordered)
    {
      struct router_request *request = request_of_link (ordered);
      ordered = ordered->next;
      handle_request (request);
    }
}

static void
sweep (struct router_worker *worker, uint64_t now_ms)
{
  GList *link = worker->requests.head;
  while (link)
    {
      GList *next = link->next;
      router_steps_check_timeouts (link->data, now_ms);
      link = next;
    }
}

static void
run_timers (struct router_worker *worker)
{
  uint64_t now_ms = base_clock_now_ms (base_clock_system ());
  if (now_ms >= worker->last_sweep_ms + SWEEP_INTERVAL_MS)
    {
      worker->last_sweep_ms = now_ms;
      sweep (worker, now_ms);
    }
  if (worker->first && now_ms >= worker->last_lapse_ms + LAPSE_INTERVAL_MS)
    {
      worker->last_lapse_ms = now_ms;
      registry_lapse (worker->router->registry, now_ms);
    }
  if (worker->first && worker->bundle
      && now_ms >= worker->last_tick_ms + QUEUE_INTERVAL_MS)
    {
      worker->last_tick_ms = now_ms;
      router_queue_tick (worker->router->queue, worker->reader,
                         worker->bundle);
    }
}

/* The timers need short waits only while requests are open. */
static uint32_t
wait_ms (const struct router_worker *worker)
{
  return atomic_load (&worker->router->open_requests) > 0 ? BUSY_WAIT_MS
                                                          : IDLE_WAIT_MS;
}

static gpointer
run_worker (gpointer data)
{
  struct router_worker *worker = data;
  worker->reader = registry_reader_create (worker->router->registry);
  while (!atomic_load (&worker->stopping))
    {
      router_poll_run (worker->loop, wait_ms (worker));
      router_refresh_bundle (worker->router, &worker->bundle,
                             &worker->bundle_version);
      handle_inbox (worker);
      run_timers (worker);
    }
  handle_inbox (worker);
  registry_reader_destroy (worker->reader);
  return NULL;
}

struct router_worker *
router_worker_create (struct router *router, bool first)
{
  struct router_worker *worker = g_new0 (struct router_worker, 1);
  worker->router = router;
  worker->first = first;
  ck_stack_init (&worker->inbox);
  worker->loop = router_poll_create (router_attempt_handle_done);
  if (!worker->loop)
    {
      g_free (worker);
      return NULL;
    }
  worker->thread = g_thread_new ("worker", run_worker, worker);
  return worker;
}

void
router_worker_destroy (struct router_worker *worker)
{
  if (!worker)
    return;
  atomic_store (&worker->stopping, true);
  router_poll_wake (worker->loop);
  g_thread_join (worker->thread);
  router_poll_destroy (worker->loop);
  if (worker->bundle)
    bundle_unref (worker->bundle);
  g_free (worker);
}

void
router_worker_post (struct router_worker *worker,
                    struct router_request *request)
{
  ck_stack_push_upmc (&worker->inbox, &request->inbox_link);
  router_poll_wake (worker->loop);
}

struct bundle *
router_worker_bundle (struct router_worker *worker)
{
  return worker->bundle;
}

struct router_poll *
router_worker_poll (struct router_worker *worker)
{
  return worker->loop;
}

struct registry_reader *
router_worker_reader (struct router_worker *worker)
{
  return worker->reader;
}

void
router_worker_add (struct router_worker *worker,
                   struct router_request *request)
{
  request->registered = true;
  router_request_ref (request);
  g_queue_push_tail_link (&worker->requests, &request->link);
}

void
router_worker_remove (struct router_worker *worker,
                      struct router_request *request)
{
  if (!request->registered)
    return;
  request->registered = false;
  g_queue_unlink (&worker->requests, &request->link);
  router_request_unref (request);
}
