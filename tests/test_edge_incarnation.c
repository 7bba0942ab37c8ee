/** @file
 *  Tests of the numbers of a router's runs. */

#include <glib.h>

#include "base_log.h"
#include "edge_incarnation.h"

static void
test_later_run_is_higher (void)
{
  struct edge_incarnation former;
  struct edge_incarnation later;
  edge_incarnation_begin (&former, 1000, UINT64_MAX);
  edge_incarnation_begin (&later, 1001, 0);
  g_assert_cmpuint (later.incarnation, >, former.incarnation);
}

/* The time of day was set back between the runs. */
static void
test_clock_set_back (void)
{
  struct edge_incarnation former;
  struct edge_incarnation later;
  struct control_lease_result result = { 0 };
  edge_incarnation_begin (&former, 90000, 5);
  edge_incarnation_begin (&later, 1000, 7);
  result.answer.status = CONTROL_FENCED;
  result.router_incarnation = former.incarnation;
  g_assert_false (edge_incarnation_handle_result (&later, &result));
  g_assert_cmpuint (later.incarnation, >, former.incarnation);
  result.answer.status = CONTROL_OK;
  g_assert_true (edge_incarnation_handle_result (&later, &result));
}

/* A run that holds leases never takes its successor's place. */
static void
test_replaced_run_stays_out (void)
{
  struct edge_incarnation run;
  struct control_lease_result result = { 0 };
  edge_incarnation_begin (&run, 1000, 0);
  uint64_t incarnation = run.incarnation;
  result.answer.status = CONTROL_OK;
  g_assert_true (edge_incarnation_handle_result (&run, &result));
  result.answer.status = CONTROL_FENCED;
  result.router_incarnation = incarnation + 1;
  g_assert_false (edge_incarnation_handle_result (&run, &result));
  g_assert_cmpuint (run.incarnation, ==, incarnation);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  base_log_set_level (BASE_LOG_ERROR);
  g_test_add_func ("/edge-run/later-run-is-higher", test_later_run_is_higher);
  g_test_add_func ("/edge-run/clock-set-back", test_clock_set_back);
  g_test_add_func ("/edge-run/replaced-run-stays-out",
                   test_replaced_run_stays_out);
  return g_test_run ();
}
