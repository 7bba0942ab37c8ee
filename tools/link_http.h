#ifndef LINK_HTTP_H
#define LINK_HTTP_H

/** @file
 *  Commands to a link over HTTP: GET /link shows it, POST /link changes the
 *  members given (delay_ms, bandwidth_bytes_s, cut, freeze_forward,
 *  freeze_back). */

#include <stddef.h>
#include <stdint.h>

#include "link_relay.h"

struct link_http;

/** Serves on @p address:@p port (0: the kernel picks one); NULL on failure. */
struct link_http *link_http_create (const char *address, uint16_t port,
                                    struct link_relay *relay);
/** Port that is listened on. */
uint16_t link_http_port (const struct link_http *http);
/** Stops serving. */
void link_http_destroy (struct link_http *http);

/** Reads settings from JSON over those given; 0, or -1 when malformed (then
 *  @p settings is unchanged). */
int link_settings_read (struct link_settings *settings, const char *text,
                        size_t bytes);

#endif
