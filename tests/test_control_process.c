/** @file
 *  Tests of cactus-control as processes: the leader killed, frozen, its data
 *  folder lost. */

#include <signal.h>

#include <glib.h>

#include "control_trial.h"

#define LIMIT_MS 20000

/* Pushes @p version; a resend after a lost answer gets the same one. */
static void
accept_version (struct control_trial *trial, uint64_t version)
{
  g_assert_cmpint (control_trial_push (trial, version, 3, 0), ==, CONTROL_OK);
}

static void
check_kept (struct control_trial *trial, uint64_t version, uint64_t tokens)
{
  g_assert_cmpuint (control_trial_version (trial), ==, version);
  g_assert_cmpuint (control_trial_total (trial, "lonja"), ==, tokens);
}

static void
test_single (void)
{
  struct control_trial *trial = control_trial_create (1);
  g_assert_nonnull (trial);
  accept_version (trial, 1);
  g_assert_cmpuint (control_trial_top_up (trial, "a", "lonja", 100), ==, 100);
  g_assert_cmpuint (control_trial_top_up (trial, "a", "lonja", 100), ==, 100);
  fleet_process_kill (trial->members[0]);
  g_assert_true (control_trial_start (trial, 0));
  check_kept (trial, 1, 100);
  control_trial_destroy (trial);
}

static void
test_leader_killed (void)
{
  struct control_trial *trial = control_trial_create (3);
  g_assert_nonnull (trial);
  accept_version (trial, 1);
  g_assert_cmpuint (control_trial_top_up (trial, "a", "lonja", 100), ==, 100);
  for (uint64_t version = 2; version <= 4; version++)
    {
      int leader = control_trial_leader (trial, LIMIT_MS);
      g_assert_cmpint (leader, >=, 0);
      fleet_process_kill (trial->members[leader]);
      accept_version (trial, version);
      check_kept (trial, version, 100);
      g_assert_true (control_trial_start (trial, (uint32_t)leader));
      g_assert_true (
          control_trial_wait_voter (trial, (uint32_t)leader, LIMIT_MS));
    }
  control_trial_destroy (trial);
}

static void
test_leader_frozen (void)
{
  struct control_trial *trial = control_trial_create (3);
  g_assert_nonnull (trial);
  accept_version (trial, 1);
  int frozen = control_trial_leader (trial, LIMIT_MS);
  g_assert_cmpint (frozen, >=, 0);
  struct fleet_process *leader = trial->members[frozen];
  g_assert_true (fleet_process_signal (leader, SIGSTOP));
  accept_version (trial, 2);
  g_assert_cmpuint (control_trial_top_up (trial, "b", "lonja", 50), ==, 50);
  g_assert_true (fleet_process_signal (leader, SIGCONT));
  /* Whichever member is asked first, nothing old is answered. */
  for (int i = 0; i < 20; i++)
    check_kept (trial, 2, 50);
  accept_version (trial, 3);
  check_kept (trial, 3, 50);
  control_trial_destroy (trial);
}

static void
test_folder_lost (void)
{
  struct control_trial *trial = control_trial_create (3);
  g_assert_nonnull (trial);
  accept_version (trial, 1);
  g_assert_cmpuint (control_trial_top_up (trial, "c", "lonja", 70), ==, 70);
  int leader = control_trial_leader (trial, LIMIT_MS);
  g_assert_cmpint (leader, >=, 0);
  uint32_t lost = ((uint32_t)leader + 1) % 3;
  fleet_process_kill (trial->members[lost]);
  control_trial_wipe (trial, lost);
  accept_version (trial, 2);
  g_assert_true (control_trial_start (trial, lost));
  g_assert_true (control_trial_wait_voter (trial, lost, LIMIT_MS));
  /* A second loss right after the repair: the repaired member counts. */
  fleet_process_kill (trial->members[leader]);
  control_trial_wipe (trial, (uint32_t)leader);
  accept_version (trial, 3);
  check_kept (trial, 3, 70);
  g_assert_true (control_trial_start (trial, (uint32_t)leader));
  g_assert_true (control_trial_wait_voter (trial, (uint32_t)leader, LIMIT_MS));
  check_kept (trial, 3, 70);
  control_trial_destroy (trial);
}

/* Hundreds of changes under small snapshots: a member that slept through them
   gets a snapshot, and all restart from theirs. */
static void
test_snapshots (void)
{
  static const char *const arguments[] = { "--snapshot-entries", "50", NULL };
  struct control_trial *trial = control_trial_create_with (3, arguments);
  g_assert_nonnull (trial);
  int leader = control_trial_leader (trial, LIMIT_MS);
  g_assert_cmpint (leader, >=, 0);
  uint32_t sleeper = ((uint32_t)leader + 1) % 3;
  accept_version (trial, 1);
  fleet_process_kill (trial->members[sleeper]);
  for (uint64_t version = 2; version <= 200; version++)
    accept_version (trial, version);
  g_assert_cmpuint (control_trial_top_up (trial, "s", "lonja", 9), ==, 9);
  g_assert_true (control_trial_start (trial, sleeper));
  g_assert_true (control_trial_wait_voter (trial, sleeper, LIMIT_MS));
  for (uint32_t i = 0; i < 3; i++)
    fleet_process_kill (trial->members[i]);
  for (uint32_t i = 0; i < 3; i++)
    g_assert_true (control_trial_start (trial, i));
  check_kept (trial, 200, 9);
  /* Without the one that was never away, so that the snapshot it was sent
     counts. */
  fleet_process_kill (trial->members[leader]);
  check_kept (trial, 200, 9);
  accept_version (trial, 201);
  control_trial_destroy (trial);
}

static void
test_hand_over (void)
{
  struct control_trial *trial = control_trial_create (3);
  g_assert_nonnull (trial);
  accept_version (trial, 1);
  int leader = control_trial_leader (trial, LIMIT_MS);
  g_assert_cmpint (leader, >=, 0);
  g_assert_true (fleet_process_signal (trial->members[leader], SIGTERM));
  g_assert_cmpint (fleet_process_wait (trial->members[leader], LIMIT_MS), ==,
                   0);
  accept_version (trial, 2);
  check_kept (trial, 2, 0);
  control_trial_destroy (trial);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/control/process/single", test_single);
  g_test_add_func ("/control/process/leader_killed", test_leader_killed);
  g_test_add_func ("/control/process/leader_frozen", test_leader_frozen);
  g_test_add_func ("/control/process/folder_lost", test_folder_lost);
  g_test_add_func ("/control/process/snapshots", test_snapshots);
  g_test_add_func ("/control/process/hand_over", test_hand_over);
  return g_test_run ();
}
