#include "edge_peers.h"

#include <string.h>

#include <glib.h>
#include <xxhash.h>

/* Time for which a router that no member reports any more is kept, in
   milliseconds: control may be cut off, or restart. */
#define UNREPORTED_KEEP_MS 10000
/* Hold after a failed connection to a router, which doubles with each further
   one, in milliseconds. */
#define HOLD_MIN_MS 250
#define HOLD_MAX_MS 4000
/* Time for which nothing is borrowed from a router that did not answer, in
   milliseconds. */
#define LENDER_HOLD_MS 1000
#define HOLD_DOUBLINGS_MAX 4
/* Hold after a router took no more connections, in milliseconds: some of those
   that it passes on have ended by then. */
#define BUSY_HOLD_MS 100
/* Cost of each step of the way, by its distance, and of a router that is
   itself cut off from most targets; more than any way. */
static const uint32_t distance_cost[] = { 0, 10, 100 };
#define CUT_OFF_COST 1000

struct edge_peers
{
  /* struct edge_peer by name. */
  GHashTable *by_name;
};

static void
free_peer (gpointer data)
{
  struct edge_peer *peer = data;
  g_free (peer->availability_zone);
  g_free (peer);
}

struct edge_peers *
edge_peers_create (void)
{
  struct edge_peers *peers = g_new0 (struct edge_peers, 1);
  peers->by_name
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_peer);
  return peers;
}

void
edge_peers_destroy (struct edge_peers *peers)
{
  if (!peers)
    return;
  g_hash_table_unref (peers->by_name);
  g_free (peers);
}

struct edge_peer *
edge_peers_find (struct edge_peers *peers, const char *name)
{
  return name ? g_hash_table_lookup (peers->by_name, name) : NULL;
}

static void
drop_source (struct edge_peer *peer, uint32_t bit, uint64_t now_ms)
{
  if (peer->sources != 0 && (peer->sources & ~bit) == 0)
    peer->unreported_ms = now_ms;
  peer->sources &= ~bit;
}

static void
take_over (struct edge_peer *peer, const struct control_router_record *record,
           enum place_distance distance)
{
  g_strlcpy (peer->address, record->address, sizeof peer->address);
  peer->port = (uint16_t)record->relay_port;
  g_free (peer->availability_zone);
  peer->availability_zone = g_strdup (record->availability_zone);
  peer->distance = distance;
  peer->is_cut_off = record->is_cut_off;
  peer->demand = record->demand;
}

void
edge_peers_merge (struct edge_peers *peers, uint32_t source,
                  const struct control_router_record *record,
                  enum place_distance distance)
{
  uint32_t bit = UINT32_C (1) << source;
  struct edge_peer *peer = edge_peers_find (peers, record->name);
  if (record->gone)
    {
      /* Control says so, rather than saying nothing. */
      if (peer && (peer->sources & ~bit) == 0)
        peer->unreported_ms = 0;
      if (peer)
        peer->sources &= ~bit;
      return;
    }
  if (!peer)
    {
      peer = g_new0 (struct edge_peer, 1);
      peer->name = g_intern_string (record->name);
      g_hash_table_insert (peers->by_name, (gpointer)peer->name, peer);
    }
  peer->sources |= bit;
  take_over (peer, record, distance);
}

void
edge_peers_forget_source (struct edge_peers *peers, uint32_t source,
                          uint64_t now_ms)
{
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init (&iterator, peers->by_name);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    drop_source (value, UINT32_C (1) << source, now_ms);
}

bool
edge_peers_has_address (const struct edge_peers *peers, const char *address)
{
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init (&iterator, peers->by_name);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct edge_peer *peer = value;
      if (strcmp (peer->address, address) == 0)
        return true;
    }
  return false;
}

static uint64_t
order_hash (const char *router, const char *target)
{
  return XXH3_64bits_withSeed (router, strlen (router),
                               XXH3_64bits (target, strlen (target)));
}

/* Weight of a router that said nothing of its demand. */
static uint64_t
weight_of (uint32_t demand)
{
  return MAX (demand, 1);
}

struct edge_pacing_part
edge_peers_part (const struct edge_peers *peers, const char *own,
                 uint32_t demand, const char *target, uint32_t slots)
{
  GHashTableIter iterator;
  gpointer value;
  uint64_t own_hash = order_hash (own, target);
  struct edge_pacing_part part = { .slots = MAX (slots, 1),
                                   .weight = weight_of (demand),
                                   .weights = weight_of (demand) };
  g_hash_table_iter_init (&iterator, peers->by_name);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct edge_peer *peer = value;
      part.weights += weight_of (peer->demand);
      part.rank += order_hash (peer->name, target) < own_hash;
    }
  uint32_t given
      = edge_pacing_round_part (part.slots, part.weight, part.weights);
  g_hash_table_iter_init (&iterator, peers->by_name);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct edge_peer *peer = value;
      given += edge_pacing_round_part (part.slots, weight_of (peer->demand),
                                       part.weights);
    }
  part.left_over = part.slots - given;
  return part;
}

uint32_t
edge_peers_count (const struct edge_peers *peers)
{
  return g_hash_table_size (peers->by_name);
}

/* Removes routers that nobody has reported for a while. */
static void
expire (struct edge_peers *peers, uint64_t now_ms)
{
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init (&iterator, peers->by_name);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct edge_peer *peer = value;
      if (peer->sources == 0 && peer->open == 0
          && now_ms >= peer->unreported_ms + UNREPORTED_KEEP_MS)
        g_hash_table_iter_remove (&iterator);
    }
}

/* The way from this router to @p peer and on to the target.  Where the target
   isn't in the peer's zone, the second step is taken to be as long as the way
   between the zones of target and router. */
static uint32_t
way_cost (const struct edge_peer *peer, const struct edge_peers_wish *wish)
{
  bool is_at_target
      = strcmp (peer->availability_zone, wish->availability_zone) == 0;
  uint32_t first = distance_cost[peer->distance];
  uint32_t second = 0;
  if (!is_at_target)
    second = distance_cost[MAX (wish->distance, PLACE_SAME_REGION)];
  if (!is_at_target && peer->distance == PLACE_OTHER_REGION
      && wish->distance == PLACE_OTHER_REGION)
    second = distance_cost[PLACE_SAME_REGION];
  return first + second + (peer->is_cut_off ? CUT_OFF_COST : 0);
}

const struct edge_peer *
edge_peers_choose (struct edge_peers *peers,
                   const struct edge_peers_wish *wish, uint64_t now_ms,
                   uint64_t random)
{
  GHashTableIter iterator;
  gpointer value;
  const struct edge_peer *best = NULL;
  uint32_t best_cost = 0;
  uint32_t equal = 0;
  expire (peers, now_ms);
  g_hash_table_iter_init (&iterator, peers->by_name);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct edge_peer *peer = value;
      if (peer->port == 0 || now_ms < peer->hold_until_ms
          || edge_path_has_failed_via (wish->path, peer->name, now_ms)
          || (wish->may_pass
              && !wish->may_pass (wish->context, peer->availability_zone)))
        continue;
      uint32_t cost = way_cost (peer, wish);
      bool is_better = !best || cost < best_cost
                       || (cost == best_cost && peer->open < best->open);
      bool is_equal
          = !is_better && cost == best_cost && peer->open == best->open;
      equal = is_better ? 1 : equal + is_equal;
      random = random * 6364136223846793005u + 1442695040888963407u;
      if (!is_better && !(is_equal && (random >> 33) % equal == 0))
        continue;
      best = peer;
      best_cost = cost;
    }
  return best;
}

void
edge_peers_note_contact (struct edge_peers *peers, const char *name,
                         bool is_reached, uint64_t now_ms)
{
  struct edge_peer *peer = edge_peers_find (peers, name);
  if (!peer)
    return;
  if (is_reached)
    {
      peer->failures = 0;
      peer->hold_until_ms = 0;
      return;
    }
  uint32_t doublings = MIN (peer->failures, HOLD_DOUBLINGS_MAX);
  peer->failures++;
  peer->hold_until_ms = now_ms + MIN (HOLD_MIN_MS << doublings, HOLD_MAX_MS);
}

void
edge_peers_note_busy (struct edge_peers *peers, const char *name,
                      uint64_t now_ms)
{
  struct edge_peer *peer = edge_peers_find (peers, name);
  if (!peer)
    return;
  peer->failures = 0;
  peer->hold_until_ms = now_ms + BUSY_HOLD_MS;
}

const struct edge_peer *
edge_peers_choose_lender (struct edge_peers *peers, const char *own,
                          const char *account, uint64_t now_ms)
{
  GHashTableIter iterator;
  gpointer value;
  const struct edge_peer *lender = NULL;
  uint64_t most = order_hash (own, account);
  g_hash_table_iter_init (&iterator, peers->by_name);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct edge_peer *peer = value;
      if (peer->distance != PLACE_SAME_ZONE || peer->port == 0
          || peer->sources == 0 || now_ms < peer->no_loans_until_ms)
        continue;
      uint64_t hash = order_hash (peer->name, account);
      if (hash <= most)
        continue;
      most = hash;
      lender = peer;
    }
  return lender;
}

void
edge_peers_note_lender_lost (struct edge_peers *peers, const char *name,
                             uint64_t now_ms)
{
  struct edge_peer *peer = edge_peers_find (peers, name);
  if (peer)
    peer->no_loans_until_ms = now_ms + LENDER_HOLD_MS;
}

void
edge_peers_note_open (struct edge_peers *peers, const char *name, bool is_open)
{
  struct edge_peer *peer = edge_peers_find (peers, name);
  if (!peer)
    return;
  if (is_open)
    peer->open++;
  else
    peer->open -= peer->open > 0;
}
