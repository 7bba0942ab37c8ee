#ifndef GOSSIP_H
#define GOSSIP_H

/** @file
 *  Gossip with the other routers: one thread calls the peers in the router's
 *  zone, another calls the relays of other zones, and the router's RPC server
 *  passes in the peers' calls. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base_clock.h"
#include "base_metrics.h"
#include "registry.h"
#include "wire_common.h"
#include "wire_server.h"

/** Access to the newest bundle, which routers also copy from each other, so
 *  that they receive it while control can't be reached.  Embedded in the
 *  user's struct; called from the threads of gossip and of the RPC server. */
struct gossip_bundle_callbacks
{
  /** Returns the version of the bundle that is active on this router, or 0
   *  when there is none. */
  uint64_t (*version) (struct gossip_bundle_callbacks *bundles);
  /** Returns a copy of the document that is active on this router, freed by
   *  the caller with g_free, or NULL when there is none. */
  char *(*document) (struct gossip_bundle_callbacks *bundles, size_t *bytes);
  /** Passes in a peer's document, which must be verified before use. */
  void (*offer) (struct gossip_bundle_callbacks *bundles, const char *document,
                 size_t bytes);
};

struct gossip;

/** Starts gossip of the router @p self (copied) over @p registry.  @p bundles
 *  and @p metrics may be NULL; all arguments but @p cluster and @p self must
 *  outlive it. */
struct gossip *gossip_create (struct registry *registry, const char *cluster,
                              const struct wire_process *self,
                              struct base_clock *clock,
                              struct gossip_bundle_callbacks *bundles,
                              struct base_metrics *metrics);
/** Stops the threads and frees the state. */
void gossip_destroy (struct gossip *gossip);
/** Replaces the peers with the routers among @p processes. */
void gossip_set_peers (struct gossip *gossip,
                       const struct wire_process *processes, size_t count);
/** Returns the rank of this router among the routers of its zone, from 0, for
 *  pick_request; @p count receives their number.  The rank changes with
 *  gossip_set_peers. */
uint32_t gossip_zone_rank (struct gossip *gossip, uint32_t *count);
/** Sets the services whose targets other regions may use.  Until the first
 *  call, other regions may use the targets of all services. */
void gossip_set_cross_region (struct gossip *gossip,
                              const char *const *services, size_t count);
/** Queues the departure of a target, which is then sent to all routers of the
 *  zone immediately, without waiting for a round; @p record is the
 *  announcement of the departure. */
void gossip_announce_departure (struct gossip *gossip,
                                const struct registry_record *record);
/** Answers a call of GOSSIP_PROGRAM; called on the RPC server's thread. */
void gossip_handle_call (struct gossip *gossip, struct wire_call *call);

#endif
