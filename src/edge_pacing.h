#ifndef EDGE_PACING_H
#define EDGE_PACING_H

/** @file
 *  What a target says of itself in its responses, and how much of this
 * router's requests it therefore gets: none while it rests or once it leaves,
 * and few at a time after a rest or while it is brittle.  Ends with the
 * target's incarnation.  Does no I/O. */

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
  /** End of the rest that it asked for, in milliseconds; 0 for none. */
  uint64_t rest_until_ms;
};

/** What a response changed. */
enum edge_pacing_change
{
  EDGE_PACING_LEAVES = 1,
  EDGE_PACING_BRITTLE = 2,
  EDGE_PACING_RESTS = 4
};

/** Takes note of the head of a response.  Returns what changed, as a set of
 *  enum edge_pacing_change. */
uint32_t edge_pacing_note_head (struct edge_pacing *pacing,
                                const struct edge_target_response *response,
                                uint64_t now_ms);

#endif
