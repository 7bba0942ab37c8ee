#ifndef EDGE_PROBE_H
#define EDGE_PROBE_H

/** @file
 *  Connections without a request, made by this router or passed on by another
 *  one, that find out whether a target can be reached, or whether its process
 *  has ended. */

#include "edge.h"
#include "edge_peers.h"

/** What a probe is for. */
enum edge_probe_purpose
{
  /** Whether the process has ended that just closed a connection. */
  EDGE_PROBE_CRASH,
  /** Whether connections to the target arrive. */
  EDGE_PROBE_PATH
};

/** Starts a probe of the target, passed on by @p peer unless that is NULL, if
 *  none of the kind is in progress.  Returns false when there are too many
 *  probes. */
bool edge_probe_start (struct edge *edge, struct edge_target *target,
                       const struct edge_peer *peer,
                       enum edge_probe_purpose purpose, uint64_t now_ms);
/** Makes connections that are due and ends those that took too long. */
void edge_probe_run (struct edge *edge, uint64_t now_ms);
/** Cancels all probes. */
void edge_probe_cancel_all (struct edge *edge);

#endif
