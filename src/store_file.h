#ifndef STORE_FILE_H
#define STORE_FILE_H

/** @file
 *  Helpers for files that must survive a crash. */

#include <stdbool.h>
#include <stddef.h>

/** Whether an error number says that the disk, or the quota on it, is full. */
bool store_file_is_full (int error);
/** Writes all bytes.  Returns 0, or -1 with errno set. */
int store_file_write_all (int fd, const void *data, size_t bytes);
/** Syncs a folder, so that files created or removed in it stay so after a
 *  crash.  Returns 0, or -1 with errno set. */
int store_file_sync_folder (const char *folder);
/** Atomically replaces folder/name by a synced file with @p head followed by
 *  @p data.  Returns 0, or -1 with errno set.  On failure the old file stays,
 *  unless only the last step, the sync of the folder, failed. */
int store_file_replace (const char *folder, const char *name, const void *head,
                        size_t head_bytes, const void *data,
                        size_t data_bytes);

#endif
