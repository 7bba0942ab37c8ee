/** @file
 *  cactusctl with real processes: three control members and two ledgers; a
 *  version is in force everywhere or the processes that lack it are named,
 *  races under one version end in one of them, and nothing goes back. */

#include <signal.h>
#include <sys/wait.h>

#include <glib.h>
#include <glib/gstdio.h>

#include "base_hash.h"
#include "control_trial.h"

#define LEDGERS 2
#define READY_MS 20000
#define STATUS_TRIES 400
#define STATUS_PAUSE_US 50000

/* The processes and an operator's folder. */
struct scene
{
  struct control_trial *trial;
  struct fleet_process *ledgers[LEDGERS];
  char *endpoints;
  char *output;
};

static char *
endpoints_of (const struct control_trial *trial)
{
  GString *list = g_string_new (NULL);
  for (uint32_t i = 0; i < trial->count; i++)
    g_string_append_printf (list, "%s127.0.0.1:%u", i ? "," : "",
                            trial->ports[i]);
  return g_string_free (list, FALSE);
}

static struct fleet_process *
make_ledger (const struct scene *scene, int number)
{
  char *name = g_strdup_printf ("ledger-%d", number);
  char *folder = g_build_filename (scene->trial->folder, name, NULL);
  const char *arguments[] = { "--cluster",
                              CONTROL_TRIAL_CLUSTER,
                              "--host",
                              name,
                              "--availability-zone",
                              number ? "zone-b" : "zone-a",
                              "--region",
                              "region",
                              "--control",
                              scene->endpoints,
                              "--data-dir",
                              folder,
                              NULL };
  struct fleet_process *ledger = fleet_process_create (
      name, "cactus-ledger", arguments, scene->trial->folder);
  g_free (folder);
  g_free (name);
  return ledger;
}

static void
write_text (const struct scene *scene, const char *name, const char *text)
{
  char *path = g_build_filename (scene->trial->folder, name, NULL);
  g_assert_true (g_file_set_contents (path, text, -1, NULL));
  g_free (path);
}

static void
write_document (const struct scene *scene, const char *name, uint64_t version,
                uint32_t mark)
{
  char *text = control_trial_document (scene->trial, version, 3, mark);
  write_text (scene, name, text);
  g_free (text);
}

static void
open_scene (struct scene *scene)
{
  char secret[2 * 64 + 1];
  memset (scene, 0, sizeof *scene);
  scene->trial = control_trial_create (3);
  g_assert_nonnull (scene->trial);
  scene->endpoints = endpoints_of (scene->trial);
  base_hex_write (secret, scene->trial->secret_key, 64);
  write_text (scene, "root.key", secret);
  for (int i = 0; i < LEDGERS; i++)
    {
      scene->ledgers[i] = make_ledger (scene, i);
      g_assert_cmpint (fleet_process_start (scene->ledgers[i]), ==, 0);
      g_assert_true (fleet_process_wait_ready (scene->ledgers[i], READY_MS));
    }
}

static void
close_scene (struct scene *scene)
{
  for (int i = 0; i < LEDGERS; i++)
    fleet_process_destroy (scene->ledgers[i]);
  control_trial_destroy (scene->trial);
  g_free (scene->endpoints);
  g_free (scene->output);
}

/* Runs cactusctl; its exit status.  What it printed is in scene->output. */
static int
run (struct scene *scene, const char *line)
{
  char *output = NULL;
  char *errors = NULL;
  int status = 0;
  GError *error = NULL;
  char *program = g_build_filename (fleet_binaries (), "cactusctl", NULL);
  char *absolute = g_canonicalize_filename (program, NULL);
  char *whole
      = g_strdup_printf ("%s %s --cluster %s --control %s", absolute, line,
                         CONTROL_TRIAL_CLUSTER, scene->endpoints);
  char **words = g_strsplit (whole, " ", -1);
  g_spawn_sync (scene->trial->folder, words, NULL, G_SPAWN_DEFAULT, NULL, NULL,
                &output, &errors, &status, &error);
  g_assert_no_error (error);
  g_assert_true (WIFEXITED (status));
  g_free (scene->output);
  scene->output = g_strconcat (output, errors, NULL);
  g_test_message ("%s: %s", line, scene->output);
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
push (struct scene *scene, const char *name, uint32_t timeout_ms)
{
  char *line = g_strdup_printf (PUSH " --timeout-ms %u", name, timeout_ms);
  int status = run (scene, line);
  g_free (line);
  return status;
}

static void
expect_output (const struct scene *scene, const char *part)
{
  if (!strstr (scene->output, part))
    g_error ("\"%s\" is not in: %s", part, scene->output);
}

/* Waits until the process that @p host names has @p state in bundle status
   --json. */
static void
wait_status (struct scene *scene, const char *host, const char *state)
{
  for (int i = 0; i < STATUS_TRIES; i++)
    {
      g_assert_cmpint (run (scene, "bundle status --json"), ==, 0);
      const char *entry = strstr (scene->output, host);
      const char *end = entry ? strchr (entry, '}') : NULL;
      const char *found = entry ? strstr (entry, state) : NULL;
      if (found && found < end)
        return;
      g_usleep (STATUS_PAUSE_US);
    }
  g_error ("%s never had %s", host, state);
}

/* A frozen process is named; thawed, it follows. */
static void
test_frozen (void)
{
  struct scene scene;
  open_scene (&scene);
  write_document (&scene, "1.json", 1, 0);
  write_document (&scene, "2.json", 2, 0);
  g_assert_cmpint (push (&scene, "1.json", 20000), ==, 0);
  expect_output (&scene, "at all 2 live process(es)");
  fleet_process_signal (scene.ledgers[1], SIGSTOP);
  g_assert_cmpint (push (&scene, "2.json", 1500), ==, 1);
  expect_output (&scene, "ledger ledger-1 (version 1)");
  /* The frozen one does not hold up the other. */
  wait_status (&scene, "\"host\": \"ledger-0\"", "\"bundle_version\": 2");
  fleet_process_signal (scene.ledgers[1], SIGCONT);
  g_assert_cmpint (push (&scene, "2.json", 20000), ==, 0);
  expect_output (&scene, "at all 2 live process(es)");
  close_scene (&scene);
}

/* Two operators push different documents under one version. */
static void
test_race (void)
{
  struct scene scene;
  open_scene (&scene);
  write_document (&scene, "1.json", 1, 0);
  write_document (&scene, "mine.json", 2, 1);
  write_document (&scene, "yours.json", 2, 2);
  g_assert_cmpint (push (&scene, "1.json", 20000), ==, 0);
  g_assert_cmpint (push (&scene, "mine.json", 20000), ==, 0);
  g_assert_cmpint (push (&scene, "yours.json", 20000), ==, 1);
  expect_output (&scene, "conflict: version 2 was accepted with digest");
  g_assert_cmpint (push (&scene, "mine.json", 20000), ==, 0);
  close_scene (&scene);
}

/* Leaders die between and under commands; every version is taken once. */
static void
test_leaders_killed (void)
{
  struct scene scene;
  open_scene (&scene);
  write_document (&scene, "1.json", 1, 0);
  g_assert_cmpint (push (&scene, "1.json", 20000), ==, 0);
  for (int i = 0; i < 3; i++)
    {
      char name[16];
      int leader = control_trial_leader (scene.trial, READY_MS);
      g_assert_cmpint (leader, >=, 0);
      fleet_process_kill (scene.trial->members[leader]);
      g_snprintf (name, sizeof name, "%d.json", i + 2);
      write_document (&scene, name, (uint64_t)i + 2, 0);
      g_assert_cmpint (push (&scene, name, 20000), ==, 0);
      g_assert_true (control_trial_start (scene.trial, (uint32_t)leader));
    }
  g_assert_cmpint (run (&scene, "bundle status"), ==, 0);
  expect_output (&scene, "accepted version: 4");
  close_scene (&scene);
}

/* All of control restarts; the version and the ledgers' stay. */
static void
test_all_restart (void)
{
  struct scene scene;
  open_scene (&scene);
  write_document (&scene, "1.json", 1, 0);
  write_document (&scene, "2.json", 2, 0);
  g_assert_cmpint (push (&scene, "1.json", 20000), ==, 0);
  g_assert_cmpint (push (&scene, "2.json", 20000), ==, 0);
  for (uint32_t i = 0; i < 3; i++)
    fleet_process_kill (scene.trial->members[i]);
  g_assert_cmpint (run (&scene, "bundle status --timeout-ms 300"), ==, 3);
  expect_output (&scene, "no member at");
  for (uint32_t i = 0; i < 3; i++)
    g_assert_cmpint (fleet_process_start (scene.trial->members[i]), ==, 0);
  /* The same version again: the same answer, and everybody runs it. */
  g_assert_cmpint (push (&scene, "2.json", 20000), ==, 0);
  g_assert_cmpint (push (&scene, "1.json", 20000), ==, 0);
  expect_output (&scene, "by now version 2 is");
  g_assert_cmpint (run (&scene, "bundle status"), ==, 0);
  expect_output (&scene, "accepted version: 2");
  close_scene (&scene);
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
