#ifndef PICK_H
#define PICK_H

/** @file
 *  Chooses a target for one request.  A core: no I/O, no locks. */

#include <stdbool.h>
#include <stdint.h>

#include "base_random.h"
#include "registry.h"

/** Ways to choose; the last ones are baselines for measurement. */
enum pick_policy
{
  /** Two choices by lag-corrected load, with prefix affinity under a bounded
   *  load. */
  PICK_TWO_CHOICES_AFFINITY,
  PICK_TWO_CHOICES,
  PICK_RANDOM,
  PICK_ROUND_ROBIN,
  PICK_LEAST_REPORTED
};

/** What is asked for. */
struct pick_request
{
  const char *availability_zone;
  const char *region;
  /** Whether targets of another region may be used (rule and link budget). */
  bool cross_region;
  /** Hash of the prompt's prefix; 0: none. */
  uint64_t prefix_hash;
  /** Most own requests at once on one target; 0: its slots. */
  uint32_t target_limit;
  /** Share of that limit that this request's class may fill, in percent. */
  uint32_t slot_percent;
  /** Targets that failed this request already; used only where no other
   *  target may be. */
  const char *const *avoid;
  uint32_t avoid_count;
  uint64_t now_ms;
  /** Place of this router among those of its zone (gossip_zone_rank) and
   *  their number; 0 routers: unknown.  Each router goes to its own part of
   *  the zone's targets first, whose load it knows without lag. */
  uint32_t router_rank;
  uint32_t router_count;
};

/** Result when no target is chosen. */
enum pick_outcome
{
  PICK_FOUND,
  /** Targets exist, all at their limit: wait. */
  PICK_BUSY,
  /** No live target that may be used. */
  PICK_NONE
};

/** Chooses a target of @p view; on PICK_FOUND sets @p chosen, whose load the
 *  caller then takes with pick_acquire.  Zone goes before region, region
 * before other regions. */
enum pick_outcome pick_target (enum pick_policy policy,
                               const struct registry_view *view,
                               const struct pick_request *request,
                               struct base_random *random,
                               const struct registry_target **chosen);
/** Claims the one probe of a target that failed lately; true at once for any
 *  other.  Called by pick_target for its choice. */
bool pick_claim_probe (struct registry_load *load, uint64_t now_ms);
/** Notes the first byte of an answer: a probe succeeded, the target is back
 *  before the answer's end. */
void pick_note_success (struct registry_load *load);
/** Counts a request as sent to the target. */
void pick_acquire (struct registry_load *load);
/** Counts it as ended; @p failed holds the target for a growing time. */
void pick_release (struct registry_load *load, bool failed, uint64_t now_ms);

#endif
