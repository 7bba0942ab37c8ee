#ifndef CONTROL_PEERS_H
#define CONTROL_PEERS_H

/** @file
 *  Sends consensus messages to the other members, one thread a member. */

#include "consensus_configuration.h"

struct control_peers;

/** Makes an empty set. */
struct control_peers *control_peers_create (const char *cluster);
/** Ends the threads; waiting messages are dropped. */
void control_peers_destroy (struct control_peers *peers);
/** Keeps one sender for each member of @p members but @p self. */
void control_peers_update (struct control_peers *peers,
                           const struct consensus_configuration *members,
                           uint64_t self);
/** Queues a message and takes it over; dropped when its member is not known
 *  or doesn't keep up. */
void control_peers_send (struct control_peers *peers,
                         struct consensus_wire_message *message);
/** Messages dropped so far. */
uint64_t control_peers_dropped (struct control_peers *peers);

#endif
