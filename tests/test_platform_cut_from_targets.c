/** @file
 *  Tests of the platform's programs as processes with routers that are cut off
 *  from targets, while callers, control and the other routers reach them. */

#include <stdatomic.h>
#include <string.h>

#include <glib.h>

#include "platform_rig.h"
#include "platform_target.h"

#define ROUTE(path, kind, service, attempts)                                  \
  "{\"name\":\"" path "\",\"host\":\"h.example\",\"pathPrefix\":\"/" path     \
  "/\",\"kind\":\"" kind "\",\"timeoutMs\":4000,\"targetLatencyMs\":500,"     \
  "\"priority\":1,\"service\":\"" service "\",\"maxAttempts\":" attempts      \
  ",\"public\":false}"
#define ENGINE                                                                \
  "{\"name\":\"engine\",\"engine\":{\"slots\":8,\"kvCapacityTokens\":100000," \
  "\"stride\":1}}"
/* clang-format off */
#define CONFIG                                                                \
  "{\"version\":3,\"routes\":["                                               \
  ROUTE ("look", "safe", "shop", "2") ","                                     \
  ROUTE ("order", "unsafe", "shop", "1") ","                                  \
  ROUTE ("stream", "streaming", "engine", "1")                                \
  "],\"services\":[{\"name\":\"shop\"}," ENGINE "],"                          \
  "\"limits\":{\"idleTimeoutMs\":15000},"                                     \
  "\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"k1\"]}]}"
/* clang-format on */
#define ROUTERS 4
#define TARGETS 8
#define SHOP_TARGETS 5
#define CALLERS 32
#define REQUESTS_PER_S 80
/* Time from the beginning of a cut until its router must serve its callers
   again, and the spans before, during and after the cut. */
#define CONTACT_US (4 * G_USEC_PER_SEC)
#define BEFORE_US (2 * G_USEC_PER_SEC)
#define CUT_US (10 * G_USEC_PER_SEC)
#define LONG_CUT_US (24 * G_USEC_PER_SEC)
#define AFTER_US (3 * G_USEC_PER_SEC)
#define REQUESTS_MAX                                                          \
  ((BEFORE_US + LONG_CUT_US + AFTER_US) / G_USEC_PER_SEC * REQUESTS_PER_S     \
   + CALLERS)

static const char *const paths[] = { "/look/x", "/order/x", "/stream/x" };

/* How a request ended. */
struct ending
{
  uint32_t router;
  gint64 sent_us;
  gint64 ended_us;
  long status;
  bool whole;
};

struct fixture
{
  struct platform_rig *rig;
  char routers[ROUTERS][16];
  struct platform_target *targets[TARGETS];
  gint64 start_us;
  gint64 cut_us;
  gint64 cut_length_us;
  atomic_uint next;
  struct ending *endings;
};

static void
set_up (struct fixture *fixture)
{
  memset (fixture, 0, sizeof *fixture);
  fixture->rig = platform_rig_create_with ("cactus-entry-cut");
  g_strlcpy (fixture->routers[0], "127.0.0.1", sizeof fixture->routers[0]);
  for (uint32_t i = 1; i < ROUTERS; i++)
    platform_rig_add_entry (fixture->rig, fixture->routers[i]);
  platform_rig_configure (fixture->rig, CONFIG);
  for (uint32_t i = 0; i < TARGETS; i++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "t%u", i + 1);
      fixture->targets[i] = platform_target_create (id);
      platform_target_set_event_interval (fixture->targets[i], 10);
      platform_rig_announce (
          fixture->rig, id, i < SHOP_TARGETS ? "shop" : "engine",
          platform_target_port (fixture->targets[i]), "ready", 1);
    }
  fixture->endings = g_new0 (struct ending, REQUESTS_MAX);
}

static void
tear_down (struct fixture *fixture)
{
  platform_rig_destroy (fixture->rig);
  for (uint32_t i = 0; i < TARGETS; i++)
    platform_target_destroy (fixture->targets[i]);
  g_free (fixture->endings);
}

static struct platform_reply
post (const struct fixture *fixture, uint32_t router, const char *path,
      const char *id)
{
  char *url = g_strdup_printf ("http://%s:%u%s", fixture->routers[router],
                               (unsigned)fixture->rig->callers_port, path);
  char *id_line = g_strdup_printf ("X-Request-Id: %s", id);
  const char *const lines[] = { "Host: h.example",
                                "X-Deadline-Ms: 4000",
                                "X-Token-Count: 10,5",
                                "X-Credential: k1",
                                id_line,
                                NULL };
  struct platform_reply reply = platform_rig_call ("POST", url, "abc", lines);
  g_free (id_line);
  g_free (url);
  return reply;
}

static const char *
path_of (uint32_t number)
{
  return paths[number / ROUTERS % G_N_ELEMENTS (paths)];
}

static void
request (struct fixture *fixture, uint32_t number)
{
  char id[24];
  struct ending *ending = &fixture->endings[number];
  g_snprintf (id, sizeof id, "q%u", number);
  ending->router = number % ROUTERS;
  ending->sent_us = g_get_monotonic_time ();
  struct platform_reply reply
      = post (fixture, ending->router, path_of (number), id);
  ending->ended_us = g_get_monotonic_time ();
  ending->status = reply.status;
  ending->whole = reply.whole;
  platform_reply_clear (&reply);
}

static gpointer
call (gpointer data)
{
  struct fixture *fixture = data;
  gint64 end_us
      = fixture->start_us + BEFORE_US + fixture->cut_length_us + AFTER_US;
  for (;;)
    {
      uint32_t number = atomic_fetch_add (&fixture->next, 1);
      gint64 due_us = fixture->start_us
                      + number * (gint64)G_USEC_PER_SEC / REQUESTS_PER_S;
      gint64 now_us = g_get_monotonic_time ();
      if (due_us >= end_us)
        return NULL;
      if (due_us > now_us)
        g_usleep ((gulong)(due_us - now_us));
      request (fixture, number);
    }
}

/* Cuts routers @p from to @p until off from the targets from @p first on. */
static void
set_cut (struct fixture *fixture, uint32_t from, uint32_t until,
         uint32_t first, const char *how)
{
  GString *text = g_string_new (how);
  for (uint32_t i = first; i < TARGETS; i++)
    g_string_append_printf (
        text, " %u", (unsigned)platform_target_port (fixture->targets[i]));
  for (uint32_t i = from; i < until; i++)
    platform_rig_cut (fixture->rig, i, how ? text->str : NULL);
  g_string_free (text, TRUE);
}

/* Waits until each router serves each path. */
static void
wait_ready (struct fixture *fixture)
{
  for (uint32_t i = 0; i < ROUTERS * G_N_ELEMENTS (paths); i++)
    {
      char id[24];
      bool served = false;
      g_snprintf (id, sizeof id, "w%u", i);
      for (uint32_t try = 0; !served && try < 200; try++)
        {
          struct platform_reply reply
              = post (fixture, i % ROUTERS, paths[i / ROUTERS], id);
          served = reply.whole && reply.status == 200;
          platform_reply_clear (&reply);
          if (!served)
            g_usleep (50000);
        }
      g_assert_true (served);
    }
}

/* Runs the load, with the first @p cut routers cut off from the targets from
   @p first on for a while, and the next @p partly_cut ones from the engines.
 */
static void
run (struct fixture *fixture, uint32_t cut, uint32_t partly_cut,
     uint32_t first, const char *how)
{
  GThread *threads[CALLERS];
  wait_ready (fixture);
  fixture->start_us = g_get_monotonic_time ();
  for (uint32_t i = 0; i < CALLERS; i++)
    threads[i] = g_thread_new ("call", call, fixture);
  g_usleep (BEFORE_US);
  set_cut (fixture, cut, cut + partly_cut, SHOP_TARGETS, how);
  set_cut (fixture, 0, cut, first, how);
  fixture->cut_us = g_get_monotonic_time ();
  g_usleep ((gulong)fixture->cut_length_us);
  set_cut (fixture, 0, cut + partly_cut, first, NULL);
  for (uint32_t i = 0; i < CALLERS; i++)
    g_thread_join (threads[i]);
}

/* The cut routers serve first tries of the path at least two thirds as often
   as the others, from CONTACT_US on. */
static void
check_path_served (const struct fixture *fixture, const char *path,
                   uint32_t cut)
{
  uint32_t tries[2] = { 0, 0 };
  uint32_t served[2] = { 0, 0 };
  for (uint32_t i = 0; i < REQUESTS_MAX; i++)
    {
      const struct ending *ending = &fixture->endings[i];
      if (ending->sent_us < fixture->cut_us + CONTACT_US
          || ending->sent_us >= fixture->cut_us + fixture->cut_length_us
          || path_of (i) != path)
        continue;
      tries[ending->router < cut]++;
      served[ending->router < cut] += ending->whole && ending->status == 200;
    }
  g_test_message ("%s: cut routers %u of %u, others %u of %u", path, served[1],
                  tries[1], served[0], tries[0]);
  g_assert_cmpuint (tries[0], >, 0);
  g_assert_cmpuint (tries[1], >, 0);
  g_assert_cmpuint (3 * served[1] * tries[0], >=, 2 * served[0] * tries[1]);
}

/* No order ran twice, and none that was refused ran. */
static void
check_runs (const struct fixture *fixture)
{
  for (uint32_t i = 0; i < REQUESTS_MAX; i++)
    {
      uint32_t runs = 0;
      char id[24];
      g_snprintf (id, sizeof id, "q%u", i);
      for (uint32_t j = 0; j < TARGETS; j++)
        runs += platform_target_runs_of (fixture->targets[j], id);
      if (path_of (i) != paths[0])
        g_assert_cmpuint (runs, <=, 1);
      if (fixture->endings[i].status == 503)
        g_assert_cmpuint (runs, ==, 0);
    }
}

/* Attempts of the first router that other routers passed on. */
static uint64_t
count_passed_on (const struct fixture *fixture)
{
  static const char name[] = "edge_sent_via_others_total{} ";
  char *url = g_strdup_printf ("http://%s:%u/metrics", fixture->routers[0],
                               (unsigned)fixture->rig->rpc_port + 1);
  struct platform_reply reply = platform_rig_call ("GET", url, NULL, NULL);
  const char *line = strstr (reply.body->str, name);
  g_assert_nonnull (line);
  uint64_t count
      = line ? g_ascii_strtoull (line + sizeof name - 1, NULL, 10) : 0;
  platform_reply_clear (&reply);
  g_free (url);
  return count;
}

/* Once the cut is over, the router sends its requests itself again. */
static void
check_return (const struct fixture *fixture)
{
  uint64_t before = count_passed_on (fixture);
  g_assert_cmpuint (before, >, 0);
  for (uint32_t i = 0; i < 12; i++)
    {
      char id[24];
      g_snprintf (id, sizeof id, "r%u", i);
      struct platform_reply reply
          = post (fixture, 0, paths[i % G_N_ELEMENTS (paths)], id);
      g_assert_cmpint (reply.status, ==, 200);
      platform_reply_clear (&reply);
    }
  g_assert_cmpuint (count_passed_on (fixture), ==, before);
}

static void
test_cut (uint32_t cut, uint32_t first, const char *how)
{
  struct fixture fixture;
  set_up (&fixture);
  fixture.cut_length_us = CUT_US;
  run (&fixture, cut, 0, first, how);
  for (size_t i = 0; i < G_N_ELEMENTS (paths); i++)
    check_path_served (&fixture, paths[i], cut);
  check_runs (&fixture);
  check_return (&fixture);
  tear_down (&fixture);
}

/* A router that loses all targets goes on serving its callers. */
static void
test_all_targets_refuse (void)
{
  test_cut (1, 0, "refuse reset");
}

static void
test_all_targets_hang (void)
{
  test_cut (2, 0, "hang silent");
}

static void
test_open_connections_live (void)
{
  test_cut (3, 0, "refuse live");
}

/* So does one that loses the targets of one service only. */
static void
test_one_service_hangs (void)
{
  test_cut (2, SHOP_TARGETS, "hang silent");
}

/* One router has lost all targets, two others those of one service, which only
   the fourth reaches: those that can't help are asked now and then, and none
   is taken to be unreachable for that. */
static void
test_others_partly_cut (void)
{
  struct fixture fixture;
  uint32_t rejected = 0;
  set_up (&fixture);
  fixture.cut_length_us = LONG_CUT_US;
  run (&fixture, 1, 2, 0, "refuse reset");
  for (uint32_t i = 0; i < REQUESTS_MAX; i++)
    rejected += fixture.endings[i].sent_us >= fixture.cut_us + CONTACT_US
                && fixture.endings[i].status != 200;
  g_test_message ("not served after 4 s: %u", rejected);
  g_assert_cmpuint (rejected, <=, 2);
  check_runs (&fixture);
  tear_down (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_set_nonfatal_assertions ();
  g_test_add_func ("/platform-cut-from-targets/all-refuse",
                   test_all_targets_refuse);
  g_test_add_func ("/platform-cut-from-targets/all-hang",
                   test_all_targets_hang);
  g_test_add_func ("/platform-cut-from-targets/open-ones-live",
                   test_open_connections_live);
  g_test_add_func ("/platform-cut-from-targets/one-service-hangs",
                   test_one_service_hangs);
  g_test_add_func ("/platform-cut-from-targets/others-partly-cut",
                   test_others_partly_cut);
  return g_test_run ();
}
