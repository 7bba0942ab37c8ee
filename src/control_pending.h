#ifndef CONTROL_PENDING_H
#define CONTROL_PENDING_H

/** @file
 *  Queue of calls that wait for their proposal to be applied, or for their
 *  read to be confirmed. */

#include <stdbool.h>
#include <stdint.h>

#include "wire_control.h"
#include "wire_server.h"

/** One waiting call, in a queue ordered by index. */
struct control_pending_call
{
  struct wire_call *call;
  uint32_t procedure;
  /** Log index and term of the proposal; for a read, its id and the term. */
  uint64_t index;
  uint64_t term;
  /** Codec of the arguments kept for the reply; NULL when none are kept. */
  xdrproc_t codec;
  union
  {
    struct control_sync_args sync;
    struct control_bundle_args bundle;
    struct control_budget_args budget;
    struct control_read_args read;
  } args;
};

/** Calls in ascending order of their index. */
struct control_pending;

/** Creates an empty queue. */
struct control_pending *control_pending_create (void);
/** Frees the queue and its calls. */
void control_pending_destroy (struct control_pending *queue);
/** Appends a call, allocated with g_new0; its index must not be lower than
 *  that of the last one. */
void control_pending_add (struct control_pending *queue,
                          struct control_pending_call *pending);
/** Removes and returns the first call when its index is at most @p index;
 *  else returns NULL. */
struct control_pending_call *
control_pending_pop (struct control_pending *queue, uint64_t index);
/** Frees a call and its arguments. */
void control_pending_call_free (struct control_pending_call *pending);

#endif
