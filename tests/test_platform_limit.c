/** @file
 *  Tests of the platform's programs as processes with targets that name the
 *  number of requests a second that they take from all hosts together. */

#include <stdatomic.h>
#include <string.h>

#include <glib.h>

#include "platform_raw_target.h"
#include "platform_rig.h"

#define CONFIG                                                                \
  "{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","        \
  "\"pathPrefix\":\"/look/\",\"kind\":\"safe\",\"timeoutMs\":2500,"           \
  "\"targetLatencyMs\":400,\"priority\":1,\"service\":\"shop\","              \
  "\"maxAttempts\":2,\"public\":false}],\"services\":[{\"name\":\"shop\"}],"  \
  "\"limits\":{\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"t1\","       \
  "\"apiKeys\":[\"k1\"]},{\"name\":\"t2\",\"apiKeys\":[\"k2\"]}]}"
#define TARGETS 4
#define ROUTERS 3
#define CALLERS 40
#define REQUESTS_PER_S 60
/* Time from the first response that names a limit until it must be kept, and
   the span in which requests are counted. */
#define CONTACT_US (4 * G_USEC_PER_SEC)
#define SPAN_US (4 * G_USEC_PER_SEC)
/* Times of the load: without a limit, with it, and after it. */
#define FREE_US (2 * G_USEC_PER_SEC)
#define LIMITED_US (15 * G_USEC_PER_SEC)
#define AFTER_US (5 * G_USEC_PER_SEC)
/* Time after the end of a limit within which the target is used fully. */
#define END_US (2 * G_USEC_PER_SEC)
/* A rejection within this time counts as one at once. */
#define REJECT_US (G_USEC_PER_SEC / 2)

/* A target and the times of its requests (gint64, in microseconds). */
struct limited_target
{
  struct platform_raw_target *raw;
  GMutex mutex;
  GArray *arrivals;
  /* The value of its header, or NULL, and the time at which it was first
     named. */
  _Atomic (const char *) value;
  atomic_llong named_us;
};

/* How a request ended. */
struct ending
{
  gint64 sent_us;
  gint64 ended_us;
  long status;
  double retry_after_s;
};

struct fixture
{
  struct platform_rig *rig;
  char routers[ROUTERS][16];
  struct limited_target targets[TARGETS];
  gint64 start_us;
  gint64 end_us;
  atomic_uint next;
  struct ending *endings;
};

static void
respond (struct platform_raw_target *raw, int fd, const char *head,
         void *context)
{
  static const char framing[] = "Content-Length: 2\r\nConnection: close\r\n";
  struct limited_target *target = context;
  gint64 now_us = g_get_monotonic_time ();
  long long unnamed_us = 0;
  g_mutex_lock (&target->mutex);
  g_array_append_val (target->arrivals, now_us);
  g_mutex_unlock (&target->mutex);
  g_usleep (10000 + (gulong)(now_us % 30000));
  const char *value = atomic_load (&target->value);
  char *line = value ? g_strdup_printf ("Server-Limit: %s\r\n", value)
                     : g_strdup ("");
  if (value)
    atomic_compare_exchange_strong (&target->named_us, &unnamed_us,
                                    g_get_monotonic_time ());
  if (platform_raw_target_write_head (raw, fd, head)
      && platform_raw_target_write (fd, line, strlen (line))
      && platform_raw_target_write (fd, framing, strlen (framing)))
    platform_raw_target_write (fd, "\r\nok", 4);
  g_free (line);
}

static void
set_up (struct fixture *fixture)
{
  memset (fixture, 0, sizeof *fixture);
  fixture->rig = platform_rig_create ();
  g_strlcpy (fixture->routers[0], "127.0.0.1", sizeof fixture->routers[0]);
  for (uint32_t i = 1; i < ROUTERS; i++)
    platform_rig_add_entry (fixture->rig, fixture->routers[i]);
  platform_rig_configure (fixture->rig, CONFIG);
  for (uint32_t i = 0; i < TARGETS; i++)
    {
      struct limited_target *target = &fixture->targets[i];
      char id[16];
      g_snprintf (id, sizeof id, "p%u", i + 1);
      g_mutex_init (&target->mutex);
      target->arrivals = g_array_new (FALSE, FALSE, sizeof (gint64));
      target->raw = platform_raw_target_create (id, respond, target);
      platform_rig_announce (fixture->rig, id, "shop",
                             platform_raw_target_port (target->raw), "ready",
                             1);
    }
}

static void
tear_down (struct fixture *fixture)
{
  platform_rig_destroy (fixture->rig);
  for (uint32_t i = 0; i < TARGETS; i++)
    {
      platform_raw_target_destroy (fixture->targets[i].raw);
      g_array_unref (fixture->targets[i].arrivals);
      g_mutex_clear (&fixture->targets[i].mutex);
    }
  g_free (fixture->endings);
}

static void
request (struct fixture *fixture, uint32_t number)
{
  struct ending *ending = &fixture->endings[number];
  char *url = g_strdup_printf ("http://%s:%u/look/x",
                               fixture->routers[number % ROUTERS],
                               (unsigned)fixture->rig->callers_port);
  char *id = g_strdup_printf ("X-Request-Id: q%u", number);
  const char *const lines[] = { "Host: h.example", "X-Deadline-Ms: 2500",
                                "X-Credential: k1", id, NULL };
  ending->sent_us = g_get_monotonic_time ();
  struct platform_reply reply = platform_rig_call ("POST", url, "abc", lines);
  ending->ended_us = g_get_monotonic_time ();
  ending->status = reply.whole ? reply.status : 0;
  ending->retry_after_s = platform_reply_retry_after_s (&reply);
  platform_reply_clear (&reply);
  g_free (id);
  g_free (url);
}

static gpointer
call (gpointer data)
{
  struct fixture *fixture = data;
  for (;;)
    {
      uint32_t number = atomic_fetch_add (&fixture->next, 1);
      gint64 due_us = fixture->start_us
                      + number * (gint64)G_USEC_PER_SEC / REQUESTS_PER_S;
      gint64 now_us = g_get_monotonic_time ();
      if (due_us >= fixture->end_us)
        return NULL;
      if (due_us > now_us)
        g_usleep ((gulong)(due_us - now_us));
      request (fixture, number);
    }
}

static void
set_limits (struct fixture *fixture, uint32_t limited, const char *value)
{
  for (uint32_t i = 0; i < limited; i++)
    atomic_store (&fixture->targets[i].value, value);
}

/* Calls from all threads; for a while the first @p limited targets name the
   limit.  Returns when it ended. */
static gint64
run (struct fixture *fixture, uint32_t limited, const char *value)
{
  GThread *threads[CALLERS];
  while (!platform_rig_wait_status (fixture->rig, "/look/x", "k1", 200))
    ;
  fixture->start_us = g_get_monotonic_time ();
  fixture->end_us = fixture->start_us + FREE_US + LIMITED_US + AFTER_US;
  fixture->endings
      = g_new0 (struct ending, (FREE_US + LIMITED_US + AFTER_US)
                                       / G_USEC_PER_SEC * REQUESTS_PER_S
                                   + CALLERS);
  for (uint32_t i = 0; i < CALLERS; i++)
    threads[i] = g_thread_new ("call", call, fixture);
  g_usleep (FREE_US);
  set_limits (fixture, limited, value);
  g_usleep (LIMITED_US);
  set_limits (fixture, limited, NULL);
  gint64 ended_us = g_get_monotonic_time ();
  for (uint32_t i = 0; i < CALLERS; i++)
    g_thread_join (threads[i]);
  return ended_us;
}

static uint32_t
count_arrivals (const struct limited_target *target, gint64 from_us,
                gint64 until_us)
{
  uint32_t count = 0;
  for (guint i = 0; i < target->arrivals->len; i++)
    {
      gint64 time_us = g_array_index (target->arrivals, gint64, i);
      count += time_us >= from_us && time_us < until_us;
    }
  return count;
}

/* Most requests in a span that begins once the limit must be kept. */
static uint32_t
most_in_span (const struct limited_target *target, gint64 until_us)
{
  uint32_t most = 0;
  for (guint i = 0; i < target->arrivals->len; i++)
    {
      gint64 from_us = g_array_index (target->arrivals, gint64, i);
      if (from_us < target->named_us + CONTACT_US || from_us >= until_us)
        continue;
      most = MAX (most, count_arrivals (target, from_us,
                                        MIN (from_us + SPAN_US, until_us)));
    }
  return most;
}

/* A limited target gets no more than it may and most of what it takes. */
static void
check_targets (const struct fixture *fixture, uint32_t limited,
               double limit_rps, gint64 ended_us)
{
  for (uint32_t i = 0; i < limited; i++)
    {
      const struct limited_target *target = &fixture->targets[i];
      gint64 from_us = target->named_us + CONTACT_US;
      uint32_t used = count_arrivals (target, from_us, ended_us);
      double seconds = (double)(ended_us - from_us) / G_USEC_PER_SEC;
      g_test_message ("target %u: most %u, used %.2f of the limit", i,
                      most_in_span (target, ended_us),
                      used / (limit_rps * seconds));
      g_assert_cmpfloat (most_in_span (target, ended_us), <=,
                         6.0 * limit_rps + 5.0);
      g_assert_cmpfloat (used, >=, 0.8 * limit_rps * seconds);
    }
}

/* Requests are served, or while all targets are limited rejected at once with
   a time to return. */
static void
check_endings (const struct fixture *fixture, bool may_reject, gint64 ended_us)
{
  uint32_t count = atomic_load (&fixture->next);
  uint32_t rejected = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      const struct ending *ending = &fixture->endings[i];
      if (ending->sent_us == 0 || ending->status == 200)
        continue;
      rejected++;
      g_assert_cmpint (ending->status, ==, 503);
      g_assert_cmpfloat (ending->retry_after_s, >, 0.0);
      g_assert_cmpint (ending->ended_us - ending->sent_us, <, REJECT_US);
      g_assert_cmpint (ending->sent_us, <, ended_us + END_US);
    }
  g_test_message ("rejected: %u of %u", rejected, count);
  g_assert_true (may_reject || rejected == 0);
}

static void
check_limit (uint32_t limited, const char *value)
{
  struct fixture fixture;
  set_up (&fixture);
  gint64 ended_us = run (&fixture, limited, value);
  check_targets (&fixture, limited, g_ascii_strtod (value, NULL), ended_us);
  check_endings (&fixture, limited == TARGETS, ended_us);
  tear_down (&fixture);
}

/* One of four targets is limited: the others take the rest. */
static void
test_one_target_over_its_limit (void)
{
  check_limit (1, "2.6");
}

/* All targets are limited: what they don't take is rejected at once. */
static void
test_all_targets_over_their_limits (void)
{
  check_limit (TARGETS, "3.6");
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/platform-limit/one-target-over-its-limit",
                   test_one_target_over_its_limit);
  g_test_add_func ("/platform-limit/all-targets-over-their-limits",
                   test_all_targets_over_their_limits);
  return g_test_run ();
}
