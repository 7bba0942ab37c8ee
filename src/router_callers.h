#ifndef ROUTER_CALLERS_H
#define ROUTER_CALLERS_H

/** @file
 *  The HTTP server of a router: callers, announcing targets, status pages. */

#include <stdint.h>

#include "router.h"

struct router_callers;

/** Listens on @p address:@p port (0: the kernel picks one) with @p threads
 *  threads.  A connection without progress ends after @p timeout_s.  NULL
 *  when it can't listen. */
struct router_callers *router_callers_create (struct router *router,
                                              const char *address,
                                              uint16_t port, uint32_t threads,
                                              uint32_t timeout_s);
/** Port that is listened on. */
uint16_t router_callers_port (const struct router_callers *callers);
/** Closes everything; no request may be open. */
void router_callers_destroy (struct router_callers *callers);

#endif
