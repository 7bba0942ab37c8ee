#include "consensus_state.h"

uint64_t
consensus_read_begin (struct consensus *consensus, uint64_t now_ms)
{
  (void)now_ms;
  if (!consensus_is_ready (consensus))
    return 0;
  struct consensus_pending_read read = { .id = ++consensus->read_id,
                                         .round = consensus->round + 1,
                                         .index = consensus->commit_index };
  g_array_append_val (consensus->pending_reads, read);
  consensus->heartbeat_requested = true;
  return read.id;
}

/* Whether a majority of voters, this one included, has answered heartbeat
   round @p round or a later one. */
static bool
round_confirmed (const struct consensus *consensus, uint64_t round)
{
  const struct consensus_configuration *members
      = consensus_log_configuration (consensus->log);
  uint32_t count = consensus_is_voter (consensus) && consensus->round >= round;
  for (uint32_t i = 0; i < consensus->peer_count; i++)
    {
      const struct consensus_peer *peer = &consensus->peers[i];
      count += peer->round >= round
               && consensus_configuration_is_voter (members, peer->id,
                                                    peer->incarnation);
    }
  return count >= consensus_configuration_majority (members);
}

/* Adds the result of the pending read at @p position to the effects. */
static void
report_read (struct consensus *consensus, guint position, bool confirmed)
{
  const struct consensus_pending_read *pending = &g_array_index (
      consensus->pending_reads, struct consensus_pending_read, position);
  struct consensus_read read = { pending->id, confirmed, pending->index };
  g_array_append_val (consensus->effects.reads, read);
}

void
consensus_confirm_reads (struct consensus *consensus)
{
  guint done = 0;
  GArray *reads = consensus->pending_reads;
  while (done < reads->len
         && round_confirmed (
             consensus,
             g_array_index (reads, struct consensus_pending_read, done).round))
    report_read (consensus, done++, true);
  if (done > 0)
    g_array_remove_range (reads, 0, done);
}

void
consensus_fail_reads (struct consensus *consensus)
{
  for (guint i = 0; i < consensus->pending_reads->len; i++)
    report_read (consensus, i, false);
  g_array_set_size (consensus->pending_reads, 0);
}
