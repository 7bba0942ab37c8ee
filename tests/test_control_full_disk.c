/** @file
 *  Tests of cactus-control processes whose snapshots find no room. */

#include <signal.h>

#include <glib.h>

#include "base_clock.h"
#include "control_rig.h"

#define MEMBERS 3
#define SNAPSHOT_ENTRIES "24"
/* Enough for a snapshot of each member, and less than for two. */
#define CHANGES 50
#define CAUGHT_UP_MS 6000
#define IN_TIME_MS 5000
#define POLL_US 20000
/* Time in which a member gets a snapshot but doesn't find room for it. */
#define INSTALL_MS 1500

static uint64_t
now_ms (void)
{
  return base_clock_now_ms (base_clock_system ());
}

/* Whether a member has a file in its folder, within a time. */
static bool
has_file (const struct control_rig *rig, uint32_t member, const char *name,
          uint32_t limit_ms)
{
  uint64_t end_ms = now_ms () + limit_ms;
  bool found;
  char *path
      = g_strdup_printf ("%s/data-%u/%s", rig->folder, member + 1, name);
  while (!(found = g_file_test (path, G_FILE_TEST_EXISTS))
         && now_ms () < end_ms)
    g_usleep (POLL_US);
  g_free (path);
  return found;
}

static struct control_rig *
start (void)
{
  static const char *const arguments[]
      = { "--snapshot-entries", SNAPSHOT_ENTRIES, NULL };
  struct control_rig *rig = control_rig_create_full (MEMBERS, arguments);
  g_assert_nonnull (rig);
  g_assert_cmpint (control_rig_push (rig, 1, 3, 0), ==, CONTROL_OK);
  return rig;
}

static void
send_changes (struct control_rig *rig, uint32_t first, uint32_t count)
{
  for (uint32_t i = first; i < first + count; i++)
    {
      char *id = g_strdup_printf ("c%u", i);
      g_assert_cmpuint (control_rig_top_up (rig, id, "lonja", 1), ==, i + 1);
      g_free (id);
    }
}

/* Guards against a member that doesn't write a snapshot which found no room
   until its log has grown by another whole limit. */
static void
test_snapshot_written_again (void)
{
  struct control_rig *rig = start ();
  for (uint32_t i = 0; i < MEMBERS; i++)
    control_rig_fill (rig, i, "names");
  send_changes (rig, 0, CHANGES);
  for (uint32_t i = 0; i < MEMBERS; i++)
    g_assert_false (has_file (rig, i, "snapshot", 0));
  for (uint32_t i = 0; i < MEMBERS; i++)
    control_rig_fill (rig, i, NULL);
  for (uint32_t i = 0; i < MEMBERS; i++)
    g_assert_true (has_file (rig, i, "snapshot", IN_TIME_MS));
  control_rig_destroy (rig);
}

/* A member that is killed while its disk is full, with a snapshot due, holds
   all that was acknowledged when it is started again. */
static void
test_killed_without_snapshot (void)
{
  static const char *const kinds[] = { "", "half", "names", "sync" };
  struct control_rig *rig = start ();
  uint32_t sent = 0;
  for (uint32_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      uint32_t member = i % MEMBERS;
      control_rig_fill (rig, member, kinds[i]);
      send_changes (rig, sent, CHANGES);
      sent += CHANGES;
      fleet_process_kill (rig->members[member]);
      send_changes (rig, sent, CHANGES);
      sent += CHANGES;
      control_rig_fill (rig, member, NULL);
      g_assert_true (control_rig_start (rig, member));
      g_assert_true (control_rig_wait_voter (rig, member, CAUGHT_UP_MS));
      g_assert_cmpuint (control_rig_topped_up_tokens (rig, "lonja"), ==, sent);
    }
  for (uint32_t i = 0; i < MEMBERS; i++)
    fleet_process_kill (rig->members[i]);
  for (uint32_t i = 0; i < MEMBERS; i++)
    g_assert_cmpint (fleet_process_start (rig->members[i]), ==, 0);
  g_assert_cmpuint (control_rig_topped_up_tokens (rig, "lonja"), ==, sent);
  control_rig_destroy (rig);
}

/* A member that gets the leader's snapshot while it finds no room for it
   waits, and goes on with it once there is room, or after a kill meanwhile. */
static void
test_snapshot_installed (void)
{
  struct control_rig *rig = start ();
  uint32_t sent = 0;
  for (uint32_t i = 0; i < 2 * MEMBERS; i++)
    {
      uint32_t member = i % MEMBERS;
      struct fleet_process *process = rig->members[member];
      g_assert_true (fleet_process_signal (process, SIGSTOP));
      send_changes (rig, sent, 3 * CHANGES);
      sent += 3 * CHANGES;
      control_rig_fill (rig, member, i % 2 ? "names" : "sync");
      g_assert_true (fleet_process_signal (process, SIGCONT));
      g_assert_false (control_rig_wait_voter (rig, member, INSTALL_MS));
      g_assert_true (fleet_process_running (process));
      if (i >= MEMBERS)
        fleet_process_kill (process);
      control_rig_fill (rig, member, NULL);
      if (i >= MEMBERS)
        g_assert_true (control_rig_start (rig, member));
      g_assert_true (control_rig_wait_voter (rig, member, CAUGHT_UP_MS));
      g_assert_cmpuint (control_rig_topped_up_tokens (rig, "lonja"), ==, sent);
    }
  control_rig_destroy (rig);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/control-full-disk/snapshot-written-again",
                   test_snapshot_written_again);
  g_test_add_func ("/control-full-disk/killed-without-snapshot",
                   test_killed_without_snapshot);
  g_test_add_func ("/control-full-disk/snapshot-installed",
                   test_snapshot_installed);
  return g_test_run ();
}
