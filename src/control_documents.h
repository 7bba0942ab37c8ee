#ifndef CONTROL_DOCUMENTS_H
#define CONTROL_DOCUMENTS_H

/** @file
 *  The configuration document of the highest version, stored unchanged, byte
 *  for byte.  Deterministic, without I/O. */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "wire_control.h"

struct control_documents;

/** Creates an empty store: version 0, no bytes. */
struct control_documents *control_documents_create (void);
/** Frees the store. */
void control_documents_destroy (struct control_documents *documents);
/** Replaces the document when @p version is higher than the stored one.
 *  Returns whether it did. */
bool control_documents_put (struct control_documents *documents,
                            uint64_t version, const char *data,
                            uint32_t bytes);
/** Returns the stored version, or 0 when there is no document. */
uint64_t control_documents_version (const struct control_documents *documents);
/** Returns the document, or NULL; owned by the store. */
GBytes *control_documents_bytes (const struct control_documents *documents);

#endif
