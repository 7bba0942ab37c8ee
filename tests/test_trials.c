/** @file
 *  Fleets of real processes under faults: budgets are not overspent, no
 *  non-idempotent request runs twice, none is billed twice, and every answer
 *  is correct, compared with what the targets served and the ledgers
 *  billed. */

#include <fcntl.h>
#include <spawn.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib.h>
#include <jansson.h>

#include "fleet_process.h"
#include "tool_folder.h"

extern char **environ;

/* Plays a scenario; its report (NULL when there is none) and exit status.
   Keeps the logs and data when it failed. */
static json_t *
play (const char *scenario, const char *seed, int *status)
{
  char *folder = g_dir_make_tmp ("cactus-XXXXXX", NULL);
  char *report_path = g_build_filename (folder, "report.json", NULL);
  char *run_folder = g_build_filename (folder, "run", NULL);
  char *program
      = g_build_filename (fleet_binary_folder (), "cactus-trial", NULL);
  const char *const arguments[]
      = { program, "--scenario", scenario,   "--seed",
          seed,    "--folder",   run_folder, NULL };
  posix_spawn_file_actions_t actions;
  pid_t id;
  posix_spawn_file_actions_init (&actions);
  posix_spawn_file_actions_addopen (&actions, STDOUT_FILENO, report_path,
                                    O_WRONLY | O_CREAT | O_TRUNC, 0600);
  g_assert_cmpint (posix_spawn (&id, program, &actions, NULL,
                                (char *const *)arguments, environ),
                   ==, 0);
  posix_spawn_file_actions_destroy (&actions);
  g_assert_cmpint (waitpid (id, status, 0), ==, id);
  json_t *report = json_load_file (report_path, 0, NULL);
  if (report && *status == 0)
    tool_folder_remove (folder);
  else
    g_test_message ("logs and data: %s", folder);
  g_free (program);
  g_free (run_folder);
  g_free (report_path);
  g_free (folder);
  return report;
}

static void
assert_zero (const json_t *report, const char *name)
{
  json_int_t value = json_integer_value (json_object_get (report, name));
  if (value != 0)
    g_test_message ("%s is %lld", name, (long long)value);
  g_assert_cmpint (value, ==, 0);
}

/* Plays a scenario and checks what must hold in each. */
static json_t *
play_and_check (const char *scenario, const char *seed)
{
  int status = -1;
  json_t *report = play (scenario, seed, &status);
  g_assert_nonnull (report);
  char *line = json_dumps (report, JSON_COMPACT);
  g_test_message ("%s", line);
  free (line);
  assert_zero (report, "overspend_tokens");
  assert_zero (report, "double_runs");
  assert_zero (report, "double_bills");
  assert_zero (report, "wrong_answers");
  assert_zero (report, "not_run_lies");
  assert_zero (report, "failed_events");
  assert_zero (report, "open_at_end");
  g_assert_cmpint (json_integer_value (json_object_get (report, "answered")),
                   >, 0);
  g_assert_cmpint (status, ==, 0);
  return report;
}

static void
test_faults (void)
{
  json_decref (play_and_check ("check-faults", "11"));
}

static void
test_disk_loss (void)
{
  json_decref (play_and_check ("check-disk-loss", "12"));
}

/* Graceful restarts cut no stream and lose no request. */
static void
test_graceful (void)
{
  json_t *report = play_and_check ("check-graceful", "13");
  assert_zero (report, "cut_streams");
  assert_zero (report, "lost");
  json_decref (report);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/trials/faults", test_faults);
  g_test_add_func ("/trials/disk-loss", test_disk_loss);
  g_test_add_func ("/trials/graceful", test_graceful);
  return g_test_run ();
}
