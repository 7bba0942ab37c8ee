/** @file
 *  Tests of control_store: a member's log after damage. */

#include <string.h>

#include <glib.h>

#include "control_store.h"
#include "tool_folder.h"

#define ELECTION_MS 100

/* The only member of a replicated log, and its store. */
struct member
{
  struct consensus *consensus;
  struct control_store *store;
};

static void
start (struct member *member, const char *folder)
{
  struct base_findings *findings = base_findings_create ();
  struct consensus_member self
      = { .id = 1, .role = CONSENSUS_VOTER, .port = 1 };
  struct consensus_options options = { .member_id = 1,
                                       .incarnation = 7,
                                       .seed = 1,
                                       .election_ms = ELECTION_MS,
                                       .heartbeat_ms = ELECTION_MS / 4 };
  consensus_configuration_add (&options.bootstrap, &self);
  member->consensus = consensus_create (&options);
  member->store = control_store_open (folder, findings);
  g_assert_nonnull (member->store);
  g_assert_cmpint (
      control_store_load (member->store, member->consensus, findings), ==, 0);
  consensus_start (member->consensus, 0);
  base_findings_destroy (findings);
}

static void
stop (struct member *member)
{
  control_store_close (member->store);
  consensus_destroy (member->consensus);
}

static void
run_effects (struct member *member, uint64_t now_ms)
{
  struct consensus_effects *effects = consensus_effects (member->consensus);
  consensus_flush (member->consensus, now_ms);
  g_assert_cmpint (
      control_store_persist (member->store, member->consensus, effects), ==,
      0);
  consensus_mark_persisted (member->consensus, now_ms);
  while (consensus_next_committed (member->consensus))
    ;
  consensus_effects_clear (member->consensus);
}

/* Makes the member the leader and lets it accept @p count entries in one
   write. */
static void
accept_entries (struct member *member, uint32_t count)
{
  uint64_t now_ms = 0;
  while (!consensus_is_leader (member->consensus))
    {
      now_ms += ELECTION_MS;
      g_assert_cmpuint (now_ms, <, 100 * ELECTION_MS);
      consensus_tick (member->consensus, now_ms);
      run_effects (member, now_ms);
    }
  for (uint32_t i = 0; i < count; i++)
    g_assert_cmpuint (consensus_propose (member->consensus, &i, sizeof i), >,
                      0);
  run_effects (member, now_ms);
  g_assert_cmpuint (consensus_applied_index (member->consensus), ==,
                    consensus_last_index (member->consensus));
}

static size_t
log_bytes (const char *folder, char **contents)
{
  gsize bytes;
  char *path = g_build_filename (folder, "log-00000000000000000001", NULL);
  g_assert_true (g_file_get_contents (path, contents, &bytes, NULL));
  g_free (path);
  return bytes;
}

/* Flips a bit of the byte at @p offset of the log. */
static void
damage (const char *folder, size_t offset)
{
  char *contents;
  size_t bytes = log_bytes (folder, &contents);
  char *path = g_build_filename (folder, "log-00000000000000000001", NULL);
  contents[offset] ^= 1;
  g_assert_true (g_file_set_contents (path, contents, (gssize)bytes, NULL));
  g_free (contents);
  g_free (path);
}

/* Guards against accepted entries that are lost at a restart, because their
   records got numbers that the snapshot covers: the last record that it covers
   was damaged and cut off. */
static void
test_cut_behind_snapshot (void)
{
  struct member member;
  char *contents;
  char *folder = g_dir_make_tmp ("cactus-XXXXXX", NULL);
  start (&member, folder);
  accept_entries (&member, 0);
  size_t start_of_write = log_bytes (folder, &contents);
  g_free (contents);
  accept_entries (&member, 5);
  consensus_compact (member.consensus, "state", 5);
  g_assert_cmpint (control_store_compact (member.store, member.consensus), ==,
                   0);
  stop (&member);
  damage (folder, start_of_write);
  for (uint32_t i = 0; i < 3; i++)
    {
      start (&member, folder);
      accept_entries (&member, 1);
      uint64_t last = consensus_last_index (member.consensus);
      uint64_t term = consensus_term (member.consensus);
      stop (&member);
      start (&member, folder);
      g_assert_cmpuint (consensus_last_index (member.consensus), ==, last);
      g_assert_cmpuint (consensus_term (member.consensus), ==, term);
      stop (&member);
    }
  tool_folder_remove (folder);
  g_free (folder);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/control-store/cut-behind-snapshot",
                   test_cut_behind_snapshot);
  return g_test_run ();
}
