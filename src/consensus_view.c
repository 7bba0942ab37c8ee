#include "consensus_state.h"

#include <stdlib.h>

/* Time without a response after which a member no longer counts as catching
   up, in milliseconds. */
#define CATCH_UP_SILENCE_MS 2000

const struct consensus_wire_entry *
consensus_entry (const struct consensus *consensus, uint64_t index)
{
  return consensus_log_entry (consensus->log, index);
}

const struct consensus_wire_entry *
consensus_next_committed (struct consensus *consensus)
{
  if (consensus->applied_index >= consensus->commit_index)
    return NULL;
  consensus->applied_index++;
  return consensus_log_entry (consensus->log, consensus->applied_index);
}

GBytes *
consensus_compact (struct consensus *consensus, const void *state,
                   uint32_t bytes)
{
  struct consensus_wire_snapshot wire = { 0 };
  XDR stream;
  uint64_t configured_at = 0;
  wire.log_index = consensus->applied_index;
  wire.log_term = consensus_log_term (consensus->log, wire.log_index);
  consensus_configuration_to_wire (
      consensus_log_configuration_at (consensus->log, wire.log_index,
                                      &configured_at),
      &wire.configuration);
  wire.configuration_index = configured_at;
  wire.state.state_len = bytes;
  wire.state.state_val = (char *)state;
  u_int size
      = (u_int)xdr_sizeof ((xdrproc_t)xdr_consensus_wire_snapshot, &wire);
  char *data = g_malloc (size);
  xdrmem_create (&stream, data, size, XDR_ENCODE);
  xdr_consensus_wire_snapshot (&stream, &wire);
  XDR_DESTROY (&stream);
  wire.state.state_val = NULL;
  xdr_free ((xdrproc_t)xdr_consensus_wire_snapshot, (char *)&wire);
  GBytes *snapshot = g_bytes_new_take (data, size);
  consensus_log_compact (consensus->log, consensus->applied_index, snapshot);
  g_bytes_unref (snapshot);
  return consensus_log_snapshot (consensus->log);
}

GBytes *
consensus_snapshot (const struct consensus *consensus)
{
  return consensus_log_snapshot (consensus->log);
}

bool
consensus_snapshot_decode (GBytes *snapshot,
                           struct consensus_wire_snapshot *wire)
{
  XDR stream;
  gsize bytes = 0;
  const char *data = g_bytes_get_data (snapshot, &bytes);
  xdrmem_create (&stream, (char *)data, (u_int)bytes, XDR_DECODE);
  bool valid = xdr_consensus_wire_snapshot (&stream, wire);
  XDR_DESTROY (&stream);
  return valid;
}

uint32_t
consensus_votes (const struct consensus *consensus)
{
  uint32_t votes = 0;
  for (uint32_t i = 0; i < consensus->peer_count; i++)
    votes += consensus->peers[i].vote_granted;
  return votes;
}

bool
consensus_is_leader (const struct consensus *consensus)
{
  return consensus->phase == CONSENSUS_LEADER;
}

bool
consensus_is_ready (const struct consensus *consensus)
{
  return consensus->phase == CONSENSUS_LEADER
         && consensus->commit_index >= consensus->term_start_index;
}

bool
consensus_is_current (const struct consensus *consensus)
{
  uint64_t applied = consensus->applied_index;
  if (consensus->phase == CONSENSUS_LEADER)
    return consensus_is_ready (consensus)
           && applied >= consensus->commit_index;
  return consensus->leader != 0 && consensus->leader_commit_index > 0
         && applied >= consensus->leader_commit_index
         && consensus_log_has_term (consensus->log, applied)
         && consensus_log_term (consensus->log, applied)
                == consensus->vote.term;
}

uint64_t
consensus_leader_id (const struct consensus *consensus)
{
  return consensus->leader;
}

uint64_t
consensus_term (const struct consensus *consensus)
{
  return consensus->vote.term;
}

uint64_t
consensus_commit_index (const struct consensus *consensus)
{
  return consensus->commit_index;
}

uint64_t
consensus_applied_index (const struct consensus *consensus)
{
  return consensus->applied_index;
}

uint64_t
consensus_last_index (const struct consensus *consensus)
{
  return consensus_log_last (consensus->log);
}

uint64_t
consensus_snapshot_index (const struct consensus *consensus)
{
  return consensus_log_base (consensus->log);
}

const struct consensus_configuration *
consensus_members (const struct consensus *consensus)
{
  return consensus_log_configuration (consensus->log);
}

bool
consensus_has_member_catching_up (const struct consensus *consensus,
                                  uint64_t now_ms)
{
  uint64_t last = consensus_log_last (consensus->log);
  for (uint32_t i = 0; i < consensus->peer_count; i++)
    {
      const struct consensus_peer *peer = &consensus->peers[i];
      if (consensus->phase == CONSENSUS_LEADER
          && now_ms < peer->last_response_ms + CATCH_UP_SILENCE_MS
          && (peer->sending_snapshot
              || peer->match_index + CONSENSUS_ENTRIES_MAX < last))
        return true;
    }
  return false;
}

uint64_t
consensus_contact_age_ms (const struct consensus *consensus,
                          uint64_t member_id, uint64_t now_ms)
{
  if (member_id == consensus->options.member_id)
    return 0;
  for (uint32_t i = 0; i < consensus->peer_count; i++)
    {
      uint64_t last_response_ms = MAX (consensus->peers[i].last_response_ms,
                                       consensus->leader_since_ms);
      if (consensus->peers[i].id == member_id)
        return now_ms > last_response_ms ? now_ms - last_response_ms : 0;
    }
  return UINT64_MAX;
}

uint64_t
consensus_match_index (const struct consensus *consensus, uint64_t member_id)
{
  for (uint32_t i = 0; i < consensus->peer_count; i++)
    if (consensus->peers[i].id == member_id)
      return consensus->peers[i].match_index;
  return member_id == consensus->options.member_id ? consensus->persisted_index
                                                   : 0;
}

bool
consensus_is_empty (const struct consensus *consensus)
{
  return consensus->vote.term == 0 && consensus_log_last (consensus->log) == 0;
}

uint64_t
consensus_next_due_ms (const struct consensus *consensus)
{
  if (consensus->phase == CONSENSUS_LEADER)
    return consensus->heartbeat_due_ms;
  return MIN (
      consensus->election_due_ms,
      MAX (consensus->hello_due_ms,
           consensus->leader_contact_ms + consensus->options.election_ms));
}
