#include "edge_lease_client.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base_clock.h"
#include "base_log.h"

/* Deadline for one attempt over all members, in milliseconds; the call is then
   sent again. */
#define CALL_TIMEOUT_MS 1500
/* Pause after an unanswered attempt. */
#define RETRY_PAUSE_MS 100

enum state
{
  STATE_IDLE,
  STATE_REQUESTED,
  STATE_ANSWERED
};

/* A call's arguments; sent_ms and uptime_ms are set again for each attempt. */
struct lease_call
{
  struct control_router_args args;
  /* Time at which the client was created, by the monotonic clock. */
  uint64_t started_ms;
};

struct edge_lease_client
{
  struct control_client *control;
  void (*wake) (void *context);
  void *context;
  GMutex mutex;
  GCond call_requested;
  enum state state;
  bool stopping;
  struct lease_call call;
  struct control_router_result result;
  GThread *thread;
};

/* Encodes the call with the times of this attempt.  With an uptime that is too
   small, control would count more of the previous incarnation's lease as used.
 */
static bool_t
encode_call (XDR *stream, struct lease_call *call)
{
  call->args.lease.sent_ms = base_clock_steady_wall_ms ();
  call->args.lease.uptime_ms
      = base_clock_now_ms (base_clock_system ()) - call->started_ms;
  return xdr_control_router_args (stream, &call->args);
}

/* Makes one attempt.  Returns whether control answered. */
static bool
call_control (struct edge_lease_client *client)
{
  struct control_router_result result;
  enum wire_status status = control_client_call (
      client->control, CONTROL_LEASE, (xdrproc_t)encode_call, &client->call,
      (xdrproc_t)xdr_control_router_result, &result, sizeof result,
      CALL_TIMEOUT_MS);
  if (status != WIRE_OK)
    {
      base_log (BASE_LOG_WARNING, "lease-unanswered sequence=%lu status=%s",
                (unsigned long)client->call.args.lease.sequence,
                wire_status_name (status));
      return false;
    }
  if (result.lease.answer.status != CONTROL_OK)
    base_log (BASE_LOG_ERROR, "lease-refused sequence=%lu status=%d text=%s",
              (unsigned long)client->call.args.lease.sequence,
              (int)result.lease.answer.status, result.lease.answer.text);
  g_mutex_lock (&client->mutex);
  client->result = result;
  client->state = STATE_ANSWERED;
  g_mutex_unlock (&client->mutex);
  client->wake (client->context);
  return true;
}

/* Waits until a call is requested.  Returns false when the client is being
   destroyed. */
static bool
wait_for_call (struct edge_lease_client *client)
{
  g_mutex_lock (&client->mutex);
  while (client->state != STATE_REQUESTED && !client->stopping)
    g_cond_wait (&client->call_requested, &client->mutex);
  bool is_running = !client->stopping;
  g_mutex_unlock (&client->mutex);
  return is_running;
}

static gpointer
run (gpointer data)
{
  struct edge_lease_client *client = data;
  while (wait_for_call (client))
    if (!call_control (client))
      g_usleep (1000 * RETRY_PAUSE_MS);
  return NULL;
}

struct edge_lease_client *
edge_lease_client_create (const char *const *members,
                          void (*wake) (void *context), void *context)
{
  struct edge_lease_client *client = g_new0 (struct edge_lease_client, 1);
  client->control = control_client_create (members);
  client->call.started_ms = base_clock_now_ms (base_clock_system ());
  client->wake = wake;
  client->context = context;
  g_mutex_init (&client->mutex);
  g_cond_init (&client->call_requested);
  client->thread = g_thread_new ("lease", run, client);
  return client;
}

void
edge_lease_client_add_member (struct edge_lease_client *client,
                              const char *address, uint16_t port)
{
  control_client_add (client->control, address, port);
}

void
edge_lease_client_destroy (struct edge_lease_client *client)
{
  g_mutex_lock (&client->mutex);
  client->stopping = true;
  g_cond_signal (&client->call_requested);
  g_mutex_unlock (&client->mutex);
  g_thread_join (client->thread);
  xdr_free ((xdrproc_t)xdr_control_router_args, (char *)&client->call.args);
  if (client->state == STATE_ANSWERED)
    xdr_free ((xdrproc_t)xdr_control_router_result, (char *)&client->result);
  control_client_destroy (client->control);
  g_mutex_clear (&client->mutex);
  g_cond_clear (&client->call_requested);
  g_free (client);
}

bool
edge_lease_client_call (struct edge_lease_client *client,
                        struct control_router_args *args)
{
  g_mutex_lock (&client->mutex);
  bool is_idle = client->state == STATE_IDLE;
  if (is_idle)
    {
      xdr_free ((xdrproc_t)xdr_control_router_args,
                (char *)&client->call.args);
      client->call.args = *args;
      memset (args, 0, sizeof *args);
      client->state = STATE_REQUESTED;
      g_cond_signal (&client->call_requested);
    }
  g_mutex_unlock (&client->mutex);
  return is_idle;
}

bool
edge_lease_client_is_busy (struct edge_lease_client *client)
{
  g_mutex_lock (&client->mutex);
  bool is_busy = client->state != STATE_IDLE;
  g_mutex_unlock (&client->mutex);
  return is_busy;
}

bool
edge_lease_client_take_result (struct edge_lease_client *client,
                               struct control_router_result *result)
{
  g_mutex_lock (&client->mutex);
  bool is_answered = client->state == STATE_ANSWERED;
  if (is_answered)
    {
      *result = client->result;
      client->state = STATE_IDLE;
    }
  g_mutex_unlock (&client->mutex);
  return is_answered;
}
