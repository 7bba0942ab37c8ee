#ifndef GOSSIP_PEERS_H
#define GOSSIP_PEERS_H

/** @file
 *  The other routers, and with which of them to exchange.  A core; the caller
 *  serialises access. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base_random.h"
#include "cactus_config.h"
#include "wire_common.h"

/** One router. */
struct gossip_peer
{
  char host[CACTUS_NAME_BYTES + 1];
  char availability_zone[CACTUS_NAME_BYTES + 1];
  char region[CACTUS_NAME_BYTES + 1];
  char address[16];
  uint16_t port;
};

struct gossip_peers;

/** Makes an empty list for the router @p self (copied). */
struct gossip_peers *gossip_peers_create (const struct gossip_peer *self);
/** Frees it. */
void gossip_peers_destroy (struct gossip_peers *peers);
/** Replaces the list by the routers among @p processes, but for itself. */
void gossip_peers_set (struct gossip_peers *peers,
                       const struct wire_process *processes, size_t count);
/** Copies up to @p limit peers of the own zone in random order, without those
 *  that failed lately.  Number copied. */
size_t gossip_peers_pick_zone (struct gossip_peers *peers,
                               struct base_random *random, uint64_t now_ms,
                               struct gossip_peer *chosen, size_t limit);
/** Place of this router among those of its zone by name, from 0, and their
 *  number, itself counted. */
uint32_t gossip_peers_rank (const struct gossip_peers *peers, uint32_t *count);
/** Copies one relay of each other zone for which this router relays: the few
 *  routers of a zone that talk to another zone are chosen by rendezvous hash
 *  of both.  Number copied. */
size_t gossip_peers_pick_relays (struct gossip_peers *peers,
                                 struct base_random *random, uint64_t now_ms,
                                 struct gossip_peer *chosen, size_t limit);
/** Notes how an exchange with a peer ended; a peer that failed is left out
 *  for a growing time. */
void gossip_peers_note (struct gossip_peers *peers, const char *host,
                        bool failed, uint64_t now_ms);

#endif
