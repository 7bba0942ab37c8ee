#ifndef PLATFORM_REGIONS_H
#define PLATFORM_REGIONS_H

/** @file
 *  Runs control members and routers in two regions as processes on loopback,
 *  with a relay as the link between the regions, for tests. */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "control_client.h"
#include "fleet_process.h"
#include "link_relay.h"

/** Number of control members.  The last one is in the routers' region and
 *  never leads; the others are in the other region. */
#define PLATFORM_REGIONS_MEMBERS 3
/** The member in the routers' region. */
#define PLATFORM_REGIONS_NEAR (PLATFORM_REGIONS_MEMBERS - 1)

/** The processes and the link. */
struct platform_regions
{
  char *folder;
  struct fleet_process *members[PLATFORM_REGIONS_MEMBERS];
  uint16_t member_ports[PLATFORM_REGIONS_MEMBERS];
  uint16_t member_http_ports[PLATFORM_REGIONS_MEMBERS];
  /** The link between the regions, and the one within the routers' region. */
  struct link_relay *far_link;
  struct link_relay *near_link;
  /** Port of the members' advertised addresses, which the relays serve. */
  uint16_t advertised_port;
  uint32_t router_count;
  struct fleet_process **routers;
  uint16_t *callers_ports;
  uint16_t *metrics_ports;
  struct control_client *client;
};

/** Starts the members and @p router_count routers, and waits until a member
 *  leads.  The link between the regions delays by @p delay_ms one way and
 *  carries @p bytes_per_s each way. */
struct platform_regions *platform_regions_create (uint32_t router_count,
                                                  uint32_t delay_ms,
                                                  uint64_t bytes_per_s);
/** Kills the processes and removes their files. */
void platform_regions_destroy (struct platform_regions *regions);
/** Sends a configuration to the leader; true when it was accepted. */
bool platform_regions_put (struct platform_regions *regions, uint64_t version,
                           const char *document);
/** Returns whether a router has a route for @p path.  There are no targets, so
 *  it refuses the request with 503 then. */
bool platform_regions_is_routed (struct platform_regions *regions,
                                 uint32_t router, const char *path);
/** Returns the version of the configuration that a router runs, or 0 when it
 *  has none or doesn't answer. */
uint64_t platform_regions_table_version (struct platform_regions *regions,
                                         uint32_t router);
/** Waits until all routers route @p path; returns how long that took from @p
 *  since_ms on, in milliseconds, or @p limit_ms when it took longer. */
uint64_t platform_regions_wait_routed (struct platform_regions *regions,
                                       const char *path, uint64_t since_ms,
                                       uint64_t limit_ms);

#endif
