/** @file
 *  Tests of targets that sign off at a control member whose disk is full. */

#include <glib.h>

#include "base_clock.h"
#include "platform_rig.h"
#include "platform_target.h"

#define CONFIG                                                                \
  "{\"version\":%u,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","       \
  "\"pathPrefix\":\"/look/\",\"kind\":\"safe\",\"timeoutMs\":2500,"           \
  "\"targetLatencyMs\":600,\"priority\":1,\"service\":\"shop\","              \
  "\"maxAttempts\":2,\"public\":false}],\"services\":[{\"name\":\"shop\"}],"  \
  "\"limits\":{\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"t1\","       \
  "\"apiKeys\":[\"k1\"]}]}"
#define SERVICE "shop"
#define LEAVING "leaving"
#define LEAVING_PATH "/v1/replicas/" LEAVING
#define LEAVING_BODY                                                          \
  "{\"service\":\"shop\",\"address\":\"127.0.0.1:%u\",\"zone\":\"z1\","       \
  "\"slots\":8,\"state\":\"draining\",\"seq\":2,\"born\":5}"
#define FULL_CORE 1
/* Time within which a sign-off must be acknowledged by some member, and after
   which the target gets no new work. */
#define SIGN_OFF_MS 3000
#define NO_WORK_AFTER_US (3 * G_USEC_PER_SEC)
#define REQUESTS 40
#define PAUSE_US 20000

static uint64_t
now_ms (void)
{
  return base_clock_now_ms (base_clock_system ());
}

static void
configure (struct platform_rig *rig, uint32_t version)
{
  char *body = g_strdup_printf (CONFIG, version);
  platform_rig_configure (rig, body);
  g_free (body);
}

/* Signs off at the member whose disk is full first, and at the others until
   one acknowledges it. */
static void
sign_off (struct platform_rig *rig, const char *method, const char *body)
{
  uint64_t end_ms = now_ms () + SIGN_OFF_MS;
  uint32_t core = FULL_CORE;
  while (platform_rig_call_control (rig, core++ % PLATFORM_RIG_CORES, method,
                                    LEAVING_PATH, body)
         != 200)
    {
      g_assert_cmpuint (now_ms (), <, end_ms);
      g_usleep (PAUSE_US);
    }
}

/* Guards against a sign-off that is acknowledged by a member whose disk is
   full, and that nobody else hears of until it has room. */
static void
test_sign_off (gconstpointer data)
{
  const char *method = data;
  struct platform_rig *rig
      = platform_rig_create_programs ("cactus-core-full", "cactus-entry");
  struct platform_target *leaving = platform_target_create (LEAVING);
  struct platform_target *staying = platform_target_create ("staying");
  char *body = g_strdup_printf (LEAVING_BODY, platform_target_port (leaving));
  configure (rig, 1);
  platform_rig_announce (rig, LEAVING, SERVICE, platform_target_port (leaving),
                         "ready", 1);
  platform_rig_announce (rig, "staying", SERVICE,
                         platform_target_port (staying), "ready", 1);
  g_assert_true (platform_rig_wait_status (rig, "/look/x", "k1", 200));
  platform_rig_fill (rig, FULL_CORE, "");
  configure (rig, 2);
  g_usleep (G_USEC_PER_SEC);
  sign_off (rig, method, body);
  g_usleep (NO_WORK_AFTER_US);
  uint32_t former = platform_target_runs (leaving);
  for (uint32_t i = 0; i < REQUESTS; i++)
    g_assert_true (platform_rig_wait_status (rig, "/look/x", "k1", 200));
  g_assert_cmpuint (platform_target_runs (leaving), ==, former);
  platform_rig_destroy (rig);
  platform_target_destroy (leaving);
  platform_target_destroy (staying);
  g_free (body);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_data_func ("/platform-full-disk-departures/leaving", "PUT",
                        test_sign_off);
  g_test_add_data_func ("/platform-full-disk-departures/gone", "DELETE",
                        test_sign_off);
  return g_test_run ();
}
