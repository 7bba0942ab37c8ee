#ifndef LOSSY_DISK_H
#define LOSSY_DISK_H

/** @file
 *  A disk that loses what was not synced.  Linked into a test, its
 *  definitions of fsync(), fdatasync(), ftruncate(), rename() and unlink()
 * take the place of the C library's; syncs only note what the files hold.
 * Creating, renaming and removing a file counts as synced. */

#include <stdbool.h>
#include <stdint.h>

#include "base_random.h"

/** Lets @p syncs more syncs succeed.  Then the process is killed: later ones
 *  fail with EIO, and files are neither cut nor removed, until the next call.
 */
void lossy_disk_allow (uint64_t syncs);
/** Makes the next sync of a file fail with EIO.  What it should have stored is
 *  lost, although it can still be read and later syncs succeed. */
void lossy_disk_fail_once (void);
/** Whether a sync failed since the last lossy_disk_allow(). */
bool lossy_disk_failed (void);
/** Loses power: of what was not synced in the folder's files, nothing, a part
 *  or everything stays, also at full length with zeros, other bytes or the
 *  former ones for a part of it. */
void lossy_disk_lose_power (const char *folder, struct base_random *random);
/** Removes the folder's files. */
void lossy_disk_wipe (const char *folder);

#endif
