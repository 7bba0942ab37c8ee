#ifndef EDGE_PACING_H
#define EDGE_PACING_H

/** @file
 *  What a target says of itself in its responses, and how much of this
 * router's requests it therefore gets: few at a time while it is brittle. Ends
 * with the target's incarnation.  Does no I/O. */

#include <stdbool.h>
#include <stdint.h>

#include "edge_dialect.h"

/** What a target said; all zero before its first response. */
struct edge_pacing
{
  bool is_leaving;
  /** The target falls over when it turns away more than rejections_per_s. */
  bool is_brittle;
  uint32_t rejections_per_s;
  /** Time of the last response that said whether it is brittle. */
  uint64_t stated_ms;
  /** End of the rest that it asked for, or that it needs after a rejection, in
   *  milliseconds; 0 for none. */
  uint64_t rest_until_ms;
  /** Requests that may run at a time since the last rest; 0: any number. */
  uint32_t window;
};

/** Requests that run at a target at a time after a rest; it doubles with each
 *  one that the target takes, until any number may run. */
#define EDGE_PACING_FIRST_WINDOW 1

/** What a response changed. */
enum edge_pacing_change
{
  EDGE_PACING_LEAVES = 1,
  EDGE_PACING_BRITTLE = 2,
  EDGE_PACING_RESTS = 4
};

/** This router's part of a target that all routers use. */
struct edge_pacing_part
{
  /** Requests that run at the target at a time. */
  uint32_t slots;
  /** Weight of this router's demand, and the sum of all routers' weights. */
  uint64_t weight;
  uint64_t weights;
  /** Slots left when each router has its part rounded down, which go to the
   *  first routers in an order that all know and that differs by target; and
   *  how many routers come before this one in it. */
  uint32_t left_over;
  uint32_t rank;
};

/** Takes note of the head of a response; a rest that it asks for is lengthened
 *  by up to a tenth, by @p random, so that routers don't come back together.
 *  Returns what changed, as a set of enum edge_pacing_change. */
uint32_t edge_pacing_note_head (struct edge_pacing *pacing,
                                const struct edge_target_response *response,
                                uint64_t now_ms, uint64_t random);
/** Returns how many requests of this router may run at the target. */
uint32_t edge_pacing_window (const struct edge_pacing *pacing);
/** Returns whether the target said so little or so long ago that what other
 *  targets of its service say counts for it as well. */
bool edge_pacing_is_stale (const struct edge_pacing *pacing, uint64_t now_ms);
/** Returns the part of a router with this weight, rounded down. */
uint32_t edge_pacing_round_part (uint32_t slots, uint64_t weight,
                                 uint64_t weights);
/** Returns how many requests of this router may run at a brittle target: all
 *  routers together fill its slots and let hardly any wait. */
uint32_t edge_pacing_brittle_window (const struct edge_pacing_part *part);
/** Notes that a brittle target turned a request away: this router waits until
 *  the target has forgotten that, the longer the more routers may have been
 *  turned away with it. */
void edge_pacing_note_rejection (struct edge_pacing *pacing, uint32_t routers,
                                 uint64_t now_ms);
/** Returns how long the target wants no request, in milliseconds. */
uint64_t edge_pacing_rest_left_ms (const struct edge_pacing *pacing,
                                   uint64_t now_ms);

#endif
