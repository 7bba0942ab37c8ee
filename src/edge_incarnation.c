#include "edge_incarnation.h"

#include <inttypes.h>

#include "base_event.h"

/* Low bits of a number that are drawn. */
#define CHANCE_BITS 10

void
edge_incarnation_begin (struct edge_incarnation *run, uint64_t wall_ms,
                        uint64_t chance)
{
  run->incarnation
      = wall_ms << CHANCE_BITS | (chance & ((1u << CHANCE_BITS) - 1));
  run->is_known = false;
}

bool
edge_incarnation_handle_result (struct edge_incarnation *run,
                                const struct control_lease_result *result)
{
  if (result->answer.status == CONTROL_OK)
    {
      run->is_known = true;
      return true;
    }
  if (result->answer.status == CONTROL_FENCED && !run->is_known
      && result->router_incarnation >= run->incarnation)
    {
      base_event ("run-renumbered incarnation=%" PRIu64 " latest=%" PRIu64,
                  run->incarnation, (uint64_t)result->router_incarnation);
      run->incarnation = result->router_incarnation + 1;
    }
  return false;
}
