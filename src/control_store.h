#ifndef CONTROL_STORE_H
#define CONTROL_STORE_H

/** @file
 *  The replicated log's entries, vote and snapshot in a data folder. */

#include <stdbool.h>

#include "consensus.h"

struct control_store;

/** Opens the log in @p folder; NULL with findings. */
struct control_store *control_store_open (const char *folder,
                                          struct base_findings *findings);
/** Closes it without a sync. */
void control_store_close (struct control_store *store);
/** Gives snapshot, vote and entries to @p consensus; 0, or -1 with findings.
 */
int control_store_load (struct control_store *store,
                        struct consensus *consensus,
                        struct base_findings *findings);
/** Persists what the effects ask for, synced; 0, or -1 with errno set. */
int control_store_persist (struct control_store *store,
                           struct consensus *consensus,
                           const struct consensus_effects *effects);
/** Writes the snapshot that the log now begins after, and drops the records
 *  before it; 0, or -1 with errno set. */
int control_store_compact (struct control_store *store,
                           struct consensus *consensus);
/** Bytes written since the last snapshot. */
uint64_t control_store_tail_bytes (const struct control_store *store);
/** Number of syncs so far. */
uint64_t control_store_syncs (const struct control_store *store);

#endif
