#include "consensus_state.h"

#include <string.h>

/* Interval at which a member without a leader sends CONSENSUS_HELLO, in
   milliseconds. */
#define HELLO_INTERVAL_MS 300
/* Maximum number of committed entries that a rejoining member may lack when
   it becomes a voter. */
#define PROMOTION_LAG 64

/* Proposes a new configuration.  Returns false when that isn't possible
   now. */
static bool
propose_members (struct consensus *consensus,
                 const struct consensus_configuration *members)
{
  uint32_t bytes = 0;
  /* One change at a time, and only once an entry of this term is committed. */
  if (!consensus_is_ready (consensus)
      || consensus_log_configuration_index (consensus->log)
             > consensus->commit_index)
    return false;
  char *data = consensus_configuration_encode (members, &bytes);
  consensus_append_local (consensus, CONSENSUS_ENTRY_CONFIGURATION, data,
                          bytes);
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

/* Admits a known member that has a new data folder: its new incarnation
   replaces the old one, and a voter has to catch up before it votes again. */
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
  /* The old incarnation still responds, so two processes use the same id; the
     old one is not replaced. */
  if (peer->last_response_ms > consensus->leader_since_ms
      && now_ms < peer->last_response_ms + 2 * consensus->options.election_ms)
    return;
  member->incarnation = message->from_incarnation;
  if (member->role == CONSENSUS_VOTER)
    member->role = CONSENSUS_REJOINING;
  propose_members (consensus, &members);
}

/* Forwards a hello to the leader, which a member with a new data folder may
   not know. */
static void
forward_hello (struct consensus *consensus,
               const struct consensus_wire_message *message)
{
  if (consensus->leader == 0 || consensus->leader == message->from_member)
    return;
  struct consensus_wire_message *forward = consensus_queue_message (
      consensus, consensus->leader, 0, CONSENSUS_HELLO);
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
  struct consensus_wire_message *answer = consensus_queue_message (
      consensus, message->from_member, message->from_incarnation,
      CONSENSUS_HELLO_ANSWER);
  answer->granted = consensus_is_empty (consensus);
}

/* Creates the log when all bootstrap members are empty and this one has the
   lowest id: appends the first configuration entry. */
static void
bootstrap_log (struct consensus *consensus)
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
  /* The term is not persisted as a vote but only in the entry, so that a crash
     keeps either both or neither. */
  consensus->vote.term = 1;
  char *data = consensus_configuration_encode (&members, &bytes);
  consensus_append_local (consensus, CONSENSUS_ENTRY_CONFIGURATION, data,
                          bytes);
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
  bootstrap_log (consensus);
}

void
consensus_membership_tick (struct consensus *consensus, uint64_t now_ms)
{
  bool led = consensus->phase == CONSENSUS_LEADER
             || (consensus->leader != 0
                 && now_ms < consensus->leader_contact_ms
                                 + consensus->options.election_ms);
  if (led || now_ms < consensus->hello_due_ms)
    return;
  consensus->hello_due_ms = now_ms + HELLO_INTERVAL_MS;
  if (consensus_is_empty (consensus))
    bootstrap_log (consensus);
  for (uint32_t i = 0; i < consensus->peer_count; i++)
    {
      struct consensus_peer *peer = &consensus->peers[i];
      peer->hello_empty = false;
      consensus_queue_message (consensus, peer->id, 0, CONSENSUS_HELLO);
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
