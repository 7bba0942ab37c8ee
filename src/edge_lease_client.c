#include "edge_lease_client.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base_clock.h"
#include "base_log.h"

/* Deadline of one round over the members; the call is then sent again. */
#define CALL_TIMEOUT_MS 1500
#define PAUSE_MS 100

enum state
{
  STATE_IDLE,
  STATE_ASKED,
  STATE_ANSWERED
};

/* A call's arguments, with what each try fills in anew. */
struct lease_call
{
  struct control_lease_args args;
  uint64_t started_ms;
};

struct edge_lease_client
{
  struct control_client *client;
  void (*wake) (void *context);
  void *context;
  GMutex mutex;
  GCond asked;
  enum state state;
  bool stopping;
  struct lease_call call;
  struct control_lease_result result;
  GThread *thread;
};

/* Encodes with the times of this try: an older age of the run would make more
   of its former run's lease count as used. */
static bool_t
encode_call (XDR *stream, struct lease_call *call)
{
  call->args.sent_ms = base_clock_steady_wall_ms ();
  call->args.uptime_ms
      = base_clock_now_ms (base_clock_system ()) - call->started_ms;
  return xdr_control_lease_args (stream, &call->args);
}

/* One try; whether it was answered. */
static bool
call_control (struct edge_lease_client *lessee)
{
  struct control_lease_result result;
  enum wire_status status = control_client_call (
      lessee->client, CONTROL_LEASE, (xdrproc_t)encode_call, &lessee->call,
      (xdrproc_t)xdr_control_lease_result, &result, sizeof result,
      CALL_TIMEOUT_MS);
  if (status != WIRE_OK)
    {
      base_log (BASE_LOG_WARNING, "lease-unanswered sequence=%lu status=%s",
                (unsigned long)lessee->call.args.sequence,
                wire_status_name (status));
      return false;
    }
  if (result.answer.status != CONTROL_OK)
    base_log (BASE_LOG_ERROR, "lease-refused sequence=%lu status=%d text=%s",
              (unsigned long)lessee->call.args.sequence,
              (int)result.answer.status, result.answer.text);
  g_mutex_lock (&lessee->mutex);
  lessee->result = result;
  lessee->state = STATE_ANSWERED;
  g_mutex_unlock (&lessee->mutex);
  lessee->wake (lessee->context);
  return true;
}

/* Waits for a call; false at the end. */
static bool
wait_for_call (struct edge_lease_client *lessee)
{
  g_mutex_lock (&lessee->mutex);
  while (lessee->state != STATE_ASKED && !lessee->stopping)
    g_cond_wait (&lessee->asked, &lessee->mutex);
  bool goes_on = !lessee->stopping;
  g_mutex_unlock (&lessee->mutex);
  return goes_on;
}

static gpointer
run (gpointer data)
{
  struct edge_lease_client *lessee = data;
  while (wait_for_call (lessee))
    if (!call_control (lessee))
      g_usleep (1000 * PAUSE_MS);
  return NULL;
}

struct edge_lease_client *
edge_lease_client_create (const char *const *members,
                          void (*wake) (void *context), void *context)
{
  struct edge_lease_client *lessee = g_new0 (struct edge_lease_client, 1);
  lessee->client = control_client_create (members);
  lessee->call.started_ms = base_clock_now_ms (base_clock_system ());
  lessee->wake = wake;
  lessee->context = context;
  g_mutex_init (&lessee->mutex);
  g_cond_init (&lessee->asked);
  lessee->thread = g_thread_new ("lease", run, lessee);
  return lessee;
}

void
edge_lease_client_add_member (struct edge_lease_client *lessee,
                              const char *address, uint16_t port)
{
  control_client_add (lessee->client, address, port);
}

void
edge_lease_client_destroy (struct edge_lease_client *lessee)
{
  g_mutex_lock (&lessee->mutex);
  lessee->stopping = true;
  g_cond_signal (&lessee->asked);
  g_mutex_unlock (&lessee->mutex);
  g_thread_join (lessee->thread);
  xdr_free ((xdrproc_t)xdr_control_lease_args, (char *)&lessee->call.args);
  if (lessee->state == STATE_ANSWERED)
    xdr_free ((xdrproc_t)xdr_control_lease_result, (char *)&lessee->result);
  control_client_destroy (lessee->client);
  g_mutex_clear (&lessee->mutex);
  g_cond_clear (&lessee->asked);
  g_free (lessee);
}

bool
edge_lease_client_call (struct edge_lease_client *lessee,
                        struct control_lease_args *args)
{
  g_mutex_lock (&lessee->mutex);
  bool is_idle = lessee->state == STATE_IDLE;
  if (is_idle)
    {
      xdr_free ((xdrproc_t)xdr_control_lease_args, (char *)&lessee->call.args);
      lessee->call.args = *args;
      memset (args, 0, sizeof *args);
      lessee->state = STATE_ASKED;
      g_cond_signal (&lessee->asked);
    }
  g_mutex_unlock (&lessee->mutex);
  return is_idle;
}

bool
edge_lease_client_is_busy (struct edge_lease_client *lessee)
{
  g_mutex_lock (&lessee->mutex);
  bool is_busy = lessee->state != STATE_IDLE;
  g_mutex_unlock (&lessee->mutex);
  return is_busy;
}

bool
edge_lease_client_take_result (struct edge_lease_client *lessee,
                               struct control_lease_result *result)
{
  g_mutex_lock (&lessee->mutex);
  bool is_answered = lessee->state == STATE_ANSWERED;
  if (is_answered)
    {
      *result = lessee->result;
      lessee->state = STATE_IDLE;
    }
  g_mutex_unlock (&lessee->mutex);
  return is_answered;
}
