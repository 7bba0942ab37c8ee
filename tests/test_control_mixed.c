/** @file
 *  Tests of clusters with control members of two builds, where the environment
 *  variable OLD_BIN names the folder of the older build's programs; without it
 *  they are skipped. */

#include <string.h>

#include <glib.h>

#include "base_clock.h"
#include "base_random.h"
#include "control_rig.h"
#include "link_relay.h"

#define MEMBERS 3
#define TIMEOUT_MS 20000
#define POLL_US 20000
/* Time within which a change must be accepted after connections went silent,
   and within which it must be in force at the members of the present build. */
#define ACCEPT_MS 6000
#define IN_FORCE_MS 7000
#define SILENT_ROUNDS 3
#define CHANGES 15

static const char *const snapshot_arguments[]
    = { "--snapshot-entries", "40", NULL };

static uint64_t
now_ms (void)
{
  return base_clock_now_ms (base_clock_system ());
}

static void
restart (struct control_rig *rig, uint32_t member)
{
  fleet_process_kill (rig->members[member]);
  g_assert_true (control_rig_start (rig, member));
}

/* Members of both builds; the first @ref old_count are old. */
struct mixture
{
  struct link_relay *relay;
  struct control_rig *rig;
  char *old_program;
  char *new_program;
  struct base_random random;
  uint32_t old_count;
  uint64_t version;
};

static bool
set_up (struct mixture *mixture, bool with_relay)
{
  memset (mixture, 0, sizeof *mixture);
  const char *old_folder = g_getenv ("OLD_BIN");
  if (!old_folder)
    {
      g_test_skip ("OLD_BIN is not set");
      return false;
    }
  mixture->old_program = g_build_filename (old_folder, "cactus-control", NULL);
  mixture->new_program
      = g_build_filename (fleet_binary_folder (), "cactus-control", NULL);
  if (with_relay)
    mixture->relay = link_relay_create ();
  mixture->rig = control_rig_create_linked (MEMBERS, snapshot_arguments,
                                            mixture->relay);
  g_assert_nonnull (mixture->rig);
  base_random_seed (&mixture->random, 1);
  return true;
}

static void
tear_down (struct mixture *mixture)
{
  control_rig_destroy (mixture->rig);
  if (mixture->relay)
    link_relay_destroy (mixture->relay);
  g_free (mixture->old_program);
  g_free (mixture->new_program);
}

/* Restarts a member with a build on the folder that it has. */
static void
change_build (struct mixture *mixture, uint32_t member, bool is_old)
{
  fleet_process_kill (mixture->rig->members[member]);
  fleet_process_set_program (mixture->rig->members[member],
                             is_old ? mixture->old_program
                                    : mixture->new_program);
  g_assert_true (control_rig_start (mixture->rig, member));
  g_assert_true (control_rig_wait_voter (mixture->rig, member, TIMEOUT_MS));
}

static bool
is_in_force (struct mixture *mixture, uint32_t member)
{
  struct control_status_result result = { 0 };
  bool in_force = control_rig_status (mixture->rig, member, &result)
                  && result.bundle_version >= mixture->version;
  xdr_free ((xdrproc_t)xdr_control_status_result, (char *)&result);
  return in_force;
}

/* Number of members from @p first on that hold the version by @p end_ms. */
static uint32_t
count_in_force (struct mixture *mixture, uint32_t first, uint64_t end_ms)
{
  uint32_t held = 0;
  do
    {
      if (held > 0)
        g_usleep (POLL_US);
      held = 0;
      for (uint32_t i = first; i < MEMBERS; i++)
        held += is_in_force (mixture, i);
    }
  while (held < MEMBERS - first && now_ms () < end_ms);
  return held;
}

/* Pushes the next version until it is accepted or the time is over; returns
   the time taken, or 0 when it is not accepted: then the next call pushes the
   same version. */
static uint64_t
push_next (struct mixture *mixture, uint32_t limit_ms)
{
  uint64_t start_ms = now_ms ();
  uint64_t version = mixture->version + 1;
  int status;
  do
    status = control_rig_push (mixture->rig, version, 1, (uint32_t)version);
  while (status != CONTROL_OK && now_ms () < start_ms + limit_ms);
  uint64_t took_ms = now_ms () - start_ms;
  if (status == CONTROL_OK)
    mixture->version = version;
  return status == CONTROL_OK && took_ms <= limit_ms ? MAX (took_ms, 1) : 0;
}

static void
check_change (struct mixture *mixture)
{
  g_assert_cmpuint (push_next (mixture, ACCEPT_MS), >, 0);
  g_assert_cmpuint (count_in_force (mixture, 0, now_ms () + IN_FORCE_MS), ==,
                    MEMBERS);
}

/* Restarts leaders until one of the wanted build leads. */
static void
elect (struct mixture *mixture, bool is_old)
{
  int leader = control_rig_leader (mixture->rig, TIMEOUT_MS);
  while (leader >= 0 && ((uint32_t)leader < mixture->old_count) != is_old)
    {
      fleet_process_kill (mixture->rig->members[leader]);
      g_assert_cmpuint (push_next (mixture, TIMEOUT_MS), >, 0);
      g_assert_true (control_rig_start (mixture->rig, (uint32_t)leader));
      g_assert_true (
          control_rig_wait_voter (mixture->rig, (uint32_t)leader, TIMEOUT_MS));
      leader = control_rig_leader (mixture->rig, TIMEOUT_MS);
    }
  g_assert_cmpint (leader, >=, 0);
}

/* Checks changes, top-ups and restarts with leaders of each build. */
static void
check_mixture (struct mixture *mixture)
{
  static uint32_t top_ups;
  for (uint32_t is_old = 0; is_old < 2; is_old++)
    {
      char id[16];
      if (mixture->old_count == (is_old ? 0 : MEMBERS))
        continue;
      elect (mixture, is_old);
      uint64_t tokens
          = control_rig_topped_up_tokens (mixture->rig, "lonja") + 10;
      g_snprintf (id, sizeof id, "top-up-%u", top_ups++);
      g_assert_cmpuint (control_rig_top_up (mixture->rig, id, "lonja", 10), ==,
                        tokens);
      for (uint32_t i = 0; i < CHANGES; i++)
        check_change (mixture);
      for (uint32_t i = 0; i < MEMBERS; i++)
        {
          restart (mixture->rig, i);
          check_change (mixture);
          g_assert_true (control_rig_wait_voter (mixture->rig, i, TIMEOUT_MS));
        }
      g_assert_cmpuint (control_rig_topped_up_tokens (mixture->rig, "lonja"),
                        ==, tokens);
      g_test_message ("%u old members, a leader of the %s build: version %u "
                      "in force at all",
                      mixture->old_count, is_old ? "old" : "new",
                      (unsigned)mixture->version);
    }
}

/* Members change one by one to the old build and back, on their folders. */
static void
test_mixed_members (void)
{
  struct mixture mixture;
  if (!set_up (&mixture, false))
    return;
  check_mixture (&mixture);
  for (; mixture.old_count < MEMBERS; check_mixture (&mixture))
    change_build (&mixture, mixture.old_count++, true);
  while (mixture.old_count > 0)
    {
      change_build (&mixture, --mixture.old_count, false);
      check_mixture (&mixture);
    }
  tear_down (&mixture);
}

/* One round of silence; returns whether the change was accepted in time and
   in force at the members of the present build. */
static bool
play_silence (struct mixture *mixture, uint32_t round)
{
  int leader = control_rig_leader (mixture->rig, TIMEOUT_MS);
  uint64_t start_ms = now_ms ();
  link_relay_silence (mixture->relay, LINK_BOTH, 100, &mixture->random);
  uint64_t took_ms = push_next (mixture, ACCEPT_MS);
  uint32_t present = took_ms == 0
                         ? 0
                         : count_in_force (mixture, mixture->old_count,
                                           start_ms + IN_FORCE_MS);
  uint32_t all
      = took_ms == 0 ? 0 : count_in_force (mixture, 0, start_ms + IN_FORCE_MS);
  g_test_message (
      "round %u, %u old, leader %s: accepted after %u ms (0: not), in "
      "force at %u of %u new and %u of all",
      round, mixture->old_count,
      leader < (int)mixture->old_count ? "old" : "new", (unsigned)took_ms,
      present, MEMBERS - mixture->old_count, all);
  return took_ms > 0 && present == MEMBERS - mixture->old_count;
}

/* Two members of the present build recover without the old one. */
static void
test_silent_one_old (void)
{
  struct mixture mixture;
  if (!set_up (&mixture, true))
    return;
  g_assert_cmpuint (push_next (&mixture, ACCEPT_MS), >, 0);
  change_build (&mixture, mixture.old_count++, true);
  for (uint32_t is_old = 0; is_old < 2; is_old++)
    for (uint32_t round = 0; round < SILENT_ROUNDS; round++)
      {
        elect (&mixture, is_old);
        g_assert_true (play_silence (&mixture, round));
        /* The old member may need a restart. */
        restart (mixture.rig, 0);
        g_assert_true (control_rig_wait_voter (mixture.rig, 0, TIMEOUT_MS));
      }
  tear_down (&mixture);
}

/* Two members of the former build don't hear each other until they restart;
   the upgrade of one of them ends it. */
static void
test_silent_two_old (void)
{
  struct mixture mixture;
  if (!set_up (&mixture, true))
    return;
  g_assert_cmpuint (push_next (&mixture, ACCEPT_MS), >, 0);
  for (uint32_t is_old = 0; is_old < 2; is_old++)
    {
      while (mixture.old_count < 2)
        change_build (&mixture, mixture.old_count++, true);
      elect (&mixture, is_old);
      play_silence (&mixture, is_old);
      change_build (&mixture, --mixture.old_count, false);
      g_assert_cmpuint (push_next (&mixture, ACCEPT_MS), >, 0);
      g_assert_cmpuint (count_in_force (&mixture, mixture.old_count,
                                        now_ms () + IN_FORCE_MS),
                        ==, MEMBERS - mixture.old_count);
      restart (mixture.rig, 0);
      g_assert_true (control_rig_wait_voter (mixture.rig, 0, TIMEOUT_MS));
    }
  tear_down (&mixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/control-mixed/members", test_mixed_members);
  g_test_add_func ("/control-mixed/silent-one-old", test_silent_one_old);
  g_test_add_func ("/control-mixed/silent-two-old", test_silent_two_old);
  return g_test_run ();
}
