/** @file
 *  Gossip between routers in virtual time: bytes and processor time a second
 *  a router, ages of reports, and time until a departure is known.  Calls are
 *  encoded and decoded as on the wire; sockets are left out. */

#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include <glib.h>

#include "bench_slope.h"
#include "cactus_config.h"
#include "gossip_core.h"
#include "gossip_peers.h"

#define STEP_MS 10
#define WARM_UP_MS 5000
#define MEASURE_MS 20000
#define MESSAGE_BYTES (1024 * 1024)
/* Headers of ONC RPC over a call and a reply, and of TCP/IP over the segments
   of both and their acknowledgements. */
#define RPC_BYTES (44 + 32)
#define TCP_IP_BYTES (4 * 40)
#define AGE_BUCKET_MS 50
#define AGE_BUCKETS 400

/* A fleet in virtual time. */
struct fleet
{
  uint32_t zones;
  uint32_t routers;
  uint32_t targets;
  uint64_t now_ms;
  bool depart_at_once;
  struct base_random random;
  struct node *nodes;
  struct speaker *speakers;
  struct wire_process *processes;
  char *message;
  /* Counted while measuring. */
  bool measuring;
  uint64_t bytes;
  uint64_t calls;
  uint64_t samples;
  uint64_t lapsed;
  uint64_t ages[AGE_BUCKETS];
};

/* A router. */
struct node
{
  struct gossip_peer self;
  struct registry *registry;
  struct gossip_core *core;
  struct gossip_peers *peers;
  uint64_t phase_ms;
};

/* A target. */
struct speaker
{
  struct registry_record record;
  uint32_t zone;
  uint64_t phase_ms;
};

static uint32_t
node_count (const struct fleet *fleet)
{
  return fleet->zones * fleet->routers;
}

static void
name_place (uint32_t zone, char *zone_name, char *region)
{
  g_snprintf (zone_name, CACTUS_NAME_BYTES, "zone-%u", zone);
  g_snprintf (region, CACTUS_NAME_BYTES, "region-%u", zone / 4);
}

static void
make_node (struct fleet *fleet, uint32_t index)
{
  struct node *node = &fleet->nodes[index];
  struct wire_process *process = &fleet->processes[index];
  g_snprintf (node->self.host, CACTUS_NAME_BYTES, "router-%03u", index);
  name_place (index / fleet->routers, node->self.availability_zone,
              node->self.region);
  g_strlcpy (node->self.address, "10.0.0.1", sizeof node->self.address);
  node->self.port = 7000;
  node->phase_ms = base_random_below (&fleet->random, 500) / STEP_MS * STEP_MS;
  node->registry = registry_create (CACTUS_TARGET_LAPSE_MS);
  node->core = gossip_core_create (node->registry, "bench", &node->self,
                                   base_random_next (&fleet->random));
  node->peers = gossip_peers_create (&node->self);
  process->kind = WIRE_PROCESS_ROUTER;
  process->host = node->self.host;
  process->availability_zone = node->self.availability_zone;
  process->region = node->self.region;
  process->address = node->self.address;
  process->rpc_port = node->self.port;
}

static void
make_speaker (struct fleet *fleet, uint32_t index)
{
  struct speaker *speaker = &fleet->speakers[index];
  struct registry_record *record = &speaker->record;
  speaker->zone = index / fleet->targets;
  speaker->phase_ms
      = base_random_below (&fleet->random, 500) / STEP_MS * STEP_MS;
  g_snprintf (record->target, sizeof record->target, "target-%03u", index);
  g_snprintf (record->service, sizeof record->service, "service-%02u",
              index % 14);
  name_place (speaker->zone, record->availability_zone, record->region);
  g_snprintf (record->address, sizeof record->address, "10.1.%u.%u",
              index / 250, 1 + index % 250);
  record->port = 9000;
  record->incarnation = 1;
  record->slots = 64;
  record->weight = 100;
}

static struct fleet *
fleet_create (uint32_t zones, uint32_t routers, uint32_t targets)
{
  struct fleet *fleet = g_new0 (struct fleet, 1);
  fleet->zones = zones;
  fleet->routers = routers;
  fleet->targets = targets;
  fleet->now_ms = 100000;
  base_random_seed (&fleet->random, 7);
  fleet->nodes = g_new0 (struct node, node_count (fleet));
  fleet->processes = g_new0 (struct wire_process, node_count (fleet));
  fleet->speakers = g_new0 (struct speaker, zones * targets);
  fleet->message = g_malloc (MESSAGE_BYTES);
  for (uint32_t i = 0; i < node_count (fleet); i++)
    make_node (fleet, i);
  for (uint32_t i = 0; i < zones * targets; i++)
    make_speaker (fleet, i);
  for (uint32_t i = 0; i < node_count (fleet); i++)
    gossip_peers_set (fleet->nodes[i].peers, fleet->processes,
                      node_count (fleet));
  return fleet;
}

static void
fleet_destroy (struct fleet *fleet)
{
  for (uint32_t i = 0; i < node_count (fleet); i++)
    {
      gossip_core_destroy (fleet->nodes[i].core);
      gossip_peers_destroy (fleet->nodes[i].peers);
      registry_destroy (fleet->nodes[i].registry);
    }
  g_free (fleet->nodes);
  g_free (fleet->processes);
  g_free (fleet->speakers);
  g_free (fleet->message);
  g_free (fleet);
}

/* Encodes @p from and decodes it into zeroed @p to, as the wire does. */
static void
carry (struct fleet *fleet, xdrproc_t codec, void *from, void *to)
{
  XDR stream;
  xdrmem_create (&stream, fleet->message, MESSAGE_BYTES, XDR_ENCODE);
  g_assert_true (codec (&stream, from));
  uint32_t bytes = xdr_getpos (&stream);
  XDR_DESTROY (&stream);
  xdrmem_create (&stream, fleet->message, bytes, XDR_DECODE);
  g_assert_true (codec (&stream, to));
  XDR_DESTROY (&stream);
  if (fleet->measuring)
    fleet->bytes += bytes;
}

/* One call over the wire; true when @p repair is due. */
static bool
call (struct fleet *fleet, struct node *from, struct node *to,
      struct gossip_exchange_args *args, struct gossip_exchange_args *repair)
{
  struct gossip_exchange_args got = { 0 };
  struct gossip_exchange_result answer;
  struct gossip_exchange_result result = { 0 };
  carry (fleet, (xdrproc_t)xdr_gossip_exchange_args, args, &got);
  gossip_core_handle_request (to->core, &got, fleet->now_ms, &answer);
  carry (fleet, (xdrproc_t)xdr_gossip_exchange_result, &answer, &result);
  if (fleet->measuring)
    fleet->calls++;
  bool due = gossip_core_handle_response (
      from->core, &to->self, &result, fleet->now_ms, fleet->now_ms, repair);
  xdr_free ((xdrproc_t)xdr_gossip_exchange_args, (char *)&got);
  xdr_free ((xdrproc_t)xdr_gossip_exchange_result, (char *)&answer);
  xdr_free ((xdrproc_t)xdr_gossip_exchange_result, (char *)&result);
  return due;
}

static struct node *
node_named (struct fleet *fleet, const char *host)
{
  return &fleet->nodes[atoi (host + strlen ("router-"))];
}

static void
exchange (struct fleet *fleet, struct node *from, const struct gossip_peer *to)
{
  struct gossip_exchange_args args;
  struct gossip_exchange_args repair;
  struct gossip_exchange_args more;
  struct node *peer = node_named (fleet, to->host);
  gossip_core_make_request (from->core, to, fleet->now_ms, &args);
  if (call (fleet, from, peer, &args, &repair))
    {
      if (call (fleet, from, peer, &repair, &more))
        xdr_free ((xdrproc_t)xdr_gossip_exchange_args, (char *)&more);
      xdr_free ((xdrproc_t)xdr_gossip_exchange_args, (char *)&repair);
    }
  xdr_free ((xdrproc_t)xdr_gossip_exchange_args, (char *)&args);
}

static void
tell_departures (struct fleet *fleet, struct node *node)
{
  struct gossip_exchange_args args;
  struct gossip_exchange_args repair;
  if (!gossip_core_make_departure_request (node->core, fleet->now_ms, &args))
    return;
  uint32_t zone = (uint32_t)(node - fleet->nodes) / fleet->routers;
  for (uint32_t i = 0; i < fleet->routers; i++)
    {
      struct node *peer = &fleet->nodes[zone * fleet->routers + i];
      if (peer != node && call (fleet, node, peer, &args, &repair))
        xdr_free ((xdrproc_t)xdr_gossip_exchange_args, (char *)&repair);
    }
  xdr_free ((xdrproc_t)xdr_gossip_exchange_args, (char *)&args);
}

static void
node_round (struct fleet *fleet, struct node *node)
{
  struct gossip_peer chosen[64];
  gossip_core_start_round (node->core);
  registry_lapse (node->registry, fleet->now_ms);
  size_t count = gossip_peers_pick_zone (
      node->peers, &fleet->random, fleet->now_ms, chosen, GOSSIP_ZONE_FANOUT);
  for (size_t i = 0; i < count; i++)
    exchange (fleet, node, &chosen[i]);
  count = gossip_peers_pick_relays (node->peers, &fleet->random, fleet->now_ms,
                                    chosen, 64);
  for (size_t i = 0; i < count; i++)
    exchange (fleet, node, &chosen[i]);
}

static void
announce (struct fleet *fleet, struct speaker *speaker)
{
  struct registry_record *record = &speaker->record;
  uint32_t index
      = speaker->zone * fleet->routers
        + (uint32_t)base_random_below (&fleet->random, fleet->routers);
  struct node *node = &fleet->nodes[index];
  record->sequence++;
  record->last_report_ms = fleet->now_ms;
  record->running = (uint32_t)base_random_below (&fleet->random, 64);
  registry_merge (node->registry, record, fleet->now_ms);
  if (record->leaving && fleet->depart_at_once)
    {
      gossip_core_add_departure (node->core, record);
      tell_departures (fleet, node);
    }
}

/* Notes the age of every record of the own zone at every router. */
static void
sample_ages (struct fleet *fleet)
{
  for (uint32_t i = 0; i < node_count (fleet); i++)
    for (uint32_t j = 0; j < fleet->targets; j++)
      {
        uint32_t zone = i / fleet->routers;
        const struct speaker *speaker
            = &fleet->speakers[zone * fleet->targets + j];
        struct registry_record record;
        uint64_t age_ms = CACTUS_TARGET_LAPSE_MS;
        if (registry_find_target (fleet->nodes[i].registry,
                                  speaker->record.target, &record))
          age_ms = fleet->now_ms - record.last_report_ms;
        fleet->samples++;
        fleet->lapsed += age_ms >= CACTUS_TARGET_LAPSE_MS;
        fleet->ages[MIN (age_ms / AGE_BUCKET_MS, AGE_BUCKETS - 1)]++;
      }
}

static void
step (struct fleet *fleet)
{
  fleet->now_ms += STEP_MS;
  for (uint32_t i = 0; i < fleet->zones * fleet->targets; i++)
    if (!fleet->speakers[i].record.leaving
        && (fleet->now_ms + fleet->speakers[i].phase_ms)
                   % CACTUS_ANNOUNCE_INTERVAL_MS
               == 0)
      announce (fleet, &fleet->speakers[i]);
  for (uint32_t i = 0; i < node_count (fleet); i++)
    if ((fleet->now_ms + fleet->nodes[i].phase_ms) % CACTUS_GOSSIP_INTERVAL_MS
        == 0)
      node_round (fleet, &fleet->nodes[i]);
}

static double
processor_seconds (void)
{
  struct timespec now;
  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &now);
  return (double)now.tv_sec + (double)now.tv_nsec * 1e-9;
}

static uint64_t
age_quantile (const struct fleet *fleet, double share)
{
  uint64_t seen = 0;
  for (int i = 0; i < AGE_BUCKETS; i++)
    {
      seen += fleet->ages[i];
      if ((double)seen >= share * (double)fleet->samples)
        return (uint64_t)(i + 1) * AGE_BUCKET_MS;
    }
  return (uint64_t)AGE_BUCKETS * AGE_BUCKET_MS;
}

/* Lets one target leave; time until every router of its zone knows, in ms. */
static uint64_t
departure_ms (struct fleet *fleet, uint32_t index, bool at_once)
{
  struct speaker *speaker = &fleet->speakers[index];
  uint64_t start_ms = fleet->now_ms;
  uint32_t known = 0;
  fleet->depart_at_once = at_once;
  speaker->record.leaving = true;
  announce (fleet, speaker);
  for (;;)
    {
      known = 0;
      for (uint32_t i = 0; i < fleet->routers; i++)
        {
          struct registry_record record;
          known += registry_find_target (fleet->nodes[i].registry,
                                         speaker->record.target, &record)
                   && record.leaving;
        }
      if (known == fleet->routers || fleet->now_ms > start_ms + 20000)
        return fleet->now_ms - start_ms;
      step (fleet);
    }
}

/* What one size gave. */
struct outcome
{
  double bytes_s;
  double processor_percent;
  double lapsed_percent;
  uint64_t age_p50_ms;
  uint64_t age_p99_ms;
  uint64_t departure_ms;
  uint64_t departure_rounds_ms;
};

static struct outcome
measure (uint32_t zones, uint32_t routers, uint32_t targets)
{
  struct outcome outcome;
  struct fleet *fleet = fleet_create (zones, routers, targets);
  uint64_t end_ms = fleet->now_ms + WARM_UP_MS;
  while (fleet->now_ms < end_ms)
    step (fleet);
  fleet->measuring = true;
  end_ms = fleet->now_ms + MEASURE_MS;
  double processor_s = 0;
  while (fleet->now_ms < end_ms)
    {
      double before_s = processor_seconds ();
      step (fleet);
      processor_s += processor_seconds () - before_s;
      if (fleet->now_ms % 500 == 0)
        sample_ages (fleet);
    }
  fleet->measuring = false;
  double node_seconds = node_count (fleet) * MEASURE_MS / 1000.0;
  uint64_t bytes = fleet->bytes + fleet->calls * (RPC_BYTES + TCP_IP_BYTES);
  /* Each byte leaves one router and reaches another. */
  outcome.bytes_s = 2.0 * (double)bytes / node_seconds;
  outcome.processor_percent = 100 * processor_s / node_seconds;
  outcome.lapsed_percent
      = 100.0 * (double)fleet->lapsed / (double)fleet->samples;
  outcome.age_p50_ms = age_quantile (fleet, 0.5);
  outcome.age_p99_ms = age_quantile (fleet, 0.99);
  outcome.departure_ms = departure_ms (fleet, 0, true);
  outcome.departure_rounds_ms = departure_ms (fleet, 1, false);
  fleet_destroy (fleet);
  return outcome;
}

static void
report (uint32_t zones, uint32_t routers, uint32_t targets, bool json)
{
  struct outcome outcome = measure (zones, routers, targets);
  if (!json)
    {
      printf ("%5u %7u %7u %8.0f %7.3f %8lu %8lu %8.3f %9lu %9lu\n", zones,
              routers, targets, outcome.bytes_s, outcome.processor_percent,
              outcome.age_p50_ms, outcome.age_p99_ms, outcome.lapsed_percent,
              outcome.departure_ms, outcome.departure_rounds_ms);
      return;
    }
  char sizes[96];
  g_snprintf (sizes, sizeof sizes, "zones=%u routers=%u targets=%u", zones,
              routers, targets);
  bench_slope_print ("gossip_bytes", "B/s", outcome.bytes_s, sizes);
  bench_slope_print ("gossip_processor", "% core", outcome.processor_percent,
                     sizes);
  bench_slope_print ("gossip_age_p99", "ms", (double)outcome.age_p99_ms,
                     sizes);
  bench_slope_print ("gossip_departure_rounds", "ms",
                     (double)outcome.departure_rounds_ms, sizes);
}

/* Memory of a registry by record, its view included. */
static void
report_memory (bool json)
{
  const uint32_t count = 1000;
  struct registry *registry = registry_create (CACTUS_TARGET_LAPSE_MS);
  struct speaker speaker = { 0 };
  struct fleet fleet = { .zones = 1, .targets = count, .speakers = &speaker };
  size_t before = mallinfo2 ().uordblks;
  for (uint32_t i = 0; i < count; i++)
    {
      make_speaker (&fleet, 0);
      g_snprintf (speaker.record.target, sizeof speaker.record.target, "t%u",
                  i);
      g_snprintf (speaker.record.service, sizeof speaker.record.service, "s%u",
                  i % 14);
      registry_merge (registry, &speaker.record, 1000);
    }
  double bytes = (double)(mallinfo2 ().uordblks - before) / count;
  if (json)
    bench_slope_print ("registry_record_bytes", "B/record", bytes,
                       "records=1000");
  else
    printf ("registry: %.0f bytes a record\n", bytes);
  registry_destroy (registry);
}

int
main (int argc, char **argv)
{
  static const uint32_t routers[] = { 6, 18, 54 };
  static const uint32_t targets[] = { 12, 40, 86 };
  bool json = argc > 1 && strcmp (argv[1], "--json") == 0;
  bench_slope_init (argc, argv);
  if (!json)
    printf ("zones routers targets  bytes/s  core %%  age p50  age p99 lapsed "
            "%% leave ms  w/o push\n");
  for (int i = 0; i < 3; i++)
    for (int j = 0; j < 3; j++)
      report (1, routers[i], targets[j], json);
  report (3, 2, 4, json);
  report (3, 18, 40, json);
  report (7, 54, 86, json);
  report_memory (json);
  return 0;
}
