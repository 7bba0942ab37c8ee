#ifndef REGISTRY_RECORD_H
#define REGISTRY_RECORD_H

/** @file
 *  Validation and order of records. */

#include <stdbool.h>

#include "registry.h"

/** Whether the names, address and numbers of the record are valid. */
bool registry_record_valid (const struct registry_record *record);
/** Whether @p left is newer than @p right, both of one target: compares
 *  incarnation, then leaving, then sequence. */
bool registry_record_newer (const struct registry_record *left,
                            const struct registry_record *right);

#endif
