/** @file
 *  Tests of the platform's programs as processes with cold targets: what all
 *  routers together send to one stays within the bound in any second, also
 *  while one of them is cut off from control, and a target that is warm again
 *  takes its share. */

#include <stdatomic.h>
#include <string.h>

#include <glib.h>

#include "platform_rig.h"
#include "platform_target.h"

#define COLD_PER_S 4.0
/* The rig's settings have an overage of 1.5 and a slack of 5. */
#define BOUND (COLD_PER_S * 1.5 + 5.0)
#define CONFIG                                                                \
  "{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","        \
  "\"pathPrefix\":\"/x/\",\"kind\":\"safe\",\"timeoutMs\":3000,"              \
  "\"targetLatencyMs\":500,\"priority\":1,\"service\":\"s\","                 \
  "\"maxAttempts\":2,\"public\":true}],\"services\":[{\"name\":\"s\","        \
  "\"coldPerS\":4.0,\"coldStartS\":3.0}],\"limits\":{\"idleTimeoutMs\":"      \
  "15000}}"
#define ROUTERS 3
#define CALLERS 12
#define TRIES_MAX 200
#define WAIT_US 50000
/* Time after an announcement within which all routers know of it. */
#define KNOWN_US (3 * G_USEC_PER_SEC / 2)
#define REJECTION_US G_USEC_PER_SEC
#define COLD_MS 40000

/* A target and the arrivals there. */
struct side
{
  struct platform_target *target;
  GMutex mutex;
  /* Times (gint64). */
  GArray *arrivals;
  uint32_t sequence;
};

struct fixture
{
  struct platform_rig *rig;
  char addresses[ROUTERS][16];
  struct side sides[2];
  atomic_bool stopping;
  GThread *callers[CALLERS];
  atomic_uint served;
  atomic_uint refused;
  atomic_uint other;
  /* Refusals that came late, and those without Retry-After. */
  atomic_uint late_refusals;
  atomic_uint bare_refusals;
};

/* A thread that makes calls. */
struct caller
{
  struct fixture *fixture;
  uint32_t number;
};

static void
note_arrival (void *context, const char *request_id)
{
  struct side *side = context;
  gint64 now_us = g_get_monotonic_time ();
  (void)request_id;
  g_mutex_lock (&side->mutex);
  g_array_append_val (side->arrivals, now_us);
  g_mutex_unlock (&side->mutex);
}

static void
announce (struct fixture *fixture, uint32_t number, uint32_t cold_left_ms)
{
  struct side *side = &fixture->sides[number];
  const struct platform_rig_target record
      = { .id = number == 0 ? "t1" : "t2",
          .service = "s",
          .version = "1",
          .port = platform_target_port (side->target),
          .born_ms = 5,
          .sequence = ++side->sequence,
          .cold_left_ms = cold_left_ms };
  g_assert_true (platform_rig_announce_to (fixture->rig, 0, &record));
}

static struct platform_reply
post (struct fixture *fixture, uint32_t router, uint32_t number)
{
  char *url = g_strdup_printf ("http://%s:%u/x/%u", fixture->addresses[router],
                               (unsigned)fixture->rig->callers_port, number);
  char *id = g_strdup_printf ("X-Request-Id: c%u", number);
  const char *const lines[]
      = { "Host: h.example", "X-Deadline-Ms: 3000", id, NULL };
  struct platform_reply reply = platform_rig_call ("POST", url, "abc", lines);
  g_free (id);
  g_free (url);
  return reply;
}

static gpointer
run_caller (gpointer data)
{
  struct caller *caller = data;
  struct fixture *fixture = caller->fixture;
  for (uint32_t i = 0; !atomic_load (&fixture->stopping); i++)
    {
      gint64 begun_us = g_get_monotonic_time ();
      struct platform_reply reply
          = post (fixture, (caller->number + i) % ROUTERS,
                  1000000 * (caller->number + 1) + i);
      bool is_refused = reply.status == 503;
      atomic_fetch_add (&fixture->served, reply.status == 200);
      atomic_fetch_add (&fixture->refused, is_refused);
      atomic_fetch_add (&fixture->other, reply.status != 200 && !is_refused);
      atomic_fetch_add (
          &fixture->late_refusals,
          is_refused && g_get_monotonic_time () - begun_us > REJECTION_US);
      atomic_fetch_add (&fixture->bare_refusals,
                        is_refused
                            && platform_reply_retry_after_s (&reply) <= 0.0);
      platform_reply_clear (&reply);
      g_usleep (20000);
    }
  g_free (caller);
  return NULL;
}

static void
start_callers (struct fixture *fixture)
{
  atomic_store (&fixture->stopping, false);
  atomic_store (&fixture->served, 0);
  atomic_store (&fixture->refused, 0);
  atomic_store (&fixture->other, 0);
  atomic_store (&fixture->late_refusals, 0);
  atomic_store (&fixture->bare_refusals, 0);
  for (uint32_t i = 0; i < CALLERS; i++)
    {
      struct caller *caller = g_new0 (struct caller, 1);
      *caller = (struct caller){ fixture, i };
      fixture->callers[i] = g_thread_new ("caller", run_caller, caller);
    }
}

static void
stop_callers (struct fixture *fixture)
{
  atomic_store (&fixture->stopping, true);
  for (uint32_t i = 0; i < CALLERS; i++)
    g_thread_join (fixture->callers[i]);
  uint32_t refused = atomic_load (&fixture->refused);
  uint32_t late = atomic_load (&fixture->late_refusals);
  g_test_message ("%u served, %u refused, %u of them late, %u other",
                  atomic_load (&fixture->served), refused, late,
                  atomic_load (&fixture->other));
  g_assert_cmpuint (atomic_load (&fixture->other), ==, 0);
  g_assert_cmpuint (atomic_load (&fixture->bare_refusals), ==, 0);
  /* A busy machine holds some up. */
  g_assert_cmpuint (100 * late, <=, refused);
}

/* Returns the arrivals at the target between two times. */
static uint32_t
count_arrivals (struct side *side, gint64 from_us, gint64 until_us)
{
  uint32_t count = 0;
  g_mutex_lock (&side->mutex);
  for (guint i = 0; i < side->arrivals->len; i++)
    {
      gint64 at_us = g_array_index (side->arrivals, gint64, i);
      count += at_us >= from_us && at_us < until_us;
    }
  g_mutex_unlock (&side->mutex);
  return count;
}

/* Returns the most arrivals in any second between two times. */
static uint32_t
most_arrivals (struct side *side, gint64 from_us, gint64 until_us)
{
  uint32_t most = 0;
  for (guint i = 0; i < side->arrivals->len; i++)
    {
      gint64 at_us = g_array_index (side->arrivals, gint64, i);
      if (at_us >= from_us && at_us < until_us)
        most = MAX (most,
                    count_arrivals (side, at_us,
                                    MIN (at_us + G_USEC_PER_SEC, until_us)));
    }
  g_test_message ("%u arrivals in %.1f s, at most %u in a second",
                  count_arrivals (side, from_us, until_us),
                  (double)(until_us - from_us) / G_USEC_PER_SEC, most);
  return most;
}

static struct fixture *
set_up (void)
{
  struct fixture *fixture = g_new0 (struct fixture, 1);
  fixture->rig = platform_rig_create_with ("cactus-entry-cut");
  g_strlcpy (fixture->addresses[0], "127.0.0.1", sizeof fixture->addresses[0]);
  for (uint32_t i = 1; i < ROUTERS; i++)
    platform_rig_add_entry (fixture->rig, fixture->addresses[i]);
  for (uint32_t i = 0; i < 2; i++)
    {
      struct side *side = &fixture->sides[i];
      side->target = platform_target_create (i == 0 ? "t1" : "t2");
      side->arrivals = g_array_new (FALSE, FALSE, sizeof (gint64));
      g_mutex_init (&side->mutex);
      platform_target_set_arrival (side->target, note_arrival, side);
    }
  platform_rig_configure (fixture->rig, CONFIG);
  /* Every router serves, by the second target. */
  for (uint32_t i = 0; i < ROUTERS; i++)
    {
      long status = 0;
      for (uint32_t j = 0; status != 200 && j < TRIES_MAX; j++)
        {
          announce (fixture, 1, 0);
          struct platform_reply reply = post (fixture, i, 100 * i + j);
          status = reply.status;
          platform_reply_clear (&reply);
          g_usleep (WAIT_US);
        }
      g_assert_cmpint (status, ==, 200);
    }
  return fixture;
}

static void
tear_down (struct fixture *fixture)
{
  platform_rig_destroy (fixture->rig);
  for (uint32_t i = 0; i < 2; i++)
    {
      platform_target_destroy (fixture->sides[i].target);
      g_array_unref (fixture->sides[i].arrivals);
      g_mutex_clear (&fixture->sides[i].mutex);
    }
  g_free (fixture);
}

static void
remove_second (struct fixture *fixture)
{
  g_assert_cmpint (platform_rig_call_control (fixture->rig, 0, "DELETE",
                                              "/v1/replicas/t2", NULL),
                   ==, 200);
  g_usleep (KNOWN_US);
}

/* Keeps the first target cold, for COLD_MS at most, until it has had some
   requests.  Returns the time until which it was cold. */
static gint64
stay_cold (struct fixture *fixture, gint64 begun_us)
{
  gint64 until_us = begun_us;
  gint64 left_us = COLD_MS * 1000;
  while (count_arrivals (&fixture->sides[0], begun_us, until_us)
             < 2 * COLD_PER_S
         && left_us > 2 * G_USEC_PER_SEC)
    {
      g_usleep (G_USEC_PER_SEC);
      until_us = g_get_monotonic_time ();
      left_us = begun_us + COLD_MS * 1000 - until_us;
      announce (fixture, 0, (uint32_t)(left_us / 1000));
    }
  return until_us;
}

/* Waits until each router has learned that the target is warm. */
static void
wait_warm (struct fixture *fixture)
{
  for (uint32_t i = 0; i < ROUTERS; i++)
    {
      long status = 0;
      for (uint32_t j = 0; status != 200 && j < TRIES_MAX; j++)
        {
          struct platform_reply reply = post (fixture, i, 5000 + 1000 * i + j);
          status = reply.status;
          platform_reply_clear (&reply);
          g_usleep (WAIT_US);
        }
      g_assert_cmpint (status, ==, 200);
    }
  g_usleep (KNOWN_US);
}

/* The only target is cold: it gets some requests within the bound, the others
   are refused at once; when it is warm, all are served. */
static void
test_all_cold (void)
{
  struct fixture *fixture = set_up ();
  struct side *side = &fixture->sides[0];
  remove_second (fixture);
  start_callers (fixture);
  gint64 begun_us = g_get_monotonic_time ();
  announce (fixture, 0, COLD_MS);
  gint64 warm_us = stay_cold (fixture, begun_us);
  announce (fixture, 0, 0);
  g_assert_cmpuint (most_arrivals (side, begun_us, warm_us), <=, BOUND);
  g_assert_cmpuint (count_arrivals (side, begun_us, warm_us), >=,
                    2 * COLD_PER_S);
  g_assert_cmpuint (atomic_load (&fixture->refused), >, 50);
  wait_warm (fixture);
  uint32_t refused = atomic_load (&fixture->refused);
  g_usleep (G_USEC_PER_SEC);
  g_assert_cmpuint (atomic_load (&fixture->refused), ==, refused);
  stop_callers (fixture);
  tear_down (fixture);
}

/* The same while one router is cut off from control. */
static void
test_cut_off_router (void)
{
  struct fixture *fixture = set_up ();
  struct side *side = &fixture->sides[0];
  char *cut
      = g_strdup_printf ("refuse reset %u", (unsigned)fixture->rig->rpc_port);
  remove_second (fixture);
  start_callers (fixture);
  gint64 begun_us = g_get_monotonic_time ();
  announce (fixture, 0, COLD_MS);
  g_usleep (G_USEC_PER_SEC);
  platform_rig_cut (fixture->rig, 0, cut);
  gint64 warm_us = stay_cold (fixture, begun_us);
  g_assert_cmpuint (most_arrivals (side, begun_us, warm_us), <=, BOUND);
  g_assert_cmpuint (count_arrivals (side, begun_us, warm_us), >=,
                    2 * COLD_PER_S);
  platform_rig_cut (fixture->rig, 0, NULL);
  stop_callers (fixture);
  g_free (cut);
  tear_down (fixture);
}

/* Beside a warm target a cold one gets nothing, and nobody is refused; it
   takes its share when it is warm, and loses it when it turns cold again. */
static void
test_beside_a_warm_one (void)
{
  struct fixture *fixture = set_up ();
  struct side *side = &fixture->sides[0];
  start_callers (fixture);
  gint64 begun_us = g_get_monotonic_time ();
  announce (fixture, 0, 4000);
  for (uint32_t i = 1; i < 4; i++)
    {
      g_usleep (G_USEC_PER_SEC);
      announce (fixture, 0, 4000 - 1000 * i);
      announce (fixture, 1, 0);
    }
  g_usleep (G_USEC_PER_SEC / 2);
  gint64 cold_until_us = begun_us + 4 * G_USEC_PER_SEC;
  g_assert_cmpuint (most_arrivals (side, begun_us, cold_until_us), <=, BOUND);
  g_usleep (G_USEC_PER_SEC / 2);
  announce (fixture, 0, 0);
  announce (fixture, 1, 0);
  g_usleep (KNOWN_US);
  gint64 warm_us = g_get_monotonic_time ();
  g_usleep (G_USEC_PER_SEC);
  announce (fixture, 0, 3000);
  announce (fixture, 1, 0);
  gint64 cold_us = g_get_monotonic_time ();
  uint32_t share = count_arrivals (side, warm_us, cold_us);
  uint32_t others = count_arrivals (&fixture->sides[1], warm_us, cold_us);
  g_test_message ("%u of %u arrivals when warm", share, share + others);
  g_assert_cmpuint (4 * share, >=, share + others);
  g_usleep (G_USEC_PER_SEC);
  gint64 known_us = g_get_monotonic_time ();
  g_usleep (3 * G_USEC_PER_SEC / 2);
  g_assert_cmpuint (most_arrivals (side, known_us, g_get_monotonic_time ()),
                    <=, BOUND);
  stop_callers (fixture);
  g_assert_cmpuint (atomic_load (&fixture->refused), ==, 0);
  tear_down (fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/platform-cold-targets/all-cold", test_all_cold);
  g_test_add_func ("/platform-cold-targets/cut-off-router",
                   test_cut_off_router);
  g_test_add_func ("/platform-cold-targets/beside-a-warm-one",
                   test_beside_a_warm_one);
  return g_test_run ();
}
