/** @file
 *  Tests of the platform's programs as processes with targets that say of
 *  themselves that they leave, want rest, or are brittle. */

#include <stdatomic.h>
#include <string.h>

#include <glib.h>

#include "platform_rig.h"
#include "platform_target.h"

#define CONFIG                                                                \
  "{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","        \
  "\"pathPrefix\":\"/look/\",\"kind\":\"safe\",\"timeoutMs\":2500,"           \
  "\"targetLatencyMs\":600,\"priority\":1,\"service\":\"shop\","              \
  "\"maxAttempts\":2,\"public\":false},{\"name\":\"o\",\"host\":"             \
  "\"h.example\",\"pathPrefix\":\"/order/\",\"kind\":\"unsafe\","             \
  "\"timeoutMs\":2500,\"targetLatencyMs\":600,\"priority\":1,\"service\":"    \
  "\"shop\",\"maxAttempts\":1,\"public\":false}],\"services\":[{\"name\":"    \
  "\"shop\"}],\"limits\":{\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":"   \
  "\"t1\",\"apiKeys\":[\"k1\"]}]}"
#define ROUTERS 3
#define TARGETS 6
#define CALLERS_MAX 160
#define REQUESTS_MAX 20000
#define REST_MS 3000
/* Time after a refusal within which requests that were on their way may still
   arrive, and the number of those that may arrive later. */
#define ON_THE_WAY_US (G_USEC_PER_SEC / 2)
#define STRAYS_MAX 2
/* Time after which a target that leaves gets no new work. */
#define DRAIN_US (3 * G_USEC_PER_SEC)
/* Time after which brittle targets may let fewer wait. */
#define CONTACT_US (4 * G_USEC_PER_SEC)

struct fixture;

/* What a target saw of one router. */
struct visits
{
  /* The rest that it asked the router for, and requests that came in it. */
  gint64 refused_us;
  uint32_t strays;
  uint32_t most_strays;
  uint32_t rests;
};

struct test_target
{
  struct fixture *fixture;
  struct platform_target *target;
  GMutex mutex;
  struct visits visits[ROUTERS];
  /* Time at which it began to ask for rest, or to say that it leaves. */
  atomic_llong stated_us;
  atomic_bool asks_for_rest;
  /* Requests that were sent DRAIN_US after that, and came. */
  uint32_t late;
};

struct fixture
{
  struct platform_rig *rig;
  char routers[ROUTERS][16];
  struct test_target targets[TARGETS];
  uint32_t target_count;
  uint32_t requests_per_s;
  /* Callers use the first router only. */
  bool is_uneven;
  gint64 start_us;
  gint64 end_us;
  atomic_uint next;
  /* Times at which the requests were sent and ended, and their status. */
  gint64 sent_us[REQUESTS_MAX];
  gint64 ended_us[REQUESTS_MAX];
  long status[REQUESTS_MAX];
  double retry_after_s[REQUESTS_MAX];
};

/* Counts requests that come to a target in its rest, or after it has left. */
static void
note_arrival (void *context, const char *request_id)
{
  struct test_target *target = context;
  struct fixture *fixture = target->fixture;
  uint32_t number = (uint32_t)g_ascii_strtoull (request_id + 1, NULL, 10);
  gint64 now_us = g_get_monotonic_time ();
  gint64 stated_us = atomic_load (&target->stated_us);
  if (*request_id != 'q' || stated_us == 0)
    return;
  g_mutex_lock (&target->mutex);
  struct visits *visits = &target->visits[number % ROUTERS];
  gint64 rest_us = now_us - visits->refused_us;
  bool is_resting = visits->refused_us != 0 && rest_us < 1000 * REST_MS;
  if (!is_resting && atomic_load (&target->asks_for_rest))
    {
      visits->refused_us = now_us;
      visits->strays = 0;
      visits->rests++;
    }
  else if (is_resting && rest_us > ON_THE_WAY_US)
    {
      visits->strays++;
      visits->most_strays = MAX (visits->most_strays, visits->strays);
    }
  if (visits->refused_us == 0
      && fixture->sent_us[number] > stated_us + DRAIN_US)
    target->late++;
  g_mutex_unlock (&target->mutex);
}

static struct fixture *
set_up (uint32_t target_count, uint32_t requests_per_s)
{
  struct fixture *fixture = g_new0 (struct fixture, 1);
  fixture->target_count = target_count;
  fixture->requests_per_s = requests_per_s;
  fixture->rig = platform_rig_create ();
  g_strlcpy (fixture->routers[0], "127.0.0.1", sizeof fixture->routers[0]);
  for (uint32_t i = 1; i < ROUTERS; i++)
    platform_rig_add_entry (fixture->rig, fixture->routers[i]);
  platform_rig_configure (fixture->rig, CONFIG);
  for (uint32_t i = 0; i < target_count; i++)
    {
      struct test_target *target = &fixture->targets[i];
      char id[16];
      g_snprintf (id, sizeof id, "t%u", i + 1);
      target->fixture = fixture;
      g_mutex_init (&target->mutex);
      target->target = platform_target_create (id);
      platform_target_set_arrival (target->target, note_arrival, target);
      platform_rig_announce (fixture->rig, id, "shop",
                             platform_target_port (target->target), "ready",
                             1);
    }
  return fixture;
}

static void
tear_down (struct fixture *fixture)
{
  platform_rig_destroy (fixture->rig);
  for (uint32_t i = 0; i < fixture->target_count; i++)
    {
      platform_target_destroy (fixture->targets[i].target);
      g_mutex_clear (&fixture->targets[i].mutex);
    }
  g_free (fixture);
}

static long
post (const struct fixture *fixture, uint32_t router, const char *path,
      const char *id, double *retry_after_s)
{
  char *url = g_strdup_printf ("http://%s:%u%s", fixture->routers[router],
                               (unsigned)fixture->rig->callers_port, path);
  char *id_line = g_strdup_printf ("X-Request-Id: %s", id);
  const char *const lines[] = { "Host: h.example", "X-Deadline-Ms: 2500",
                                "X-Credential: k1", id_line, NULL };
  struct platform_reply reply = platform_rig_call ("POST", url, "abc", lines);
  long status = reply.whole ? reply.status : 0;
  *retry_after_s = platform_reply_retry_after_s (&reply);
  platform_reply_clear (&reply);
  g_free (id_line);
  g_free (url);
  return status;
}

static gpointer
call (gpointer data)
{
  struct fixture *fixture = data;
  for (;;)
    {
      char id[24];
      uint32_t number = atomic_fetch_add (&fixture->next, 1);
      gint64 due_us
          = fixture->start_us
            + number * (gint64)G_USEC_PER_SEC / fixture->requests_per_s;
      gint64 now_us = g_get_monotonic_time ();
      if (MAX (due_us, now_us) >= fixture->end_us || number >= REQUESTS_MAX)
        return NULL;
      if (due_us > now_us)
        g_usleep ((gulong)(due_us - now_us));
      g_snprintf (id, sizeof id, "q%u", number);
      fixture->sent_us[number] = g_get_monotonic_time ();
      fixture->status[number]
          = post (fixture, fixture->is_uneven ? 0 : number % ROUTERS,
                  number % 2 == 0 ? "/look/x" : "/order/x", id,
                  &fixture->retry_after_s[number]);
      fixture->ended_us[number] = g_get_monotonic_time ();
    }
}

static void
wait_ready (struct fixture *fixture)
{
  for (uint32_t i = 0; i < ROUTERS; i++)
    {
      uint32_t tries = 0;
      double retry_after_s;
      while (post (fixture, i, "/look/x", "w", &retry_after_s) != 200
             && tries++ < 200)
        g_usleep (50000);
      g_assert_cmpuint (tries, <, 200);
    }
}

/* Starts the load for @p seconds. */
static void
start_load (struct fixture *fixture, GThread *threads[CALLERS_MAX],
            uint32_t seconds)
{
  wait_ready (fixture);
  fixture->start_us = g_get_monotonic_time ();
  fixture->end_us = fixture->start_us + seconds * G_USEC_PER_SEC;
  for (uint32_t i = 0; i < CALLERS_MAX; i++)
    threads[i] = g_thread_new ("call", call, fixture);
}

static void
join (GThread *threads[CALLERS_MAX])
{
  for (uint32_t i = 0; i < CALLERS_MAX; i++)
    g_thread_join (threads[i]);
}

/* Share of the requests of a span that were served. */
static double
served_share (const struct fixture *fixture, gint64 from_us, gint64 until_us)
{
  uint32_t sent = 0;
  uint32_t served = 0;
  for (uint32_t i = 0; i < REQUESTS_MAX; i++)
    if (fixture->sent_us[i] >= from_us && fixture->sent_us[i] < until_us)
      {
        sent++;
        served += fixture->status[i] == 200;
      }
  g_test_message ("served %u of %u", served, sent);
  return sent > 0 ? (double)served / sent : 0.0;
}

/* Number of requests sent from then on that were served. */
static uint32_t
count_served (const struct fixture *fixture, gint64 from_us)
{
  uint32_t served = 0;
  for (uint32_t i = 0; i < REQUESTS_MAX; i++)
    served += fixture->sent_us[i] >= from_us && fixture->status[i] == 200;
  return served;
}

/* Some targets turn requests away for a while and ask for rest; each router
   keeps it, and the targets serve again after it. */
static void
test_rest (uint32_t resting, uint32_t requests_per_s)
{
  static const struct platform_target_room room = { 7, 24, 60, 0, 0 };
  GThread *threads[CALLERS_MAX];
  uint32_t rests = 0;
  uint32_t most = 0;
  struct fixture *fixture = set_up (3, requests_per_s);
  for (uint32_t i = 0; i < fixture->target_count; i++)
    platform_target_set_room (fixture->targets[i].target, &room);
  start_load (fixture, threads, 14);
  g_usleep (2 * G_USEC_PER_SEC);
  gint64 begun_us = g_get_monotonic_time ();
  for (uint32_t i = 0; i < resting; i++)
    {
      atomic_store (&fixture->targets[i].asks_for_rest, true);
      atomic_store (&fixture->targets[i].stated_us, begun_us);
      platform_target_set_rest (fixture->targets[i].target, REST_MS);
    }
  g_usleep (4 * G_USEC_PER_SEC);
  for (uint32_t i = 0; i < resting; i++)
    {
      platform_target_set_rest (fixture->targets[i].target, 0);
      atomic_store (&fixture->targets[i].asks_for_rest, false);
    }
  gint64 over_us = g_get_monotonic_time ();
  join (threads);
  for (uint32_t i = 0; i < resting; i++)
    for (uint32_t j = 0; j < ROUTERS; j++)
      {
        rests += fixture->targets[i].visits[j].rests;
        most = MAX (most, fixture->targets[i].visits[j].most_strays);
      }
  g_test_message ("rests %u, most requests in one %u", rests, most);
  g_assert_cmpuint (rests, >, 0);
  g_assert_cmpuint (most, <=, STRAYS_MAX);
  /* All is as before a second after the last rest. */
  g_assert_cmpfloat (served_share (fixture,
                                   over_us + 1000 * REST_MS + G_USEC_PER_SEC,
                                   fixture->end_us),
                     >=, 0.95);
  /* What can't be served is rejected at once, with the time left. */
  if (resting == fixture->target_count)
    for (uint32_t i = 0; i < REQUESTS_MAX; i++)
      if (fixture->sent_us[i] > begun_us + ON_THE_WAY_US
          && fixture->sent_us[i] < begun_us + 1000 * REST_MS
          && fixture->status[i] == 503)
        {
          g_assert_cmpint (fixture->ended_us[i] - fixture->sent_us[i], <,
                           ON_THE_WAY_US);
          g_assert_cmpfloat (fixture->ended_us[i]
                                 + G_USEC_PER_SEC * fixture->retry_after_s[i],
                             >=, begun_us + 1000.0 * REST_MS);
        }
  tear_down (fixture);
}

static void
test_one_target_rests (void)
{
  test_rest (1, 290);
}

static void
test_all_targets_rest (void)
{
  test_rest (3, 120);
}

/* Two of four targets say that they leave, and announce nothing. */
static void
test_leaving (void)
{
  GThread *threads[CALLERS_MAX];
  struct fixture *fixture = set_up (4, 120);
  start_load (fixture, threads, 10);
  g_usleep (2 * G_USEC_PER_SEC);
  for (uint32_t i = 0; i < 2; i++)
    {
      atomic_store (&fixture->targets[i].stated_us, g_get_monotonic_time ());
      platform_target_set_statement (fixture->targets[i].target,
                                     "Server-Leaving: 1");
    }
  join (threads);
  for (uint32_t i = 0; i < 2; i++)
    g_assert_cmpuint (fixture->targets[i].late, ==, 0);
  g_assert_cmpfloat (
      served_share (fixture, fixture->start_us, fixture->end_us), >=, 0.99);
  tear_down (fixture);
}

/* All targets are brittle and let hardly any request wait; more come than they
   can serve. */
static void
test_brittle (uint32_t requests_per_s, bool is_uneven)
{
  static const struct platform_target_room calm = { 8, 16, 80, 6, 3000 };
  static const struct platform_target_room brittle = { 8, 1, 80, 6, 3000 };
  GThread *threads[CALLERS_MAX];
  uint32_t falls = 0;
  struct fixture *fixture = set_up (TARGETS, requests_per_s);
  fixture->is_uneven = is_uneven;
  for (uint32_t i = 0; i < TARGETS; i++)
    {
      platform_target_set_room (fixture->targets[i].target, &calm);
      platform_target_set_statement (fixture->targets[i].target,
                                     "Server-Brittle: 6");
    }
  start_load (fixture, threads, 14);
  g_usleep (CONTACT_US);
  for (uint32_t i = 0; i < TARGETS; i++)
    platform_target_set_room (fixture->targets[i].target, &brittle);
  gint64 from_us = g_get_monotonic_time ();
  join (threads);
  for (uint32_t i = 0; i < TARGETS; i++)
    falls += platform_target_falls (fixture->targets[i].target);
  double seconds = (double)(fixture->end_us - from_us) / G_USEC_PER_SEC;
  double served_per_s = count_served (fixture, from_us) / seconds;
  double capacity_per_s = TARGETS * brittle.slots * 1000.0 / brittle.work_ms;
  g_test_message ("falls %u, served %.0f a second, capacity %.0f", falls,
                  served_per_s, capacity_per_s);
  g_assert_cmpuint (falls, <=, 2 + TARGETS / 10);
  g_assert_cmpfloat (served_per_s, >=,
                     0.7 * MIN (capacity_per_s, requests_per_s));
  tear_down (fixture);
}

static void
test_brittle_below_capacity (void)
{
  test_brittle (300, false);
}

static void
test_brittle_under_a_rush (void)
{
  test_brittle (900, false);
}

/* One of three routers has all callers. */
static void
test_brittle_with_uneven_callers (void)
{
  test_brittle (400, true);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_set_nonfatal_assertions ();
  g_test_add_func ("/platform-target-statements/one-target-rests",
                   test_one_target_rests);
  g_test_add_func ("/platform-target-statements/all-targets-rest",
                   test_all_targets_rest);
  g_test_add_func ("/platform-target-statements/leaving", test_leaving);
  g_test_add_func ("/platform-target-statements/brittle-below-capacity",
                   test_brittle_below_capacity);
  g_test_add_func ("/platform-target-statements/brittle-under-a-rush",
                   test_brittle_under_a_rush);
  g_test_add_func ("/platform-target-statements/brittle-with-uneven-callers",
                   test_brittle_with_uneven_callers);
  return g_test_run ();
}
