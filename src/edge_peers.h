#ifndef EDGE_PEERS_H
#define EDGE_PEERS_H

/** @file
 *  The other routers, as the control members report them, and the choice of
 *  one that passes a connection to a target on.  Does no I/O. */

#include <stdbool.h>
#include <stdint.h>

#include "edge_pacing.h"
#include "edge_path.h"
#include "place.h"
#include "wire_control.h"

struct edge_peers;

/** Another router; valid until the next call of a function that changes the
 *  set. */
struct edge_peer
{
  /** Interned. */
  const char *name;
  char address[16];
  uint16_t port;
  char *availability_zone;
  enum place_distance distance;
  /** It said that it can't reach most targets itself. */
  bool is_cut_off;
  /** Weight of its demand for brittle targets. */
  uint32_t demand;
  /** The members that report it, one bit each, and the time at which the last
   *  one stopped. */
  uint32_t sources;
  uint64_t unreported_ms;
  /** Connections that it passes on for this router. */
  uint32_t open;
  /** Consecutive failures to connect to it, and the time before which it isn't
   *  chosen. */
  uint32_t failures;
  uint64_t hold_until_ms;
  /** Time before which nothing is borrowed from it. */
  uint64_t no_loans_until_ms;
};

/** Where the target of a connection is. */
struct edge_peers_wish
{
  const char *availability_zone;
  /** Its distance from this router. */
  enum place_distance distance;
  /** Routers that failed to reach it. */
  const struct edge_path *path;
  /** Returns whether a router in this availability zone may pass the
   *  connection on; NULL: any may. */
  bool (*may_pass) (const void *context, const char *availability_zone);
  const void *context;
};

/** Creates an empty set. */
struct edge_peers *edge_peers_create (void);
/** Destroys the set; NULL is allowed. */
void edge_peers_destroy (struct edge_peers *peers);
/** Merges what member @p source (below 32) says of a router.  One that the
 * last member calls gone is dropped. */
void edge_peers_merge (struct edge_peers *peers, uint32_t source,
                       const struct control_router_record *record,
                       enum place_distance distance);
/** Discards what the member said; called when it was restarted or is
 *  unreachable.  Routers that nobody reports any more are kept for a while. */
void edge_peers_forget_source (struct edge_peers *peers, uint32_t source,
                               uint64_t now_ms);
/** Returns the router of this name, or NULL. */
struct edge_peer *edge_peers_find (struct edge_peers *peers, const char *name);
/** Returns whether a router has this address. */
bool edge_peers_has_address (const struct edge_peers *peers,
                             const char *address);
/** Returns the part of a brittle target with @p slots slots that belongs to
 * the router named @p own, whose demand has the weight @p demand. */
struct edge_pacing_part edge_peers_part (const struct edge_peers *peers,
                                         const char *own, uint32_t demand,
                                         const char *target, uint32_t slots);
/** Number of routers. */
uint32_t edge_peers_count (const struct edge_peers *peers);
/** Chooses the router with the shortest way from this one to the target, and
 *  of these at random one of the least used; NULL when none can be used. */
const struct edge_peer *edge_peers_choose (struct edge_peers *peers,
                                           const struct edge_peers_wish *wish,
                                           uint64_t now_ms, uint64_t random);
/** Notes that a connection to the router was made, or could not be. */
void edge_peers_note_contact (struct edge_peers *peers, const char *name,
                              bool is_reached, uint64_t now_ms);
/** Notes that the router takes no more connections at the moment. */
void edge_peers_note_busy (struct edge_peers *peers, const char *name,
                           uint64_t now_ms);
/** Chooses the router that lends tokens of the account in the availability
 *  zone of the router named @p own: the same one for all routers of the zone
 *  that know the same routers.  Returns NULL when it is @p own. */
const struct edge_peer *edge_peers_choose_lender (struct edge_peers *peers,
                                                  const char *own,
                                                  const char *account,
                                                  uint64_t now_ms);
/** Notes that the router did not answer a wish for a loan. */
void edge_peers_note_lender_lost (struct edge_peers *peers, const char *name,
                                  uint64_t now_ms);
/** Counts a connection that the router passes on, or its end. */
void edge_peers_note_open (struct edge_peers *peers, const char *name,
                           bool is_open);

#endif
