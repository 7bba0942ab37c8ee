#include "control_pending.h"

#include <glib.h>

struct control_pending
{
  GQueue waiters;
};

struct control_pending *
control_pending_create (void)
{
  struct control_pending *pending = g_new0 (struct control_pending, 1);
  g_queue_init (&pending->waiters);
  return pending;
}

void
control_pending_destroy (struct control_pending *pending)
{
  struct control_pending_call *waiter;
  if (!pending)
    return;
  while ((waiter = g_queue_pop_head (&pending->waiters)))
    control_pending_call_free (waiter);
  g_free (pending);
}

void
control_pending_add (struct control_pending *pending,
                     struct control_pending_call *waiter)
{
  g_queue_push_tail (&pending->waiters, waiter);
}

struct control_pending_call *
control_pending_pop (struct control_pending *pending, uint64_t index)
{
  const struct control_pending_call *first
      = g_queue_peek_head (&pending->waiters);
  if (!first || first->index > index)
    return NULL;
  return g_queue_pop_head (&pending->waiters);
}

void
control_pending_call_free (struct control_pending_call *waiter)
{
  if (waiter->codec)
    xdr_free (waiter->codec, (char *)&waiter->args);
  g_free (waiter);
}
