#include "ledger_exchange.h"

#include <string.h>

#include <glib.h>

/* Deadline of one call to control, in ms. */
#define EXCHANGE_TIMEOUT_MS 2000

enum exchange_state
{
  EXCHANGE_IDLE,
  /* A call was started; the thread has not sent args, or has no answer yet. */
  EXCHANGE_SENT,
  /* The call has ended; ledger_exchange_take_result has not taken result and
     status yet. */
  EXCHANGE_ANSWERED
};

struct ledger_exchange
{
  struct control_client *client;
  void (*wake) (void *context);
  void *context;
  GThread *thread;
  /* Guards the fields below; args, result and status belong to the thread
     while the state is EXCHANGE_SENT. */
  GMutex mutex;
  GCond condition;
  enum exchange_state state;
  bool stopping;
  struct control_ledger_args args;
  struct control_ledger_result result;
  enum wire_status status;
};

static void
call_control (struct ledger_exchange *exchange)
{
  exchange->status = control_client_call (
      exchange->client, CONTROL_LEDGER, (xdrproc_t)xdr_control_ledger_args,
      &exchange->args, (xdrproc_t)xdr_control_ledger_result, &exchange->result,
      sizeof exchange->result, EXCHANGE_TIMEOUT_MS);
  xdr_free ((xdrproc_t)xdr_control_ledger_args, (char *)&exchange->args);
}

static gpointer
run (gpointer data)
{
  struct ledger_exchange *exchange = data;
  g_mutex_lock (&exchange->mutex);
  while (!exchange->stopping)
    {
      if (exchange->state != EXCHANGE_SENT)
        {
          g_cond_wait (&exchange->condition, &exchange->mutex);
          continue;
        }
      g_mutex_unlock (&exchange->mutex);
      call_control (exchange);
      g_mutex_lock (&exchange->mutex);
      exchange->state = EXCHANGE_ANSWERED;
      exchange->wake (exchange->context);
    }
  g_mutex_unlock (&exchange->mutex);
  return NULL;
}

struct ledger_exchange *
ledger_exchange_create (struct control_client *client,
                        void (*wake) (void *context), void *context)
{
  struct ledger_exchange *exchange = g_new0 (struct ledger_exchange, 1);
  exchange->client = client;
  exchange->wake = wake;
  exchange->context = context;
  g_mutex_init (&exchange->mutex);
  g_cond_init (&exchange->condition);
  exchange->thread = g_thread_new ("exchange", run, exchange);
  return exchange;
}

void
ledger_exchange_destroy (struct ledger_exchange *exchange)
{
  g_mutex_lock (&exchange->mutex);
  exchange->stopping = true;
  g_cond_signal (&exchange->condition);
  g_mutex_unlock (&exchange->mutex);
  g_thread_join (exchange->thread);
  if (exchange->state == EXCHANGE_ANSWERED)
    xdr_free ((xdrproc_t)xdr_control_ledger_result, (char *)&exchange->result);
  if (exchange->state == EXCHANGE_SENT)
    xdr_free ((xdrproc_t)xdr_control_ledger_args, (char *)&exchange->args);
  g_mutex_clear (&exchange->mutex);
  g_cond_clear (&exchange->condition);
  g_free (exchange);
}

bool
ledger_exchange_is_idle (struct ledger_exchange *exchange)
{
  g_mutex_lock (&exchange->mutex);
  bool idle = exchange->state == EXCHANGE_IDLE;
  g_mutex_unlock (&exchange->mutex);
  return idle;
}

void
ledger_exchange_send (struct ledger_exchange *exchange,
                      struct control_ledger_args *args)
{
  g_mutex_lock (&exchange->mutex);
  exchange->args = *args;
  exchange->state = EXCHANGE_SENT;
  g_cond_signal (&exchange->condition);
  g_mutex_unlock (&exchange->mutex);
}

bool
ledger_exchange_take_result (struct ledger_exchange *exchange,
                             struct control_ledger_result *result,
                             enum wire_status *status)
{
  g_mutex_lock (&exchange->mutex);
  bool answered = exchange->state == EXCHANGE_ANSWERED;
  if (answered)
    {
      *result = exchange->result;
      *status = exchange->status;
      memset (&exchange->result, 0, sizeof exchange->result);
      exchange->state = EXCHANGE_IDLE;
    }
  g_mutex_unlock (&exchange->mutex);
  return answered;
}
