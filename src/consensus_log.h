#ifndef CONSENSUS_LOG_H
#define CONSENSUS_LOG_H

/** @file
 *  The replicated log in memory: the entries after the last snapshot and the
 *  configurations that they contain. */

#include "consensus_configuration.h"

struct consensus_log;

/** Creates an empty log; its first entry has index 1. */
struct consensus_log *consensus_log_create (void);
/** Frees a log. */
void consensus_log_destroy (struct consensus_log *log);
/** Index of the last entry, or of the snapshot when there is no entry. */
uint64_t consensus_log_last (const struct consensus_log *log);
/** Index of the last entry that the snapshot covers; 0 without a snapshot. */
uint64_t consensus_log_base (const struct consensus_log *log);
/** Term of the entry at @p index; 0 when the log doesn't have it. */
uint64_t consensus_log_term (const struct consensus_log *log, uint64_t index);
/** Whether the log has the term of @p index: that of an entry or of the last
 *  one in the snapshot. */
bool consensus_log_has_term (const struct consensus_log *log, uint64_t index);
/** Entry at @p index, or NULL. */
const struct consensus_wire_entry *
consensus_log_entry (const struct consensus_log *log, uint64_t index);
/** Appends the entry that follows the last one; takes ownership of its data.
 */
void consensus_log_append (struct consensus_log *log,
                           const struct consensus_wire_entry *entry);
/** Removes the entries from @p index on. */
void consensus_log_truncate (struct consensus_log *log, uint64_t index);
/** Replaces the entries up to @p index with @p snapshot, which covers them. */
void consensus_log_compact (struct consensus_log *log, uint64_t index,
                            GBytes *snapshot);
/** Replaces the whole log with a snapshot.  Returns false when it is
 *  malformed. */
bool consensus_log_install (struct consensus_log *log, GBytes *snapshot);
/** Snapshot that precedes the first entry, or NULL. */
GBytes *consensus_log_snapshot (const struct consensus_log *log);
/** Latest configuration; empty when there is none. */
const struct consensus_configuration *
consensus_log_configuration (const struct consensus_log *log);
/** Index of the entry with the latest configuration. */
uint64_t consensus_log_configuration_index (const struct consensus_log *log);
/** Configuration that applies at @p index; @p configured_at receives the index
 *  of its entry. */
const struct consensus_configuration *
consensus_log_configuration_at (const struct consensus_log *log,
                                uint64_t index, uint64_t *configured_at);

#endif
