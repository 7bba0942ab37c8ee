/** @file
 *  Tests of the choice of a target: distance, limits, backoff, affinity. */

#include <string.h>

#include <glib.h>

#include "pick.h"
#include "registry.h"

#define LAPSE_MS 3000

struct fixture
{
  struct registry *registry;
  struct registry_reader *reader;
  const struct registry_view *view;
  struct base_random random;
  struct pick_request request;
};

static void
add (struct fixture *fixture, const char *target, const char *zone,
     const char *region)
{
  struct registry_record record = { .port = 1,
                                    .incarnation = 1,
                                    .sequence = 1,
                                    .last_report_ms = 1000,
                                    .slots = 4,
                                    .weight = 100 };
  g_strlcpy (record.target, target, sizeof record.target);
  g_strlcpy (record.service, "s", sizeof record.service);
  g_strlcpy (record.availability_zone, zone, CACTUS_NAME_BYTES);
  g_strlcpy (record.region, region, CACTUS_NAME_BYTES);
  g_strlcpy (record.address, "10.0.0.1", sizeof record.address);
  g_assert_cmpint (registry_merge (fixture->registry, &record, 1000), ==,
                   REGISTRY_MERGED);
}

static void
set_up (struct fixture *fixture, const char *const (*targets)[3], int count)
{
  memset (fixture, 0, sizeof *fixture);
  fixture->registry = registry_create (LAPSE_MS);
  for (int i = 0; i < count; i++)
    add (fixture, targets[i][0], targets[i][1], targets[i][2]);
  fixture->reader = registry_reader_create (fixture->registry);
  fixture->view = registry_read (fixture->reader, "s");
  base_random_seed (&fixture->random, 1);
  fixture->request.availability_zone = "z1";
  fixture->request.region = "r1";
  fixture->request.slot_percent = 100;
  fixture->request.now_ms = 1000;
}

static void
tear_down (struct fixture *fixture)
{
  registry_read_end (fixture->reader);
  registry_reader_destroy (fixture->reader);
  registry_destroy (fixture->registry);
}

/* Returns the name of the chosen target, or of the outcome when there is
   none. */
static const char *
pick (struct fixture *fixture, const struct registry_target **chosen)
{
  static const char *const names[] = { "found", "busy", "none" };
  enum pick_outcome outcome
      = pick_target (PICK_TWO_CHOICES_AFFINITY, fixture->view,
                     &fixture->request, &fixture->random, chosen);
  if (outcome != PICK_FOUND)
    return names[outcome];
  return (*chosen)->record.target;
}

static const char *
pick_and_take (struct fixture *fixture)
{
  const struct registry_target *chosen = NULL;
  const char *name = pick (fixture, &chosen);
  if (chosen)
    pick_acquire (chosen->load);
  return name;
}

static const char *const three_distances[][3]
    = { { "far", "z3", "r2" }, { "near", "z2", "r1" }, { "own", "z1", "r1" } };

static void
test_nearness (void)
{
  struct fixture fixture;
  set_up (&fixture, three_distances, 3);
  for (int i = 0; i < 4; i++)
    g_assert_cmpstr (pick_and_take (&fixture), ==, "own");
  for (int i = 0; i < 4; i++)
    g_assert_cmpstr (pick_and_take (&fixture), ==, "near");
  g_assert_cmpstr (pick_and_take (&fixture), ==, "busy");
  fixture.request.cross_region = true;
  g_assert_cmpstr (pick_and_take (&fixture), ==, "far");
  tear_down (&fixture);
}

static void
test_no_target (void)
{
  struct fixture fixture;
  set_up (&fixture, three_distances, 1);
  g_assert_cmpstr (pick_and_take (&fixture), ==, "none");
  fixture.request.cross_region = true;
  fixture.request.now_ms = 1000 + LAPSE_MS - 1;
  g_assert_cmpstr (pick_and_take (&fixture), ==, "far");
  /* A target whose record expired isn't chosen, even if the view still
     contains it. */
  fixture.request.now_ms = 1000 + LAPSE_MS;
  g_assert_cmpstr (pick_and_take (&fixture), ==, "none");
  fixture.view = NULL;
  g_assert_cmpstr (pick_and_take (&fixture), ==, "none");
  tear_down (&fixture);
}

static const char *const one_target[][3] = { { "own", "z1", "r1" } };

static void
test_class_share (void)
{
  struct fixture fixture;
  set_up (&fixture, one_target, 1);
  fixture.request.slot_percent = 50;
  g_assert_cmpstr (pick_and_take (&fixture), ==, "own");
  g_assert_cmpstr (pick_and_take (&fixture), ==, "own");
  g_assert_cmpstr (pick_and_take (&fixture), ==, "busy");
  fixture.request.slot_percent = 100;
  g_assert_cmpstr (pick_and_take (&fixture), ==, "own");
  fixture.request.target_limit = 3;
  g_assert_cmpstr (pick_and_take (&fixture), ==, "busy");
  tear_down (&fixture);
}

static void
test_drained_and_avoided (void)
{
  static const char *const two[][3]
      = { { "a", "z1", "r1" }, { "b", "z1", "r1" } };
  const char *drained[] = { "a" };
  const char *avoid[] = { "b" };
  struct fixture fixture;
  set_up (&fixture, two, 2);
  fixture.request.avoid = avoid;
  fixture.request.avoid_count = 1;
  g_assert_cmpstr (pick_and_take (&fixture), ==, "a");
  registry_read_end (fixture.reader);
  registry_set_drained (fixture.registry, drained, 1);
  fixture.view = registry_read (fixture.reader, "s");
  /* Only the target that failed the request before is available. */
  g_assert_cmpstr (pick_and_take (&fixture), ==, "b");
  tear_down (&fixture);
}

/* Backoff of 250, 500 and 1000 ms with one probe after each; the target is
   available again once a probe succeeds. */
static void
test_backoff (void)
{
  struct fixture fixture;
  const struct registry_target *chosen = NULL;
  uint64_t backoff_ms = 250;
  set_up (&fixture, one_target, 1);
  struct registry_load *load = fixture.view->targets[0].load;
  for (int i = 0; i < 3; i++)
    {
      g_assert_cmpstr (pick (&fixture, &chosen), ==, "own");
      pick_acquire (load);
      g_assert_cmpstr (pick (&fixture, &chosen), ==, i ? "busy" : "own");
      pick_release (load, true, fixture.request.now_ms);
      fixture.request.now_ms += backoff_ms - 1;
      g_assert_cmpstr (pick (&fixture, &chosen), ==, "busy");
      fixture.request.now_ms += 1;
      backoff_ms *= 2;
    }
  g_assert_cmpstr (pick (&fixture, &chosen), ==, "own");
  pick_acquire (load);
  g_assert_cmpstr (pick (&fixture, &chosen), ==, "busy");
  pick_note_success (load);
  g_assert_cmpstr (pick (&fixture, &chosen), ==, "own");
  g_assert_cmpuint (load->failures, ==, 0);
  tear_down (&fixture);
}

/* Requests that fail together count as one failure. */
static void
test_failures_together (void)
{
  struct fixture fixture;
  set_up (&fixture, one_target, 1);
  struct registry_load *load = fixture.view->targets[0].load;
  for (int i = 0; i < 4; i++)
    pick_and_take (&fixture);
  for (int i = 0; i < 4; i++)
    pick_release (load, true, 1000);
  g_assert_cmpuint (load->failures, ==, 1);
  g_assert_cmpuint (load->open, ==, 0);
  tear_down (&fixture);
}

static const char *const five[][3] = { { "a", "z1", "r1" },
                                       { "b", "z1", "r1" },
                                       { "c", "z1", "r1" },
                                       { "d", "z1", "r1" },
                                       { "e", "z1", "r1" } };

static void
test_affinity (void)
{
  struct fixture fixture;
  const struct registry_target *chosen = NULL;
  char first[CACTUS_NAME_BYTES + 1];
  set_up (&fixture, five, 5);
  fixture.request.prefix_hash = 42;
  g_strlcpy (first, pick (&fixture, &chosen), sizeof first);
  for (int i = 0; i < 10; i++)
    g_assert_cmpstr (pick (&fixture, &chosen), ==, first);
  pick_acquire (chosen->load);
  /* With one request on five targets, the preferred one's load exceeds
     1.25 times the mean, so another target is chosen. */
  g_assert_cmpstr (pick (&fixture, &chosen), !=, first);
  tear_down (&fixture);
}

/* 160 requests spread over five targets within 3 of the mean of 32. */
static void
test_two_choices (void)
{
  struct fixture fixture;
  set_up (&fixture, five, 5);
  struct registry_target targets[5];
  struct registry_view view = *fixture.view;
  memcpy (targets, view.targets, sizeof targets);
  for (int i = 0; i < 5; i++)
    targets[i].record.slots = 64;
  view.targets = targets;
  fixture.view = &view;
  for (int i = 0; i < 160; i++)
    pick_and_take (&fixture);
  for (int i = 0; i < 5; i++)
    {
      g_assert_cmpuint (targets[i].load->open, >=, 29);
      g_assert_cmpuint (targets[i].load->open, <=, 35);
    }
  tear_down (&fixture);
}

/* The router's own partition of the zone's targets is used before the
   others. */
static void
test_own_partition (void)
{
  struct fixture fixture;
  set_up (&fixture, five, 5);
  fixture.request.router_rank = 1;
  fixture.request.router_count = 3;
  for (int i = 0; i < 8; i++)
    {
      const char *name = pick_and_take (&fixture);
      g_assert_true (strcmp (name, "b") == 0 || strcmp (name, "e") == 0);
    }
  for (int i = 0; i < 12; i++)
    {
      const char *name = pick_and_take (&fixture);
      g_assert_true (strcmp (name, "b") != 0 && strcmp (name, "e") != 0);
    }
  g_assert_cmpstr (pick_and_take (&fixture), ==, "busy");
  tear_down (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/pick/nearness", test_nearness);
  g_test_add_func ("/pick/no-target", test_no_target);
  g_test_add_func ("/pick/class-share", test_class_share);
  g_test_add_func ("/pick/drained-and-avoided", test_drained_and_avoided);
  g_test_add_func ("/pick/holds", test_backoff);
  g_test_add_func ("/pick/failures-together", test_failures_together);
  g_test_add_func ("/pick/affinity", test_affinity);
  g_test_add_func ("/pick/two-choices", test_two_choices);
  g_test_add_func ("/pick/home-part", test_own_partition);
  return g_test_run ();
}
