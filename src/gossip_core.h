#ifndef GOSSIP_CORE_H
#define GOSSIP_CORE_H

/** @file
 *  What routers tell each other of targets: push of late changes, pull of
 *  what is newer, comparison of a slice.  A core without I/O; thread-safe. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "gossip_peers.h"
#include "registry.h"
#include "wire_gossip.h"

/** Peers called in each round inside a zone. */
#define GOSSIP_ZONE_FANOUT 1

struct gossip_core;

/** Makes the state of the router @p self over @p registry, which outlives
 *  it. */
struct gossip_core *gossip_core_create (struct registry *registry,
                                        const char *cluster,
                                        const struct gossip_peer *self,
                                        uint64_t seed);
/** Frees it. */
void gossip_core_destroy (struct gossip_core *core);
/** Names the services whose targets may be used from other regions; until it
 *  is called, all. */
void gossip_core_set_cross_region (struct gossip_core *core,
                                   const char *const *services, size_t count);
/** Starts a round: older changes cease to be pushed. */
void gossip_core_start_round (struct gossip_core *core);
/** Makes the call for a peer; @p args is freed with xdr_free. */
void gossip_core_make_request (struct gossip_core *core,
                               const struct gossip_peer *peer, uint64_t now_ms,
                               struct gossip_exchange_args *args);
/** Notes that a target told this router of its departure. */
void gossip_core_add_departure (struct gossip_core *core,
                                const struct registry_record *record);
/** Makes a call that carries the departures noted since the last one, for all
 *  of the zone at once; false when there are none. */
bool gossip_core_make_departure_request (struct gossip_core *core,
                                         uint64_t now_ms,
                                         struct gossip_exchange_args *args);
/** Takes a call and fills its answer, both freed with xdr_free. */
void gossip_core_handle_request (struct gossip_core *core,
                                 const struct gossip_exchange_args *args,
                                 uint64_t now_ms,
                                 struct gossip_exchange_result *result);
/** Takes the answer of a call sent at @p sent_ms.  True when a second call is
 *  due; it is in @p repair then. */
bool gossip_core_handle_response (struct gossip_core *core,
                                  const struct gossip_peer *peer,
                                  const struct gossip_exchange_result *result,
                                  uint64_t sent_ms, uint64_t now_ms,
                                  struct gossip_exchange_args *repair);

#endif
