#include "consensus_state.h"

#include <stdlib.h>
#include <string.h>

/* Size of the data, in bytes, from which an append takes no more entries. */
#define APPEND_BYTES (1024u * 1024)
/* Time after which an unanswered piece of a snapshot is sent again, in
   milliseconds. */
#define SNAPSHOT_RETRY_MS 1000

void
consensus_become_leader (struct consensus *consensus, uint64_t now_ms)
{
  consensus->phase = CONSENSUS_LEADER;
  consensus->leader = consensus->options.member_id;
  consensus->leader_since_ms = now_ms;
  consensus->heartbeat_due_ms = now_ms + consensus->options.heartbeat_ms;
  for (uint32_t i = 0; i < consensus->peer_count; i++)
    {
      struct consensus_peer *peer = &consensus->peers[i];
      peer->match_index = 0;
      peer->next_index = consensus_log_last (consensus->log) + 1;
      peer->probing = true;
      peer->probe_sent = false;
      peer->in_flight_count = 0;
      peer->last_response_ms = now_ms;
      peer->round = 0;
      peer->sending_snapshot = false;
    }
  consensus->term_start_index = consensus_append_local (
      consensus, CONSENSUS_ENTRY_EMPTY, calloc (1, 1), 0);
  consensus->heartbeat_requested = true;
}

/* Copies the entries from the peer's next index on into the message, up to
   CONSENSUS_ENTRIES_MAX and APPEND_BYTES. */
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
  struct consensus_wire_message *message = consensus_queue_message (
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
      peer->in_flight_index[peer->in_flight_count++] = peer->next_index - 1;
    }
}

/* Removes the appends that the peer has acknowledged from those in flight. */
static void
drop_acknowledged_appends (struct consensus_peer *peer)
{
  uint32_t kept = 0;
  for (uint32_t i = 0; i < peer->in_flight_count; i++)
    if (peer->in_flight_index[i] > peer->match_index)
      peer->in_flight_index[kept++] = peer->in_flight_index[i];
  peer->in_flight_count = kept;
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
  struct consensus_wire_message *message = consensus_queue_message (
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

/* Sends the entries or the snapshot piece that the peer needs next, or a
   heartbeat when one is due, within the limit of appends in flight. */
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
  /* The number of appends in flight is limited, so that entries proposed
     while they are in flight share one append. */
  while (peer->next_index <= last
         && peer->in_flight_count < CONSENSUS_APPENDS_IN_FLIGHT_MAX)
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

/* Whether a majority of voters has persisted the entry at @p index. */
static bool
stored_by_majority (const struct consensus *consensus, uint64_t index)
{
  const struct consensus_configuration *members
      = consensus_log_configuration (consensus->log);
  uint32_t count
      = consensus_is_voter (consensus) && consensus->persisted_index >= index;
  for (uint32_t i = 0; i < consensus->peer_count; i++)
    {
      const struct consensus_peer *peer = &consensus->peers[i];
      count += peer->match_index >= index
               && consensus_configuration_is_voter (members, peer->id,
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
  /* Only entries of the leader's own term are committed by counting (Raft
     paper, section 5.4.2); earlier ones are committed with them.  A majority
     that has persisted an entry has all earlier ones too, so that binary
     search finds the last. */
  while (low < high)
    {
      uint64_t middle = low + (high - low + 1) / 2;
      if (stored_by_majority (consensus, middle))
        low = middle;
      else
        high = middle - 1;
    }
  if (low > before && low >= consensus->term_start_index)
    consensus->commit_index = low;
  if (consensus->commit_index > before)
    consensus_promote_ready (consensus);
}

/* Whether a committed configuration no longer lists this member as a voter; a
   leader then steps down. */
static bool
was_removed (const struct consensus *consensus)
{
  return !consensus_is_voter (consensus)
         && consensus_log_configuration_index (consensus->log)
                <= consensus->commit_index;
}

/* Whether a majority of voters, this one included, responded within the
   shortest election timeout (check-quorum). */
static bool
contacted_by_majority (const struct consensus *consensus, uint64_t now_ms)
{
  const struct consensus_configuration *members
      = consensus_log_configuration (consensus->log);
  uint32_t count = consensus_is_voter (consensus);
  for (uint32_t i = 0; i < consensus->peer_count; i++)
    {
      const struct consensus_peer *peer = &consensus->peers[i];
      count += now_ms < peer->last_response_ms + consensus->options.election_ms
               && consensus_configuration_is_voter (members, peer->id,
                                                    peer->incarnation);
    }
  return count >= consensus_configuration_majority (members);
}

void
consensus_leader_tick (struct consensus *consensus, uint64_t now_ms)
{
  if (was_removed (consensus) || !contacted_by_majority (consensus, now_ms))
    {
      consensus_become_follower (consensus, now_ms, consensus->vote.term, 0);
      return;
    }
  if (consensus->transferring && now_ms >= consensus->transfer_until_ms)
    consensus->transferring = false;
  if (now_ms >= consensus->heartbeat_due_ms)
    consensus_broadcast (consensus, now_ms, true);
}

/* Sends CONSENSUS_TIMEOUT_NOW, on which the peer starts an election, when
   leadership is being transferred and the peer is a voter that holds the whole
   log. */
static void
finish_transfer (struct consensus *consensus, struct consensus_peer *peer)
{
  const struct consensus_configuration *members
      = consensus_log_configuration (consensus->log);
  if (consensus->transferring
      && peer->match_index == consensus_log_last (consensus->log)
      && consensus_configuration_is_voter (members, peer->id,
                                           peer->incarnation))
    consensus_queue_message (consensus, peer->id, peer->incarnation,
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

/* Handles an append that the peer rejected since its log doesn't match at the
   previous entry: probes again from an earlier index. */
static void
handle_rejected_append (struct consensus *consensus,
                        struct consensus_peer *peer,
                        const struct consensus_wire_message *message,
                        uint64_t now_ms)
{
  if (message->log_index != peer->next_index - 1 && peer->probing)
    return;
  uint64_t next = MIN (message->log_index, message->hint_index + 1);
  peer->next_index = MAX (next, peer->match_index + 1);
  peer->probing = true;
  peer->probe_sent = false;
  peer->in_flight_count = 0;
  send_to_peer (consensus, peer, now_ms, false);
}

/* Records the response of a peer and returns the peer.  Returns NULL when
   this member isn't the leader or the sender isn't the incarnation in the
   configuration. */
static struct consensus_peer *
responding_peer (struct consensus *consensus, uint64_t now_ms,
                 const struct consensus_wire_message *message)
{
  struct consensus_peer *peer
      = consensus_peer (consensus, message->from_member);
  if (consensus->phase != CONSENSUS_LEADER || !peer
      || peer->incarnation != message->from_incarnation)
    return NULL;
  peer->last_response_ms = now_ms;
  if (message->round > peer->round)
    peer->round = message->round;
  return peer;
}

void
consensus_on_append_answer (struct consensus *consensus, uint64_t now_ms,
                            const struct consensus_wire_message *message)
{
  struct consensus_peer *peer = responding_peer (consensus, now_ms, message);
  if (!peer)
    return;
  consensus_confirm_reads (consensus);
  if (!message->granted)
    {
      handle_rejected_append (consensus, peer, message, now_ms);
      return;
    }
  if (message->log_index > peer->match_index)
    peer->match_index = message->log_index;
  if (peer->next_index <= peer->match_index)
    peer->next_index = peer->match_index + 1;
  drop_acknowledged_appends (peer);
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
  struct consensus_peer *peer = responding_peer (consensus, now_ms, message);
  if (!peer || !peer->sending_snapshot
      || peer->snapshot_index != message->log_index)
    return;
  peer->snapshot_offset = message->snapshot_offset;
  if (peer->snapshot_index == consensus_log_base (consensus->log))
    send_snapshot_piece (consensus, peer, now_ms);
}
