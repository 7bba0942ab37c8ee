#ifndef EDGE_LEASE_CLIENT_H
#define EDGE_LEASE_CLIENT_H

/** @file
 *  A thread that sends lease calls to control, one at a time, and repeats each
 *  until it is answered. */

#include <stdbool.h>
#include <stdint.h>

#include "control_client.h"
#include "wire_control.h"

struct edge_lease_client;

/** Starts the thread, which calls @p wake after it received a result. */
struct edge_lease_client *
edge_lease_client_create (const char *const *members,
                          void (*wake) (void *context), void *context);
/** Adds a control member that was discovered later. */
void edge_lease_client_add_member (struct edge_lease_client *client,
                                   const char *address, uint16_t port);
/** Stops the thread, after the attempt in progress; an unanswered call is
 *  abandoned. */
void edge_lease_client_destroy (struct edge_lease_client *client);
/** Starts a call and takes ownership of what @p args holds.  Returns false,
 *  and does not take ownership of @p args, when another call is in
 *  progress. */
bool edge_lease_client_call (struct edge_lease_client *client,
                             struct control_router_args *args);
/** Returns whether a call is in progress or its result was not taken yet. */
bool edge_lease_client_is_busy (struct edge_lease_client *client);
/** Takes the result of the call, to be freed with xdr_free.  Returns false
 *  when there is none. */
bool edge_lease_client_take_result (struct edge_lease_client *client,
                                    struct control_router_result *result);

#endif
