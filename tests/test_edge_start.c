/** @file
 *  Tests of the wait for the first configuration after a start. */

#include <glib.h>

#include "edge_start.h"

/* Callers' objective, and the time for which each of them waits. */
#define OBJECTIVE_MS 1000
#define DEADLINE_MS 12000
/* Time from the router's start until its configuration is there, and until its
   callers are served as usual. */
#define CONFIGURED_MS 500
#define SERVICE_MS 300

/* Counts the requests of the first second, one every 5 ms, that are answered
   within their objective. */
static uint32_t
count_prompt (uint32_t wait_max_ms, uint32_t *requests)
{
  uint32_t prompt = 0;
  uint32_t waiting = 0;
  *requests = 0;
  for (uint64_t arrived_ms = 0; arrived_ms < 1000; arrived_ms += 5)
    {
      struct edge_start start = { .wait_max_ms = wait_max_ms,
                                  .arrived_ms = arrived_ms,
                                  .deadline_ms = DEADLINE_MS,
                                  .waiting = waiting };
      uint64_t now_ms = arrived_ms;
      while (now_ms < CONFIGURED_MS && edge_start_may_wait (&start, now_ms))
        now_ms += 20;
      (*requests)++;
      waiting += now_ms > arrived_ms;
      prompt += now_ms >= CONFIGURED_MS
                && now_ms - arrived_ms + SERVICE_MS <= OBJECTIVE_MS;
    }
  return prompt;
}

/* All hosts start at the same time, with all of their callers. */
static void
test_loss_of_power (void)
{
  uint32_t requests = 0;
  g_assert_cmpuint (count_prompt (0, &requests) * 10, <, requests * 9);
  g_assert_cmpuint (count_prompt (1000, &requests) * 10, >=, requests * 9);
}

static void
test_limits (void)
{
  struct edge_start start
      = { .wait_max_ms = 1000, .arrived_ms = 5000, .deadline_ms = 12000 };
  g_assert_true (edge_start_may_wait (&start, 5000));
  g_assert_true (edge_start_may_wait (&start, 5999));
  g_assert_false (edge_start_may_wait (&start, 6000));
  /* Two thirds of the caller's time are left for another try. */
  start.deadline_ms = 900;
  g_assert_true (edge_start_may_wait (&start, 5299));
  g_assert_false (edge_start_may_wait (&start, 5300));
  start.deadline_ms = 0;
  g_assert_true (edge_start_may_wait (&start, 5999));
  /* Requests that wait are held in memory. */
  start.waiting = 500;
  g_assert_false (edge_start_may_wait (&start, 5000));
  start.waiting = 0;
  start.wait_max_ms = 0;
  g_assert_false (edge_start_may_wait (&start, 5000));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/edge-start/loss-of-power", test_loss_of_power);
  g_test_add_func ("/edge-start/limits", test_limits);
  return g_test_run ();
}
