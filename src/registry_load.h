#ifndef REGISTRY_LOAD_H
#define REGISTRY_LOAD_H

/** @file
 *  Load objects with their reference count, and their short history by which
 *  a report of some age is set against the own requests of that time. */

#include "registry.h"

/** Makes a load with one reference. */
struct registry_load *registry_load_create (void);
/** Notes the present counts for later reports; by the registry's writer. */
void registry_load_sample (struct registry_load *load, uint64_t now_ms);
/** Takes note that a report of @p last_report_ms came in; by the writer. */
void registry_load_reported (struct registry_load *load,
                             uint64_t last_report_ms, uint64_t now_ms);

#endif
