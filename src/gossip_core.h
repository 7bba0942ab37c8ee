#ifndef GOSSIP_CORE_H
#define GOSSIP_CORE_H

/** @file
 *  Anti-entropy between the routers' registries: an exchange pushes recent
 *  changes and a random slice of the other records, and pulls what is newer
 *  at the peer.  No I/O; thread-safe. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "gossip_peers.h"
#include "registry.h"
#include "wire_gossip.h"

/** Number of peers in its own zone that a router calls in each round. */
#define GOSSIP_ZONE_FANOUT 1

struct gossip_core;

/** Creates the gossip state of the router @p self (copied) over @p registry,
 *  which must outlive it. */
struct gossip_core *gossip_core_create (struct registry *registry,
                                        const char *cluster,
                                        const struct gossip_peer *self,
                                        uint64_t seed);
/** Frees the gossip state. */
void gossip_core_destroy (struct gossip_core *core);
/** Sets the services whose targets other regions may use.  Until the first
 *  call, other regions may use the targets of all services. */
void gossip_core_set_cross_region (struct gossip_core *core,
                                   const char *const *services, size_t count);
/** Starts a round; changes from before the last three rounds are no longer
 *  pushed. */
void gossip_core_start_round (struct gossip_core *core);
/** Builds the request of an exchange with @p peer; the caller frees @p args
 *  with xdr_free. */
void gossip_core_make_request (struct gossip_core *core,
                               const struct gossip_peer *peer, uint64_t now_ms,
                               struct gossip_exchange_args *args);
/** Queues the departure that a target announced to this router. */
void gossip_core_add_departure (struct gossip_core *core,
                                const struct registry_record *record);
/** Builds a request with all queued departures, for every router of the zone,
 *  and empties the queue.  Returns false when none is queued.  The caller
 *  frees @p args with xdr_free. */
bool gossip_core_make_departure_request (struct gossip_core *core,
                                         uint64_t now_ms,
                                         struct gossip_exchange_args *args);
/** Merges a request into the registry and fills the result; the caller frees
 *  both with xdr_free.  A request of another cluster is not accepted. */
void gossip_core_handle_request (struct gossip_core *core,
                                 const struct gossip_exchange_args *args,
                                 uint64_t now_ms,
                                 struct gossip_exchange_result *result);
/** Merges the response to a request sent at @p sent_ms.  Returns true when the
 *  peer requested whole records; @p repair is then the request to send next,
 *  which the caller frees with xdr_free. */
bool gossip_core_handle_response (struct gossip_core *core,
                                  const struct gossip_peer *peer,
                                  const struct gossip_exchange_result *result,
                                  uint64_t sent_ms, uint64_t now_ms,
                                  struct gossip_exchange_args *repair);

#endif
