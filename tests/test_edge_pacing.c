/** @file
 *  Tests of what routers send to targets that say that they leave, want rest
 * or are brittle, over random histories of 7 and of 88 routers: routers
 * restart and freeze, targets end and come back under the same name and
 * address. */

#include <string.h>

#include <glib.h>

#include "base_random.h"
#include "edge_peers.h"
#include "edge_targets.h"

#define ROUTERS_MAX 88
#define TARGETS_MAX 24
#define TICK_MS 5
#define HISTORY_MS 24000
#define START_MS 1000000
#define FALL_MS 3000
#define REST_MS 3000
#define DRAIN_MS 3000
#define ON_THE_WAY_MS 500
#define CONTACT_MS 4000
#define REQUESTS_MAX 16384
#define REJECTIONS_MAX 256

/* What is played. */
struct scene
{
  uint32_t routers;
  uint32_t targets;
  uint32_t slots;
  uint32_t work_ms;
  /* Demand, as a percentage of what the targets can serve. */
  uint32_t load_percent;
  /* Rejections a second that a target stands; 0: targets aren't brittle. */
  uint32_t rejections_per_s;
  /* Targets ask for rest when they turn a request away, and say that they
     leave before they end. */
  bool asks_for_rest;
  bool leaves;
  /* Routers restart and freeze. */
  bool has_faults;
};

/* A target as it is. */
struct sim_target
{
  char name[16];
  uint64_t born_ms;
  uint32_t running;
  uint32_t waiting;
  uint64_t down_until_ms;
  uint64_t leaving_ms;
  uint64_t rejections_ms[REJECTIONS_MAX];
  uint32_t rejection_count;
  uint32_t falls;
  /* For each router: the end of the rest that it was asked for, when that was,
     and the requests that came in it. */
  uint64_t rest_until_ms[ROUTERS_MAX];
  uint64_t asked_ms[ROUTERS_MAX];
  uint32_t strays[ROUTERS_MAX];
  /* Time at which the router first heard that the target leaves. */
  uint64_t told_ms[ROUTERS_MAX];
};

struct sim_router
{
  char name[16];
  struct edge_targets *targets;
  struct edge_peers *peers;
  uint64_t frozen_until_ms;
  uint32_t life;
};

/* A request at a target. */
struct sim_request
{
  bool is_used;
  bool runs;
  uint32_t router;
  uint32_t life;
  uint32_t target;
  uint64_t born_ms;
  uint64_t ends_ms;
};

struct world
{
  struct scene scene;
  struct base_random random;
  uint64_t now_ms;
  struct sim_target targets[TARGETS_MAX];
  struct sim_router routers[ROUTERS_MAX];
  struct sim_request requests[REQUESTS_MAX];
  uint64_t served;
  uint64_t rejected;
  uint32_t falls;
  uint32_t most_strays;
  uint32_t late;
  double arrivals;
};

static void
announce (struct world *world, struct sim_router *router, uint32_t index)
{
  const struct sim_target *target = &world->targets[index];
  struct control_target record
      = { .name = (char *)(uintptr_t)target->name,
          .born_ms = target->born_ms,
          .sequence = 1,
          .service = (char *)(uintptr_t) "service",
          .address = (char *)(uintptr_t) "10.0.0.1",
          .port = 8000 + index,
          .availability_zone = (char *)(uintptr_t) "z1",
          .slots = world->scene.slots,
          .state = CONTROL_TARGET_READY,
          .software_version = (char *)(uintptr_t) "v1" };
  edge_targets_merge (router->targets, 0, &record, world->now_ms);
}

static void
start_router (struct world *world, uint32_t index)
{
  struct sim_router *router = &world->routers[index];
  edge_targets_destroy (router->targets);
  edge_peers_destroy (router->peers);
  router->targets = edge_targets_create ();
  router->peers = edge_peers_create ();
  router->life++;
  for (uint32_t i = 0; i < world->scene.targets; i++)
    {
      announce (world, router, i);
      world->targets[i].asked_ms[index] = 0;
      world->targets[i].told_ms[index] = 0;
    }
  for (uint32_t i = 0; i < world->scene.routers; i++)
    {
      char name[16];
      g_snprintf (name, sizeof name, "r%u", i);
      struct control_router_record record
          = { .name = name,
              .address = (char *)(uintptr_t) "10.0.0.1",
              .relay_port = 1,
              .availability_zone = (char *)(uintptr_t) "z1" };
      if (i != index)
        edge_peers_merge (router->peers, 0, &record, PLACE_SAME_ZONE);
    }
}

static struct world *
create_world (const struct scene *scene, uint64_t seed)
{
  struct world *world = g_new0 (struct world, 1);
  world->scene = *scene;
  world->now_ms = START_MS;
  base_random_seed (&world->random, seed);
  for (uint32_t i = 0; i < scene->targets; i++)
    {
      g_snprintf (world->targets[i].name, sizeof world->targets[i].name, "t%u",
                  i);
      world->targets[i].born_ms = START_MS;
    }
  for (uint32_t i = 0; i < scene->routers; i++)
    {
      g_snprintf (world->routers[i].name, sizeof world->routers[i].name, "r%u",
                  i);
      start_router (world, i);
    }
  return world;
}

static void
destroy_world (struct world *world)
{
  for (uint32_t i = 0; i < world->scene.routers; i++)
    {
      edge_targets_destroy (world->routers[i].targets);
      edge_peers_destroy (world->routers[i].peers);
    }
  g_free (world);
}

static uint64_t
below (struct world *world, uint64_t bound)
{
  return base_random_below (&world->random, bound);
}

static uint32_t
waiting_room (const struct world *world)
{
  return world->now_ms < START_MS + CONTACT_MS ? 8 : 1;
}

/* Ends a target's process; another one takes its name and address. */
static void
replace_target (struct world *world, uint32_t index, uint64_t down_ms)
{
  struct sim_target *target = &world->targets[index];
  for (uint32_t i = 0; i < REQUESTS_MAX; i++)
    {
      struct sim_request *request = &world->requests[i];
      if (!request->is_used || request->target != index)
        continue;
      request->is_used = false;
      struct sim_router *router = &world->routers[request->router];
      struct edge_target *known
          = edge_targets_find (router->targets, target->name);
      if (router->life == request->life && known
          && known->record.born_ms == request->born_ms)
        known->load.running -= known->load.running > 0;
    }
  target->running = 0;
  target->waiting = 0;
  target->rejection_count = 0;
  target->leaving_ms = 0;
  target->down_until_ms = world->now_ms + down_ms;
  target->born_ms = target->down_until_ms;
  memset (target->rest_until_ms, 0, sizeof target->rest_until_ms);
  memset (target->asked_ms, 0, sizeof target->asked_ms);
  memset (target->told_ms, 0, sizeof target->told_ms);
}

/* Counts a rejection; the target may fall over. */
static void
count_rejection (struct world *world, uint32_t index)
{
  struct sim_target *target = &world->targets[index];
  uint32_t kept = 0;
  for (uint32_t i = 0; i < target->rejection_count; i++)
    if (target->rejections_ms[i] + 1000 > world->now_ms)
      target->rejections_ms[kept++] = target->rejections_ms[i];
  if (kept < REJECTIONS_MAX)
    target->rejections_ms[kept++] = world->now_ms;
  target->rejection_count = kept;
  if (world->scene.rejections_per_s == 0
      || kept <= world->scene.rejections_per_s)
    return;
  world->falls++;
  replace_target (world, index, FALL_MS);
}

static struct edge_target_response
make_response (const struct world *world, const struct sim_target *target,
               uint32_t status)
{
  return (struct edge_target_response){
    .status = status,
    .not_run = status == 503,
    .is_leaving = target->leaving_ms != 0,
    .is_brittle = world->scene.rejections_per_s > 0,
    .rejections_per_s = world->scene.rejections_per_s,
    .rest_ms = status == 503 && world->scene.asks_for_rest ? REST_MS : 0,
  };
}

/* The router reads the head of a response. */
static void
note_head (struct world *world, uint32_t router, uint32_t index,
           struct edge_target *known, uint32_t status)
{
  struct sim_target *target = &world->targets[index];
  struct edge_target_response response = make_response (world, target, status);
  edge_pacing_note_head (&known->pacing, &response, world->now_ms,
                         base_random_next (&world->random));
  if (response.is_brittle)
    edge_targets_note_brittle (world->routers[router].targets, "service",
                               world->now_ms);
  if (response.is_leaving && target->told_ms[router] == 0)
    target->told_ms[router] = world->now_ms;
  if (status == 503 && response.is_brittle)
    edge_pacing_note_rejection (&known->pacing, world->scene.routers,
                                world->now_ms);
}

/* Checks a request that comes to a target against what the target has said. */
static void
check_arrival (struct world *world, uint32_t router, uint32_t index)
{
  struct sim_target *target = &world->targets[index];
  uint64_t now_ms = world->now_ms;
  uint64_t asked_ms = target->asked_ms[router];
  if (asked_ms != 0 && now_ms > asked_ms + ON_THE_WAY_MS
      && now_ms < target->rest_until_ms[router])
    {
      target->strays[router]++;
      world->most_strays = MAX (world->most_strays, target->strays[router]);
    }
  if (target->told_ms[router] != 0
      && now_ms > target->told_ms[router] + DRAIN_MS)
    world->late++;
}

/* A request arrives at a target; returns whether there was room. */
static bool
enter (struct world *world, uint32_t router, uint32_t index,
       struct edge_target *known)
{
  struct sim_target *target = &world->targets[index];
  const struct scene *scene = &world->scene;
  check_arrival (world, router, index);
  if (target->running >= scene->slots
      && target->waiting >= waiting_room (world))
    {
      if (scene->asks_for_rest
          && world->now_ms >= target->rest_until_ms[router])
        {
          target->asked_ms[router] = world->now_ms;
          target->rest_until_ms[router] = world->now_ms + REST_MS;
          target->strays[router] = 0;
        }
      note_head (world, router, index, known, 503);
      count_rejection (world, index);
      return false;
    }
  for (uint32_t i = 0; i < REQUESTS_MAX; i++)
    if (!world->requests[i].is_used)
      {
        bool runs = target->running < scene->slots;
        world->requests[i] = (struct sim_request){
          .is_used = true,
          .runs = runs,
          .router = router,
          .life = world->routers[router].life,
          .target = index,
          .born_ms = target->born_ms,
          .ends_ms
          = world->now_ms + scene->work_ms / 2 + below (world, scene->work_ms),
        };
        target->running += runs;
        target->waiting += !runs;
        known->load.running++;
        return true;
      }
  g_assert_not_reached ();
}

/* Whether the router may send to the target, as edge_room decides it. */
static bool
has_room (struct world *world, uint32_t router, struct edge_target *known)
{
  const struct sim_router *own = &world->routers[router];
  uint64_t now_ms = world->now_ms;
  if (!edge_target_accepts_work (known)
      || edge_pacing_rest_left_ms (&known->pacing, now_ms) > 0
      || known->load.running >= edge_pacing_window (&known->pacing))
    return false;
  if (!edge_targets_is_brittle (own->targets, known, now_ms))
    return true;
  const struct edge_pacing_part part = edge_peers_part (
      own->peers, own->name, 0, known->record.name, world->scene.slots);
  return known->load.running < edge_pacing_brittle_window (&part);
}

/* A caller's request comes to a router, which sends it to a target with room,
   the least used of two. */
static void
arrive (struct world *world, uint32_t router)
{
  struct sim_router *own = &world->routers[router];
  uint32_t first = (uint32_t)below (world, world->scene.targets);
  if (world->now_ms < own->frozen_until_ms)
    return;
  for (uint32_t i = 0; i < world->scene.targets; i++)
    {
      uint32_t index = (first + i) % world->scene.targets;
      struct edge_target *known
          = edge_targets_find (own->targets, world->targets[index].name);
      if (world->now_ms < world->targets[index].down_until_ms
          || !has_room (world, router, known))
        continue;
      /* One that was turned away tries no other target. */
      world->rejected += !enter (world, router, index, known);
      return;
    }
  world->rejected++;
}

static void
end_requests (struct world *world)
{
  for (uint32_t i = 0; i < REQUESTS_MAX; i++)
    {
      struct sim_request *request = &world->requests[i];
      if (!request->is_used)
        continue;
      struct sim_target *target = &world->targets[request->target];
      if (!request->runs)
        {
          if (target->running >= world->scene.slots)
            continue;
          request->runs = true;
          target->running++;
          target->waiting--;
          request->ends_ms = world->now_ms + world->scene.work_ms / 2
                             + below (world, world->scene.work_ms);
        }
      if (world->now_ms < request->ends_ms)
        continue;
      request->is_used = false;
      target->running--;
      struct sim_router *router = &world->routers[request->router];
      struct edge_target *known
          = edge_targets_find (router->targets, target->name);
      if (router->life != request->life || !known
          || known->record.born_ms != request->born_ms)
        continue;
      known->load.running -= known->load.running > 0;
      world->served++;
      note_head (world, request->router, request->target, known, 200);
    }
}

static void
disturb (struct world *world)
{
  uint32_t router = (uint32_t)below (world, world->scene.routers);
  if (world->scene.has_faults && below (world, 400) == 0)
    {
      if (below (world, 2) == 0)
        start_router (world, router);
      else
        world->routers[router].frozen_until_ms
            = world->now_ms + below (world, 3000);
    }
  uint32_t index = (uint32_t)below (world, world->scene.targets);
  struct sim_target *target = &world->targets[index];
  if (world->scene.leaves && below (world, 300) == 0 && target->leaving_ms == 0
      && world->now_ms >= target->down_until_ms)
    target->leaving_ms = world->now_ms;
  for (uint32_t i = 0; i < world->scene.targets; i++)
    {
      struct sim_target *other = &world->targets[i];
      if (other->leaving_ms != 0
          && world->now_ms > other->leaving_ms + 2 * DRAIN_MS)
        replace_target (world, i, 500);
      if (other->down_until_ms != 0 && world->now_ms >= other->down_until_ms)
        {
          other->down_until_ms = 0;
          for (uint32_t j = 0; j < world->scene.routers; j++)
            announce (world, &world->routers[j], i);
        }
    }
}

static struct world *
run (const struct scene *scene, uint64_t seed)
{
  struct world *world = create_world (scene, seed);
  double capacity = (double)scene->targets * scene->slots / scene->work_ms;
  double per_tick = capacity * TICK_MS * scene->load_percent / 100;
  while (world->now_ms < START_MS + HISTORY_MS)
    {
      world->now_ms += TICK_MS;
      disturb (world);
      end_requests (world);
      /* The first four seconds are calm. */
      bool is_calm = world->now_ms < START_MS + CONTACT_MS;
      world->arrivals
          += is_calm ? MIN (per_tick, capacity * TICK_MS / 2) : per_tick;
      for (; world->arrivals >= 1; world->arrivals--)
        arrive (world, (uint32_t)below (world, scene->routers));
    }
  g_test_message ("%u routers, seed %" G_GUINT64_FORMAT
                  ": served %.2f of the capacity, %u falls, most strays %u, "
                  "late %u",
                  scene->routers, seed,
                  (double)world->served / (capacity * HISTORY_MS),
                  world->falls, world->most_strays, world->late);
  return world;
}

static uint32_t
seed_count (uint32_t usual)
{
  const char *text = g_getenv ("PACING_SEEDS");
  return text ? (uint32_t)g_ascii_strtoull (text, NULL, 10) : usual;
}

static const struct scene small
    = { .routers = 7, .targets = 6, .slots = 16, .work_ms = 200 };
static const struct scene large
    = { .routers = 88, .targets = 24, .slots = 64, .work_ms = 400 };

static void
test_brittle (const struct scene *size, bool has_faults, uint32_t seeds)
{
  for (uint32_t i = 0; i < seed_count (seeds); i++)
    {
      struct scene scene = *size;
      scene.rejections_per_s = 6;
      scene.load_percent = 250;
      scene.has_faults = has_faults;
      struct world *world = run (&scene, 100 + i);
      double capacity = (double)scene.targets * scene.slots / scene.work_ms;
      g_assert_cmpuint (world->falls, <=, 2 + scene.targets / 10);
      /* Half of it in the calm seconds, nearly all after that. */
      if (!has_faults)
        g_assert_cmpfloat ((double)world->served, >=,
                           0.75 * capacity * HISTORY_MS);
      destroy_world (world);
    }
}

static void
test_brittle_7 (void)
{
  test_brittle (&small, false, 6);
  test_brittle (&small, true, 6);
}

static void
test_brittle_88 (void)
{
  test_brittle (&large, false, 1);
  test_brittle (&large, true, 1);
}

static void
test_rest (const struct scene *size, uint32_t seeds)
{
  for (uint32_t i = 0; i < seed_count (seeds); i++)
    {
      struct scene scene = *size;
      scene.asks_for_rest = true;
      scene.load_percent = 150;
      scene.has_faults = true;
      scene.leaves = i % 2 == 0;
      struct world *world = run (&scene, 200 + i);
      g_assert_cmpuint (world->most_strays, ==, 0);
      g_assert_cmpuint (world->late, ==, 0);
      g_assert_cmpuint (world->served, >, 0);
      destroy_world (world);
    }
}

static void
test_rest_7 (void)
{
  test_rest (&small, 6);
}

static void
test_rest_88 (void)
{
  test_rest (&large, 2);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/edge-pacing/brittle-targets-of-7-routers",
                   test_brittle_7);
  g_test_add_func ("/edge-pacing/brittle-targets-of-88-routers",
                   test_brittle_88);
  g_test_add_func ("/edge-pacing/rest-and-leaving-of-7-routers", test_rest_7);
  g_test_add_func ("/edge-pacing/rest-and-leaving-of-88-routers",
                   test_rest_88);
  return g_test_run ();
}
