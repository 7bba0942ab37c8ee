#include "edge_prepaid.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "escrow_allowance.h"

/* Time of demand that a lease covers at least, in milliseconds: a call to
   control with a failover in between. */
#define AHEAD_MS 1500
/* Part of an account's total that weighs as demand spread equally. */
#define DEMAND_MIXED_PART 20
/* Share of an account's unspent tokens that routers hold together, each in
   proportion to its demand.  More of it lasts through longer cuts; what a
   router holds is lost when it dies. */
#define HELD_SHARE 0.85
/* Age up to which control's word on what is left counts, in milliseconds:
   three intervals of calls. */
#define WORD_LIFE_MS 1000
/* Interval over which demand is averaged, in milliseconds. */
#define DEMAND_WINDOW_MS 2000
/* Part of the former rate that a window's end keeps. */
#define RATE_KEPT 0.6
/* Requests of the largest recent size that a lease covers at least. */
#define AHEAD_REQUESTS 1
/* A lease above this many times its aim is trimmed to the aim. */
#define SURPLUS_FACTOR 1.5
/* An account with less than this part of its total unspent is scarce: routers
   keep only what they need at once. */
#define SCARCE_PART 32
/* Demand that a lease of a scarce account covers, in milliseconds: an interval
   of calls. */
#define SCARCE_KEEP_MS 300
/* Time after which other routers have given back what they don't need, in
   milliseconds: two of their calls to control. */
#define RECALL_WAIT_MS 1200

/* One account's lease. */
struct lease
{
  char *name;
  uint64_t leased_tokens;
  uint64_t reserved_tokens;
  uint64_t spent_tokens;
  /* Worst cases that wait, and the smallest of them. */
  uint64_t waiting_tokens;
  uint64_t smallest_waiting;
  /* Reserved since window_ms, and the rate before that. */
  uint64_t window_ms;
  uint64_t window_tokens;
  double tokens_per_ms;
  /* The same for what was reserved: callers who are refused and come back
     raise the demand, but not the use. */
  uint64_t window_reserved_tokens;
  double reserved_per_ms;
  uint64_t largest_tokens;
  /* As control last said. */
  bool is_scarce;
  uint64_t scarce_since_ms;
  uint64_t left_tokens;
  /* Unspent, or used here by the report that control's word is based on. */
  uint64_t unspent_elsewhere_tokens;
  uint64_t recalled_tokens;
  uint64_t recall_id;
  uint64_t followed_recall_id;
  uint64_t total_tokens;
  uint64_t told_ms;
  /* Demand here so far, the part that control knows of, and that of all
     routers. */
  uint64_t demand_tokens;
  uint64_t told_demand_tokens;
  uint64_t all_demand_tokens;
  uint64_t all_tokens_per_s;
  /* Part of the call that is under way. */
  bool in_call;
  /* Used when the call was made. */
  uint64_t reported_tokens;
  uint64_t reported_tokens_per_s;
  /* Used and free by the last report that was answered. */
  uint64_t base_tokens;
  uint64_t base_free_tokens;
  uint64_t base_tokens_per_s;
};

struct edge_prepaid
{
  GHashTable *leases;
  uint32_t routers;
  bool is_urgent;
  /* When the last call was answered. */
  uint64_t answered_ms;
};

static void
free_lease (gpointer data)
{
  struct lease *lease = data;
  g_free (lease->name);
  g_free (lease);
}

struct edge_prepaid *
edge_prepaid_create (void)
{
  struct edge_prepaid *prepaid = g_new0 (struct edge_prepaid, 1);
  prepaid->routers = 1;
  prepaid->leases
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_lease);
  return prepaid;
}

void
edge_prepaid_destroy (struct edge_prepaid *prepaid)
{
  if (!prepaid)
    return;
  g_hash_table_unref (prepaid->leases);
  g_free (prepaid);
}

static struct lease *
find_lease (struct edge_prepaid *prepaid, const char *account)
{
  struct lease *lease = g_hash_table_lookup (prepaid->leases, account);
  if (!lease)
    {
      lease = g_new0 (struct lease, 1);
      lease->name = g_strdup (account);
      g_hash_table_insert (prepaid->leases, lease->name, lease);
    }
  return lease;
}

static uint64_t
free_tokens (const struct lease *lease)
{
  uint64_t used = lease->reserved_tokens + lease->spent_tokens;
  return lease->leased_tokens > used ? lease->leased_tokens - used : 0;
}

/* Tokens that may be used now: what is free, as far as the last report that
   was answered allows. */
static uint64_t
usable_tokens (const struct edge_prepaid *prepaid, const struct lease *lease,
               uint64_t now_ms)
{
  uint64_t used = lease->reserved_tokens + lease->spent_tokens;
  uint64_t age_ms
      = now_ms > prepaid->answered_ms ? now_ms - prepaid->answered_ms : 0;
  uint64_t limit = lease->base_tokens
                   + escrow_allowance (lease->base_free_tokens,
                                       lease->base_tokens_per_s, age_ms);
  return MIN (free_tokens (lease), limit > used ? limit - used : 0);
}

/* The rate after a window with @p rate. */
static double
smooth (double former, double rate)
{
  return former > 0.0 ? RATE_KEPT * former + (1.0 - RATE_KEPT) * rate : rate;
}

static void
note_demand (struct lease *lease, uint64_t tokens, uint64_t now_ms)
{
  if (now_ms >= lease->window_ms + DEMAND_WINDOW_MS)
    {
      uint64_t age_ms = now_ms - lease->window_ms;
      double window_ms = (double)MAX (age_ms, DEMAND_WINDOW_MS);
      lease->tokens_per_ms = smooth (lease->tokens_per_ms,
                                     (double)lease->window_tokens / window_ms);
      lease->reserved_per_ms
          = smooth (lease->reserved_per_ms,
                    (double)lease->window_reserved_tokens / window_ms);
      lease->window_ms = now_ms;
      lease->window_tokens = 0;
      lease->window_reserved_tokens = 0;
      lease->largest_tokens = lease->largest_tokens / 2;
    }
  lease->window_tokens += tokens;
  lease->demand_tokens += tokens;
  lease->largest_tokens = MAX (lease->largest_tokens, tokens);
}

/* Of the whole account, as far as is known: what waits here is not used. */
static uint64_t
unspent_tokens (const struct lease *lease)
{
  uint64_t used = lease->reserved_tokens + lease->spent_tokens;
  return lease->unspent_elsewhere_tokens
         - MIN (used, lease->unspent_elsewhere_tokens);
}

/* This router's part of the account's demand, as the mean of its parts so far
   and of late; an equal part before there is much of it. */
static double
demand_share (const struct lease *lease, uint32_t routers)
{
  double mixed = (double)lease->total_tokens / DEMAND_MIXED_PART;
  double all = (double)MAX (lease->all_demand_tokens, lease->demand_tokens);
  double so_far
      = ((double)lease->demand_tokens + mixed / routers) / (all + mixed + 1.0);
  double rate = lease->tokens_per_ms * 1000.0;
  double all_rate = MAX ((double)lease->all_tokens_per_s, rate);
  return all_rate > 0.0 ? (so_far + rate / all_rate) / 2.0 : so_far;
}

/* Tokens that callers ask for in a millisecond. */
static double
demand_rate (const struct lease *lease)
{
  return MAX (lease->tokens_per_ms,
              (double)lease->window_tokens / DEMAND_WINDOW_MS);
}

/* Tokens that the lease should have free. */
static uint64_t
aim_tokens (const struct lease *lease, uint32_t routers)
{
  double rate = demand_rate (lease);
  double least
      = rate * AHEAD_MS + (double)(AHEAD_REQUESTS * lease->largest_tokens);
  double held = HELD_SHARE * demand_share (lease, routers)
                * (double)unspent_tokens (lease);
  return (uint64_t)MAX (least, held);
}

/* Whether control, too, has too few tokens. */
static bool
is_short (const struct lease *lease, uint64_t tokens)
{
  return lease->is_scarce && tokens > free_tokens (lease) + lease->left_tokens;
}

/* The whole account has too little unspent, or has been scarce for long enough
   for all routers to have given back what they don't need. */
static bool
is_exhausted (const struct lease *lease, uint64_t tokens, uint64_t now_ms)
{
  if (now_ms >= lease->told_ms + WORD_LIFE_MS)
    return false;
  if (tokens > unspent_tokens (lease))
    return true;
  return is_short (lease, tokens)
         && now_ms >= lease->scarce_since_ms + RECALL_WAIT_MS;
}

enum edge_prepaid_outcome
edge_prepaid_reserve (struct edge_prepaid *prepaid, const char *account,
                      uint64_t tokens, uint32_t waited_ms, uint64_t now_ms)
{
  struct lease *lease = find_lease (prepaid, account);
  if (waited_ms == 0)
    note_demand (lease, tokens, now_ms);
  if (usable_tokens (prepaid, lease, now_ms) >= tokens)
    {
      lease->reserved_tokens += tokens;
      lease->window_reserved_tokens += tokens;
      if (!lease->in_call && !lease->is_scarce
          && usable_tokens (prepaid, lease, now_ms) < lease->largest_tokens)
        prepaid->is_urgent = true;
      return EDGE_PREPAID_RESERVED;
    }
  /* Also for a refused request, so that control is asked again. */
  lease->waiting_tokens += tokens;
  if (lease->smallest_waiting == 0 || tokens < lease->smallest_waiting)
    lease->smallest_waiting = tokens;
  if (is_exhausted (lease, tokens, now_ms))
    return EDGE_PREPAID_EXHAUSTED;
  if (!lease->in_call && !is_short (lease, tokens))
    prepaid->is_urgent = true;
  return EDGE_PREPAID_WAIT;
}

void
edge_prepaid_settle (struct edge_prepaid *prepaid, const char *account,
                     uint64_t reserved_tokens, uint64_t used_tokens)
{
  struct lease *lease = find_lease (prepaid, account);
  lease->reserved_tokens -= MIN (reserved_tokens, lease->reserved_tokens);
  lease->spent_tokens += MIN (used_tokens, reserved_tokens);
}

void
edge_prepaid_set_routers (struct edge_prepaid *prepaid, uint32_t routers)
{
  prepaid->routers = MAX (routers, 1);
}

uint64_t
edge_prepaid_usable (const struct edge_prepaid *prepaid, const char *account,
                     uint64_t now_ms)
{
  const struct lease *lease = g_hash_table_lookup (prepaid->leases, account);
  return lease ? usable_tokens (prepaid, lease, now_ms) : 0;
}

uint64_t
edge_prepaid_answered_ms (const struct edge_prepaid *prepaid)
{
  return prepaid->answered_ms;
}

bool
edge_prepaid_is_urgent (const struct edge_prepaid *prepaid)
{
  return prepaid->is_urgent;
}

/* What is free beyond need. */
static uint64_t
surplus_tokens (const struct lease *lease, uint32_t routers, bool returns_all)
{
  uint64_t spare = free_tokens (lease);
  uint64_t aim = aim_tokens (lease, routers);
  if (lease->waiting_tokens > 0)
    return 0;
  if (returns_all)
    return spare;
  uint64_t keep = (uint64_t)(lease->tokens_per_ms * SCARCE_KEEP_MS);
  if (lease->is_scarce)
    return spare > keep ? spare - keep : 0;
  if (lease->recalled_tokens > 0
      && lease->recall_id != lease->followed_recall_id)
    return MIN (MAX (lease->recalled_tokens, spare / 8), spare / 2);
  return (double)spare > SURPLUS_FACTOR * (double)aim ? spare - aim : 0;
}

/* What is missing: all that waits, and the aim while there is plenty. */
static uint64_t
missing_tokens (const struct lease *lease, uint32_t routers)
{
  uint64_t wanted = lease->waiting_tokens;
  uint64_t spare = free_tokens (lease);
  if (!lease->is_scarce)
    wanted += aim_tokens (lease, routers);
  return wanted > spare ? wanted - spare : 0;
}

/* Smoothed rate of what is reserved, in tokens a second; the demand before
   there is one. */
static uint64_t
reported_rate (const struct lease *lease)
{
  double rate = lease->reserved_per_ms > 0.0 ? lease->reserved_per_ms
                                             : demand_rate (lease);
  return (uint64_t)(1000.0 * rate);
}

static bool
fill_ask (struct lease *lease, uint32_t routers, bool returns_all,
          struct control_lease_ask *ask)
{
  ask->returned_tokens = surplus_tokens (lease, routers, returns_all);
  lease->followed_recall_id = lease->recall_id;
  ask->want_tokens
      = ask->returned_tokens > 0 ? 0 : missing_tokens (lease, routers);
  uint64_t spare = free_tokens (lease);
  ask->need_tokens
      = lease->smallest_waiting > spare
            ? MIN (lease->smallest_waiting - spare, ask->want_tokens)
            : 0;
  /* What waits is reported as used, so that it may be once that is known. */
  uint64_t used
      = lease->reserved_tokens + lease->spent_tokens + lease->waiting_tokens;
  lease->waiting_tokens = 0;
  lease->smallest_waiting = 0;
  ask->demand_tokens = lease->demand_tokens - lease->told_demand_tokens;
  if (ask->returned_tokens == 0 && ask->want_tokens == 0
      && ask->demand_tokens == 0 && lease->reported_tokens == used
      && lease->reported_tokens_per_s == reported_rate (lease))
    return false;
  lease->told_demand_tokens = lease->demand_tokens;
  lease->reported_tokens = used;
  ask->used_tokens = lease->reported_tokens;
  lease->reported_tokens_per_s = reported_rate (lease);
  ask->tokens_per_s = lease->reported_tokens_per_s;
  ask->account = strdup (lease->name);
  lease->leased_tokens -= ask->returned_tokens;
  lease->in_call = true;
  return true;
}

/* The lease's window ends also without demand. */
static void
age_lease (struct lease *lease, uint64_t now_ms)
{
  if (now_ms >= lease->window_ms + 2 * DEMAND_WINDOW_MS)
    note_demand (lease, 0, now_ms);
}

void
edge_prepaid_ask (struct edge_prepaid *prepaid, uint64_t now_ms,
                  bool returns_all, struct control_lease_args *args)
{
  GHashTableIter iterator;
  gpointer value;
  u_int count = 0;
  prepaid->is_urgent = false;
  args->asks.asks_val = calloc (g_hash_table_size (prepaid->leases) + 1,
                                sizeof *args->asks.asks_val);
  g_hash_table_iter_init (&iterator, prepaid->leases);
  while (g_hash_table_iter_next (&iterator, NULL, &value)
         && count < CONTROL_BATCH_MAX)
    {
      age_lease (value, now_ms);
      count += fill_ask (value, prepaid->routers, returns_all,
                         &args->asks.asks_val[count]);
    }
  args->asks.asks_len = count;
}

/* What was reported is known by now. */
static void
take_grant (struct lease *lease, const struct control_lease_line *line)
{
  lease->in_call = false;
  lease->leased_tokens += line->granted_tokens;
  lease->base_tokens = lease->reported_tokens;
  lease->base_tokens_per_s = lease->reported_tokens_per_s;
  lease->base_free_tokens
      = lease->leased_tokens
        - MIN (lease->reported_tokens, lease->leased_tokens);
}

void
edge_prepaid_take (struct edge_prepaid *prepaid,
                   const struct control_lease_result *result, uint64_t now_ms)
{
  prepaid->answered_ms = now_ms;
  for (u_int i = 0; i < result->lines.lines_len; i++)
    {
      const struct control_lease_line *line = &result->lines.lines_val[i];
      struct lease *lease = find_lease (prepaid, line->account);
      if (!line->notice)
        take_grant (lease, line);
      lease->left_tokens = line->left_tokens;
      lease->all_demand_tokens = line->demand_tokens;
      lease->all_tokens_per_s = line->tokens_per_s;
      lease->total_tokens = line->total_tokens;
      lease->told_ms = now_ms;
      bool is_scarce
          = line->known
            && line->unspent_tokens < line->total_tokens / SCARCE_PART;
      lease->unspent_elsewhere_tokens
          = line->unspent_tokens + lease->reported_tokens;
      lease->recalled_tokens = line->recalled_tokens;
      lease->recall_id = line->recall_id;
      if (is_scarce && !lease->is_scarce)
        lease->scarce_since_ms = now_ms;
      lease->is_scarce = is_scarce;
    }
}

uint64_t
edge_prepaid_free (const struct edge_prepaid *prepaid, const char *account)
{
  const struct lease *lease = g_hash_table_lookup (prepaid->leases, account);
  return lease ? free_tokens (lease) : 0;
}

void
edge_prepaid_used (const struct edge_prepaid *prepaid, const char *account,
                   uint64_t *reserved_tokens, uint64_t *spent_tokens)
{
  const struct lease *lease = g_hash_table_lookup (prepaid->leases, account);
  *reserved_tokens = lease ? lease->reserved_tokens : 0;
  *spent_tokens = lease ? lease->spent_tokens : 0;
}
