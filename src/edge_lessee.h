#ifndef EDGE_LESSEE_H
#define EDGE_LESSEE_H

/** @file
 *  A thread that carries lease calls to control, each until it is answered. */

#include <stdbool.h>
#include <stdint.h>

#include "control_client.h"
#include "wire_control.h"

struct edge_lessee;

/** Starts the thread; @p wake is called after an answer came. */
struct edge_lessee *edge_lessee_create (const char *const *members,
                                        void (*wake) (void *context),
                                        void *context);
/** Adds a member that was learnt later. */
void edge_lessee_add_member (struct edge_lessee *lessee, const char *address,
                             uint16_t port);
/** Ends the thread; a call under way is given up. */
void edge_lessee_destroy (struct edge_lessee *lessee);
/** Hands a call over, with its arguments; false while another is under way. */
bool edge_lessee_call (struct edge_lessee *lessee,
                       struct control_lease_args *args);
/** Whether a call is under way. */
bool edge_lessee_is_busy (struct edge_lessee *lessee);
/** Takes the answer, freed by the caller with xdr_free; false when there is
 *  none. */
bool edge_lessee_take (struct edge_lessee *lessee,
                       struct control_lease_result *result);

#endif
