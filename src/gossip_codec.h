#ifndef GOSSIP_CODEC_H
#define GOSSIP_CODEC_H

/** @file
 *  Between records of the registry and their form on the wire, where times
 *  are ages. */

#include <stdbool.h>
#include <stdint.h>

#include "registry.h"
#include "wire_gossip.h"

/** Fills @p target (strings allocated, freed with xdr_free). */
void gossip_target_from_record (struct gossip_target *target,
                                const struct registry_record *record,
                                uint64_t now_ms);
/** Fills @p record; false when a string is too long or a number out of
 *  range. */
bool gossip_target_to_record (const struct gossip_target *target,
                              uint64_t now_ms, struct registry_record *record);
/** Whether the record's report fits a load. */
bool gossip_load_fits (const struct registry_record *record, uint64_t now_ms);
/** Fills @p load. */
void gossip_load_from_record (struct gossip_load *load,
                              const struct registry_record *record,
                              uint64_t now_ms);
/** Renews @p record, of the load's identity, with its report. */
void gossip_load_to_record (const struct gossip_load *load, uint64_t now_ms,
                            struct registry_record *record);

#endif
