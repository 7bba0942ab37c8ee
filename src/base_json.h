#ifndef BASE_JSON_H
#define BASE_JSON_H

/** @file
 *  Reads JSON from outside the process within a bounded depth: jansson parses
 *  and frees recursively, up to 2,048 deep, which overruns the stack of a
 * small thread. */

#include <stddef.h>

#include <jansson.h>

/** Maximum depth of nested arrays and objects. */
#define BASE_JSON_DEPTH_MAX 64

/** Like json_loadb(), but returns NULL for a document that is nested deeper
 *  than BASE_JSON_DEPTH_MAX, before it is parsed.  @p error may be NULL. */
json_t *base_json_load (const char *document, size_t bytes, size_t flags,
                        json_error_t *error);

#endif
