/** @file
 *  cactusctl status. */

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base_settings.h"
#include "ctl_cluster.h"
#include "ctl_table.h"

/* The member at @p endpoint as the status lists it, or NULL. */
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
  ctl_table_text (table, endpoint);
  ctl_table_text (table, answered ? status->member : "");
  ctl_table_text (table, member ? member->name : "");
  ctl_table_text (table,
                  answered ? member_role (status, member) : "no answer");
  ctl_table_number (table, status->term);
  ctl_table_number (table, status->commit_index);
  ctl_table_number (table, status->applied_index);
  ctl_table_number (table, status->last_index);
  ctl_table_number (table, status->bundle_version);
}

/* A row for each endpoint given; the count of those that answered. */
static uint32_t
list_members (const struct ctl_context *context, struct ctl_table *table)
{
  uint32_t answered = 0;
  for (char **endpoint = context->endpoints; *endpoint; endpoint++)
    {
      struct control_status_result status;
      enum wire_status outcome
          = ctl_member_status (context, *endpoint, &status);
      add_member (table, *endpoint, outcome, &status);
      answered += outcome == WIRE_OK;
      ctl_status_free (&status);
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
      ctl_table_text (table, ctl_process_kind (process->kind));
      ctl_table_text (table, process->host);
      ctl_table_text (table, process->availability_zone);
      ctl_table_text (table, process->region);
      ctl_table_text (table, process->address);
      ctl_table_number (table, process->rpc_port);
      ctl_table_number (table, process->http_port);
      ctl_table_number (table, process->bundle_version);
    }
}

static void
print_both (const struct ctl_context *context, const struct ctl_table *members,
            const struct ctl_table *processes)
{
  if (!context->options.json)
    {
      ctl_table_print (members, false);
      puts ("");
      ctl_table_print (processes, false);
      return;
    }
  puts ("{\"members\":");
  ctl_table_print (members, true);
  puts (",\"processes\":");
  ctl_table_print (processes, true);
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
  struct control_status_result leader;
  struct ctl_table *members = ctl_table_create (member_columns);
  struct ctl_table *processes = ctl_table_create (process_columns);
  uint32_t answered = list_members (context, members);
  bool led = ctl_leader_status (context, &leader);
  list_processes (&leader, processes);
  print_both (context, members, processes);
  ctl_table_destroy (members);
  ctl_table_destroy (processes);
  ctl_status_free (&leader);
  if (led)
    return CTL_DONE;
  if (answered == 0)
    return ctl_fail (CTL_UNREACHABLE, "no member answers; check --control and "
                                      "that cactus-control runs");
  return ctl_fail (CTL_UNREACHABLE,
                   "no member says that it leads: a majority can't be "
                   "reached; ledgers and routers go on with what they have");
}
