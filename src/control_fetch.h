#ifndef CONTROL_FETCH_H
#define CONTROL_FETCH_H

/** @file
 *  CONTROL_FETCH calls, by which routers read configuration documents from any
 *  member. */

#include "wire_control.h"
#include "wire_server.h"

struct control_daemon;

/** Replies with a piece of a transfer from this member's documents. */
void control_fetch_handle (struct control_daemon *daemon,
                           struct wire_call *call,
                           const struct control_fetch_args *args);

#endif
