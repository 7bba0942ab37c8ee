#ifndef STORE_LOG_H
#define STORE_LOG_H

/** @file
 *  A segmented, checksummed log of records in one folder.  A torn tail is cut
 *  at opening; damage anywhere else is an error with file and offset.  Not
 *  thread-safe. */

#include <stddef.h>
#include <stdint.h>

#include "base_findings.h"

/** An open log.  Records have consecutive indexes. */
struct store_log;

/** Opens or makes the log in @p folder, whose first record has index
 *  @p first_index when the log is new.  NULL with findings (file and offset)
 *  when it is damaged or can't be read. */
struct store_log *store_log_open (const char *folder, uint64_t first_index,
                                  struct base_findings *findings);
/** Closes the log without a sync. */
void store_log_close (struct store_log *log);
/** Appends a record, buffered; its index, or 0 with errno set on failure. */
uint64_t store_log_append (struct store_log *log, const void *data,
                           size_t bytes);
/** Writes and syncs everything appended; 0, or -1 with errno set.  After a
 *  failure the log takes no more records. */
int store_log_sync (struct store_log *log);
/** Calls @p visit for each record from @p from_index on; non-zero stops it.
 *  0, the visitor's value, or -1 with findings. */
int store_log_replay (struct store_log *log, uint64_t from_index,
                      int (*visit) (void *context, uint64_t index,
                                    const void *data, size_t bytes),
                      void *context, struct base_findings *findings);
/** Index of the first record kept; next index when empty. */
uint64_t store_log_first_index (const struct store_log *log);
/** Index that the next record gets. */
uint64_t store_log_next_index (const struct store_log *log);
/** Removes whole segments that hold only records before @p index. */
int store_log_drop_before (struct store_log *log, uint64_t index);
/** Removes records from @p index on, synced; 0 or -1. */
int store_log_truncate_from (struct store_log *log, uint64_t index);
/** Drops all records and starts again at @p index, synced; 0 or -1. */
int store_log_reset (struct store_log *log, uint64_t index);
/** Bytes on disk. */
uint64_t store_log_bytes (const struct store_log *log);

#endif
