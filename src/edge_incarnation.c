#include "edge_incarnation.h"

#include <inttypes.h>

#include "base_event.h"

/* Number of random low bits in an incarnation number. */
#define RANDOM_BITS 10

void
edge_incarnation_begin (struct edge_incarnation *self, uint64_t wall_ms,
                        uint64_t random)
{
  self->number = wall_ms << RANDOM_BITS | (random & ((1u << RANDOM_BITS) - 1));
  self->is_accepted = false;
}

bool
edge_incarnation_handle_result (struct edge_incarnation *self,
                                const struct control_lease_result *result)
{
  if (result->answer.status == CONTROL_OK)
    {
      self->is_accepted = true;
      return true;
    }
  if (result->answer.status == CONTROL_FENCED && !self->is_accepted
      && result->router_incarnation >= self->number)
    {
      base_event ("run-renumbered incarnation=%" PRIu64 " latest=%" PRIu64,
                  self->number, (uint64_t)result->router_incarnation);
      self->number = result->router_incarnation + 1;
    }
  return false;
}
