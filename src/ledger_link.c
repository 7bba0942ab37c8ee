#include "ledger_link.h"

#include <string.h>

#include "base_clock.h"
#include "base_log.h"
#include "wire_client.h"

/* Interval of heartbeats while there are no operations, in ms. */
#define HEARTBEAT_MS 2000
/* Time after its last operation for which a ledger that is not near, or is no
   longer listed, still gets heartbeats, in ms. */
#define HEARTBEAT_AFTER_USE_MS UINT64_C (600000)
/* Delay before a failed call is repeated, in ms. */
#define RETRY_DELAY_MS 200

struct ledger_link
{
  uint32_t number;
  const struct ledger_link_identity *identity;
  struct ledger_link_callbacks *user;
  /* Copy of endpoint.name, which never changes and so needs no lock. */
  char name[CACTUS_NAME_BYTES + 1];
  GThread *thread;
  /* Guards the fields from here to releases. */
  GMutex mutex;
  GCond condition;
  struct ledger_endpoint endpoint;
  /* True when the address changed since the last connection. */
  bool moved;
  bool stopping;
  uint64_t end_ms;
  /* Queue of struct ledger_work that is not sent yet. */
  GQueue queue;
  /* Ids (uint64_t) of the reservations to release. */
  GArray *releases;
  /* This field and those down to last_operation_ms are used by the link's
     thread only. */
  struct wire_client *wire;
  /* Batch of struct ledger_work in the current call. */
  GPtrArray *batch;
  /* Monotonic times of the last call and the last one with operations, in ms.
   */
  uint64_t last_call_ms;
  uint64_t last_operation_ms;
  atomic_bool listed;
  atomic_bool near;
  atomic_bool healthy;
  atomic_uint_least64_t answered_ms;
  uint32_t unanswered;
};

static uint64_t
now_ms (void)
{
  return base_clock_now_ms (base_clock_system ());
}

static bool
is_reserve (const struct ledger_work *work)
{
  return work->request->op.kind == LEDGER_RESERVE;
}

/* Monotonic time until which the thread may sleep, in ms. */
static uint64_t
next_due_ms (struct ledger_link *link)
{
  uint64_t due_ms = link->last_call_ms + HEARTBEAT_MS;
  if (link->releases->len > 0)
    due_ms = MIN (due_ms, link->last_call_ms + RETRY_DELAY_MS);
  for (GList *at = link->queue.head; at; at = at->next)
    {
      const struct ledger_work *work = at->data;
      due_ms = MIN (due_ms, work->not_before_ms);
      if (work->not_before_ms == 0)
        break;
    }
  return due_ms;
}

/* Moves the work that is due or expired from the queue to the batch. */
static void
fill_batch (struct ledger_link *link, uint64_t now)
{
  GList *at = link->queue.head;
  guint most = LEDGER_BATCH_MAX - MIN (link->releases->len, LEDGER_BATCH_MAX);
  while (at && link->batch->len < most)
    {
      GList *next = at->next;
      struct ledger_work *work = at->data;
      bool expired = is_reserve (work) && work->request->deadline_ms <= now;
      if (work->not_before_ms <= now || expired)
        {
          g_ptr_array_add (link->batch, work);
          g_queue_delete_link (&link->queue, at);
        }
      at = next;
    }
}

/* Removes the reservations whose deadline passed from the batch and reports
   them as failed. */
static void
fail_expired (struct ledger_link *link, uint64_t now)
{
  guint kept = 0;
  for (guint i = 0; i < link->batch->len; i++)
    {
      struct ledger_work *work = link->batch->pdata[i];
      if (is_reserve (work) && work->request->deadline_ms <= now)
        link->user->failed (link->user, work);
      else
        link->batch->pdata[kept++] = work;
    }
  g_ptr_array_set_size (link->batch, (gint)kept);
}

/* Creates the RPC client, or replaces it when the ledger's address has
   changed. */
static void
update_wire_client (struct ledger_link *link)
{
  g_mutex_lock (&link->mutex);
  if (link->moved || !link->wire)
    {
      wire_client_destroy (link->wire);
      link->wire
          = wire_client_create (link->endpoint.address, link->endpoint.port,
                                LEDGER_PROGRAM, LEDGER_VERSION);
      link->moved = false;
    }
  g_mutex_unlock (&link->mutex);
}

/* Sends the releases and the batch in one call.  Returns true when the ledger
   applied it. */
static bool
call_ledger (struct ledger_link *link, const GArray *releases,
             struct ledger_batch_result *result)
{
  u_int count = releases->len + link->batch->len;
  struct ledger_op *ops = g_new0 (struct ledger_op, count + 1);
  struct ledger_batch_args args
      = { .cluster = (char *)link->identity->cluster,
          .router = (char *)link->identity->router,
          .incarnation = link->identity->incarnation };
  for (guint i = 0; i < releases->len; i++)
    {
      ops[i].kind = LEDGER_RELEASE;
      ops[i].ledger_op_u.release.reservation_id
          = g_array_index (releases, uint64_t, i);
    }
  for (guint i = 0; i < link->batch->len; i++)
    {
      struct ledger_work *work = link->batch->pdata[i];
      ops[releases->len + i] = work->request->op;
    }
  args.ops.ops_len = count;
  args.ops.ops_val = ops;
  update_wire_client (link);
  link->last_call_ms = now_ms ();
  if (count > 0)
    link->last_operation_ms = link->last_call_ms;
  enum wire_status status = wire_client_call (
      link->wire, LEDGER_BATCH, (xdrproc_t)xdr_ledger_batch_args, &args,
      (xdrproc_t)xdr_ledger_batch_result, result, sizeof *result,
      CACTUS_CALL_TIMEOUT_MS);
  if (status != WIRE_UNSENT)
    for (guint i = 0; i < link->batch->len; i++)
      ((struct ledger_work *)link->batch->pdata[i])->sent = true;
  g_free (ops);
  return status == WIRE_OK && result->status == LEDGER_OK
         && result->results.results_len == count;
}

/* Returns work that got no answer to the head of the queue. */
static void
requeue (struct ledger_link *link, struct ledger_work *work, uint64_t now)
{
  work->not_before_ms = now + RETRY_DELAY_MS;
  g_mutex_lock (&link->mutex);
  g_queue_push_head (&link->queue, work);
  g_mutex_unlock (&link->mutex);
}

/* Reports the results of the batch.  Without an answer, reservations fail and
   the other operations are queued again, from the last to the first, so that
   the queue keeps their order. */
static void
report_results (struct ledger_link *link,
                const struct ledger_op_result *results, bool answered)
{
  uint64_t now = now_ms ();
  for (guint i = link->batch->len; i-- > 0;)
    {
      struct ledger_work *work = link->batch->pdata[i];
      if (answered)
        link->user->answered (link->user, work, &results[i]);
      else if (is_reserve (work))
        link->user->failed (link->user, work);
      else
        requeue (link, work, now);
    }
  g_ptr_array_set_size (link->batch, 0);
}

/* Records whether the call was answered and logs a change. */
static void
record_outcome (struct ledger_link *link, bool answered)
{
  if (answered)
    atomic_store (&link->answered_ms, now_ms ());
  if (atomic_exchange (&link->healthy, answered) != answered)
    base_log (BASE_LOG_NOTICE, "ledger-connection ledger=%s answered=%d",
              link->name, answered);
}

/* Sends the batch with as many releases as fit. */
static void
send_batch (struct ledger_link *link)
{
  struct ledger_batch_result result;
  GArray *releases = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  g_mutex_lock (&link->mutex);
  guint count = MIN (link->releases->len, LEDGER_BATCH_MAX);
  g_array_append_vals (releases, link->releases->data, count);
  g_mutex_unlock (&link->mutex);
  bool answered = call_ledger (link, releases, &result);
  record_outcome (link, answered);
  if (answered)
    {
      g_mutex_lock (&link->mutex);
      g_array_remove_range (link->releases, 0, releases->len);
      g_mutex_unlock (&link->mutex);
    }
  report_results (link,
                  answered ? result.results.results_val + releases->len : NULL,
                  answered);
  xdr_free ((xdrproc_t)xdr_ledger_batch_result, (char *)&result);
  g_array_unref (releases);
}

/* Waits until a call is due.  Returns false when the thread has to stop.
   Called with the mutex held. */
static bool
wait_until_due (struct ledger_link *link)
{
  for (;;)
    {
      uint64_t now = now_ms ();
      bool empty = link->queue.length == 0 && link->releases->len == 0;
      if (link->stopping && (empty || now >= link->end_ms))
        return false;
      uint64_t due_ms = next_due_ms (link);
      if (due_ms <= now)
        return true;
      if (link->stopping)
        due_ms = MIN (due_ms, link->end_ms);
      gint64 until_us
          = g_get_monotonic_time () + (gint64)(due_ms - now) * 1000;
      g_cond_wait_until (&link->condition, &link->mutex, until_us);
    }
}

/* Whether the ledger gets a heartbeat when there are no operations. */
static bool
wants_heartbeat (struct ledger_link *link, uint64_t now)
{
  bool used = link->last_operation_ms != 0
              && link->last_operation_ms + HEARTBEAT_AFTER_USE_MS > now;
  return used || (atomic_load (&link->listed) && atomic_load (&link->near));
}

static gpointer
run (gpointer data)
{
  struct ledger_link *link = data;
  g_mutex_lock (&link->mutex);
  while (wait_until_due (link))
    {
      uint64_t now = now_ms ();
      fill_batch (link, now);
      bool releases_due = link->releases->len > 0
                          && link->last_call_ms + RETRY_DELAY_MS <= now;
      g_mutex_unlock (&link->mutex);
      fail_expired (link, now);
      bool idle = link->batch->len == 0 && !releases_due;
      if (!idle || wants_heartbeat (link, now))
        send_batch (link);
      else
        link->last_call_ms = now;
      g_mutex_lock (&link->mutex);
    }
  g_mutex_unlock (&link->mutex);
  return NULL;
}

struct ledger_link *
ledger_link_create (uint32_t number, const struct ledger_endpoint *endpoint,
                    const struct ledger_link_identity *identity,
                    struct ledger_link_callbacks *user)
{
  struct ledger_link *link = g_new0 (struct ledger_link, 1);
  link->number = number;
  link->endpoint = *endpoint;
  g_strlcpy (link->name, endpoint->name, sizeof link->name);
  link->identity = identity;
  link->user = user;
  g_mutex_init (&link->mutex);
  g_cond_init (&link->condition);
  g_queue_init (&link->queue);
  link->releases = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  link->batch = g_ptr_array_new ();
  atomic_init (&link->listed, true);
  atomic_init (&link->healthy, true);
  link->thread = g_thread_new ("ledger", run, link);
  return link;
}

void
ledger_link_stop (struct ledger_link *link, uint64_t end_ms)
{
  g_mutex_lock (&link->mutex);
  link->stopping = true;
  link->end_ms = end_ms;
  g_cond_signal (&link->condition);
  g_mutex_unlock (&link->mutex);
}

uint32_t
ledger_link_destroy (struct ledger_link *link)
{
  struct ledger_op_result unavailable = { .status = LEDGER_UNAVAILABLE };
  g_thread_join (link->thread);
  uint32_t unanswered = link->releases->len;
  struct ledger_work *work;
  while ((work = g_queue_pop_head (&link->queue)))
    {
      unanswered += !is_reserve (work);
      work->request->result = unavailable;
      work->request->lost = work->sent;
      work->request->done (work->request);
      g_free (work);
    }
  wire_client_destroy (link->wire);
  g_ptr_array_unref (link->batch);
  g_array_unref (link->releases);
  g_mutex_clear (&link->mutex);
  g_cond_clear (&link->condition);
  g_free (link);
  return unanswered;
}

void
ledger_link_endpoint (struct ledger_link *link,
                      struct ledger_endpoint *endpoint)
{
  g_mutex_lock (&link->mutex);
  *endpoint = link->endpoint;
  g_mutex_unlock (&link->mutex);
}

void
ledger_link_set_endpoint (struct ledger_link *link,
                          const struct ledger_endpoint *endpoint)
{
  g_mutex_lock (&link->mutex);
  link->moved = strcmp (link->endpoint.address, endpoint->address) != 0
                || link->endpoint.port != endpoint->port || link->moved;
  link->endpoint = *endpoint;
  g_mutex_unlock (&link->mutex);
}

void
ledger_link_set_listed (struct ledger_link *link, bool listed, bool near)
{
  atomic_store (&link->listed, listed);
  atomic_store (&link->near, near);
}

bool
ledger_link_is_listed (struct ledger_link *link)
{
  return atomic_load (&link->listed);
}

bool
ledger_link_is_healthy (struct ledger_link *link)
{
  return atomic_load (&link->healthy);
}

uint64_t
ledger_link_answered_ms (struct ledger_link *link)
{
  return atomic_load (&link->answered_ms);
}

void
ledger_link_push (struct ledger_link *link, struct ledger_work *work)
{
  g_mutex_lock (&link->mutex);
  g_queue_push_tail (&link->queue, work);
  g_cond_signal (&link->condition);
  g_mutex_unlock (&link->mutex);
}

void
ledger_link_queue_release (struct ledger_link *link, uint64_t reservation_id)
{
  g_mutex_lock (&link->mutex);
  g_array_append_val (link->releases, reservation_id);
  g_cond_signal (&link->condition);
  g_mutex_unlock (&link->mutex);
}
