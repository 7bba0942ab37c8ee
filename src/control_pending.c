#include "control_pending.h"

#include <glib.h>

struct control_pending
{
  GQueue calls;
};

struct control_pending *
control_pending_create (void)
{
  struct control_pending *queue = g_new0 (struct control_pending, 1);
  g_queue_init (&queue->calls);
  return queue;
}

void
control_pending_destroy (struct control_pending *queue)
{
  struct control_pending_call *pending;
  if (!queue)
    return;
  while ((pending = g_queue_pop_head (&queue->calls)))
    control_pending_call_free (pending);
  g_free (queue);
}

void
control_pending_add (struct control_pending *queue,
                     struct control_pending_call *pending)
{
  g_queue_push_tail (&queue->calls, pending);
}

struct control_pending_call *
control_pending_pop (struct control_pending *queue, uint64_t index)
{
  const struct control_pending_call *first = g_queue_peek_head (&queue->calls);
  if (!first || first->index > index)
    return NULL;
  return g_queue_pop_head (&queue->calls);
}

void
control_pending_call_free (struct control_pending_call *pending)
{
  if (pending->codec)
    xdr_free (pending->codec, (char *)&pending->args);
  g_free (pending);
}
