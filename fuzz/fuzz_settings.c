/** @file
 *  Fuzzes the parser of settings: each line of the input is a command-line
 *  argument, and there is one setting of each type. */

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "base_settings.h"

#define ARGUMENTS_MAX 32

/** The fuzz target, as libFuzzer calls it. */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t bytes);

/* Whether GLib would print the help text and exit: for --help..., and for a
   group of short options that contains h or ?. */
static bool
exits_with_help (const char *argument)
{
  if (argument[0] != '-')
    return false;
  if (argument[1] == '-')
    return g_str_has_prefix (argument, "--help");
  return strpbrk (argument, "h?") != NULL;
}

static void
read_settings (int argc, char **argv)
{
  char *name = NULL;
  uint64_t count = 0;
  bool loud = false;
  char *endpoint = NULL;
  char **endpoints = NULL;
  const struct base_setting settings[]
      = { { "name", BASE_SETTING_STRING, &name, "x", false, 0, 0, "" },
          { "count", BASE_SETTING_NUMBER, &count, "5", false, 1, 10, "" },
          { "loud", BASE_SETTING_SWITCH, &loud, NULL, false, 0, 0, "" },
          { "endpoint", BASE_SETTING_ENDPOINT, &endpoint, "127.0.0.1:1", false,
            0, 0, "" },
          { "endpoints", BASE_SETTING_ENDPOINTS, &endpoints, NULL, false, 0, 0,
            "" },
          { 0 } };
  enum base_settings_outcome outcome
      = base_settings_read (argc, argv, "fuzz", settings);
  if (outcome == BASE_SETTINGS_RUN && (count < 1 || count > 10))
    g_error ("base_settings_read accepted count=%" PRIu64
             ", which is outside of 1 to 10",
             count);
  base_settings_clear (settings);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t bytes)
{
  static FILE *discarded_stderr;
  char *arguments[ARGUMENTS_MAX + 2] = { 0 };
  int count = 0;
  if (!discarded_stderr)
    discarded_stderr = freopen ("/dev/null", "w", stderr);
  char *text = g_strndup ((const char *)data, bytes);
  char **lines = g_strsplit (text, "\n", ARGUMENTS_MAX);
  arguments[count++] = g_strdup ("fuzz");
  for (char **line = lines; *line && count <= ARGUMENTS_MAX; line++)
    {
      if (!exits_with_help (*line))
        arguments[count++] = g_strdup (*line);
    }
  read_settings (count, arguments);
  for (int i = 0; i < count; i++)
    g_free (arguments[i]);
  g_strfreev (lines);
  g_free (text);
  return 0;
}
