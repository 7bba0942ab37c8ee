#ifndef ROUTER_PEERS_H
#define ROUTER_PEERS_H

/** @file
 *  A router's side towards the other routers: its ONC RPC server and the
 *  exchanges of gossip. */

#include <stdint.h>

#include "control_session.h"
#include "gossip.h"
#include "router.h"

struct router_peers;

/** Listens on @p address:@p port (0: the kernel picks one).  NULL when it
 *  can't. */
struct router_peers *router_peers_create (struct router *router,
                                          const char *address, uint16_t port);
/** Port that is listened on. */
uint16_t router_peers_port (const struct router_peers *peers);
/** Starts the exchanges as @p self, and serves. */
void router_peers_start (struct router_peers *peers,
                         const struct wire_process *self);
/** Names the session that takes bundles learnt from other routers. */
void router_peers_set_session (struct router_peers *peers,
                               struct control_session *session);
/** The exchanges; valid from router_peers_start on. */
struct gossip *router_peers_gossip (struct router_peers *peers);
/** Ends the exchanges and the server. */
void router_peers_destroy (struct router_peers *peers);

#endif
