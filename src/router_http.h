#ifndef ROUTER_HTTP_H
#define ROUTER_HTTP_H

/** @file
 *  The HTTP server of a router: callers, announcing targets, status pages. */

#include <stdint.h>

#include "router.h"

struct router_http;

/** Listens on @p address:@p port (0: the kernel picks one) with @p threads
 *  threads.  A connection without progress ends after @p timeout_s.  NULL
 *  when it can't listen. */
struct router_http *router_http_create (struct router *router,
                                        const char *address, uint16_t port,
                                        uint32_t threads, uint32_t timeout_s);
/** Port that is listened on. */
uint16_t router_http_port (const struct router_http *callers);
/** Closes everything; no request may be open. */
void router_http_destroy (struct router_http *callers);

#endif
