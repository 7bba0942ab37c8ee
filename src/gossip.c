#include "gossip.h"

#include "gossip_state.h"

static struct gossip_peer
peer_of (const struct wire_process *process)
{
  struct gossip_peer peer = { .port = (uint16_t)process->rpc_port };
  g_strlcpy (peer.host, process->host, sizeof peer.host);
  g_strlcpy (peer.availability_zone, process->availability_zone,
             sizeof peer.availability_zone);
  g_strlcpy (peer.region, process->region, sizeof peer.region);
  g_strlcpy (peer.address, process->address, sizeof peer.address);
  return peer;
}

static void
add_counters (struct gossip *gossip, struct base_metrics *metrics)
{
  gossip->own_metrics = metrics ? NULL : base_metrics_create ();
  if (!metrics)
    metrics = gossip->own_metrics;
  gossip->calls
      = base_metrics_counter (metrics, "cactus_gossip_calls_total", NULL);
  gossip->failures
      = base_metrics_counter (metrics, "cactus_gossip_failures_total", NULL);
  gossip->stalls
      = base_metrics_counter (metrics, "cactus_gossip_frozen_total", NULL);
}

struct gossip *
gossip_create (struct registry *registry, const char *cluster,
               const struct wire_process *self, struct base_clock *clock,
               struct gossip_bundle_callbacks *bundles,
               struct base_metrics *metrics)
{
  struct gossip *gossip = g_new0 (struct gossip, 1);
  struct gossip_peer peer = peer_of (self);
  gossip->cluster = g_strdup (cluster);
  gossip->clock = clock;
  gossip->bundles = bundles;
  add_counters (gossip, metrics);
  g_mutex_init (&gossip->mutex);
  g_cond_init (&gossip->wake);
  base_random_seed (&gossip->random, base_random_system_seed ());
  gossip->peers = gossip_peers_create (&peer);
  gossip->core = gossip_core_create (registry, cluster, &peer,
                                     base_random_next (&gossip->random));
  atomic_init (&gossip->last_round_ms, base_clock_now_ms (clock));
  gossip_rounds_start (gossip);
  return gossip;
}

void
gossip_destroy (struct gossip *gossip)
{
  if (!gossip)
    return;
  g_mutex_lock (&gossip->mutex);
  gossip->stopping = true;
  g_cond_broadcast (&gossip->wake);
  g_mutex_unlock (&gossip->mutex);
  gossip_rounds_join (gossip);
  gossip_core_destroy (gossip->core);
  gossip_peers_destroy (gossip->peers);
  base_metrics_destroy (gossip->own_metrics);
  g_cond_clear (&gossip->wake);
  g_mutex_clear (&gossip->mutex);
  g_free (gossip->cluster);
  g_free (gossip);
}

void
gossip_set_peers (struct gossip *gossip, const struct wire_process *processes,
                  size_t count)
{
  g_mutex_lock (&gossip->mutex);
  gossip_peers_set (gossip->peers, processes, count);
  g_mutex_unlock (&gossip->mutex);
}

uint32_t
gossip_zone_rank (struct gossip *gossip, uint32_t *count)
{
  g_mutex_lock (&gossip->mutex);
  uint32_t rank = gossip_peers_rank (gossip->peers, count);
  g_mutex_unlock (&gossip->mutex);
  return rank;
}

void
gossip_set_cross_region (struct gossip *gossip, const char *const *services,
                         size_t count)
{
  gossip_core_set_cross_region (gossip->core, services, count);
}

void
gossip_announce_departure (struct gossip *gossip,
                           const struct registry_record *record)
{
  gossip_core_add_departure (gossip->core, record);
  g_mutex_lock (&gossip->mutex);
  gossip->departing = true;
  g_cond_broadcast (&gossip->wake);
  g_mutex_unlock (&gossip->mutex);
}
