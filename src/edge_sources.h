#ifndef EDGE_SOURCES_H
#define EDGE_SOURCES_H

/** @file
 *  Decides from which control member a router reads the configuration
 *  document.  Members of the router's own region come first, so that the link
 *  between regions carries a document once for each member instead of once for
 *  each router; other members are read when those of the region stay behind or
 *  don't respond.  Without I/O; not thread-safe. */

#include <stdbool.h>
#include <stdint.h>

struct edge_sources;

/** Creates an empty set.  @p rotation, such as a random number, decides which
 *  of several equal members comes first. */
struct edge_sources *edge_sources_create (uint64_t rotation);
/** Frees the set. */
void edge_sources_destroy (struct edge_sources *sources);
/** Records that member @p source (below EDGE_SOURCES_MAX) responded and holds
 *  @p version.  Returns whether that is newer than what the router holds. */
bool edge_sources_report (struct edge_sources *sources, uint32_t source,
                          bool is_near, uint64_t version, uint64_t now_ms);
/** Records that a member doesn't respond. */
void edge_sources_report_lost (struct edge_sources *sources, uint32_t source);
/** Removes a member. */
void edge_sources_forget (struct edge_sources *sources, uint32_t source);
/** Records that a read from the member failed at @p now_ms; the member comes
 *  last for a while. */
void edge_sources_report_failed (struct edge_sources *sources, uint32_t source,
                                 uint64_t now_ms);
/** Records that the router now holds @p version. */
void edge_sources_set_held (struct edge_sources *sources, uint64_t version,
                            uint64_t now_ms);
/** Returns the member to read from, or -1 when there is none now; @p due_ms is
 *  then the time at which there may be one, or UINT64_MAX. */
int32_t edge_sources_choose (const struct edge_sources *sources,
                             uint64_t now_ms, uint64_t *due_ms);

#endif
