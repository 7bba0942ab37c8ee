#ifndef STORE_SNAPSHOT_H
#define STORE_SNAPSHOT_H

/** @file
 *  The snapshot of a data folder: one file with a checksum, replaced
 *  atomically and synced. */

#include <stddef.h>
#include <stdint.h>

#include "base_findings.h"

/** Writes @p data as the snapshot that covers the log records up to @p index
 *  (inclusive) in @p folder.  Returns 0, or -1 with errno set.  On failure the
 *  old snapshot stays, as with store_file_replace. */
int store_snapshot_write (const char *folder, uint64_t index, const void *data,
                          size_t bytes);
/** Reads the snapshot.  Returns 1 when there is one (the caller frees @p data
 *  with g_free), 0 when there is none, or -1 with findings when it is damaged
 *  or can't be read. */
int store_snapshot_read (const char *folder, uint64_t *index, void **data,
                         size_t *bytes, struct base_findings *findings);

#endif
