/** @file
 *  Tests of the retry decision and of the retry budget. */

#include <glib.h>

#include "retry.h"

static void
test_decisions (void)
{
  struct retry_budget *budget = retry_budget_create (10, 100);
  g_assert_cmpint (retry_decide (budget, RETRY_UNSENT, false, 1, 1000), ==,
                   RETRY_AGAIN);
  g_assert_cmpint (retry_decide (budget, RETRY_REFUSED, false, 1, 1000), ==,
                   RETRY_AGAIN);
  g_assert_cmpint (retry_decide (budget, RETRY_SENT, true, 1, 1000), ==,
                   RETRY_AGAIN);
  g_assert_cmpint (retry_decide (budget, RETRY_SENT, false, 1, 1000), ==,
                   RETRY_STOP_UNKNOWN);
  g_assert_cmpint (
      retry_decide (budget, RETRY_RESPONSE_STARTED, true, 1, 1000), ==,
      RETRY_STOP_UNKNOWN);
  g_assert_cmpint (retry_decide (budget, RETRY_UNSENT, true, 4, 1000), ==,
                   RETRY_STOP_NOT_RUN);
  g_assert_cmpint (retry_decide (budget, RETRY_REFUSED, true, 1, 0), ==,
                   RETRY_STOP_NOT_RUN);
  retry_budget_destroy (budget);
}

static void
test_budget (void)
{
  struct retry_budget *budget = retry_budget_create (10, 3);
  for (int i = 0; i < 3; i++)
    g_assert_cmpint (retry_decide (budget, RETRY_SENT, true, 1, 1000), ==,
                     RETRY_AGAIN);
  g_assert_cmpint (retry_decide (budget, RETRY_SENT, true, 1, 1000), ==,
                   RETRY_STOP_UNKNOWN);
  g_assert_cmpint (retry_decide (budget, RETRY_REFUSED, true, 1, 1000), ==,
                   RETRY_STOP_NOT_RUN);
  g_assert_cmpint (retry_decide (budget, RETRY_UNSENT, true, 1, 1000), ==,
                   RETRY_AGAIN);
  for (int i = 0; i < 10; i++)
    retry_budget_earn (budget);
  g_assert_cmpint (retry_decide (budget, RETRY_SENT, true, 1, 1000), ==,
                   RETRY_AGAIN);
  g_assert_cmpint (retry_decide (budget, RETRY_SENT, true, 1, 1000), ==,
                   RETRY_STOP_UNKNOWN);
  for (int i = 0; i < 1000; i++)
    retry_budget_earn (budget);
  int again = 0;
  while (retry_decide (budget, RETRY_SENT, true, 1, 1000) == RETRY_AGAIN)
    again++;
  g_assert_cmpint (again, ==, 3);
  retry_budget_destroy (budget);
}

/* When every request fails, retries stay within their share of the
   requests. */
static void
test_outage (void)
{
  struct retry_budget *budget = retry_budget_create (10, 5);
  int attempts = 0;
  for (int request = 0; request < 1000; request++)
    {
      uint32_t attempt = 1;
      retry_budget_earn (budget);
      while (retry_decide (budget, RETRY_SENT, true, attempt, 1000)
             == RETRY_AGAIN)
        attempt++;
      attempts += (int)attempt;
    }
  g_assert_cmpint (attempts, <=, 1000 + 100 + 5);
  retry_budget_destroy (budget);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/retry/decisions", test_decisions);
  g_test_add_func ("/retry/budget", test_budget);
  g_test_add_func ("/retry/outage", test_outage);
  return g_test_run ();
}
