#ifndef PICK_H
#define PICK_H

/** @file
 *  Chooses a target of a router's registry view for one request.  No I/O
 *  and no locks. */

#include <stdbool.h>
#include <stdint.h>

#include "base_random.h"
#include "registry.h"

/** Policies for choosing a target.  All but PICK_TWO_CHOICES_AFFINITY are
 *  baselines for benchmarks. */
enum pick_policy
{
  /** The less loaded of two random targets, by the load corrected for the age
   *  of the reports; the targets that rendezvous hashing prefers for the
   *  prompt's prefix are tried first, as long as their load is below a
   *  multiple of the mean load. */
  PICK_TWO_CHOICES_AFFINITY,
  PICK_TWO_CHOICES,
  PICK_RANDOM,
  PICK_ROUND_ROBIN,
  PICK_LEAST_REPORTED
};

/** Requirements of a request on its target. */
struct pick_request
{
  const char *availability_zone;
  const char *region;
  /** Whether targets of other regions may be used (service rule and link
   *  budget). */
  bool cross_region;
  /** Hash of the prompt's prefix, or 0 for none. */
  uint64_t prefix_hash;
  /** Maximum number of this router's requests that are open at one target; 0
   *  for the number of the target's slots. */
  uint32_t target_limit;
  /** Share of that limit that the request's class may use, in percent. */
  uint32_t slot_percent;
  /** Names of targets that already failed this request; used only if no
   *  other target is available. */
  const char *const *avoid;
  uint32_t avoid_count;
  uint64_t now_ms;
  /** Rank of this router among the routers of its zone (see gossip_zone_rank),
   *  and their number, 0 if unknown.  Each router first uses its own partition
   *  of the zone's targets: few other routers send requests to these targets,
   *  so it knows their load without delay. */
  uint32_t router_rank;
  uint32_t router_count;
};

/** Result of a choice. */
enum pick_outcome
{
  PICK_FOUND,
  /** Every usable target is at its limit or in backoff, so the request has to
   *  wait. */
  PICK_BUSY,
  /** No live target may be used. */
  PICK_NONE
};

/** Chooses a target of @p view, first in this router's zone, then in its
 *  region, then in other regions.  On PICK_FOUND, @p chosen is set, and the
 *  caller counts the request with pick_acquire. */
enum pick_outcome pick_target (enum pick_policy policy,
                               const struct registry_view *view,
                               const struct pick_request *request,
                               struct base_random *random,
                               const struct registry_target **chosen);
/** After a backoff one request may probe the target.  Returns true when the
 *  caller may send it, false during the backoff or when another request is the
 *  probe.  Always returns true for a target without recent failures.
 *  pick_target has already called this for the target that it chooses. */
bool pick_claim_probe (struct registry_load *load, uint64_t now_ms);
/** Reports the first byte of a response.  A target that was being probed is
 *  available again immediately, before the response ends. */
void pick_note_success (struct registry_load *load);
/** Counts a request as sent to the target. */
void pick_acquire (struct registry_load *load);
/** Counts the request as ended; @p failed puts the target into backoff for
 *  an exponentially growing time. */
void pick_release (struct registry_load *load, bool failed, uint64_t now_ms);

#endif
