#include "place.h"

#include <math.h>
#include <string.h>

#include "base_hash.h"

/* Number of prompt tokens that an engine prefills per millisecond; the
   engines' data sheets specify 82 to 85. */
#define PROMPT_TOKENS_PER_MS 80.0
/* Delay that each running request adds, in milliseconds: it lengthens every
   step of the engine until the next event. */
#define RUNNING_COST_MS 1.5
/* Processing time of one request at a plain service, in milliseconds, as
   specified in the services' data sheets. */
#define PLAIN_REQUEST_MS 60.0
/* Cost of a target in another zone of the region, and in another region,
   in milliseconds: round trips, and paid traffic expressed as time. */
#define SAME_REGION_COST_MS 3.0
#define OTHER_REGION_COST_MS 60.0
/* The same for a request that needs a new connection: two round trips. */
#define OTHER_REGION_CONNECT_COST_MS 120.0
/* Cost of a target that another router passes requests on to: a new connection
   and the work of that router. */
#define RELAY_COST_MS 10.0
/* Cost of a recent failure: about the time that a retried request loses. */
#define FAILURE_COST_MS 400.0
#define FAILURE_HALF_LIFE_MS 3000.0
#define FAILURES_MAX 8.0
/* Amount by which each served request reduces the recent failures. */
#define FAILURES_PER_SERVED 0.34
/* Cost of a target that has stopped sending announcements. */
#define UNANNOUNCED_COST_MS 2000.0
#define AVOIDED_COST_MS 10000.0
/* Bonus of a limited target for which this router holds a permit: others can't
   use the permit until it has expired.  More than the cost of another region,
   and less than that of prefilling a long shared part again. */
#define PERMIT_BONUS_MS 75.0
/* Minimum and maximum delay of a new connection after a refused one. */
#define RECONNECT_DELAY_MIN_MS 250
#define RECONNECT_DELAY_MAX_MS 4000
/* Time for which a prompt part is assumed to stay in a target's memory
   after its last use: twice the shortest reuse window of the sites. */
#define PART_LIFETIME_MS 20000
#define REMEMBERED_PARTS_MAX 4096
/* Probability that another router has already made the first or second home of
   a prompt part prefill it. */
#define FIRST_HOME_PROBABILITY 0.9
#define SECOND_HOME_PROBABILITY 0.2
/* Cost of prefilling a shared part again relative to prefilling a new one:
   repeated prefill is paid for, and takes engine time from all requests at the
   target. */
#define REREAD_WEIGHT 6.0
/* Share of slots or memory in use above which a target counts as crowded,
   and the cost in milliseconds for each whole share (1.0) above it. */
#define CROWDED_SHARE 0.7
#define CROWDED_COST_MS 3000.0

void
place_load_init (struct place_load *load)
{
  memset (load, 0, sizeof *load);
  load->parts
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
}

void
place_load_clear (struct place_load *load)
{
  g_hash_table_unref (load->parts);
}

static bool
is_part_in_memory (const struct place_load *load, uint64_t id, uint64_t now_ms)
{
  const uint64_t *used_ms = g_hash_table_lookup (load->parts, &id);
  return used_ms && now_ms < *used_ms + PART_LIFETIME_MS;
}

/* Tokens of the leading prompt parts that this router's earlier requests made
   the target prefill. */
static uint32_t
already_read_tokens (const struct place_load *load,
                     const struct place_request *request, uint64_t now_ms)
{
  uint32_t tokens = 0;
  for (uint32_t i = 0; i < request->part_count; i++)
    {
      if (!is_part_in_memory (load, request->parts[i].id, now_ms))
        break;
      tokens += request->parts[i].tokens;
    }
  return MIN (tokens, request->prompt_tokens);
}

/* Prompt tokens of the request that the target would have to prefill, i.e.
   that are not in its KV cache. */
static uint32_t
unread_tokens (const struct place_candidate *candidate,
               const struct place_request *request, uint64_t now_ms)
{
  return request->prompt_tokens
         - already_read_tokens (candidate->load, request, now_ms);
}

/* Returns the longest prompt part that other requests share: the one before
   the last, which is the request's own. */
static const struct place_part *
shared_part (const struct place_request *request)
{
  return request->part_count >= 2 ? &request->parts[request->part_count - 2]
                                  : NULL;
}

static uint32_t
shared_tokens (const struct place_request *request)
{
  uint32_t tokens = 0;
  for (uint32_t i = 0; i + 1 < request->part_count; i++)
    tokens += request->parts[i].tokens;
  return MIN (tokens, request->prompt_tokens);
}

static uint64_t
home_rank (const char *name, uint64_t part)
{
  uint8_t digest[16];
  uint64_t rank;
  char text[192];
  int length
      = g_snprintf (text, sizeof text, "%016lx %s", (unsigned long)part, name);
  base_digest (digest, text, (size_t)length);
  memcpy (&rank, digest, sizeof rank);
  return rank;
}

/* Finds the two homes of the request's shared part: the targets of highest
   rendezvous rank, which every router prefers.  Sets an index to -1 when there
   is no such target. */
static void
find_homes (const struct place_candidate *candidates, uint32_t count,
            const struct place_request *request, int homes[2])
{
  uint64_t best[2] = { 0, 0 };
  const struct place_part *part = shared_part (request);
  homes[0] = homes[1] = -1;
  for (uint32_t i = 0; part && i < count; i++)
    {
      if (candidates[i].is_unannounced || candidates[i].is_avoided)
        continue;
      uint64_t rank = home_rank (candidates[i].name, part->id);
      if (homes[0] < 0 || rank > best[0])
        {
          homes[1] = homes[0];
          best[1] = best[0];
          homes[0] = (int)i;
          best[0] = rank;
        }
      else if (homes[1] < 0 || rank > best[1])
        {
          homes[1] = (int)i;
          best[1] = rank;
        }
    }
}

double
place_recent_failures (const struct place_load *load, uint64_t now_ms)
{
  double age_ms = now_ms > load->failures_at_ms
                      ? (double)(now_ms - load->failures_at_ms)
                      : 0.0;
  return load->recent_failures * exp2 (-age_ms / FAILURE_HALF_LIFE_MS);
}

static double
failure_cost (const struct place_candidate *candidate,
              const struct place_request *request, uint64_t now_ms)
{
  const struct place_load *load = candidate->load;
  return request->failure_cost_ms > 0
             ? place_rate_probability (&load->rate, now_ms)
                   * request->failure_cost_ms
             : place_recent_failures (load, now_ms) * FAILURE_COST_MS;
}

static double
common_cost (const struct place_candidate *candidate,
             const struct place_request *request, uint64_t now_ms)
{
  double cost = failure_cost (candidate, request, now_ms);
  if (candidate->distance == PLACE_SAME_REGION)
    cost += SAME_REGION_COST_MS;
  else if (candidate->distance == PLACE_OTHER_REGION)
    cost += request->failure_cost_ms > 0 ? OTHER_REGION_CONNECT_COST_MS
                                         : OTHER_REGION_COST_MS;
  if (candidate->is_relayed)
    cost += RELAY_COST_MS;
  if (candidate->is_unannounced)
    cost += UNANNOUNCED_COST_MS;
  if (candidate->is_avoided)
    cost += AVOIDED_COST_MS;
  if (candidate->has_permit)
    cost -= PERMIT_BONUS_MS;
  return cost;
}

/* Cost in milliseconds of a share of slots or memory in use. */
static double
crowded_cost (double share)
{
  return share > CROWDED_SHARE ? (share - CROWDED_SHARE) * CROWDED_COST_MS
                               : 0.0;
}

/* What this router's requests use at all candidates. */
struct use
{
  double targets;
  double running;
  double held_tokens;
};

static struct use
sum_use (const struct place_candidate *candidates, uint32_t count)
{
  struct use use = { .targets = count };
  for (uint32_t i = 0; i < count; i++)
    {
      use.running += candidates[i].load->running;
      use.held_tokens += (double)candidates[i].load->held_tokens;
    }
  return use;
}

/* Estimates which part of a use that all routers together have at all targets
   falls to one of them: the mean of the posterior distribution, given the own
   requests there, where all parts are equally likely before.  One request of a
   router with few says little about where the others' are. */
static double
estimate_part (double running, const struct use *use)
{
  return (running + 1.0) / (use->running + use->targets);
}

/* Cost of the slots and memory that the requests of all routers use at the
   target, when each uses as much in all as this one. */
static double
capacity_cost (const struct place_candidate *candidate,
               const struct place_request *request, const struct use *use)
{
  double routers = MAX (candidate->routers, 1);
  double part = estimate_part (candidate->load->running, use);
  double cost = 0.0;
  if (candidate->slots > 0)
    cost += crowded_cost (routers * use->running * part / candidate->slots);
  if (candidate->kv_tokens > 0)
    cost += crowded_cost ((routers * use->held_tokens * part
                           + request->prompt_tokens + request->output_tokens)
                          / (double)candidate->kv_tokens);
  return cost;
}

static double
engine_cost (const struct place_candidate *candidate,
             const struct place_request *request, double home_probability,
             const struct use *use, uint64_t now_ms)
{
  const struct place_load *load = candidate->load;
  double shared = shared_tokens (request);
  double already_read
      = MIN (already_read_tokens (load, request, now_ms), shared);
  double reread = shared - MAX (already_read, home_probability * shared);
  double unread = request->prompt_tokens - shared + reread * REREAD_WEIGHT
                  + (double)load->unread_tokens;
  return unread / PROMPT_TOKENS_PER_MS + load->running * RUNNING_COST_MS
         + capacity_cost (candidate, request, use);
}

static double
plain_cost (const struct place_candidate *candidate)
{
  uint32_t slots = MAX (candidate->slots, 1);
  double share = (double)candidate->load->running / slots;
  return share * PLAIN_REQUEST_MS;
}

int
place_choose (const struct place_candidate *candidates, uint32_t count,
              const struct place_request *request, uint64_t now_ms,
              uint64_t random)
{
  int homes[2];
  int best = -1;
  double best_cost = 0.0;
  const struct use use = sum_use (candidates, count);
  find_homes (candidates, count, request, homes);
  for (uint32_t i = 0; i < count; i++)
    {
      const struct place_candidate *candidate = &candidates[i];
      uint64_t usable_ms = candidate->is_relayed
                               ? candidate->held_until_ms
                               : candidate->load->reconnect_at_ms;
      if (now_ms < usable_ms)
        continue;
      double home_probability = (int)i == homes[0]   ? FIRST_HOME_PROBABILITY
                                : (int)i == homes[1] ? SECOND_HOME_PROBABILITY
                                                     : 0.0;
      double cost = common_cost (candidate, request, now_ms);
      if (request->is_engine)
        cost += engine_cost (candidate, request, home_probability, &use,
                             now_ms);
      else
        cost += plain_cost (candidate);
      random = random * 6364136223846793005u + 1442695040888963407u;
      cost += (double)(random >> 40) / (double)(1u << 24);
      if (best < 0 || cost < best_cost)
        {
          best = (int)i;
          best_cost = cost;
        }
    }
  return best;
}

static gboolean
is_part_expired (gpointer id, gpointer value, gpointer context)
{
  (void)id;
  return *(uint64_t *)value + PART_LIFETIME_MS <= *(uint64_t *)context;
}

static void
remember_parts (struct place_load *load, const struct place_request *request,
                uint64_t now_ms)
{
  if (g_hash_table_size (load->parts) > REMEMBERED_PARTS_MAX)
    g_hash_table_foreach_remove (load->parts, is_part_expired, &now_ms);
  if (g_hash_table_size (load->parts) > REMEMBERED_PARTS_MAX)
    g_hash_table_remove_all (load->parts);
  for (uint32_t i = 0; i < request->part_count; i++)
    {
      uint64_t *id = g_new (uint64_t, 1);
      uint64_t *used_ms = g_new (uint64_t, 1);
      *id = request->parts[i].id;
      *used_ms = now_ms;
      g_hash_table_replace (load->parts, id, used_ms);
    }
}

uint32_t
place_note_sent (const struct place_candidate *candidate,
                 const struct place_request *request, uint64_t now_ms)
{
  struct place_load *load = candidate->load;
  uint32_t unread = unread_tokens (candidate, request, now_ms);
  load->running++;
  load->unread_tokens += unread;
  load->held_tokens += request->prompt_tokens + request->output_tokens;
  if (request->is_engine)
    remember_parts (load, request, now_ms);
  return unread;
}

void
place_note_response (struct place_load *load, uint32_t unread_tokens)
{
  load->unread_tokens -= MIN (load->unread_tokens, unread_tokens);
}

void
place_note_end (struct place_load *load, const struct place_request *request)
{
  uint64_t request_tokens = request->prompt_tokens + request->output_tokens;
  load->running -= load->running > 0;
  load->held_tokens -= MIN (load->held_tokens, request_tokens);
}

void
place_note_failure (struct place_load *load, uint64_t now_ms)
{
  load->recent_failures
      = MIN (place_recent_failures (load, now_ms) + 1.0, FAILURES_MAX);
  load->failures_at_ms = now_ms;
  place_rate_note (&load->rate, true, now_ms);
}

void
place_note_success (struct place_load *load, uint64_t now_ms)
{
  load->recent_failures
      = MAX (place_recent_failures (load, now_ms) - FAILURES_PER_SERVED, 0.0);
  load->failures_at_ms = now_ms;
  place_rate_note (&load->rate, false, now_ms);
  load->refused_connections = 0;
  load->reconnect_at_ms = 0;
}

void
place_note_refused_connection (struct place_load *load, uint64_t now_ms)
{
  uint32_t doublings = MIN (load->refused_connections, 8);
  uint64_t delay_ms = MIN ((uint64_t)RECONNECT_DELAY_MIN_MS << doublings,
                           (uint64_t)RECONNECT_DELAY_MAX_MS);
  load->refused_connections++;
  load->reconnect_at_ms = now_ms + delay_ms;
  place_note_failure (load, now_ms);
}
