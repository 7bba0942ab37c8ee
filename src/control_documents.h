#ifndef CONTROL_DOCUMENTS_H
#define CONTROL_DOCUMENTS_H

/** @file
 *  The configuration document of the highest version, stored unchanged, byte
 *  for byte, and the transfers by which routers get it.  Deterministic,
 *  without I/O. */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "wire_control.h"

struct control_documents;

/** Creates an empty store: version 0, no bytes. */
struct control_documents *control_documents_create (void);
/** Frees the store. */
void control_documents_destroy (struct control_documents *documents);
/** Returns the document that @p data holds: the output of base_deflate, or the
 *  document itself.  NULL when it can't be decompressed. */
GBytes *control_documents_unpack (const char *data, uint32_t bytes);
/** Replaces the document when @p version is higher than the stored one.
 *  Returns whether it did. */
bool control_documents_put (struct control_documents *documents,
                            uint64_t version, GBytes *bytes);
/** Returns the stored version, or 0 when there is no document. */
uint64_t control_documents_version (const struct control_documents *documents);
/** Returns the document, or NULL; owned by the store. */
GBytes *control_documents_bytes (const struct control_documents *documents);
/** Returns whether a transfer can start from the document of @p version: it is
 *  0, or among the last documents. */
bool control_documents_has (const struct control_documents *documents,
                            uint64_t version);
/** Returns the transfer (a control_difference) from the document of @p
 *  from_version to that of @p to_version, owned by the store; NULL when one of
 *  them is no longer stored. */
GBytes *control_documents_transfer (struct control_documents *documents,
                                    uint64_t from_version,
                                    uint64_t to_version);

#endif
