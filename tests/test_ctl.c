/** @file
 *  Tests of cactusctl against a fake control: the commands of a session, their
 *  output, errors and exit codes are compared with golden files. */

#include <glib.h>
#include <glib/gstdio.h>
#include <sys/wait.h>

#include "test_ctl_fake.h"
#include "tool_folder.h"

/* Secret key from a fixed seed, so that all runs give the same signatures. */
#define SECRET_KEY                                                            \
  "0707070707070707070707070707070707070707070707070707070707070707"          \
  "ea4a6c63e29c520abef5507b132ec5f9954776aebebe7b92421eea691446d22c"

/* A session: fake control, working folder, endpoint and transcript. */
struct session
{
  struct ctl_fake ctl;
  char *folder;
  char *endpoint;
  GString *transcript;
};

static char *
program_path (void)
{
  const char *folder = g_getenv ("CACTUS_BIN");
  return g_build_filename (folder ? folder : "build/bin", "cactusctl", NULL);
}

static char *
source_path (const char *name)
{
  const char *root = g_getenv ("CACTUS_SOURCE");
  return g_build_filename (root ? root : ".", name, NULL);
}

static void
write_file (const struct session *session, const char *name, const char *text)
{
  char *path = g_build_filename (session->folder, name, NULL);
  g_assert_true (g_file_set_contents (path, text, -1, NULL));
  g_free (path);
}

static void
write_document (const struct session *session, const char *name,
                uint64_t version, uint32_t weight)
{
  char *text = g_strdup_printf (
      "{\"version\":%lu,\"operators\":{\"ana\":{\"public_key\":"
      "\"ea4a6c63e29c520abef5507b132ec5f9954776aebebe7b92421eea691446d22c\"}},"
      "\"accounts\":{\"mar\":{\"keys\":[],\"weight\":%u}},"
      "\"services\":{\"redactor\":{\"kind\":\"model\"}},"
      "\"classes\":{\"quick\":{}},"
      "\"rules\":{\"all\":{\"accounts\":[\"*\"],\"services\":[\"redactor\"],"
      "\"class\":\"quick\"}}}",
      (unsigned long)version, weight);
  write_file (session, name, text);
  g_free (text);
}

static char **
command_environment (const struct session *session)
{
  char **variables = g_get_environ ();
  variables = g_environ_setenv (variables, "CACTUS_CONTROL", session->endpoint,
                                TRUE);
  variables = g_environ_unsetenv (variables, "CACTUS_CLUSTER");
  variables = g_environ_unsetenv (variables, "CACTUS_OPERATOR");
  variables = g_environ_setenv (variables, "LC_ALL", "C", TRUE);
  return variables;
}

/* Runs "cactusctl @p line" in the session's folder and adds its output, errors
   and exit code to the transcript. */
static void
run (struct session *session, const char *line)
{
  char *output = NULL;
  char *errors = NULL;
  int status = 0;
  GError *error = NULL;
  char *program = program_path ();
  char *absolute = g_canonicalize_filename (program, NULL);
  char **words = g_strsplit (line, " ", -1);
  char **variables = command_environment (session);
  GPtrArray *arguments = g_ptr_array_new ();
  g_ptr_array_add (arguments, absolute);
  for (char **word = words; *word; word++)
    g_ptr_array_add (arguments, *word);
  g_ptr_array_add (arguments, NULL);
  g_spawn_sync (session->folder, (char **)arguments->pdata, variables,
                G_SPAWN_DEFAULT, NULL, NULL, &output, &errors, &status,
                &error);
  g_assert_no_error (error);
  g_assert_true (WIFEXITED (status));
  g_string_append_printf (session->transcript, "$ cactusctl %s\n%s%s[%d]\n",
                          line, output, errors, WEXITSTATUS (status));
  g_ptr_array_unref (arguments);
  g_strfreev (words);
  g_strfreev (variables);
  g_free (absolute);
  g_free (program);
  g_free (output);
  g_free (errors);
}

static void
start_session (struct session *session, uint64_t lagging_version)
{
  memset (session, 0, sizeof *session);
  ctl_fake_start (&session->ctl, lagging_version);
  session->folder = g_dir_make_tmp ("cactus-ctl-XXXXXX", NULL);
  session->endpoint = control_fake_endpoint (&session->ctl.fake);
  session->transcript = g_string_new (NULL);
  write_file (session, "ana.key", SECRET_KEY "\n");
}

/* Compares the transcript with a golden file, where CONTROL stands for the
   fake's endpoint, and frees the session. */
static void
finish_session (struct session *session, const char *golden)
{
  char *path = source_path (golden);
  char *expected = NULL;
  g_string_replace (session->transcript, session->endpoint, "CONTROL", 0);
  g_file_get_contents (path, &expected, NULL, NULL);
  g_assert_cmpstr (session->transcript->str, ==, expected ? expected : "");
  tool_folder_remove (session->folder);
  ctl_fake_stop (&session->ctl);
  g_string_free (session->transcript, TRUE);
  g_free (session->folder);
  g_free (session->endpoint);
  g_free (expected);
  g_free (path);
}

static void
test_bundles (void)
{
  struct session session;
  start_session (&session, 1);
  write_document (&session, "one.json", 1, 1);
  write_document (&session, "other.json", 1, 2);
  write_document (&session, "two.json", 2, 2);
  write_document (&session, "five.json", 5, 2);
  write_file (&session, "bad.json", "{\"version\":0,\"colour\":1}");
  run (&session, "bundle check one.json");
  run (&session, "bundle check bad.json");
  run (&session, "bundle check missing.json");
  run (&session, "bundle show");
  run (&session, "bundle push one.json");
  run (&session, "bundle sign one.json --operator ana --key-file ana.key");
  run (&session, "bundle sign one.json --operator bea --key-file ana.key "
                 "--output bea.sig");
  run (&session, "bundle push one.json --wait");
  /* The answer may have been lost: a repeated push gets the same answer. */
  run (&session, "bundle push one.json --json");
  run (&session, "bundle push other.json --operator ana --key-file ana.key");
  run (&session, "bundle push five.json --operator ana --key-file ana.key");
  /* The push is accepted, but one process keeps running the older version. */
  run (&session, "bundle push two.json --wait --timeout-ms 300 --operator "
                 "ana --key-file ana.key");
  run (&session, "bundle status");
  run (&session, "bundle show");
  run (&session, "account show mar");
  run (&session, "account show sol");
  write_document (&session, "one.json", 1, 7);
  run (&session, "bundle push one.json");
  finish_session (&session, "tests/golden/ctl_bundles.txt");
}

static void
test_budgets (void)
{
  struct session session;
  start_session (&session, 0);
  run (&session, "budget top-up mar 1000 --id first");
  write_document (&session, "one.json", 1, 1);
  run (&session, "bundle push one.json --operator ana --key-file ana.key");
  run (&session, "budget top-up sol 1000 --id first");
  run (&session, "budget top-up mar 1000 --id first");
  run (&session, "budget top-up mar 1000 --id first");
  run (&session, "budget top-up mar 500 --id second --json");
  run (&session, "budget top-up mar -5");
  run (&session, "budget top-up mar 5x");
  run (&session, "budget top-up mar");
  run (&session, "budget show mar");
  run (&session, "budget show mar --json");
  finish_session (&session, "tests/golden/ctl_budgets.txt");
}

static void
test_evacuations (void)
{
  struct session session;
  start_session (&session, 0);
  run (&session, "evacuate cnx-a");
  g_assert_cmpstr (session.ctl.evacuated, ==, "cnx-a");
  run (&session, "status");
  run (&session, "status --json");
  run (&session, "evacuate nowhere");
  run (&session, "evacuate");
  run (&session, "return cnx-a --json");
  g_assert_cmpstr (session.ctl.evacuated, ==, "");
  finish_session (&session, "tests/golden/ctl_evacuations.txt");
}

static void
test_others (void)
{
  struct session session;
  start_session (&session, 0);
  run (&session, "status");
  run (&session, "status --json");
  run (&session, "target drain kitchen-1");
  g_assert_cmpstr (session.ctl.drained, ==, "kitchen-1");
  run (&session, "target undrain kitchen-1 --json");
  g_assert_cmpstr (session.ctl.drained, ==, "");
  run (&session, "target list");
  run (&session, "key digest secret");
  run (&session, "key digest secret --json");
  run (&session, "bundle keygen ana");
  run (&session, "sing");
  run (&session, "bundle sing");
  run (&session, "status --colour");
  run (&session, "status --control here");
  run (&session, "--version");
  finish_session (&session, "tests/golden/ctl_others.txt");
}

/* Nothing listens at the endpoint: each command reports that control is
   unreachable, and the top-up that nothing was done. */
static void
test_unreachable (void)
{
  struct session session;
  start_session (&session, 0);
  run (&session, "budget top-up mar 5 --id a --timeout-ms 200 --control "
                 "127.0.0.1:1");
  run (&session, "bundle status --timeout-ms 200 --control 127.0.0.1:1");
  run (&session, "status --control 127.0.0.1:1");
  finish_session (&session, "tests/golden/ctl_unreachable.txt");
}

/* A new key file is readable by its owner only and is never overwritten. */
static void
test_keygen (void)
{
  struct session session;
  GStatBuf info;
  start_session (&session, 0);
  run (&session, "bundle keygen nok");
  char *path = g_build_filename (session.folder, "nok.key", NULL);
  g_assert_cmpint (g_stat (path, &info), ==, 0);
  g_assert_cmpint (info.st_mode & 0777, ==, 0600);
  g_assert_cmpint (info.st_size, ==, 128);
  g_assert_nonnull (strstr (session.transcript->str, "[0]\n"));
  g_string_truncate (session.transcript, 0);
  run (&session, "bundle keygen nok");
  g_free (path);
  finish_session (&session, "tests/golden/ctl_keygen.txt");
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/ctl/bundles", test_bundles);
  g_test_add_func ("/ctl/budgets", test_budgets);
  g_test_add_func ("/ctl/evacuations", test_evacuations);
  g_test_add_func ("/ctl/others", test_others);
  g_test_add_func ("/ctl/unreachable", test_unreachable);
  g_test_add_func ("/ctl/keygen", test_keygen);
  return g_test_run ();
}
