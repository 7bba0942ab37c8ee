#ifndef BUNDLE_PATH_H
#define BUNDLE_PATH_H

/** @file
 *  Patterns "METHOD /path" of non-idempotent calls, which must run at most
 *  once. */

#include <stdbool.h>

/** Normalises a path: without query, percent-decoded, in lower case, without
 *  empty, "." and ".." segments.  The caller frees the result with g_free.
 *  Spellings that a server may take for the same path thus compare equal. */
char *bundle_path_normalise (const char *path);
/** Checks and normalises a pattern "METHOD /path".  Returns NULL when it is
 *  malformed; the caller frees the result with g_free. */
char *bundle_path_parse_pattern (const char *text);
/** Whether a call matches the pattern: the same method (or any for *), and
 *  the same path or one below it. */
bool bundle_path_matches (const char *pattern, const char *method,
                          const char *normal_path);

#endif
