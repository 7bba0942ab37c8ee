/** @file
 *  Measures gossip between routers in virtual time: bytes and CPU time per
 *  router and second, ages of targets' reports, and the time until all
 *  routers of a zone know of a departure.  Messages are encoded and decoded
 *  as XDR, but not sent over sockets.  --json prints each result as a JSON
 *  line. */

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
/* Largest encoded message. */
#define MESSAGE_BYTES (1024 * 1024)
/* Bytes that each exchange adds to its encoded messages: the ONC RPC headers
   of the call and the reply, and the TCP/IP headers of their two segments and
   two acknowledgements. */
#define RPC_BYTES (44 + 32)
#define TCP_IP_BYTES (4 * 40)
#define AGE_BUCKET_MS 50
#define AGE_BUCKETS 400

/* Simulated routers and targets. */
struct fleet
{
  uint32_t zones;
  /* Number of routers and of targets in each zone. */
  uint32_t routers;
  uint32_t targets;
  uint64_t now_ms;
  /* Whether a router sends a departure to its zone at once, without waiting
     for the next round. */
  bool push_departures;
  struct base_random random;
  struct router *router_states;
  struct target *target_states;
  struct wire_process *processes;
  /* Buffer for one encoded message. */
  char *message;
  /* The members below count only while this is set. */
  bool measuring;
  uint64_t bytes;
  uint64_t calls;
  uint64_t samples;
  /* Samples in which the record had lapsed. */
  uint64_t lapsed;
  /* Histogram of the ages of records. */
  uint64_t ages[AGE_BUCKETS];
};

/* A router. */
struct router
{
  struct gossip_peer self;
  struct registry *registry;
  struct gossip_core *core;
  struct gossip_peers *peers;
  /* Offset of its rounds, which all have the same interval. */
  uint64_t phase_ms;
};

/* A target. */
struct target
{
  struct registry_record record;
  uint32_t zone;
  /* Offset of its reports, which all have the same interval. */
  uint64_t phase_ms;
};

static uint32_t
router_count (const struct fleet *fleet)
{
  return fleet->zones * fleet->routers;
}

static void
make_zone_name (uint32_t zone, char *zone_name, char *region)
{
  g_snprintf (zone_name, CACTUS_NAME_BYTES, "zone-%u", zone);
  g_snprintf (region, CACTUS_NAME_BYTES, "region-%u", zone / 4);
}

static void
init_router (struct fleet *fleet, uint32_t index)
{
  struct router *router = &fleet->router_states[index];
  struct wire_process *process = &fleet->processes[index];
  g_snprintf (router->self.host, CACTUS_NAME_BYTES, "router-%03u", index);
  make_zone_name (index / fleet->routers, router->self.availability_zone,
                  router->self.region);
  g_strlcpy (router->self.address, "10.0.0.1", sizeof router->self.address);
  router->self.port = 7000;
  router->phase_ms
      = base_random_below (&fleet->random, 500) / STEP_MS * STEP_MS;
  router->registry = registry_create (CACTUS_TARGET_LAPSE_MS);
  router->core = gossip_core_create (router->registry, "bench", &router->self,
                                     base_random_next (&fleet->random));
  router->peers = gossip_peers_create (&router->self);
  process->kind = WIRE_PROCESS_ROUTER;
  process->host = router->self.host;
  process->availability_zone = router->self.availability_zone;
  process->region = router->self.region;
  process->address = router->self.address;
  process->rpc_port = router->self.port;
}

static void
init_target (struct fleet *fleet, uint32_t index)
{
  struct target *target = &fleet->target_states[index];
  struct registry_record *record = &target->record;
  target->zone = index / fleet->targets;
  target->phase_ms
      = base_random_below (&fleet->random, 500) / STEP_MS * STEP_MS;
  g_snprintf (record->target, sizeof record->target, "target-%03u", index);
  g_snprintf (record->service, sizeof record->service, "service-%02u",
              index % 14);
  make_zone_name (target->zone, record->availability_zone, record->region);
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
  fleet->router_states = g_new0 (struct router, router_count (fleet));
  fleet->processes = g_new0 (struct wire_process, router_count (fleet));
  fleet->target_states = g_new0 (struct target, zones * targets);
  fleet->message = g_malloc (MESSAGE_BYTES);
  for (uint32_t i = 0; i < router_count (fleet); i++)
    init_router (fleet, i);
  for (uint32_t i = 0; i < zones * targets; i++)
    init_target (fleet, i);
  for (uint32_t i = 0; i < router_count (fleet); i++)
    gossip_peers_set (fleet->router_states[i].peers, fleet->processes,
                      router_count (fleet));
  return fleet;
}

static void
fleet_destroy (struct fleet *fleet)
{
  for (uint32_t i = 0; i < router_count (fleet); i++)
    {
      gossip_core_destroy (fleet->router_states[i].core);
      gossip_peers_destroy (fleet->router_states[i].peers);
      registry_destroy (fleet->router_states[i].registry);
    }
  g_free (fleet->router_states);
  g_free (fleet->processes);
  g_free (fleet->target_states);
  g_free (fleet->message);
  g_free (fleet);
}

/* Encodes @p from and decodes it into @p to, which must be zeroed. */
static void
encode_and_decode (struct fleet *fleet, xdrproc_t codec, void *from, void *to)
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

/* Makes one exchange call.  Returns true when a second call is due, with its
   arguments in @p repair. */
static bool
call_peer (struct fleet *fleet, struct router *from, struct router *to,
           struct gossip_exchange_args *args,
           struct gossip_exchange_args *repair)
{
  struct gossip_exchange_args received = { 0 };
  struct gossip_exchange_result answer;
  struct gossip_exchange_result result = { 0 };
  encode_and_decode (fleet, (xdrproc_t)xdr_gossip_exchange_args, args,
                     &received);
  gossip_core_handle_request (to->core, &received, fleet->now_ms, &answer);
  encode_and_decode (fleet, (xdrproc_t)xdr_gossip_exchange_result, &answer,
                     &result);
  if (fleet->measuring)
    fleet->calls++;
  bool due = gossip_core_handle_response (
      from->core, &to->self, &result, fleet->now_ms, fleet->now_ms, repair);
  xdr_free ((xdrproc_t)xdr_gossip_exchange_args, (char *)&received);
  xdr_free ((xdrproc_t)xdr_gossip_exchange_result, (char *)&answer);
  xdr_free ((xdrproc_t)xdr_gossip_exchange_result, (char *)&result);
  return due;
}

static struct router *
find_router (struct fleet *fleet, const char *host)
{
  return &fleet->router_states[atoi (host + strlen ("router-"))];
}

/* Exchanges with a peer: one call, and a second one if it is due. */
static void
exchange (struct fleet *fleet, struct router *from,
          const struct gossip_peer *to)
{
  struct gossip_exchange_args args;
  struct gossip_exchange_args repair;
  struct gossip_exchange_args more;
  struct router *peer = find_router (fleet, to->host);
  gossip_core_make_request (from->core, to, fleet->now_ms, &args);
  if (call_peer (fleet, from, peer, &args, &repair))
    {
      if (call_peer (fleet, from, peer, &repair, &more))
        xdr_free ((xdrproc_t)xdr_gossip_exchange_args, (char *)&more);
      xdr_free ((xdrproc_t)xdr_gossip_exchange_args, (char *)&repair);
    }
  xdr_free ((xdrproc_t)xdr_gossip_exchange_args, (char *)&args);
}

/* Sends the departures that the router has noted to the others of its zone. */
static void
send_departures (struct fleet *fleet, struct router *router)
{
  struct gossip_exchange_args args;
  struct gossip_exchange_args repair;
  if (!gossip_core_make_departure_request (router->core, fleet->now_ms, &args))
    return;
  uint32_t zone = (uint32_t)(router - fleet->router_states) / fleet->routers;
  for (uint32_t i = 0; i < fleet->routers; i++)
    {
      struct router *peer = &fleet->router_states[zone * fleet->routers + i];
      if (peer != router && call_peer (fleet, router, peer, &args, &repair))
        xdr_free ((xdrproc_t)xdr_gossip_exchange_args, (char *)&repair);
    }
  xdr_free ((xdrproc_t)xdr_gossip_exchange_args, (char *)&args);
}

/* Runs a gossip round of one router. */
static void
run_round (struct fleet *fleet, struct router *router)
{
  struct gossip_peer chosen[64];
  gossip_core_start_round (router->core);
  registry_lapse (router->registry, fleet->now_ms);
  size_t count
      = gossip_peers_pick_zone (router->peers, &fleet->random, fleet->now_ms,
                                chosen, GOSSIP_ZONE_FANOUT);
  for (size_t i = 0; i < count; i++)
    exchange (fleet, router, &chosen[i]);
  count = gossip_peers_pick_relays (router->peers, &fleet->random,
                                    fleet->now_ms, chosen, 64);
  for (size_t i = 0; i < count; i++)
    exchange (fleet, router, &chosen[i]);
}

/* Sends a report of the target to a random router of its zone. */
static void
send_report (struct fleet *fleet, struct target *target)
{
  struct registry_record *record = &target->record;
  uint32_t index
      = target->zone * fleet->routers
        + (uint32_t)base_random_below (&fleet->random, fleet->routers);
  struct router *router = &fleet->router_states[index];
  record->sequence++;
  record->last_report_ms = fleet->now_ms;
  record->running = (uint32_t)base_random_below (&fleet->random, 64);
  registry_merge (router->registry, record, fleet->now_ms);
  if (record->leaving && fleet->push_departures)
    {
      gossip_core_add_departure (router->core, record);
      send_departures (fleet, router);
    }
}

/* Counts the age of every target's record at every router of its zone. */
static void
sample_ages (struct fleet *fleet)
{
  for (uint32_t i = 0; i < router_count (fleet); i++)
    for (uint32_t j = 0; j < fleet->targets; j++)
      {
        uint32_t zone = i / fleet->routers;
        const struct target *target
            = &fleet->target_states[zone * fleet->targets + j];
        struct registry_record record;
        uint64_t age_ms = CACTUS_TARGET_LAPSE_MS;
        if (registry_find_target (fleet->router_states[i].registry,
                                  target->record.target, &record))
          age_ms = fleet->now_ms - record.last_report_ms;
        fleet->samples++;
        fleet->lapsed += age_ms >= CACTUS_TARGET_LAPSE_MS;
        fleet->ages[MIN (age_ms / AGE_BUCKET_MS, AGE_BUCKETS - 1)]++;
      }
}

/* Advances the time by STEP_MS; runs the reports and rounds that are due. */
static void
step (struct fleet *fleet)
{
  fleet->now_ms += STEP_MS;
  for (uint32_t i = 0; i < fleet->zones * fleet->targets; i++)
    if (!fleet->target_states[i].record.leaving
        && (fleet->now_ms + fleet->target_states[i].phase_ms)
                   % CACTUS_ANNOUNCE_INTERVAL_MS
               == 0)
      send_report (fleet, &fleet->target_states[i]);
  for (uint32_t i = 0; i < router_count (fleet); i++)
    if ((fleet->now_ms + fleet->router_states[i].phase_ms)
            % CACTUS_GOSSIP_INTERVAL_MS
        == 0)
      run_round (fleet, &fleet->router_states[i]);
}

static double
thread_cpu_s (void)
{
  struct timespec now;
  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &now);
  return (double)now.tv_sec + (double)now.tv_nsec * 1e-9;
}

/* Returns a quantile of the sampled ages in ms, rounded up to a bucket. */
static uint64_t
age_quantile (const struct fleet *fleet, double fraction)
{
  uint64_t cumulative = 0;
  for (int i = 0; i < AGE_BUCKETS; i++)
    {
      cumulative += fleet->ages[i];
      if ((double)cumulative >= fraction * (double)fleet->samples)
        return (uint64_t)(i + 1) * AGE_BUCKET_MS;
    }
  return (uint64_t)AGE_BUCKETS * AGE_BUCKET_MS;
}

/* Makes one target leave.  Returns the time in ms until every router of its
   zone knows; gives up after 20,000 ms. */
static uint64_t
departure_ms (struct fleet *fleet, uint32_t index, bool push)
{
  struct target *target = &fleet->target_states[index];
  uint64_t start_ms = fleet->now_ms;
  uint32_t known = 0;
  fleet->push_departures = push;
  target->record.leaving = true;
  send_report (fleet, target);
  for (;;)
    {
      known = 0;
      for (uint32_t i = 0; i < fleet->routers; i++)
        {
          struct registry_record record;
          known += registry_find_target (fleet->router_states[i].registry,
                                         target->record.target, &record)
                   && record.leaving;
        }
      if (known == fleet->routers || fleet->now_ms > start_ms + 20000)
        return fleet->now_ms - start_ms;
      step (fleet);
    }
}

/* Results for one size of the fleet. */
struct outcome
{
  double bytes_s;
  double cpu_percent;
  double lapsed_percent;
  uint64_t age_p50_ms;
  uint64_t age_p99_ms;
  /* Time until a departure is known, with and without pushing it at once. */
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
  double cpu_s = 0;
  while (fleet->now_ms < end_ms)
    {
      double before_s = thread_cpu_s ();
      step (fleet);
      cpu_s += thread_cpu_s () - before_s;
      if (fleet->now_ms % 500 == 0)
        sample_ages (fleet);
    }
  fleet->measuring = false;
  double router_seconds = router_count (fleet) * MEASURE_MS / 1000.0;
  uint64_t bytes = fleet->bytes + fleet->calls * (RPC_BYTES + TCP_IP_BYTES);
  /* Each byte counts twice: at the sending and at the receiving router. */
  outcome.bytes_s = 2.0 * (double)bytes / router_seconds;
  outcome.cpu_percent = 100 * cpu_s / router_seconds;
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
              routers, targets, outcome.bytes_s, outcome.cpu_percent,
              outcome.age_p50_ms, outcome.age_p99_ms, outcome.lapsed_percent,
              outcome.departure_ms, outcome.departure_rounds_ms);
      return;
    }
  char sizes[96];
  g_snprintf (sizes, sizeof sizes, "zones=%u routers=%u targets=%u", zones,
              routers, targets);
  bench_slope_print ("gossip_bytes", "B/s", outcome.bytes_s, sizes);
  bench_slope_print ("gossip_processor", "% core", outcome.cpu_percent, sizes);
  bench_slope_print ("gossip_age_p99", "ms", (double)outcome.age_p99_ms,
                     sizes);
  bench_slope_print ("gossip_departure_rounds", "ms",
                     (double)outcome.departure_rounds_ms, sizes);
}

/* Measures the registry's memory per record, including the views. */
static void
report_memory (bool json)
{
  const uint32_t count = 1000;
  struct registry *registry = registry_create (CACTUS_TARGET_LAPSE_MS);
  struct target target = { 0 };
  struct fleet fleet
      = { .zones = 1, .targets = count, .target_states = &target };
  size_t before = mallinfo2 ().uordblks;
  for (uint32_t i = 0; i < count; i++)
    {
      init_target (&fleet, 0);
      g_snprintf (target.record.target, sizeof target.record.target, "t%u", i);
      g_snprintf (target.record.service, sizeof target.record.service, "s%u",
                  i % 14);
      registry_merge (registry, &target.record, 1000);
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
