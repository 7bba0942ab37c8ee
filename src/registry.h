#ifndef REGISTRY_H
#define REGISTRY_H

/** @file
 *  Records of targets.  Writers take a mutex; the request path reads
 *  without locks (Concurrency Kit epochs). */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "cactus_config.h"

/** The last known report of one target.  Records of a target are ordered by
 *  (incarnation, sequence), except that a leaving record outranks all
 *  others of its incarnation. */
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
  /** Time in ms, on the monotonic clock of this process, at which the target
   *  made its last known report: time of receipt minus the age given in the
   *  message. */
  uint64_t last_report_ms;
  /** Number of requests that the target serves at once. */
  uint32_t slots;
  /** Numbers of requests running and waiting at the target when it made the
   *  report. */
  uint32_t running;
  uint32_t queued;
  /** Relative speed, 1 to 1000; the default is 100. */
  uint32_t weight;
};

/** Load of one target as this router sees it.  Any thread changes it with
 *  atomics.  It lives as long as the registry entry or a reference to it. */
struct registry_load
{
  /** Number of this router's requests that are open now. */
  uint32_t open;
  /** Number of this router's requests sent since the last report. */
  uint32_t sent_since_report;
  /** Number of this router's requests that were open when the last report was
   *  made. */
  uint32_t open_at_report;
  /** Number of consecutive failures. */
  uint32_t failures;
  /** Monotonic time in ms until which the target gets no request. */
  uint64_t backoff_until_ms;
  /** Whether the one request that probes the target after a backoff is in
   *  progress. */
  uint32_t probing;
};

/** A target in a view. */
struct registry_target
{
  struct registry_record record;
  /** Whether an operator has drained the target. */
  bool drained;
  /** Monotonic time in ms at which the record expires. */
  uint64_t lapse_at_ms;
  /** Hash of the target's name. */
  uint64_t target_hash;
  struct registry_load *load;
};

/** Consecutive targets of a view that are in one availability zone. */
struct registry_group
{
  char availability_zone[CACTUS_NAME_BYTES + 1];
  char region[CACTUS_NAME_BYTES + 1];
  uint32_t first;
  uint32_t count;
  /** Sum of registry_record_load over the targets: for weight 100, 1.0 per
   *  target whose slots are all in use. */
  double reported_load;
};

/** Immutable snapshot of the targets of one service, sorted by region,
 *  availability zone and name. */
struct registry_view
{
  size_t count;
  const struct registry_target *targets;
  size_t group_count;
  const struct registry_group *groups;
  /** The target_hash of each target. */
  const uint64_t *hashes;
};

/** Returns the reported load of a record, 1.0 when all slots are in use,
 *  scaled by its weight. */
double registry_record_load (const struct registry_record *record);

struct registry;
/** A thread's registration for reading. */
struct registry_reader;

/** Result of merging a record. */
enum registry_outcome
{
  REGISTRY_MERGED,
  /** The record has expired, or is not newer than the record already known. */
  REGISTRY_STALE,
  /** The record is malformed: an invalid name or address, port 0, incarnation
   *  0, or slots, weight or request counts out of range. */
  REGISTRY_INVALID
};

/** Creates an empty registry.  Records expire @p lapse_ms after last_report_ms
 *  and are then hidden by registry_lapse. */
struct registry *registry_create (uint32_t lapse_ms);
/** Sets the availability zone of this router.  Records of other zones arrive
 *  through relays; their lifetime is four times as long, and so is the minimum
 *  interval between changes that only refresh a report. */
void registry_set_local_zone (struct registry *registry,
                              const char *availability_zone);
/** Frees the registry; no reader may be registered any more. */
void registry_destroy (struct registry *registry);

/** Merges a record received from its target or by gossip.  Thread-safe;
 *  writers wait for each other. */
enum registry_outcome registry_merge (struct registry *registry,
                                      const struct registry_record *record,
                                      uint64_t now_ms);
/** Merges @p count records and rebuilds each view once.  Stores the results
 *  in @p outcomes unless it is NULL.  Returns the number merged. */
size_t registry_merge_all (struct registry *registry,
                           const struct registry_record *records, size_t count,
                           uint64_t now_ms, enum registry_outcome *outcomes);
/** Hides expired records and returns their number.  Hidden and leaving records
 *  are kept for 20 * lapse_ms after their last report, so that a delayed copy
 *  can't make a target visible again. */
size_t registry_lapse (struct registry *registry, uint64_t now_ms);
/** Replaces the set of targets that operators have drained; the names are
 *  copied. */
void registry_set_drained (struct registry *registry, const char *const *names,
                           size_t count);
/** Returns the number of live targets, whose records are neither expired nor
 *  leaving. */
size_t registry_count (struct registry *registry);
/** Copies up to @p limit records that changed after change number @p after,
 *  for gossip, and sets @p after to the number of the last one copied.  A
 *  refreshed report of an otherwise unchanged target counts as a change at
 *  most once a second, for targets of other zones once in 4 s.  The
 *  last_report_ms is copied as stored.  Returns the number copied. */
size_t registry_changes (struct registry *registry, uint64_t *after,
                         struct registry_record *records, size_t limit);
/** Copies up to @p limit records from position @p start on, wrapping
 *  around, for digests and target lists.  Returns the number copied. */
size_t registry_slice (struct registry *registry, size_t start,
                       struct registry_record *records, size_t limit);

/** Returns the number of services that have records. */
size_t registry_service_count (struct registry *registry);
/** Returns the number of the newest change. */
uint64_t registry_change_number (struct registry *registry);
/** Returns a hash of the members that don't vary between reports: names,
 *  location, address, incarnation, slots, weight and leaving. */
uint64_t registry_identity (const struct registry_record *record);
/** Copies the record with this identity.  Returns false when there is none. */
bool registry_find (struct registry *registry, uint64_t identity,
                    struct registry_record *record);
/** Copies the record of this target.  Returns false when it isn't known. */
bool registry_find_target (struct registry *registry, const char *target,
                           struct registry_record *record);

/** Registers the calling thread as a reader. */
struct registry_reader *registry_reader_create (struct registry *registry);
/** Ends the registration. */
void registry_reader_destroy (struct registry_reader *reader);
/** Starts a read and returns the view of @p service, or NULL when it has no
 *  target.  The view and its targets are valid until registry_read_end.  To
 *  use a load after that, take a reference with registry_load_ref. */
const struct registry_view *registry_read (struct registry_reader *reader,
                                           const char *service);
/** Ends the read. */
void registry_read_end (struct registry_reader *reader);
/** Adds a reference, which keeps a load valid after the read. */
struct registry_load *registry_load_ref (struct registry_load *load);
/** Drops a reference; the last one frees the load. */
void registry_load_unref (struct registry_load *load);

#endif
