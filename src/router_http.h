#ifndef ROUTER_HTTP_H
#define ROUTER_HTTP_H

/** @file
 *  HTTP server of a router, for callers, announcements of targets, and
 *  status pages. */

#include <stdint.h>

#include "router.h"

struct router_http;

/** Listens on @p address:@p port with @p threads threads; with port 0 the
 *  kernel chooses one.  Closes a connection that makes no progress for
 *  @p timeout_s.  Returns NULL when it can't listen. */
struct router_http *router_http_create (struct router *router,
                                        const char *address, uint16_t port,
                                        uint32_t threads, uint32_t timeout_s);
/** Port of the server. */
uint16_t router_http_port (const struct router_http *server);
/** Closes all connections and stops the server; no request may be open. */
void router_http_destroy (struct router_http *server);

#endif
