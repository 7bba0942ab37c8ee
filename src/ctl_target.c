/** @file
 *  Commands target list, target drain and target undrain. */

#include <stdio.h>
#include <string.h>

#include "cactus_config.h"
#include "ctl_cluster.h"
#include "ctl_http.h"
#include "ctl_table.h"

/* Adds the targets on one router's page, except for those in @p seen. */
static void
add_targets (struct ctl_table *table, GHashTable *seen, json_t *page,
             const char *router)
{
  static const char *const texts[]
      = { "target", "service", "availability_zone", "region", "address" };
  static const char *const numbers[]
      = { "port", "slots", "running", "queued" };
  size_t index;
  json_t *target;
  json_t *list
      = json_is_array (page) ? page : json_object_get (page, "targets");
  json_array_foreach (list, index, target)
  {
    const char *name = json_string_value (json_object_get (target, "target"));
    if (!name || !g_hash_table_add (seen, g_strdup (name)))
      continue;
    for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
      ctl_table_add_text (
          table, json_string_value (json_object_get (target, texts[i])));
    for (size_t i = 0; i < G_N_ELEMENTS (numbers); i++)
      ctl_table_add_number (table, (uint64_t)json_integer_value (
                                       json_object_get (target, numbers[i])));
    ctl_table_add_bool (table,
                        json_is_true (json_object_get (target, "leaving")));
    ctl_table_add_text (table, router);
  }
}

/* Adds the targets of one router per availability zone; when a router does not
   answer, the zone's next one is tried.  Returns how many answered. */
static uint32_t
query_routers (const struct control_status_result *status,
               struct ctl_table *table)
{
  uint32_t answered = 0;
  GHashTable *seen
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GHashTable *zones = g_hash_table_new (g_str_hash, g_str_equal);
  for (u_int i = 0; i < status->processes.processes_len; i++)
    {
      const struct wire_process *process = &status->processes.processes_val[i];
      if (process->kind != WIRE_PROCESS_ROUTER
          || g_hash_table_contains (zones, process->availability_zone))
        continue;
      json_t *page
          = ctl_http_get_json (process->address, (uint16_t)process->http_port,
                               "/targets", CACTUS_CALL_TIMEOUT_MS);
      if (!page)
        continue;
      g_hash_table_add (zones, process->availability_zone);
      add_targets (table, seen, page, process->host);
      json_decref (page);
      answered++;
    }
  g_hash_table_unref (zones);
  g_hash_table_unref (seen);
  return answered;
}

enum ctl_exit
ctl_target_list (struct ctl_context *context)
{
  static const char *const columns[]
      = { "target",  "service", "availability_zone", "region", "address",
          "port",    "slots",   "running",           "queued", "leaving",
          "seen_by", NULL };
  struct control_status_result status;
  enum ctl_exit code = ctl_wait_leader_status (context, &status);
  if (code != CTL_OK)
    return code;
  struct ctl_table *table = ctl_table_create (columns);
  if (query_routers (&status, table) > 0)
    ctl_table_print (table, context->options.json);
  else
    code = ctl_fail (CTL_UNREACHABLE, "no live router answers; cactusctl "
                                      "status lists the live processes");
  ctl_table_destroy (table);
  ctl_status_clear (&status);
  return code;
}

static enum ctl_exit
set_drain (struct ctl_context *context, bool drain)
{
  struct control_answer answer;
  struct control_drain_args args
      = { context->options.cluster, context->arguments[1], drain };
  enum ctl_exit code = ctl_call (
      context, CONTROL_DRAIN, (xdrproc_t)xdr_control_drain_args, &args,
      (xdrproc_t)xdr_control_answer, &answer, sizeof answer);
  xdr_free ((xdrproc_t)xdr_control_answer, (char *)&answer);
  if (code == CTL_OK)
    printf (context->options.json ? "{\"done\":true}\n" : "done\n");
  return code;
}

enum ctl_exit
ctl_target_drain (struct ctl_context *context)
{
  return set_drain (context, true);
}

enum ctl_exit
ctl_target_undrain (struct ctl_context *context)
{
  return set_drain (context, false);
}
