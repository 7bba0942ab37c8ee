#include "edge_prepaid.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "escrow_allowance.h"

/* Minimum time for which a lease covers the demand, in milliseconds: the
   duration of a lease call during which control fails over. */
#define LEASE_COVERS_MS 1500
/* Divisor N: a fraction 1/N of an account's total counts as demand that is
   spread equally over all routers. */
#define EQUAL_DEMAND_DIVISOR 20
/* Share of an account's unspent tokens that all routers lease together, each
   in proportion to its demand.  A larger share lasts through longer partitions
   from control, but the tokens that a router holds are lost when it crashes.
 */
#define LEASED_SHARE 0.85
/* Maximum age at which control's report on unspent tokens is valid, in
   milliseconds: three intervals of lease calls. */
#define REPORT_LIFETIME_MS 1000
/* Interval over which demand is averaged, in milliseconds. */
#define DEMAND_WINDOW_MS 2000
/* Weight of the previous smoothed rate when a window ends. */
#define RATE_SMOOTHING 0.6
/* Time for which a report announces the demand until the next one, in
   milliseconds. */
#define AHEAD_MS 100
/* Share of an account's unspent tokens that the reports of all routers
   announce together, each in proportion to its demand.  The loss of power of
   all hosts writes off no more than that and the demand of AHEAD_MS; a
   partition from control is served from it until routers may use more. */
#define AHEAD_SHARE 0.01
/* Minimum number of requests of the largest recent size that a lease covers.
 */
#define LEASE_COVERS_REQUESTS 1
/* Factor on the desired number of free tokens; a lease with more is reduced to
   the desired number. */
#define SURPLUS_FACTOR 1.5
/* Divisor N: an account with less than 1/N of its total unspent is scarce:
   routers keep only the tokens that they need immediately. */
#define SCARCE_DIVISOR 32
/* Time for which a lease of a scarce account covers the demand, in
   milliseconds: one interval of lease calls. */
#define SCARCE_LEASE_COVERS_MS 300
/* Time after which the other routers have returned the tokens that they don't
   need, in milliseconds: two of their lease calls. */
#define RECALL_WAIT_MS 1200

/* One account's lease. */
struct lease
{
  char *name;
  uint64_t leased_tokens;
  uint64_t reserved_tokens;
  uint64_t spent_tokens;
  /* Sums of the waiting reservations and of those refused since the last call,
     and the smallest one among them. */
  uint64_t waiting_tokens;
  uint64_t refused_tokens;
  uint64_t smallest_lacking_tokens;
  /* Tokens requested since the window began at window_ms, and the smoothed
     rate of earlier windows. */
  uint64_t window_ms;
  uint64_t window_tokens;
  double tokens_per_ms;
  /* Tokens reserved since the window began, and their smoothed rate.  Callers
     that retry after a refusal raise the demand, but not this rate. */
  uint64_t window_reserved_tokens;
  double reserved_per_ms;
  /* Largest recent request, in tokens. */
  uint64_t largest_tokens;
  /* Values in control's last report, which was received at reported_ms. */
  bool is_scarce;
  uint64_t scarce_since_ms;
  uint64_t control_left_tokens;
  /* The account's unspent tokens, plus those used here as of the call that
     control's report answers. */
  uint64_t not_spent_elsewhere_tokens;
  uint64_t recalled_tokens;
  uint64_t recall_id;
  uint64_t handled_recall_id;
  uint64_t total_tokens;
  uint64_t reported_ms;
  /* Total demand at this router, the part of it already sent to control, and
     the demand at all routers. */
  uint64_t demand_tokens;
  uint64_t sent_demand_tokens;
  uint64_t fleet_demand_tokens;
  uint64_t fleet_tokens_per_s;
  /* The call in progress has a line for this account. */
  bool is_in_call;
  /* Used tokens, announced use and rate sent with the last call. */
  uint64_t sent_used_tokens;
  uint64_t sent_ahead_tokens;
  uint64_t sent_tokens_per_s;
  /* Used tokens, announced use, free tokens and rate as of the last answered
     call. */
  uint64_t confirmed_used_tokens;
  uint64_t confirmed_ahead_tokens;
  uint64_t confirmed_free_tokens;
  uint64_t confirmed_tokens_per_s;
};

struct edge_prepaid
{
  GHashTable *leases;
  uint32_t routers;
  bool is_urgent;
  /* Time at which control last answered a call. */
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

/* Returns the tokens that may be reserved now: the free ones, limited by the
   allowance that follows from the last answered call. */
static uint64_t
usable_tokens (const struct edge_prepaid *prepaid, const struct lease *lease,
               uint64_t now_ms)
{
  uint64_t used = lease->reserved_tokens + lease->spent_tokens;
  uint64_t age_ms
      = now_ms > prepaid->answered_ms ? now_ms - prepaid->answered_ms : 0;
  uint64_t limit = lease->confirmed_used_tokens
                   + escrow_allowance (lease->confirmed_free_tokens,
                                       lease->confirmed_ahead_tokens,
                                       lease->confirmed_tokens_per_s, age_ms);
  return MIN (free_tokens (lease), limit > used ? limit - used : 0);
}

/* Returns the rate smoothed with the rate of a finished window. */
static double
smooth (double previous, double rate)
{
  return previous > 0.0
             ? RATE_SMOOTHING * previous + (1.0 - RATE_SMOOTHING) * rate
             : rate;
}

static void
record_demand (struct lease *lease, uint64_t tokens, uint64_t now_ms)
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

/* Returns the unspent tokens of the whole account, as far as is known. */
static uint64_t
unspent_tokens (const struct lease *lease)
{
  uint64_t used = lease->reserved_tokens + lease->spent_tokens;
  return lease->not_spent_elsewhere_tokens
         - MIN (used, lease->not_spent_elsewhere_tokens);
}

/* Returns this router's share of the account's demand: the mean of its shares
   overall and recently.  While there is little demand, the share is close to
   an equal one. */
static double
demand_share (const struct lease *lease, uint32_t routers)
{
  double equal_demand = (double)lease->total_tokens / EQUAL_DEMAND_DIVISOR;
  double fleet_demand
      = (double)MAX (lease->fleet_demand_tokens, lease->demand_tokens);
  double overall_share
      = ((double)lease->demand_tokens + equal_demand / routers)
        / (fleet_demand + equal_demand + 1.0);
  double rate = lease->tokens_per_ms * 1000.0;
  double fleet_rate = MAX ((double)lease->fleet_tokens_per_s, rate);
  return fleet_rate > 0.0 ? (overall_share + rate / fleet_rate) / 2.0
                          : overall_share;
}

/* Returns the tokens that callers request per millisecond. */
static double
demand_rate (const struct lease *lease)
{
  return MAX (lease->tokens_per_ms,
              (double)lease->window_tokens / DEMAND_WINDOW_MS);
}

/* Returns the free tokens that the lease should have. */
static uint64_t
desired_free_tokens (const struct lease *lease, uint32_t routers)
{
  double rate = demand_rate (lease);
  double minimum_tokens
      = rate * LEASE_COVERS_MS
        + (double)(LEASE_COVERS_REQUESTS * lease->largest_tokens);
  double share_tokens = LEASED_SHARE * demand_share (lease, routers)
                        * (double)unspent_tokens (lease);
  return (uint64_t)MAX (minimum_tokens, share_tokens);
}

/* Returns whether the lease and control together lack the tokens. */
static bool
lacks_tokens (const struct lease *lease, uint64_t tokens)
{
  return lease->is_scarce
         && tokens > free_tokens (lease) + lease->control_left_tokens;
}

/* Returns whether the account can't cover the tokens: it has too few unspent,
   or has been scarce for long enough that all routers have returned what they
   don't need.  An outdated report never exhausts an account. */
static bool
is_exhausted (const struct lease *lease, uint64_t tokens, uint64_t now_ms)
{
  if (now_ms >= lease->reported_ms + REPORT_LIFETIME_MS)
    return false;
  if (tokens > unspent_tokens (lease))
    return true;
  return lacks_tokens (lease, tokens)
         && now_ms >= lease->scarce_since_ms + RECALL_WAIT_MS;
}

enum edge_prepaid_outcome
edge_prepaid_reserve (struct edge_prepaid *prepaid, const char *account,
                      uint64_t tokens, uint32_t waited_ms, uint64_t now_ms)
{
  struct lease *lease = find_lease (prepaid, account);
  if (waited_ms == 0)
    record_demand (lease, tokens, now_ms);
  if (usable_tokens (prepaid, lease, now_ms) >= tokens)
    {
      lease->reserved_tokens += tokens;
      lease->window_reserved_tokens += tokens;
      return EDGE_PREPAID_RESERVED;
    }
  /* The next call also requests the tokens of a refused request. */
  if (lease->smallest_lacking_tokens == 0
      || tokens < lease->smallest_lacking_tokens)
    lease->smallest_lacking_tokens = tokens;
  if (is_exhausted (lease, tokens, now_ms))
    {
      lease->refused_tokens += tokens;
      return EDGE_PREPAID_EXHAUSTED;
    }
  lease->waiting_tokens += tokens;
  if (!lease->is_in_call && !lacks_tokens (lease, tokens))
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
edge_prepaid_usable_tokens (const struct edge_prepaid *prepaid,
                            const char *account, uint64_t now_ms)
{
  const struct lease *lease = g_hash_table_lookup (prepaid->leases, account);
  return lease ? usable_tokens (prepaid, lease, now_ms) : 0;
}

uint64_t
edge_prepaid_last_answer_ms (const struct edge_prepaid *prepaid)
{
  return prepaid->answered_ms;
}

bool
edge_prepaid_needs_call_now (const struct edge_prepaid *prepaid)
{
  return prepaid->is_urgent;
}

/* Returns the free tokens that the lease can give up. */
static uint64_t
surplus_tokens (const struct lease *lease, uint32_t routers, bool returns_all)
{
  uint64_t free_now = free_tokens (lease);
  uint64_t desired = desired_free_tokens (lease, routers);
  if (lease->smallest_lacking_tokens > 0)
    return 0;
  if (returns_all)
    return free_now;
  uint64_t keep = (uint64_t)(lease->tokens_per_ms * SCARCE_LEASE_COVERS_MS);
  if (lease->is_scarce)
    return free_now > keep ? free_now - keep : 0;
  if (lease->recalled_tokens > 0
      && lease->recall_id != lease->handled_recall_id)
    return MIN (MAX (lease->recalled_tokens, free_now / 8), free_now / 2);
  return (double)free_now > SURPLUS_FACTOR * (double)desired
             ? free_now - desired
             : 0;
}

/* Returns the tokens to request from control: those that requests lacked, plus
   the desired free tokens unless the account is scarce. */
static uint64_t
missing_tokens (const struct lease *lease, uint32_t routers)
{
  uint64_t wanted = lease->waiting_tokens + lease->refused_tokens;
  uint64_t free_now = free_tokens (lease);
  if (!lease->is_scarce)
    wanted += desired_free_tokens (lease, routers);
  return wanted > free_now ? wanted - free_now : 0;
}

/* Returns the smoothed rate of reservations in tokens per millisecond, or the
   rate of demand before there is one. */
static double
use_rate (const struct lease *lease)
{
  return lease->reserved_per_ms > 0.0 ? lease->reserved_per_ms
                                      : demand_rate (lease);
}

/* Returns the rate of use in tokens per second, as reported to control. */
static uint64_t
reported_rate (const struct lease *lease)
{
  return (uint64_t)(1000.0 * use_rate (lease));
}

/* Returns the tokens that may be used before the next report. */
static uint64_t
announced_tokens (const struct lease *lease, uint32_t routers)
{
  double demand = AHEAD_MS * use_rate (lease);
  double share = AHEAD_SHARE * demand_share (lease, routers)
                 * (double)unspent_tokens (lease);
  return lease->waiting_tokens + (uint64_t)MAX (demand, share);
}

/* Fills in the account's line of a lease call.  Returns false when nothing
   changed since the last call, so that no line is needed. */
static bool
fill_line (struct lease *lease, uint32_t routers, bool returns_all,
           struct control_lease_ask *ask)
{
  ask->returned_tokens = surplus_tokens (lease, routers, returns_all);
  lease->handled_recall_id = lease->recall_id;
  ask->want_tokens
      = ask->returned_tokens > 0 ? 0 : missing_tokens (lease, routers);
  uint64_t free_now = free_tokens (lease);
  ask->need_tokens
      = lease->smallest_lacking_tokens > free_now
            ? MIN (lease->smallest_lacking_tokens - free_now, ask->want_tokens)
            : 0;
  uint64_t used = lease->reserved_tokens + lease->spent_tokens;
  ask->spent_tokens = lease->spent_tokens;
  ask->ahead_tokens = announced_tokens (lease, routers);
  lease->waiting_tokens = 0;
  lease->refused_tokens = 0;
  lease->smallest_lacking_tokens = 0;
  ask->demand_tokens = lease->demand_tokens - lease->sent_demand_tokens;
  if (ask->returned_tokens == 0 && ask->want_tokens == 0
      && ask->demand_tokens == 0 && lease->sent_used_tokens == used
      && lease->sent_ahead_tokens == ask->ahead_tokens
      && lease->sent_tokens_per_s == reported_rate (lease))
    return false;
  lease->sent_demand_tokens = lease->demand_tokens;
  lease->sent_used_tokens = used;
  lease->sent_ahead_tokens = ask->ahead_tokens;
  ask->used_tokens = lease->sent_used_tokens;
  lease->sent_tokens_per_s = reported_rate (lease);
  ask->tokens_per_s = lease->sent_tokens_per_s;
  ask->account = strdup (lease->name);
  lease->leased_tokens -= ask->returned_tokens;
  lease->is_in_call = true;
  return true;
}

/* Ends the lease's demand window when no request does. */
static void
expire_window (struct lease *lease, uint64_t now_ms)
{
  if (now_ms >= lease->window_ms + 2 * DEMAND_WINDOW_MS)
    record_demand (lease, 0, now_ms);
}

void
edge_prepaid_fill_call (struct edge_prepaid *prepaid, uint64_t now_ms,
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
      expire_window (value, now_ms);
      count += fill_line (value, prepaid->routers, returns_all,
                          &args->asks.asks_val[count]);
    }
  args->asks.asks_len = count;
}

/* Adds the granted tokens; control now knows the use sent with the call. */
static void
apply_grant (struct lease *lease, const struct control_lease_line *line)
{
  lease->is_in_call = false;
  lease->leased_tokens += line->granted_tokens;
  lease->confirmed_used_tokens = lease->sent_used_tokens;
  lease->confirmed_ahead_tokens = lease->sent_ahead_tokens;
  lease->confirmed_tokens_per_s = lease->sent_tokens_per_s;
  lease->confirmed_free_tokens
      = lease->leased_tokens
        - MIN (lease->sent_used_tokens, lease->leased_tokens);
}

void
edge_prepaid_apply_result (struct edge_prepaid *prepaid,
                           const struct control_lease_result *result,
                           uint64_t now_ms)
{
  prepaid->answered_ms = now_ms;
  for (u_int i = 0; i < result->lines.lines_len; i++)
    {
      const struct control_lease_line *line = &result->lines.lines_val[i];
      struct lease *lease = find_lease (prepaid, line->account);
      if (!line->notice)
        apply_grant (lease, line);
      lease->control_left_tokens = line->left_tokens;
      lease->fleet_demand_tokens = line->demand_tokens;
      lease->fleet_tokens_per_s = line->tokens_per_s;
      lease->total_tokens = line->total_tokens;
      lease->reported_ms = now_ms;
      bool is_scarce
          = line->known
            && line->unspent_tokens < line->total_tokens / SCARCE_DIVISOR;
      lease->not_spent_elsewhere_tokens
          = line->unspent_tokens + lease->sent_used_tokens;
      lease->recalled_tokens = line->recalled_tokens;
      lease->recall_id = line->recall_id;
      if (is_scarce && !lease->is_scarce)
        lease->scarce_since_ms = now_ms;
      lease->is_scarce = is_scarce;
    }
}

uint64_t
edge_prepaid_free_tokens (const struct edge_prepaid *prepaid,
                          const char *account)
{
  const struct lease *lease = g_hash_table_lookup (prepaid->leases, account);
  return lease ? free_tokens (lease) : 0;
}

void
edge_prepaid_get_totals (const struct edge_prepaid *prepaid,
                         const char *account, uint64_t *reserved_tokens,
                         uint64_t *spent_tokens)
{
  const struct lease *lease = g_hash_table_lookup (prepaid->leases, account);
  *reserved_tokens = lease ? lease->reserved_tokens : 0;
  *spent_tokens = lease ? lease->spent_tokens : 0;
}
