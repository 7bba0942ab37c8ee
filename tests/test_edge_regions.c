/** @file
 *  Tests of the regions that routes and client accounts allow. */

#include <glib.h>

#include "edge_regions.h"

static struct edge_regions *
make (const char *const *names)
{
  struct edge_regions *regions = edge_regions_create ();
  for (; *names; names++)
    edge_regions_add (regions, *names);
  return regions;
}

static void
test_any (void)
{
  g_assert_true (edge_regions_allow (NULL, NULL, "north"));
  g_assert_true (edge_regions_allow (NULL, NULL, NULL));
  g_assert_true (edge_regions_overlap (NULL, NULL));
}

static void
test_one_binds (void)
{
  struct edge_regions *north
      = make ((const char *const[]){ "north", "east", "north", NULL });
  g_assert_cmpuint (edge_regions_count (north), ==, 2);
  g_assert_true (edge_regions_allow (north, NULL, "north"));
  g_assert_true (edge_regions_allow (NULL, north, "east"));
  g_assert_false (edge_regions_allow (north, NULL, "south"));
  g_assert_false (edge_regions_allow (NULL, north, "south"));
  g_assert_false (edge_regions_allow (north, NULL, "North"));
  g_assert_false (edge_regions_allow (north, NULL, ""));
  g_assert_true (edge_regions_overlap (north, NULL));
  g_assert_true (edge_regions_overlap (NULL, north));
  edge_regions_destroy (north);
}

/* A target in an availability zone whose region isn't known gets nothing that
   is bound. */
static void
test_unknown_region (void)
{
  struct edge_regions *north = make ((const char *const[]){ "north", NULL });
  g_assert_false (edge_regions_allow (north, NULL, NULL));
  g_assert_false (edge_regions_allow (NULL, north, NULL));
  edge_regions_destroy (north);
}

static void
test_both_bind (void)
{
  struct edge_regions *route
      = make ((const char *const[]){ "north", "east", NULL });
  struct edge_regions *account
      = make ((const char *const[]){ "east", "south", NULL });
  struct edge_regions *other = make ((const char *const[]){ "west", NULL });
  g_assert_true (edge_regions_allow (route, account, "east"));
  g_assert_false (edge_regions_allow (route, account, "north"));
  g_assert_false (edge_regions_allow (route, account, "south"));
  g_assert_true (edge_regions_overlap (route, account));
  g_assert_false (edge_regions_overlap (route, other));
  g_assert_false (edge_regions_allow (route, other, "west"));
  edge_regions_destroy (other);
  edge_regions_destroy (account);
  edge_regions_destroy (route);
}

/* An empty set allows nothing, unlike NULL. */
static void
test_empty (void)
{
  struct edge_regions *none = edge_regions_create ();
  g_assert_false (edge_regions_allow (none, NULL, "north"));
  g_assert_false (edge_regions_overlap (none, none));
  edge_regions_destroy (none);
  edge_regions_destroy (NULL);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/edge-regions/any", test_any);
  g_test_add_func ("/edge-regions/one-binds", test_one_binds);
  g_test_add_func ("/edge-regions/unknown-region", test_unknown_region);
  g_test_add_func ("/edge-regions/both-bind", test_both_bind);
  g_test_add_func ("/edge-regions/empty", test_empty);
  return g_test_run ();
}
