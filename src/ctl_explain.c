/** @file
 *  Command explain: prints a request's timeline from the logs of several
 *  processes. */

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl_command.h"
#include "log_timeline.h"

/* Calls @p handle_line for each line of a file.  Returns false with errno set
   when the file can't be read. */
static bool
read_lines (const char *path, struct log_timeline *timeline,
            void (*handle_line) (struct log_timeline *timeline,
                                 const char *text))
{
  char *text = NULL;
  size_t capacity = 0;
  FILE *file = fopen (path, "re");
  if (!file)
    return false;
  while (getline (&text, &capacity, file) >= 0)
    handle_line (timeline, text);
  bool complete = !ferror (file);
  free (text);
  fclose (file);
  return complete;
}

/* Calls @p handle_line for each line of all files.  Returns false after
   printing an error. */
static bool
read_files (const struct ctl_context *context, struct log_timeline *timeline,
            void (*handle_line) (struct log_timeline *timeline,
                                 const char *text))
{
  for (uint32_t i = 2; i <= context->argument_count; i++)
    if (!read_lines (context->arguments[i], timeline, handle_line))
      {
        ctl_fail (CTL_USAGE, "%s: %s", context->arguments[i],
                  g_strerror (errno));
        return false;
      }
  return true;
}

enum ctl_exit
ctl_explain (struct ctl_context *context)
{
  enum ctl_exit code = CTL_USAGE;
  const char *id = context->arguments[1];
  struct log_timeline *timeline = log_timeline_create (id);
  GString *text = g_string_new (NULL);
  if (!read_files (context, timeline, log_timeline_scan))
    goto done;
  if (!log_timeline_is_found (timeline))
    {
      ctl_fail (
          CTL_USAGE,
          "no line of these logs has id=%s; give the logs of all routers of "
          "that time",
          id);
      goto done;
    }
  if (!read_files (context, timeline, log_timeline_collect))
    goto done;
  log_timeline_print (timeline, text);
  fputs (text->str, stdout);
  code = CTL_OK;
done:
  g_string_free (text, TRUE);
  log_timeline_destroy (timeline);
  return code;
}
