/** @file
 *  Tests of data folders that builds read of each other.  With CACTUS_GOLDEN=
 *  write, the programs in the folder OLD_BIN write the golden folder anew. */

#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <glib/gstdio.h>

#include "control_rig.h"
#include "control_store.h"
#include "test_old_disk.h"
#include "tool_folder.h"

#define MEMBERS 3
#define TIMEOUT_MS 20000
/* What tests/golden/control-disk holds: a member's folder that programs of
   728f5f8 wrote. */
#define GOLDEN_FOLDER "control-disk"
#define GOLDEN_VERSIONS 50
#define GOLDEN_RESTART_EACH 16
#define GOLDEN_TOKENS 125
#define GOLDEN_DOCUMENT 7
/* Its term, last entry, and the last entry in its snapshot; its log has all
   entries. */
#define GOLDEN_TERM 5
#define GOLDEN_LAST 58
#define GOLDEN_BASE 45

static const char *const snapshot_arguments[]
    = { "--snapshot-entries", "40", NULL };

static char *
member_folder (const struct control_rig *rig, uint32_t member)
{
  return g_strdup_printf ("%s/data-%u", rig->folder, member + 1);
}

static void
copy_folder (const char *from, const char *to)
{
  const char *name;
  GDir *listing = g_dir_open (from, 0, NULL);
  g_assert_nonnull (listing);
  g_mkdir_with_parents (to, 0700);
  while ((name = g_dir_read_name (listing)))
    {
      char *data = NULL;
      gsize bytes = 0;
      char *source = g_build_filename (from, name, NULL);
      char *target = g_build_filename (to, name, NULL);
      g_assert_true (g_file_get_contents (source, &data, &bytes, NULL));
      g_assert_true (g_file_set_contents (target, data, (gssize)bytes, NULL));
      g_free (data);
      g_free (source);
      g_free (target);
    }
  g_dir_close (listing);
}

static void
restart (struct control_rig *rig, uint32_t member)
{
  fleet_process_kill (rig->members[member]);
  g_assert_true (control_rig_start (rig, member));
}

/* Pushes the versions from @p from to @p to, and restarts a member after some
   of them. */
static void
push_with_restarts (struct control_rig *rig, uint64_t from, uint64_t to)
{
  for (uint64_t version = from; version <= to; version++)
    {
      g_assert_cmpint (control_rig_push (rig, version, 3, (uint32_t)version),
                       ==, CONTROL_OK);
      if (version % GOLDEN_RESTART_EACH == 0)
        restart (rig, (uint32_t)(version / GOLDEN_RESTART_EACH) % rig->count);
    }
}

/* Stores a configuration document; returns whether it is held then. */
static bool
store_document (struct control_rig *rig, uint64_t version)
{
  char cluster[] = CONTROL_RIG_CLUSTER;
  char account[] = "lonja";
  char text[] = "{\"version\":7}";
  control_prepaid_total total = { account, 900 };
  struct control_document_args args
      = { cluster, version, { 1, &total }, { sizeof text - 1, text } };
  struct control_document_result result;
  enum wire_status status = control_client_call (
      rig->client, CONTROL_DOCUMENT, (xdrproc_t)xdr_control_document_args,
      &args, (xdrproc_t)xdr_control_document_result, &result, sizeof result,
      TIMEOUT_MS);
  bool held = status == WIRE_OK && result.held_version == version;
  xdr_free ((xdrproc_t)xdr_control_document_result, (char *)&result);
  return held;
}

static uint64_t
document_version (struct control_rig *rig)
{
  char cluster[] = CONTROL_RIG_CLUSTER;
  struct control_read_args args = { .cluster = cluster };
  struct control_read_result result;
  enum wire_status status = control_client_call (
      rig->client, CONTROL_READ, (xdrproc_t)xdr_control_read_args, &args,
      (xdrproc_t)xdr_control_read_result, &result, sizeof result, TIMEOUT_MS);
  uint64_t version = status == WIRE_OK ? result.document_version : 0;
  xdr_free ((xdrproc_t)xdr_control_read_result, (char *)&result);
  return version;
}

/* Makes the changes that the golden folder holds. */
static void
make_changes (struct control_rig *rig)
{
  push_with_restarts (rig, 1, 20);
  g_assert_cmpuint (control_rig_top_up (rig, "a", "lonja", 100), ==, 100);
  g_assert_true (store_document (rig, GOLDEN_DOCUMENT));
  push_with_restarts (rig, 21, GOLDEN_VERSIONS);
  g_assert_cmpuint (control_rig_top_up (rig, "b", "lonja", 25), ==,
                    GOLDEN_TOKENS);
}

static void
check_changes (struct control_rig *rig)
{
  g_assert_cmpuint (control_rig_bundle_version (rig), ==, GOLDEN_VERSIONS);
  g_assert_cmpuint (control_rig_topped_up_tokens (rig, "lonja"), ==,
                    GOLDEN_TOKENS);
  g_assert_cmpuint (document_version (rig), ==, GOLDEN_DOCUMENT);
}

/* The present build reads the folder as the old rules do. */
static void
check_same (const char *folder)
{
  struct old_disk disk;
  struct consensus_options options
      = { .member_id = 1, .incarnation = 1, .election_ms = 1000 };
  struct base_findings *findings = base_findings_create ();
  struct consensus *consensus = consensus_create (&options);
  old_disk_read (&disk, folder);
  g_assert_cmpstr (disk.refusal, ==, NULL);
  struct control_store *store = control_store_open (folder, findings);
  g_assert_nonnull (store);
  g_assert_cmpint (control_store_load (store, consensus, findings), ==, 0);
  g_assert_cmpuint (consensus_snapshot_index (consensus), ==, disk.base);
  g_assert_cmpuint (consensus_term (consensus), ==, disk.vote.term);
  g_assert_cmpuint (consensus_last_index (consensus), ==,
                    disk.base + disk.entries->len);
  for (guint i = 0; i < disk.entries->len; i++)
    {
      const struct consensus_wire_entry *old = disk.entries->pdata[i];
      const struct consensus_wire_entry *read
          = consensus_entry (consensus, disk.base + 1 + i);
      g_assert_cmpuint (read->term, ==, old->term);
      g_assert_cmpuint (read->index, ==, old->index);
      g_assert_cmpuint (read->kind, ==, old->kind);
      g_assert_cmpmem (read->data.data_val, read->data.data_len,
                       old->data.data_val, old->data.data_len);
    }
  g_test_message ("base %u, term %u, %u entry records, %u votes, %u entries",
                  (unsigned)disk.base, (unsigned)disk.vote.term,
                  disk.entry_records, disk.vote_records, disk.entries->len);
  control_store_close (store);
  consensus_destroy (consensus);
  base_findings_destroy (findings);
  old_disk_clear (&disk);
}

static char *
golden_folder (void)
{
  const char *source = g_getenv ("CACTUS_SOURCE");
  return g_build_filename (source ? source : ".", "tests", "golden",
                           GOLDEN_FOLDER, NULL);
}

static char *
old_program (void)
{
  const char *folder = g_getenv ("OLD_BIN");
  return folder ? g_build_filename (folder, "cactus-control", NULL) : NULL;
}

/* Writes the golden folder anew, with the programs in OLD_BIN. */
static void
write_golden (const char *golden)
{
  char *program = old_program ();
  g_assert_nonnull (program);
  struct control_rig *rig = control_rig_create_with (1, snapshot_arguments);
  g_assert_nonnull (rig);
  char *folder = member_folder (rig, 0);
  fleet_process_kill (rig->members[0]);
  control_rig_wipe (rig, 0);
  fleet_process_set_program (rig->members[0], program);
  g_assert_true (control_rig_start (rig, 0));
  make_changes (rig);
  check_changes (rig);
  fleet_process_kill (rig->members[0]);
  tool_folder_empty (golden);
  copy_folder (folder, golden);
  control_rig_destroy (rig);
  g_free (folder);
  g_free (program);
}

/* Checks what the golden folder holds. */
static void
check_golden (const char *folder, uint64_t base)
{
  struct old_disk disk;
  old_disk_read (&disk, folder);
  g_assert_cmpstr (disk.refusal, ==, NULL);
  g_assert_cmpuint (disk.base, ==, base);
  g_assert_cmpuint (disk.base + disk.entries->len, ==, GOLDEN_LAST);
  g_assert_cmpuint (disk.vote.term, ==, GOLDEN_TERM);
  old_disk_clear (&disk);
}

/* Starts a member on a copy of the golden folder, and makes further changes.
 */
static void
play_golden (const char *golden, bool with_snapshot)
{
  struct control_rig *rig = control_rig_create_with (1, snapshot_arguments);
  g_assert_nonnull (rig);
  char *folder = member_folder (rig, 0);
  char *snapshot = g_build_filename (folder, "snapshot", NULL);
  fleet_process_kill (rig->members[0]);
  control_rig_wipe (rig, 0);
  copy_folder (golden, folder);
  if (!with_snapshot)
    g_assert_cmpint (g_remove (snapshot), ==, 0);
  check_golden (folder, with_snapshot ? GOLDEN_BASE : 0);
  check_same (folder);
  g_assert_true (control_rig_start (rig, 0));
  check_changes (rig);
  /* The old records are followed by new ones. */
  push_with_restarts (rig, GOLDEN_VERSIONS + 1, GOLDEN_VERSIONS + 5);
  restart (rig, 0);
  g_assert_cmpuint (control_rig_bundle_version (rig), ==, GOLDEN_VERSIONS + 5);
  fleet_process_kill (rig->members[0]);
  check_same (folder);
  control_rig_destroy (rig);
  g_free (snapshot);
  g_free (folder);
}

/* Guards against members that can't start, or start in another state, on what
   the former build wrote. */
static void
test_old_disk (void)
{
  char *golden = golden_folder ();
  if (g_strcmp0 (g_getenv ("CACTUS_GOLDEN"), "write") == 0)
    write_golden (golden);
  play_golden (golden, true);
  play_golden (golden, false);
  g_free (golden);
}

/* Guards against members of the former build that can't start after a return
   from the present one. */
static void
test_new_disk_by_old_rules (void)
{
  struct control_rig *rig
      = control_rig_create_with (MEMBERS, snapshot_arguments);
  g_assert_nonnull (rig);
  make_changes (rig);
  check_changes (rig);
  for (uint32_t i = 0; i < MEMBERS; i++)
    g_assert_true (control_rig_wait_voter (rig, i, TIMEOUT_MS));
  for (uint32_t i = 0; i < MEMBERS; i++)
    {
      char *folder = member_folder (rig, i);
      fleet_process_kill (rig->members[i]);
      check_same (folder);
      g_free (folder);
    }
  control_rig_destroy (rig);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/control-disk/written-by-the-former-build", test_old_disk);
  g_test_add_func ("/control-disk/read-by-the-former-rules",
                   test_new_disk_by_old_rules);
  return g_test_run ();
}
