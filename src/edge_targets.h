#ifndef EDGE_TARGETS_H
#define EDGE_TARGETS_H

/** @file
 *  Targets as this router knows them, merged from what the control members
 *  heard.  A target is lost to routing when it leaves, when it is over, or
 *  when a later run took its address.  Without I/O. */

#include <stdbool.h>
#include <stdint.h>

#include "place.h"
#include "wire_control.h"

/** Control members whose word is kept apart. */
#define EDGE_SOURCES_MAX 32

/** A target; valid until the reference is dropped. */
struct edge_target
{
  uint32_t references;
  struct control_target record;
  /** Sources that hear it, one bit each. */
  uint32_t heard_by;
  /** When the last source stopped hearing it, in milliseconds. */
  uint64_t unheard_ms;
  /** A later run has its address. */
  bool is_replaced;
  struct place_load load;
};

struct edge_targets;

/** Makes an empty view for a router of that zone and region. */
struct edge_targets *edge_targets_create (void);
/** Frees it. */
void edge_targets_destroy (struct edge_targets *targets);
/** Takes a record that source @p source (below EDGE_SOURCES_MAX) holds; true
 *  when what this router believes of the target changed. */
bool edge_targets_merge (struct edge_targets *targets, uint32_t source,
                         const struct control_target *record, uint64_t now_ms);
/** The source's word is void: it was lost, or begins anew. */
void edge_targets_forget_source (struct edge_targets *targets, uint32_t source,
                                 uint64_t now_ms);
/** Whether no source has heard it for a while. */
bool edge_target_is_silent (const struct edge_target *target, uint64_t now_ms);
/** Calls @p visit for each target of the service that new work may go to. */
void edge_targets_visit (struct edge_targets *targets, const char *service,
                         void (*visit) (void *context,
                                        struct edge_target *target),
                         void *context);
/** Number of targets of the service that new work may go to. */
uint32_t edge_targets_count (struct edge_targets *targets,
                             const char *service);
/** Adds a reference. */
struct edge_target *edge_target_ref (struct edge_target *target);
/** Drops a reference. */
void edge_target_unref (struct edge_target *target);

#endif
