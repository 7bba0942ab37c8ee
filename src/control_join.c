#include "control_join.h"

#include <inttypes.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base_log.h"

/* Interval of the membership check while this process is a member, and while
   it is not. */
#define MEMBER_INTERVAL_MS 1000
#define JOIN_INTERVAL_MS 200
#define CALL_TIMEOUT_MS 1000
/* Interval of the check for a stop request. */
#define STOP_POLL_MS 50

struct control_join
{
  struct control_daemon *daemon;
  struct control_daemon_options options;
  struct control_client *control;
  atomic_bool stopping;
  GThread *thread;
};

/* Converts the members in a status result to a configuration. */
static void
read_members (const struct control_status_result *status,
              struct consensus_configuration *members)
{
  memset (members, 0, sizeof *members);
  for (u_int i = 0; i < status->members.members_len; i++)
    {
      const struct control_member *from = &status->members.members_val[i];
      struct consensus_member member = { 0 };
      member.id = strtoull (from->name, NULL, 10);
      member.incarnation = from->incarnation;
      member.role = from->voter ? CONSENSUS_VOTER : CONSENSUS_LEARNER;
      g_strlcpy (member.address, from->address, sizeof member.address);
      member.port = (uint16_t)from->port;
      consensus_configuration_add (members, &member);
    }
}

static void
request_join (struct control_join *join)
{
  char name[32];
  struct control_answer answer = { 0 };
  struct control_member_args args = { 0 };
  g_snprintf (name, sizeof name, "%" PRIu64, join->options.member_id);
  args.cluster = (char *)(uintptr_t)join->options.cluster;
  args.change = CONTROL_MEMBER_ADD;
  args.member.name = name;
  args.member.address = (char *)(uintptr_t)join->options.address;
  args.member.port = join->options.port;
  args.member.incarnation = control_daemon_incarnation (join->daemon);
  enum wire_status status = control_client_call (
      join->control, CONTROL_MEMBER_CHANGE, (xdrproc_t)xdr_control_member_args,
      &args, (xdrproc_t)xdr_control_answer, &answer, sizeof answer,
      CALL_TIMEOUT_MS);
  base_log (BASE_LOG_NOTICE, "join-asked member=%s wire=%s status=%d text=%s",
            name, wire_status_name (status), (int)answer.status,
            answer.text ? answer.text : "");
  if (status == WIRE_OK)
    xdr_free ((xdrproc_t)xdr_control_answer, (char *)&answer);
}

/* Reads the members from control and requests to be added when this process
   is not listed.  Returns whether it is listed. */
static bool
check_membership (struct control_join *join)
{
  struct control_status_args args
      = { (char *)(uintptr_t)join->options.cluster };
  struct control_status_result status = { 0 };
  struct consensus_configuration members;
  enum wire_status wire = control_client_call (
      join->control, CONTROL_STATUS, (xdrproc_t)xdr_control_status_args, &args,
      (xdrproc_t)xdr_control_status_result, &status, sizeof status,
      CALL_TIMEOUT_MS);
  if (wire != WIRE_OK)
    return false;
  read_members (&status, &members);
  xdr_free ((xdrproc_t)xdr_control_status_result, (char *)&status);
  if (members.count == 0)
    return false;
  control_daemon_learn_members (join->daemon, &members);
  if (consensus_configuration_find (&members, join->options.member_id))
    return true;
  request_join (join);
  return false;
}

static gpointer
run (gpointer data)
{
  struct control_join *join = data;
  while (!atomic_load (&join->stopping))
    {
      uint32_t wait_ms
          = check_membership (join) ? MEMBER_INTERVAL_MS : JOIN_INTERVAL_MS;
      for (uint32_t waited_ms = 0;
           waited_ms < wait_ms && !atomic_load (&join->stopping);
           waited_ms += STOP_POLL_MS)
        g_usleep (1000 * STOP_POLL_MS);
    }
  return NULL;
}

struct control_join *
control_join_create (struct control_daemon *daemon,
                     const struct control_daemon_options *options,
                     struct control_client *control)
{
  struct control_join *join = g_new0 (struct control_join, 1);
  join->daemon = daemon;
  join->options = *options;
  join->control = control;
  join->thread = g_thread_new ("join", run, join);
  return join;
}

void
control_join_destroy (struct control_join *join)
{
  if (!join)
    return;
  atomic_store (&join->stopping, true);
  g_thread_join (join->thread);
  g_free (join);
}
