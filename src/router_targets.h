#ifndef ROUTER_TARGETS_H
#define ROUTER_TARGETS_H

/** @file
 *  Pages by which targets announce themselves and operators see them. */

#include <stddef.h>
#include <stdint.h>

#include <microhttpd.h>

#include "base_findings.h"
#include "registry.h"
#include "router.h"

/** Reads an announcement heard at @p now_ms; 0, or -1 with findings. */
int router_targets_read (struct registry_record *record, const char *body,
                         size_t bytes, uint64_t now_ms,
                         struct base_findings *findings);
/** Takes in an announcement and answers it; a target that leaves is told of at
 *  once. */
enum MHD_Result router_targets_announce (struct router *router,
                                         struct MHD_Connection *connection,
                                         const char *body, size_t bytes);
/** Lists the targets known here. */
enum MHD_Result router_targets_list (struct registry *registry,
                                     struct MHD_Connection *connection);

#endif
