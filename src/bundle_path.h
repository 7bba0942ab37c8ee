#ifndef BUNDLE_PATH_H
#define BUNDLE_PATH_H

/** @file
 *  Patterns of calls that must run at most once, "METHOD /path". */

#include <stdbool.h>

/** The path without query, percent-decoded, in lower case, without empty, "."
 *  and ".." segments; freed with g_free.  Different spellings that a server
 *  may take for the same path thus compare equal. */
char *bundle_path_normalise (const char *path);
/** Checks and normalises "METHOD /path"; NULL when malformed, else freed with
 *  g_free. */
char *bundle_path_pattern (const char *text);
/** Whether the call fits the pattern: same method (any for *), same path or
 *  one below it. */
bool bundle_path_fits (const char *pattern, const char *method,
                       const char *normal_path);

#endif
