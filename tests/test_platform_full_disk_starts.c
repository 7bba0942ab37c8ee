/** @file
 *  Tests of control members that are started again while their disk is full.
 */

#include <glib.h>

#include "platform_rig.h"

#define CONFIG                                                                \
  "{\"version\":%u,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","       \
  "\"pathPrefix\":\"/look/\",\"kind\":\"safe\",\"timeoutMs\":2500,"           \
  "\"targetLatencyMs\":600,\"priority\":1,\"service\":\"shop\","              \
  "\"maxAttempts\":2,\"public\":false}],\"services\":[{\"name\":\"shop\"}],"  \
  "\"limits\":{\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"t1\","       \
  "\"apiKeys\":[\"k1\"]}]}"
#define RUNNING_US G_USEC_PER_SEC
#define READ_TRIES 300
#define READ_PAUSE_US 20000

static void
configure (struct platform_rig *rig, uint32_t version)
{
  char *body = g_strdup_printf (CONFIG, version);
  platform_rig_configure (rig, body);
  g_free (body);
}

static bool
is_read_back (struct platform_rig *rig, uint32_t core, uint32_t version)
{
  char *expected = g_strdup_printf ("\"version\":%u,", version);
  bool found = false;
  for (uint32_t i = 0; !found && i < READ_TRIES; i++)
    {
      struct platform_reply reply
          = platform_rig_read_control (rig, core, "/v1/config");
      found = reply.status == 200
              && g_strstr_len (reply.body->str, -1, expected);
      platform_reply_clear (&reply);
      if (!found)
        g_usleep (READ_PAUSE_US);
    }
  g_free (expected);
  return found;
}

/* Guards against a member with a log that ends when it is started on a full
   disk: nobody may start it again once there is room. */
static void
test_waits_at_the_start (void)
{
  static const char *const kinds[] = { "", "half", "names", "sync" };
  struct platform_rig *rig
      = platform_rig_create_programs ("cactus-core-full", "cactus-entry");
  uint32_t version = 1;
  configure (rig, version);
  for (uint32_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      uint32_t core = i % PLATFORM_RIG_CORES;
      g_assert_true (is_read_back (rig, core, version));
      fleet_process_kill (rig->cores[core]);
      platform_rig_fill (rig, core, kinds[i]);
      g_assert_cmpint (fleet_process_start (rig->cores[core]), ==, 0);
      configure (rig, ++version);
      g_usleep (RUNNING_US);
      g_assert_true (fleet_process_running (rig->cores[core]));
      platform_rig_fill (rig, core, NULL);
      g_assert_true (is_read_back (rig, core, version));
    }
  platform_rig_destroy (rig);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/platform-full-disk-starts/waits-at-the-start",
                   test_waits_at_the_start);
  return g_test_run ();
}
