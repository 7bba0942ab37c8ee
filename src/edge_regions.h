#ifndef EDGE_REGIONS_H
#define EDGE_REGIONS_H

/** @file
 *  Regions in which the requests of a route or of a client account may be
 *  served.  Guards against a request that leaves the region it is bound to
 *  when that region's targets are full, fail, end or are cut off.  Does no
 *  I/O. */

#include <stdbool.h>
#include <stdint.h>

/** A set of regions; where NULL is allowed, it stands for any region. */
struct edge_regions;

/** Creates an empty set, which allows no region. */
struct edge_regions *edge_regions_create (void);
/** Destroys the set; NULL is allowed. */
void edge_regions_destroy (struct edge_regions *regions);
/** Adds a region; one that is in the set already changes nothing. */
void edge_regions_add (struct edge_regions *regions, const char *region);
/** Number of regions in the set. */
uint32_t edge_regions_count (const struct edge_regions *regions);
/** Returns whether both sets allow the region; @p region NULL, an unknown one,
 *  is allowed only where both are NULL. */
bool edge_regions_allow (const struct edge_regions *route,
                         const struct edge_regions *account,
                         const char *region);
/** Returns whether there is a region that both sets allow. */
bool edge_regions_overlap (const struct edge_regions *route,
                           const struct edge_regions *account);

#endif
