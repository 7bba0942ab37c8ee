#ifndef ROUTER_SESSION_H
#define ROUTER_SESSION_H

/** @file
 *  Applies what control sends to a router: the configuration, the live
 *  processes and the drained targets. */

#include "control_session.h"
#include "gossip.h"
#include "router.h"

/** State of the session; embed it.  Its first member holds the callbacks that
 *  control_session calls. */
struct router_session
{
  struct control_session_callbacks callbacks;
  struct router *router;
  struct gossip *gossip;
  /** The ledgers come from the settings, not from control. */
  bool fixed_ledgers;
};

/** Initialises @p session for control_session_create. */
void router_session_init (struct router_session *session,
                          struct router *router, struct gossip *gossip);
/** Uses the ledgers at @p endpoints ("A.B.C.D:PORT", ended by NULL) instead of
 *  those that control lists. */
void router_session_set_fixed_ledgers (struct router_session *session,
                                       const char *const *endpoints);

#endif
