#include "pick.h"

#include <stddef.h>
#include <string.h>

#include "pick_estimate.h"

/* A preferred target is used only up to this multiple of the mean load
   plus the margin, which matters at loads near 0. */
#define LOAD_BOUND_FACTOR 1.25
#define LOAD_BOUND_MARGIN 0.05
/* Load at which the probability of choosing a preferred target reaches 0. */
#define AFFINITY_LOAD_MAX 0.9
/* Load up to which the router's own partition of the targets is tried
   first. */
#define OWN_PARTITION_LOAD_MAX 0.99
/* Number of targets that a prefix prefers; they are tried by descending
   rendezvous weight. */
#define PREFERRED_MAX 3
/* Number of random pairs tried before all targets are examined. */
#define SAMPLE_TRIALS_MAX 3
/* Maximum number of availability zones in one tier. */
#define GROUPS_MAX 16
/* Maximum number of targets compared for one request. */
#define CANDIDATES_MAX 1024

/* Distance of a group of targets from the router. */
enum pick_tier
{
  PICK_TIER_ZONE,
  PICK_TIER_REGION,
  PICK_TIER_OTHER,
  PICK_TIER_COUNT
};

/* Groups of targets of one tier. */
struct pick_tier_targets
{
  const struct registry_view *view;
  uint32_t group_count;
  uint32_t count;
  double reported_load;
  const struct registry_group *groups[GROUPS_MAX];
};

/* The targets with the highest rendezvous weights for a prefix, in
   descending order. */
struct pick_preferred
{
  uint32_t count;
  uint64_t weights[PREFERRED_MAX];
  uint32_t indexes[PREFERRED_MAX];
};

/* Targets of one tier that may be sent the request. */
struct pick_candidates
{
  uint32_t count;
  /* Whether some target was full or in backoff. */
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
collect_tier (struct pick_tier_targets *tier, const struct registry_view *view,
              enum pick_tier distance, const struct pick_request *request)
{
  tier->view = view;
  tier->group_count = 0;
  tier->count = 0;
  tier->reported_load = 0;
  for (size_t i = 0; i < view->group_count; i++)
    {
      const struct registry_group *group = &view->groups[i];
      if (tier->group_count == GROUPS_MAX
          || tier_of (group, request) != distance)
        continue;
      tier->groups[tier->group_count++] = group;
      tier->count += group->count;
      tier->reported_load += group->reported_load;
    }
}

/* The target at @p index of the tier, which must not be empty. */
static const struct registry_target *
target_at (const struct pick_tier_targets *tier, uint32_t index)
{
  for (uint32_t i = 0; i < tier->group_count; i++)
    {
      const struct registry_group *group = tier->groups[i];
      if (index < group->count)
        return &tier->view->targets[group->first + index];
      index -= group->count;
    }
  return tier->view->targets;
}

/* Returns the target if the request may be sent there now, else NULL. */
static const struct registry_target *
free_or_null (const struct registry_target *target,
              const struct pick_request *request)
{
  return pick_state_of (target, request) == PICK_STATE_FREE ? target : NULL;
}

static const struct registry_target *
less_loaded (const struct registry_target *left,
             const struct registry_target *right)
{
  if (!left || !right)
    return left ? left : right;
  return pick_estimate_load (right) < pick_estimate_load (left) ? right : left;
}

/* Returns the less loaded target of a random pair, or NULL when no sampled
   target was free. */
static const struct registry_target *
search_sample (const struct pick_tier_targets *tier,
               const struct pick_request *request, struct base_random *random)
{
  for (int trial = 0; trial < SAMPLE_TRIALS_MAX; trial++)
    {
      uint32_t first = (uint32_t)base_random_below (random, tier->count);
      uint32_t second = (uint32_t)base_random_below (random, tier->count - 1);
      second += second >= first && tier->count > 1;
      const struct registry_target *target
          = less_loaded (free_or_null (target_at (tier, first), request),
                         free_or_null (target_at (tier, second), request));
      if (target && pick_claim_probe (target->load, request->now_ms))
        return target;
    }
  return NULL;
}

/* Returns the least loaded target of this router's own partition of the zone,
   or NULL. Few other routers send requests to the partition, so the estimated
   load is accurate. */
static const struct registry_target *
search_own_partition (const struct pick_tier_targets *tier,
                      const struct pick_request *request)
{
  const struct registry_target *best = NULL;
  if (request->router_count == 0 || request->router_count > tier->count)
    return NULL;
  for (uint32_t i = request->router_rank; i < tier->count;
       i += request->router_count)
    best = less_loaded (best, free_or_null (target_at (tier, i), request));
  if (!best || pick_estimate_load (best) > OWN_PARTITION_LOAD_MAX)
    return NULL;
  return pick_claim_probe (best->load, request->now_ms) ? best : NULL;
}

/* Rendezvous weight of a target for a prefix. */
static uint64_t
rendezvous_weight (uint64_t prefix_hash, uint64_t target_hash)
{
  struct base_random mix = { prefix_hash ^ target_hash };
  return base_random_next (&mix);
}

/* Inserts a target, keeping the weights in descending order. */
static void
insert_preferred (struct pick_preferred *preferred, uint64_t weight,
                  uint32_t index)
{
  uint32_t position = preferred->count;
  if (position == PREFERRED_MAX)
    position--;
  else
    preferred->count++;
  for (; position > 0 && preferred->weights[position - 1] < weight; position--)
    {
      preferred->weights[position] = preferred->weights[position - 1];
      preferred->indexes[position] = preferred->indexes[position - 1];
    }
  preferred->weights[position] = weight;
  preferred->indexes[position] = index;
}

/* Finds the targets with the highest rendezvous weights for the prefix. */
static void
find_preferred (struct pick_preferred *preferred,
                const struct pick_tier_targets *tier, uint64_t prefix_hash)
{
  preferred->count = 0;
  for (uint32_t i = 0; i < tier->group_count; i++)
    {
      const struct registry_group *group = tier->groups[i];
      for (uint32_t j = group->first; j < group->first + group->count; j++)
        {
          uint64_t weight
              = rendezvous_weight (prefix_hash, tier->view->hashes[j]);
          if (preferred->count < PREFERRED_MAX
              || weight > preferred->weights[PREFERRED_MAX - 1])
            insert_preferred (preferred, weight, j);
        }
    }
}

/* Whether a preferred target of this load may be chosen.  The probability
   falls with the load, because all routers prefer the same targets for a
   prefix, and this router doesn't know what the others sent since the last
   report. */
static bool
allow_affinity (double load, double bound, struct base_random *random)
{
  return load <= bound
         && base_random_unit (random) < 1 - load / AFFINITY_LOAD_MAX;
}

/* Returns the first preferred target that is free and not overloaded, or
   NULL. */
static const struct registry_target *
search_preferred (const struct pick_tier_targets *tier,
                  const struct pick_request *request,
                  struct base_random *random)
{
  struct pick_preferred preferred;
  double bound = LOAD_BOUND_FACTOR * tier->reported_load / tier->count
                 + LOAD_BOUND_MARGIN;
  find_preferred (&preferred, tier, request->prefix_hash);
  for (uint32_t i = 0; i < preferred.count; i++)
    {
      const struct registry_target *target
          = &tier->view->targets[preferred.indexes[i]];
      if (free_or_null (target, request)
          && allow_affinity (pick_estimate_load (target), bound, random)
          && pick_claim_probe (target->load, request->now_ms))
        return target;
    }
  return NULL;
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

/* Index of the chosen candidate; there must be at least one. */
static uint32_t
choose_candidate (enum pick_policy policy,
                  const struct pick_candidates *candidates,
                  struct base_random *random)
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
    case PICK_TWO_CHOICES:
    default:
      return two_choices (candidates, random);
    }
}

/* Chooses among the candidates until one is free or its probe can be claimed.
   Returns NULL when no candidate remains. */
static const struct registry_target *
choose_and_claim (enum pick_policy policy, struct pick_candidates *candidates,
                  const struct pick_request *request,
                  struct base_random *random)
{
  while (candidates->count > 0)
    {
      uint32_t index = choose_candidate (policy, candidates, random);
      const struct registry_target *target = candidates->targets[index];
      if (pick_claim_probe (target->load, request->now_ms))
        return target;
      candidates->full_seen = true;
      candidates->targets[index] = candidates->targets[--candidates->count];
    }
  return NULL;
}

/* Examines every target of the tier. */
static const struct registry_target *
search_all (enum pick_policy policy, const struct pick_tier_targets *tier,
            const struct pick_request *request, struct base_random *random,
            bool *full_seen)
{
  struct pick_candidates candidates;
  candidates.count = 0;
  candidates.full_seen = false;
  for (uint32_t i = 0; i < tier->group_count; i++)
    add_group (&candidates, tier->view, tier->groups[i], request);
  const struct registry_target *target
      = choose_and_claim (policy, &candidates, request, random);
  *full_seen |= candidates.full_seen;
  return target;
}

/* Searches the tier in the order of the policy, and finally examines all of
   its targets. */
static const struct registry_target *
search_tier (enum pick_policy policy, enum pick_tier distance,
             const struct pick_tier_targets *tier,
             const struct pick_request *request, struct base_random *random,
             bool *full_seen)
{
  const struct registry_target *target = NULL;
  if (policy == PICK_TWO_CHOICES_AFFINITY && request->prefix_hash != 0)
    target = search_preferred (tier, request, random);
  if (!target && policy <= PICK_TWO_CHOICES && distance == PICK_TIER_ZONE)
    target = search_own_partition (tier, request);
  if (!target && policy <= PICK_TWO_CHOICES)
    target = search_sample (tier, request, random);
  if (!target)
    target = search_all (policy, tier, request, random, full_seen);
  return target;
}

static enum pick_outcome
pick_by_distance (enum pick_policy policy, const struct registry_view *view,
                  const struct pick_request *request,
                  struct base_random *random,
                  const struct registry_target **chosen)
{
  bool full_seen = false;
  for (enum pick_tier distance = PICK_TIER_ZONE; distance < PICK_TIER_COUNT;
       distance++)
    {
      struct pick_tier_targets tier;
      if (distance == PICK_TIER_OTHER && !request->cross_region)
        break;
      collect_tier (&tier, view, distance, request);
      if (tier.count == 0)
        continue;
      *chosen
          = search_tier (policy, distance, &tier, request, random, &full_seen);
      if (*chosen)
        return PICK_FOUND;
    }
  return full_seen ? PICK_BUSY : PICK_NONE;
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
      = pick_by_distance (policy, view, request, random, chosen);
  if (outcome != PICK_NONE || request->avoid_count == 0)
    return outcome;
  struct pick_request without_avoided = *request;
  without_avoided.avoid_count = 0;
  return pick_by_distance (policy, view, &without_avoided, random, chosen);
}
