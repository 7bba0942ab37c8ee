#ifndef CONTROL_JOIN_H
#define CONTROL_JOIN_H

/** @file
 *  Thread that asks the leader to add this process whenever the list of
 *  members does not contain it. */

#include "control_client.h"
#include "control_daemon.h"

struct control_join;

/** Starts the thread.  @p daemon, @p control and the strings of @p options
 *  must outlive it. */
struct control_join *
control_join_create (struct control_daemon *daemon,
                     const struct control_daemon_options *options,
                     struct control_client *control);
/** Stops the thread and frees its state. */
void control_join_destroy (struct control_join *join);

#endif
