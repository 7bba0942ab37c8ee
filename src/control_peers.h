#ifndef CONTROL_PEERS_H
#define CONTROL_PEERS_H

/** @file
 *  Sends consensus messages to the other members, with one thread per
 *  member. */

#include "consensus_configuration.h"

struct control_peers;

/** Creates an empty set of members. */
struct control_peers *control_peers_create (const char *cluster);
/** Stops the threads, drops queued messages and frees the set. */
void control_peers_destroy (struct control_peers *peers);
/** Starts and stops threads so that each member but @p self has one. */
void control_peers_update (struct control_peers *peers,
                           const struct consensus_configuration *members,
                           uint64_t self);
/** Queues a message and takes ownership of it.  Drops it when its member is
 *  not known or the member's queue is full. */
void control_peers_send (struct control_peers *peers,
                         struct consensus_wire_message *message);
/** Returns the number of messages dropped so far. */
uint64_t control_peers_dropped (struct control_peers *peers);
/** Returns the number of connections given up so far since they took messages
 *  and brought no answers. */
uint64_t control_peers_silent_connections (struct control_peers *peers);

#endif
