/** @file
 *  Tests of cactusctl with real processes: three control members and two
 *  ledgers.  A push with --wait succeeds when all processes run the version,
 *  or names those that don't; of two documents with the same version one is
 *  accepted; and no version is lost or replaced when control restarts. */

#include <signal.h>
#include <sys/wait.h>

#include <glib.h>
#include <glib/gstdio.h>

#include "base_hash.h"
#include "control_rig.h"

#define LEDGERS 2
#define READY_MS 20000
#define STATUS_TRIES 400
#define STATUS_PAUSE_US 50000

/* The processes, and the output of the last cactusctl run. */
struct fixture
{
  struct control_rig *trial;
  struct fleet_process *ledgers[LEDGERS];
  char *endpoints;
  char *output;
};

static char *
endpoints_of (const struct control_rig *trial)
{
  GString *list = g_string_new (NULL);
  for (uint32_t i = 0; i < trial->count; i++)
    g_string_append_printf (list, "%s127.0.0.1:%u", i ? "," : "",
                            trial->ports[i]);
  return g_string_free (list, FALSE);
}

static struct fleet_process *
make_ledger (const struct fixture *fixture, int number)
{
  char *name = g_strdup_printf ("ledger-%d", number);
  char *folder = g_build_filename (fixture->trial->folder, name, NULL);
  const char *arguments[] = { "--cluster",
                              CONTROL_RIG_CLUSTER,
                              "--host",
                              name,
                              "--availability-zone",
                              number ? "zone-b" : "zone-a",
                              "--region",
                              "region",
                              "--control",
                              fixture->endpoints,
                              "--data-dir",
                              folder,
                              NULL };
  struct fleet_process *ledger = fleet_process_create (
      name, "cactus-ledger", arguments, fixture->trial->folder);
  g_free (folder);
  g_free (name);
  return ledger;
}

static void
write_text (const struct fixture *fixture, const char *name, const char *text)
{
  char *path = g_build_filename (fixture->trial->folder, name, NULL);
  g_assert_true (g_file_set_contents (path, text, -1, NULL));
  g_free (path);
}

static void
write_document (const struct fixture *fixture, const char *name,
                uint64_t version, uint32_t mark)
{
  char *text = control_rig_document (fixture->trial, version, 3, mark);
  write_text (fixture, name, text);
  g_free (text);
}

static void
fixture_open (struct fixture *fixture)
{
  char secret[2 * 64 + 1];
  memset (fixture, 0, sizeof *fixture);
  fixture->trial = control_rig_create (3);
  g_assert_nonnull (fixture->trial);
  fixture->endpoints = endpoints_of (fixture->trial);
  base_hex_write (secret, fixture->trial->secret_key, 64);
  write_text (fixture, "root.key", secret);
  for (int i = 0; i < LEDGERS; i++)
    {
      fixture->ledgers[i] = make_ledger (fixture, i);
      g_assert_cmpint (fleet_process_start (fixture->ledgers[i]), ==, 0);
      g_assert_true (fleet_process_wait_ready (fixture->ledgers[i], READY_MS));
    }
}

static void
fixture_close (struct fixture *fixture)
{
  for (int i = 0; i < LEDGERS; i++)
    fleet_process_destroy (fixture->ledgers[i]);
  control_rig_destroy (fixture->trial);
  g_free (fixture->endpoints);
  g_free (fixture->output);
}

/* Runs cactusctl and returns its exit code; fixture->output holds its output
   and errors. */
static int
run (struct fixture *fixture, const char *line)
{
  char *output = NULL;
  char *errors = NULL;
  int status = 0;
  GError *error = NULL;
  char *program = g_build_filename (fleet_binary_folder (), "cactusctl", NULL);
  char *absolute = g_canonicalize_filename (program, NULL);
  char *whole
      = g_strdup_printf ("%s %s --cluster %s --control %s", absolute, line,
                         CONTROL_RIG_CLUSTER, fixture->endpoints);
  char **words = g_strsplit (whole, " ", -1);
  g_spawn_sync (fixture->trial->folder, words, NULL, G_SPAWN_DEFAULT, NULL,
                NULL, &output, &errors, &status, &error);
  g_assert_no_error (error);
  g_assert_true (WIFEXITED (status));
  g_free (fixture->output);
  fixture->output = g_strconcat (output, errors, NULL);
  g_test_message ("%s: %s", line, fixture->output);
  g_strfreev (words);
  g_free (whole);
  g_free (absolute);
  g_free (program);
  g_free (output);
  g_free (errors);
  return WEXITSTATUS (status);
}

#define PUSH "bundle push %s --operator root --key-file root.key --wait"

static int
push (struct fixture *fixture, const char *name, uint32_t timeout_ms)
{
  char *line = g_strdup_printf (PUSH " --timeout-ms %u", name, timeout_ms);
  int status = run (fixture, line);
  g_free (line);
  return status;
}

static void
expect_output (const struct fixture *fixture, const char *part)
{
  if (!strstr (fixture->output, part))
    g_error ("\"%s\" is not in: %s", part, fixture->output);
}

/* Waits until the output of bundle status --json has @p state in the entry of
   @p host. */
static void
wait_status (struct fixture *fixture, const char *host, const char *state)
{
  for (int i = 0; i < STATUS_TRIES; i++)
    {
      g_assert_cmpint (run (fixture, "bundle status --json"), ==, 0);
      const char *entry = strstr (fixture->output, host);
      const char *end = entry ? strchr (entry, '}') : NULL;
      const char *found = entry ? strstr (entry, state) : NULL;
      if (found && found < end)
        return;
      g_usleep (STATUS_PAUSE_US);
    }
  g_error ("%s: bundle status never showed %s", host, state);
}

/* A push with --wait names a process that is stopped by SIGSTOP; once
   continued, the process runs the version. */
static void
test_frozen (void)
{
  struct fixture fixture;
  fixture_open (&fixture);
  write_document (&fixture, "1.json", 1, 0);
  write_document (&fixture, "2.json", 2, 0);
  g_assert_cmpint (push (&fixture, "1.json", 20000), ==, 0);
  expect_output (&fixture, "at all 2 live process(es)");
  fleet_process_signal (fixture.ledgers[1], SIGSTOP);
  g_assert_cmpint (push (&fixture, "2.json", 1500), ==, 1);
  expect_output (&fixture, "ledger ledger-1 (version 1)");
  /* The stopped ledger does not delay the other one. */
  wait_status (&fixture, "\"host\": \"ledger-0\"", "\"bundle_version\": 2");
  fleet_process_signal (fixture.ledgers[1], SIGCONT);
  g_assert_cmpint (push (&fixture, "2.json", 20000), ==, 0);
  expect_output (&fixture, "at all 2 live process(es)");
  fixture_close (&fixture);
}

/* Of two different documents with the same version, the second is refused. */
static void
test_race (void)
{
  struct fixture fixture;
  fixture_open (&fixture);
  write_document (&fixture, "1.json", 1, 0);
  write_document (&fixture, "mine.json", 2, 1);
  write_document (&fixture, "yours.json", 2, 2);
  g_assert_cmpint (push (&fixture, "1.json", 20000), ==, 0);
  g_assert_cmpint (push (&fixture, "mine.json", 20000), ==, 0);
  g_assert_cmpint (push (&fixture, "yours.json", 20000), ==, 1);
  expect_output (&fixture, "conflict: version 2 was accepted with digest");
  g_assert_cmpint (push (&fixture, "mine.json", 20000), ==, 0);
  fixture_close (&fixture);
}

/* The leader is killed before each push; every push still succeeds, and each
   version is accepted once. */
static void
test_leaders_killed (void)
{
  struct fixture fixture;
  fixture_open (&fixture);
  write_document (&fixture, "1.json", 1, 0);
  g_assert_cmpint (push (&fixture, "1.json", 20000), ==, 0);
  for (int i = 0; i < 3; i++)
    {
      char name[16];
      int leader = control_rig_leader (fixture.trial, READY_MS);
      g_assert_cmpint (leader, >=, 0);
      fleet_process_kill (fixture.trial->members[leader]);
      g_snprintf (name, sizeof name, "%d.json", i + 2);
      write_document (&fixture, name, (uint64_t)i + 2, 0);
      g_assert_cmpint (push (&fixture, name, 20000), ==, 0);
      g_assert_true (control_rig_start (fixture.trial, (uint32_t)leader));
    }
  g_assert_cmpint (run (&fixture, "bundle status"), ==, 0);
  expect_output (&fixture, "accepted version: 4");
  fixture_close (&fixture);
}

/* After a restart of all control members, the accepted version and the
   ledgers' versions are unchanged. */
static void
test_all_restart (void)
{
  struct fixture fixture;
  fixture_open (&fixture);
  write_document (&fixture, "1.json", 1, 0);
  write_document (&fixture, "2.json", 2, 0);
  g_assert_cmpint (push (&fixture, "1.json", 20000), ==, 0);
  g_assert_cmpint (push (&fixture, "2.json", 20000), ==, 0);
  for (uint32_t i = 0; i < 3; i++)
    fleet_process_kill (fixture.trial->members[i]);
  g_assert_cmpint (run (&fixture, "bundle status --timeout-ms 300"), ==, 3);
  expect_output (&fixture, "no member at");
  for (uint32_t i = 0; i < 3; i++)
    g_assert_cmpint (fleet_process_start (fixture.trial->members[i]), ==, 0);
  /* A repeated push gets the same answer, and all processes run the newest
     version. */
  g_assert_cmpint (push (&fixture, "2.json", 20000), ==, 0);
  g_assert_cmpint (push (&fixture, "1.json", 20000), ==, 0);
  expect_output (&fixture, "the newest accepted version is 2");
  g_assert_cmpint (run (&fixture, "bundle status"), ==, 0);
  expect_output (&fixture, "accepted version: 2");
  fixture_close (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/ctl-process/frozen", test_frozen);
  g_test_add_func ("/ctl-process/race", test_race);
  g_test_add_func ("/ctl-process/leaders-killed", test_leaders_killed);
  g_test_add_func ("/ctl-process/all-restart", test_all_restart);
  return g_test_run ();
}
