#include "consensus_state.h"

#include <stdlib.h>
#include <string.h>

static void
free_message (gpointer data)
{
  consensus_message_free (data);
}

void
consensus_message_free (struct consensus_wire_message *message)
{
  if (!message)
    return;
  xdr_free ((xdrproc_t)xdr_consensus_wire_message, (char *)message);
  g_free (message);
}

struct consensus *
consensus_create (const struct consensus_options *options)
{
  struct consensus *consensus = g_new0 (struct consensus, 1);
  consensus->options = *options;
  base_random_seed (&consensus->random, options->seed);
  consensus->log = consensus_log_create ();
  consensus->pending_reads
      = g_array_new (FALSE, FALSE, sizeof (struct consensus_pending_read));
  consensus->effects.early_messages
      = g_ptr_array_new_with_free_func (free_message);
  consensus->effects.messages = g_ptr_array_new_with_free_func (free_message);
  consensus->effects.reads
      = g_array_new (FALSE, FALSE, sizeof (struct consensus_read));
  return consensus;
}

void
consensus_destroy (struct consensus *consensus)
{
  if (!consensus)
    return;
  consensus_log_destroy (consensus->log);
  g_array_unref (consensus->pending_reads);
  g_ptr_array_unref (consensus->effects.early_messages);
  g_ptr_array_unref (consensus->effects.messages);
  g_array_unref (consensus->effects.reads);
  if (consensus->incoming)
    g_byte_array_unref (consensus->incoming);
  g_free (consensus);
}

void
consensus_load_vote (struct consensus *consensus,
                     const struct consensus_wire_vote *vote)
{
  if (vote->term > consensus->vote.term
      || (vote->term == consensus->vote.term && vote->voted_member != 0))
    consensus->vote = *vote;
}

bool
consensus_load_snapshot (struct consensus *consensus, GBytes *snapshot)
{
  if (!consensus_log_install (consensus->log, snapshot))
    return false;
  consensus->commit_index = consensus_log_base (consensus->log);
  consensus->applied_index = consensus->commit_index;
  return true;
}

bool
consensus_load_entry (struct consensus *consensus,
                      struct consensus_wire_entry *entry)
{
  if (entry->index > consensus_log_last (consensus->log) + 1)
    return false;
  if (entry->index <= consensus_log_base (consensus->log))
    {
      free (entry->data.data_val);
      return true;
    }
  if (entry->term > consensus->vote.term)
    consensus->vote = (struct consensus_wire_vote){ .term = entry->term };
  consensus_log_truncate (consensus->log, entry->index);
  consensus_log_append (consensus->log, entry);
  return true;
}

void
consensus_start (struct consensus *consensus, uint64_t now_ms)
{
  consensus->persisted_index = consensus_log_last (consensus->log);
  consensus_refresh_peers (consensus);
  /* The first timeout may be shorter than the others: while there is a leader,
     the other members refuse the pre-vote, and after a restart of all members
     there is no leader to wait for. */
  consensus_reset_election_timeout (consensus, now_ms);
  if (consensus->options.first_election_ms > 0)
    consensus->election_due_ms
        = now_ms + consensus->options.first_election_ms
          + base_random_below (&consensus->random,
                               consensus->options.first_election_ms);
}

struct consensus_peer *
consensus_peer (struct consensus *consensus, uint64_t id)
{
  for (uint32_t i = 0; i < consensus->peer_count; i++)
    if (consensus->peers[i].id == id)
      return &consensus->peers[i];
  return NULL;
}

static void
init_peer (struct consensus *consensus, struct consensus_peer *peer,
           const struct consensus_member *member)
{
  memset (peer, 0, sizeof *peer);
  peer->id = member->id;
  peer->incarnation = member->incarnation;
  peer->next_index = consensus_log_last (consensus->log) + 1;
  peer->probing = true;
}

void
consensus_refresh_peers (struct consensus *consensus)
{
  const struct consensus_configuration *members
      = consensus_log_configuration (consensus->log);
  struct consensus_peer old[CONSENSUS_MEMBERS_MAX];
  uint32_t old_count = consensus->peer_count;
  memcpy (old, consensus->peers, sizeof old);
  if (members->count == 0)
    members = &consensus->options.bootstrap;
  consensus->peer_count = 0;
  for (uint32_t i = 0; i < members->count; i++)
    {
      const struct consensus_member *member = &members->members[i];
      if (member->id == consensus->options.member_id)
        continue;
      struct consensus_peer *peer = &consensus->peers[consensus->peer_count++];
      init_peer (consensus, peer, member);
      for (uint32_t j = 0; j < old_count; j++)
        if (old[j].id == member->id
            && old[j].incarnation == member->incarnation)
          *peer = old[j];
    }
}

struct consensus_wire_message *
consensus_queue_message (struct consensus *consensus, uint64_t to,
                         uint64_t incarnation,
                         enum consensus_message_kind kind)
{
  struct consensus_wire_message *message
      = g_new0 (struct consensus_wire_message, 1);
  bool early = kind == CONSENSUS_APPEND && !consensus->effects.vote_changed;
  message->kind = kind;
  message->from_member = consensus->options.member_id;
  message->from_incarnation = consensus->options.incarnation;
  message->to_member = to;
  message->to_incarnation = incarnation;
  message->term = consensus->vote.term;
  g_ptr_array_add (early ? consensus->effects.early_messages
                         : consensus->effects.messages,
                   message);
  return message;
}

void
consensus_mark_unpersisted (struct consensus *consensus, uint64_t index)
{
  struct consensus_effects *effects = &consensus->effects;
  if (effects->persist_from == 0 || index < effects->persist_from)
    effects->persist_from = index;
  if (consensus->persisted_index >= index)
    consensus->persisted_index = index - 1;
}

uint64_t
consensus_append_local (struct consensus *consensus, uint32_t kind, char *data,
                        uint32_t bytes)
{
  struct consensus_wire_entry entry = { 0 };
  entry.term = consensus->vote.term;
  entry.index = consensus_log_last (consensus->log) + 1;
  entry.kind = kind;
  entry.data.data_val = data;
  entry.data.data_len = bytes;
  consensus_log_append (consensus->log, &entry);
  consensus_mark_unpersisted (consensus, entry.index);
  if (kind == CONSENSUS_ENTRY_CONFIGURATION)
    consensus_refresh_peers (consensus);
  return entry.index;
}

bool
consensus_is_voter (const struct consensus *consensus)
{
  return consensus_configuration_is_voter (
      consensus_log_configuration (consensus->log),
      consensus->options.member_id, consensus->options.incarnation);
}

void
consensus_tick (struct consensus *consensus, uint64_t now_ms)
{
  if (consensus->phase == CONSENSUS_LEADER)
    consensus_leader_tick (consensus, now_ms);
  else if (now_ms >= consensus->election_due_ms)
    {
      if (consensus_may_campaign (consensus))
        consensus_campaign (consensus, now_ms, true);
      else
        consensus_reset_election_timeout (consensus, now_ms);
    }
  consensus_membership_tick (consensus, now_ms);
}

/* Becomes a follower in the term of the message when it is newer, or when the
   message is from the leader of the current term.  The term of a pre-vote is
   only proposed and changes nothing. */
static void
adopt_newer_term (struct consensus *consensus, uint64_t now_ms,
                  const struct consensus_wire_message *message)
{
  bool pre_vote
      = message->kind == CONSENSUS_PRE_VOTE
        || (message->kind == CONSENSUS_PRE_VOTE_ANSWER && message->granted);
  bool from_leader = message->kind == CONSENSUS_APPEND
                     || message->kind == CONSENSUS_SNAPSHOT;
  if (message->term > consensus->vote.term && !pre_vote)
    consensus_become_follower (consensus, now_ms, message->term,
                               from_leader ? message->from_member : 0);
  else if (from_leader && message->term == consensus->vote.term)
    consensus_become_follower (consensus, now_ms, message->term,
                               message->from_member);
}

/* Answers a request of an older term, so that its sender learns the current
   term. */
static void
reject_old_term (struct consensus *consensus,
                 const struct consensus_wire_message *message)
{
  struct consensus_wire_message *answer = NULL;
  if (message->kind == CONSENSUS_APPEND || message->kind == CONSENSUS_SNAPSHOT)
    answer = consensus_queue_message (consensus, message->from_member,
                                      message->from_incarnation,
                                      CONSENSUS_APPEND_ANSWER);
  else if (message->kind == CONSENSUS_VOTE)
    answer = consensus_queue_message (consensus, message->from_member,
                                      message->from_incarnation,
                                      CONSENSUS_VOTE_ANSWER);
  if (answer)
    answer->hint_index = consensus_log_last (consensus->log);
}

static void
dispatch (struct consensus *consensus, uint64_t now_ms,
          struct consensus_wire_message *message)
{
  switch (message->kind)
    {
    case CONSENSUS_PRE_VOTE:
    case CONSENSUS_VOTE:
      consensus_on_vote (consensus, now_ms, message);
      break;
    case CONSENSUS_PRE_VOTE_ANSWER:
    case CONSENSUS_VOTE_ANSWER:
      consensus_on_vote_answer (consensus, now_ms, message);
      break;
    case CONSENSUS_APPEND:
      consensus_on_append (consensus, message);
      break;
    case CONSENSUS_APPEND_ANSWER:
      consensus_on_append_answer (consensus, now_ms, message);
      break;
    case CONSENSUS_SNAPSHOT:
      consensus_on_snapshot (consensus, message);
      break;
    case CONSENSUS_SNAPSHOT_ANSWER:
      consensus_on_snapshot_answer (consensus, now_ms, message);
      break;
    case CONSENSUS_TIMEOUT_NOW:
      if (consensus_is_voter (consensus)
          && message->term == consensus->vote.term)
        consensus_campaign (consensus, now_ms, false);
      break;
    default:
      break;
    }
}

void
consensus_step (struct consensus *consensus, uint64_t now_ms,
                struct consensus_wire_message *message)
{
  if (message->to_member != consensus->options.member_id
      || (message->to_incarnation != 0
          && message->to_incarnation != consensus->options.incarnation))
    return;
  if (message->kind == CONSENSUS_HELLO)
    consensus_on_hello (consensus, now_ms, message);
  else if (message->kind == CONSENSUS_HELLO_ANSWER)
    consensus_on_hello_answer (consensus, message);
  else if (message->term < consensus->vote.term
           && message->kind != CONSENSUS_PRE_VOTE)
    reject_old_term (consensus, message);
  else
    {
      adopt_newer_term (consensus, now_ms, message);
      dispatch (consensus, now_ms, message);
    }
}

uint64_t
consensus_propose (struct consensus *consensus, const void *data,
                   uint32_t bytes)
{
  if (consensus->phase != CONSENSUS_LEADER || consensus->transferring)
    return 0;
  char *copy = malloc (bytes + 1);
  memcpy (copy, data, bytes);
  return consensus_append_local (consensus, CONSENSUS_ENTRY_COMMAND, copy,
                                 bytes);
}

void
consensus_request_heartbeat (struct consensus *consensus)
{
  consensus->heartbeat_requested = true;
}

void
consensus_flush (struct consensus *consensus, uint64_t now_ms)
{
  if (consensus->phase != CONSENSUS_LEADER)
    return;
  bool round = consensus->heartbeat_requested;
  consensus->heartbeat_requested = false;
  consensus_broadcast (consensus, now_ms, round);
}

void
consensus_mark_persisted (struct consensus *consensus, uint64_t now_ms)
{
  (void)now_ms;
  consensus->persisted_index = consensus_log_last (consensus->log);
  consensus->effects.vote_changed = false;
  consensus->effects.persist_from = 0;
  consensus->effects.snapshot_installed = false;
  if (consensus->phase == CONSENSUS_LEADER)
    consensus_advance_commit (consensus);
}

struct consensus_effects *
consensus_effects (struct consensus *consensus)
{
  return &consensus->effects;
}

void
consensus_effects_clear (struct consensus *consensus)
{
  g_ptr_array_set_size (consensus->effects.early_messages, 0);
  g_ptr_array_set_size (consensus->effects.messages, 0);
  g_array_set_size (consensus->effects.reads, 0);
}
