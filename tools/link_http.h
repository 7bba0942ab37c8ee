#ifndef LINK_HTTP_H
#define LINK_HTTP_H

/** @file
 *  HTTP interface of a relay: GET /link returns its settings as JSON, POST
 *  /link changes those that the body names (delay_ms, bandwidth_bytes_s, cut,
 *  refuse, mute). */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "link_relay.h"

/** Settings of a relay; link_relay.h explains each. */
struct link_settings
{
  /** One-way delay, in milliseconds. */
  uint32_t delay_ms;
  /** Bandwidth of each direction, in bytes a second; 0: unlimited. */
  uint64_t bandwidth_bytes_s;
  /** Hold all bytes and new connections. */
  bool cut;
  /** Close all connections, also new ones. */
  bool refuse;
  /** Hold the bytes from the server to its caller. */
  bool mute;
};

struct link_http;

/** Starts the HTTP server on @p address:@p port (0: the kernel picks one) and
 *  applies @p settings to @p relay; NULL when it can't listen. */
struct link_http *link_http_create (const char *address, uint16_t port,
                                    struct link_relay *relay,
                                    const struct link_settings *settings);
/** Port that the server listens on. */
uint16_t link_http_port (const struct link_http *http);
/** Stops the server and frees it. */
void link_http_destroy (struct link_http *http);

/** Applies all settings to a relay. */
void link_settings_apply (const struct link_settings *settings,
                          struct link_relay *relay);
/** Overwrites the settings that a JSON object names; 0, or -1 when it is
 *  malformed (then @p settings is unchanged). */
int link_settings_read (struct link_settings *settings, const char *text,
                        size_t bytes);

#endif
