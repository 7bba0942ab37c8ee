/** @file
 *  Table of the commands, and the choice of one by the arguments. */

#include "ctl_command.h"

#include <stdio.h>
#include <string.h>

/* Maximum number of log files for one run of explain. */
#define LOGS_MAX 4096

static const char *const no_options[] = { NULL };
static const char *const keygen_options[] = { "output", NULL };
static const char *const sign_options[]
    = { "operator", "key-file", "output", NULL };
static const char *const push_options[]
    = { "operator", "key-file", "wait", NULL };
static const char *const version_options[] = { "bundle-version", NULL };
static const char *const top_up_options[]
    = { "budget", "id", "operator", NULL };
static const char *const budget_options[] = { "budget", NULL };
static const char *const member_options[] = { "address", NULL };
static const char *const bills_options[]
    = { "account", "budget", "from", "to", NULL };

const struct ctl_command ctl_commands[] = {
  { "bundle keygen", "NAME", "Makes an operator's key pair", keygen_options, 1,
    1, false, ctl_bundle_keygen },
  { "bundle check", "FILE", "Checks a document and lists all findings",
    no_options, 1, 1, false, ctl_bundle_check },
  { "bundle sign", "FILE", "Signs a document", sign_options, 1, 1, false,
    ctl_bundle_sign },
  { "bundle push", "FILE", "Sends a signed document to control", push_options,
    1, 1, true, ctl_bundle_push },
  { "bundle status", "", "Shows which version each process runs", no_options,
    0, 0, true, ctl_bundle_status },
  { "bundle show", "", "Prints an accepted document", version_options, 0, 0,
    true, ctl_bundle_show },
  { "budget top-up", "ACCOUNT TOKENS", "Adds prepaid tokens to a budget",
    top_up_options, 2, 2, true, ctl_budget_top_up },
  { "budget show", "ACCOUNT", "Shows a budget and its shares", budget_options,
    1, 1, true, ctl_budget_show },
  { "account show", "ACCOUNT", "Shows an account and its access rules",
    no_options, 1, 1, true, ctl_account_show },
  { "key digest", "KEY",
    "Prints the digest of an API key (-: from standard input)", no_options, 1,
    1, false, ctl_key_digest },
  { "status", "", "Shows control's members and the live processes", no_options,
    0, 0, true, ctl_status },
  { "member add", "NUMBER", "Adds a control member as a learner",
    member_options, 1, 1, true, ctl_member_add },
  { "member promote", "NUMBER", "Makes a caught-up learner a voter",
    no_options, 1, 1, true, ctl_member_promote },
  { "member remove", "NUMBER", "Removes a control member", no_options, 1, 1,
    true, ctl_member_remove },
  { "target list", "", "Lists the targets known to the routers", no_options, 0,
    0, true, ctl_target_list },
  { "target drain", "TARGET", "Stops new calls to a target", no_options, 1, 1,
    true, ctl_target_drain },
  { "target undrain", "TARGET", "Allows calls to a drained target again",
    no_options, 1, 1, true, ctl_target_undrain },
  { "evacuate", "ZONE", "Stops new calls to an availability zone's targets",
    no_options, 1, 1, true, ctl_evacuate },
  { "return", "ZONE", "Allows calls to an evacuated zone's targets again",
    no_options, 1, 1, true, ctl_return },
  { "bills", "", "Lists bills from all ledgers", bills_options, 0, 0, true,
    ctl_bills },
  { "explain", "REQUEST LOG...", "Prints a request's timeline from log files",
    no_options, 2, LOGS_MAX, false, ctl_explain },
  { 0 }
};

static void
print_commands (FILE *stream)
{
  fputs ("Usage: cactusctl COMMAND [OPTION...] [ARGUMENT...]\n\n"
         "Commands (cactusctl COMMAND --help shows the options):\n",
         stream);
  for (const struct ctl_command *command = ctl_commands; command->name;
       command++)
    {
      char *usage
          = g_strdup_printf ("%s %s", command->name, command->arguments);
      fprintf (stream, "  %-30s %s\n", usage, command->summary);
      g_free (usage);
    }
  fputs ("\nExit status: 0 done; 1 refused, or some process is not up to "
         "date;\n2 wrong usage or findings; 3 no answer.\n",
         stream);
}

/* Finds the command whose words the arguments begin with, or NULL; @p words
   returns their number. */
static const struct ctl_command *
find_command (int argc, char **argv, int *words)
{
  for (const struct ctl_command *command = ctl_commands; command->name;
       command++)
    {
      char **parts = g_strsplit (command->name, " ", -1);
      int count = (int)g_strv_length (parts);
      bool matches = argc > count;
      for (int i = 0; matches && i < count; i++)
        matches = strcmp (parts[i], argv[i + 1]) == 0;
      g_strfreev (parts);
      *words = count;
      if (matches)
        return command;
    }
  return NULL;
}

static enum ctl_exit
run_command (const struct ctl_command *command, int argc, char **argv)
{
  struct ctl_context context = { 0 };
  enum ctl_exit code = CTL_USAGE;
  if (!ctl_options_read (&context, command, argc, argv))
    goto done;
  if (command->needs_control)
    context.client
        = control_client_create ((const char *const *)context.endpoints);
  code = command->run (&context);
done:
  control_client_destroy (context.client);
  ctl_options_clear (&context);
  return code;
}

enum ctl_exit
ctl_run (int argc, char **argv)
{
  int words;
  if (argc < 2 || strcmp (argv[1], "--help") == 0
      || strcmp (argv[1], "-h") == 0)
    {
      print_commands (argc < 2 ? stderr : stdout);
      return argc < 2 ? CTL_USAGE : CTL_OK;
    }
  if (strcmp (argv[1], "--version") == 0)
    {
      printf ("cactusspool %s\n", CACTUS_VERSION);
      return CTL_OK;
    }
  const struct ctl_command *command = find_command (argc, argv, &words);
  if (!command)
    return ctl_fail (CTL_USAGE,
                     "there is no command \"%s%s%s\"; see cactusctl --help",
                     argv[1], argc > 2 ? " " : "", argc > 2 ? argv[2] : "");
  return run_command (command, argc - words, argv + words);
}
