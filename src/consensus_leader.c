#include "consensus_state.h"

#include <stdlib.h>
#include <string.h>

/* Bytes after which an append takes no further entry. */
#define APPEND_BYTES (1024u * 1024)
/* Time after which an unanswered piece of a snapshot is sent again. */
#define SNAPSHOT_RETRY_MS 1000

void
consensus_lead (struct consensus *consensus, uint64_t now_ms)
{
  consensus->phase = CONSENSUS_LEADER;
  consensus->leader = consensus->options.member_id;
  consensus->lead_since_ms = now_ms;
  consensus->heartbeat_due_ms = now_ms + consensus->options.heartbeat_ms;
  for (uint32_t i = 0; i < consensus->peer_count; i++)
    {
      struct consensus_peer *peer = &consensus->peers[i];
      peer->match_index = 0;
      peer->next_index = consensus_log_last (consensus->log) + 1;
      peer->probing = true;
      peer->probe_sent = false;
      peer->sent_count = 0;
      peer->heard_ms = now_ms;
      peer->round = 0;
      peer->sending_snapshot = false;
    }
  consensus->term_start_index = consensus_append_own (
      consensus, CONSENSUS_ENTRY_EMPTY, calloc (1, 1), 0);
  consensus->round_wanted = true;
}

/* Copies entries from the peer's next index on into the message. */
static void
fill_entries (struct consensus *consensus, struct consensus_peer *peer,
              struct consensus_wire_message *message)
{
  uint64_t last = consensus_log_last (consensus->log);
  uint64_t count = last + 1 - peer->next_index;
  uint32_t bytes = 0;
  if (count > CONSENSUS_ENTRIES_MAX)
    count = CONSENSUS_ENTRIES_MAX;
  message->entries.entries_val
      = calloc (count + 1, sizeof *message->entries.entries_val);
  for (uint64_t i = 0; i < count && bytes < APPEND_BYTES; i++)
    {
      const struct consensus_wire_entry *entry
          = consensus_log_entry (consensus->log, peer->next_index + i);
      struct consensus_wire_entry *copy = &message->entries.entries_val[i];
      *copy = *entry;
      copy->data.data_val = malloc (entry->data.data_len + 1);
      memcpy (copy->data.data_val, entry->data.data_val, entry->data.data_len);
      bytes += entry->data.data_len;
      message->entries.entries_len++;
    }
}

static void
send_append (struct consensus *consensus, struct consensus_peer *peer,
             bool with_entries)
{
  struct consensus_wire_message *message = consensus_send (
      consensus, peer->id, peer->incarnation, CONSENSUS_APPEND);
  message->log_index = peer->next_index - 1;
  message->log_term = consensus_log_term (consensus->log, message->log_index);
  message->commit_index = consensus->commit_index;
  message->round = consensus->round;
  if (with_entries)
    fill_entries (consensus, peer, message);
  if (peer->probing)
    peer->probe_sent = true;
  else if (message->entries.entries_len > 0)
    {
      peer->next_index += message->entries.entries_len;
      peer->sent_index[peer->sent_count++] = peer->next_index - 1;
    }
}

/* Forgets appends that the peer has answered. */
static void
drop_answered (struct consensus_peer *peer)
{
  uint32_t kept = 0;
  for (uint32_t i = 0; i < peer->sent_count; i++)
    if (peer->sent_index[i] > peer->match_index)
      peer->sent_index[kept++] = peer->sent_index[i];
  peer->sent_count = kept;
}

static void
send_snapshot_piece (struct consensus *consensus, struct consensus_peer *peer,
                     uint64_t now_ms)
{
  gsize bytes = 0;
  GBytes *snapshot = consensus_log_snapshot (consensus->log);
  const char *data = g_bytes_get_data (snapshot, &bytes);
  uint64_t base = consensus_log_base (consensus->log);
  if (!peer->sending_snapshot || peer->snapshot_index != base)
    peer->snapshot_offset = 0;
  peer->sending_snapshot = true;
  peer->snapshot_index = base;
  peer->snapshot_sent_ms = now_ms;
  uint64_t length = bytes - peer->snapshot_offset;
  if (length > CONSENSUS_SNAPSHOT_PIECE_BYTES)
    length = CONSENSUS_SNAPSHOT_PIECE_BYTES;
  struct consensus_wire_message *message = consensus_send (
      consensus, peer->id, peer->incarnation, CONSENSUS_SNAPSHOT);
  message->log_index = base;
  message->log_term = consensus_log_term (consensus->log, base);
  message->snapshot_offset = peer->snapshot_offset;
  message->snapshot_bytes = bytes;
  message->round = consensus->round;
  message->snapshot_piece.snapshot_piece_len = (u_int)length;
  message->snapshot_piece.snapshot_piece_val = malloc (length + 1);
  memcpy (message->snapshot_piece.snapshot_piece_val,
          data + peer->snapshot_offset, length);
}

/* Sends what the peer lacks, as far as the pipeline lets it. */
static void
send_to_peer (struct consensus *consensus, struct consensus_peer *peer,
              uint64_t now_ms, bool heartbeat)
{
  if (peer->incarnation == 0)
    return;
  if (peer->next_index <= consensus_log_base (consensus->log)
      && consensus_log_snapshot (consensus->log))
    {
      if (!peer->sending_snapshot
          || peer->snapshot_index != consensus_log_base (consensus->log)
          || now_ms >= peer->snapshot_sent_ms + SNAPSHOT_RETRY_MS)
        send_snapshot_piece (consensus, peer, now_ms);
      return;
    }
  if (peer->probing)
    {
      if (!peer->probe_sent || heartbeat)
        send_append (consensus, peer, false);
      return;
    }
  uint64_t last = consensus_log_last (consensus->log);
  /* Few appends under way, so that later entries gather in one. */
  while (peer->next_index <= last && peer->sent_count < CONSENSUS_PIPELINE)
    {
      send_append (consensus, peer, true);
      heartbeat = false;
    }
  if (heartbeat)
    send_append (consensus, peer, false);
}

void
consensus_broadcast (struct consensus *consensus, uint64_t now_ms,
                     bool heartbeat)
{
  if (heartbeat)
    {
      consensus->round++;
      consensus->heartbeat_due_ms = now_ms + consensus->options.heartbeat_ms;
    }
  for (uint32_t i = 0; i < consensus->peer_count; i++)
    send_to_peer (consensus, &consensus->peers[i], now_ms, heartbeat);
  if (heartbeat)
    consensus_confirm_reads (consensus);
}

/* Whether a majority of voters holds the entry at @p index, synced. */
static bool
commit_allowed (const struct consensus *consensus, uint64_t index)
{
  const struct consensus_configuration *members
      = consensus_log_configuration (consensus->log);
  uint32_t count
      = consensus_votes (consensus) && consensus->persisted_index >= index;
  for (uint32_t i = 0; i < consensus->peer_count; i++)
    {
      const struct consensus_peer *peer = &consensus->peers[i];
      count += peer->match_index >= index
               && consensus_configuration_votes (members, peer->id,
                                                 peer->incarnation);
    }
  return count >= consensus_configuration_majority (members);
}

void
consensus_advance_commit (struct consensus *consensus)
{
  uint64_t low
      = MAX (consensus->commit_index, consensus->term_start_index - 1);
  uint64_t high = consensus_log_last (consensus->log);
  uint64_t before = consensus->commit_index;
  /* Only entries of the own term are committed by counting; which are
     allowed is monotone in the index. */
  while (low < high)
    {
      uint64_t middle = low + (high - low + 1) / 2;
      if (commit_allowed (consensus, middle))
        low = middle;
      else
        high = middle - 1;
    }
  if (low > before && low >= consensus->term_start_index)
    consensus->commit_index = low;
  if (consensus->commit_index > before)
    consensus_promote_ready (consensus);
}

/* A leader that was removed steps down once its removal is committed. */
static bool
was_removed (const struct consensus *consensus)
{
  return !consensus_votes (consensus)
         && consensus_log_configuration_index (consensus->log)
                <= consensus->commit_index;
}

static bool
heard_majority (const struct consensus *consensus, uint64_t now_ms)
{
  const struct consensus_configuration *members
      = consensus_log_configuration (consensus->log);
  uint32_t count = consensus_votes (consensus);
  for (uint32_t i = 0; i < consensus->peer_count; i++)
    {
      const struct consensus_peer *peer = &consensus->peers[i];
      count += now_ms < peer->heard_ms + consensus->options.election_ms
               && consensus_configuration_votes (members, peer->id,
                                                 peer->incarnation);
    }
  return count >= consensus_configuration_majority (members);
}

void
consensus_leader_tick (struct consensus *consensus, uint64_t now_ms)
{
  if (was_removed (consensus) || !heard_majority (consensus, now_ms))
    {
      consensus_follow (consensus, now_ms, consensus->vote.term, 0);
      return;
    }
  if (consensus->transferring && now_ms >= consensus->transfer_until_ms)
    consensus->transferring = false;
  if (now_ms >= consensus->heartbeat_due_ms)
    consensus_broadcast (consensus, now_ms, true);
}

static void
finish_transfer (struct consensus *consensus, struct consensus_peer *peer)
{
  const struct consensus_configuration *members
      = consensus_log_configuration (consensus->log);
  if (consensus->transferring
      && peer->match_index == consensus_log_last (consensus->log)
      && consensus_configuration_votes (members, peer->id, peer->incarnation))
    consensus_send (consensus, peer->id, peer->incarnation,
                    CONSENSUS_TIMEOUT_NOW);
}

void
consensus_transfer_leadership (struct consensus *consensus, uint64_t now_ms)
{
  if (consensus->phase != CONSENSUS_LEADER || consensus->transferring)
    return;
  consensus->transferring = true;
  consensus->transfer_until_ms = now_ms + consensus->options.election_ms;
  for (uint32_t i = 0; i < consensus->peer_count; i++)
    finish_transfer (consensus, &consensus->peers[i]);
}

/* The peer's log does not hold the entry before the one sent. */
static void
step_back (struct consensus *consensus, struct consensus_peer *peer,
           const struct consensus_wire_message *message, uint64_t now_ms)
{
  if (message->log_index != peer->next_index - 1 && peer->probing)
    return;
  uint64_t next = MIN (message->log_index, message->hint_index + 1);
  peer->next_index = MAX (next, peer->match_index + 1);
  peer->probing = true;
  peer->probe_sent = false;
  peer->sent_count = 0;
  send_to_peer (consensus, peer, now_ms, false);
}

/* The peer of the message if it is the admitted incarnation, marked as heard;
   else NULL. */
static struct consensus_peer *
heard_peer (struct consensus *consensus, uint64_t now_ms,
            const struct consensus_wire_message *message)
{
  struct consensus_peer *peer
      = consensus_peer (consensus, message->from_member);
  if (consensus->phase != CONSENSUS_LEADER || !peer
      || peer->incarnation != message->from_incarnation)
    return NULL;
  peer->heard_ms = now_ms;
  if (message->round > peer->round)
    peer->round = message->round;
  return peer;
}

void
consensus_on_append_answer (struct consensus *consensus, uint64_t now_ms,
                            const struct consensus_wire_message *message)
{
  struct consensus_peer *peer = heard_peer (consensus, now_ms, message);
  if (!peer)
    return;
  consensus_confirm_reads (consensus);
  if (!message->granted)
    {
      step_back (consensus, peer, message, now_ms);
      return;
    }
  if (message->log_index > peer->match_index)
    peer->match_index = message->log_index;
  if (peer->next_index <= peer->match_index)
    peer->next_index = peer->match_index + 1;
  drop_answered (peer);
  peer->probing = false;
  peer->sending_snapshot = false;
  consensus_advance_commit (consensus);
  finish_transfer (consensus, peer);
  consensus_promote_ready (consensus);
  if (peer->next_index <= consensus_log_last (consensus->log))
    send_to_peer (consensus, peer, now_ms, false);
}

void
consensus_on_snapshot_answer (struct consensus *consensus, uint64_t now_ms,
                              const struct consensus_wire_message *message)
{
  struct consensus_peer *peer = heard_peer (consensus, now_ms, message);
  if (!peer || !peer->sending_snapshot
      || peer->snapshot_index != message->log_index)
    return;
  peer->snapshot_offset = message->snapshot_offset;
  if (peer->snapshot_index == consensus_log_base (consensus->log))
    send_snapshot_piece (consensus, peer, now_ms);
}
