/** @file
 *  Measures what ways to targets cost: messages by which routers learn of each
 *  other, the choice of a router that passes a connection on, the look at all
 *  ways while some are lost, and a router's part of a brittle target.  --json
 *  prints each result as a JSON line. */

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "bench_slope.h"
#include "control_routers.h"
#include "edge_peers.h"
#include "edge_targets.h"

#define ROUTERS 380
#define TARGETS 600
#define ZONES 7
#define ROUNDS 2000
#define SURVEYS 200
#define START_MS 1000

static struct control_router_record
make_record (uint32_t index, char name[24], char address[16], char zone[24])
{
  g_snprintf (name, 24, "front-cnx-a-%u", index);
  g_snprintf (address, 16, "10.1.%u.%u", index / 250, index % 250 + 1);
  g_snprintf (zone, 24, "zone-%u", index % ZONES);
  return (struct control_router_record){ .name = name,
                                         .address = address,
                                         .relay_port = 7715,
                                         .availability_zone = zone };
}

static struct edge_peers *
make_peers (void)
{
  char name[24];
  char address[16];
  char zone[24];
  struct edge_peers *peers = edge_peers_create ();
  for (uint32_t i = 1; i < ROUTERS; i++)
    {
      struct control_router_record record
          = make_record (i, name, address, zone);
      edge_peers_merge (peers, 0, &record,
                        i % ZONES == 0   ? PLACE_SAME_ZONE
                        : i % ZONES <= 3 ? PLACE_SAME_REGION
                                         : PLACE_OTHER_REGION);
    }
  return peers;
}

static void
measure_choice (void)
{
  struct edge_peers *peers = make_peers ();
  const struct edge_path path = { .is_lost = true };
  const struct edge_peers_wish wish = { .availability_zone = "zone-1",
                                        .distance = PLACE_SAME_REGION,
                                        .path = &path };
  uint64_t found = 0;
  double begun_us = bench_slope_cpu_us ();
  for (uint32_t i = 0; i < ROUNDS; i++)
    found += edge_peers_choose (peers, &wish, START_MS, i) != NULL;
  bench_slope_print ("reach_choose_us", "us/request",
                     (bench_slope_cpu_us () - begun_us) / (double)found,
                     "379 other routers");
  uint64_t weights = 0;
  begun_us = bench_slope_cpu_us ();
  for (uint32_t i = 0; i < ROUNDS; i++)
    weights += edge_peers_part (peers, "front-cnx-a-0", 4, "i-0123456789", 64)
                   .weights;
  bench_slope_print ("reach_part_us", "us",
                     (bench_slope_cpu_us () - begun_us) / ROUNDS,
                     weights > 0 ? "379 other routers" : "first of all");
  edge_peers_destroy (peers);
}

static void
survey_path (void *context, struct edge_target *target)
{
  uint32_t *due = context;
  *due += edge_path_needs_probe (&target->path, START_MS)
          + edge_path_needs_relay_probe (&target->path, START_MS);
}

/* The look at all ways, every 20 ms while one is lost. */
static void
measure_survey (void)
{
  struct edge_targets *targets = edge_targets_create ();
  uint32_t due = 0;
  for (uint32_t i = 0; i < TARGETS; i++)
    {
      char name[24];
      char address[16];
      g_snprintf (name, sizeof name, "i-%u", i);
      g_snprintf (address, sizeof address, "10.2.%u.%u", i / 250, i % 250 + 1);
      struct control_target record
          = { .name = name,
              .born_ms = 1,
              .sequence = 1,
              .service = (char *)(uintptr_t) "service",
              .address = address,
              .port = 8000,
              .availability_zone = (char *)(uintptr_t) "zone-1",
              .state = CONTROL_TARGET_READY,
              .software_version = (char *)(uintptr_t) "v1" };
      edge_targets_merge (targets, 0, &record, START_MS);
    }
  double begun_us = bench_slope_cpu_us ();
  for (uint32_t i = 0; i < SURVEYS; i++)
    edge_targets_visit_all (targets, survey_path, &due);
  bench_slope_print ("reach_survey_us", "us",
                     (bench_slope_cpu_us () - begun_us) / SURVEYS,
                     due == 0 ? "600 targets" : "some lost");
  edge_targets_destroy (targets);
}

/* A member's call to note a router, and the bytes that tell another one. */
static void
measure_members (void)
{
  char name[24];
  char address[16];
  char zone[24];
  struct control_routers *routers = control_routers_create (3000);
  struct control_router_record *list = NULL;
  struct control_router_record record = make_record (1, name, address, zone);
  bench_slope_print (
      "router_record_bytes", "B",
      (double)xdr_sizeof ((xdrproc_t)xdr_control_router_record, &record),
      "one router in a watch call or its answer");
  for (uint32_t i = 0; i < ROUTERS; i++)
    {
      record = make_record (i, name, address, zone);
      control_routers_note_call (routers, &record, START_MS);
    }
  uint64_t change = control_routers_newest_change (routers);
  uint32_t sent = 0;
  double begun_us = bench_slope_cpu_us ();
  for (uint32_t i = 0; i < ROUNDS; i++)
    {
      record = make_record (i % ROUTERS, name, address, zone);
      control_routers_note_call (routers, &record, START_MS);
      control_routers_expire (routers, START_MS);
      sent += control_routers_changed_since (routers, change, name, &list);
    }
  bench_slope_print ("router_watch_us", "us/call",
                     (bench_slope_cpu_us () - begun_us) / ROUNDS,
                     sent == 0 ? "380 routers, no change" : "changes");
  control_routers_destroy (routers);
}

int
main (int argc, char **argv)
{
  bench_slope_init (argc, argv);
  measure_choice ();
  measure_survey ();
  measure_members ();
  return 0;
}
