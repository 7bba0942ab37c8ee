/** @file
 *  Commands member add, member promote and member remove. */

#include <stdio.h>

#include "base_settings.h"
#include "ctl_command.h"

static enum ctl_exit
change_member (struct ctl_context *context, enum control_member_change change,
               const char *address, uint16_t port)
{
  struct control_answer answer;
  struct control_member_args args = { 0 };
  args.cluster = context->options.cluster;
  args.change = change;
  args.member.name = context->arguments[1];
  args.member.address = (char *)address;
  args.member.port = port;
  enum ctl_exit code = ctl_call (
      context, CONTROL_MEMBER_CHANGE, (xdrproc_t)xdr_control_member_args,
      &args, (xdrproc_t)xdr_control_answer, &answer, sizeof answer);
  xdr_free ((xdrproc_t)xdr_control_answer, (char *)&answer);
  if (code == CTL_OK)
    printf (context->options.json ? "{\"done\":true}\n" : "done\n");
  return code;
}

enum ctl_exit
ctl_member_add (struct ctl_context *context)
{
  char address[16];
  uint16_t port = 0;
  if (!context->options.address
      || base_endpoint_split (context->options.address, address, &port) != 0)
    return ctl_fail (CTL_USAGE, "member add needs --address A.B.C.D:PORT");
  return change_member (context, CONTROL_MEMBER_ADD, address, port);
}

enum ctl_exit
ctl_member_promote (struct ctl_context *context)
{
  return change_member (context, CONTROL_MEMBER_PROMOTE, "", 0);
}

enum ctl_exit
ctl_member_remove (struct ctl_context *context)
{
  return change_member (context, CONTROL_MEMBER_REMOVE, "", 0);
}
