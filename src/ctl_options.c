/** @file
 *  Reads the options and arguments of a command. */

#include <stdlib.h>
#include <string.h>

#include "base_settings.h"
#include "ctl_command.h"

#define TIMEOUT_DEFAULT_MS 10000
#define TIMEOUT_MAX_MS 600000
/* Options that every command takes; fill_options lists them first. */
#define COMMON_OPTIONS 4
#define OPTIONS_MAX 20

/* Fills @p entries with all options, the common ones first. */
static void
fill_options (struct ctl_options *options, GOptionEntry entries[OPTIONS_MAX])
{
  const GOptionEntry all[OPTIONS_MAX]
      = { { "control", 0, 0, G_OPTION_ARG_STRING, &options->control,
            "Control members (or CACTUS_CONTROL)", "A.B.C.D:PORT,..." },
          { "cluster", 0, 0, G_OPTION_ARG_STRING, &options->cluster,
            "Name of the cluster (or CACTUS_CLUSTER)", "NAME" },
          { "json", 0, 0, G_OPTION_ARG_NONE, &options->json,
            "Prints JSON instead of a table", NULL },
          { "timeout-ms", 0, 0, G_OPTION_ARG_INT, &options->timeout_ms,
            "Deadline of the command in milliseconds (default 10000)", "N" },
          { "wait", 0, 0, G_OPTION_ARG_NONE, &options->wait,
            "Waits until every live process runs the version", NULL },
          { "operator", 0, 0, G_OPTION_ARG_STRING, &options->operator_name,
            "Name of the operator (or CACTUS_OPERATOR)", "NAME" },
          { "key-file", 0, 0, G_OPTION_ARG_FILENAME, &options->key_file,
            "Secret key made by bundle keygen", "FILE" },
          { "output", 0, 0, G_OPTION_ARG_FILENAME, &options->output,
            "File to write", "FILE" },
          { "budget", 0, 0, G_OPTION_ARG_STRING, &options->budget,
            "Budget of the account (default \"default\")", "NAME" },
          { "id", 0, 0, G_OPTION_ARG_STRING, &options->id,
            "Id of the top-up; one id is applied only once", "ID" },
          { "account", 0, 0, G_OPTION_ARG_STRING, &options->account,
            "Bills of this account only", "NAME" },
          { "from", 0, 0, G_OPTION_ARG_STRING, &options->from,
            "Bills settled at this time or later", "ISO8601" },
          { "to", 0, 0, G_OPTION_ARG_STRING, &options->to,
            "Bills settled before this time", "ISO8601" },
          { "bundle-version", 0, 0, G_OPTION_ARG_INT64,
            &options->bundle_version, "Version to show (default: the newest)",
            "N" },
          { "address", 0, 0, G_OPTION_ARG_STRING, &options->address,
            "Endpoint of the member", "A.B.C.D:PORT" },
          { 0 } };
  memcpy (entries, all, sizeof all);
}

static bool
is_listed (const char *const *names, const char *name)
{
  for (; *names; names++)
    if (strcmp (*names, name) == 0)
      return true;
  return false;
}

/* Removes the options that the command does not take. */
static void
keep_options (GOptionEntry entries[OPTIONS_MAX],
              const struct ctl_command *command)
{
  size_t kept = 0;
  for (size_t i = 0; entries[i].long_name; i++)
    if (i < COMMON_OPTIONS
        || is_listed (command->options, entries[i].long_name))
      entries[kept++] = entries[i];
  memset (&entries[kept], 0, sizeof entries[kept]);
}

static bool
parse_options (struct ctl_context *context, const struct ctl_command *command,
               int argc, char **argv)
{
  GOptionEntry entries[OPTIONS_MAX];
  GError *error = NULL;
  char *title
      = g_strdup_printf ("%s - %s", command->arguments, command->summary);
  GOptionContext *options = g_option_context_new (title);
  char **remaining = g_new0 (char *, (size_t)argc + 1);
  for (int i = 0; i < argc; i++)
    remaining[i] = g_strdup (argv[i]);
  g_free (remaining[0]);
  remaining[0] = g_strconcat ("cactusctl ", command->name, NULL);
  g_set_prgname (remaining[0]);
  fill_options (&context->options, entries);
  keep_options (entries, command);
  g_option_context_add_main_entries (options, entries, NULL);
  bool parsed = g_option_context_parse_strv (options, &remaining, &error);
  if (!parsed)
    ctl_fail (CTL_USAGE, "%s; cactusctl %s --help shows the options",
              error->message, command->name);
  g_clear_error (&error);
  g_option_context_free (options);
  g_free (title);
  context->arguments = remaining;
  return parsed;
}

/* Sets an option that was not given to the value of an environment variable,
   or else to @p fallback. */
static void
default_from_environment (char **value, const char *name, const char *fallback)
{
  const char *text = getenv (name);
  if (!*value && (text || fallback))
    *value = g_strdup (text ? text : fallback);
}

static bool
read_endpoints (struct ctl_context *context)
{
  char address[16];
  uint16_t port;
  if (!context->options.control)
    {
      ctl_fail (CTL_USAGE, "no control members given; give --control "
                           "A.B.C.D:PORT,... or set CACTUS_CONTROL");
      return false;
    }
  context->endpoints = g_strsplit (context->options.control, ",", -1);
  for (char **endpoint = context->endpoints; *endpoint; endpoint++)
    if (base_endpoint_split (*endpoint, address, &port) != 0)
      {
        ctl_fail (CTL_USAGE,
                  "\"%s\" is not an endpoint; write A.B.C.D:PORT with commas "
                  "between members",
                  *endpoint);
        return false;
      }
  return true;
}

bool
ctl_options_read (struct ctl_context *context,
                  const struct ctl_command *command, int argc, char **argv)
{
  context->options.timeout_ms = TIMEOUT_DEFAULT_MS;
  if (!parse_options (context, command, argc, argv))
    return false;
  default_from_environment (&context->options.control, "CACTUS_CONTROL", NULL);
  default_from_environment (&context->options.cluster, "CACTUS_CLUSTER",
                            "cactus");
  default_from_environment (&context->options.operator_name, "CACTUS_OPERATOR",
                            NULL);
  default_from_environment (&context->options.budget, "CACTUS_BUDGET",
                            "default");
  context->argument_count = g_strv_length (context->arguments) - 1;
  if (context->argument_count < command->arguments_min
      || context->argument_count > command->arguments_max)
    {
      ctl_fail (CTL_USAGE, "wrong number of arguments; usage: cactusctl %s %s",
                command->name, command->arguments);
      return false;
    }
  if (context->options.timeout_ms < 1
      || context->options.timeout_ms > TIMEOUT_MAX_MS)
    {
      ctl_fail (CTL_USAGE, "--timeout-ms must be from 1 to %d",
                TIMEOUT_MAX_MS);
      return false;
    }
  return !command->needs_control || read_endpoints (context);
}

void
ctl_options_clear (struct ctl_context *context)
{
  struct ctl_options *options = &context->options;
  char *const texts[]
      = { options->control,  options->cluster, options->operator_name,
          options->key_file, options->output,  options->budget,
          options->id,       options->account, options->from,
          options->to,       options->address };
  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    g_free (texts[i]);
  g_strfreev (context->endpoints);
  g_strfreev (context->arguments);
}
