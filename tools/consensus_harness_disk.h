#ifndef CONSENSUS_HARNESS_DISK_H
#define CONSENSUS_HARNESS_DISK_H

/** @file
 *  Simulated disks of the members of a replicated log. */

#include "consensus_harness.h"

/** Initialises an empty disk. */
void consensus_harness_disk_init (struct consensus_harness_disk *disk);
/** Frees the contents of a disk. */
void consensus_harness_disk_clear (struct consensus_harness_disk *disk);
/** Loads the contents of a disk into a newly created member. */
void consensus_harness_disk_load (const struct consensus_harness_disk *disk,
                                  struct consensus *consensus);
/** Writes the unsynced state in @p effects to the disk. */
void consensus_harness_disk_persist (struct consensus_harness_disk *disk,
                                     struct consensus *consensus,
                                     const struct consensus_effects *effects);
/** Writes a random prefix of the unsynced state (vote, snapshot, entries) to
 *  the disk, as a crash before the end of a sync may leave it. */
void consensus_harness_disk_persist_part (struct consensus_harness_disk *disk,
                                          struct consensus *consensus,
                                          struct base_random *random);
/** Replaces all entries up to @p index by @p snapshot. */
void consensus_harness_disk_compact (struct consensus_harness_disk *disk,
                                     GBytes *snapshot, uint64_t index);

#endif
