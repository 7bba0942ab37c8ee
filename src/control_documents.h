#ifndef CONTROL_DOCUMENTS_H
#define CONTROL_DOCUMENTS_H

/** @file
 *  The configuration document of the highest version, kept byte by byte.
 *  Deterministic, without I/O. */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "wire_control.h"

struct control_documents;

/** Makes an empty store: version 0, no bytes. */
struct control_documents *control_documents_create (void);
/** Frees it. */
void control_documents_destroy (struct control_documents *documents);
/** Takes the document when its version is above the one held; true then. */
bool control_documents_put (struct control_documents *documents,
                            uint64_t version, const char *data,
                            uint32_t bytes);
/** Version held; 0: none. */
uint64_t control_documents_version (const struct control_documents *documents);
/** Bytes held, or NULL; owned by the store. */
GBytes *control_documents_bytes (const struct control_documents *documents);

#endif
