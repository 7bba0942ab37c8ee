#ifndef ROUTER_PEERS_H
#define ROUTER_PEERS_H

/** @file
 *  A router's connection to the other routers: its ONC RPC server, and
 *  gossip. */

#include <stdint.h>

#include "control_session.h"
#include "gossip.h"
#include "router.h"

struct router_peers;

/** Listens on @p address:@p port; with port 0 the kernel chooses one.  Returns
 *  NULL when it can't listen. */
struct router_peers *router_peers_create (struct router *router,
                                          const char *address, uint16_t port);
/** Port of the server. */
uint16_t router_peers_port (const struct router_peers *peers);
/** Starts gossip as the process @p self, and the thread that serves calls. */
void router_peers_start (struct router_peers *peers,
                         const struct wire_process *self);
/** Sets the session that receives bundles fetched from other routers.  NULL is
 *  allowed. */
void router_peers_set_session (struct router_peers *peers,
                               struct control_session *session);
/** The router's gossip; valid after router_peers_start. */
struct gossip *router_peers_gossip (struct router_peers *peers);
/** Stops gossip and the server, and frees both. */
void router_peers_destroy (struct router_peers *peers);

#endif
