#ifndef EDGE_LEASE_CLIENT_H
#define EDGE_LEASE_CLIENT_H

/** @file
 *  A thread that carries lease calls to control, each until it is answered. */

#include <stdbool.h>
#include <stdint.h>

#include "control_client.h"
#include "wire_control.h"

struct edge_lease_client;

/** Starts the thread; @p wake is called after an answer came. */
struct edge_lease_client *
edge_lease_client_create (const char *const *members,
                          void (*wake) (void *context), void *context);
/** Adds a member that was learnt later. */
void edge_lease_client_add_member (struct edge_lease_client *lessee,
                                   const char *address, uint16_t port);
/** Ends the thread; a call under way is given up. */
void edge_lease_client_destroy (struct edge_lease_client *lessee);
/** Hands a call over, with its arguments; false while another is under way. */
bool edge_lease_client_call (struct edge_lease_client *lessee,
                             struct control_lease_args *args);
/** Whether a call is under way. */
bool edge_lease_client_is_busy (struct edge_lease_client *lessee);
/** Takes the answer, freed by the caller with xdr_free; false when there is
 *  none. */
bool edge_lease_client_take_result (struct edge_lease_client *lessee,
                                    struct control_lease_result *result);

#endif
