#include "consensus_harness_oracle.h"

#include <inttypes.h>
#include <stdarg.h>
#include <string.h>

#include "base_hash.h"

void
consensus_harness_trace (struct consensus_harness *sim, const char *format,
                         ...)
{
  va_list arguments;
  if (!sim->trace)
    return;
  g_string_append_printf (sim->trace, "%" PRIu64 " ", sim->now_ms);
  va_start (arguments, format);
  g_string_append_vprintf (sim->trace, format, arguments);
  va_end (arguments);
  g_string_append_c (sim->trace, '\n');
}

static uint64_t
digest_at (const struct consensus_harness *sim, uint64_t index)
{
  return g_array_index (sim->committed_digests, uint64_t, index);
}

void
consensus_harness_load_state (struct consensus_harness *sim,
                              struct consensus_harness_member *member,
                              GBytes *snapshot)
{
  struct consensus_wire_snapshot wire = { 0 };
  struct consensus_harness_state state;
  g_assert_true (consensus_snapshot_decode (snapshot, &wire));
  g_assert_cmpuint (wire.state.state_len, ==, sizeof state);
  memcpy (&state, wire.state.state_val, sizeof state);
  g_assert_cmpuint (state.applied, ==, wire.log_index);
  xdr_free ((xdrproc_t)xdr_consensus_wire_snapshot, (char *)&wire);
  if (state.applied > consensus_harness_committed (sim)
      || digest_at (sim, state.applied) != state.log_digest)
    g_error ("member %" PRIu64
             " loaded a snapshot that differs from the committed log",
             member->id);
  member->applied = state.applied;
  member->log_digest = state.log_digest;
}

/* A candidate may learn that it won an election after entries were committed
   in a later term; its log must only hold entries committed in terms before
   its own. */
void
consensus_harness_check_leader (struct consensus_harness *sim,
                                struct consensus_harness_member *member)
{
  if (!consensus_is_leader (member->consensus))
    return;
  uint64_t term = consensus_term (member->consensus);
  uint64_t *known = g_hash_table_lookup (sim->leader_incarnations, &term);
  if (known && *known != member->incarnation)
    g_error ("two leaders in term %" PRIu64, term);
  if (known)
    return;
  g_hash_table_insert (sim->leader_incarnations,
                       g_memdup2 (&term, sizeof term),
                       g_memdup2 (&member->incarnation, sizeof (uint64_t)));
  sim->elections++;
  consensus_harness_trace (sim, "lead %" PRIu64 " term %" PRIu64, member->id,
                           term);
  uint64_t committed = consensus_harness_committed (sim);
  for (uint64_t index = consensus_snapshot_index (member->consensus) + 1;
       index <= committed; index++)
    {
      const struct consensus_wire_entry *entry
          = consensus_entry (member->consensus, index);
      if (g_array_index (sim->first_applied_terms, uint64_t, index) >= term)
        continue;
      if (!entry
          || entry->term
                 != g_array_index (sim->committed_terms, uint64_t, index))
        g_error ("the leader of term %" PRIu64 " lacks committed entry "
                 "%" PRIu64,
                 term, index);
    }
}

static uint64_t
extend_digest (uint64_t before, const struct consensus_wire_entry *entry)
{
  uint64_t parts[4]
      = { before, entry->term, entry->kind,
          base_hash64 (entry->data.data_val, entry->data.data_len) };
  return base_hash64 (parts, sizeof parts);
}

/* Appends a newly committed entry to the reference log. */
static void
append_committed (struct consensus_harness *sim,
                  const struct consensus_wire_entry *entry,
                  uint64_t log_digest, uint64_t first_applied_term)
{
  uint64_t term = entry->term;
  g_array_append_val (sim->first_applied_terms, first_applied_term);
  g_array_append_val (sim->committed_terms, term);
  g_array_append_val (sim->committed_digests, log_digest);
  if (entry->kind != CONSENSUS_ENTRY_CONFIGURATION)
    return;
  sim->members_changed++;
  consensus_configuration_decode (&sim->committed_members,
                                  entry->data.data_val, entry->data.data_len);
}

void
consensus_harness_apply (struct consensus_harness *sim,
                         struct consensus_harness_member *member,
                         const struct consensus_wire_entry *entry)
{
  g_assert_cmpuint (entry->index, ==, member->applied + 1);
  member->log_digest = extend_digest (member->log_digest, entry);
  member->applied = entry->index;
  if (entry->index > consensus_harness_committed (sim))
    {
      append_committed (sim, entry, member->log_digest,
                        consensus_term (member->consensus));
      consensus_harness_trace (
          sim, "commit %" PRIu64 " term %" PRIu64 " kind %u by %" PRIu64,
          (uint64_t)entry->index, (uint64_t)entry->term, entry->kind,
          member->id);
    }
  else if (digest_at (sim, entry->index) != member->log_digest)
    g_error ("member %" PRIu64 " applied an entry that differs from the "
             "committed one at index %" PRIu64,
             member->id, (uint64_t)entry->index);
}

void
consensus_harness_check_reads (struct consensus_harness *sim,
                               struct consensus_harness_member *member,
                               GArray *reads)
{
  for (guint i = 0; i < reads->len; i++)
    {
      const struct consensus_read *read
          = &g_array_index (reads, struct consensus_read, i);
      uint64_t needed = g_array_index (member->reads, uint64_t, read->id - 1);
      if (!read->confirmed)
        continue;
      sim->reads_confirmed++;
      if (read->index < needed)
        g_error ("a confirmed read at member %" PRIu64
                 " missed committed entry %" PRIu64,
                 member->id, needed);
    }
}
