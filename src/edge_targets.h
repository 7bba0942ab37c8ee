#ifndef EDGE_TARGETS_H
#define EDGE_TARGETS_H

/** @file
 *  The targets that this router knows, merged from the reports of the control
 *  members.  A target gets no new work once it is leaving or gone, or once a
 *  later incarnation took over its address.  Does no I/O. */

#include <stdbool.h>
#include <stdint.h>

#include "edge_pacing.h"
#include "edge_path.h"
#include "place.h"
#include "wire_control.h"

/** Maximum number of control members (sources) whose reports are tracked. */
#define EDGE_SOURCES_MAX 32

/** A target; valid while a reference is held. */
struct edge_target
{
  uint32_t references;
  struct control_target record;
  /** Sources that receive the target's heartbeats, one bit each. */
  uint32_t live_sources;
  /** Time at which the last source stopped receiving the heartbeats of the
   *  target, in milliseconds. */
  uint64_t silent_since_ms;
  /** A later incarnation has the target's address. */
  bool is_replaced;
  /** Key of the service at the software version that the target announced
   *  (control_streams_build()). */
  uint64_t build;
  /** Times until which the target is cold, by its announcements and by its
   *  responses, in milliseconds. */
  uint64_t cold_until_ms;
  uint64_t cold_stated_until_ms;
  /** Time until which the target may have been replaced without this router
   *  knowing it yet, in milliseconds. */
  uint64_t doubted_until_ms;
  struct place_load load;
  struct edge_path path;
  struct edge_pacing pacing;
  /** Pool of the kept connections that requests to the target may use
   *  (edge_pool.h). */
  uint32_t pool;
  /** Requests of this router that may run at the target while it is brittle,
   *  as of brittle_window_ms, and its part as computed then. */
  uint32_t brittle_window;
  uint32_t brittle_part;
  uint64_t brittle_window_ms;
};

struct edge_targets;

/** Creates an empty set of targets. */
struct edge_targets *edge_targets_create (void);
/** Destroys the set. */
void edge_targets_destroy (struct edge_targets *targets);
/** Merges a record reported by @p source (below EDGE_SOURCES_MAX).  Returns
 *  true when the target is new, changed its availability, or became silent or
 *  live. */
bool edge_targets_merge (struct edge_targets *targets, uint32_t source,
                         const struct control_target *record, uint64_t now_ms);
/** Discards the source's reports of heartbeats; called when the source is
 *  unreachable or was restarted. */
void edge_targets_forget_source (struct edge_targets *targets, uint32_t source,
                                 uint64_t now_ms);
/** Returns whether no source has received the target's heartbeats within the
 *  timeout. */
bool edge_target_is_silent (const struct edge_target *target, uint64_t now_ms);
/** Notes that a response of the target says that it stays cold for
 *  @p cold_ms. */
void edge_target_note_cold (struct edge_target *target, uint32_t cold_ms,
                            uint64_t now_ms);
/** Returns for how long the target stays cold, in milliseconds; 0 when it is
 *  warm. */
uint64_t edge_target_cold_left_ms (const struct edge_target *target,
                                   uint64_t now_ms);
/** Returns the target of this name, or NULL. */
struct edge_target *edge_targets_find (const struct edge_targets *targets,
                                       const char *name);
/** Calls @p visit for each target of the service that accepts new work. */
void edge_targets_visit (struct edge_targets *targets, const char *service,
                         void (*visit) (void *context,
                                        struct edge_target *target),
                         void *context);
/** Notes that a target of the service said that it is brittle. */
void edge_targets_note_brittle (struct edge_targets *targets,
                                const char *service, uint64_t now_ms);
/** Returns whether any target lately said that it is brittle. */
bool edge_targets_has_brittle (const struct edge_targets *targets,
                               uint64_t now_ms);
/** Returns whether the target is brittle, as far as it or others of its
 * service said lately. */
bool edge_targets_is_brittle (const struct edge_targets *targets,
                              const struct edge_target *target,
                              uint64_t now_ms);
/** Calls @p visit for each target that accepts new work. */
void edge_targets_visit_all (struct edge_targets *targets,
                             void (*visit) (void *context,
                                            struct edge_target *target),
                             void *context);
/** Returns whether new work may be sent to the target. */
bool edge_target_accepts_work (const struct edge_target *target);
/** Returns the number of targets of the service that accept new work. */
uint32_t edge_targets_count (struct edge_targets *targets,
                             const char *service);
/** Returns whether a target of the service that accepts new work has this
 *  build. */
bool edge_targets_has_build (struct edge_targets *targets, const char *service,
                             uint64_t build);
/** Returns the build that all targets of the service have, and had for as long
 *  as streams are remembered; 0 when there were several, or none. */
uint64_t edge_targets_only_build (struct edge_targets *targets,
                                  const char *service, uint64_t now_ms);
/** Returns the time since which targets of the service are known, in
 *  milliseconds; 0 when none is. */
uint64_t edge_targets_known_since_ms (const struct edge_targets *targets,
                                      const char *service);
/** Returns whether no later incarnation of the target is known. */
bool edge_targets_is_current (const struct edge_targets *targets,
                              const struct edge_target *target);
/** Records that the target's process seems to have ended: another may soon
 *  serve under its name, before it has announced itself. */
void edge_target_doubt (struct edge_target *target, uint64_t now_ms);
/** Adds a reference and returns the target. */
struct edge_target *edge_target_ref (struct edge_target *target);
/** Drops a reference. */
void edge_target_unref (struct edge_target *target);

#endif
