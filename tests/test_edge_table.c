/** @file
 *  Tests of the routing table. */

#include <string.h>

#include <glib.h>

#include "edge_table.h"

static void
test_longest_prefix (void)
{
  struct edge_table *table = edge_table_create (7);
  struct edge_route *outer = edge_table_add_route (table, "a.example", "/x/");
  struct edge_route *inner
      = edge_table_add_route (table, "a.example", "/x/y/");
  struct edge_route *other = edge_table_add_route (table, "b.example", "/");
  g_assert_true (edge_table_find_route (table, "a.example", "/x/1") == outer);
  g_assert_true (edge_table_find_route (table, "A.Example:80", "/x/y/2")
                 == inner);
  g_assert_true (edge_table_find_route (table, "a.example", "/x/y") == outer);
  g_assert_true (edge_table_find_route (table, "b.example", "/any") == other);
  g_assert_null (edge_table_find_route (table, "a.example", "/z"));
  g_assert_null (edge_table_find_route (table, "c.example", "/x/1"));
  g_assert_cmpuint (edge_table_version (table), ==, 7);
  edge_table_unref (table);
}

static void
test_one_route_per_prefix (void)
{
  struct edge_table *table = edge_table_create (1);
  g_assert_nonnull (edge_table_add_route (table, "a.example", "/x/"));
  g_assert_null (edge_table_add_route (table, "A.EXAMPLE", "/x/"));
  g_assert_nonnull (edge_table_add_route (table, "b.example", "/x/"));
  edge_table_unref (table);
}

static void
test_one_account_per_key (void)
{
  struct edge_table *table = edge_table_create (1);
  g_assert_false (edge_table_has_accounts (table));
  struct edge_account *first = edge_table_add_account (table, "first");
  struct edge_account *second = edge_table_add_account (table, "second");
  g_assert_null (edge_table_add_account (table, "first"));
  g_assert_true (edge_table_add_key (table, "k1", first));
  g_assert_false (edge_table_add_key (table, "k1", second));
  g_assert_true (edge_table_find_account_by_key (table, "k1") == first);
  g_assert_null (edge_table_find_account_by_key (table, "k2"));
  g_assert_true (edge_table_has_accounts (table));
  edge_table_unref (table);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/edge-table/longest-prefix", test_longest_prefix);
  g_test_add_func ("/edge-table/one-route-a-place", test_one_route_per_prefix);
  g_test_add_func ("/edge-table/one-account-a-key", test_one_account_per_key);
  return g_test_run ();
}
