/** @file
 *  Tests of the retry budget. */

#include <glib.h>

#include "base_random.h"
#include "edge_retry.h"

static const struct edge_retry_limits limits = { 0.2, 10000, 50.0 };

static void
test_share_of_slack (void)
{
  struct edge_retry *retry = edge_retry_create (&limits, 0);
  uint32_t retries = 0;
  edge_retry_set_routers (retry, 5);
  while (edge_retry_take (retry, "s", 1000))
    retries++;
  /* Four fifths of this router's share of the slack, which is a fifth of 50.
   */
  g_assert_cmpuint (retries, ==, 8);
  g_assert_true (edge_retry_take (retry, "other", 1000));
  edge_retry_destroy (retry);
}

/* No window of 10 s may exceed the limits, wherever it begins. */
static void
test_sliding_windows (void)
{
  struct base_random random;
  struct edge_retry *retry = edge_retry_create (&limits, 0);
  GArray *retries = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  GArray *requests = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  base_random_seed (&random, 1);
  edge_retry_set_routers (retry, 1);
  for (uint64_t now_ms = 1000; now_ms < 60000; now_ms += 7)
    {
      if (base_random_below (&random, 20) == 0)
        {
          edge_retry_request (retry, "s", now_ms);
          g_array_append_val (requests, now_ms);
        }
      if (edge_retry_take (retry, "s", now_ms))
        g_array_append_val (retries, now_ms);
    }
  for (uint64_t start_ms = 0; start_ms < 60000; start_ms += 100)
    {
      uint32_t in_window[2] = { 0, 0 };
      for (guint i = 0; i < retries->len; i++)
        in_window[0]
            += g_array_index (retries, uint64_t, i) - start_ms < 10000;
      for (guint i = 0; i < requests->len; i++)
        in_window[1]
            += g_array_index (requests, uint64_t, i) - start_ms < 10000;
      g_assert_cmpfloat (in_window[0], <=, 0.2 * in_window[1] + 50.0);
    }
  g_array_unref (retries);
  g_array_unref (requests);
  edge_retry_destroy (retry);
}

/* Guards against retries at the end of a bucket that count for less than a
   window. */
static void
test_end_of_a_bucket (void)
{
  struct edge_retry *retry = edge_retry_create (&limits, 0);
  uint64_t last_ms = 10499;
  edge_retry_set_routers (retry, 1);
  while (edge_retry_take (retry, "s", last_ms))
    continue;
  for (uint64_t now_ms = last_ms; now_ms < last_ms + limits.window_ms;
       now_ms++)
    g_assert_false (edge_retry_take (retry, "s", now_ms));
  g_assert_true (
      edge_retry_take (retry, "s", last_ms + 2 * (uint64_t)limits.window_ms));
  edge_retry_destroy (retry);
}

/* Guards against routers that use their parts of the slack once more after all
   of them were killed. */
static void
test_restart (void)
{
  enum
  {
    ROUTERS = 5,
    KILLED_MS = 20000,
    END_MS = 45000
  };
  struct edge_retry *routers[ROUTERS];
  GArray *retries = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  uint32_t after_window = 0;
  for (uint32_t i = 0; i < ROUTERS; i++)
    routers[i] = edge_retry_create (&limits, 0);
  for (uint64_t now_ms = 1000; now_ms < END_MS; now_ms += 20)
    for (uint32_t i = 0; i < ROUTERS; i++)
      {
        if (now_ms == KILLED_MS)
          {
            edge_retry_destroy (routers[i]);
            routers[i]
                = edge_retry_create (&limits, now_ms + limits.window_ms);
          }
        edge_retry_set_routers (routers[i], ROUTERS);
        /* No retries but those of the slack, as late as they can come. */
        if (now_ms + 500 < KILLED_MS
            || !edge_retry_take (routers[i], "s", now_ms))
          continue;
        g_array_append_val (retries, now_ms);
        after_window += now_ms >= KILLED_MS + limits.window_ms;
      }
  for (uint64_t start_ms = 0; start_ms < END_MS; start_ms += 20)
    {
      uint32_t in_window = 0;
      for (guint i = 0; i < retries->len; i++)
        in_window += g_array_index (retries, uint64_t, i) - start_ms
                     < limits.window_ms;
      g_assert_cmpfloat (in_window, <=, limits.slack);
    }
  g_assert_cmpuint (after_window, >, 0);
  for (uint32_t i = 0; i < ROUTERS; i++)
    edge_retry_destroy (routers[i]);
  g_array_unref (retries);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/edge-retry/share-of-slack", test_share_of_slack);
  g_test_add_func ("/edge-retry/sliding-windows", test_sliding_windows);
  g_test_add_func ("/edge-retry/end-of-a-bucket", test_end_of_a_bucket);
  g_test_add_func ("/edge-retry/restart", test_restart);
  return g_test_run ();
}
