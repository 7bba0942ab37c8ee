#ifndef REGISTRY_H
#define REGISTRY_H

/** @file
 *  Records of targets, kept by one writing thread and read on the request
 *  path without locks (Concurrency Kit epochs). */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "cactus_config.h"

/** One target as last heard.  (incarnation, sequence) orders the records of
 *  one target; leaving outranks every record of the same incarnation. */
struct registry_record
{
  char target[CACTUS_NAME_BYTES + 1];
  char service[CACTUS_NAME_BYTES + 1];
  char availability_zone[CACTUS_NAME_BYTES + 1];
  char region[CACTUS_NAME_BYTES + 1];
  char address[16];
  uint16_t port;
  uint64_t incarnation;
  uint64_t sequence;
  bool leaving;
  /** Monotonic time of this process at which the target itself was last
   *  known to speak (time of receipt less the age given), in ms. */
  uint64_t last_report_ms;
  /** Requests it serves at once. */
  uint32_t slots;
  /** Requests it had running and waiting when it reported. */
  uint32_t running;
  uint32_t queued;
  /** Relative speed, 1 to 1000; 100 is usual. */
  uint32_t weight;
};

/** Load of one target as this router sees it; lives as long as the registry
 *  entry and is changed with atomics by any thread. */
struct registry_load
{
  /** Own requests open now. */
  uint32_t open;
  /** Own requests sent since the last report. */
  uint32_t sent_since_report;
  /** Own requests that were open when the last report was made. */
  uint32_t open_at_report;
  /** Failures in a row. */
  uint32_t failures;
  /** Monotonic time until which the target gets no work, in ms. */
  uint64_t backoff_until_ms;
  /** Whether the one probe after a hold is under way. */
  uint32_t probing;
};

/** One entry of a view. */
struct registry_target
{
  struct registry_record record;
  /** Whether an operator drains it. */
  bool drained;
  /** Monotonic time at which the record lapses, in ms. */
  uint64_t lapse_at_ms;
  /** Hash of the target's name. */
  uint64_t target_hash;
  struct registry_load *load;
};

/** A run of targets in one availability zone. */
struct registry_group
{
  char availability_zone[CACTUS_NAME_BYTES + 1];
  char region[CACTUS_NAME_BYTES + 1];
  uint32_t first;
  uint32_t count;
  /** Sum of the reported loads, 1.0 a target whose slots are all taken. */
  double reported_load;
};

/** The targets of one service at one moment; immutable.  Targets stand in
 *  the order of region, availability zone and name. */
struct registry_view
{
  size_t count;
  const struct registry_target *targets;
  size_t group_count;
  const struct registry_group *groups;
  /** target_hash of each target. */
  const uint64_t *hashes;
};

/** Reported load of a record per slot and weight, 1.0 when all slots are
 *  taken. */
double registry_record_load (const struct registry_record *record);

struct registry;
/** A thread's registration for reading. */
struct registry_reader;

/** What became of a record. */
enum registry_outcome
{
  REGISTRY_MERGED,
  /** Older than, or the same as, what is known. */
  REGISTRY_STALE,
  /** Malformed: empty names, port 0, or weight or slots out of range. */
  REGISTRY_INVALID
};

/** Makes an empty registry; records lapse @p lapse_ms after last_report_ms. */
struct registry *registry_create (uint32_t lapse_ms);
/** Names the own availability zone.  Records of other zones, which come by
 *  relays, count as changed and lapse four times as slowly. */
void registry_set_local_zone (struct registry *registry,
                              const char *availability_zone);
/** Frees it; no reader may be registered any more. */
void registry_destroy (struct registry *registry);

/** Takes in a record, from the target itself or from gossip.  Safe from any
 *  thread (writers wait for each other). */
enum registry_outcome registry_merge (struct registry *registry,
                                      const struct registry_record *record,
                                      uint64_t now_ms);
/** Takes in @p count records and rebuilds each view once.  @p outcomes may be
 *  NULL.  Number taken. */
size_t registry_merge_all (struct registry *registry,
                           const struct registry_record *records, size_t count,
                           uint64_t now_ms, enum registry_outcome *outcomes);
/** Drops lapsed records; for 20 lapse times their order is remembered, and
 *  leaving records are kept, so that late copies can't bring a target back.
 *  Number dropped. */
size_t registry_lapse (struct registry *registry, uint64_t now_ms);
/** Replaces the set of targets that operators drain; names are copied. */
void registry_set_drained (struct registry *registry, const char *const *names,
                           size_t count);
/** Number of records of targets that aren't leaving. */
size_t registry_count (struct registry *registry);
/** Copies up to @p limit records that changed after change number
 *  @p after, for gossip; fresh reports of a target that is otherwise the same
 *  count as a change once a second; sets @p after to the newest number given.
 * Each record's last_report_ms is as stored.  Number copied. */
size_t registry_changes (struct registry *registry, uint64_t *after,
                         struct registry_record *records, size_t limit);
/** Copies up to @p limit records from position @p start on (wrapping), for
 *  digests and target lists.  Number copied. */
size_t registry_slice (struct registry *registry, size_t start,
                       struct registry_record *records, size_t limit);

/** Number of services that have records. */
size_t registry_service_count (struct registry *registry);
/** Number of the newest change. */
uint64_t registry_change_number (struct registry *registry);
/** Hash of what a target's reports leave unchanged: names, place, address,
 *  incarnation, slots, weight and whether it leaves. */
uint64_t registry_identity (const struct registry_record *record);
/** Copies the record of that identity; false when none has it. */
bool registry_find (struct registry *registry, uint64_t identity,
                    struct registry_record *record);
/** Copies the record of that target; false when it isn't known. */
bool registry_find_target (struct registry *registry, const char *target,
                           struct registry_record *record);

/** Registers the calling thread for reading. */
struct registry_reader *registry_reader_create (struct registry *registry);
/** Ends the registration. */
void registry_reader_destroy (struct registry_reader *reader);
/** Starts a read and gives the view of @p service (NULL when it has no
 *  target).  The view and its targets stay valid until registry_read_end;
 *  their load until the entry is dropped: keep no pointer past the end but
 *  through registry_load_ref. */
const struct registry_view *registry_read (struct registry_reader *reader,
                                           const char *service);
/** Ends the read. */
void registry_read_end (struct registry_reader *reader);
/** Keeps a load beyond the read. */
struct registry_load *registry_load_ref (struct registry_load *load);
/** Gives it up. */
void registry_load_unref (struct registry_load *load);

#endif
