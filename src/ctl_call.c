/** @file
 *  Calls to control, and error messages of the commands. */

#include <stdarg.h>
#include <stdio.h>

#include "ctl_command.h"

enum ctl_exit
ctl_fail (enum ctl_exit code, const char *format, ...)
{
  va_list arguments;
  va_start (arguments, format);
  char *text = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  fprintf (stderr, "cactusctl: %s\n", text);
  g_free (text);
  return code;
}

/* Prints why a call to control got no answer. */
static enum ctl_exit
fail_call (const struct ctl_context *context, enum wire_status status)
{
  if (status == WIRE_LOST)
    return ctl_fail (CTL_UNREACHABLE,
                     "no answer from control at %s within %d ms; the command "
                     "may or may not have been applied: repeat it unchanged, "
                     "it is applied only once",
                     context->options.control, context->options.timeout_ms);
  if (status == WIRE_REFUSED)
    return ctl_fail (CTL_UNREACHABLE,
                     "%s does not serve control calls of this version; check "
                     "--control and the versions of cactusctl and of the "
                     "cluster",
                     context->options.control);
  return ctl_fail (CTL_UNREACHABLE,
                   "control at %s is unreachable or has no leader; nothing "
                   "was done: check --control and cactusctl status",
                   context->options.control);
}

/* Prints the error that control answered with. */
static enum ctl_exit
fail_answer (const struct ctl_context *context,
             const struct control_answer *answer)
{
  const char *text = answer->text ? answer->text : "";
  switch (answer->status)
    {
    case CONTROL_WRONG_CLUSTER:
      return ctl_fail (CTL_REFUSED,
                       "control serves cluster \"%s\", not \"%s\"; set "
                       "--cluster",
                       text, context->options.cluster);
    case CONTROL_NOT_FOUND:
      return ctl_fail (CTL_REFUSED, "not found%s%s", *text ? ": " : "", text);
    case CONTROL_CONFLICT:
      return ctl_fail (CTL_REFUSED, "conflict%s%s", *text ? ": " : "", text);
    default:
      return ctl_fail (CTL_REFUSED, "refused%s%s", *text ? ": " : "", text);
    }
}

enum ctl_exit
ctl_call (struct ctl_context *context, uint32_t procedure,
          xdrproc_t args_codec, void *args, xdrproc_t result_codec,
          void *result, size_t result_bytes)
{
  enum wire_status status = control_client_call (
      context->client, procedure, args_codec, args, result_codec, result,
      result_bytes, (uint32_t)context->options.timeout_ms);
  if (status != WIRE_OK)
    return fail_call (context, status);
  const struct control_answer *answer = result;
  if (answer->status != CONTROL_OK)
    return fail_answer (context, answer);
  return CTL_OK;
}
