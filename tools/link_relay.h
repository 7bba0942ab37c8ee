#ifndef LINK_RELAY_H
#define LINK_RELAY_H

/** @file
 *  TCP relay that simulates a link between two availability zones: delay,
 *  limited bandwidth, and faults.  It runs on its own thread; all functions
 *  may be called from other threads. */

#include <stdbool.h>
#include <stdint.h>

#include "base_random.h"

struct link_relay;

/** Starts a relay without delay, bandwidth limit or faults. */
struct link_relay *link_relay_create (void);
/** Stops its thread and closes all connections. */
void link_relay_destroy (struct link_relay *relay);
/** Relays connections to @p listen_address:@p listen_port (0: the kernel
 *  picks a port) on to @p to_address:@p to_port; the port listened on, or 0
 *  with errno set. */
uint16_t link_relay_add_listener (struct link_relay *relay,
                                  const char *listen_address,
                                  uint16_t listen_port, const char *to_address,
                                  uint16_t to_port);
/** Delays all bytes by @p delay_ms in each direction. */
void link_relay_set_delay (struct link_relay *relay, uint32_t delay_ms);
/** Limits each direction to @p bytes_per_s; 0: no limit. */
void link_relay_set_bandwidth (struct link_relay *relay, uint64_t bytes_per_s);
/** Cuts the link, or heals it.  While it is cut, bytes and new connections
 *  wait, as with packets that are lost and retransmitted after the heal. */
void link_relay_set_cut (struct link_relay *relay, bool cut);
/** Closes open connections and each new one at once, as on a host where the
 *  process does not run. */
void link_relay_set_refuse (struct link_relay *relay, bool refuse);
/** Holds the bytes from the server until this is off again; those to the
 *  server pass, so that requests run and their answers don't arrive. */
void link_relay_set_mute (struct link_relay *relay, bool mute);
/** Directions that link_relay_silence stops. */
enum link_sides
{
  LINK_TO_SERVER = 1,
  LINK_TO_CALLER = 2,
  LINK_BOTH = 3,
  /** One of the two, drawn for each connection. */
  LINK_EITHER = 4
};
/** Silences each open connection with a probability of @p percent: what is
 *  sent on it is taken and discarded from now on, also its close.  Connections
 *  that are opened later work. */
void link_relay_silence (struct link_relay *relay, enum link_sides sides,
                         uint32_t percent, struct base_random *random);
/** Silences the open connections to one server port; @p sides isn't
 *  LINK_EITHER. */
void link_relay_silence_port (struct link_relay *relay, enum link_sides sides,
                              uint16_t server_port);
/** Bytes forwarded so far, both directions together. */
uint64_t link_relay_forwarded_bytes (const struct link_relay *relay);

#endif
