#ifndef LINK_RELAY_H
#define LINK_RELAY_H

/** @file
 *  A TCP relay that stands for a link between two availability zones: it
 *  delays, limits bandwidth and can be cut silently.  Runs on its own
 *  thread. */

#include <stdbool.h>
#include <stdint.h>

struct link_relay;

/** Makes a link without delay or limit. */
struct link_relay *link_relay_create (void);
/** Stops the thread and closes all connections. */
void link_relay_destroy (struct link_relay *relay);
/** Relays connections to @p listen_address:@p listen_port (0: kernel's
 *  choice) on to @p to_address:@p to_port; the port listened on, or 0 with
 *  errno set. */
uint16_t link_relay_add_listener (struct link_relay *relay,
                                  const char *listen_address,
                                  uint16_t listen_port, const char *to_address,
                                  uint16_t to_port);
/** Delays all bytes by @p delay_ms each way. */
void link_relay_set_delay (struct link_relay *relay, uint32_t delay_ms);
/** Limits each way to @p bytes_per_s; 0: no limit. */
void link_relay_set_bandwidth (struct link_relay *relay, uint64_t bytes_per_s);
/** Cuts the link: bytes and new connections wait unanswered until it is
 *  healed, as packets that are lost and sent again. */
void link_relay_set_cut (struct link_relay *relay, bool cut);
/** Refuses: open connections are closed and new ones ended at once, as by a
 *  host without the process. */
void link_relay_set_refuse (struct link_relay *relay, bool refuse);
/** Loses answers: bytes from the server wait until this is off again, those
 *  to it pass. */
void link_relay_set_mute (struct link_relay *relay, bool mute);
/** Bytes that crossed the link, both ways. */
uint64_t link_relay_forwarded_bytes (const struct link_relay *relay);

#endif
