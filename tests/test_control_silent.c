/** @file
 *  Tests of control members as processes whose open connections to each other
 *  go silent: bytes are taken and never arrive, nothing is reset, and new
 *  connections work. */

#include <stdlib.h>

#include <glib.h>

#include "base_clock.h"
#include "base_random.h"
#include "control_rig.h"
#include "link_relay.h"

#define MEMBERS 3
#define ROUNDS 3
#define SILENCES_MAX 3
#define SILENCE_PAUSE_MAX_MS 1500
/* Time within which a change must be accepted, and within which it must be in
   force at all members, from the last fault on. */
#define ACCEPT_MS 6000
#define IN_FORCE_MS 7000
#define RESTART_MAX_MS 500
#define POLL_US 20000
/* Time within which a member that lost its folder votes again. */
#define RECOVER_MS 15000
/* A snapshot of several pieces, the part that is sent before the silence, and
   the delay of the links meanwhile. */
#define LARGE_ACCOUNTS 40000
#define SNAPSHOT_TOP_UPS 60
#define SNAPSHOT_PART_BYTES 700000
#define DELAY_MS 60
#define FIRST_SEED 1
#define SEEDS 2

/* What goes silent in a round. */
struct silence
{
  enum link_sides sides;
  uint32_t percent;
  /* Most silences in a row. */
  uint32_t times_max;
  /* After each silence a member is killed and started again. */
  bool with_restarts;
};

struct fixture
{
  struct link_relay *relay;
  struct control_rig *rig;
  struct base_random random;
  uint64_t version;
};

static uint64_t
now_ms (void)
{
  return base_clock_now_ms (base_clock_system ());
}

static uint32_t
setting (const char *name, uint32_t value)
{
  const char *text = g_getenv (name);
  return text ? (uint32_t)strtoul (text, NULL, 10) : value;
}

static void
set_up (struct fixture *fixture, uint64_t seed)
{
  static const char *const arguments[] = { "--election-ms",
                                           "600",
                                           "--heartbeat-ms",
                                           "100",
                                           "--snapshot-entries",
                                           "20",
                                           NULL };
  fixture->relay = link_relay_create ();
  fixture->rig
      = control_rig_create_linked (MEMBERS, arguments, fixture->relay);
  g_assert_nonnull (fixture->rig);
  fixture->version = 0;
  base_random_seed (&fixture->random, seed);
}

static void
tear_down (struct fixture *fixture)
{
  control_rig_destroy (fixture->rig);
  link_relay_destroy (fixture->relay);
}

/* Pushes the next version; returns whether it is accepted by @p end_ms. */
static bool
push_until (struct fixture *fixture, uint64_t end_ms)
{
  int status;
  fixture->version++;
  do
    status = control_rig_push (fixture->rig, fixture->version, 1,
                               (uint32_t)fixture->version);
  while (status != CONTROL_OK && now_ms () < end_ms);
  return status == CONTROL_OK && now_ms () <= end_ms;
}

static bool
is_in_force (struct fixture *fixture, uint32_t member)
{
  struct control_status_result result = { 0 };
  bool in_force = control_rig_status (fixture->rig, member, &result)
                  && result.bundle_version >= fixture->version;
  xdr_free ((xdrproc_t)xdr_control_status_result, (char *)&result);
  return in_force;
}

static bool
wait_in_force (struct fixture *fixture, uint64_t end_ms)
{
  uint32_t held;
  do
    {
      held = 0;
      for (uint32_t i = 0; i < MEMBERS; i++)
        held += is_in_force (fixture, i);
      if (held < MEMBERS)
        g_usleep (POLL_US);
    }
  while (held < MEMBERS && now_ms () < end_ms);
  return held == MEMBERS;
}

/* Kills a member, and starts it again after a drawn time. */
static void
restart_one (struct fixture *fixture)
{
  uint32_t member = (uint32_t)base_random_below (&fixture->random, MEMBERS);
  fleet_process_kill (fixture->rig->members[member]);
  g_usleep (1000 * base_random_below (&fixture->random, RESTART_MAX_MS));
  g_assert_cmpint (fleet_process_start (fixture->rig->members[member]), ==, 0);
}

static void
silence (struct fixture *fixture, const struct silence *kind)
{
  uint32_t times
      = 1 + (uint32_t)base_random_below (&fixture->random, kind->times_max);
  for (uint32_t i = 0; i < times; i++)
    {
      if (i > 0)
        g_usleep (
            1000 * base_random_below (&fixture->random, SILENCE_PAUSE_MAX_MS));
      link_relay_silence (fixture->relay, kind->sides, kind->percent,
                          &fixture->random);
      if (kind->with_restarts)
        restart_one (fixture);
    }
}

/* Plays one round; returns whether a change was accepted and in force in
   time. */
static bool
play_round (struct fixture *fixture, const struct silence *kind)
{
  silence (fixture, kind);
  uint64_t silent_ms = now_ms ();
  bool accepted = push_until (fixture, silent_ms + ACCEPT_MS);
  uint64_t took_ms = now_ms () - silent_ms;
  bool in_force = wait_in_force (fixture, silent_ms + IN_FORCE_MS);
  g_test_message ("accepted %d after %u ms, in force %d", (int)accepted,
                  (unsigned)took_ms, (int)in_force);
  return accepted && in_force;
}

static void
play (const struct silence *kind)
{
  uint32_t first = setting ("SILENT_SEED", FIRST_SEED);
  uint32_t seeds = setting ("SILENT_SEEDS", SEEDS);
  for (uint32_t seed = first; seed < first + seeds; seed++)
    {
      struct fixture fixture;
      bool works = true;
      set_up (&fixture, seed);
      g_assert_true (push_until (&fixture, now_ms () + ACCEPT_MS));
      for (uint32_t round = 0; works && round < ROUNDS; round++)
        works = play_round (&fixture, kind);
      tear_down (&fixture);
      if (!works)
        {
          g_test_fail_printf ("no change in time, seed %u", seed);
          return;
        }
    }
}

/* Guards against members that post messages into silent connections for
   ever. */
static void
test_all_connections (void)
{
  static const struct silence kind
      = { .sides = LINK_BOTH, .percent = 100, .times_max = 1 };
  play (&kind);
}

static void
test_half_of_the_connections (void)
{
  static const struct silence kind
      = { .sides = LINK_BOTH, .percent = 50, .times_max = SILENCES_MAX };
  play (&kind);
}

static void
test_one_direction (void)
{
  static const struct silence kind
      = { .sides = LINK_EITHER, .percent = 100, .times_max = SILENCES_MAX };
  play (&kind);
}

static void
test_beside_restarts (void)
{
  static const struct silence kind = { .sides = LINK_EITHER,
                                       .percent = 70,
                                       .times_max = SILENCES_MAX,
                                       .with_restarts = true };
  play (&kind);
}

/* Pushes a version with many accounts, which a snapshot then holds. */
static void
push_large (struct fixture *fixture)
{
  fixture->version++;
  g_assert_cmpint (
      control_rig_push (fixture->rig, fixture->version, LARGE_ACCOUNTS, 0), ==,
      CONTROL_OK);
  for (uint32_t i = 0; i < SNAPSHOT_TOP_UPS; i++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "t%u", i);
      g_assert_cmpuint (
          control_rig_top_up (fixture->rig, id, "account-00000", 10), >, 0);
    }
}

/* Guards against a member that never comes back since each piece of a snapshot
   that is sent again puts off the end of its silent connection. */
static void
test_during_a_snapshot (void)
{
  struct fixture fixture;
  set_up (&fixture, FIRST_SEED);
  struct control_rig *rig = fixture.rig;
  push_large (&fixture);
  int leader = control_rig_leader (rig, ACCEPT_MS);
  g_assert_cmpint (leader, >=, 0);
  uint32_t member = ((uint32_t)leader + 1) % MEMBERS;
  fleet_process_kill (rig->members[member]);
  control_rig_wipe (rig, member);
  uint64_t end_bytes
      = link_relay_forwarded_bytes (fixture.relay) + SNAPSHOT_PART_BYTES;
  link_relay_set_delay (fixture.relay, DELAY_MS);
  g_assert_cmpint (fleet_process_start (rig->members[member]), ==, 0);
  uint64_t end_ms = now_ms () + RECOVER_MS;
  while (link_relay_forwarded_bytes (fixture.relay) < end_bytes
         && now_ms () < end_ms)
    g_usleep (1000);
  link_relay_silence_port (fixture.relay, LINK_BOTH, rig->ports[member]);
  g_assert_true (push_until (&fixture, now_ms () + ACCEPT_MS));
  g_assert_true (control_rig_wait_voter (rig, member, RECOVER_MS));
  tear_down (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/control-silent/all-connections", test_all_connections);
  g_test_add_func ("/control-silent/half-of-the-connections",
                   test_half_of_the_connections);
  g_test_add_func ("/control-silent/one-direction", test_one_direction);
  g_test_add_func ("/control-silent/beside-restarts", test_beside_restarts);
  g_test_add_func ("/control-silent/during-a-snapshot",
                   test_during_a_snapshot);
  return g_test_run ();
}
