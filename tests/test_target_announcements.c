/** @file
 *  Tests of the target records of control members, made from announcements,
 *  and of those of routers, merged from the reports of the members.  Late
 *  announcements and reports of earlier incarnations must not make a target
 *  available again. */

#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <glib/gstdio.h>

#include "control_targets.h"
#include "control_targets_store.h"
#include "edge_targets.h"

/* Timeout of announcements. */
#define SILENT_MS 3000

/* Makes a record of incarnation @p born_ms; its strings are literals. */
static struct control_target
record (const char *name, uint64_t born_ms, uint64_t sequence,
        enum control_target_state state)
{
  struct control_target target = { 0 };
  target.name = (char *)(uintptr_t)name;
  target.born_ms = born_ms;
  target.sequence = sequence;
  target.service = (char *)"s";
  target.address = (char *)"10.0.0.1";
  target.port = 80;
  target.availability_zone = (char *)"z";
  target.slots = 4;
  target.state = state;
  return target;
}

/* Number of targets that changed after change number @p change. */
static uint32_t
changed_since (struct control_targets *targets, uint64_t change)
{
  struct control_target *list = NULL;
  uint32_t count = control_targets_changed_since (targets, change, &list);
  for (uint32_t i = 0; i < count; i++)
    xdr_free ((xdrproc_t)xdr_control_target, (char *)&list[i]);
  free (list);
  return count;
}

/* A further announcement without a difference is no change; becoming silent
   is one. */
static void
test_repeat_is_no_change (void)
{
  struct control_targets *targets = control_targets_create (SILENT_MS);
  struct control_target target = record ("a", 5, 1, CONTROL_TARGET_READY);
  g_assert_true (control_targets_announce (targets, &target, 1000));
  uint64_t change = control_targets_newest_change (targets);
  target.sequence = 2;
  g_assert_true (control_targets_announce (targets, &target, 2000));
  g_assert_cmpuint (changed_since (targets, change), ==, 0);
  control_targets_expire (targets, 4999);
  g_assert_cmpuint (changed_since (targets, change), ==, 0);
  control_targets_expire (targets, 5000);
  g_assert_cmpuint (changed_since (targets, change), ==, 1);
  control_targets_destroy (targets);
}

/* An announcement is refused when a later one, or one of a later incarnation,
   was received before it, or when its incarnation was marked as gone. */
static void
test_late_announcements (void)
{
  struct control_targets *targets = control_targets_create (SILENT_MS);
  struct control_target ready = record ("a", 5, 3, CONTROL_TARGET_READY);
  struct control_target leaving = record ("a", 5, 4, CONTROL_TARGET_LEAVING);
  struct control_target again = record ("a", 5, 5, CONTROL_TARGET_READY);
  struct control_target restarted = record ("a", 6, 1, CONTROL_TARGET_READY);
  g_assert_true (control_targets_announce (targets, &leaving, 1000));
  g_assert_false (control_targets_announce (targets, &ready, 1001));
  /* An incarnation that is leaving stays so. */
  g_assert_true (control_targets_announce (targets, &again, 1002));
  struct control_target *list = NULL;
  g_assert_cmpuint (control_targets_changed_since (targets, 0, &list), ==, 1);
  g_assert_cmpint (list[0].state, ==, CONTROL_TARGET_LEAVING);
  xdr_free ((xdrproc_t)xdr_control_target, (char *)&list[0]);
  free (list);
  g_assert_true (control_targets_announce (targets, &restarted, 1003));
  g_assert_false (control_targets_announce (targets, &again, 1004));
  control_targets_mark_gone (targets, "a", 1005);
  restarted.sequence = 2;
  g_assert_false (control_targets_announce (targets, &restarted, 1006));
  control_targets_destroy (targets);
}

/* State of the only record that routers are told, and its start; false when
   there is none. */
static bool
find_reported (struct control_targets *targets,
               enum control_target_state *state, uint64_t *born_ms)
{
  struct control_target *list = NULL;
  uint32_t count = control_targets_changed_since (targets, 0, &list);
  g_assert_cmpuint (count, <=, 1);
  for (uint32_t i = 0; i < count; i++)
    {
      *state = list[i].state;
      *born_ms = list[i].born_ms;
      xdr_free ((xdrproc_t)xdr_control_target, (char *)&list[i]);
    }
  free (list);
  return count > 0;
}

/* A target that another member hears isn't reported to routers, but its
   sign-off here names its incarnation. */
static void
test_sign_off_of_learned (void)
{
  enum control_target_state state;
  uint64_t born_ms;
  struct control_targets *targets = control_targets_create (SILENT_MS);
  struct control_target target = record ("a", 5, 1, CONTROL_TARGET_READY);
  g_assert_false (control_targets_learn (targets, 1, &target, 1000, 9000));
  g_assert_false (find_reported (targets, &state, &born_ms));
  /* It is known for as long as the other member hears it. */
  control_targets_expire (targets, 1000000);
  control_targets_mark_gone (targets, "a", 1000001);
  g_assert_true (find_reported (targets, &state, &born_ms));
  g_assert_cmpint (state, ==, CONTROL_TARGET_GONE);
  g_assert_cmpuint (born_ms, ==, 5);
  control_targets_destroy (targets);
}

/* A departure that another member was told of holds for a target that this one
   hears, and for one that it has never heard of. */
static void
test_learned_departures (void)
{
  enum control_target_state state;
  uint64_t born_ms;
  struct control_targets *targets = control_targets_create (SILENT_MS);
  struct control_target ready = record ("a", 5, 1, CONTROL_TARGET_READY);
  struct control_target leaving = record ("a", 5, 2, CONTROL_TARGET_LEAVING);
  struct control_target gone = record ("a", 5, 2, CONTROL_TARGET_GONE);
  g_assert_true (control_targets_announce (targets, &ready, 1000));
  g_assert_true (control_targets_learn (targets, 1, &leaving, 1100, 9000));
  ready.sequence = 3;
  g_assert_true (control_targets_announce (targets, &ready, 1200));
  g_assert_true (find_reported (targets, &state, &born_ms));
  g_assert_cmpint (state, ==, CONTROL_TARGET_LEAVING);
  g_assert_true (control_targets_learn (targets, 1, &gone, 1300, 9000));
  g_assert_false (control_targets_learn (targets, 2, &gone, 1300, 9000));
  ready.sequence = 4;
  g_assert_false (control_targets_announce (targets, &ready, 1400));
  control_targets_destroy (targets);

  targets = control_targets_create (SILENT_MS);
  g_assert_true (control_targets_learn (targets, 1, &gone, 1000, 9000));
  g_assert_false (control_targets_announce (targets, &ready, 1100));
  g_assert_true (find_reported (targets, &state, &born_ms));
  g_assert_cmpint (state, ==, CONTROL_TARGET_GONE);
  /* A later run isn't affected. */
  ready.born_ms = 6;
  g_assert_true (control_targets_announce (targets, &ready, 1200));
  g_assert_false (control_targets_learn (targets, 1, &gone, 1300, 9000));
  g_assert_true (find_reported (targets, &state, &born_ms));
  g_assert_cmpint (state, ==, CONTROL_TARGET_READY);
  control_targets_destroy (targets);
}

/* A sign-off of a target that no member had reported yet concerns the run that
   had begun by then. */
static void
test_sign_off_before_learned (void)
{
  enum control_target_state state;
  uint64_t born_ms;
  struct control_target target = record ("a", 5000, 1, CONTROL_TARGET_READY);
  /* At the wall time 8,000 the sign-off is 2,000 old. */
  struct control_targets *targets = control_targets_create (SILENT_MS);
  control_targets_mark_gone (targets, "a", 1000);
  g_assert_true (control_targets_learn (targets, 1, &target, 3000, 8000));
  g_assert_true (find_reported (targets, &state, &born_ms));
  g_assert_cmpint (state, ==, CONTROL_TARGET_GONE);
  g_assert_cmpuint (born_ms, ==, 5000);
  control_targets_destroy (targets);

  targets = control_targets_create (SILENT_MS);
  target.born_ms = 7000;
  control_targets_mark_gone (targets, "a", 1000);
  control_targets_learn (targets, 1, &target, 3000, 8000);
  g_assert_false (find_reported (targets, &state, &born_ms));
  control_targets_destroy (targets);
}

/* A sign-off of a target that the member doesn't know holds at other members,
   for the run that had begun by then only, and after restarts. */
static void
test_sign_off_of_unknown_spreads (void)
{
  enum control_target_state state;
  uint64_t born_ms;
  struct control_target *list = NULL;
  struct control_targets_file file = { 0 };
  struct control_target early = record ("a", 5000, 1, CONTROL_TARGET_READY);
  struct control_target late = record ("a", 7000, 1, CONTROL_TARGET_READY);
  struct control_targets *told = control_targets_create (SILENT_MS);
  control_targets_mark_gone (told, "a", 1000);
  g_assert_cmpuint (control_targets_departure (told, "a"), >, 0);
  /* At the wall time 8,000 the sign-off is 2,000 old. */
  control_targets_expire (told, 3000);
  g_assert_cmpuint (control_targets_changed_since (told, 0, &list), ==, 1);

  struct control_targets *targets = control_targets_create (SILENT_MS);
  control_targets_announce (targets, &early, 2000);
  g_assert_true (control_targets_learn (targets, 1, &list[0], 3000, 8000));
  g_assert_true (find_reported (targets, &state, &born_ms));
  g_assert_cmpint (state, ==, CONTROL_TARGET_GONE);
  g_assert_cmpuint (born_ms, ==, 5000);
  g_assert_false (control_targets_learn (targets, 1, &list[0], 3000, 8000));
  control_targets_destroy (targets);

  targets = control_targets_create (SILENT_MS);
  control_targets_announce (targets, &late, 2000);
  g_assert_false (control_targets_learn (targets, 1, &list[0], 3000, 8000));
  g_assert_cmpuint (control_targets_departure (targets, "a"), ==, 0);
  control_targets_destroy (targets);

  /* Neither the member nor its later process knows the target yet. */
  targets = control_targets_create (SILENT_MS);
  g_assert_true (control_targets_learn (targets, 1, &list[0], 3000, 8000));
  g_assert_cmpuint (control_targets_departure (targets, "a"), >, 0);
  control_targets_save (targets, 8000, &file);
  control_targets_destroy (targets);
  targets = control_targets_create (SILENT_MS);
  control_targets_restore (targets, &file, 100, 8500);
  g_assert_cmpuint (control_targets_departure (targets, "a"), >, 0);
  control_targets_learn (targets, 2, &early, 200, 8600);
  g_assert_true (find_reported (targets, &state, &born_ms));
  g_assert_cmpint (state, ==, CONTROL_TARGET_GONE);
  g_assert_cmpuint (born_ms, ==, 5000);
  control_targets_learn (targets, 2, &late, 300, 8700);
  g_assert_cmpuint (control_targets_departure (targets, "a"), ==, 0);
  control_targets_destroy (targets);
  xdr_free ((xdrproc_t)xdr_control_targets_file, (char *)&file);
  xdr_free ((xdrproc_t)xdr_control_target, (char *)&list[0]);
  free (list);
  control_targets_destroy (told);
}

/* Two members that tell each other of a departure forget it nevertheless. */
static void
test_learned_departure_ends (void)
{
  struct control_targets *members[2] = { control_targets_create (SILENT_MS),
                                         control_targets_create (SILENT_MS) };
  struct control_target gone = record ("a", 5, 2, CONTROL_TARGET_GONE);
  g_assert_true (control_targets_learn (members[0], 2, &gone, 1000, 9000));
  uint64_t known_until_ms = 0;
  for (uint64_t now_ms = 1000; now_ms < 600000; now_ms += 5000)
    for (uint32_t i = 0; i < 2; i++)
      {
        struct control_target *list = NULL;
        control_targets_expire (members[i], now_ms);
        uint32_t count = control_targets_changed_since (members[i], 0, &list);
        for (uint32_t j = 0; j < count; j++)
          {
            known_until_ms = now_ms;
            control_targets_learn (members[1 - i], i, &list[j], now_ms, 9000);
            xdr_free ((xdrproc_t)xdr_control_target, (char *)&list[j]);
          }
        free (list);
      }
  g_assert_cmpuint (known_until_ms, >, 100000);
  g_assert_cmpuint (known_until_ms, <, 130000);
  control_targets_destroy (members[0]);
  control_targets_destroy (members[1]);
}

/* What only an unreachable member hears is forgotten after a while. */
static void
test_forgotten_source (void)
{
  enum control_target_state state;
  uint64_t born_ms = 9;
  struct control_targets *targets = control_targets_create (SILENT_MS);
  struct control_target target = record ("a", 5, 1, CONTROL_TARGET_READY);
  control_targets_learn (targets, 1, &target, 1000, 9000);
  control_targets_forget_source (targets, 1, 2000);
  control_targets_expire (targets, 200000);
  control_targets_mark_gone (targets, "a", 200001);
  g_assert_true (find_reported (targets, &state, &born_ms));
  g_assert_cmpuint (born_ms, ==, 0);
  control_targets_destroy (targets);
}

/* A member that starts knows the targets and departures that its former
   process reported, for as long as that would have known them. */
static void
test_restored (void)
{
  enum control_target_state state;
  uint64_t born_ms;
  struct control_targets_file file = { 0 };
  struct control_target gone = record ("a", 5, 2, CONTROL_TARGET_GONE);
  struct control_target ready = record ("a", 5, 3, CONTROL_TARGET_READY);
  struct control_targets *targets = control_targets_create (SILENT_MS);
  control_targets_learn (targets, 1, &gone, 1000, 9000);
  control_targets_save (targets, 50000, &file);
  control_targets_destroy (targets);

  targets = control_targets_create (SILENT_MS);
  control_targets_restore (targets, &file, 700, 60000);
  g_assert_true (find_reported (targets, &state, &born_ms));
  g_assert_cmpint (state, ==, CONTROL_TARGET_GONE);
  g_assert_false (control_targets_announce (targets, &ready, 800));
  control_targets_expire (targets, 700 + 111000);
  g_assert_false (find_reported (targets, &state, &born_ms));
  control_targets_destroy (targets);

  targets = control_targets_create (SILENT_MS);
  control_targets_restore (targets, &file, 700, 50000 + 121000);
  g_assert_false (find_reported (targets, &state, &born_ms));
  control_targets_destroy (targets);
  xdr_free ((xdrproc_t)xdr_control_targets_file, (char *)&file);
}

/* Opens the folder's targets and returns the number that is reported; a target
   is added when @p name isn't NULL. */
static uint32_t
reopen (const char *folder, const char *name)
{
  GMutex mutex;
  struct control_targets *targets = control_targets_create (SILENT_MS);
  g_mutex_init (&mutex);
  struct control_targets_store *store
      = control_targets_store_create (folder, &mutex, targets);
  if (name)
    {
      struct control_target target = record (name, 5, 1, CONTROL_TARGET_READY);
      g_mutex_lock (&mutex);
      control_targets_announce (targets, &target,
                                (uint64_t)g_get_monotonic_time () / 1000);
      g_mutex_unlock (&mutex);
    }
  control_targets_store_destroy (store);
  uint32_t count = changed_since (targets, 0);
  control_targets_destroy (targets);
  g_mutex_clear (&mutex);
  return count;
}

/* A file of targets that is damaged or torn is ignored. */
static void
test_damaged_file (void)
{
  char *folder = g_dir_make_tmp ("targets-XXXXXX", NULL);
  char *path = g_build_filename (folder, "targets", NULL);
  char *data = NULL;
  gsize bytes = 0;
  g_assert_cmpuint (reopen (folder, "a"), ==, 1);
  g_assert_cmpuint (reopen (folder, "b"), ==, 2);
  g_assert_cmpuint (reopen (folder, NULL), ==, 2);
  g_assert_true (g_file_get_contents (path, &data, &bytes, NULL));
  for (gsize at = 0; at < bytes; at += 7)
    {
      data[at] ^= 1;
      g_assert_true (g_file_set_contents (path, data, (gssize)bytes, NULL));
      g_assert_cmpuint (reopen (folder, NULL), ==, 0);
      data[at] ^= 1;
      g_assert_true (g_file_set_contents (path, data, (gssize)at, NULL));
      g_assert_cmpuint (reopen (folder, NULL), ==, 0);
    }
  g_free (data);
  g_unlink (path);
  g_rmdir (folder);
  g_free (path);
  g_free (folder);
}

/* Equal reports of two members are one target; a leaving target gets no new
   work, whatever the other member reports. */
static void
test_router_merges_reports (void)
{
  struct edge_targets *targets = edge_targets_create ();
  struct control_target target = record ("a", 5, 1, CONTROL_TARGET_READY);
  g_assert_true (edge_targets_merge (targets, 0, &target, 1000));
  g_assert_false (edge_targets_merge (targets, 1, &target, 1000));
  g_assert_cmpuint (edge_targets_count (targets, "s"), ==, 1);
  target.sequence = 2;
  target.state = CONTROL_TARGET_LEAVING;
  g_assert_true (edge_targets_merge (targets, 0, &target, 1100));
  g_assert_cmpuint (edge_targets_count (targets, "s"), ==, 0);
  /* A report of the other member that it is ready does not undo that. */
  target.sequence = 9;
  target.state = CONTROL_TARGET_READY;
  edge_targets_merge (targets, 1, &target, 1200);
  g_assert_cmpuint (edge_targets_count (targets, "s"), ==, 0);
  edge_targets_destroy (targets);
}

/* A target reported as gone without its incarnation is unavailable until a
   later incarnation is reported. */
static void
test_gone_without_incarnation (void)
{
  struct edge_targets *targets = edge_targets_create ();
  struct control_target target = record ("a", 5, 1, CONTROL_TARGET_READY);
  struct control_target gone = record ("a", 0, 0, CONTROL_TARGET_GONE);
  gone.service = (char *)"";
  edge_targets_merge (targets, 0, &target, 1000);
  g_assert_true (edge_targets_merge (targets, 1, &gone, 1000));
  g_assert_cmpuint (edge_targets_count (targets, "s"), ==, 0);
  target.born_ms = 6;
  edge_targets_merge (targets, 0, &target, 1100);
  g_assert_cmpuint (edge_targets_count (targets, "s"), ==, 1);
  edge_targets_destroy (targets);
}

/* Of two incarnations at one address, only the later one is available. */
static void
test_one_incarnation_per_address (void)
{
  struct edge_targets *targets = edge_targets_create ();
  struct control_target earlier = record ("a", 5, 1, CONTROL_TARGET_READY);
  struct control_target later = record ("b", 6, 1, CONTROL_TARGET_READY);
  edge_targets_merge (targets, 0, &later, 1000);
  /* The report of the earlier incarnation comes late. */
  edge_targets_merge (targets, 0, &earlier, 1001);
  g_assert_cmpuint (edge_targets_count (targets, "s"), ==, 1);
  edge_targets_destroy (targets);
}

static void
find_only (void *context, struct edge_target *target)
{
  *(struct edge_target **)context = target;
}

/* Once no source that received a target's heartbeats is left, the target is
   silent after a while, until another source reports it. */
static void
test_silence (void)
{
  struct edge_target *found = NULL;
  struct edge_targets *targets = edge_targets_create ();
  struct control_target target = record ("a", 5, 1, CONTROL_TARGET_READY);
  edge_targets_merge (targets, 0, &target, 1000);
  edge_targets_visit (targets, "s", find_only, &found);
  g_assert_false (edge_target_is_silent (found, 1000000));
  edge_targets_forget_source (targets, 0, 2000);
  g_assert_false (edge_target_is_silent (found, 2100));
  g_assert_true (edge_target_is_silent (found, 9000));
  edge_targets_merge (targets, 1, &target, 9100);
  g_assert_false (edge_target_is_silent (found, 1000000));
  edge_targets_destroy (targets);
}

/* Time for which a router told of all changes takes the target for cold. */
static uint64_t
cold_left_of (struct control_targets *control, struct edge_targets *targets,
              uint64_t change, uint64_t now_ms)
{
  struct control_target *list = NULL;
  uint32_t count = control_targets_changed_since (control, change, &list);
  for (uint32_t i = 0; i < count; i++)
    {
      edge_targets_merge (targets, 0, &list[i], now_ms);
      xdr_free ((xdrproc_t)xdr_control_target, (char *)&list[i]);
    }
  free (list);
  return edge_target_cold_left_ms (edge_targets_find (targets, "a"), now_ms);
}

/* Routers are told when a target that was warm is cold, and when it is warm
   before its time; not of announcements that say the same. */
static void
test_cold_target (void)
{
  struct control_targets *control = control_targets_create (SILENT_MS);
  struct edge_targets *early = edge_targets_create ();
  struct edge_targets *late = edge_targets_create ();
  struct control_target target = record ("a", 5, 1, CONTROL_TARGET_READY);
  target.software_version = (char *)(uintptr_t) "";
  target.cold_left_ms = 3000;
  control_targets_announce (control, &target, 1000);
  g_assert_cmpuint (cold_left_of (control, early, 0, 1000), ==, 3000);
  uint64_t change = control_targets_newest_change (control);
  target.sequence = 2;
  target.cold_left_ms = 2000;
  control_targets_announce (control, &target, 2010);
  g_assert_cmpuint (control_targets_newest_change (control), ==, change);
  /* A router that learns of the target later knows what is left. */
  control_targets_expire (control, 2500);
  g_assert_cmpuint (cold_left_of (control, late, 0, 2500), ==, 1510);
  g_assert_cmpuint (cold_left_of (control, early, change, 2500), ==, 1500);
  target.sequence = 3;
  target.cold_left_ms = 0;
  control_targets_announce (control, &target, 2600);
  g_assert_cmpuint (cold_left_of (control, early, change, 2600), ==, 0);
  change = control_targets_newest_change (control);
  target.sequence = 4;
  target.cold_left_ms = 4000;
  control_targets_announce (control, &target, 3000);
  g_assert_cmpuint (cold_left_of (control, early, change, 3000), ==, 4000);
  /* What a response says counts until its own time is over. */
  edge_target_note_cold (edge_targets_find (early, "a"), 6000, 3000);
  g_assert_cmpuint (cold_left_of (control, early, change, 3000), ==, 6000);
  g_assert_cmpuint (
      edge_target_cold_left_ms (edge_targets_find (early, "a"), 9000), ==, 0);
  edge_targets_destroy (early);
  edge_targets_destroy (late);
  control_targets_destroy (control);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/target-announcements/repeat-is-no-change",
                   test_repeat_is_no_change);
  g_test_add_func ("/target-announcements/late-announcements",
                   test_late_announcements);
  g_test_add_func ("/target-announcements/sign-off-of-learned",
                   test_sign_off_of_learned);
  g_test_add_func ("/target-announcements/learned-departures",
                   test_learned_departures);
  g_test_add_func ("/target-announcements/sign-off-before-learned",
                   test_sign_off_before_learned);
  g_test_add_func ("/target-announcements/sign-off-of-unknown-spreads",
                   test_sign_off_of_unknown_spreads);
  g_test_add_func ("/target-announcements/learned-departure-ends",
                   test_learned_departure_ends);
  g_test_add_func ("/target-announcements/forgotten-source",
                   test_forgotten_source);
  g_test_add_func ("/target-announcements/restored", test_restored);
  g_test_add_func ("/target-announcements/damaged-file", test_damaged_file);
  g_test_add_func ("/target-announcements/router-merges-reports",
                   test_router_merges_reports);
  g_test_add_func ("/target-announcements/gone-without-incarnation",
                   test_gone_without_incarnation);
  g_test_add_func ("/target-announcements/one-incarnation-per-address",
                   test_one_incarnation_per_address);
  g_test_add_func ("/target-announcements/silence", test_silence);
  g_test_add_func ("/target-announcements/cold-target", test_cold_target);
  return g_test_run ();
}
