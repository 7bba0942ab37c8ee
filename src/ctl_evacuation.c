/** @file
 *  Commands evacuate and return, and evacuated zones in the status. */

#include "ctl_evacuation.h"

#include <inttypes.h>
#include <stdio.h>

#include "base_settings.h"
#include "cactus_config.h"

/* Sends an order.  It is the operator's latest, so it counts whatever was
   accepted before. */
static enum ctl_exit
send_order (struct ctl_context *context, bool evacuate)
{
  struct control_evacuation_result result;
  struct control_evacuation_args args
      = { .cluster = context->options.cluster,
          .availability_zone = context->arguments[1],
          .evacuate = evacuate,
          .after_change = UINT64_MAX };
  enum ctl_exit code = ctl_call (
      context, CONTROL_EVACUATION, (xdrproc_t)xdr_control_evacuation_args,
      &args, (xdrproc_t)xdr_control_evacuation_result, &result, sizeof result);
  if (code == CTL_OK)
    printf (context->options.json ? "{\"change\":%" PRIu64 "}\n"
                                  : "done, change %" PRIu64 "\n",
            (uint64_t)result.change);
  xdr_free ((xdrproc_t)xdr_control_evacuation_result, (char *)&result);
  return code;
}

enum ctl_exit
ctl_evacuate (struct ctl_context *context)
{
  return send_order (context, true);
}

enum ctl_exit
ctl_return (struct ctl_context *context)
{
  return send_order (context, false);
}

static enum wire_status
fetch_list (const struct ctl_context *context, const char *endpoint,
            struct control_evacuation_list_result *result)
{
  char address[16];
  uint16_t port = 0;
  struct control_evacuation_list_args args = { context->options.cluster };
  base_endpoint_split (endpoint, address, &port);
  struct wire_client *client
      = wire_client_create (address, port, CONTROL_PROGRAM, CONTROL_VERSION);
  enum wire_status status
      = wire_client_call (client, CONTROL_EVACUATION_LIST,
                          (xdrproc_t)xdr_control_evacuation_list_args, &args,
                          (xdrproc_t)xdr_control_evacuation_list_result,
                          result, sizeof *result, CACTUS_CALL_TIMEOUT_MS);
  wire_client_destroy (client);
  return status;
}

uint32_t
ctl_list_evacuations (const struct ctl_context *context,
                      struct ctl_table *table)
{
  struct control_evacuation_list_result newest = { 0 };
  for (char **endpoint = context->endpoints; *endpoint; endpoint++)
    {
      struct control_evacuation_list_result result;
      if (fetch_list (context, *endpoint, &result) != WIRE_OK)
        continue;
      struct control_evacuation_list_result other
          = result.change > newest.change ? newest : result;
      newest = result.change > newest.change ? result : newest;
      xdr_free ((xdrproc_t)xdr_control_evacuation_list_result, (char *)&other);
    }
  uint32_t count = newest.zones.zones_len;
  for (uint32_t i = 0; i < count; i++)
    {
      const struct control_evacuation_status *zone
          = &newest.zones.zones_val[i];
      ctl_table_add_text (table, zone->evacuation.availability_zone);
      ctl_table_add_number (table, zone->evacuation.since_ms);
      ctl_table_add_number (table, zone->evacuation.change);
      ctl_table_add_number (table, zone->routers_in_force);
      ctl_table_add_number (table, newest.routers);
    }
  xdr_free ((xdrproc_t)xdr_control_evacuation_list_result, (char *)&newest);
  return count;
}
