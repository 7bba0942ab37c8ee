/** @file
 *  Tests of the file of targets of a control member: departures that somebody
 *  waited for outlive the end of the process and losses of power, and one
 *  write serves all that wait.  POWER_SEEDS sets the number of random
 *  histories, POWER_SEED the first one. */

#include <glib.h>

#include "control_targets_store.h"
#include "lossy_disk.h"
#include "tool_folder.h"

#define SILENT_MS 3000
#define WAIT_MS 2000
#define SEEDS 20
#define LIVES 6
#define STEPS 12
#define NAMES 30
#define SYNCS_MAX 8
/* Targets that leave at once, and the most writes for all of them: one that
   begins before the last one leaves, and one more. */
#define LEAVING_AT_ONCE 40
#define SYNCS_A_WRITE 2
#define WRITES_AT_ONCE 2

/* A control member's targets and their file. */
struct member
{
  char *folder;
  GMutex mutex;
  struct control_targets *targets;
  struct control_targets_store *store;
};

static uint64_t
now_ms (void)
{
  return (uint64_t)g_get_monotonic_time () / 1000;
}

static uint64_t
environment (const char *name, uint64_t otherwise)
{
  const char *text = g_getenv (name);
  return text ? g_ascii_strtoull (text, NULL, 10) : otherwise;
}

static void
start (struct member *member)
{
  g_mutex_init (&member->mutex);
  member->targets = control_targets_create (SILENT_MS);
  member->store = control_targets_store_create (member->folder, &member->mutex,
                                                member->targets);
}

static void
end (struct member *member)
{
  control_targets_store_destroy (member->store);
  control_targets_destroy (member->targets);
  g_mutex_clear (&member->mutex);
}

/* Announces a target, or lets it leave.  Returns the change number of its
   departure, or 0. */
static uint64_t
announce (struct member *member, uint32_t number,
          enum control_target_state state, uint64_t sequence)
{
  char *name = g_strdup_printf ("t%u", number);
  struct control_target target
      = { .name = name,
          .born_ms = 5,
          .sequence = sequence,
          .service = (char *)(uintptr_t) "s",
          .address = (char *)(uintptr_t) "10.0.0.1",
          .port = 80,
          .availability_zone = (char *)(uintptr_t) "z",
          .slots = 4,
          .state = state,
          .software_version = (char *)(uintptr_t) "v" };
  g_mutex_lock (&member->mutex);
  if (state == CONTROL_TARGET_GONE)
    control_targets_mark_gone (member->targets, name, now_ms ());
  else
    control_targets_announce (member->targets, &target, now_ms ());
  uint64_t departure = control_targets_departure (member->targets, name);
  g_mutex_unlock (&member->mutex);
  g_free (name);
  return departure;
}

/* Whether the member knows that the target is leaving or gone. */
static bool
has_left (struct member *member, uint32_t number)
{
  char *name = g_strdup_printf ("t%u", number);
  g_mutex_lock (&member->mutex);
  bool left = control_targets_departure (member->targets, name) != 0;
  g_mutex_unlock (&member->mutex);
  g_free (name);
  return left;
}

/* Lets targets announce themselves and leave, on a disk that may fail, and
   notes whose departure was stored. */
static void
live (struct member *member, struct base_random *random, bool *stored)
{
  static const enum control_target_state states[]
      = { CONTROL_TARGET_READY, CONTROL_TARGET_LEAVING, CONTROL_TARGET_GONE };
  for (uint32_t step = 0; step < STEPS; step++)
    {
      uint32_t number = (uint32_t)base_random_below (random, NAMES);
      enum control_target_state state
          = states[base_random_below (random, G_N_ELEMENTS (states))];
      lossy_disk_allow (base_random_below (random, 3) == 0
                            ? base_random_below (random, SYNCS_MAX)
                            : UINT64_MAX);
      /* A departure concerns the run that is known. */
      announce (member, number, CONTROL_TARGET_READY, 1);
      uint64_t departure = announce (member, number, state, step + 2);
      if (departure != 0
          && control_targets_store_wait (member->store, departure, WAIT_MS))
        stored[number] = true;
    }
}

/* Guards against a departure that was waited for and is forgotten when the
   process is killed or its host loses power. */
static void
test_power (void)
{
  uint64_t first = environment ("POWER_SEED", 1);
  uint64_t count = environment ("POWER_SEEDS", SEEDS);
  uint32_t stored_count = 0;
  for (uint64_t seed = first; seed < first + count; seed++)
    {
      struct base_random random;
      struct member member
          = { .folder = g_dir_make_tmp ("targets-XXXXXX", NULL) };
      bool stored[NAMES] = { false };
      base_random_seed (&random, seed);
      for (uint32_t life = 0; life < LIVES; life++)
        {
          lossy_disk_allow (UINT64_MAX);
          start (&member);
          for (uint32_t i = 0; i < NAMES; i++)
            if (stored[i] && !has_left (&member, i))
              g_error ("seed %u, life %u: the departure of t%u is forgotten",
                       (unsigned)seed, life, i);
          live (&member, &random, stored);
          /* The last write, with which a process that ends saves its targets,
             does not take place. */
          lossy_disk_allow (0);
          end (&member);
          if (base_random_below (&random, 2) == 0)
            lossy_disk_lose_power (member.folder, &random);
        }
      for (uint32_t i = 0; i < NAMES; i++)
        stored_count += stored[i];
      lossy_disk_allow (UINT64_MAX);
      tool_folder_remove (member.folder);
    }
  g_assert_cmpuint (stored_count, >, 0);
}

/* A departure, which a thread of its own waits for. */
struct leaving
{
  struct member *member;
  uint64_t departure;
  bool stored;
};

static gpointer
wait_stored (gpointer data)
{
  struct leaving *leaving = data;
  leaving->stored = control_targets_store_wait (leaving->member->store,
                                                leaving->departure, WAIT_MS);
  return NULL;
}

/* Guards against a sync for each target of those that leave at once. */
static void
test_shared_writes (void)
{
  struct leaving leaving[LEAVING_AT_ONCE];
  GThread *threads[LEAVING_AT_ONCE];
  struct member member = { .folder = g_dir_make_tmp ("targets-XXXXXX", NULL) };
  lossy_disk_allow (UINT64_MAX);
  start (&member);
  for (uint32_t i = 0; i < LEAVING_AT_ONCE; i++)
    announce (&member, i, CONTROL_TARGET_READY, 1);
  g_assert_true (control_targets_store_wait (
      member.store, control_targets_newest_change (member.targets), WAIT_MS));
  lossy_disk_allow (SYNCS_A_WRITE * WRITES_AT_ONCE);
  for (uint32_t i = 0; i < LEAVING_AT_ONCE; i++)
    {
      leaving[i].member = &member;
      leaving[i].departure = announce (&member, i, CONTROL_TARGET_GONE, 0);
    }
  for (uint32_t i = 0; i < LEAVING_AT_ONCE; i++)
    threads[i] = g_thread_new ("leaving", wait_stored, &leaving[i]);
  for (uint32_t i = 0; i < LEAVING_AT_ONCE; i++)
    {
      g_thread_join (threads[i]);
      g_assert_true (leaving[i].stored);
    }
  lossy_disk_allow (UINT64_MAX);
  end (&member);
  tool_folder_remove (member.folder);
}

/* Guards against a departure that counts as stored though its write failed. */
static void
test_failed_write (void)
{
  struct member member = { .folder = g_dir_make_tmp ("targets-XXXXXX", NULL) };
  lossy_disk_allow (UINT64_MAX);
  start (&member);
  lossy_disk_allow (0);
  uint64_t departure = announce (&member, 1, CONTROL_TARGET_GONE, 0);
  g_assert_false (
      control_targets_store_wait (member.store, departure, WAIT_MS));
  lossy_disk_allow (UINT64_MAX);
  g_assert_true (
      control_targets_store_wait (member.store, departure, WAIT_MS));
  end (&member);
  tool_folder_remove (member.folder);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/control-targets-store/power", test_power);
  g_test_add_func ("/control-targets-store/shared-writes", test_shared_writes);
  g_test_add_func ("/control-targets-store/failed-write", test_failed_write);
  return g_test_run ();
}
