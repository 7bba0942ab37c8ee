/** @file
 *  Tests of how routers get a new configuration document: within 3 s of its
 *  acknowledgement on every router, with one region's link slow and narrow. */

#include <signal.h>
#include <string.h>

#include <glib.h>

#include "base_clock.h"
#include "base_random.h"
#include "platform_regions.h"

/* One-way delay of the link between the regions, in milliseconds. */
#define FAR_DELAY_MS 30
/* The link between the regions carries 60 Mbit/s for 41 routers. */
#define FAR_BYTES_PER_S_PER_ROUTER (60000000 / 8 / 41)
#define ROUTERS 10
/* Time by which the member in the routers' region holds a document later than
   the leader, in milliseconds. */
#define NEAR_LAG_MS 100
/* Number of routes that a large change adds. */
#define MANY_ROUTES 2000
/* Time after the acknowledgement by which a document is in force. */
#define IN_FORCE_MS 3000
/* Share of a document that one change of it may cost on the link between the
   regions: a document compresses to a tenth. */
#define LINK_SHARE 0.25
/* Time after which a test stops waiting, so that it reports by how much the
   bound was missed. */
#define WAIT_MAX_MS 15000

static uint64_t
now_ms (void)
{
  return base_clock_now_ms (base_clock_system ());
}

static void
append_name (GString *text, struct base_random *random, uint32_t length)
{
  static const char letters[] = "abcdefghijklmnopqrstuvwxyz0123456789";
  for (uint32_t i = 0; i < length; i++)
    g_string_append_c (
        text, letters[base_random_below (random, sizeof letters - 1)]);
}

static void
append_route (GString *text, const char *prefix, struct base_random *random)
{
  g_string_append (text, "{\"name\":\"r-");
  append_name (text, random, 7);
  g_string_append_printf (
      text,
      "\",\"host\":\"h.example\",\"pathPrefix\":\"/%s/\",\"kind\":\"safe\","
      "\"timeoutMs\":1000,\"targetLatencyMs\":500,\"priority\":1,"
      "\"service\":\"plain\",\"maxAttempts\":2,\"public\":true,"
      "\"sticky\":true,\"resumable\":false,\"targetGapMs\":400}",
      prefix);
}

/* Makes a document with the route /first/, @p many routes with random names,
   of which the last is /many/, and the route /last-VERSION/.  The names are
   the same in each version. */
static char *
make_document (uint64_t version, uint32_t many)
{
  char prefix[32];
  struct base_random random;
  GString *text = g_string_new (NULL);
  base_random_seed (&random, 5);
  g_string_append_printf (text, "{\"version\":%u,\"routes\":[",
                          (unsigned)version);
  append_route (text, "first", &random);
  for (uint32_t i = 0; i < many; i++)
    {
      GString *name = g_string_new (NULL);
      append_name (name, &random, 8);
      g_string_append_c (text, ',');
      append_route (text, i + 1 < many ? name->str : "many", &random);
      g_string_free (name, TRUE);
    }
  g_snprintf (prefix, sizeof prefix, "last-%u", (unsigned)version);
  g_string_append_c (text, ',');
  append_route (text, prefix, &random);
  g_string_append (text,
                   "],\"services\":[{\"name\":\"plain\"}],\"limits\":{}}");
  return g_string_free (text, FALSE);
}

/* Sends a document; returns when it was acknowledged. */
static uint64_t
put (struct platform_regions *regions, uint64_t version, uint32_t many)
{
  char *document = make_document (version, many);
  bool accepted = false;
  for (uint32_t i = 0; !accepted && i < 100; i++)
    accepted = platform_regions_put (regions, version, document);
  g_assert_true (accepted);
  g_free (document);
  return now_ms ();
}

/* The same; the member in the routers' region gets the document NEAR_LAG_MS
   after the acknowledgement. */
static uint64_t
put_late_near (struct platform_regions *regions, uint64_t version,
               uint32_t many)
{
  struct fleet_process *near = regions->members[PLATFORM_REGIONS_NEAR];
  fleet_process_signal (near, SIGSTOP);
  uint64_t acked_ms = put (regions, version, many);
  g_usleep (1000 * NEAR_LAG_MS);
  fleet_process_signal (near, SIGCONT);
  return acked_ms;
}

static struct platform_regions *
set_up (void)
{
  struct platform_regions *regions = platform_regions_create (
      ROUTERS, FAR_DELAY_MS, ROUTERS * FAR_BYTES_PER_S_PER_ROUTER);
  uint64_t acked_ms = put (regions, 1, 0);
  uint64_t took_ms = platform_regions_wait_routed (regions, "/first/x",
                                                   acked_ms, 2 * WAIT_MAX_MS);
  g_assert_cmpuint (took_ms, <, 2 * WAIT_MAX_MS);
  return regions;
}

static void
check_in_force (struct platform_regions *regions, const char *path,
                uint64_t acked_ms)
{
  uint64_t took_ms
      = platform_regions_wait_routed (regions, path, acked_ms, WAIT_MAX_MS);
  g_test_message ("%s in force after %u ms", path, (unsigned)took_ms);
  if (took_ms > IN_FORCE_MS)
    g_test_fail_printf ("%s in force after %u ms, above %u", path,
                        (unsigned)took_ms, IN_FORCE_MS);
}

/* Routers of the region without the leader read each document across the
   narrow link; two changes follow before the first one is read. */
static void
test_large_change_late (void)
{
  struct platform_regions *regions = set_up ();
  uint64_t acked_ms = put_late_near (regions, 2, MANY_ROUTES);
  g_usleep (300000);
  put_late_near (regions, 3, MANY_ROUTES);
  g_usleep (300000);
  uint64_t last_acked_ms = put_late_near (regions, 4, MANY_ROUTES);
  check_in_force (regions, "/many/x", acked_ms);
  check_in_force (regions, "/last-4/x", last_acked_ms);
  platform_regions_destroy (regions);
}

/* The log carries each document to each member, and to no router. */
static void
test_link_carries_whole_documents (void)
{
  struct platform_regions *regions = set_up ();
  char *document = make_document (2, MANY_ROUTES);
  uint64_t limit_bytes
      = (uint64_t)(3 * LINK_SHARE * (double)strlen (document));
  uint64_t link_bytes = link_relay_forwarded_bytes (regions->far_link);
  for (uint64_t version = 2; version < 5; version++)
    put (regions, version, MANY_ROUTES);
  check_in_force (regions, "/last-4/x", now_ms ());
  link_bytes = link_relay_forwarded_bytes (regions->far_link) - link_bytes;
  g_test_message ("the link carried %u bytes", (unsigned)link_bytes);
  g_assert_cmpuint (link_bytes, <=, limit_bytes);
  g_free (document);
  platform_regions_destroy (regions);
}

/* Each newer document restarts the read of the one before, so that none is in
   force while they follow each other. */
static void
test_read_starved (void)
{
  struct platform_regions *regions = set_up ();
  uint64_t acked_ms = put_late_near (regions, 2, MANY_ROUTES);
  uint64_t version = 3;
  bool routed = false;
  while (!routed && now_ms () < acked_ms + IN_FORCE_MS)
    {
      put_late_near (regions, version++, MANY_ROUTES);
      routed = true;
      for (uint32_t i = 0; routed && i < ROUTERS; i++)
        routed = platform_regions_is_routed (regions, i, "/many/x");
    }
  g_test_message ("%u documents, routed=%d", (unsigned)version - 2,
                  (int)routed);
  if (!routed)
    g_test_fail_printf ("/many/x not in force after %u ms", IN_FORCE_MS);
  platform_regions_destroy (regions);
}

/* The routers' region has no member that responds. */
static void
test_own_member_lost (void)
{
  struct platform_regions *regions = set_up ();
  fleet_process_kill (regions->members[PLATFORM_REGIONS_NEAR]);
  uint64_t acked_ms = put (regions, 2, MANY_ROUTES);
  check_in_force (regions, "/many/x", acked_ms);
  platform_regions_destroy (regions);
}

static void
test_own_member_frozen (void)
{
  struct platform_regions *regions = set_up ();
  fleet_process_signal (regions->members[PLATFORM_REGIONS_NEAR], SIGSTOP);
  uint64_t acked_ms = put (regions, 2, MANY_ROUTES);
  check_in_force (regions, "/many/x", acked_ms);
  platform_regions_destroy (regions);
}

/* A member loses its documents' history with its process. */
static void
test_processes_restarted (void)
{
  struct platform_regions *regions = set_up ();
  put (regions, 2, MANY_ROUTES);
  for (uint32_t i = 0; i < ROUTERS; i += 3)
    fleet_process_kill (regions->routers[i]);
  fleet_process_kill (regions->members[PLATFORM_REGIONS_NEAR]);
  uint64_t acked_ms = put (regions, 3, MANY_ROUTES + 1);
  for (uint32_t i = 0; i < ROUTERS; i += 3)
    fleet_process_start (regions->routers[i]);
  fleet_process_start (regions->members[PLATFORM_REGIONS_NEAR]);
  check_in_force (regions, "/last-3/x", acked_ms);
  platform_regions_destroy (regions);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  /* A late document must not keep the other cases from running. */
  g_test_set_nonfatal_assertions ();
  g_test_add_func ("/edge-documents/large-change-late-in-other-region",
                   test_large_change_late);
  g_test_add_func ("/edge-documents/link-carries-whole-documents",
                   test_link_carries_whole_documents);
  g_test_add_func ("/edge-documents/read-starved-by-newer-documents",
                   test_read_starved);
  g_test_add_func ("/edge-documents/own-member-lost", test_own_member_lost);
  g_test_add_func ("/edge-documents/own-member-frozen",
                   test_own_member_frozen);
  g_test_add_func ("/edge-documents/processes-restarted",
                   test_processes_restarted);
  return g_test_run ();
}
