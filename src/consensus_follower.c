#include "consensus_state.h"

#include <string.h>

static void
answer_append (struct consensus *consensus,
               const struct consensus_wire_message *message, bool granted,
               uint64_t log_index, uint64_t hint_index)
{
  struct consensus_wire_message *answer = consensus_queue_message (
      consensus, message->from_member, message->from_incarnation,
      CONSENSUS_APPEND_ANSWER);
  answer->granted = granted;
  answer->log_index = log_index;
  answer->hint_index = hint_index;
  answer->round = message->round;
}

/* Largest index up to which the logs may match, given that they differ at
   @p log_index; the leader continues from there. */
static uint64_t
conflict_hint (const struct consensus *consensus, uint64_t log_index)
{
  uint64_t last = consensus_log_last (consensus->log);
  if (log_index > last)
    return last;
  uint64_t term = consensus_log_term (consensus->log, log_index);
  uint64_t index = log_index;
  while (index > consensus->commit_index
         && consensus_log_term (consensus->log, index) == term)
    index--;
  return index;
}

/* Appends the entries that are missing or differ in term, replacing those
   from there on.  Returns true when the configuration changed. */
static bool
append_new_entries (struct consensus *consensus,
                    struct consensus_wire_message *message)
{
  uint64_t configured = consensus_log_configuration_index (consensus->log);
  for (u_int i = 0; i < message->entries.entries_len; i++)
    {
      struct consensus_wire_entry *entry = &message->entries.entries_val[i];
      if (entry->index <= consensus->commit_index
          || consensus_log_term (consensus->log, entry->index) == entry->term)
        continue;
      consensus_log_truncate (consensus->log, entry->index);
      consensus_log_append (consensus->log, entry);
      consensus_mark_unpersisted (consensus, entry->index);
      entry->data.data_val = NULL;
      entry->data.data_len = 0;
    }
  return configured != consensus_log_configuration_index (consensus->log);
}

void
consensus_on_append (struct consensus *consensus,
                     struct consensus_wire_message *message)
{
  uint64_t previous = message->log_index;
  uint64_t last = previous + message->entries.entries_len;
  consensus->leader_commit_index = message->commit_index;
  /* Committed entries are the same in the log of every leader. */
  bool agrees = previous <= consensus->commit_index
                || (consensus_log_has_term (consensus->log, previous)
                    && consensus_log_term (consensus->log, previous)
                           == message->log_term);
  if (!agrees)
    {
      answer_append (consensus, message, false, previous,
                     conflict_hint (consensus, previous));
      return;
    }
  if (last < consensus->commit_index)
    last = consensus->commit_index;
  if (append_new_entries (consensus, message))
    consensus_refresh_peers (consensus);
  if (message->commit_index > consensus->commit_index)
    consensus->commit_index
        = MAX (consensus->commit_index, MIN (message->commit_index, last));
  answer_append (consensus, message, true, last, 0);
}

/* Installs the snapshot, which is complete, unless the log has its last entry
   already. */
static void
finish_snapshot (struct consensus *consensus,
                 const struct consensus_wire_message *message)
{
  GBytes *snapshot
      = g_byte_array_free_to_bytes (g_steal_pointer (&consensus->incoming));
  uint64_t index = message->log_index;
  bool held
      = consensus_log_has_term (consensus->log, index)
        && consensus_log_term (consensus->log, index) == message->log_term;
  if (held)
    consensus->commit_index = MAX (consensus->commit_index, index);
  else if (consensus_log_install (consensus->log, snapshot))
    {
      consensus->commit_index = index;
      consensus->applied_index = index;
      consensus->persisted_index = index;
      consensus->effects.snapshot_installed = true;
      consensus->effects.persist_from = 0;
      consensus_refresh_peers (consensus);
      held = true;
    }
  g_bytes_unref (snapshot);
  if (held)
    answer_append (consensus, message, true, index, 0);
}

/* Starts a new transfer when the piece belongs to another leader, term or
   snapshot than the pieces received so far. */
static void
start_incoming_snapshot (struct consensus *consensus,
                         const struct consensus_wire_message *message)
{
  if (consensus->incoming && consensus->incoming_leader == message->from_member
      && consensus->incoming_term == message->term
      && consensus->incoming_index == message->log_index)
    return;
  if (consensus->incoming)
    g_byte_array_unref (consensus->incoming);
  consensus->incoming = g_byte_array_new ();
  consensus->incoming_leader = message->from_member;
  consensus->incoming_term = message->term;
  consensus->incoming_index = message->log_index;
}

void
consensus_on_snapshot (struct consensus *consensus,
                       const struct consensus_wire_message *message)
{
  if (message->log_index <= consensus->commit_index)
    {
      answer_append (consensus, message, true, consensus->commit_index, 0);
      return;
    }
  start_incoming_snapshot (consensus, message);
  if (message->snapshot_offset == consensus->incoming->len)
    g_byte_array_append (
        consensus->incoming,
        (const guint8 *)message->snapshot_piece.snapshot_piece_val,
        message->snapshot_piece.snapshot_piece_len);
  if (consensus->incoming->len >= message->snapshot_bytes)
    {
      finish_snapshot (consensus, message);
      return;
    }
  struct consensus_wire_message *answer = consensus_queue_message (
      consensus, message->from_member, message->from_incarnation,
      CONSENSUS_SNAPSHOT_ANSWER);
  answer->log_index = message->log_index;
  answer->snapshot_offset = consensus->incoming->len;
  answer->round = message->round;
}
