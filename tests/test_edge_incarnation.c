/** @file
 *  Tests of the incarnation numbers of routers. */

#include <glib.h>

#include "base_log.h"
#include "edge_incarnation.h"

static void
test_later_incarnation_is_higher (void)
{
  struct edge_incarnation previous;
  struct edge_incarnation later;
  edge_incarnation_begin (&previous, 1000, UINT64_MAX);
  edge_incarnation_begin (&later, 1001, 0);
  g_assert_cmpuint (later.number, >, previous.number);
}

/* The clock was set back before the restart: after control fences off the new
   incarnation, it takes a number above the previous one's. */
static void
test_clock_set_back (void)
{
  struct edge_incarnation previous;
  struct edge_incarnation later;
  struct control_lease_result result = { 0 };
  edge_incarnation_begin (&previous, 90000, 5);
  edge_incarnation_begin (&later, 1000, 7);
  result.answer.status = CONTROL_FENCED;
  result.router_incarnation = previous.number;
  g_assert_false (edge_incarnation_handle_result (&later, &result));
  g_assert_cmpuint (later.number, >, previous.number);
  result.answer.status = CONTROL_OK;
  g_assert_true (edge_incarnation_handle_result (&later, &result));
}

/* An incarnation that control accepted, and that was then replaced by a later
   one, must not take a higher number. */
static void
test_replaced_incarnation_stays_out (void)
{
  struct edge_incarnation self;
  struct control_lease_result result = { 0 };
  edge_incarnation_begin (&self, 1000, 0);
  uint64_t number = self.number;
  result.answer.status = CONTROL_OK;
  g_assert_true (edge_incarnation_handle_result (&self, &result));
  result.answer.status = CONTROL_FENCED;
  result.router_incarnation = number + 1;
  g_assert_false (edge_incarnation_handle_result (&self, &result));
  g_assert_cmpuint (self.number, ==, number);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  base_log_set_level (BASE_LOG_ERROR);
  g_test_add_func ("/edge-incarnation/later-incarnation-is-higher",
                   test_later_incarnation_is_higher);
  g_test_add_func ("/edge-incarnation/clock-set-back", test_clock_set_back);
  g_test_add_func ("/edge-incarnation/replaced-incarnation-stays-out",
                   test_replaced_incarnation_stays_out);
  return g_test_run ();
}
