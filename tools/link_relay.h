#ifndef LINK_RELAY_H
#define LINK_RELAY_H

/** @file
 *  A TCP relay that stands for a link between availability zones: it delays,
 *  limits, cuts and freezes.  One thread a relay. */

#include <stdbool.h>
#include <stdint.h>

/** A relay with one or more listening ports. */
struct link_relay;

/** What a link does to its traffic. */
struct link_settings
{
  /** One-way delay, in milliseconds. */
  uint32_t delay_ms;
  /** Bandwidth of each direction, in bytes a second; 0: unlimited. */
  uint64_t bandwidth_bytes_s;
  /** Open connections are closed and new ones refused. */
  bool cut;
  /** Connections stay open but nothing passes towards the server. */
  bool freeze_forward;
  /** Nothing passes back from the server. */
  bool freeze_back;
};

/** Bytes that passed and connections that are open. */
struct link_counts
{
  uint64_t forward_bytes;
  uint64_t back_bytes;
  uint32_t connections;
};

/** Starts a relay without a port. */
struct link_relay *link_relay_create (void);
/** Listens on @p listen ("A.B.C.D:PORT", port 0: the kernel picks one) for
 *  the server at @p to.  The port, or 0 with errno set. */
uint16_t link_relay_add (struct link_relay *relay, const char *listen,
                         const char *to);
/** Changes the settings; in force at once. */
void link_relay_set (struct link_relay *relay,
                     const struct link_settings *settings);
/** Settings in force. */
void link_relay_settings (struct link_relay *relay,
                          struct link_settings *settings);
/** Counts so far. */
void link_relay_counts (struct link_relay *relay, struct link_counts *counts);
/** Closes everything. */
void link_relay_destroy (struct link_relay *relay);

#endif
