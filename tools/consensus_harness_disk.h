#ifndef CONSENSUS_HARNESS_DISK_H
#define CONSENSUS_HARNESS_DISK_H

/** @file
 *  Simulated disks of members of the replicated log. */

#include "consensus_harness.h"

/** Makes an empty disk. */
void consensus_harness_disk_init (struct consensus_harness_disk *disk);
/** Frees what the disk holds. */
void consensus_harness_disk_clear (struct consensus_harness_disk *disk);
/** Gives what the disk holds to a new member. */
void consensus_harness_disk_load (const struct consensus_harness_disk *disk,
                                  struct consensus *consensus);
/** Persists the effects. */
void consensus_harness_disk_persist (struct consensus_harness_disk *disk,
                                     struct consensus *consensus,
                                     const struct consensus_effects *effects);
/** A crash before the sync: a random part is persisted, in order. */
void consensus_harness_disk_persist_part (struct consensus_harness_disk *disk,
                                          struct consensus *consensus,
                                          struct base_random *random);
/** Keeps @p snapshot for all entries up to @p index. */
void consensus_harness_disk_compact (struct consensus_harness_disk *disk,
                                     GBytes *snapshot, uint64_t index);

#endif
