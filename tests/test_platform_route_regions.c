/** @file
 *  Tests of the platform's programs as processes, in two regions, with routes
 *  and accounts that are bound to regions: what is bound to one region never
 *  runs in another, nor passes through a router there, also when the region's
 *  targets fail, end or are cut off. */

#include <string.h>

#include <glib.h>

#include "platform_rig.h"
#include "platform_target.h"

#define ROUTE(path, kind, regions)                                            \
  "{\"name\":\"" path "\",\"host\":\"h.example\",\"pathPrefix\":\"/" path     \
  "/\",\"kind\":\"" kind "\",\"timeoutMs\":9000,\"targetLatencyMs\":3000,"    \
  "\"priority\":1,\"service\":\"s\",\"maxAttempts\":3,\"public\":false,"      \
  "\"resumable\":true,\"allowedRegions\":" regions "}"
/* clang-format off */
#define CONFIG(version, stream_regions)                                       \
  "{\"version\":" version ",\"routes\":["                                     \
  ROUTE ("any", "safe", "[]") ","                                             \
  ROUTE ("near", "safe", "[\"r1\"]") ","                                      \
  ROUTE ("far", "safe", "[\"r2\"]") ","                                       \
  ROUTE ("both", "safe", "[\"r2\",\"r1\"]") ","                               \
  ROUTE ("nowhere", "safe", "[\"r9\"]") ","                                   \
  ROUTE ("stream", "streaming", stream_regions)                               \
  "],\"services\":[{\"name\":\"s\"}],\"limits\":{\"idleTimeoutMs\":15000},"   \
  "\"tenants\":[{\"name\":\"free\",\"apiKeys\":[\"free\"]},"                  \
  "{\"name\":\"far\",\"apiKeys\":[\"far\"],\"allowedRegions\":[\"r2\"]}]}"
/* clang-format on */
#define ROUNDS 20
#define WAIT_TRIES 200
#define WAIT_US 50000
#define REJECTION_US G_USEC_PER_SEC

/* Two targets, one in each region, and three routers: two in the region r1, of
   which the first may be cut off, and one in r2. */
struct fixture
{
  struct platform_rig *rig;
  char addresses[3][16];
  struct platform_target *near;
  struct platform_target *far;
  uint32_t sequence;
};

static void
announce (struct fixture *fixture, bool has_near)
{
  fixture->sequence++;
  const struct platform_rig_target near
      = { .id = "near",
          .service = "s",
          .version = "1",
          .port = has_near ? platform_target_port (fixture->near) : 0,
          .born_ms = 5,
          .sequence = fixture->sequence };
  const struct platform_rig_target far
      = { .id = "far",
          .service = "s",
          .version = "1",
          .port = platform_target_port (fixture->far),
          .born_ms = 5,
          .sequence = fixture->sequence,
          .zone = "z2" };
  if (has_near)
    g_assert_true (platform_rig_announce_to (fixture->rig, 0, &near));
  g_assert_true (platform_rig_announce_to (fixture->rig, 0, &far));
}

static struct platform_reply
post (struct fixture *fixture, uint32_t router, const char *path,
      const char *key)
{
  static uint32_t number;
  char *url = g_strdup_printf ("http://%s:%u%s", fixture->addresses[router],
                               (unsigned)fixture->rig->callers_port, path);
  char *id = g_strdup_printf ("X-Request-Id: h%u", ++number);
  char *credential = g_strdup_printf ("X-Credential: %s", key);
  const char *const lines[]
      = { "Host: h.example", "X-Deadline-Ms: 9000", id, credential, NULL };
  struct platform_reply reply = platform_rig_call ("POST", url, "abc", lines);
  g_free (credential);
  g_free (id);
  g_free (url);
  return reply;
}

static long
status_of (struct fixture *fixture, uint32_t router, const char *path,
           const char *key)
{
  struct platform_reply reply = post (fixture, router, path, key);
  long status = reply.whole ? reply.status : 0;
  platform_reply_clear (&reply);
  return status;
}

static void
wait_served (struct fixture *fixture, uint32_t router, const char *path)
{
  uint32_t tries = 0;
  while (status_of (fixture, router, path, "free") != 200)
    {
      g_assert_cmpuint (tries++, <, WAIT_TRIES);
      g_usleep (WAIT_US);
      announce (fixture, true);
    }
}

static struct fixture *
set_up (void)
{
  struct fixture *fixture = g_new0 (struct fixture, 1);
  fixture->rig = platform_rig_create_with ("cactus-entry-cut");
  fixture->near = platform_target_create ("near");
  fixture->far = platform_target_create ("far");
  g_strlcpy (fixture->addresses[0], "127.0.0.1", sizeof fixture->addresses[0]);
  platform_rig_add_entry (fixture->rig, fixture->addresses[1]);
  platform_rig_add_entry_in (fixture->rig, "z2", "r2", fixture->addresses[2]);
  platform_rig_configure (fixture->rig, CONFIG ("3", "[]"));
  announce (fixture, true);
  for (uint32_t i = 0; i < G_N_ELEMENTS (fixture->addresses); i++)
    {
      wait_served (fixture, i, "/near/x");
      wait_served (fixture, i, "/far/x");
    }
  return fixture;
}

static void
tear_down (struct fixture *fixture)
{
  platform_rig_destroy (fixture->rig);
  if (fixture->near)
    platform_target_destroy (fixture->near);
  platform_target_destroy (fixture->far);
  g_free (fixture);
}

/* The request isn't served, its caller is told so at once, and may come
   again. */
static void
assert_rejected (struct fixture *fixture, uint32_t router, const char *path,
                 const char *key, const char *reason)
{
  gint64 begun_us = g_get_monotonic_time ();
  struct platform_reply reply = post (fixture, router, path, key);
  g_test_message ("%s of %s at router %u: status %ld, %s", path, key, router,
                  reply.status, reply.body->str);
  g_assert_cmpint (reply.status, ==, 503);
  g_assert_cmpfloat (platform_reply_retry_after_s (&reply), >, 0.0);
  g_assert_cmpint (g_get_monotonic_time () - begun_us, <, REJECTION_US);
  g_assert_nonnull (strstr (reply.body->str, reason));
  platform_reply_clear (&reply);
}

/* Every router serves what is bound in the regions that route and account
   allow, and nowhere else. */
static void
test_bound (void)
{
  struct fixture *fixture = set_up ();
  uint32_t near = platform_target_runs (fixture->near);
  uint32_t far = platform_target_runs (fixture->far);
  for (uint32_t i = 0; i < 3 * ROUNDS; i++)
    {
      announce (fixture, true);
      g_assert_cmpint (status_of (fixture, i % 3, "/near/x", "free"), ==, 200);
      g_assert_cmpint (status_of (fixture, i % 3, "/far/x", "free"), ==, 200);
      g_assert_cmpint (status_of (fixture, i % 3, "/any/x", "far"), ==, 200);
      g_assert_cmpint (status_of (fixture, i % 3, "/both/x", "far"), ==, 200);
    }
  g_assert_cmpuint (platform_target_runs (fixture->near) - near, ==,
                    3 * ROUNDS);
  g_assert_cmpuint (platform_target_runs (fixture->far) - far, ==, 9 * ROUNDS);
  near += 3 * ROUNDS;
  far += 9 * ROUNDS;
  for (uint32_t i = 0; i < 3; i++)
    {
      assert_rejected (fixture, i, "/near/x", "far",
                       "the route and the account allow no common region");
      assert_rejected (fixture, i, "/nowhere/x", "free", "region");
    }
  g_assert_cmpuint (platform_target_runs (fixture->near), ==, near);
  g_assert_cmpuint (platform_target_runs (fixture->far), ==, far);
  tear_down (fixture);
}

/* The targets of the region turn requests away, fail, and end: what is bound
   to it is neither sent nor repeated elsewhere. */
static void
test_failing_region (void)
{
  static const enum platform_target_mode modes[]
      = { PLATFORM_TARGET_FULL, PLATFORM_TARGET_FAIL, PLATFORM_TARGET_CLOSE };
  struct fixture *fixture = set_up ();
  uint32_t far = platform_target_runs (fixture->far);
  for (uint32_t i = 0; i < G_N_ELEMENTS (modes); i++)
    {
      platform_target_set_mode (fixture->near, modes[i]);
      for (uint32_t j = 0; j < ROUNDS; j++)
        {
          announce (fixture, true);
          g_assert_cmpint (status_of (fixture, j % 3, "/near/x", "free"), >=,
                           500);
        }
    }
  g_assert_cmpuint (platform_target_runs (fixture->far), ==, far);
  platform_target_destroy (fixture->near);
  fixture->near = NULL;
  for (uint32_t j = 0; j < ROUNDS; j++)
    {
      announce (fixture, false);
      g_assert_cmpint (status_of (fixture, j % 3, "/near/x", "free"), ==, 503);
    }
  g_assert_cmpuint (platform_target_runs (fixture->far), ==, far);
  g_assert_cmpint (platform_rig_call_control (fixture->rig, 0, "DELETE",
                                              "/v1/replicas/near", NULL),
                   ==, 200);
  g_usleep (G_USEC_PER_SEC);
  assert_rejected (fixture, 0, "/near/x", "free", "region");
  g_assert_cmpint (status_of (fixture, 0, "/any/x", "free"), ==, 200);
  g_assert_cmpuint (platform_target_runs (fixture->far), ==, far + 1);
  tear_down (fixture);
}

/* A router that is cut off from the region's targets has a router of the
   region pass its connections on, and no other one: that one would get the
   body. */
static void
test_cut_region (void)
{
  struct fixture *fixture = set_up ();
  char *cut = g_strdup_printf ("refuse reset %u",
                               (unsigned)platform_target_port (fixture->far));
  platform_rig_cut (fixture->rig, 0, cut);
  wait_served (fixture, 0, "/far/x");
  uint32_t far = platform_target_runs (fixture->far);
  for (uint32_t i = 0; i < ROUNDS; i++)
    {
      announce (fixture, true);
      g_assert_cmpint (status_of (fixture, 0, "/far/x", "free"), ==, 200);
    }
  g_assert_cmpuint (platform_target_runs (fixture->far), ==, far + ROUNDS);
  far += ROUNDS;
  /* The router of r2 is gone; the other one of r1 reaches the target, but may
     not have the body. */
  fleet_process_kill (fixture->rig->more_entries[1]);
  g_assert_cmpint (status_of (fixture, 1, "/far/x", "free"), ==, 200);
  far++;
  for (uint32_t i = 0; i < 3 * ROUNDS; i++)
    {
      announce (fixture, true);
      g_assert_cmpint (status_of (fixture, 0, "/far/x", "free"), ==, 503);
      g_usleep (WAIT_US);
    }
  g_assert_cmpuint (platform_target_runs (fixture->far), ==, far);
  platform_rig_cut (fixture->rig, 0, NULL);
  wait_served (fixture, 0, "/far/x");
  g_free (cut);
  tear_down (fixture);
}

struct call
{
  struct fixture *fixture;
  struct platform_reply reply;
};

static gpointer
make_call (gpointer data)
{
  struct call *call = data;
  call->reply = post (call->fixture, 0, "/stream/x", "free");
  return NULL;
}

/* A configuration narrows the regions of a stream that runs: it ends as it
   began, and new ones obey. */
static void
test_narrowed (void)
{
  struct fixture *fixture = set_up ();
  struct call call = { fixture, { 0 } };
  wait_served (fixture, 0, "/stream/x");
  uint32_t near = platform_target_runs (fixture->near);
  platform_target_set_event_interval (fixture->near, 1000);
  /* Only the target of r1 is left for the stream. */
  g_assert_cmpint (platform_rig_call_control (fixture->rig, 0, "DELETE",
                                              "/v1/replicas/far", NULL),
                   ==, 200);
  g_usleep (G_USEC_PER_SEC / 2);
  GThread *thread = g_thread_new ("call", make_call, &call);
  g_usleep (G_USEC_PER_SEC / 2);
  platform_rig_configure (fixture->rig, CONFIG ("4", "[\"r2\"]"));
  g_usleep (G_USEC_PER_SEC);
  assert_rejected (fixture, 0, "/stream/x", "free", "region");
  g_thread_join (thread);
  g_assert_cmpint (call.reply.status, ==, 200);
  g_assert_true (call.reply.whole);
  g_assert_cmpuint (platform_target_runs (fixture->near), ==, near + 1);
  platform_reply_clear (&call.reply);
  tear_down (fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/platform-route-regions/bound", test_bound);
  g_test_add_func ("/platform-route-regions/failing-region",
                   test_failing_region);
  g_test_add_func ("/platform-route-regions/cut-region", test_cut_region);
  g_test_add_func ("/platform-route-regions/narrowed", test_narrowed);
  return g_test_run ();
}
