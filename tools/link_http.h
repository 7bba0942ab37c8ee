#ifndef LINK_HTTP_H
#define LINK_HTTP_H

/** @file
 *  Commands to a link over HTTP: GET /link shows it, POST /link changes the
 *  members given (delay_ms, bandwidth_bytes_s, cut, refuse, mute). */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "link_relay.h"

/** Settings of a link, as in link_relay.h. */
struct link_settings
{
  /** One-way delay, in milliseconds. */
  uint32_t delay_ms;
  /** Bandwidth of each way, in bytes a second; 0: unlimited. */
  uint64_t bandwidth_bytes_s;
  bool cut;
  bool refuse;
  bool mute;
};

struct link_http;

/** Serves on @p address:@p port (0: the kernel picks one) and puts
 *  @p settings into force; NULL on failure. */
struct link_http *link_http_create (const char *address, uint16_t port,
                                    struct link_relay *relay,
                                    const struct link_settings *settings);
/** Port that is listened on. */
uint16_t link_http_port (const struct link_http *http);
/** Stops serving. */
void link_http_destroy (struct link_http *http);

/** Puts settings into force at a relay. */
void link_settings_apply (const struct link_settings *settings,
                          struct link_relay *relay);
/** Reads settings from JSON over those given; 0, or -1 when malformed (then
 *  @p settings is unchanged). */
int link_settings_read (struct link_settings *settings, const char *text,
                        size_t bytes);

#endif
