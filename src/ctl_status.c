/** @file
 *  Command status. */

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base_settings.h"
#include "ctl_cluster.h"
#include "ctl_evacuation.h"
#include "ctl_table.h"

/* Returns the member at @p endpoint from the status's list of members, or
   NULL. */
static const struct control_member *
find_member (const struct control_status_result *status, const char *endpoint)
{
  char address[16];
  uint16_t port = 0;
  base_endpoint_split (endpoint, address, &port);
  for (u_int i = 0; i < status->members.members_len; i++)
    {
      const struct control_member *member = &status->members.members_val[i];
      if (member->port == port && strcmp (member->address, address) == 0)
        return member;
    }
  return NULL;
}

static const char *
member_role (const struct control_status_result *status,
             const struct control_member *member)
{
  if (status->leader)
    return "leader";
  if (!member)
    return "not a member";
  return member->voter ? "voter" : "learner";
}

static void
add_member (struct ctl_table *table, const char *endpoint,
            enum wire_status outcome,
            const struct control_status_result *status)
{
  bool answered = outcome == WIRE_OK && status->answer.status == CONTROL_OK;
  const struct control_member *member = find_member (status, endpoint);
  ctl_table_add_text (table, endpoint);
  ctl_table_add_text (table, answered ? status->member : "");
  ctl_table_add_text (table, member ? member->name : "");
  ctl_table_add_text (table,
                      answered ? member_role (status, member) : "no answer");
  ctl_table_add_number (table, status->term);
  ctl_table_add_number (table, status->commit_index);
  ctl_table_add_number (table, status->applied_index);
  ctl_table_add_number (table, status->last_index);
  ctl_table_add_number (table, status->bundle_version);
}

/* Adds a row for each endpoint of --control; returns how many answered. */
static uint32_t
list_members (const struct ctl_context *context, struct ctl_table *table)
{
  uint32_t answered = 0;
  for (char **endpoint = context->endpoints; *endpoint; endpoint++)
    {
      struct control_status_result status;
      enum wire_status outcome
          = ctl_fetch_member_status (context, *endpoint, &status);
      add_member (table, *endpoint, outcome, &status);
      answered += outcome == WIRE_OK;
      ctl_status_clear (&status);
    }
  return answered;
}

static void
list_processes (const struct control_status_result *status,
                struct ctl_table *table)
{
  for (u_int i = 0; i < status->processes.processes_len; i++)
    {
      const struct wire_process *process = &status->processes.processes_val[i];
      ctl_table_add_text (table, ctl_process_kind_name (process->kind));
      ctl_table_add_text (table, process->host);
      ctl_table_add_text (table, process->availability_zone);
      ctl_table_add_text (table, process->region);
      ctl_table_add_text (table, process->address);
      ctl_table_add_number (table, process->rpc_port);
      ctl_table_add_number (table, process->http_port);
      ctl_table_add_number (table, process->bundle_version);
    }
}

static void
print_all (const struct ctl_context *context, const struct ctl_table *members,
           const struct ctl_table *processes,
           const struct ctl_table *evacuations)
{
  if (!context->options.json)
    {
      ctl_table_print (members, false);
      puts ("");
      ctl_table_print (processes, false);
      if (evacuations)
        puts ("");
      if (evacuations)
        ctl_table_print (evacuations, false);
      return;
    }
  puts ("{\"members\":");
  ctl_table_print (members, true);
  puts (",\"processes\":");
  ctl_table_print (processes, true);
  if (evacuations)
    puts (",\"evacuations\":");
  if (evacuations)
    ctl_table_print (evacuations, true);
  puts ("}");
}

enum ctl_exit
ctl_status (struct ctl_context *context)
{
  static const char *const member_columns[] = {
    "endpoint",     "host",          "member",     "role",           "term",
    "commit_index", "applied_index", "last_index", "bundle_version", NULL
  };
  static const char *const process_columns[]
      = { "kind",     "host",      "availability_zone", "region", "address",
          "rpc_port", "http_port", "bundle_version",    NULL };
  static const char *const evacuation_columns[]
      = { "evacuated_zone",   "since_ms", "change",
          "routers_in_force", "routers",  NULL };
  struct control_status_result leader;
  struct ctl_table *members = ctl_table_create (member_columns);
  struct ctl_table *processes = ctl_table_create (process_columns);
  struct ctl_table *evacuations = ctl_table_create (evacuation_columns);
  uint32_t answered = list_members (context, members);
  bool has_leader = ctl_fetch_leader_status (context, &leader);
  list_processes (&leader, processes);
  bool has_evacuations = ctl_list_evacuations (context, evacuations) > 0;
  print_all (context, members, processes,
             has_evacuations ? evacuations : NULL);
  ctl_table_destroy (evacuations);
  ctl_table_destroy (members);
  ctl_table_destroy (processes);
  ctl_status_clear (&leader);
  if (has_leader)
    return CTL_OK;
  if (answered == 0)
    return ctl_fail (CTL_UNREACHABLE, "no member answers; check --control and "
                                      "that cactus-control is running");
  return ctl_fail (CTL_UNREACHABLE,
                   "no member reports that it is the leader: control has no "
                   "quorum; ledgers and routers continue with the bundle and "
                   "the tokens that they have");
}
