#ifndef RAW_HEAD_H
#define RAW_HEAD_H

/** @file
 *  Reads the head of an HTTP message from a buffer, for stand-ins on plain
 *  sockets. */

#include <stdbool.h>
#include <stddef.h>

/** Size of the request at the beginning of @p text, head and body; 0 while the
 *  head is incomplete. */
size_t raw_head_request_bytes (const char *text);
/** Copies the value of a header of the head at the beginning of @p text.
 *  Returns false when there is none. */
bool raw_head_value (const char *text, const char *name, char *value,
                     size_t value_bytes);

#endif
