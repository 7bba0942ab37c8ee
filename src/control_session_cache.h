#ifndef CONTROL_SESSION_CACHE_H
#define CONTROL_SESSION_CACHE_H

/** @file
 *  File that keeps the newest bundle, so that an older one can't become active
 *  after a restart. */

#include "bundle.h"

/** Replaces the file atomically and syncs it.  Returns 0, or -1 with errno
 *  set. */
int control_session_cache_write (const char *path,
                                 const struct bundle *bundle);
/** Reads the file.  Returns NULL when there is none, or when it is damaged,
 *  which is logged. */
struct bundle *control_session_cache_read (const char *path);

#endif
