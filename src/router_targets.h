#ifndef ROUTER_TARGETS_H
#define ROUTER_TARGETS_H

/** @file
 *  HTTP handlers by which targets announce themselves and operators list
 *  them. */

#include <stddef.h>
#include <stdint.h>

#include <microhttpd.h>

#include "base_findings.h"
#include "registry.h"
#include "router.h"

/** Parses an announcement received at the monotonic time @p received_ms.
 *  Returns 0, or -1 with findings. */
int router_targets_read (struct registry_record *record, const char *body,
                         size_t bytes, uint64_t received_ms,
                         struct base_findings *findings);
/** Merges an announcement into the registry and responds to it.  A target that
 *  leaves is passed on to gossip at once. */
enum MHD_Result router_targets_announce (struct router *router,
                                         struct MHD_Connection *connection,
                                         const char *body, size_t bytes);
/** Responds with the list of known targets. */
enum MHD_Result router_targets_list (struct registry *registry,
                                     struct MHD_Connection *connection);

#endif
