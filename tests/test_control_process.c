/** @file
 *  Tests of cactus-control processes: a leader is killed, frozen or shut down,
 *  a data folder is lost, members are replaced. */

#include <signal.h>
#include <string.h>

#include <glib.h>

#include "control_rig.h"
#include "store_log.h"
#include "wire_client.h"

#define TIMEOUT_MS 20000

/* Pushes @p version.  The client may send it again after a lost answer, which
   must give the same result. */
static void
accept_version (struct control_rig *trial, uint64_t version)
{
  g_assert_cmpint (control_rig_push (trial, version, 3, 0), ==, CONTROL_OK);
}

static void
check_kept (struct control_rig *trial, uint64_t version, uint64_t tokens)
{
  g_assert_cmpuint (control_rig_bundle_version (trial), ==, version);
  g_assert_cmpuint (control_rig_topped_up_tokens (trial, "lonja"), ==, tokens);
}

static void
test_single (void)
{
  struct control_rig *trial = control_rig_create (1);
  g_assert_nonnull (trial);
  accept_version (trial, 1);
  g_assert_cmpuint (control_rig_top_up (trial, "a", "lonja", 100), ==, 100);
  g_assert_cmpuint (control_rig_top_up (trial, "a", "lonja", 100), ==, 100);
  fleet_process_kill (trial->members[0]);
  g_assert_true (control_rig_start (trial, 0));
  check_kept (trial, 1, 100);
  control_rig_destroy (trial);
}

static void
test_leader_killed (void)
{
  struct control_rig *trial = control_rig_create (3);
  g_assert_nonnull (trial);
  accept_version (trial, 1);
  g_assert_cmpuint (control_rig_top_up (trial, "a", "lonja", 100), ==, 100);
  for (uint64_t version = 2; version <= 4; version++)
    {
      int leader = control_rig_leader (trial, TIMEOUT_MS);
      g_assert_cmpint (leader, >=, 0);
      fleet_process_kill (trial->members[leader]);
      accept_version (trial, version);
      check_kept (trial, version, 100);
      g_assert_true (control_rig_start (trial, (uint32_t)leader));
      g_assert_true (
          control_rig_wait_voter (trial, (uint32_t)leader, TIMEOUT_MS));
    }
  control_rig_destroy (trial);
}

/* A read that is sent to one member only, whether or not it is the leader. */
struct direct_read
{
  uint16_t port;
  /** Version in the answer, or 0 when the read was not answered. */
  uint64_t version;
};

static gpointer
read_directly (gpointer data)
{
  struct direct_read *read = data;
  char cluster[] = CONTROL_RIG_CLUSTER;
  struct control_bundle_args args = { .cluster = cluster };
  struct control_bundle_result result;
  struct wire_client *client = wire_client_create (
      "127.0.0.1", read->port, CONTROL_PROGRAM, CONTROL_VERSION);
  enum wire_status status = wire_client_call (
      client, CONTROL_BUNDLE, (xdrproc_t)xdr_control_bundle_args, &args,
      (xdrproc_t)xdr_control_bundle_result, &result, sizeof result,
      TIMEOUT_MS);
  if (status == WIRE_OK && result.answer.status == CONTROL_OK)
    read->version = result.bundle_version;
  xdr_free ((xdrproc_t)xdr_control_bundle_result, (char *)&result);
  wire_client_destroy (client);
  return NULL;
}

/* A frozen leader must not answer reads from its old state when it resumes: by
   then another leader has accepted a newer version. */
static void
test_leader_frozen (void)
{
  struct control_rig *trial = control_rig_create (3);
  g_assert_nonnull (trial);
  accept_version (trial, 1);
  int frozen = control_rig_leader (trial, TIMEOUT_MS);
  g_assert_cmpint (frozen, >=, 0);
  struct fleet_process *leader = trial->members[frozen];
  struct direct_read reads[4] = { 0 };
  GThread *threads[G_N_ELEMENTS (reads)];
  g_assert_true (fleet_process_signal (leader, SIGSTOP));
  /* These reads are the first calls that the leader receives when it
     resumes. */
  for (size_t i = 0; i < G_N_ELEMENTS (reads); i++)
    {
      reads[i].port = trial->ports[frozen];
      threads[i] = g_thread_new ("read", read_directly, &reads[i]);
    }
  accept_version (trial, 2);
  g_assert_cmpuint (control_rig_top_up (trial, "b", "lonja", 50), ==, 50);
  g_assert_true (fleet_process_signal (leader, SIGCONT));
  for (size_t i = 0; i < G_N_ELEMENTS (reads); i++)
    {
      g_thread_join (threads[i]);
      g_assert_cmpuint (reads[i].version, !=, 1);
    }
  check_kept (trial, 2, 50);
  accept_version (trial, 3);
  check_kept (trial, 3, 50);
  control_rig_destroy (trial);
}

static void
test_folder_lost (void)
{
  struct control_rig *trial = control_rig_create (3);
  g_assert_nonnull (trial);
  accept_version (trial, 1);
  g_assert_cmpuint (control_rig_top_up (trial, "c", "lonja", 70), ==, 70);
  int leader = control_rig_leader (trial, TIMEOUT_MS);
  g_assert_cmpint (leader, >=, 0);
  uint32_t lost = ((uint32_t)leader + 1) % 3;
  fleet_process_kill (trial->members[lost]);
  control_rig_wipe (trial, lost);
  accept_version (trial, 2);
  g_assert_true (control_rig_start (trial, lost));
  g_assert_true (control_rig_wait_voter (trial, lost, TIMEOUT_MS));
  /* A second loss right after the repair: the repaired member is needed for
     the majority. */
  fleet_process_kill (trial->members[leader]);
  control_rig_wipe (trial, (uint32_t)leader);
  accept_version (trial, 3);
  check_kept (trial, 3, 70);
  g_assert_true (control_rig_start (trial, (uint32_t)leader));
  g_assert_true (control_rig_wait_voter (trial, (uint32_t)leader, TIMEOUT_MS));
  check_kept (trial, 3, 70);
  control_rig_destroy (trial);
}

/* Adds a write of three records to the log of a member that isn't running, and
   then replaces @p bytes of its first record, from @p at on, by zeros: a loss
   of power left the write at its full length. */
static void
tear_write (struct control_rig *trial, uint32_t member, size_t at,
            size_t bytes)
{
  static const char record[200] = { 1 };
  char *contents;
  gsize length;
  struct base_findings *findings = base_findings_create ();
  char *folder = g_strdup_printf ("%s/data-%u", trial->folder, member + 1);
  struct store_log *log = store_log_open (folder, 1, true, findings);
  g_assert_nonnull (log);
  char *name = g_strdup_printf ("log-%020" G_GUINT64_FORMAT,
                                store_log_first_index (log));
  char *path = g_build_filename (folder, name, NULL);
  size_t start = store_log_bytes (log);
  for (uint32_t i = 0; i < 3; i++)
    store_log_append (log, record, sizeof record);
  g_assert_cmpint (store_log_sync (log), ==, 0);
  store_log_close (log);
  g_assert_true (g_file_get_contents (path, &contents, &length, NULL));
  memset (contents + start + at, 0, bytes);
  g_assert_true (g_file_set_contents (path, contents, (gssize)length, NULL));
  g_free (contents);
  g_free (path);
  g_free (name);
  g_free (folder);
  base_findings_destroy (findings);
}

/* Guards against members that can't start after a loss of power left the last
   write at its full length with zeros for a part of it; another member's
   folder is lost then, so each is needed. */
static void
test_torn_write (void)
{
  struct control_rig *trial = control_rig_create (3);
  g_assert_nonnull (trial);
  accept_version (trial, 1);
  for (uint32_t i = 0; i < 3; i++)
    {
      uint32_t torn = i;
      uint32_t lost = (i + 1) % 3;
      fleet_process_kill (trial->members[torn]);
      tear_write (trial, torn, 16 * i, 60);
      g_assert_true (control_rig_start (trial, torn));
      g_assert_true (control_rig_wait_voter (trial, torn, TIMEOUT_MS));
      fleet_process_kill (trial->members[lost]);
      control_rig_wipe (trial, lost);
      accept_version (trial, 2 + i);
      g_assert_true (control_rig_start (trial, lost));
      g_assert_true (control_rig_wait_voter (trial, lost, TIMEOUT_MS));
    }
  control_rig_destroy (trial);
}

/* With a snapshot each 50 entries, a member that was down for versions 2 to
   200 is sent a snapshot.  Then all members restart from their snapshots. */
static void
test_snapshots (void)
{
  static const char *const arguments[] = { "--snapshot-entries", "50", NULL };
  struct control_rig *trial = control_rig_create_with (3, arguments);
  g_assert_nonnull (trial);
  int leader = control_rig_leader (trial, TIMEOUT_MS);
  g_assert_cmpint (leader, >=, 0);
  uint32_t absent = ((uint32_t)leader + 1) % 3;
  accept_version (trial, 1);
  fleet_process_kill (trial->members[absent]);
  for (uint64_t version = 2; version <= 200; version++)
    accept_version (trial, version);
  g_assert_cmpuint (control_rig_top_up (trial, "s", "lonja", 9), ==, 9);
  g_assert_true (control_rig_start (trial, absent));
  g_assert_true (control_rig_wait_voter (trial, absent, TIMEOUT_MS));
  for (uint32_t i = 0; i < 3; i++)
    fleet_process_kill (trial->members[i]);
  for (uint32_t i = 0; i < 3; i++)
    g_assert_true (control_rig_start (trial, i));
  check_kept (trial, 200, 9);
  /* The first leader is killed, so that the majority needs the member that
     was sent a snapshot. */
  fleet_process_kill (trial->members[leader]);
  check_kept (trial, 200, 9);
  accept_version (trial, 201);
  control_rig_destroy (trial);
}

/* Requests a change of a member (counted from 0).  Returns the answer's
   status. */
static enum control_status
request_change (struct control_rig *trial, enum control_member_change change,
                uint32_t member)
{
  struct control_member_args args = { .change = change };
  struct control_answer answer;
  char cluster[] = CONTROL_RIG_CLUSTER;
  char address[] = "127.0.0.1";
  char name[16];
  g_snprintf (name, sizeof name, "%u", member + 1);
  args.cluster = cluster;
  args.member.name = name;
  args.member.address = address;
  args.member.port = trial->ports[member];
  g_assert_cmpint (control_client_call (trial->client, CONTROL_MEMBER_CHANGE,
                                        (xdrproc_t)xdr_control_member_args,
                                        &args, (xdrproc_t)xdr_control_answer,
                                        &answer, sizeof answer, TIMEOUT_MS),
                   ==, WIRE_OK);
  enum control_status status = answer.status;
  xdr_free ((xdrproc_t)xdr_control_answer, (char *)&answer);
  return status;
}

/* Repeats the request while another change is in progress. */
static void
change_member (struct control_rig *trial, enum control_member_change change,
               uint32_t member)
{
  enum control_status status = request_change (trial, change, member);
  for (int i = 0; i < 200 && status == CONTROL_REFUSED; i++)
    {
      g_usleep (50000);
      status = request_change (trial, change, member);
    }
  g_assert_cmpint (status, ==, CONTROL_OK);
}

/* A member is removed, added with an empty data folder and promoted.  Then
   another one is killed, so that the majority needs the new member. */
static void
test_member_replaced (void)
{
  struct control_rig *trial = control_rig_create (4);
  g_assert_nonnull (trial);
  accept_version (trial, 1);
  int leader = control_rig_leader (trial, TIMEOUT_MS);
  g_assert_cmpint (leader, >=, 0);
  uint32_t replaced = ((uint32_t)leader + 1) % 4;
  uint32_t other = ((uint32_t)leader + 2) % 4;
  change_member (trial, CONTROL_MEMBER_REMOVE, replaced);
  fleet_process_kill (trial->members[replaced]);
  control_rig_wipe (trial, replaced);
  accept_version (trial, 2);
  change_member (trial, CONTROL_MEMBER_ADD, replaced);
  g_assert_true (control_rig_start (trial, replaced));
  change_member (trial, CONTROL_MEMBER_PROMOTE, replaced);
  g_assert_true (control_rig_wait_voter (trial, replaced, TIMEOUT_MS));
  fleet_process_kill (trial->members[other]);
  accept_version (trial, 3);
  check_kept (trial, 3, 0);
  control_rig_destroy (trial);
}

/* Guards against a member that was away while another one became a member: it
   could not answer that one, so neither was elected nor caught up again. */
static void
test_unknown_member (void)
{
  struct control_rig *trial = control_rig_create (4);
  g_assert_nonnull (trial);
  accept_version (trial, 1);
  int leader = control_rig_leader (trial, TIMEOUT_MS);
  g_assert_cmpint (leader, >=, 0);
  uint32_t readded = ((uint32_t)leader + 1) % 4;
  uint32_t away = ((uint32_t)leader + 2) % 4;
  uint32_t removed = ((uint32_t)leader + 3) % 4;
  change_member (trial, CONTROL_MEMBER_REMOVE, readded);
  accept_version (trial, 2);
  g_assert_true (control_rig_wait_voter (trial, away, TIMEOUT_MS));
  fleet_process_kill (trial->members[away]);
  change_member (trial, CONTROL_MEMBER_ADD, readded);
  change_member (trial, CONTROL_MEMBER_PROMOTE, readded);
  g_assert_true (control_rig_wait_voter (trial, readded, TIMEOUT_MS));
  change_member (trial, CONTROL_MEMBER_REMOVE, removed);
  fleet_process_kill (trial->members[removed]);
  accept_version (trial, 3);
  /* The voter that the member doesn't know is needed for the majority. */
  fleet_process_kill (trial->members[leader]);
  g_assert_true (control_rig_start (trial, away));
  accept_version (trial, 4);
  check_kept (trial, 4, 0);
  control_rig_destroy (trial);
}

/* A leader that gets SIGTERM hands over leadership and exits with status 0. */
static void
test_hand_over (void)
{
  struct control_rig *trial = control_rig_create (3);
  g_assert_nonnull (trial);
  accept_version (trial, 1);
  int leader = control_rig_leader (trial, TIMEOUT_MS);
  g_assert_cmpint (leader, >=, 0);
  g_assert_true (fleet_process_signal (trial->members[leader], SIGTERM));
  g_assert_cmpint (fleet_process_wait (trial->members[leader], TIMEOUT_MS), ==,
                   0);
  accept_version (trial, 2);
  check_kept (trial, 2, 0);
  control_rig_destroy (trial);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/control/process/single", test_single);
  g_test_add_func ("/control/process/leader_killed", test_leader_killed);
  g_test_add_func ("/control/process/leader_frozen", test_leader_frozen);
  g_test_add_func ("/control/process/folder_lost", test_folder_lost);
  g_test_add_func ("/control/process/torn_write", test_torn_write);
  g_test_add_func ("/control/process/snapshots", test_snapshots);
  g_test_add_func ("/control/process/member_replaced", test_member_replaced);
  g_test_add_func ("/control/process/unknown_member", test_unknown_member);
  g_test_add_func ("/control/process/hand_over", test_hand_over);
  return g_test_run ();
}
