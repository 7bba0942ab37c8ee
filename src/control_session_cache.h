#ifndef CONTROL_SESSION_CACHE_H
#define CONTROL_SESSION_CACHE_H

/** @file
 *  The newest bundle in a file, so that a restart can't bring an older one
 *  into force. */

#include "bundle.h"

/** Replaces the file at once, synced; 0, or -1 with errno set. */
int control_session_cache_write (const char *path,
                                 const struct bundle *bundle);
/** Reads the file; NULL when there is none, or when it is damaged (logged). */
struct bundle *control_session_cache_read (const char *path);

#endif
