/** @file
 *  Tests of the platform's programs as processes whose open connections go
 *  silent: bytes are taken and never arrive, nothing is reset, and new
 *  connections work. */

#include <stdbool.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "base_random.h"
#include "link_relay.h"
#include "platform_rig.h"
#include "platform_target.h"
#include "raw_answer.h"

#define ROUTE(path, kind, resumable)                                          \
  "{\"name\":\"" path "\",\"host\":\"h.example\",\"pathPrefix\":\"/" path     \
  "/\",\"kind\":\"" kind "\",\"timeoutMs\":4000,\"targetLatencyMs\":800,"     \
  "\"priority\":1,\"service\":\"shop\",\"maxAttempts\":2,"                    \
  "\"resumable\":" resumable ",\"public\":false}"
/* clang-format off */
#define CONFIG                                                                \
  "{\"version\":3,\"routes\":["                                               \
  ROUTE ("look", "safe", "false") ","                                         \
  ROUTE ("order", "unsafe", "false") ","                                      \
  ROUTE ("stream", "streaming", "true")                                       \
  "],\"services\":[{\"name\":\"shop\"}],"                                     \
  "\"limits\":{\"idleTimeoutMs\":15000},"                                     \
  "\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"k1\"]}]}"
/* clang-format on */
#define TARGETS 3
#define KEPT 12
/* Time that a request takes at a target, long enough for the requests that
   come together to need a connection each. */
#define WORK_MS 60
/* Requests after a silence, and the time between them. */
#define SERIES 72
#define INTERVAL_US 40000
/* Time from a silence on after which it has been noticed: once and a half the
   objective of the routes' latency. */
#define PROVED_US (1200 * 1000)
#define SILENCES_MAX 3
/* A request that takes longer was delayed by a silent connection. */
#define LATE_US (500 * 1000)
/* Number of a request that is sent beside a series. */
#define FIRST_NUMBER 100000
/* A router's port for other routers, counted from its first one; the deadline
   of a request that it passes on, and the time within which the connection
   must end. */
#define RELAY_OFFSET 9
#define ASK_DEADLINE_MS 500
#define PASSED_ON_MAX_MS 4000
#define WAIT_TRIES 200
#define WAIT_US 50000
#define FIRST_SEED 1
#define SEEDS 2

static const char *const paths[] = { "/look/x", "/order/x", "/stream/x" };

struct fixture
{
  struct platform_rig *rig;
  struct link_relay *relay;
  struct platform_target *targets[TARGETS];
  struct base_random random;
  uint32_t requests;
  /* Port of the last target's link. */
  uint16_t target_port;
};

/* One request of a series. */
struct request
{
  struct fixture *fixture;
  const char *path;
  uint32_t number;
  gint64 sent_us;
  gint64 took_us;
  bool is_served;
};

static uint32_t
setting (const char *name, uint32_t value)
{
  const char *text = g_getenv (name);
  return text ? (uint32_t)strtoul (text, NULL, 10) : value;
}

static struct platform_reply
post (struct fixture *fixture, const char *router, const char *path,
      uint32_t number)
{
  char *url = g_strdup_printf ("http://%s:%u%s", router,
                               (unsigned)fixture->rig->callers_port, path);
  char *id_line = g_strdup_printf ("X-Request-Id: q%u", (unsigned)number);
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

static gpointer
call (gpointer data)
{
  struct request *request = data;
  request->sent_us = g_get_monotonic_time ();
  struct platform_reply reply
      = post (request->fixture, "127.0.0.1", request->path, request->number);
  request->took_us = g_get_monotonic_time () - request->sent_us;
  request->is_served = reply.whole && reply.status == 200;
  platform_reply_clear (&reply);
  return NULL;
}

/* Sends @p count requests, @p interval_us apart, the kinds up to @p kinds in
   turn, without waiting for the answers in between. */
static void
send_series (struct fixture *fixture, struct request *requests, uint32_t count,
             uint32_t kinds, gulong interval_us)
{
  GThread *threads[SERIES];
  for (uint32_t i = 0; i < count; i++)
    {
      requests[i] = (struct request){ .fixture = fixture,
                                      .path = paths[i % kinds],
                                      .number = fixture->requests++ };
      threads[i] = g_thread_new ("call", call, &requests[i]);
      g_usleep (interval_us);
    }
  for (uint32_t i = 0; i < count; i++)
    g_thread_join (threads[i]);
}

/* How requests of a path ended. */
struct summary
{
  uint32_t sent;
  uint32_t failed;
  uint32_t late;
  /* Of the late ones those sent when the silence had to be known. */
  uint32_t late_after;
};

static struct summary
sum_up (const struct request *requests, uint32_t count, const char *path,
        gint64 proved_us)
{
  struct summary sum = { 0 };
  for (uint32_t i = 0; i < count; i++)
    {
      const struct request *request = &requests[i];
      bool is_late = request->is_served && request->took_us > LATE_US;
      if (request->path != path)
        continue;
      sum.sent++;
      sum.failed += !request->is_served;
      sum.late += is_late;
      sum.late_after += is_late && request->sent_us >= proved_us;
    }
  g_test_message ("%s: %u sent, %u failed, %u late, %u of them after the "
                  "silence had to be known",
                  path, sum.sent, sum.failed, sum.late, sum.late_after);
  return sum;
}

/* Sends KEPT requests at once, each of which needs a connection.  Returns how
   many fail or are late. */
static uint32_t
send_together (struct fixture *fixture)
{
  struct request requests[KEPT];
  send_series (fixture, requests, KEPT, 1, 0);
  struct summary sum = sum_up (requests, KEPT, paths[0], 0);
  return sum.failed + sum.late;
}

static void
set_up (struct fixture *fixture, uint64_t seed, uint32_t targets)
{
  memset (fixture, 0, sizeof *fixture);
  base_random_seed (&fixture->random, seed);
  fixture->relay = link_relay_create ();
  fixture->rig = platform_rig_create ();
  platform_rig_configure (fixture->rig, CONFIG);
  const struct platform_target_room room
      = { .slots = 64, .waiting = 64, .work_ms = WORK_MS };
  for (uint32_t i = 0; i < targets; i++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "t%u", i + 1);
      fixture->targets[i] = platform_target_create (id);
      platform_target_set_room (fixture->targets[i], &room);
      platform_target_set_event_interval (fixture->targets[i], 10);
      uint16_t port = link_relay_add_listener (
          fixture->relay, "127.0.0.1", 0, "127.0.0.1",
          platform_target_port (fixture->targets[i]));
      fixture->target_port = port;
      const struct platform_rig_target record = { .id = id,
                                                  .service = "shop",
                                                  .version = "v1",
                                                  .port = port,
                                                  .born_ms = 5,
                                                  .sequence = 1 };
      bool is_taken = false;
      for (uint32_t try = 0; !is_taken && try < WAIT_TRIES; try++)
        is_taken = platform_rig_announce_to (fixture->rig, 0, &record);
      g_assert_true (is_taken);
    }
  for (uint32_t i = 0; i < G_N_ELEMENTS (paths); i++)
    g_assert_true (
        platform_rig_wait_status (fixture->rig, paths[i], "k1", 200));
}

/* No order ran twice. */
static void
check_orders (struct fixture *fixture, const struct request *requests,
              uint32_t count, uint32_t targets)
{
  for (uint32_t i = 0; i < count; i++)
    {
      char id[16];
      uint32_t runs = 0;
      if (requests[i].path != paths[1])
        continue;
      g_snprintf (id, sizeof id, "q%u", (unsigned)requests[i].number);
      for (uint32_t j = 0; j < targets; j++)
        runs += platform_target_runs_of (fixture->targets[j], id);
      g_assert_cmpuint (runs, <=, 1);
    }
}

static void
tear_down (struct fixture *fixture, uint32_t targets)
{
  platform_rig_destroy (fixture->rig);
  link_relay_destroy (fixture->relay);
  for (uint32_t i = 0; i < targets; i++)
    platform_target_destroy (fixture->targets[i]);
}

/* Guards against kept connections to a target that went silent together and
   each cost a request its time: after the first request the others are not
   used any more. */
static void
test_kept_connections (void)
{
  struct fixture fixture;
  struct request first
      = { .fixture = &fixture, .path = paths[0], .number = FIRST_NUMBER };
  set_up (&fixture, setting ("SILENT_SEED", FIRST_SEED), 1);
  g_assert_cmpuint (send_together (&fixture), ==, 0);
  link_relay_silence (fixture.relay, LINK_BOTH, 100, &fixture.random);
  GThread *thread = g_thread_new ("call", call, &first);
  g_usleep (PROVED_US);
  uint32_t bad = send_together (&fixture);
  g_thread_join (thread);
  g_test_message ("the first request: served %d after %d ms",
                  (int)first.is_served, (int)(first.took_us / 1000));
  g_assert_cmpuint (bad, ==, 0);
  g_assert_true (first.is_served);
  tear_down (&fixture, 1);
}

/* Some or all connections go silent, one direction or both. */
static void
play_silence (struct fixture *fixture)
{
  static const enum link_sides sides[]
      = { LINK_BOTH, LINK_TO_SERVER, LINK_TO_CALLER, LINK_EITHER };
  struct request requests[SERIES];
  uint32_t percent = base_random_below (&fixture->random, 2) == 0 ? 100 : 50;
  uint32_t side = base_random_below (&fixture->random, G_N_ELEMENTS (sides));
  g_test_message ("%u %% of the connections, sides %d", percent,
                  (int)sides[side]);
  send_together (fixture);
  link_relay_silence (fixture->relay, sides[side], percent, &fixture->random);
  gint64 proved_us = g_get_monotonic_time () + PROVED_US;
  send_series (fixture, requests, SERIES, G_N_ELEMENTS (paths), INTERVAL_US);
  uint32_t late = 0;
  for (uint32_t i = 0; i < G_N_ELEMENTS (paths); i++)
    {
      struct summary sum = sum_up (requests, SERIES, paths[i], proved_us);
      g_assert_cmpuint (sum.failed, ==, 0);
      late += sum.late_after;
    }
  g_assert_cmpuint (late, <=, TARGETS);
  check_orders (fixture, requests, SERIES, TARGETS);
}

/* Guards against requests that are sent on a silent connection twice, to one
   target after the other, and fail: requests of all kinds are served after
   each silence, and no order runs twice. */
static void
test_all_kinds (void)
{
  uint32_t first = setting ("SILENT_SEED", FIRST_SEED);
  uint32_t seeds = setting ("SILENT_SEEDS", SEEDS);
  for (uint32_t i = 0; i < seeds; i++)
    {
      struct fixture fixture;
      g_test_message ("seed %u", first + i);
      set_up (&fixture, first + i, TARGETS);
      g_assert_cmpuint (send_together (&fixture), ==, 0);
      uint32_t times = 1 + base_random_below (&fixture.random, SILENCES_MAX);
      for (uint32_t j = 0; j < times; j++)
        play_silence (&fixture);
      tear_down (&fixture, TARGETS);
    }
}

/* Waits until a router serves its callers. */
static void
wait_served (struct fixture *fixture, const char *router)
{
  bool is_served = false;
  for (uint32_t i = 0; !is_served && i < WAIT_TRIES; i++)
    {
      struct platform_reply reply
          = post (fixture, router, paths[0], FIRST_NUMBER + i);
      is_served = reply.whole && reply.status == 200;
      platform_reply_clear (&reply);
      if (!is_served)
        g_usleep (WAIT_US);
    }
  g_assert_true (is_served);
}

/* Asks a router to pass a connection to the first target on, as another router
   does.  Returns the connection once it is open. */
static int
ask_for_connection (const struct fixture *fixture, const char *router)
{
  char answer[128] = "";
  for (uint32_t i = 0; i < WAIT_TRIES; i++)
    {
      int fd = raw_connect (router, fixture->rig->rpc_port + RELAY_OFFSET);
      char *ask = g_strdup_printf (
          "CONNECT 127.0.0.1:%u HTTP/1.1\r\nCactus-Target: t1 5\r\n"
          "Cactus-Deadline-Ms: %d\r\n\r\n",
          (unsigned)fixture->target_port, ASK_DEADLINE_MS);
      raw_send (fd, ask);
      g_free (ask);
      if (read (fd, answer, sizeof answer - 1) > 0
          && g_str_has_prefix (answer, "HTTP/1.1 200 "))
        return fd;
      close (fd);
      g_usleep (WAIT_US);
    }
  g_assert_not_reached ();
}

/* Guards against connections that are passed on for another router for ever,
   each of which counts as a request at its target: when that router's close
   doesn't arrive, they end some time after the deadline of the request. */
static void
test_passed_on_connection (void)
{
  char router[16];
  char byte;
  struct fixture fixture;
  set_up (&fixture, FIRST_SEED, 1);
  platform_rig_add_entry (fixture.rig, router);
  wait_served (&fixture, router);
  int fd = ask_for_connection (&fixture, router);
  gint64 begun_us = g_get_monotonic_time ();
  struct pollfd ended = { .fd = fd, .events = POLLIN };
  int ready = poll (&ended, 1, PASSED_ON_MAX_MS);
  g_test_message ("ended %d after %d ms", ready,
                  (int)((g_get_monotonic_time () - begun_us) / 1000));
  g_assert_cmpint (ready, ==, 1);
  g_assert_cmpint (read (fd, &byte, 1), <=, 0);
  close (fd);
  tear_down (&fixture, 1);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/platform-silent/kept-connections", test_kept_connections);
  g_test_add_func ("/platform-silent/all-kinds", test_all_kinds);
  g_test_add_func ("/platform-silent/passed-on-connection",
                   test_passed_on_connection);
  return g_test_run ();
}
