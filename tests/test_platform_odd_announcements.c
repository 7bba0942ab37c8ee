/** @file
 *  Tests of the platform's programs as processes with announcements and
 *  configurations of another writer: no process ends, and what is sound goes
 *  on. */

#include <string.h>

#include <glib.h>

#include "platform_rig.h"
#include "platform_target.h"

#define CONFIG                                                                \
  "{\"version\":%u,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","       \
  "\"pathPrefix\":\"/look/\",\"kind\":\"safe\",\"timeoutMs\":2500,"           \
  "\"targetLatencyMs\":400,\"priority\":1,\"service\":\"shop\","              \
  "\"maxAttempts\":2}],\"services\":[{\"name\":\"shop\"}],"                   \
  "\"limits\":{\"idleTimeoutMs\":15000}}"
#define STATUS_BAD_REQUEST 400
/* Time within which an accepted configuration is in force. */
#define CONFIG_APPLY_US (3 * G_USEC_PER_SEC)
/* Depths of nesting: just below the parser's own limit, beyond it, and much
   beyond it. */
static const uint32_t depths[] = { 65, 400, 1000, 2040, 2047, 2049, 30000 };

struct fixture
{
  struct platform_rig *rig;
  struct platform_target *target;
};

static void
configure (const struct fixture *fixture, uint32_t version)
{
  char *config = g_strdup_printf (CONFIG, version);
  platform_rig_configure (fixture->rig, config);
  g_free (config);
}

static void
set_up (struct fixture *fixture)
{
  fixture->rig = platform_rig_create ();
  fixture->target = platform_target_create ("e1");
  configure (fixture, 3);
  platform_rig_announce (fixture->rig, "e1", "shop",
                         platform_target_port (fixture->target), "ready", 1);
  g_assert_true (platform_rig_wait_status (fixture->rig, "/look/a", "k", 200));
}

/* The members run, accept a change, and the target is served. */
static void
check_and_tear_down (struct fixture *fixture)
{
  for (uint32_t i = 0; i < PLATFORM_RIG_CORES; i++)
    g_assert_true (fleet_process_running (fixture->rig->cores[i]));
  configure (fixture, 9);
  platform_rig_announce (fixture->rig, "e1", "shop",
                         platform_target_port (fixture->target), "ready", 2);
  g_assert_true (platform_rig_wait_status (fixture->rig, "/look/a", "k", 200));
  platform_rig_destroy (fixture->rig);
  platform_target_destroy (fixture->target);
}

/* Calls each member, and expects that it rejects the body. */
static void
call_all (const struct fixture *fixture, const char *path, const char *body)
{
  for (uint32_t i = 0; i < PLATFORM_RIG_CORES; i++)
    g_assert_cmpint (
        platform_rig_call_control (fixture->rig, i, "PUT", path, body), ==,
        STATUS_BAD_REQUEST);
}

/* Returns a value nested in objects or arrays; freed with g_free. */
static char *
nest (uint32_t depth, bool is_array)
{
  GString *text = g_string_new (NULL);
  for (uint32_t i = 0; i < depth; i++)
    g_string_append (text, is_array ? "[" : "{\"a\":");
  g_string_append_c (text, '1');
  for (uint32_t i = 0; i < depth; i++)
    g_string_append_c (text, is_array ? ']' : '}');
  return g_string_free (text, FALSE);
}

static void
test_deep_announcement (void)
{
  struct fixture fixture;
  set_up (&fixture);
  for (size_t i = 0; i < 2 * G_N_ELEMENTS (depths); i++)
    {
      char *value = nest (depths[i / 2], i % 2);
      char *body = g_strdup_printf (
          "{\"service\":\"shop\",\"address\":\"127.0.0.1:9\",\"zone\":\"z1\","
          "\"slots\":8,\"state\":\"ready\",\"seq\":9,\"%s\":%s}",
          i % 4 < 2 ? "unknown" : "models", value);
      if (strlen (body) < 65536)
        call_all (&fixture, "/v1/replicas/e2", body);
      g_free (body);
      g_free (value);
    }
  check_and_tear_down (&fixture);
}

static void
test_deep_configuration (void)
{
  struct fixture fixture;
  set_up (&fixture);
  for (size_t i = 0; i < 2 * G_N_ELEMENTS (depths); i++)
    {
      char *value = nest (depths[i / 2], i % 2);
      char *body = g_strdup_printf ("{\"version\":9,\"unknown\":%s}", value);
      call_all (&fixture, "/v1/config", body);
      g_free (body);
      g_free (value);
    }
  check_and_tear_down (&fixture);
}

static void
test_out_of_range (void)
{
  static const char *const bodies[] = {
    "\"slots\":9223372036854775807,\"seq\":9,\"address\":\"127.0.0.1:9\"",
    "\"slots\":4294967297,\"seq\":9,\"address\":\"127.0.0.1:9\"",
    "\"slots\":8,\"seq\":9223372036854775807,\"address\":\"127.0.0.1:9\"",
    "\"slots\":8,\"seq\":9,\"coldLeftMs\":4294967297,"
    "\"address\":\"127.0.0.1:9\"",
    "\"slots\":8,\"seq\":9,\"born\":9223372036854775807,"
    "\"address\":\"127.0.0.1:9\"",
    "\"slots\":1e400,\"seq\":9,\"address\":\"127.0.0.1:9\"",
    "\"slots\":8,\"seq\":12345678901234567890123456,"
    "\"address\":\"127.0.0.1:9\"",
    "\"slots\":8,\"seq\":9,\"address\":\"127.0.0.1:65537\"",
    "\"slots\":8,\"seq\":9,\"address\":\"127.0.0.1:0\"",
    "\"slots\":8,\"seq\":9,\"address\":\"224.0.0.1:9\"",
    "\"slots\":8,\"seq\":9,\"address\":\"255.255.255.255:9\"",
    "\"slots\":8,\"seq\":9,\"address\":\"0.0.0.0:9\"",
  };
  struct fixture fixture;
  set_up (&fixture);
  for (size_t i = 0; i < G_N_ELEMENTS (bodies); i++)
    {
      char *body = g_strdup_printf (
          "{\"service\":\"shop\",\"zone\":\"z1\",\"state\":\"ready\",%s}",
          bodies[i]);
      /* Under the id of a target that serves. */
      call_all (&fixture, "/v1/replicas/e1", body);
      g_free (body);
    }
  check_and_tear_down (&fixture);
}

/* Guards against sign-offs that keep all later changes from routers: names
   that no record can hold.  A configuration is in force in time after them. */
static void
test_odd_sign_offs (void)
{
  static const char later[]
      = "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","
        "\"pathPrefix\":\"/later/\",\"kind\":\"safe\",\"timeoutMs\":2500,"
        "\"targetLatencyMs\":400,\"priority\":1,\"service\":\"shop\"}],"
        "\"services\":[{\"name\":\"shop\"}],"
        "\"limits\":{\"idleTimeoutMs\":15000}}";
  char long_id[150 + 1] = "";
  struct fixture fixture;
  set_up (&fixture);
  memset (long_id, 'a', sizeof long_id - 1);
  const char *const ids[] = { long_id, "a%01b", "%ff%fe", "" };
  for (size_t i = 0; i < G_N_ELEMENTS (ids); i++)
    for (uint32_t core = 0; core < PLATFORM_RIG_CORES; core++)
      {
        char *path = g_strdup_printf ("/v1/replicas/%s", ids[i]);
        g_assert_cmpint (platform_rig_call_control (fixture.rig, core,
                                                    "DELETE", path, NULL),
                         ==, STATUS_BAD_REQUEST);
        g_free (path);
      }
  platform_rig_configure (fixture.rig, later);
  g_usleep (CONFIG_APPLY_US);
  struct platform_reply reply
      = platform_rig_request (fixture.rig, "/later/a", "k", NULL);
  g_assert_cmpint (reply.status, ==, 200);
  platform_reply_clear (&reply);
  reply = platform_rig_request (fixture.rig, "/look/a", "k", NULL);
  g_assert_cmpint (reply.status, ==, 404);
  platform_reply_clear (&reply);
  check_and_tear_down (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_set_nonfatal_assertions ();
  g_test_add_func ("/platform-odd-announcements/nested-12-kilobytes",
                   test_deep_announcement);
  g_test_add_func ("/platform-odd-announcements/nested-configuration",
                   test_deep_configuration);
  g_test_add_func ("/platform-odd-announcements/out-of-range",
                   test_out_of_range);
  g_test_add_func ("/platform-odd-announcements/odd-sign-offs",
                   test_odd_sign_offs);
  return g_test_run ();
}
