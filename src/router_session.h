#ifndef ROUTER_SESSION_H
#define ROUTER_SESSION_H

/** @file
 *  What a router learns from control: the configuration and the ledgers. */

#include "control_session.h"
#include "gossip.h"
#include "router.h"

/** First member is called by the session; embed it. */
struct router_session
{
  struct control_session_callbacks user;
  struct router *router;
  struct gossip *gossip;
  /** Ledgers come from settings, not from control. */
  bool fixed_ledgers;
};

/** Prepares it for control_session_create. */
void router_session_init (struct router_session *session,
                          struct router *router, struct gossip *gossip);
/** Uses the ledgers at these endpoints ("A.B.C.D:PORT", ended by NULL)
 *  instead of those that control names. */
void router_session_set_fixed_ledgers (struct router_session *session,
                                       const char *const *endpoints);

#endif
