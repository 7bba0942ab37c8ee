#include "gossip_peers.h"

#include <stdbool.h>
#include <string.h>

#include <glib.h>

#include "base_hash.h"

/* Number of routers of a zone that call the routers of one other zone. */
#define RELAYS_PER_ZONE 2
/* Backoff after a failed call, in milliseconds; it doubles with each
   consecutive failure up to the maximum. */
#define BACKOFF_FIRST_MS 1000
#define BACKOFF_MAX_MS 16000

/* A peer and its failures. */
struct peer_state
{
  struct gossip_peer peer;
  /* Number of consecutive failed calls. */
  uint32_t failures;
  /* End of the backoff, in milliseconds. */
  uint64_t retry_at_ms;
};

struct gossip_peers
{
  struct gossip_peer self;
  /* Peers (struct peer_state) by host. */
  GHashTable *by_host;
  /* Names of the other zones. */
  GPtrArray *zones;
};

struct gossip_peers *
gossip_peers_create (const struct gossip_peer *self)
{
  struct gossip_peers *peers = g_new0 (struct gossip_peers, 1);
  peers->self = *self;
  peers->by_host
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  peers->zones = g_ptr_array_new_with_free_func (g_free);
  return peers;
}

void
gossip_peers_destroy (struct gossip_peers *peers)
{
  if (!peers)
    return;
  g_hash_table_destroy (peers->by_host);
  g_ptr_array_free (peers->zones, TRUE);
  g_free (peers);
}

static struct peer_state *
state_new (const struct wire_process *process)
{
  struct peer_state *state = g_new0 (struct peer_state, 1);
  struct gossip_peer *peer = &state->peer;
  g_strlcpy (peer->host, process->host, sizeof peer->host);
  g_strlcpy (peer->availability_zone, process->availability_zone,
             sizeof peer->availability_zone);
  g_strlcpy (peer->region, process->region, sizeof peer->region);
  g_strlcpy (peer->address, process->address, sizeof peer->address);
  peer->port = (uint16_t)process->rpc_port;
  return state;
}

/* Adds a router other than self; one whose address is unchanged keeps its
   failures and backoff. */
static void
add_process (struct gossip_peers *peers, GHashTable *by_host,
             const struct wire_process *process)
{
  if (process->kind != WIRE_PROCESS_ROUTER || process->rpc_port == 0)
    return;
  if (strcmp (process->host, peers->self.host) == 0)
    return;
  struct peer_state *state = state_new (process);
  const struct peer_state *old
      = g_hash_table_lookup (peers->by_host, state->peer.host);
  if (old && old->peer.port == state->peer.port
      && strcmp (old->peer.address, state->peer.address) == 0)
    {
      state->failures = old->failures;
      state->retry_at_ms = old->retry_at_ms;
    }
  g_hash_table_replace (by_host, state->peer.host, state);
}

static void
add_zone (struct gossip_peers *peers, const char *zone)
{
  if (strcmp (zone, peers->self.availability_zone) == 0)
    return;
  for (guint i = 0; i < peers->zones->len; i++)
    if (strcmp (g_ptr_array_index (peers->zones, i), zone) == 0)
      return;
  g_ptr_array_add (peers->zones, g_strdup (zone));
}

void
gossip_peers_set (struct gossip_peers *peers,
                  const struct wire_process *processes, size_t count)
{
  GHashTable *by_host
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  GHashTableIter iter;
  gpointer value;
  for (size_t i = 0; i < count; i++)
    add_process (peers, by_host, &processes[i]);
  g_hash_table_destroy (peers->by_host);
  peers->by_host = by_host;
  g_ptr_array_set_size (peers->zones, 0);
  g_hash_table_iter_init (&iter, by_host);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    add_zone (peers, ((struct peer_state *)value)->peer.availability_zone);
}

size_t
gossip_peers_pick_zone (struct gossip_peers *peers, struct base_random *random,
                        uint64_t now_ms, struct gossip_peer *chosen,
                        size_t limit)
{
  GHashTableIter iter;
  gpointer value;
  size_t seen = 0;
  size_t count = 0;
  g_hash_table_iter_init (&iter, peers->by_host);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct peer_state *state = value;
      if (strcmp (state->peer.availability_zone, peers->self.availability_zone)
              != 0
          || state->retry_at_ms > now_ms)
        continue;
      /* Chooses the peers by reservoir sampling. */
      size_t place = base_random_below (random, ++seen);
      if (count < limit)
        {
          if (place != count)
            chosen[count] = chosen[place];
          chosen[place] = state->peer;
          count++;
        }
      else if (place < limit)
        chosen[place] = state->peer;
    }
  return count;
}

uint32_t
gossip_peers_rank (const struct gossip_peers *peers, uint32_t *count)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t rank = 0;
  *count = 1;
  g_hash_table_iter_init (&iter, peers->by_host);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct gossip_peer *peer = &((struct peer_state *)value)->peer;
      if (strcmp (peer->availability_zone, peers->self.availability_zone) != 0)
        continue;
      *count += 1;
      rank += strcmp (peer->host, peers->self.host) < 0;
    }
  return rank;
}

/* Rendezvous weight of a router as relay of its zone to @p zone. */
static uint64_t
relay_weight (const char *host, const char *zone)
{
  uint64_t parts[2] = { base_hash_string (host), base_hash_string (zone) };
  return base_hash64 (parts, sizeof parts);
}

/* Whether the router is one of the relays of its zone to @p zone: those with
   the highest weights. */
static bool
is_relay (const struct gossip_peers *peers, const struct gossip_peer *router,
          const char *zone)
{
  GHashTableIter iter;
  gpointer value;
  uint64_t weight = relay_weight (router->host, zone);
  uint32_t higher = 0;
  if (strcmp (router->availability_zone, peers->self.availability_zone) == 0)
    higher += relay_weight (peers->self.host, zone) > weight;
  g_hash_table_iter_init (&iter, peers->by_host);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct gossip_peer *other = &((struct peer_state *)value)->peer;
      if (strcmp (other->availability_zone, router->availability_zone) == 0)
        higher += relay_weight (other->host, zone) > weight;
    }
  return higher < RELAYS_PER_ZONE;
}

/* Picks a random relay of @p zone to this router's zone that is not in
   backoff.  Returns false when there is none. */
static bool
pick_relay (struct gossip_peers *peers, const char *zone,
            struct base_random *random, uint64_t now_ms,
            struct gossip_peer *chosen)
{
  GHashTableIter iter;
  gpointer value;
  size_t seen = 0;
  g_hash_table_iter_init (&iter, peers->by_host);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct peer_state *state = value;
      if (strcmp (state->peer.availability_zone, zone) != 0
          || state->retry_at_ms > now_ms
          || !is_relay (peers, &state->peer, peers->self.availability_zone))
        continue;
      if (base_random_below (random, ++seen) == 0)
        *chosen = state->peer;
    }
  return seen > 0;
}

size_t
gossip_peers_pick_relays (struct gossip_peers *peers,
                          struct base_random *random, uint64_t now_ms,
                          struct gossip_peer *chosen, size_t limit)
{
  size_t count = 0;
  for (guint i = 0; i < peers->zones->len && count < limit; i++)
    {
      const char *zone = g_ptr_array_index (peers->zones, i);
      if (is_relay (peers, &peers->self, zone)
          && pick_relay (peers, zone, random, now_ms, &chosen[count]))
        count++;
    }
  return count;
}

void
gossip_peers_record_result (struct gossip_peers *peers, const char *host,
                            bool failed, uint64_t now_ms)
{
  struct peer_state *state = g_hash_table_lookup (peers->by_host, host);
  if (!state)
    return;
  if (!failed)
    {
      state->failures = 0;
      state->retry_at_ms = 0;
      return;
    }
  uint64_t backoff_ms = BACKOFF_FIRST_MS;
  for (uint32_t i = 0; i < state->failures && backoff_ms < BACKOFF_MAX_MS; i++)
    backoff_ms *= 2;
  state->failures++;
  state->retry_at_ms = now_ms + MIN (backoff_ms, BACKOFF_MAX_MS);
}
