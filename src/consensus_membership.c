#include "consensus_state.h"

#include <string.h>

/* Interval at which a member without a leader tells who it is. */
#define HELLO_INTERVAL_MS 300
/* Entries that a learner may lack when it is promoted. */
#define PROMOTION_LAG 64

static bool
propose_members (struct consensus *consensus,
                 const struct consensus_configuration *members)
{
  uint32_t bytes = 0;
  /* One change at a time, and only after an entry of this term. */
  if (!consensus_is_ready (consensus)
      || consensus_log_configuration_index (consensus->log)
             > consensus->commit_index)
    return false;
  char *data = consensus_configuration_encode (members, &bytes);
  consensus_append_own (consensus, CONSENSUS_ENTRY_CONFIGURATION, data, bytes);
  return true;
}

bool
consensus_change_member (struct consensus *consensus,
                         const struct consensus_member *member, bool remove)
{
  struct consensus_configuration members
      = *consensus_log_configuration (consensus->log);
  struct consensus_member *known
      = consensus_configuration_find (&members, member->id);
  if (remove ? !known : !known && members.count >= CONSENSUS_MEMBERS_MAX)
    return false;
  if (remove)
    consensus_configuration_remove (&members, member->id);
  else if (known)
    *known = *member;
  else
    consensus_configuration_add (&members, member);
  return propose_members (consensus, &members);
}

/* A member came with another data folder: it takes its slot as a learner. */
static void
readmit (struct consensus *consensus, uint64_t now_ms,
         const struct consensus_wire_message *message)
{
  struct consensus_configuration members
      = *consensus_log_configuration (consensus->log);
  struct consensus_member *member
      = consensus_configuration_find (&members, message->from_member);
  struct consensus_peer *peer
      = consensus_peer (consensus, message->from_member);
  if (!member || !peer || member->incarnation == message->from_incarnation)
    return;
  /* The admitted folder still answers: two processes claim one id. */
  if (peer->heard_ms > consensus->lead_since_ms
      && now_ms < peer->heard_ms + 2 * consensus->options.election_ms)
    return;
  member->incarnation = message->from_incarnation;
  if (member->role == CONSENSUS_VOTER)
    member->role = CONSENSUS_REJOINING;
  propose_members (consensus, &members);
}

/* Tells the leader, whom a new folder may not know. */
static void
forward_hello (struct consensus *consensus,
               const struct consensus_wire_message *message)
{
  if (consensus->leader == 0 || consensus->leader == message->from_member)
    return;
  struct consensus_wire_message *forward
      = consensus_send (consensus, consensus->leader, 0, CONSENSUS_HELLO);
  forward->from_member = message->from_member;
  forward->from_incarnation = message->from_incarnation;
}

void
consensus_on_hello (struct consensus *consensus, uint64_t now_ms,
                    const struct consensus_wire_message *message)
{
  if (consensus->phase == CONSENSUS_LEADER)
    readmit (consensus, now_ms, message);
  else
    forward_hello (consensus, message);
  struct consensus_wire_message *answer
      = consensus_send (consensus, message->from_member,
                        message->from_incarnation, CONSENSUS_HELLO_ANSWER);
  answer->granted = consensus_is_empty (consensus);
}

/* All members are new: the one with the lowest id founds the log. */
static void
found_log (struct consensus *consensus)
{
  struct consensus_configuration members = consensus->options.bootstrap;
  uint32_t bytes = 0;
  if (consensus->options.joins_only)
    return;
  for (uint32_t i = 0; i < members.count; i++)
    {
      struct consensus_member *member = &members.members[i];
      const struct consensus_peer *peer
          = consensus_peer (consensus, member->id);
      if (member->id == consensus->options.member_id)
        member->incarnation = consensus->options.incarnation;
      else if (member->id < consensus->options.member_id || !peer
               || !peer->hello_empty)
        return;
      else
        member->incarnation = peer->hello_incarnation;
      member->role = CONSENSUS_VOTER;
    }
  if (!consensus_configuration_find (&members, consensus->options.member_id))
    return;
  /* The term is persisted with the entry alone, so that a crash leaves both
     or neither. */
  consensus->vote.term = 1;
  char *data = consensus_configuration_encode (&members, &bytes);
  consensus_append_own (consensus, CONSENSUS_ENTRY_CONFIGURATION, data, bytes);
}

void
consensus_on_hello_answer (struct consensus *consensus,
                           const struct consensus_wire_message *message)
{
  struct consensus_peer *peer
      = consensus_peer (consensus, message->from_member);
  if (!peer || !consensus_is_empty (consensus))
    return;
  peer->hello_incarnation = message->from_incarnation;
  peer->hello_empty = message->granted;
  found_log (consensus);
}

void
consensus_membership_tick (struct consensus *consensus, uint64_t now_ms)
{
  bool led = consensus->phase == CONSENSUS_LEADER
             || (consensus->leader != 0
                 && now_ms < consensus->leader_heard_ms
                                 + consensus->options.election_ms);
  if (led || now_ms < consensus->hello_due_ms)
    return;
  consensus->hello_due_ms = now_ms + HELLO_INTERVAL_MS;
  if (consensus_is_empty (consensus))
    found_log (consensus);
  for (uint32_t i = 0; i < consensus->peer_count; i++)
    {
      struct consensus_peer *peer = &consensus->peers[i];
      peer->hello_empty = false;
      consensus_send (consensus, peer->id, 0, CONSENSUS_HELLO);
    }
}

void
consensus_promote_ready (struct consensus *consensus)
{
  struct consensus_configuration members
      = *consensus_log_configuration (consensus->log);
  if (consensus->phase != CONSENSUS_LEADER)
    return;
  for (uint32_t i = 0; i < members.count; i++)
    {
      struct consensus_member *member = &members.members[i];
      const struct consensus_peer *peer
          = consensus_peer (consensus, member->id);
      if (member->role != CONSENSUS_REJOINING || !peer
          || peer->match_index + PROMOTION_LAG < consensus->commit_index
          || peer->match_index
                 < consensus_log_configuration_index (consensus->log))
        continue;
      member->role = CONSENSUS_VOTER;
      propose_members (consensus, &members);
      return;
    }
}
