#ifndef GOSSIP_PEERS_H
#define GOSSIP_PEERS_H

/** @file
 *  The list of the other routers, and the choice of those to call.  No I/O;
 *  not thread-safe. */

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

/** Creates an empty list for the router @p self (copied). */
struct gossip_peers *gossip_peers_create (const struct gossip_peer *self);
/** Frees the list. */
void gossip_peers_destroy (struct gossip_peers *peers);
/** Replaces the list with the routers among @p processes other than self;
 *  routers whose address is unchanged keep their backoff. */
void gossip_peers_set (struct gossip_peers *peers,
                       const struct wire_process *processes, size_t count);
/** Copies up to @p limit random peers of this router's zone that are not in
 *  backoff.  Returns the number copied. */
size_t gossip_peers_pick_zone (struct gossip_peers *peers,
                               struct base_random *random, uint64_t now_ms,
                               struct gossip_peer *chosen, size_t limit);
/** Returns the rank of this router among the routers of its zone by host name,
 *  from 0; @p count receives their number, this one included. */
uint32_t gossip_peers_rank (const struct gossip_peers *peers, uint32_t *count);
/** Rendezvous hashing of host and zone selects two routers of each zone as its
 *  relays to each other zone.  For every zone to which this router is a relay,
 *  copies one random relay of that zone that is not in backoff.  Returns the
 *  number copied. */
size_t gossip_peers_pick_relays (struct gossip_peers *peers,
                                 struct base_random *random, uint64_t now_ms,
                                 struct gossip_peer *chosen, size_t limit);
/** Records whether a call to a peer failed.  A peer that failed is not chosen
 *  until its backoff ends; the backoff doubles with each consecutive
 *  failure. */
void gossip_peers_record_result (struct gossip_peers *peers, const char *host,
                                 bool failed, uint64_t now_ms);

#endif
