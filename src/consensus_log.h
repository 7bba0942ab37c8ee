#ifndef CONSENSUS_LOG_H
#define CONSENSUS_LOG_H

/** @file
 *  Entries of the replicated log since the last snapshot, in memory, and the
 *  configurations that they carry. */

#include "consensus_configuration.h"

struct consensus_log;

/** Makes a log that begins after index 0. */
struct consensus_log *consensus_log_create (void);
/** Frees it. */
void consensus_log_destroy (struct consensus_log *log);
/** Index of the last entry; the snapshot's when there is none. */
uint64_t consensus_log_last (const struct consensus_log *log);
/** Index up to which the snapshot stands. */
uint64_t consensus_log_base (const struct consensus_log *log);
/** Term of the entry at @p index; 0 when it is not known here. */
uint64_t consensus_log_term (const struct consensus_log *log, uint64_t index);
/** Whether the term of @p index is known here. */
bool consensus_log_knows (const struct consensus_log *log, uint64_t index);
/** Entry at @p index, or NULL. */
const struct consensus_wire_entry *
consensus_log_entry (const struct consensus_log *log, uint64_t index);
/** Appends an entry with the next index; takes over its data. */
void consensus_log_append (struct consensus_log *log,
                           const struct consensus_wire_entry *entry);
/** Drops entries from @p index on. */
void consensus_log_truncate (struct consensus_log *log, uint64_t index);
/** Drops entries up to @p index and keeps @p snapshot for them. */
void consensus_log_compact (struct consensus_log *log, uint64_t index,
                            GBytes *snapshot);
/** Drops everything and begins after a snapshot; false when it is malformed.
 */
bool consensus_log_install (struct consensus_log *log, GBytes *snapshot);
/** The snapshot that the log begins after, or NULL. */
GBytes *consensus_log_snapshot (const struct consensus_log *log);
/** Newest configuration; empty when none is known. */
const struct consensus_configuration *
consensus_log_configuration (const struct consensus_log *log);
/** Index of the newest configuration. */
uint64_t consensus_log_configuration_index (const struct consensus_log *log);
/** Configuration as of @p index and its own index. */
const struct consensus_configuration *
consensus_log_configuration_at (const struct consensus_log *log,
                                uint64_t index, uint64_t *configured_at);

#endif
