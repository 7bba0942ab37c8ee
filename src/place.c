#include "place.h"

#include <math.h>
#include <string.h>

#include "base_hash.h"

/* Prompt tokens that an engine reads in a millisecond; the engines' data
   sheets say 82 to 85. */
#define READ_TOKENS_PER_MS 80.0
/* Delay by one more running request, in milliseconds: the engines' longer
   step, over the steps to the next event. */
#define RUNNING_COST_MS 1.5
/* Work of one call at a plain service, in milliseconds, as the services'
   sheets have it. */
#define PLAIN_CALL_MS 60.0
/* Round trips and paid traffic, as time. */
#define REGION_COST_MS 3.0
#define FAR_COST_MS 60.0
/* Cost of a recent fault: about what a repeated request loses. */
#define FAULT_COST_MS 400.0
#define FAULT_HALF_LIFE_MS 3000.0
#define FAULTS_MAX 8.0
/* Part of a fault that a served request makes up for. */
#define SERVED_RELIEF 0.34
/* Cost of a target that no longer announces itself. */
#define SILENT_COST_MS 2000.0
#define AVOIDED_COST_MS 10000.0
/* First and longest time without a new connection after a refused one. */
#define HOLD_FIRST_MS 250
#define HOLD_LONGEST_MS 4000
/* Time for which a part that was read is taken to stay in memory: twice the
   shortest reuse window of the sites. */
#define PART_LIFE_MS 20000
#define PARTS_MAX 4096
/* Chance that another router made the home of a part read it, for the first
   and the second home. */
#define FIRST_HOME_SHARE 0.9
#define SECOND_HOME_SHARE 0.2
/* Weight of reading a shared part again against reading a new one: it is paid
   for, and takes the engine's time from all its requests. */
#define REREAD_WEIGHT 6.0
/* Share of slots or memory above which a target counts as crowded, and the
   cost of all of it. */
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
holds_part (const struct place_load *load, uint64_t id, uint64_t now_ms)
{
  const uint64_t *used_ms = g_hash_table_lookup (load->parts, &id);
  return used_ms && now_ms < *used_ms + PART_LIFE_MS;
}

/* Tokens of the leading parts that this router made the target read. */
static uint32_t
read_tokens (const struct place_load *load, const struct place_request *call,
             uint64_t now_ms)
{
  uint32_t tokens = 0;
  for (uint32_t i = 0; i < call->part_count; i++)
    {
      if (!holds_part (load, call->parts[i].id, now_ms))
        break;
      tokens += call->parts[i].tokens;
    }
  return MIN (tokens, call->prompt_tokens);
}

/* Prompt tokens of the call that the target would have to read. */
static uint32_t
unread_tokens (const struct place_candidate *candidate,
               const struct place_request *call, uint64_t now_ms)
{
  return call->prompt_tokens - read_tokens (candidate->load, call, now_ms);
}

/* The last part is the request's own; the one before it is the longest that
   others share. */
static const struct place_part *
shared_part (const struct place_request *call)
{
  return call->part_count >= 2 ? &call->parts[call->part_count - 2] : NULL;
}

static uint32_t
shared_tokens (const struct place_request *call)
{
  uint32_t tokens = 0;
  for (uint32_t i = 0; i + 1 < call->part_count; i++)
    tokens += call->parts[i].tokens;
  return MIN (tokens, call->prompt_tokens);
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

/* The two homes of the call's shared part. */
static void
find_homes (const struct place_candidate *candidates, uint32_t count,
            const struct place_request *call, int homes[2])
{
  uint64_t best[2] = { 0, 0 };
  const struct place_part *part = shared_part (call);
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
  return load->faults * exp2 (-age_ms / FAULT_HALF_LIFE_MS);
}

static double
common_cost (const struct place_candidate *candidate, uint64_t now_ms)
{
  double cost
      = place_recent_failures (candidate->load, now_ms) * FAULT_COST_MS;
  if (candidate->distance == PLACE_SAME_REGION)
    cost += REGION_COST_MS;
  else if (candidate->distance == PLACE_OTHER_REGION)
    cost += FAR_COST_MS;
  if (candidate->is_unannounced)
    cost += SILENT_COST_MS;
  if (candidate->is_avoided)
    cost += AVOIDED_COST_MS;
  return cost;
}

/* Cost of a share of slots or memory in use. */
static double
crowded_cost (double share)
{
  return share > CROWDED_SHARE ? (share - CROWDED_SHARE) * CROWDED_COST_MS
                               : 0.0;
}

/* Slots and memory that all routers' requests take there, by this one's. */
static double
capacity_cost (const struct place_candidate *candidate,
               const struct place_request *call)
{
  const struct place_load *load = candidate->load;
  double routers = MAX (candidate->routers, 1);
  double cost = 0.0;
  if (candidate->slots > 0)
    cost += crowded_cost (routers * load->running / candidate->slots);
  if (candidate->kv_tokens > 0)
    cost += crowded_cost ((routers * (double)load->held_tokens
                           + call->prompt_tokens + call->output_tokens)
                          / (double)candidate->kv_tokens);
  return cost;
}

static double
engine_cost (const struct place_candidate *candidate,
             const struct place_request *call, double home_share,
             uint64_t now_ms)
{
  const struct place_load *load = candidate->load;
  double shared = shared_tokens (call);
  double kept = MIN (read_tokens (load, call, now_ms), shared);
  double again = shared - MAX (kept, home_share * shared);
  double unread = call->prompt_tokens - shared + again * REREAD_WEIGHT
                  + (double)load->unread_tokens;
  return unread / READ_TOKENS_PER_MS + load->running * RUNNING_COST_MS
         + capacity_cost (candidate, call);
}

static double
plain_cost (const struct place_candidate *candidate)
{
  uint32_t slots = MAX (candidate->slots, 1);
  double share = (double)candidate->load->running / slots;
  return share * PLAIN_CALL_MS;
}

int
place_choose (const struct place_candidate *candidates, uint32_t count,
              const struct place_request *call, uint64_t now_ms,
              uint64_t random)
{
  int homes[2];
  int best = -1;
  double best_cost = 0.0;
  find_homes (candidates, count, call, homes);
  for (uint32_t i = 0; i < count; i++)
    {
      const struct place_candidate *candidate = &candidates[i];
      if (now_ms < candidate->load->reconnect_at_ms)
        continue;
      double home_share = (int)i == homes[0]   ? FIRST_HOME_SHARE
                          : (int)i == homes[1] ? SECOND_HOME_SHARE
                                               : 0.0;
      double cost = common_cost (candidate, now_ms);
      if (call->is_engine)
        cost += engine_cost (candidate, call, home_share, now_ms);
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
is_stale (gpointer id, gpointer value, gpointer context)
{
  (void)id;
  return *(uint64_t *)value + PART_LIFE_MS <= *(uint64_t *)context;
}

static void
note_parts (struct place_load *load, const struct place_request *call,
            uint64_t now_ms)
{
  if (g_hash_table_size (load->parts) > PARTS_MAX)
    g_hash_table_foreach_remove (load->parts, is_stale, &now_ms);
  if (g_hash_table_size (load->parts) > PARTS_MAX)
    g_hash_table_remove_all (load->parts);
  for (uint32_t i = 0; i < call->part_count; i++)
    {
      uint64_t *id = g_new (uint64_t, 1);
      uint64_t *used_ms = g_new (uint64_t, 1);
      *id = call->parts[i].id;
      *used_ms = now_ms;
      g_hash_table_replace (load->parts, id, used_ms);
    }
}

uint32_t
place_sent (const struct place_candidate *candidate,
            const struct place_request *call, uint64_t now_ms)
{
  struct place_load *load = candidate->load;
  uint32_t unread = unread_tokens (candidate, call, now_ms);
  load->running++;
  load->unread_tokens += unread;
  load->held_tokens += call->prompt_tokens + call->output_tokens;
  if (call->is_engine)
    note_parts (load, call, now_ms);
  return unread;
}

void
place_answered (struct place_load *load, uint32_t unread_tokens)
{
  load->unread_tokens -= MIN (load->unread_tokens, unread_tokens);
}

void
place_ended (struct place_load *load, const struct place_request *call)
{
  uint64_t held = call->prompt_tokens + call->output_tokens;
  load->running -= load->running > 0;
  load->held_tokens -= MIN (load->held_tokens, held);
}

void
place_failed (struct place_load *load, uint64_t now_ms)
{
  load->faults = MIN (place_recent_failures (load, now_ms) + 1.0, FAULTS_MAX);
  load->failures_at_ms = now_ms;
}

void
place_served (struct place_load *load, uint64_t now_ms)
{
  load->faults
      = MAX (place_recent_failures (load, now_ms) - SERVED_RELIEF, 0.0);
  load->failures_at_ms = now_ms;
  load->unreachable = 0;
  load->reconnect_at_ms = 0;
}

void
place_unreachable (struct place_load *load, uint64_t now_ms)
{
  uint32_t doublings = MIN (load->unreachable, 8);
  uint64_t hold_ms
      = MIN ((uint64_t)HOLD_FIRST_MS << doublings, (uint64_t)HOLD_LONGEST_MS);
  load->unreachable++;
  load->reconnect_at_ms = now_ms + hold_ms;
  place_failed (load, now_ms);
}
