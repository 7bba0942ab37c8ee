#ifndef CONTROL_JOIN_H
#define CONTROL_JOIN_H

/** @file
 *  A thread that keeps this process among the control members: where the
 *  members don't know it, it asks the leader to be added. */

#include "control_client.h"
#include "control_daemon.h"

struct control_join;

/** Starts the thread; the strings and @p daemon stay the caller's. */
struct control_join *
control_join_create (struct control_daemon *daemon,
                     const struct control_daemon_options *options,
                     struct control_client *control);
/** Ends it. */
void control_join_destroy (struct control_join *join);

#endif
