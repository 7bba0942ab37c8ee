#ifndef GOSSIP_CODEC_H
#define GOSSIP_CODEC_H

/** @file
 *  Converts between registry records and the XDR structs of gossip.  Times are
 *  sent as ages, since routers don't share a monotonic clock. */

#include <stdbool.h>
#include <stdint.h>

#include "registry.h"
#include "wire_gossip.h"

/** Fills @p target from a record; the caller frees its strings with
 *  xdr_free. */
void gossip_target_from_record (struct gossip_target *target,
                                const struct registry_record *record,
                                uint64_t now_ms);
/** Fills @p record.  Returns false when a string is too long or the port is
 *  out of range. */
bool gossip_target_to_record (const struct gossip_target *target,
                              uint64_t now_ms, struct registry_record *record);
/** Whether the record's sequence, age and request counts are within the ranges
 *  of the members of struct gossip_load. */
bool gossip_load_fits (const struct registry_record *record, uint64_t now_ms);
/** Fills @p load from a record for which gossip_load_fits is true. */
void gossip_load_from_record (struct gossip_load *load,
                              const struct registry_record *record,
                              uint64_t now_ms);
/** Updates @p record, which has the load's identity, with the load. */
void gossip_load_to_record (const struct gossip_load *load, uint64_t now_ms,
                            struct registry_record *record);

#endif
