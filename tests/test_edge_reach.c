/** @file
 *  Tests of the ways to targets over random histories: routers and targets
 * that restart, freeze and are cut off from each other, with addresses and
 * names that are used again; and of what targets say of themselves. */

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base_random.h"
#include "control_routers.h"
#include "edge_peers.h"
#include "edge_pacing.h"
#include "edge_path.h"

#define ROUTERS_MAX 88
#define TARGETS 12
#define ZONES 3
#define MEMBERS 3
#define TICK_MS 20
#define HISTORY_MS 60000
/* Time within which a router must have noticed what has changed, when it lasts
   that long. */
#define CONTACT_MS 4000
/* Ways that a request may try. */
#define TRIES_MAX 3
#define CALL_INTERVAL_MS 400
#define PROBE_MS 100
#define MEMBER_TIMEOUT_MS 3000

struct world;

/* A target as it is, and as one router knows it. */
struct sim_target
{
  uint32_t zone;
  /* Its incarnation; a restart begins another one. */
  uint32_t incarnation;
  bool is_up;
};

/* What a router knows of a target's incarnation. */
struct knowledge
{
  struct edge_path path;
  uint32_t incarnation;
  /* Probes in progress: when they end, and via which router. */
  uint64_t probe_due_ms;
  uint64_t relay_due_ms;
  const char *relay_peer;
};

struct sim_router
{
  char name[24];
  char address[16];
  uint32_t zone;
  bool is_up;
  bool is_frozen;
  /* Targets that its connections don't reach. */
  bool is_cut[TARGETS];
  struct edge_peers *peers;
  struct knowledge known[TARGETS];
  uint64_t next_call_ms;
  uint64_t changes[MEMBERS];
  /* Time of the last event that concerns it. */
  uint64_t disturbed_ms;
};

struct world
{
  struct base_random random;
  uint64_t now_ms;
  uint32_t router_count;
  struct sim_router routers[ROUTERS_MAX];
  struct sim_target targets[TARGETS];
  struct control_routers *members[MEMBERS];
  /* Time of the last event that concerns any target. */
  uint64_t targets_disturbed_ms;
  uint64_t routers_disturbed_ms;
  uint64_t checks;
  uint64_t relayed;
  uint64_t loops;
};

static uint64_t
below (struct world *world, uint64_t bound)
{
  return base_random_below (&world->random, bound);
}

static const char *
zone_name (uint32_t zone)
{
  static const char *const names[ZONES] = { "z1", "z2", "z3" };
  return names[zone];
}

/* Zones 1 and 2 are one region. */
static enum place_distance
distance (uint32_t a, uint32_t b)
{
  if (a == b)
    return PLACE_SAME_ZONE;
  return a < 2 && b < 2 ? PLACE_SAME_REGION : PLACE_OTHER_REGION;
}

static uint32_t
zone_of (const char *name)
{
  for (uint32_t i = 0; i < ZONES; i++)
    if (strcmp (zone_name (i), name) == 0)
      return i;
  g_assert_not_reached ();
}

static void
start_router (struct world *world, struct sim_router *router)
{
  edge_peers_destroy (router->peers);
  router->peers = edge_peers_create ();
  memset (router->known, 0, sizeof router->known);
  memset (router->changes, 0, sizeof router->changes);
  router->next_call_ms = world->now_ms;
  router->is_up = true;
}

static void
create_world (struct world *world, uint32_t routers, uint64_t seed)
{
  memset (world, 0, sizeof *world);
  base_random_seed (&world->random, seed);
  world->now_ms = 1000000;
  world->router_count = routers;
  for (uint32_t i = 0; i < MEMBERS; i++)
    world->members[i] = control_routers_create (MEMBER_TIMEOUT_MS);
  for (uint32_t i = 0; i < TARGETS; i++)
    world->targets[i] = (struct sim_target){ i % ZONES, 1, true };
  for (uint32_t i = 0; i < routers; i++)
    {
      struct sim_router *router = &world->routers[i];
      router->zone = i % ZONES;
      g_snprintf (router->name, sizeof router->name, "router-%u", i);
      g_snprintf (router->address, sizeof router->address, "10.0.%u.%u",
                  i / 250, i % 250 + 1);
      start_router (world, router);
    }
}

static void
destroy_world (struct world *world)
{
  for (uint32_t i = 0; i < MEMBERS; i++)
    control_routers_destroy (world->members[i]);
  for (uint32_t i = 0; i < world->router_count; i++)
    edge_peers_destroy (world->routers[i].peers);
}

static struct sim_router *
find_router (struct world *world, const char *name)
{
  for (uint32_t i = 0; i < world->router_count; i++)
    if (strcmp (world->routers[i].name, name) == 0)
      return &world->routers[i];
  return NULL;
}

static bool
is_cut_off (const struct sim_router *router)
{
  uint32_t lost = 0;
  for (uint32_t i = 0; i < TARGETS; i++)
    lost += router->known[i].path.is_lost;
  return 2 * lost >= TARGETS;
}

/* A router calls a member and learns of the others. */
static void
call_member (struct world *world, struct sim_router *router, uint32_t member)
{
  struct control_router_record self
      = { .name = router->name,
          .address = router->address,
          .relay_port = 7000,
          .availability_zone = (char *)(uintptr_t)zone_name (router->zone),
          .is_cut_off = is_cut_off (router) };
  struct control_router_record *list = NULL;
  struct control_routers *routers = world->members[member];
  control_routers_note_call (routers, &self, world->now_ms);
  control_routers_expire (routers, world->now_ms);
  uint32_t count = control_routers_changed_since (
      routers, router->changes[member], router->name, &list);
  router->changes[member] = control_routers_newest_change (routers);
  for (uint32_t i = 0; i < count; i++)
    {
      g_assert_cmpstr (list[i].name, !=, router->name);
      edge_peers_merge (
          router->peers, member, &list[i],
          distance (router->zone, zone_of (list[i].availability_zone)));
      xdr_free ((xdrproc_t)xdr_control_router_record, (char *)&list[i]);
    }
  free (list);
}

/* Whether the router's own connections to the target are made. */
static bool
reaches (const struct world *world, const struct sim_router *router,
         uint32_t target)
{
  return router->is_up && !router->is_frozen && world->targets[target].is_up
         && !router->is_cut[target];
}

/* What comes of a connection that @p name passes on. */
static enum edge_path_result
pass_on (struct world *world, const char *name, uint32_t target)
{
  const struct sim_router *router = find_router (world, name);
  if (!router || !router->is_up || router->is_frozen)
    return EDGE_PATH_NO_PEER;
  /* A router that has lost the target itself passes nothing on. */
  if (router->known[target].path.is_lost)
    return EDGE_PATH_UNREACHABLE;
  if (router->is_cut[target])
    return EDGE_PATH_UNREACHABLE;
  return world->targets[target].is_up ? EDGE_PATH_REACHED : EDGE_PATH_REFUSED;
}

static const struct edge_peer *
choose_peer (struct world *world, struct sim_router *router, uint32_t target)
{
  uint32_t zone = world->targets[target].zone;
  const struct edge_peers_wish wish
      = { .availability_zone = zone_name (zone),
          .distance = distance (router->zone, zone),
          .path = &router->known[target].path };
  return edge_peers_choose (router->peers, &wish, world->now_ms,
                            base_random_next (&world->random));
}

static void
run_probes (struct world *world, struct sim_router *router, uint32_t target)
{
  struct knowledge *known = &router->known[target];
  uint64_t now_ms = world->now_ms;
  if (known->probe_due_ms != 0 && now_ms >= known->probe_due_ms)
    {
      known->probe_due_ms = 0;
      if (reaches (world, router, target))
        edge_path_note_reached (&known->path, now_ms);
      else
        edge_path_note_lost (&known->path, now_ms);
    }
  if (known->relay_due_ms != 0 && now_ms >= known->relay_due_ms)
    {
      known->relay_due_ms = 0;
      enum edge_path_result result
          = pass_on (world, known->relay_peer, target);
      edge_peers_note_contact (router->peers, known->relay_peer,
                               result != EDGE_PATH_NO_PEER, now_ms);
      edge_path_note_relayed (&known->path, known->relay_peer, result, now_ms);
    }
  if (known->probe_due_ms == 0 && edge_path_needs_probe (&known->path, now_ms))
    {
      edge_path_begin_probe (&known->path);
      known->probe_due_ms = now_ms + PROBE_MS;
    }
  if (known->relay_due_ms != 0
      || !edge_path_needs_relay_probe (&known->path, now_ms))
    return;
  const struct edge_peer *peer = choose_peer (world, router, target);
  edge_path_begin_relay_probe (&known->path, peer != NULL, now_ms);
  if (!peer)
    return;
  known->relay_peer = peer->name;
  known->relay_due_ms = now_ms + PROBE_MS;
}

/* Sends a request; returns whether it reached the target. */
static bool
send_request (struct world *world, struct sim_router *router, uint32_t target)
{
  struct knowledge *known = &router->known[target];
  if (!known->path.is_lost)
    {
      bool is_sent = reaches (world, router, target);
      if (!is_sent)
        edge_path_note_lost (&known->path, world->now_ms);
      return is_sent;
    }
  if (known->path.relay == EDGE_PATH_RELAY_FAILS)
    return false;
  const struct edge_peer *peer = choose_peer (world, router, target);
  if (!peer)
    return false;
  /* No loops: never by itself. */
  world->loops += strcmp (peer->name, router->name) == 0;
  const char *name = peer->name;
  enum edge_path_result result = pass_on (world, name, target);
  edge_peers_note_contact (router->peers, name, result != EDGE_PATH_NO_PEER,
                           world->now_ms);
  edge_path_note_relayed (&known->path, name, result, world->now_ms);
  world->relayed += result == EDGE_PATH_REACHED;
  return result == EDGE_PATH_REACHED;
}

/* Whether some router that reaches the target has been calm for long enough
   that this one must know it. */
static bool
has_helper (const struct world *world, const struct sim_router *router,
            uint32_t target)
{
  for (uint32_t i = 0; i < world->router_count; i++)
    {
      const struct sim_router *other = &world->routers[i];
      if (other != router && reaches (world, other, target)
          && world->now_ms >= other->disturbed_ms + 2 * CONTACT_MS)
        return true;
    }
  return false;
}

static void
disturb_router (struct world *world, struct sim_router *router)
{
  uint32_t first = (uint32_t)below (world, TARGETS);
  router->disturbed_ms = world->now_ms;
  world->routers_disturbed_ms = world->now_ms;
  switch (below (world, 5))
    {
    case 0:
      router->is_up = !router->is_up;
      if (router->is_up)
        start_router (world, router);
      /* An address that is used again by a router of another name. */
      if (router->is_up && below (world, 3) == 0)
        g_snprintf (router->name, sizeof router->name, "router-%u",
                    (uint32_t)(1000 + world->now_ms % 100000 * 100
                               + (uint32_t)(router - world->routers)));
      break;
    case 1:
      router->is_frozen = !router->is_frozen;
      break;
    case 2:
      for (uint32_t i = 0; i < TARGETS; i++)
        router->is_cut[i] = true;
      break;
    case 3:
      for (uint32_t i = first; i < TARGETS; i++)
        router->is_cut[i] = true;
      break;
    default:
      memset (router->is_cut, 0, sizeof router->is_cut);
      router->is_frozen = false;
      if (!router->is_up)
        start_router (world, router);
      break;
    }
}

/* Cuts all routers of a zone off. */
static void
cut_zone (struct world *world, uint32_t zone)
{
  for (uint32_t i = 0; i < world->router_count; i++)
    if (world->routers[i].zone == zone)
      {
        for (uint32_t j = 0; j < TARGETS; j++)
          world->routers[i].is_cut[j] = true;
        world->routers[i].disturbed_ms = world->now_ms;
      }
  world->routers_disturbed_ms = world->now_ms;
}

static void
disturb (struct world *world)
{
  uint64_t kind = below (world, 10);
  if (kind == 0)
    cut_zone (world, (uint32_t)below (world, ZONES));
  else if (kind < 3)
    {
      struct sim_target *target = &world->targets[below (world, TARGETS)];
      target->is_up = !target->is_up;
      target->incarnation += target->is_up;
      world->targets_disturbed_ms = world->now_ms;
    }
  else
    disturb_router (world,
                    &world->routers[below (world, world->router_count)]);
}

/* Prints what the router knew of the target. */
static void
describe_failure (const struct world *world, const struct sim_router *router,
                  uint32_t target)
{
  const struct edge_path *path = &router->known[target].path;
  g_test_message ("%s, target %u: cut=%d lost=%d relay=%d failures=%u "
                  "calm_ms=%" G_GUINT64_FORMAT " next_relay_ms=%d peers=%u",
                  router->name, target, router->is_cut[target], path->is_lost,
                  (int)path->relay, path->relay_failures,
                  world->now_ms - router->disturbed_ms,
                  (int)(path->relay_probe_ms - world->now_ms),
                  edge_peers_count (router->peers));
  for (uint32_t i = 0; i < world->router_count; i++)
    {
      const struct sim_router *other = &world->routers[i];
      struct edge_peer *peer = edge_peers_find (router->peers, other->name);
      g_test_message (
          "  %s: zone %u up=%d frozen=%d cut=%d lost=%d known=%d held_ms=%d "
          "failed=%d",
          other->name, other->zone, other->is_up, other->is_frozen,
          other->is_cut[target], other->known[target].path.is_lost,
          peer != NULL, peer ? (int)(peer->hold_until_ms - world->now_ms) : 0,
          peer && edge_path_has_failed_via (path, peer->name, world->now_ms));
    }
}

/* A router that was left in peace for long enough reaches each target that is
   up, by itself or by another router. */
static void
check_router (struct world *world, struct sim_router *router)
{
  uint64_t calm_ms
      = MAX (router->disturbed_ms,
             MAX (world->targets_disturbed_ms, world->routers_disturbed_ms));
  if (!router->is_up || router->is_frozen
      || world->now_ms < calm_ms + CONTACT_MS)
    return;
  uint32_t target = (uint32_t)below (world, TARGETS);
  bool could_reach = reaches (world, router, target)
                     || (world->targets[target].is_up
                         && has_helper (world, router, target));
  bool was_sent = false;
  for (uint32_t i = 0; i < TRIES_MAX && !was_sent; i++)
    was_sent = send_request (world, router, target);
  world->checks += could_reach;
  if (could_reach && !was_sent)
    describe_failure (world, router, target);
  g_assert_true (was_sent || !could_reach);
}

static void
run_router (struct world *world, struct sim_router *router)
{
  if (!router->is_up || router->is_frozen)
    return;
  for (uint32_t i = 0; i < TARGETS; i++)
    {
      struct knowledge *known = &router->known[i];
      if (known->incarnation != world->targets[i].incarnation)
        {
          /* The announcement of another incarnation. */
          memset (known, 0, sizeof *known);
          known->incarnation = world->targets[i].incarnation;
        }
      run_probes (world, router, i);
    }
  if (below (world, 4) == 0)
    send_request (world, router, (uint32_t)below (world, TARGETS));
  if (world->now_ms < router->next_call_ms)
    return;
  router->next_call_ms = world->now_ms + CALL_INTERVAL_MS;
  for (uint32_t i = 0; i < MEMBERS; i++)
    call_member (world, router, i);
}

static void
run_history (uint32_t routers, uint64_t seed, uint64_t pause_ms)
{
  struct world *world = g_new0 (struct world, 1);
  create_world (world, routers, seed);
  uint64_t end_ms = world->now_ms + HISTORY_MS;
  uint64_t next_ms = world->now_ms + 2 * CONTACT_MS;
  while (world->now_ms < end_ms)
    {
      world->now_ms += TICK_MS;
      if (world->now_ms >= next_ms)
        {
          disturb (world);
          uint64_t calm_ms = below (world, 4) == 0 ? 3 * CONTACT_MS : 0;
          next_ms = world->now_ms + calm_ms + below (world, pause_ms);
        }
      for (uint32_t i = 0; i < routers; i++)
        run_router (world, &world->routers[i]);
      check_router (world, &world->routers[below (world, routers)]);
    }
  g_assert_cmpuint (world->loops, ==, 0);
  g_test_message ("seed %" G_GUINT64_FORMAT ": %" G_GUINT64_FORMAT
                  " checks, %" G_GUINT64_FORMAT " passed on",
                  seed, world->checks, world->relayed);
  g_assert_cmpuint (world->checks, >, 0);
  destroy_world (world);
  g_free (world);
}

static uint32_t
seed_count (uint32_t usual)
{
  const char *text = g_getenv ("REACH_SEEDS");
  return text ? (uint32_t)g_ascii_strtoull (text, NULL, 10) : usual;
}

static void
test_histories_of_7_routers (void)
{
  for (uint32_t i = 0; i < seed_count (12); i++)
    run_history (7, 700 + i, 3000);
}

static void
test_histories_of_88_routers (void)
{
  for (uint32_t i = 0; i < seed_count (3); i++)
    run_history (88, 8800 + i, 2000);
}

/* A healthy way costs no probe, and one that is lost few. */
static void
test_probes_are_few (void)
{
  struct edge_path path = { 0 };
  uint32_t probes = 0;
  g_assert_false (edge_path_needs_probe (&path, 1000));
  g_assert_false (edge_path_needs_relay_probe (&path, 1000));
  g_assert_true (edge_path_note_lost (&path, 1000));
  for (uint64_t now_ms = 1000; now_ms < 61000; now_ms += TICK_MS)
    if (edge_path_needs_probe (&path, now_ms))
      {
        probes++;
        edge_path_begin_probe (&path);
        g_assert_false (edge_path_note_lost (&path, now_ms));
      }
  g_assert_cmpuint (probes, >=, 60000 / CONTACT_MS);
  g_assert_cmpuint (probes, <=, 60);
  g_assert_true (edge_path_note_reached (&path, 61000));
  g_assert_false (edge_path_needs_probe (&path, 70000));
}

/* A target that is silent for a second and goes on isn't lost: it is asked,
   and its host answers. */
static void
test_silence_is_no_cut (void)
{
  struct edge_path path = { 0 };
  path.heard_ms = 1000;
  edge_path_suspect (&path, 1200);
  g_assert_false (edge_path_needs_probe (&path, 1200));
  edge_path_suspect (&path, 1600);
  g_assert_true (edge_path_needs_probe (&path, 1600));
  edge_path_begin_probe (&path);
  g_assert_false (edge_path_note_reached (&path, 1700));
  g_assert_false (path.is_lost);
  g_assert_false (edge_path_needs_probe (&path, 1700));
}

/* The parts of all routers, with equal or unequal demand, are the slots of a
   brittle target; one with more demand has no smaller part, but for the slots
   that are left over. */
static void
test_parts_of_a_brittle_target (void)
{
  static const uint32_t slot_counts[] = { 1, 6, 16, 64, 100 };
  static const uint32_t router_counts[] = { 1, 3, 7, 88 };
  struct base_random random;
  base_random_seed (&random, 5);
  for (uint32_t round = 0; round < 60; round++)
    {
      uint32_t slots = slot_counts[round % G_N_ELEMENTS (slot_counts)];
      uint32_t routers = router_counts[round / 5 % 4];
      uint32_t demands[ROUTERS_MAX];
      uint32_t sum = 0;
      uint32_t largest[2] = { 0, 0 };
      for (uint32_t i = 0; i < routers; i++)
        demands[i] = round < 20 ? 4 : 4u << base_random_below (&random, 6);
      for (uint32_t own = 0; own < routers; own++)
        {
          char name[16];
          struct edge_peers *peers = edge_peers_create ();
          for (uint32_t i = 0; i < routers; i++)
            {
              char other[16];
              g_snprintf (other, sizeof other, "r%u", i);
              struct control_router_record record
                  = { .name = other,
                      .address = (char *)(uintptr_t) "10.0.0.1",
                      .relay_port = 1,
                      .availability_zone = (char *)(uintptr_t) "z1",
                      .demand = demands[i] };
              if (i != own)
                edge_peers_merge (peers, 0, &record, PLACE_SAME_ZONE);
            }
          g_snprintf (name, sizeof name, "r%u", own);
          const struct edge_pacing_part part
              = edge_peers_part (peers, name, demands[own], "t1", slots);
          uint32_t window = edge_pacing_brittle_window (&part);
          sum += window;
          if (demands[own] > largest[0])
            {
              g_assert_cmpuint (window + 1, >=, largest[1]);
              largest[0] = demands[own];
              largest[1] = window;
            }
          edge_peers_destroy (peers);
        }
      g_assert_cmpuint (sum, ==, slots);
    }
}

/* Nothing goes to a target in a rest; then one request at a time, and more
   with each that it takes. */
static void
test_return_after_a_rest (void)
{
  struct edge_pacing pacing = { 0 };
  const struct edge_target_response refusal
      = { .status = 503, .not_run = true, .rest_ms = 3000 };
  const struct edge_target_response answer = { .status = 200 };
  g_assert_cmpuint (edge_pacing_window (&pacing), ==, UINT32_MAX);
  g_assert_cmpuint (edge_pacing_note_head (&pacing, &refusal, 1000, 12345), ==,
                    EDGE_PACING_RESTS);
  uint64_t left_ms = edge_pacing_rest_left_ms (&pacing, 1000);
  g_assert_cmpuint (left_ms, >=, 3000);
  g_assert_cmpuint (left_ms, <=, 3300);
  /* An answer to a request that was on its way changes nothing. */
  edge_pacing_note_head (&pacing, &answer, 2000, 0);
  g_assert_cmpuint (edge_pacing_window (&pacing), ==, 1);
  g_assert_cmpuint (edge_pacing_rest_left_ms (&pacing, 2000), >, 0);
  uint64_t now_ms = 1000 + left_ms;
  g_assert_cmpuint (edge_pacing_rest_left_ms (&pacing, now_ms), ==, 0);
  for (uint32_t window = 1; window <= 32; window *= 2)
    {
      g_assert_cmpuint (edge_pacing_window (&pacing), ==, window);
      edge_pacing_note_head (&pacing, &answer, now_ms, 0);
    }
  g_assert_cmpuint (edge_pacing_window (&pacing), ==, UINT32_MAX);
}

/* A statement that can't be read changes nothing; one that isn't made ends the
   former one. */
static void
test_malformed_statement (void)
{
  struct edge_pacing pacing = { 0 };
  const struct edge_target_response brittle
      = { .status = 200, .is_brittle = true, .rejections_per_s = 6 };
  const struct edge_target_response malformed
      = { .status = 503, .malformed_statement = "any", .rest_ms = 1000 };
  const struct edge_target_response none = { .status = 200 };
  g_assert_cmpuint (edge_pacing_note_head (&pacing, &brittle, 1000, 0), ==,
                    EDGE_PACING_BRITTLE);
  g_assert_cmpuint (edge_pacing_note_head (&pacing, &malformed, 1100, 0), ==,
                    EDGE_PACING_RESTS);
  g_assert_true (pacing.is_brittle);
  g_assert_cmpuint (edge_pacing_note_head (&pacing, &none, 1200, 0), ==,
                    EDGE_PACING_BRITTLE);
  g_assert_false (pacing.is_brittle);
}

/* The more routers there are, the longer each waits after a rejection. */
static void
test_rejections_of_a_brittle_target (void)
{
  const struct edge_target_response answer
      = { .status = 200, .is_brittle = true, .rejections_per_s = 6 };
  for (uint32_t routers = 1; routers <= 88; routers++)
    {
      struct edge_pacing pacing = { 0 };
      edge_pacing_note_head (&pacing, &answer, 1000, 0);
      edge_pacing_note_rejection (&pacing, routers, 1000);
      uint64_t rest_ms = edge_pacing_rest_left_ms (&pacing, 1000);
      /* Each router once in rest_ms is no more than the target stands. */
      g_assert_cmpuint (routers * 1000, <=, 6 * rest_ms);
      g_assert_cmpuint (rest_ms, >=, 1000);
    }
}

static bool
is_named_by (const void *context, const char *availability_zone)
{
  return strcmp (context, availability_zone) == 0;
}

/* Only routers in zones that the request may go to are asked, however far they
   are. */
static void
test_zones_that_may_pass (void)
{
  static const char *const zones[] = { "z1", "z2", "z3" };
  struct edge_peers *peers = edge_peers_create ();
  const struct edge_path path = { .is_lost = true };
  for (size_t i = 0; i < G_N_ELEMENTS (zones); i++)
    {
      char name[16];
      g_snprintf (name, sizeof name, "router-%zu", i);
      struct control_router_record record
          = { .name = name,
              .address = (char[]){ "10.0.0.1" },
              .relay_port = 9,
              .availability_zone = (char *)zones[i] };
      edge_peers_merge (peers, 0, &record,
                        i == 2 ? PLACE_OTHER_REGION : PLACE_SAME_ZONE);
    }
  for (uint64_t i = 0; i < 100; i++)
    {
      const struct edge_peers_wish wish = { .availability_zone = "z1",
                                            .distance = PLACE_SAME_ZONE,
                                            .path = &path,
                                            .may_pass = is_named_by,
                                            .context = "z3" };
      struct edge_peers_wish other = wish;
      other.context = "z4";
      const struct edge_peer *peer
          = edge_peers_choose (peers, &wish, 1000, i * 77);
      g_assert_cmpstr (peer->availability_zone, ==, "z3");
      g_assert_null (edge_peers_choose (peers, &other, 1000, i * 77));
    }
  edge_peers_destroy (peers);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/edge-reach/histories-of-7-routers",
                   test_histories_of_7_routers);
  g_test_add_func ("/edge-reach/histories-of-88-routers",
                   test_histories_of_88_routers);
  g_test_add_func ("/edge-reach/probes-are-few", test_probes_are_few);
  g_test_add_func ("/edge-reach/silence-is-no-cut", test_silence_is_no_cut);
  g_test_add_func ("/edge-reach/parts-of-a-brittle-target",
                   test_parts_of_a_brittle_target);
  g_test_add_func ("/edge-reach/return-after-a-rest",
                   test_return_after_a_rest);
  g_test_add_func ("/edge-reach/malformed-statement",
                   test_malformed_statement);
  g_test_add_func ("/edge-reach/rejections-of-a-brittle-target",
                   test_rejections_of_a_brittle_target);
  g_test_add_func ("/edge-reach/zones-that-may-pass",
                   test_zones_that_may_pass);
  return g_test_run ();
}
