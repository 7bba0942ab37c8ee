#ifndef REGISTRY_LOAD_H
#define REGISTRY_LOAD_H

/** @file
 *  Reference-counted load objects.  A short history of this router's request
 *  counts tells how many of its requests were open when a report was made. */

#include "registry.h"

/** Creates a load with one reference. */
struct registry_load *registry_load_create (void);
/** Samples the present counts if the last sample is old enough; called by
 *  the registry's writer. */
void registry_load_sample (struct registry_load *load, uint64_t now_ms);
/** Applies a report made at @p last_report_ms; called by the registry's
 *  writer. */
void registry_load_apply_report (struct registry_load *load,
                                 uint64_t last_report_ms, uint64_t now_ms);

#endif
