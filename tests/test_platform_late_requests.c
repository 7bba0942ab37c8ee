/** @file
 *  Tests of the platform's programs as processes with requests that come, or
 *  whose turn comes, late in a planned stop of a router. */

#include <signal.h>
#include <stdatomic.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "platform_raw_target.h"
#include "platform_rig.h"
#include "raw_answer.h"

#define CONFIG                                                                \
  "{\"version\":3,\"routes\":[{\"name\":\"o\",\"host\":\"h.example\","        \
  "\"pathPrefix\":\"/order/\",\"kind\":\"unsafe\",\"timeoutMs\":12000,"       \
  "\"targetLatencyMs\":9000,\"priority\":1,\"service\":\"shop\","             \
  "\"maxAttempts\":1,\"public\":false}],\"services\":[{\"name\":\"shop\"}],"  \
  "\"limits\":{\"idleTimeoutMs\":15000,\"headerTimeoutMs\":3000},"            \
  "\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"k1\"]}]}"
/* Time that an order takes, and the router's grace period. */
#define WORK_US (5 * G_USEC_PER_SEC / 2)
#define GRACE_MS 8000
#define CALLERS 6
#define WAIT_TRIES 200
#define WAIT_US 50000

struct fixture
{
  struct platform_rig *rig;
  struct platform_raw_target *target;
  atomic_uint runs;
  atomic_bool is_calm;
};

static void
respond (struct platform_raw_target *raw, int fd, const char *head,
         void *context)
{
  static const char ok[] = "Content-Length: 2\r\n\r\nok";
  struct fixture *fixture = context;
  atomic_fetch_add (&fixture->runs, 1);
  if (!atomic_load (&fixture->is_calm))
    g_usleep (WORK_US);
  if (platform_raw_target_write_head (raw, fd, head))
    platform_raw_target_write (fd, ok, sizeof ok - 1);
}

static struct fixture *
set_up (void)
{
  struct fixture *fixture = g_new0 (struct fixture, 1);
  bool is_served = false;
  fixture->rig = platform_rig_create ();
  platform_rig_configure (fixture->rig, CONFIG);
  fixture->target = platform_raw_target_create ("t1", respond, fixture);
  atomic_store (&fixture->is_calm, true);
  for (uint32_t i = 0; !is_served && i < WAIT_TRIES; i++)
    {
      platform_rig_announce (fixture->rig, "t1", "shop",
                             platform_raw_target_port (fixture->target),
                             "ready", i + 1);
      struct platform_reply reply
          = platform_rig_request (fixture->rig, "/order/x", "k1", NULL);
      is_served = reply.status == 200;
      platform_reply_clear (&reply);
      g_usleep (WAIT_US);
    }
  g_assert_true (is_served);
  atomic_store (&fixture->is_calm, false);
  return fixture;
}

/* Begins an order whose body is not complete. */
static int
begin_order (const struct fixture *fixture, uint32_t number)
{
  bool is_old = number % 2 == 1;
  int fd = raw_connect ("127.0.0.1", fixture->rig->callers_port);
  char *text = g_strdup_printf (
      "POST /order/x HTTP/1.%d\r\nHost: h.example\r\nX-Request-Id: late%u\r\n"
      "X-Deadline-Ms: 12000\r\nX-Credential: k1\r\nContent-Length: 6\r\n"
      "\r\nabc",
      is_old ? 0 : 1, (unsigned)number);
  raw_send (fd, text);
  g_free (text);
  return fd;
}

/* Guards against orders that are passed on late in a planned stop and cut off
   at its end: callers that send slowly, by HTTP/1.1 and 1.0, begin before the
   stop and end their requests in the course of it. */
static void
test_slow_senders (void)
{
  int fds[CALLERS];
  struct fixture *fixture = set_up ();
  for (uint32_t i = 0; i < CALLERS; i++)
    fds[i] = begin_order (fixture, i);
  g_usleep (G_USEC_PER_SEC / 2);
  uint32_t former = atomic_load (&fixture->runs);
  uint32_t answered = 0;
  uint32_t served = 0;
  g_assert_true (fleet_process_signal (fixture->rig->entry, SIGTERM));
  gint64 begun_us = g_get_monotonic_time ();
  for (uint32_t i = 0; i < CALLERS; i++)
    {
      g_usleep ((gulong)MAX (
          begun_us + (gint64)i * G_USEC_PER_SEC - g_get_monotonic_time (), 1));
      raw_send (fds[i], "def");
    }
  for (uint32_t i = 0; i < CALLERS; i++)
    {
      struct raw_answer answer = raw_answer_read (fds[i], GRACE_MS);
      bool is_whole = answer.end == RAW_ANSWER_COMPLETE;
      g_test_message ("%u s into the stop: status %u, whole %d", i,
                      answer.status, (int)is_whole);
      answered += is_whole && (answer.status == 200 || answer.status == 503);
      served += is_whole && answer.status == 200;
      raw_answer_clear (&answer);
      close (fds[i]);
    }
  g_assert_cmpuint (answered, ==, CALLERS);
  g_assert_cmpuint (served, >=, 2);
  /* What was refused as not run has not run. */
  g_assert_cmpuint (atomic_load (&fixture->runs) - former, ==, served);
  g_assert_cmpint (fleet_process_wait (fixture->rig->entry, GRACE_MS), ==, 0);
  platform_rig_destroy (fixture->rig);
  platform_raw_target_destroy (fixture->target);
  g_free (fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/platform-late-requests/slow-senders", test_slow_senders);
  return g_test_run ();
}
