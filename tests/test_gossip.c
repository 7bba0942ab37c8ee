/** @file
 *  Tests of gossip between routers: the core with simulated time, the choice
 *  of peers and relays, and calls over loopback. */

#include <stdatomic.h>
#include <string.h>

#include <glib.h>

#include "cactus_config.h"
#include "gossip_core.h"
#include "gossip_peers.h"
#include "gossip.h"
#include "link_relay.h"
#include "wire_client.h"

/* One router without threads. */
struct node
{
  struct gossip_peer self;
  struct registry *registry;
  struct gossip_core *core;
};

static struct gossip_peer
peer_at (const char *host, const char *zone, const char *region)
{
  struct gossip_peer peer = { .port = 7000 };
  g_strlcpy (peer.host, host, sizeof peer.host);
  g_strlcpy (peer.availability_zone, zone, sizeof peer.availability_zone);
  g_strlcpy (peer.region, region, sizeof peer.region);
  g_strlcpy (peer.address, "127.0.0.1", sizeof peer.address);
  return peer;
}

static struct node
node_at (const char *host, const char *zone, const char *region)
{
  struct node node = { .self = peer_at (host, zone, region) };
  node.registry = registry_create (CACTUS_TARGET_LAPSE_MS);
  node.core = gossip_core_create (node.registry, "test", &node.self, 1);
  return node;
}

static void
node_clear (struct node *node)
{
  gossip_core_destroy (node->core);
  registry_destroy (node->registry);
}

static struct registry_record
record_of (const char *target, const char *zone, uint64_t incarnation,
           uint64_t sequence, uint64_t last_report_ms)
{
  struct registry_record record = { .port = 9000,
                                    .incarnation = incarnation,
                                    .sequence = sequence,
                                    .last_report_ms = last_report_ms,
                                    .slots = 8,
                                    .running = 3,
                                    .queued = 2,
                                    .weight = 100 };
  g_strlcpy (record.target, target, sizeof record.target);
  g_strlcpy (record.service, "redactor", sizeof record.service);
  g_strlcpy (record.availability_zone, zone, CACTUS_NAME_BYTES);
  g_strlcpy (record.region, "cantabrico", CACTUS_NAME_BYTES);
  g_strlcpy (record.address, "10.0.0.1", sizeof record.address);
  return record;
}

static void
put (struct node *node, const struct registry_record *record, uint64_t now_ms)
{
  g_assert_cmpint (registry_merge (node->registry, record, now_ms), ==,
                   REGISTRY_MERGED);
}

/* Makes one request and handles its response.  Returns true when @p repair is
   to be sent next. */
static bool
call (struct node *from, struct node *to, struct gossip_exchange_args *args,
      uint64_t from_ms, uint64_t to_ms, struct gossip_exchange_args *repair)
{
  struct gossip_exchange_result result;
  gossip_core_handle_request (to->core, args, to_ms, &result);
  bool due = gossip_core_handle_response (from->core, &to->self, &result,
                                          from_ms, from_ms, repair);
  xdr_free ((xdrproc_t)xdr_gossip_exchange_result, (char *)&result);
  xdr_free ((xdrproc_t)xdr_gossip_exchange_args, (char *)args);
  return due;
}

/* Makes a whole exchange between two routers, whose clocks may differ.
   Returns the number of records and loads in the first request. */
static u_int
exchange (struct node *from, struct node *to, uint64_t from_ms, uint64_t to_ms)
{
  struct gossip_exchange_args args;
  struct gossip_exchange_args repair;
  struct gossip_exchange_args unused;
  gossip_core_make_request (from->core, &to->self, from_ms, &args);
  u_int sent = args.records.records_len + args.loads.loads_len;
  if (call (from, to, &args, from_ms, to_ms, &repair)
      && call (from, to, &repair, from_ms, to_ms, &unused))
    xdr_free ((xdrproc_t)xdr_gossip_exchange_args, (char *)&unused);
  return sent;
}

static void
assert_known (struct node *node, const struct registry_record *record,
              uint64_t last_report_ms)
{
  struct registry_record found;
  g_assert_true (
      registry_find_target (node->registry, record->target, &found));
  g_assert_cmpuint (found.incarnation, ==, record->incarnation);
  g_assert_cmpuint (found.sequence, ==, record->sequence);
  g_assert_cmpuint (found.leaving, ==, record->leaving);
  g_assert_cmpuint (found.running, ==, record->running);
  g_assert_cmpuint (found.queued, ==, record->queued);
  g_assert_cmpuint (found.last_report_ms, ==, last_report_ms);
}

/* An exchange pushes and pulls whole records, then the load of a known one;
   the two clocks differ. */
static void
test_push_and_pull (void)
{
  struct node a = node_at ("a", "z1", "r1");
  struct node b = node_at ("b", "z1", "r1");
  struct registry_record one = record_of ("one", "z1", 1, 1, 1000);
  struct registry_record two = record_of ("two", "z1", 1, 1, 50960);
  put (&a, &one, 1000);
  put (&b, &two, 50960);
  exchange (&a, &b, 1040, 51000);
  assert_known (&b, &one, 50960);
  assert_known (&a, &two, 1000);
  one.sequence = 2;
  one.running = 7;
  one.last_report_ms = 1080;
  put (&a, &one, 1080);
  exchange (&a, &b, 1080, 51040);
  assert_known (&b, &one, 51040);
  node_clear (&a);
  node_clear (&b);
}

/* Records whose numbers don't fit a gossip_load are sent whole. */
static void
test_large_numbers (void)
{
  struct node a = node_at ("a", "z1", "r1");
  struct node b = node_at ("b", "z1", "r1");
  struct registry_record record
      = record_of ("one", "z1", 1, UINT64_C (1) << 40, 1000);
  record.running = 5000;
  put (&a, &record, 1000);
  exchange (&a, &b, 1000, 1000);
  assert_known (&b, &record, 1000);
  record.sequence++;
  record.queued = 6000;
  put (&a, &record, 1001);
  exchange (&b, &a, 1001, 1001);
  assert_known (&b, &record, 1000);
  node_clear (&a);
  node_clear (&b);
}

/* When an old copy meets a departure or a newer incarnation, both sides keep
   the newer record. */
static void
test_old_copies (void)
{
  struct node a = node_at ("a", "z1", "r1");
  struct node b = node_at ("b", "z1", "r1");
  struct registry_record old = record_of ("one", "z1", 1, 50, 2000);
  struct registry_record leaving = record_of ("one", "z1", 1, 7, 1000);
  leaving.leaving = true;
  put (&a, &old, 2000);
  put (&b, &leaving, 1000);
  /* The departure is too old for b to push it: a learns of it from the
     response to its own old copy. */
  for (int i = 0; i < 4; i++)
    gossip_core_start_round (b.core);
  exchange (&a, &b, 2000, 2000);
  assert_known (&a, &leaving, 1000);
  assert_known (&b, &leaving, 1000);
  struct registry_record restarted = record_of ("one", "z1", 2, 1, 3000);
  put (&a, &restarted, 3000);
  exchange (&b, &a, 3000, 3000);
  assert_known (&b, &restarted, 3000);
  node_clear (&a);
  node_clear (&b);
}

/* A router that starts late learns records that are no longer pushed, through
   the slices. */
static void
test_late_router (void)
{
  struct node a = node_at ("a", "z1", "r1");
  struct node b = node_at ("b", "z1", "r1");
  struct registry_record record;
  for (int i = 0; i < 20; i++)
    {
      char name[8];
      g_snprintf (name, sizeof name, "t%d", i);
      record = record_of (name, "z1", 1, 1, 1000);
      put (&a, &record, 1000);
    }
  for (int i = 0; i < 4; i++)
    gossip_core_start_round (a.core);
  for (int i = 0; i < 60 && registry_count (b.registry) < 20; i++)
    exchange (&a, &b, 1000, 1000);
  g_assert_cmpuint (registry_count (b.registry), ==, 20);
  node_clear (&a);
  node_clear (&b);
}

/* Another zone gets a few records of the sender's zone, another region only
   those of services that it may use; departures are always sent. */
static void
test_across_zones (void)
{
  static const char *const services[] = { "mostrador" };
  struct node a = node_at ("a", "z1", "r1");
  struct node b = node_at ("b", "z2", "r1");
  struct node c = node_at ("c", "z3", "r2");
  struct registry_record record;
  for (int i = 0; i < 30; i++)
    {
      char name[8];
      g_snprintf (name, sizeof name, "t%d", i);
      record = record_of (name, i < 20 ? "z1" : "z9", 1, 1, 1000);
      put (&a, &record, 1000);
    }
  exchange (&a, &b, 1000, 1000);
  g_assert_cmpuint (registry_count (b.registry), ==, 14);
  g_assert_false (registry_find_target (b.registry, "t25", &record));
  gossip_core_set_cross_region (a.core, services, 1);
  exchange (&a, &c, 1000, 1000);
  exchange (&c, &a, 1000, 1000);
  g_assert_cmpuint (registry_count (c.registry), ==, 0);
  record = record_of ("m1", "z1", 1, 1, 1000);
  g_strlcpy (record.service, "mostrador", sizeof record.service);
  put (&a, &record, 1000);
  exchange (&c, &a, 1000, 1000);
  g_assert_cmpuint (registry_count (c.registry), ==, 1);
  /* With two services, each may share half as many targets. */
  exchange (&a, &b, 1000, 1000);
  record.leaving = true;
  put (&a, &record, 1001);
  exchange (&a, &c, 1001, 1001);
  g_assert_cmpuint (registry_count (c.registry), ==, 0);
  node_clear (&a);
  node_clear (&b);
  node_clear (&c);
}

/* A departure is sent to the zone once, ahead of the next round. */
static void
test_departure_at_once (void)
{
  struct node a = node_at ("a", "z1", "r1");
  struct node b = node_at ("b", "z1", "r1");
  struct registry_record record = record_of ("one", "z1", 1, 1, 1000);
  struct gossip_exchange_args args;
  struct gossip_exchange_args repair;
  put (&a, &record, 1000);
  exchange (&a, &b, 1000, 1000);
  record.leaving = true;
  put (&a, &record, 1100);
  g_assert_false (gossip_core_make_departure_request (a.core, 1100, &args));
  gossip_core_add_departure (a.core, &record);
  g_assert_true (gossip_core_make_departure_request (a.core, 1100, &args));
  g_assert_false (call (&a, &b, &args, 1100, 1100, &repair));
  g_assert_cmpuint (registry_count (b.registry), ==, 0);
  g_assert_false (gossip_core_make_departure_request (a.core, 1100, &args));
  node_clear (&a);
  node_clear (&b);
}

/* A request of another cluster is refused, and a malformed record ignored. */
static void
test_refused (void)
{
  struct node a = node_at ("a", "z1", "r1");
  struct node b = node_at ("b", "z1", "r1");
  struct registry_record record = record_of ("one", "z1", 1, 1, 1000);
  struct gossip_exchange_args args;
  struct gossip_exchange_args repair;
  put (&a, &record, 1000);
  gossip_core_make_request (a.core, &b.self, 1000, &args);
  args.cluster_hash++;
  g_assert_false (call (&a, &b, &args, 1000, 1000, &repair));
  g_assert_cmpuint (registry_count (b.registry), ==, 0);
  /* A malformed record is ignored; the rest of the request is merged. */
  record.leaving = true;
  put (&a, &record, 1000);
  gossip_core_add_departure (a.core, &record);
  record = record_of ("two", "z1", 1, 1, 1000);
  g_strlcpy (record.target, "t\"wo", sizeof record.target);
  gossip_core_add_departure (a.core, &record);
  g_assert_true (gossip_core_make_departure_request (a.core, 1000, &args));
  g_assert_cmpuint (args.records.records_len, ==, 2);
  g_assert_false (call (&a, &b, &args, 1000, 1000, &repair));
  g_assert_true (registry_find_target (b.registry, "one", &record));
  g_assert_false (registry_find_target (b.registry, "t\"wo", &record));
  node_clear (&a);
  node_clear (&b);
}

#define ZONES 3
#define ROUTERS 10

static char hosts[ZONES * ROUTERS][8];
static char zones[ZONES][4];

static void
make_processes (struct wire_process *processes)
{
  static char region[] = "r1";
  static char address[] = "10.0.0.1";
  for (int i = 0; i < ZONES * ROUTERS; i++)
    {
      g_snprintf (hosts[i], sizeof hosts[i], "h%02d", i);
      g_snprintf (zones[i / ROUTERS], sizeof zones[0], "z%d", i / ROUTERS);
      processes[i]
          = (struct wire_process){ .kind = WIRE_PROCESS_ROUTER,
                                   .host = hosts[i],
                                   .availability_zone = zones[i / ROUTERS],
                                   .region = region,
                                   .address = address,
                                   .rpc_port = 7000 };
    }
}

/* Each ordered pair of zones has two relays, and relays call only relays. */
static void
test_relays (void)
{
  struct wire_process processes[ZONES * ROUTERS];
  struct gossip_peer chosen[ROUTERS];
  struct base_random random = { 3 };
  GHashTable *callers = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTable *called
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  size_t links = 0;
  make_processes (processes);
  for (int i = 0; i < ZONES * ROUTERS; i++)
    {
      struct gossip_peer self = peer_at (hosts[i], zones[i / ROUTERS], "r1");
      struct gossip_peers *peers = gossip_peers_create (&self);
      gossip_peers_set (peers, processes, ZONES * ROUTERS);
      for (int round = 0; round < 20; round++)
        {
          size_t count = gossip_peers_pick_relays (peers, &random, 1000,
                                                   chosen, ROUTERS);
          links += round == 0 ? count : 0;
          for (size_t j = 0; j < count; j++)
            {
              g_assert_cmpstr (chosen[j].availability_zone, !=,
                               self.availability_zone);
              g_hash_table_add (callers, hosts[i]);
              g_hash_table_add (called, g_strdup (chosen[j].host));
            }
        }
      gossip_peers_destroy (peers);
    }
  g_assert_cmpuint (links, ==, (size_t)ZONES * (ZONES - 1) * 2);
  g_assert_cmpuint (g_hash_table_size (called), ==,
                    g_hash_table_size (callers));
  g_hash_table_destroy (callers);
  g_hash_table_destroy (called);
}

/* A router's rank, the choice of peers in its zone, and their backoff. */
static void
test_peers (void)
{
  struct wire_process processes[ZONES * ROUTERS];
  struct gossip_peer self = peer_at ("h00", "z0", "r1");
  struct gossip_peer chosen[ZONES * ROUTERS];
  struct base_random random = { 3 };
  struct gossip_peers *peers = gossip_peers_create (&self);
  make_processes (processes);
  processes[1].kind = WIRE_PROCESS_LEDGER;
  uint32_t routers = 0;
  g_assert_cmpuint (gossip_peers_rank (peers, &routers), ==, 0);
  g_assert_cmpuint (routers, ==, 1);
  gossip_peers_set (peers, processes, ZONES * ROUTERS);
  g_assert_cmpuint (gossip_peers_rank (peers, &routers), ==, 0);
  g_assert_cmpuint (routers, ==, 9);
  g_assert_cmpuint (gossip_peers_pick_zone (peers, &random, 1000, chosen, 99),
                    ==, 8);
  g_assert_cmpuint (gossip_peers_pick_zone (peers, &random, 1000, chosen, 3),
                    ==, 3);
  gossip_peers_record_result (peers, "h05", true, 1000);
  g_assert_cmpuint (gossip_peers_pick_zone (peers, &random, 1999, chosen, 99),
                    ==, 7);
  /* A new list that contains the peer keeps its failures. */
  gossip_peers_set (peers, processes, ZONES * ROUTERS);
  g_assert_cmpuint (gossip_peers_pick_zone (peers, &random, 1999, chosen, 99),
                    ==, 7);
  g_assert_cmpuint (gossip_peers_pick_zone (peers, &random, 2000, chosen, 99),
                    ==, 8);
  gossip_peers_record_result (peers, "h05", true, 2000);
  g_assert_cmpuint (gossip_peers_pick_zone (peers, &random, 3999, chosen, 99),
                    ==, 7);
  gossip_peers_record_result (peers, "h05", false, 3999);
  g_assert_cmpuint (gossip_peers_pick_zone (peers, &random, 3999, chosen, 99),
                    ==, 8);
  gossip_peers_destroy (peers);
}

/* Takes three seconds on the link of its test. */
#define LARGE_BUNDLE_BYTES 1500000

/* Stub of the router's bundle; keeps one version and its text. */
struct fake_bundles
{
  struct gossip_bundle_callbacks base;
  GMutex mutex;
  uint64_t version;
  char *text;
};

static uint64_t
fake_version (struct gossip_bundle_callbacks *bundles)
{
  struct fake_bundles *fake = (struct fake_bundles *)bundles;
  g_mutex_lock (&fake->mutex);
  uint64_t version = fake->version;
  g_mutex_unlock (&fake->mutex);
  return version;
}

static char *
fake_document (struct gossip_bundle_callbacks *bundles, size_t *bytes)
{
  struct fake_bundles *fake = (struct fake_bundles *)bundles;
  g_mutex_lock (&fake->mutex);
  char *text = g_strdup (fake->text);
  g_mutex_unlock (&fake->mutex);
  *bytes = strlen (text);
  return text;
}

static void
fake_offer (struct gossip_bundle_callbacks *bundles, const char *document,
            size_t bytes)
{
  struct fake_bundles *fake = (struct fake_bundles *)bundles;
  g_mutex_lock (&fake->mutex);
  g_free (fake->text);
  fake->text = g_strndup (document, bytes);
  fake->version = 9;
  g_mutex_unlock (&fake->mutex);
}

/* The system's clock with an offset, so that tests can set it forward. */
struct fake_clock
{
  struct base_clock base;
  _Atomic uint64_t ahead_us;
};

static uint64_t
fake_now (struct base_clock *clock)
{
  return base_clock_now_us (base_clock_system ())
         + atomic_load (&((struct fake_clock *)clock)->ahead_us);
}

static uint64_t
fake_wall (struct base_clock *clock)
{
  (void)clock;
  return 0;
}

/* The router that answers calls in the loopback tests. */
struct server
{
  struct wire_handler handler;
  struct wire_server *wire;
  struct gossip *gossip;
  struct registry *registry;
  struct fake_bundles bundles;
  struct fake_clock clock;
  atomic_bool stopping;
  GThread *thread;
};

static void
take_call (struct wire_handler *handler, struct wire_call *call)
{
  gossip_handle_call (((struct server *)handler)->gossip, call);
}

static void
end_round (struct wire_handler *handler)
{
  (void)handler;
}

static gpointer
serve (gpointer data)
{
  struct server *server = data;
  while (!atomic_load (&server->stopping))
    wire_server_round (server->wire, 5);
  return NULL;
}

static struct wire_process
process_at (char *host, uint16_t port)
{
  static char zone[] = "z1";
  static char region[] = "r1";
  static char address[] = "127.0.0.1";
  struct wire_process process = { .kind = WIRE_PROCESS_ROUTER,
                                  .host = host,
                                  .availability_zone = zone,
                                  .region = region,
                                  .address = address,
                                  .rpc_port = port };
  return process;
}

static struct fake_bundles
bundles_of (uint64_t version, const char *text)
{
  struct fake_bundles bundles
      = { .base = { fake_version, fake_document, fake_offer },
          .version = version,
          .text = g_strdup (text) };
  return bundles;
}

static char serving_host[] = "server";
static char calling_host[] = "caller";

/* Starts a server whose bundle of version 9 is @p text. */
static void
server_start (struct server *server, const char *text)
{
  struct wire_program program = { GOSSIP_PROGRAM, GOSSIP_VERSION };
  memset (server, 0, sizeof *server);
  server->handler.call = take_call;
  server->handler.round = end_round;
  server->clock.base.now_us = fake_now;
  server->clock.base.wall_ms = fake_wall;
  server->bundles = bundles_of (9, text);
  server->registry = registry_create (CACTUS_TARGET_LAPSE_MS);
  struct wire_process self = process_at (serving_host, 1);
  server->gossip
      = gossip_create (server->registry, "test", &self, &server->clock.base,
                       &server->bundles.base, NULL);
  server->wire
      = wire_server_create ("127.0.0.1", 0, &program, 1, &server->handler);
  g_assert_nonnull (server->wire);
  server->thread = g_thread_new ("server", serve, server);
}

static void
server_stop (struct server *server)
{
  atomic_store (&server->stopping, true);
  wire_server_wake (server->wire);
  g_thread_join (server->thread);
  wire_server_destroy (server->wire);
  gossip_destroy (server->gossip);
  registry_destroy (server->registry);
  g_free (server->bundles.text);
}

/* Waits until the condition holds, at most until the timeout of the test
   program. */
#define WAIT_FOR(condition)                                                   \
  do                                                                          \
    g_usleep (2000);                                                          \
  while (!(condition))

/* Records, the newer bundle and a departure go from router to router. */
static void
test_loopback (void)
{
  struct server server;
  struct registry_record found;
  uint64_t now_ms = base_clock_now_ms (base_clock_system ());
  server_start (&server, "nine");
  struct fake_bundles bundles = bundles_of (3, "three");
  struct registry *registry = registry_create (600000);
  struct wire_process self = process_at (calling_host, 2);
  struct gossip *gossip = gossip_create (
      registry, "test", &self, base_clock_system (), &bundles.base, NULL);
  struct wire_process peer
      = process_at (serving_host, wire_server_port (server.wire));
  struct registry_record theirs = record_of ("one", "z1", 1, 1, now_ms);
  registry_merge (server.registry, &theirs, now_ms);
  gossip_set_peers (gossip, &peer, 1);
  WAIT_FOR (registry_find_target (registry, "one", &found));
  WAIT_FOR (fake_version (&bundles.base) == 9);
  g_assert_cmpstr (bundles.text, ==, "nine");
  struct registry_record ours = record_of (
      "two", "z1", 1, 1, base_clock_now_ms (base_clock_system ()));
  ours.leaving = true;
  registry_merge (registry, &ours, ours.last_report_ms);
  gossip_announce_departure (gossip, &ours);
  WAIT_FOR (registry_find_target (server.registry, "two", &found));
  g_assert_true (found.leaving);
  gossip_destroy (gossip);
  registry_destroy (registry);
  g_free (bundles.text);
  server_stop (&server);
}

/* A bundle that takes longer than one call on a narrow link must not be read
   from its first byte again and again. */
static void
test_bundle_read_begun_anew (void)
{
  struct server server;
  char *text = g_strnfill (LARGE_BUNDLE_BYTES, 'x');
  server_start (&server, text);
  struct link_relay *link = link_relay_create ();
  uint16_t port = link_relay_add_listener (link, "127.0.0.1", 0, "127.0.0.1",
                                           wire_server_port (server.wire));
  link_relay_set_bandwidth (link, LARGE_BUNDLE_BYTES / 3);
  struct fake_bundles bundles = bundles_of (3, "three");
  struct registry *registry = registry_create (600000);
  struct wire_process self = process_at (calling_host, 2);
  struct gossip *gossip = gossip_create (
      registry, "test", &self, base_clock_system (), &bundles.base, NULL);
  struct wire_process peer = process_at (serving_host, port);
  gossip_set_peers (gossip, &peer, 1);
  for (uint32_t i = 0; i < 150 && fake_version (&bundles.base) != 9; i++)
    g_usleep (100000);
  g_assert_cmpuint (fake_version (&bundles.base), ==, 9);
  g_assert_cmpstr (bundles.text, ==, text);
  g_assert_cmpuint (link_relay_forwarded_bytes (link), <,
                    2 * LARGE_BUNDLE_BYTES);
  gossip_destroy (gossip);
  registry_destroy (registry);
  server_stop (&server);
  link_relay_destroy (link);
  g_free (bundles.text);
  g_free (text);
}

static bool
exchange_accepted (struct wire_client *client,
                   struct gossip_exchange_args *args)
{
  struct gossip_exchange_result result;
  g_assert_cmpint (wire_client_call (client, GOSSIP_EXCHANGE,
                                     (xdrproc_t)xdr_gossip_exchange_args, args,
                                     (xdrproc_t)xdr_gossip_exchange_result,
                                     &result, sizeof result, 60000),
                   ==, WIRE_OK);
  bool accepted = result.accepted;
  xdr_free ((xdrproc_t)xdr_gossip_exchange_result, (char *)&result);
  return accepted;
}

/* After a stall a router refuses exchanges for a while, since they may have
   waited in its sockets for as long as the stall, and then accepts them again.
 */
static void
test_frozen (void)
{
  struct server server;
  struct gossip_exchange_args args;
  struct node a = node_at ("a", "z1", "r1");
  server_start (&server, "nine");
  struct wire_client *client
      = wire_client_create ("127.0.0.1", wire_server_port (server.wire),
                            GOSSIP_PROGRAM, GOSSIP_VERSION);
  struct gossip_peer peer = peer_at (serving_host, "z1", "r1");
  struct registry_record record = record_of ("one", "z1", 1, 1, 1000);
  put (&a, &record, 1000);
  gossip_core_add_departure (a.core, &record);
  gossip_core_make_request (a.core, &peer, 1000, &args);
  xdr_free ((xdrproc_t)xdr_gossip_exchange_args, (char *)&args);
  g_assert_true (gossip_core_make_departure_request (a.core, 1000, &args));
  atomic_store (&server.clock.ahead_us, 10000000);
  g_assert_false (exchange_accepted (client, &args));
  g_assert_false (registry_find_target (server.registry, "one", &record));
  WAIT_FOR (exchange_accepted (client, &args));
  g_assert_true (registry_find_target (server.registry, "one", &record));
  xdr_free ((xdrproc_t)xdr_gossip_exchange_args, (char *)&args);
  wire_client_destroy (client);
  server_stop (&server);
  node_clear (&a);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/gossip/push-and-pull", test_push_and_pull);
  g_test_add_func ("/gossip/large-numbers", test_large_numbers);
  g_test_add_func ("/gossip/old-copies", test_old_copies);
  g_test_add_func ("/gossip/late-router", test_late_router);
  g_test_add_func ("/gossip/across-zones", test_across_zones);
  g_test_add_func ("/gossip/departure-at-once", test_departure_at_once);
  g_test_add_func ("/gossip/refused", test_refused);
  g_test_add_func ("/gossip/relays", test_relays);
  g_test_add_func ("/gossip/peers", test_peers);
  g_test_add_func ("/gossip/loopback", test_loopback);
  g_test_add_func ("/gossip/bundle-read-begun-anew",
                   test_bundle_read_begun_anew);
  g_test_add_func ("/gossip/frozen", test_frozen);
  return g_test_run ();
}
