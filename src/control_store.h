#ifndef CONTROL_STORE_H
#define CONTROL_STORE_H

/** @file
 *  Stores the replicated log's entries, vote and snapshot in a data folder. */

#include <stdbool.h>

#include "consensus.h"

struct control_store;

/** Called again and again while the disk is full: waits for a moment, and
 *  returns false to give up. */
struct control_store_wait
{
  bool (*wait) (void *context);
  void *context;
};

/** Opens the log in @p folder.  Returns NULL with findings on an error. */
struct control_store *control_store_open (const char *folder,
                                          struct base_findings *findings);
/** Closes the store without a sync. */
void control_store_close (struct control_store *store);
/** Loads snapshot, vote and entries into @p consensus.  Returns 0, or -1 with
 *  findings. */
int control_store_load (struct control_store *store,
                        struct consensus *consensus,
                        struct base_findings *findings);
/** Sets what to do while the disk is full. */
void control_store_set_wait (struct control_store *store,
                             const struct control_store_wait *wait);
/** Writes and syncs the vote, snapshot and entries that the effects list.
 *  Waits while the disk is full.  Returns 0, or -1 with errno set. */
int control_store_persist (struct control_store *store,
                           struct consensus *consensus,
                           const struct consensus_effects *effects);
/** Writes the snapshot that @p consensus made when it compacted its log, and
 *  drops the records that it covers.  Returns 0, or -1 with errno set; when
 * the disk is full the former snapshot and the records stay. */
int control_store_compact (struct control_store *store,
                           struct consensus *consensus);
/** Returns the bytes of log records since the last snapshot. */
uint64_t control_store_tail_bytes (const struct control_store *store);
/** Number of bytes of an unsynced write that were cut off at the start. */
uint64_t control_store_cut_bytes (const struct control_store *store);
/** Returns the number of syncs so far. */
uint64_t control_store_syncs (const struct control_store *store);

#endif
