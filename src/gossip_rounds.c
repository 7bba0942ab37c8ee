#include "gossip_state.h"

#include "cactus_config.h"
#include "wire_client.h"
#include "wire_gossip.h"

/* Maximum number of peers called in one round. */
#define PEERS_MAX 1024
/* Timeouts of calls inside a zone and to other zones. */
#define ZONE_TIMEOUT_MS 300
#define RELAY_TIMEOUT_MS CACTUS_CALL_TIMEOUT_MS
/* Time after which no further piece of a bundle is fetched in a round. */
#define BUNDLE_FETCH_MS 500
/* Time for which incoming exchanges are refused after a stall, in
   milliseconds. */
#define REFUSE_AFTER_STALL_MS 1000
/* Interval between rounds, in microseconds. */
#define ROUND_US (CACTUS_GOSSIP_INTERVAL_MS * 1000)

static void
client_free (gpointer data)
{
  wire_client_destroy (data);
}

static struct wire_client *
client_of (struct gossip_caller *caller, const struct gossip_peer *peer)
{
  char key[32];
  g_snprintf (key, sizeof key, "%s:%u", peer->address, peer->port);
  struct wire_client *client = g_hash_table_lookup (caller->clients, key);
  if (client)
    return client;
  client = wire_client_create (peer->address, peer->port, GOSSIP_PROGRAM,
                               GOSSIP_VERSION);
  g_hash_table_insert (caller->clients, g_strdup (key), client);
  return client;
}

static void
record_result (struct gossip *gossip, const struct gossip_peer *peer,
               bool failed)
{
  uint64_t now_ms = base_clock_now_ms (gossip->clock);
  base_counter_add (failed ? gossip->failures : gossip->calls, 1);
  g_mutex_lock (&gossip->mutex);
  gossip_peers_record_result (gossip->peers, peer->host, failed, now_ms);
  g_mutex_unlock (&gossip->mutex);
}

static enum wire_status
call_exchange (struct gossip_caller *caller, const struct gossip_peer *peer,
               struct gossip_exchange_args *args,
               struct gossip_exchange_result *result)
{
  enum wire_status status
      = wire_client_call (client_of (caller, peer), GOSSIP_EXCHANGE,
                          (xdrproc_t)xdr_gossip_exchange_args, args,
                          (xdrproc_t)xdr_gossip_exchange_result, result,
                          sizeof *result, caller->timeout_ms);
  record_result (caller->gossip, peer, status != WIRE_OK);
  return status;
}

/* Adds a piece of a bundle, and offers the bundle once it is complete.
   Returns whether another piece follows. */
static bool
add_piece (struct gossip_caller *caller,
           const struct gossip_bundle_result *result)
{
  struct gossip_bundle_callbacks *bundles = caller->gossip->bundles;
  GByteArray *pieces = caller->pieces;
  if (caller->pieces_version != result->bundle_version
      || result->document_offset != pieces->len)
    g_byte_array_set_size (pieces, 0);
  caller->pieces_version = result->bundle_version;
  if (result->document_offset != pieces->len
      || result->document.document_len == 0)
    return false;
  g_byte_array_append (pieces, (const guint8 *)result->document.document_val,
                       result->document.document_len);
  if (pieces->len < result->document_bytes)
    return true;
  bundles->offer (bundles, (const char *)pieces->data, pieces->len);
  g_byte_array_set_size (pieces, 0);
  return false;
}

/* Fetches the next piece of a peer's bundle if that is newer than @p version.
   Returns whether another piece follows. */
static bool
fetch_piece (struct gossip_caller *caller, const struct gossip_peer *peer,
             uint64_t version)
{
  struct gossip_bundle_args args
      = { caller->gossip->cluster, version, caller->pieces_version,
          caller->pieces->len };
  struct gossip_bundle_result result;
  enum wire_status status
      = wire_client_call (client_of (caller, peer), GOSSIP_BUNDLE,
                          (xdrproc_t)xdr_gossip_bundle_args, &args,
                          (xdrproc_t)xdr_gossip_bundle_result, &result,
                          sizeof result, CACTUS_CALL_TIMEOUT_MS);
  bool continues = status == WIRE_OK && result.bundle_version > version
                   && add_piece (caller, &result);
  xdr_free ((xdrproc_t)xdr_gossip_bundle_result, (char *)&result);
  return continues;
}

/* Fetches the peer's bundle when it is newer than this router's bundle.  What
   doesn't come within BUNDLE_FETCH_MS follows after the next exchange, which
   is not delayed longer. */
static void
fetch_bundle (struct gossip_caller *caller, const struct gossip_peer *peer,
              uint64_t peer_version)
{
  struct gossip *gossip = caller->gossip;
  struct gossip_bundle_callbacks *bundles = gossip->bundles;
  uint64_t version = bundles ? bundles->version (bundles) : UINT64_MAX;
  uint64_t began_ms = base_clock_now_ms (gossip->clock);
  bool continues = peer_version > version;
  while (continues
         && base_clock_now_ms (gossip->clock) < began_ms + BUNDLE_FETCH_MS)
    continues = fetch_piece (caller, peer, version);
}

/* Sends one request and handles the response.  Returns true when @p repair is
   to be sent next. */
static bool
exchange_once (struct gossip_caller *caller, const struct gossip_peer *peer,
               struct gossip_exchange_args *args,
               struct gossip_exchange_args *repair)
{
  struct gossip *gossip = caller->gossip;
  struct gossip_exchange_result result;
  bool due = false;
  uint64_t sent_ms = base_clock_now_ms (gossip->clock);
  if (call_exchange (caller, peer, args, &result) == WIRE_OK)
    {
      uint64_t now_ms = base_clock_now_ms (gossip->clock);
      due = gossip_core_handle_response (gossip->core, peer, &result, sent_ms,
                                         now_ms, repair);
      if (result.accepted)
        fetch_bundle (caller, peer, result.bundle_version);
    }
  xdr_free ((xdrproc_t)xdr_gossip_exchange_result, (char *)&result);
  return due;
}

/* Exchanges changes with a peer, with at most one repair. */
static void
exchange (struct gossip_caller *caller, const struct gossip_peer *peer)
{
  struct gossip *gossip = caller->gossip;
  struct gossip_exchange_args args;
  struct gossip_exchange_args repair;
  struct gossip_exchange_args unused;
  gossip_core_make_request (gossip->core, peer,
                            base_clock_now_ms (gossip->clock), &args);
  if (exchange_once (caller, peer, &args, &repair))
    {
      if (exchange_once (caller, peer, &repair, &unused))
        xdr_free ((xdrproc_t)xdr_gossip_exchange_args, (char *)&unused);
      xdr_free ((xdrproc_t)xdr_gossip_exchange_args, (char *)&repair);
    }
  xdr_free ((xdrproc_t)xdr_gossip_exchange_args, (char *)&args);
}

/* Records that the zone thread is running.  After a stall, incoming exchanges
   are refused for a while, since calls sent before its end may still wait in
   the sockets. */
static void
note_progress (struct gossip *gossip)
{
  uint64_t now_ms = base_clock_now_ms (gossip->clock);
  if (now_ms > atomic_load (&gossip->last_round_ms) + GOSSIP_STALL_MS)
    {
      base_counter_add (gossip->stalls, 1);
      atomic_store (&gossip->refuse_until_ms, now_ms + REFUSE_AFTER_STALL_MS);
    }
  atomic_store (&gossip->last_round_ms, now_ms);
}

/* Sends the departures that targets announced to this router to all routers
   of the zone. */
static void
send_departures (struct gossip_caller *caller, struct gossip_peer *peers)
{
  struct gossip *gossip = caller->gossip;
  struct gossip_exchange_args args;
  uint64_t now_ms = base_clock_now_ms (gossip->clock);
  if (!gossip_core_make_departure_request (gossip->core, now_ms, &args))
    return;
  g_mutex_lock (&gossip->mutex);
  size_t count = gossip_peers_pick_zone (gossip->peers, &gossip->random,
                                         now_ms, peers, PEERS_MAX);
  g_mutex_unlock (&gossip->mutex);
  for (size_t i = 0; i < count; i++)
    {
      struct gossip_exchange_result result;
      call_exchange (caller, &peers[i], &args, &result);
      xdr_free ((xdrproc_t)xdr_gossip_exchange_result, (char *)&result);
      note_progress (gossip);
    }
  xdr_free ((xdrproc_t)xdr_gossip_exchange_args, (char *)&args);
}

/* Waits for the next round.  Returns false when gossip stops.  With
   @p for_departures a queued departure ends the wait early, and the caller
   sends it without a new round. */
static bool
wait_round (struct gossip *gossip, gint64 until_us, bool for_departures)
{
  g_mutex_lock (&gossip->mutex);
  while (!gossip->stopping && !(for_departures && gossip->departing)
         && g_cond_wait_until (&gossip->wake, &gossip->mutex, until_us))
    ;
  bool keep_running = !gossip->stopping;
  if (for_departures)
    gossip->departing = false;
  g_mutex_unlock (&gossip->mutex);
  return keep_running;
}

static void
zone_round (struct gossip_caller *caller, struct gossip_peer *peers)
{
  struct gossip *gossip = caller->gossip;
  gossip_core_start_round (gossip->core);
  g_mutex_lock (&gossip->mutex);
  size_t count = gossip_peers_pick_zone (gossip->peers, &gossip->random,
                                         base_clock_now_ms (gossip->clock),
                                         peers, GOSSIP_ZONE_FANOUT);
  g_mutex_unlock (&gossip->mutex);
  for (size_t i = 0; i < count; i++)
    exchange (caller, &peers[i]);
}

static gpointer
run_zone (gpointer data)
{
  struct gossip_caller *caller = data;
  struct gossip_peer *peers = g_new (struct gossip_peer, PEERS_MAX);
  gint64 next_us = g_get_monotonic_time ();
  do
    {
      note_progress (caller->gossip);
      send_departures (caller, peers);
      if (g_get_monotonic_time () >= next_us)
        {
          zone_round (caller, peers);
          next_us = g_get_monotonic_time () + ROUND_US;
        }
    }
  while (wait_round (caller->gossip, next_us, true));
  g_free (peers);
  return NULL;
}

static gpointer
run_relay (gpointer data)
{
  struct gossip_caller *caller = data;
  struct gossip *gossip = caller->gossip;
  struct gossip_peer *peers = g_new (struct gossip_peer, PEERS_MAX);
  do
    {
      g_mutex_lock (&gossip->mutex);
      size_t count = gossip_peers_pick_relays (
          gossip->peers, &gossip->random, base_clock_now_ms (gossip->clock),
          peers, PEERS_MAX);
      g_mutex_unlock (&gossip->mutex);
      for (size_t i = 0; i < count; i++)
        exchange (caller, &peers[i]);
    }
  while (wait_round (gossip, g_get_monotonic_time () + ROUND_US, false));
  g_free (peers);
  return NULL;
}

static void
start_caller (struct gossip *gossip, struct gossip_caller *caller,
              const char *name, GThreadFunc run, uint32_t timeout_ms)
{
  caller->gossip = gossip;
  caller->timeout_ms = timeout_ms;
  caller->clients
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, client_free);
  caller->pieces = g_byte_array_new ();
  caller->thread = g_thread_new (name, run, caller);
}

static void
stop_caller (struct gossip_caller *caller)
{
  g_thread_join (caller->thread);
  g_hash_table_destroy (caller->clients);
  g_byte_array_unref (caller->pieces);
}

void
gossip_rounds_start (struct gossip *gossip)
{
  start_caller (gossip, &gossip->zone, "gossip-zone", run_zone,
                ZONE_TIMEOUT_MS);
  start_caller (gossip, &gossip->relay, "gossip-relay", run_relay,
                RELAY_TIMEOUT_MS);
}

void
gossip_rounds_join (struct gossip *gossip)
{
  stop_caller (&gossip->zone);
  stop_caller (&gossip->relay);
}
