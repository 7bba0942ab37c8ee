#include "edge_streams_caller.h"

#include <glib.h>

/* Timeout of a call, in milliseconds: it ends before the routers' questions
   do. */
#define CALL_TIMEOUT_MS 300

enum state
{
  STATE_IDLE,
  STATE_REQUESTED,
  STATE_ENDED
};

struct edge_streams_caller
{
  struct wire_client *client;
  void (*wake) (void *context);
  void *context;
  GMutex mutex;
  GCond changed;
  enum state state;
  bool stopping;
  struct control_streams_args args;
  enum wire_status status;
  struct control_streams_result result;
  GThread *thread;
};

/* Waits until a call is requested.  Returns false when the thread must
   stop. */
static bool
wait_for_call (struct edge_streams_caller *caller)
{
  g_mutex_lock (&caller->mutex);
  while (caller->state != STATE_REQUESTED && !caller->stopping)
    g_cond_wait (&caller->changed, &caller->mutex);
  bool is_running = !caller->stopping;
  g_mutex_unlock (&caller->mutex);
  return is_running;
}

static gpointer
run (gpointer data)
{
  struct edge_streams_caller *caller = data;
  while (wait_for_call (caller))
    {
      enum wire_status status = wire_client_call (
          caller->client, CONTROL_STREAMS, (xdrproc_t)xdr_control_streams_args,
          &caller->args, (xdrproc_t)xdr_control_streams_result,
          &caller->result, sizeof caller->result, CALL_TIMEOUT_MS);
      /* Nothing waits for a note's answer; the next round takes it. */
      bool must_wake = caller->args.asked.asked_len > 0 || status != WIRE_OK;
      xdr_free ((xdrproc_t)xdr_control_streams_args, (char *)&caller->args);
      g_mutex_lock (&caller->mutex);
      caller->status = status;
      caller->state = STATE_ENDED;
      g_mutex_unlock (&caller->mutex);
      if (must_wake)
        caller->wake (caller->context);
    }
  return NULL;
}

struct edge_streams_caller *
edge_streams_caller_create (const char *address, uint16_t port,
                            void (*wake) (void *context), void *context)
{
  struct edge_streams_caller *caller = g_new0 (struct edge_streams_caller, 1);
  caller->client
      = wire_client_create (address, port, CONTROL_PROGRAM, CONTROL_VERSION);
  caller->wake = wake;
  caller->context = context;
  g_mutex_init (&caller->mutex);
  g_cond_init (&caller->changed);
  caller->thread = g_thread_new ("streams", run, caller);
  return caller;
}

void
edge_streams_caller_stop (struct edge_streams_caller *caller)
{
  g_mutex_lock (&caller->mutex);
  caller->stopping = true;
  g_cond_signal (&caller->changed);
  g_mutex_unlock (&caller->mutex);
}

void
edge_streams_caller_destroy (struct edge_streams_caller *caller)
{
  edge_streams_caller_stop (caller);
  g_thread_join (caller->thread);
  if (caller->state == STATE_ENDED && caller->status == WIRE_OK)
    xdr_free ((xdrproc_t)xdr_control_streams_result, (char *)&caller->result);
  else if (caller->state == STATE_REQUESTED)
    xdr_free ((xdrproc_t)xdr_control_streams_args, (char *)&caller->args);
  wire_client_destroy (caller->client);
  g_mutex_clear (&caller->mutex);
  g_cond_clear (&caller->changed);
  g_free (caller);
}

void
edge_streams_caller_call (struct edge_streams_caller *caller,
                          const struct control_streams_args *args)
{
  g_mutex_lock (&caller->mutex);
  caller->args = *args;
  caller->state = STATE_REQUESTED;
  g_cond_signal (&caller->changed);
  g_mutex_unlock (&caller->mutex);
}

bool
edge_streams_caller_take_result (struct edge_streams_caller *caller,
                                 enum wire_status *status,
                                 struct control_streams_result *result)
{
  g_mutex_lock (&caller->mutex);
  bool has_ended = caller->state == STATE_ENDED;
  if (has_ended)
    {
      *status = caller->status;
      *result = caller->result;
      caller->state = STATE_IDLE;
    }
  g_mutex_unlock (&caller->mutex);
  return has_ended;
}
