/** @file
 *  Tests of a control member that catches up by a snapshot across a slow link
 *  while the leader's log goes on. */

#include <string.h>

#include <glib.h>

#include "base_clock.h"
#include "base_random.h"
#include "platform_regions.h"
#include "tool_folder.h"
#include "wire_client.h"

/* One-way delay of each link, in milliseconds. */
#define DELAY_MS 30
/* A random document of this size, of which a snapshot takes eight pieces. */
#define DOCUMENT_BYTES 3000000
/* Time within which the member has to catch up, in milliseconds. */
#define CATCH_UP_MS 6000

static uint64_t
now_ms (void)
{
  return base_clock_now_ms (base_clock_system ());
}

static char *
make_text (uint32_t bytes)
{
  struct base_random random;
  char *text = g_malloc (bytes + 1);
  base_random_seed (&random, 21);
  for (uint32_t i = 0; i < bytes; i++)
    text[i] = (char)(' ' + base_random_below (&random, 90));
  text[bytes] = '\0';
  return text;
}

/* Returns the number of entries that the near member has applied, or 0 when it
   doesn't answer. */
static uint64_t
applied_index (struct platform_regions *regions)
{
  char cluster[] = "cactusspool";
  struct control_status_args args = { .cluster = cluster };
  struct control_status_result result;
  struct wire_client *client = wire_client_create (
      "127.0.0.1", regions->member_ports[PLATFORM_REGIONS_NEAR],
      CONTROL_PROGRAM, CONTROL_VERSION);
  enum wire_status status = wire_client_call (
      client, CONTROL_STATUS, (xdrproc_t)xdr_control_status_args, &args,
      (xdrproc_t)xdr_control_status_result, &result, sizeof result, 500);
  uint64_t index = status == WIRE_OK ? result.applied_index : 0;
  xdr_free ((xdrproc_t)xdr_control_status_result, (char *)&result);
  wire_client_destroy (client);
  return index;
}

/* The leader replaces its log by newer snapshots all the time; a member that
   receives one must get it whole, and the entries after it. */
static void
test_snapshot_read_starved (void)
{
  char *text = make_text (DOCUMENT_BYTES);
  g_setenv ("CACTUS_SNAPSHOT_ENTRIES", "4", TRUE);
  struct platform_regions *regions = platform_regions_create (0, DELAY_MS, 0);
  struct fleet_process *member = regions->members[PLATFORM_REGIONS_NEAR];
  bool accepted = false;
  while (!accepted)
    accepted = platform_regions_put (regions, 1, text);
  fleet_process_kill (member);
  char *data = g_strdup_printf ("%s/%s", regions->folder,
                                fleet_process_name (member));
  tool_folder_empty (data);
  link_relay_set_delay (regions->near_link, DELAY_MS);
  g_assert_cmpint (fleet_process_start (member), ==, 0);
  uint64_t began_ms = now_ms ();
  uint64_t index = 0;
  while (index == 0 && now_ms () < began_ms + CATCH_UP_MS)
    {
      /* An older version changes nothing but adds an entry to the log. */
      platform_regions_put (regions, 1, "{}");
      index = applied_index (regions);
    }
  g_test_message ("applied %u entries after %u ms", (unsigned)index,
                  (unsigned)(now_ms () - began_ms));
  g_assert_cmpuint (index, >, 0);
  platform_regions_destroy (regions);
  g_free (data);
  g_free (text);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/control-catch-up/snapshot-read-starved",
                   test_snapshot_read_starved);
  return g_test_run ();
}
