/** @file
 *  Fetches the status of the cluster from the members of control. */

#include "ctl_cluster.h"

#include <string.h>

#include "base_clock.h"
#include "base_settings.h"
#include "cactus_config.h"

#define RETRY_PAUSE_MS 50

void
ctl_status_clear (struct control_status_result *result)
{
  xdr_free ((xdrproc_t)xdr_control_status_result, (char *)result);
  memset (result, 0, sizeof *result);
}

enum wire_status
ctl_fetch_member_status (const struct ctl_context *context,
                         const char *endpoint,
                         struct control_status_result *result)
{
  char address[16];
  uint16_t port = 0;
  struct control_status_args args = { context->options.cluster };
  base_endpoint_split (endpoint, address, &port);
  struct wire_client *client
      = wire_client_create (address, port, CONTROL_PROGRAM, CONTROL_VERSION);
  enum wire_status status = wire_client_call (
      client, CONTROL_STATUS, (xdrproc_t)xdr_control_status_args, &args,
      (xdrproc_t)xdr_control_status_result, result, sizeof *result,
      CACTUS_CALL_TIMEOUT_MS);
  wire_client_destroy (client);
  return status;
}

/* When two members report that they are the leader, the one with the higher
   term is the leader. */
bool
ctl_fetch_leader_status (const struct ctl_context *context,
                         struct control_status_result *result)
{
  bool found = false;
  memset (result, 0, sizeof *result);
  for (char **endpoint = context->endpoints; *endpoint; endpoint++)
    {
      struct control_status_result status;
      if (ctl_fetch_member_status (context, *endpoint, &status) == WIRE_OK
          && status.answer.status == CONTROL_OK && status.leader
          && (!found || status.term > result->term))
        {
          ctl_status_clear (result);
          *result = status;
          found = true;
          continue;
        }
      ctl_status_clear (&status);
    }
  return found;
}

enum ctl_exit
ctl_wait_leader_status (const struct ctl_context *context,
                        struct control_status_result *result)
{
  struct base_clock *clock = base_clock_system ();
  uint64_t deadline_ms
      = base_clock_now_ms (clock) + (uint64_t)context->options.timeout_ms;
  while (!ctl_fetch_leader_status (context, result))
    {
      if (base_clock_now_ms (clock) >= deadline_ms)
        return ctl_fail (CTL_UNREACHABLE,
                         "no member at %s reports that it is the leader; "
                         "cactusctl status shows which members answer",
                         context->options.control);
      g_usleep (RETRY_PAUSE_MS * 1000);
    }
  return CTL_OK;
}

const char *
ctl_process_kind_name (enum wire_process_kind kind)
{
  switch (kind)
    {
    case WIRE_PROCESS_ROUTER:
      return "router";
    case WIRE_PROCESS_LEDGER:
      return "ledger";
    case WIRE_PROCESS_CONTROL:
      return "control";
    default:
      return "unknown";
    }
}
