#ifndef CONTROL_PENDING_H
#define CONTROL_PENDING_H

/** @file
 *  Calls that wait for their proposal to be applied, or for their read to be
 *  confirmed. */

#include <stdbool.h>
#include <stdint.h>

#include "wire_control.h"
#include "wire_server.h"

/** One waiting call. */
struct control_pending_call
{
  struct wire_call *call;
  uint32_t procedure;
  /** Index and term of the proposal, or id of the read. */
  uint64_t index;
  uint64_t term;
  /** Codec of the arguments kept for the answer; NULL when none are. */
  xdrproc_t codec;
  union
  {
    struct control_sync_args sync;
    struct control_bundle_args bundle;
    struct control_budget_args budget;
    struct control_read_args read;
  } args;
};

/** A queue of waiters in the order of their index. */
struct control_pending;

/** Makes an empty queue. */
struct control_pending *control_pending_create (void);
/** Frees it and its waiters. */
void control_pending_destroy (struct control_pending *pending);
/** Adds a waiter (from g_new0); its index is not below the last one's. */
void control_pending_add (struct control_pending *pending,
                          struct control_pending_call *waiter);
/** Takes out the first waiter when its index is at most @p index. */
struct control_pending_call *
control_pending_pop (struct control_pending *pending, uint64_t index);
/** Frees a waiter and its arguments. */
void control_pending_call_free (struct control_pending_call *waiter);

#endif
