#include "consensus_state.h"

void
consensus_reset_election_timeout (struct consensus *consensus, uint64_t now_ms)
{
  uint32_t shortest = consensus->options.election_ms;
  consensus->election_due_ms
      = now_ms + shortest
        + base_random_below (&consensus->random, (uint64_t)shortest + 1);
}

bool
consensus_may_campaign (const struct consensus *consensus)
{
  uint64_t configured_at = 0;
  /* A member may campaign until its removal is committed, since it may be the
     only one that holds the newest entries.  Votes are always counted in the
     latest configuration, committed or not. */
  const struct consensus_configuration *committed
      = consensus_log_configuration_at (
          consensus->log, consensus->commit_index, &configured_at);
  return consensus_is_voter (consensus)
         || consensus_configuration_is_voter (committed,
                                              consensus->options.member_id,
                                              consensus->options.incarnation);
}

static void
set_vote (struct consensus *consensus, uint64_t term, uint64_t member,
          uint64_t incarnation)
{
  consensus->vote.term = term;
  consensus->vote.voted_member = member;
  consensus->vote.voted_incarnation = incarnation;
  consensus->effects.vote = consensus->vote;
  consensus->effects.vote_changed = true;
}

void
consensus_become_follower (struct consensus *consensus, uint64_t now_ms,
                           uint64_t term, uint64_t leader)
{
  if (term > consensus->vote.term)
    set_vote (consensus, term, 0, 0);
  if (consensus->phase == CONSENSUS_LEADER)
    consensus_fail_reads (consensus);
  consensus->phase = CONSENSUS_FOLLOWER;
  consensus->transferring = false;
  consensus->leader = leader;
  if (leader != 0)
    consensus->leader_contact_ms = now_ms;
  consensus_reset_election_timeout (consensus, now_ms);
}

/* Whether the votes granted by peers, and this member's own vote when it is a
   voter, form a majority. */
static bool
has_majority (struct consensus *consensus)
{
  const struct consensus_configuration *members
      = consensus_log_configuration (consensus->log);
  uint32_t votes = consensus_is_voter (consensus);
  for (uint32_t i = 0; i < consensus->peer_count; i++)
    {
      const struct consensus_peer *peer = &consensus->peers[i];
      votes += peer->vote_granted
               && consensus_configuration_is_voter (members, peer->id,
                                                    peer->incarnation);
    }
  return votes >= consensus_configuration_majority (members);
}

static void
count_votes (struct consensus *consensus, uint64_t now_ms)
{
  if (!has_majority (consensus))
    return;
  if (consensus->phase == CONSENSUS_PRE_CANDIDATE)
    consensus_campaign (consensus, now_ms, false);
  else
    consensus_become_leader (consensus, now_ms);
}

void
consensus_campaign (struct consensus *consensus, uint64_t now_ms,
                    bool pre_vote)
{
  const struct consensus_configuration *members
      = consensus_log_configuration (consensus->log);
  uint64_t last = consensus_log_last (consensus->log);
  consensus->phase = pre_vote ? CONSENSUS_PRE_CANDIDATE : CONSENSUS_CANDIDATE;
  consensus->leader = 0;
  consensus_reset_election_timeout (consensus, now_ms);
  if (!pre_vote)
    set_vote (consensus, consensus->vote.term + 1,
              consensus->options.member_id, consensus->options.incarnation);
  for (uint32_t i = 0; i < consensus->peer_count; i++)
    {
      struct consensus_peer *peer = &consensus->peers[i];
      peer->vote_granted = false;
      if (!consensus_configuration_is_voter (members, peer->id,
                                             peer->incarnation))
        continue;
      struct consensus_wire_message *message = consensus_queue_message (
          consensus, peer->id, peer->incarnation,
          pre_vote ? CONSENSUS_PRE_VOTE : CONSENSUS_VOTE);
      message->term = consensus->vote.term + (pre_vote ? 1 : 0);
      message->log_index = last;
      message->log_term = consensus_log_term (consensus->log, last);
    }
  count_votes (consensus, now_ms);
}

static bool
up_to_date (const struct consensus *consensus,
            const struct consensus_wire_message *message)
{
  uint64_t last = consensus_log_last (consensus->log);
  uint64_t term = consensus_log_term (consensus->log, last);
  return message->log_term > term
         || (message->log_term == term && message->log_index >= last);
}

/* Whether this member leads, or a leader sent it a message within the shortest
   election timeout. */
static bool
leader_is_active (const struct consensus *consensus, uint64_t now_ms)
{
  return consensus->phase == CONSENSUS_LEADER
         || (consensus->leader != 0
             && now_ms < consensus->leader_contact_ms
                             + consensus->options.election_ms);
}

static bool
may_vote (const struct consensus *consensus, uint64_t now_ms,
          const struct consensus_wire_message *message)
{
  const struct consensus_wire_vote *vote = &consensus->vote;
  if (!up_to_date (consensus, message))
    return false;
  if (message->kind == CONSENSUS_PRE_VOTE)
    return message->term > vote->term && !leader_is_active (consensus, now_ms);
  return vote->voted_member == 0
         || (vote->voted_member == message->from_member
             && vote->voted_incarnation == message->from_incarnation);
}

void
consensus_on_vote (struct consensus *consensus, uint64_t now_ms,
                   const struct consensus_wire_message *message)
{
  bool real = message->kind == CONSENSUS_VOTE;
  bool granted = may_vote (consensus, now_ms, message);
  if (granted && real)
    {
      set_vote (consensus, message->term, message->from_member,
                message->from_incarnation);
      consensus_reset_election_timeout (consensus, now_ms);
    }
  struct consensus_wire_message *answer = consensus_queue_message (
      consensus, message->from_member, message->from_incarnation,
      real ? CONSENSUS_VOTE_ANSWER : CONSENSUS_PRE_VOTE_ANSWER);
  answer->granted = granted;
  if (granted)
    answer->term = message->term;
}

void
consensus_on_vote_answer (struct consensus *consensus, uint64_t now_ms,
                          const struct consensus_wire_message *message)
{
  bool real = message->kind == CONSENSUS_VOTE_ANSWER;
  uint64_t term = consensus->vote.term + (real ? 0 : 1);
  struct consensus_peer *peer
      = consensus_peer (consensus, message->from_member);
  enum consensus_phase expected
      = real ? CONSENSUS_CANDIDATE : CONSENSUS_PRE_CANDIDATE;
  if (!peer || peer->incarnation != message->from_incarnation
      || !message->granted || message->term != term
      || consensus->phase != expected)
    return;
  peer->vote_granted = true;
  count_votes (consensus, now_ms);
}
