#include "control_internal.h"
#include "control_voters.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base_log.h"

/* Maximum number of committed entries that a learner may lack when it is
   promoted. */
#define CAUGHT_UP_LAG_ENTRIES 64

void
control_leader_address (struct control_daemon *daemon,
                        struct control_answer *answer)
{
  struct consensus_configuration members
      = *consensus_members (daemon->consensus);
  const struct consensus_member *leader = consensus_configuration_find (
      &members, consensus_leader_id (daemon->consensus));
  answer->leader_address = strdup (leader ? leader->address : "");
  answer->leader_port = leader ? leader->port : 0;
}

static void
fill_member (struct control_daemon *daemon,
             const struct consensus_member *member, struct control_member *to)
{
  char name[32];
  g_snprintf (name, sizeof name, "%" G_GUINT64_FORMAT, member->id);
  to->name = strdup (name);
  to->address = strdup (member->address);
  to->port = member->port;
  to->voter = member->role == CONSENSUS_VOTER;
  to->match_index = consensus_match_index (daemon->consensus, member->id);
  to->incarnation = member->incarnation;
}

uint32_t
control_members_list (struct control_daemon *daemon,
                      struct control_member **list)
{
  const struct consensus_configuration *members
      = consensus_members (daemon->consensus);
  *list = calloc (members->count + 1, sizeof (struct control_member));
  for (uint32_t i = 0; i < members->count; i++)
    fill_member (daemon, &members->members[i], &(*list)[i]);
  return members->count;
}

void
control_status_fill (struct control_daemon *daemon,
                     struct control_status_result *result)
{
  struct consensus *consensus = daemon->consensus;
  result->answer.text = strdup ("");
  control_leader_address (daemon, &result->answer);
  result->member = strdup (daemon->options.host);
  result->leader = consensus_is_ready (consensus);
  result->term = consensus_term (consensus);
  result->commit_index = consensus_commit_index (consensus);
  result->applied_index = consensus_applied_index (consensus);
  result->last_index = consensus_last_index (consensus);
  result->bundle_version
      = control_bundles_version (control_state_bundles (daemon->state));
  result->members.members_len
      = control_members_list (daemon, &result->members.members_val);
  result->processes.processes_len
      = control_processes_live (control_state_processes (daemon->state),
                                &result->processes.processes_val);
  for (u_int i = 0; i < result->processes.processes_len; i++)
    {
      struct wire_process *process = &result->processes.processes_val[i];
      process->bundle_version
          = control_liveness_bundle_version (daemon->liveness, process);
    }
}

/* Parses the member to change.  Returns NULL, or the reason why it is
   malformed. */
static const char *
parse_member (const struct control_member_args *args,
              struct consensus_member *member)
{
  char *end = NULL;
  member->id = strtoull (args->member.name, &end, 10);
  if (member->id == 0 || *end != '\0')
    return "the member's name must be its id, a number above 0";
  if (args->change != CONTROL_MEMBER_ADD)
    return NULL;
  if (strlen (args->member.address) >= sizeof member->address
      || args->member.port == 0 || args->member.port > UINT16_MAX)
    return "the member must have an IPv4 address and a port";
  g_strlcpy (member->address, args->member.address, sizeof member->address);
  member->port = (uint16_t)args->member.port;
  member->role = CONSENSUS_LEARNER;
  member->incarnation = args->member.incarnation;
  return NULL;
}

const char *
control_change_member (struct control_daemon *daemon,
                       const struct control_member_args *args)
{
  struct consensus_member member = { 0 };
  struct consensus_configuration members
      = *consensus_members (daemon->consensus);
  const char *refusal = parse_member (args, &member);
  if (refusal)
    return refusal;
  const struct consensus_member *known
      = consensus_configuration_find (&members, member.id);
  if (args->change == CONTROL_MEMBER_ADD && known)
    return "the member is listed already";
  if (args->change != CONTROL_MEMBER_ADD && !known)
    return "the member is not listed";
  if (args->change == CONTROL_MEMBER_PROMOTE)
    {
      member = *known;
      member.role = CONSENSUS_REJOINING;
      if (known->role == CONSENSUS_VOTER)
        return "the member is a voter already";
    }
  if (!consensus_change_member (daemon->consensus, &member,
                                args->change == CONTROL_MEMBER_REMOVE))
    return "another change is in progress, or there is no room for a member";
  return NULL;
}

/* Fills @p view with the state of the members.  Returns their number. */
static uint32_t
view_members (struct control_daemon *daemon, uint64_t now_ms,
              struct control_voters_member *view)
{
  const struct consensus_configuration *members
      = consensus_members (daemon->consensus);
  uint64_t commit = consensus_commit_index (daemon->consensus);
  for (uint32_t i = 0; i < members->count; i++)
    {
      const struct consensus_member *member = &members->members[i];
      view[i].id = member->id;
      view[i].role = member->role;
      view[i].silent_ms
          = consensus_contact_age_ms (daemon->consensus, member->id, now_ms);
      view[i].caught_up = consensus_match_index (daemon->consensus, member->id)
                              + CAUGHT_UP_LAG_ENTRIES
                          >= commit;
    }
  return members->count;
}

void
control_members_update_voters (struct control_daemon *daemon, uint64_t now_ms)
{
  struct control_voters_member view[CONSENSUS_MEMBERS_MAX];
  struct consensus_configuration members
      = *consensus_members (daemon->consensus);
  uint64_t id = 0;
  if (daemon->options.wanted_voters == 0
      || !consensus_is_ready (daemon->consensus))
    return;
  enum control_voters_action action
      = control_voters_decide (view, view_members (daemon, now_ms, view),
                               daemon->options.wanted_voters, &id);
  if (action == CONTROL_VOTERS_NONE)
    return;
  struct consensus_member member
      = *consensus_configuration_find (&members, id);
  bool remove = action == CONTROL_VOTERS_REMOVE;
  member.role = CONSENSUS_REJOINING;
  if (consensus_change_member (daemon->consensus, &member, remove))
    base_log (BASE_LOG_NOTICE,
              "member-change action=%s member=%" PRIu64 " silent_ms=%" PRIu64
              " voters_wanted=%" PRIu32,
              remove ? "remove" : "promote", id,
              consensus_contact_age_ms (daemon->consensus, id, now_ms),
              daemon->options.wanted_voters);
}
