/** @file
 *  Tests of choosing targets of plain services by the probability that they
 *  fail. */

#include <string.h>

#include <glib.h>

#include "base_random.h"
#include "place.h"

#define TARGETS 6
#define OWN_REGION 3
#define SECONDS 60
#define REQUESTS_PER_S 25
#define FAILURE_COST_MS 1000

/* A service with a target in each of six zones, three of them in the router's
   region, as the router sees it; and the probability, in thousandths, that
   each target fails a request. */
struct service
{
  struct place_load loads[TARGETS];
  struct place_candidate candidates[TARGETS];
  uint32_t failing[TARGETS];
  struct base_random random;
  /* Requests sent to each target. */
  uint32_t sent[TARGETS];
};

static struct service *
create_service (uint32_t failing)
{
  static const char *const names[TARGETS] = { "a", "b", "c", "d", "e", "f" };
  struct service *service = g_new0 (struct service, 1);
  base_random_seed (&service->random, 1);
  for (uint32_t i = 0; i < TARGETS; i++)
    {
      place_load_init (&service->loads[i]);
      service->candidates[i] = (struct place_candidate){
        .name = names[i],
        .load = &service->loads[i],
        .distance = i == 0           ? PLACE_SAME_ZONE
                    : i < OWN_REGION ? PLACE_SAME_REGION
                                     : PLACE_OTHER_REGION,
        .slots = 6,
        .routers = 12,
      };
      service->failing[i] = failing;
    }
  return service;
}

static void
destroy_service (struct service *service)
{
  for (uint32_t i = 0; i < TARGETS; i++)
    place_load_clear (&service->loads[i]);
  g_free (service);
}

/* Sends requests one after another, each of which ends before the next. */
static void
run_service (struct service *service, uint32_t failure_cost_ms,
             uint64_t from_ms)
{
  const struct place_request request = { .failure_cost_ms = failure_cost_ms };
  memset (service->sent, 0, sizeof service->sent);
  for (uint32_t i = 0; i < SECONDS * REQUESTS_PER_S; i++)
    {
      uint64_t now_ms = from_ms + i * UINT64_C (1000) / REQUESTS_PER_S;
      int index = place_choose (service->candidates, TARGETS, &request, now_ms,
                                base_random_next (&service->random));
      g_assert_cmpint (index, >=, 0);
      struct place_load *load = &service->loads[index];
      place_note_sent (&service->candidates[index], &request, now_ms);
      place_note_end (load, &request);
      service->sent[index]++;
      if (base_random_below (&service->random, 1000) < service->failing[index])
        place_note_failure (load, now_ms);
      else
        place_note_success (load, now_ms);
    }
}

static uint32_t
sent_abroad (const struct service *service)
{
  uint32_t count = 0;
  for (uint32_t i = OWN_REGION; i < TARGETS; i++)
    count += service->sent[i];
  return count;
}

/* All targets fail one request in twenty: nine in ten requests stay in the
   region, where they meet their objective. */
static void
test_equal_failures (void)
{
  struct service *service = create_service (50);
  run_service (service, 0, 10000);
  g_assert_cmpuint (sent_abroad (service) * 10, >, SECONDS * REQUESTS_PER_S);
  destroy_service (service);
  service = create_service (50);
  run_service (service, FAILURE_COST_MS, 10000);
  g_assert_cmpuint (sent_abroad (service) * 10, <=, SECONDS * REQUESTS_PER_S);
  destroy_service (service);
}

/* A target that fails nearly every other request is left to its neighbours in
   the region, and used again once it has recovered. */
static void
test_failing_target (void)
{
  struct service *service = create_service (0);
  service->failing[0] = 450;
  run_service (service, FAILURE_COST_MS, 10000);
  g_assert_cmpuint (service->sent[0] * 10, <=, SECONDS * REQUESTS_PER_S);
  g_assert_cmpuint (sent_abroad (service), ==, 0);
  service->failing[0] = 0;
  run_service (service, FAILURE_COST_MS, 200000);
  g_assert_cmpuint (service->sent[0] * 2, >=, SECONDS * REQUESTS_PER_S);
  destroy_service (service);
}

/* When all targets of the region fail often, the other region is better. */
static void
test_failing_region (void)
{
  struct service *service = create_service (0);
  for (uint32_t i = 0; i < OWN_REGION; i++)
    service->failing[i] = 400;
  run_service (service, FAILURE_COST_MS, 10000);
  g_assert_cmpuint (sent_abroad (service) * 10, >=,
                    SECONDS * REQUESTS_PER_S * 8);
  destroy_service (service);
}

static void
test_probability (void)
{
  struct place_rate rate = { 0 };
  double usual = place_rate_probability (&rate, 1000);
  place_rate_note (&rate, true, 1000);
  double failed = place_rate_probability (&rate, 1000);
  g_assert_cmpfloat (failed, >, usual);
  g_assert_cmpfloat (failed, <, 0.5);
  g_assert_cmpfloat (place_rate_probability (&rate, 60000), <, 2 * usual);
  for (int i = 0; i < 100; i++)
    place_rate_note (&rate, true, 1000);
  g_assert_cmpfloat (place_rate_probability (&rate, 1000), >, 0.9);
  g_assert_cmpfloat (place_rate_probability (&rate, 1000), <=, 1.0);
  /* A clock that went back changes nothing. */
  g_assert_cmpfloat (place_rate_probability (&rate, 500), <=, 1.0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/place-rate/equal-failures", test_equal_failures);
  g_test_add_func ("/place-rate/failing-target", test_failing_target);
  g_test_add_func ("/place-rate/failing-region", test_failing_region);
  g_test_add_func ("/place-rate/probability", test_probability);
  return g_test_run ();
}
