#ifndef STORE_LOG_H
#define STORE_LOG_H

/** @file
 *  A segmented log of records with checksums in one folder.  Opening it
 *  removes what a last, unsynced write left incomplete or damaged; damage
 *  anywhere else is an error that names file and offset.  Not thread-safe.
 *
 *  A log with marks tells which records were written together, and so damage
 *  of an earlier, synced write from that of the last one.  In a log without
 *  marks only the last record counts as the last write. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base_findings.h"

/** An open log.  Its records have consecutive indexes. */
struct store_log;

/** Opens the log in @p folder, or creates one whose first record will have
 *  index @p first_index.  With @p marks the records get marks behind their
 *  data, which readers of the data in older builds must ignore.  Returns NULL
 * with findings (file and offset) when the log is damaged or can't be read. */
struct store_log *store_log_open (const char *folder, uint64_t first_index,
                                  bool marks, struct base_findings *findings);
/** Closes the log; records appended since the last sync are lost. */
void store_log_close (struct store_log *log);
/** Appends a record to the buffer.  Returns its index, or 0 with errno set. */
uint64_t store_log_append (struct store_log *log, const void *data,
                           size_t bytes);
/** Writes and syncs all appended records.  Returns 0, or -1 with errno set.
 *  When the disk is full (store_file_is_full), the records stay appended and
 *  the sync may be tried again; after another failure the log accepts no more
 *  records. */
int store_log_sync (struct store_log *log);
/** Syncs, then calls @p visit for each record from @p from_index on until it
 *  returns non-zero.  Returns 0, the non-zero value of @p visit, or -1 with
 *  findings. */
int store_log_replay (struct store_log *log, uint64_t from_index,
                      int (*visit) (void *context, uint64_t index,
                                    const void *data, size_t bytes),
                      void *context, struct base_findings *findings);
/** Index of the first stored record, or of the next one when there is none. */
uint64_t store_log_first_index (const struct store_log *log);
/** Index of the next record to append. */
uint64_t store_log_next_index (const struct store_log *log);
/** Removes the segments whose records are all before @p index.  Returns 0 or
 *  -1. */
int store_log_drop_before (struct store_log *log, uint64_t index);
/** Removes the records from @p index on and syncs.  Returns 0 or -1. */
int store_log_truncate_from (struct store_log *log, uint64_t index);
/** Removes all records and syncs; the next record has @p index.  Returns 0 or
 *  -1. */
int store_log_reset (struct store_log *log, uint64_t index);
/** Number of bytes that were cut off when the log was opened. */
uint64_t store_log_cut_bytes (const struct store_log *log);
/** Size of all records in bytes, including those not synced yet. */
uint64_t store_log_bytes (const struct store_log *log);

#endif
