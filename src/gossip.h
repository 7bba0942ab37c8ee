#ifndef GOSSIP_H
#define GOSSIP_H

/** @file
 *  Exchanges with the other routers: one thread inside the zone, one to other
 *  zones, and the answering side for the router's server. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base_clock.h"
#include "base_metrics.h"
#include "registry.h"
#include "wire_common.h"
#include "wire_server.h"

/** The newest bundle, so that routers learn it from each other where control
 *  can't be reached; first member of a user's struct.  Called from the
 *  threads of gossip and of the server. */
struct gossip_bundle_callbacks
{
  /** Version in force here; 0 when none is. */
  uint64_t (*version) (struct gossip_bundle_callbacks *bundles);
  /** Document in force here, freed with g_free; NULL when none is. */
  char *(*document) (struct gossip_bundle_callbacks *bundles, size_t *bytes);
  /** Takes a document of a peer; checks it before use. */
  void (*offer) (struct gossip_bundle_callbacks *bundles, const char *document,
                 size_t bytes);
};

struct gossip;

/** Starts the exchanges of the router @p self (copied) over @p registry.
 *  @p bundles and @p metrics may be NULL; all given must outlive it. */
struct gossip *gossip_create (struct registry *registry, const char *cluster,
                              const struct wire_process *self,
                              struct base_clock *clock,
                              struct gossip_bundle_callbacks *bundles,
                              struct base_metrics *metrics);
/** Ends the exchanges. */
void gossip_destroy (struct gossip *gossip);
/** Replaces the peers by the routers among @p processes. */
void gossip_set_peers (struct gossip *gossip,
                       const struct wire_process *processes, size_t count);
/** Place of this router among those of its zone, from 0, and their number,
 *  for pick_request; changes with gossip_set_peers. */
uint32_t gossip_zone_rank (struct gossip *gossip, uint32_t *count);
/** Names the services whose targets may be used from other regions; until it
 *  is called, all. */
void gossip_set_cross_region (struct gossip *gossip,
                              const char *const *services, size_t count);
/** Tells the zone's routers at once that a target leaves, by the record with
 *  which it said so here. */
void gossip_announce_departure (struct gossip *gossip,
                                const struct registry_record *record);
/** Answers a call of GOSSIP_PROGRAM; on the server's thread. */
void gossip_handle_call (struct gossip *gossip, struct wire_call *call);

#endif
