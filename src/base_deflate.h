#ifndef BASE_DEFLATE_H
#define BASE_DEFLATE_H

/** @file
 *  Compression of byte strings in the zlib format (RFC 1950). */

#include <stdbool.h>
#include <stddef.h>

#include <glib.h>

/** Compresses @p bytes of @p data. */
GBytes *base_deflate (const void *data, size_t bytes);
/** Decompresses @p data.  Returns NULL when it is malformed, has bytes after
 *  its end, or decompresses to more than @p limit_bytes. */
GBytes *base_inflate (const void *data, size_t bytes, size_t limit_bytes);
/** Returns whether @p data begins like the output of base_deflate.  No JSON
 *  text does. */
bool base_is_deflated (const void *data, size_t bytes);

#endif
