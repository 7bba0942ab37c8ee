#ifndef REGISTRY_RECORD_H
#define REGISTRY_RECORD_H

/** @file
 *  Validation and order of records. */

#include <stdbool.h>

#include "registry.h"

/** Whether the names, address and numbers of the record are valid. */
bool registry_record_valid (const struct registry_record *record);
/** Whether @p left is newer than @p right, where both records are of one
 *  target.  Compares incarnation, then leaving, then sequence. */
bool registry_record_newer (const struct registry_record *left,
                            const struct registry_record *right);

#endif
