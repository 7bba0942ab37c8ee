#include "pick.h"

#include <stddef.h>
#include <string.h>

#include "pick_estimate.h"

/* Affinity yields where the preferred target's load is above this multiple of
   the mean, plus a little for loads near 0. */
#define BOUND_FACTOR 1.25
#define BOUND_MARGIN 0.05
/* Most targets weighed for one request. */
#define CANDIDATES_MAX 1024

/* How near a group of targets is. */
enum pick_tier
{
  PICK_TIER_ZONE,
  PICK_TIER_REGION,
  PICK_TIER_OTHER,
  PICK_TIER_COUNT
};

/* Targets of one tier that may get the request. */
struct pick_candidates
{
  uint32_t count;
  /* Whether a target was seen that is full or held. */
  bool full_seen;
  const struct registry_target *targets[CANDIDATES_MAX];
};

static enum pick_tier
tier_of (const struct registry_group *group,
         const struct pick_request *request)
{
  if (strcmp (group->region, request->region) != 0)
    return PICK_TIER_OTHER;
  if (strcmp (group->availability_zone, request->availability_zone) != 0)
    return PICK_TIER_REGION;
  return PICK_TIER_ZONE;
}

static void
add_group (struct pick_candidates *candidates,
           const struct registry_view *view,
           const struct registry_group *group,
           const struct pick_request *request)
{
  const struct registry_target *first = view->targets + group->first;
  for (uint32_t i = 0; i < group->count; i++)
    {
      enum pick_state state = pick_state_of (&first[i], request);
      candidates->full_seen |= state == PICK_STATE_FULL;
      if (state == PICK_STATE_FREE && candidates->count < CANDIDATES_MAX)
        candidates->targets[candidates->count++] = &first[i];
    }
}

static void
add_tier (struct pick_candidates *candidates, const struct registry_view *view,
          enum pick_tier tier, const struct pick_request *request)
{
  for (size_t i = 0; i < view->group_count; i++)
    if (tier_of (&view->groups[i], request) == tier)
      add_group (candidates, view, &view->groups[i], request);
}

static uint32_t
two_choices (const struct pick_candidates *candidates,
             struct base_random *random)
{
  uint32_t first = (uint32_t)base_random_below (random, candidates->count);
  uint32_t second
      = (uint32_t)base_random_below (random, candidates->count - 1);
  if (candidates->count == 1)
    return 0;
  second += second >= first;
  double first_load = pick_estimate_load (candidates->targets[first]);
  double second_load = pick_estimate_load (candidates->targets[second]);
  return second_load < first_load ? second : first;
}

/* Rendezvous weight of a target for a prefix. */
static uint64_t
affinity (uint64_t prefix_hash, const struct registry_target *target)
{
  struct base_random mix = { prefix_hash ^ target->target_hash };
  return base_random_next (&mix);
}

/* The target of highest rendezvous weight among those under the bound. */
static uint32_t
preferred (const struct pick_candidates *candidates, uint64_t prefix_hash)
{
  double sum = 0;
  uint32_t best = 0;
  uint64_t best_weight = 0;
  for (uint32_t i = 0; i < candidates->count; i++)
    sum += pick_estimate_load (candidates->targets[i]);
  double bound = BOUND_FACTOR * sum / candidates->count + BOUND_MARGIN;
  for (uint32_t i = 0; i < candidates->count; i++)
    {
      uint64_t weight = affinity (prefix_hash, candidates->targets[i]);
      if (weight < best_weight
          || pick_estimate_load (candidates->targets[i]) > bound)
        continue;
      best = i;
      best_weight = weight;
    }
  return best;
}

static uint32_t
least_reported (const struct pick_candidates *candidates)
{
  uint32_t best = 0;
  for (uint32_t i = 1; i < candidates->count; i++)
    if (pick_reported_load (candidates->targets[i])
        < pick_reported_load (candidates->targets[best]))
      best = i;
  return best;
}

/* Index of the chosen candidate; there is at least one. */
static uint32_t
choose (enum pick_policy policy, const struct pick_candidates *candidates,
        const struct pick_request *request, struct base_random *random)
{
  switch (policy)
    {
    case PICK_RANDOM:
      return (uint32_t)base_random_below (random, candidates->count);
    case PICK_ROUND_ROBIN:
      return (uint32_t)(random->state++ % candidates->count);
    case PICK_LEAST_REPORTED:
      return least_reported (candidates);
    case PICK_TWO_CHOICES_AFFINITY:
      if (request->prefix_hash != 0)
        return preferred (candidates, request->prefix_hash);
      return two_choices (candidates, random);
    case PICK_TWO_CHOICES:
    default:
      return two_choices (candidates, random);
    }
}

/* Chooses among the candidates until one can be claimed; NULL when none. */
static const struct registry_target *
claim (enum pick_policy policy, struct pick_candidates *candidates,
       const struct pick_request *request, struct base_random *random)
{
  while (candidates->count > 0)
    {
      uint32_t index = choose (policy, candidates, request, random);
      const struct registry_target *target = candidates->targets[index];
      if (pick_claim_probe (target->load, request->now_ms))
        return target;
      candidates->full_seen = true;
      candidates->targets[index] = candidates->targets[--candidates->count];
    }
  return NULL;
}

static enum pick_outcome
pick_near_to_far (enum pick_policy policy, const struct registry_view *view,
                  const struct pick_request *request,
                  struct base_random *random,
                  const struct registry_target **chosen)
{
  struct pick_candidates candidates;
  candidates.full_seen = false;
  for (enum pick_tier tier = PICK_TIER_ZONE; tier < PICK_TIER_COUNT; tier++)
    {
      if (tier == PICK_TIER_OTHER && !request->cross_region)
        break;
      candidates.count = 0;
      add_tier (&candidates, view, tier, request);
      *chosen = claim (policy, &candidates, request, random);
      if (*chosen)
        return PICK_FOUND;
    }
  return candidates.full_seen ? PICK_BUSY : PICK_NONE;
}

enum pick_outcome
pick_target (enum pick_policy policy, const struct registry_view *view,
             const struct pick_request *request, struct base_random *random,
             const struct registry_target **chosen)
{
  *chosen = NULL;
  if (!view)
    return PICK_NONE;
  enum pick_outcome outcome
      = pick_near_to_far (policy, view, request, random, chosen);
  if (outcome != PICK_NONE || request->avoid_count == 0)
    return outcome;
  struct pick_request any = *request;
  any.avoid_count = 0;
  return pick_near_to_far (policy, view, &any, random, chosen);
}
