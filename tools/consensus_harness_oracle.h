#ifndef CONSENSUS_HARNESS_ORACLE_H
#define CONSENSUS_HARNESS_ORACLE_H

/** @file
 *  The reference log of a simulation, which every member must agree with. */

#include "consensus_harness.h"

/** State of the replicated application, as stored in snapshots. */
struct consensus_harness_state
{
  uint64_t applied;
  uint64_t log_digest;
};

/** Adds a line with the simulated time to the trace, if one is recorded. */
void consensus_harness_trace (struct consensus_harness *sim,
                              const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/** Restores a member's application state from a snapshot and compares it with
 *  the reference log. */
void consensus_harness_load_state (struct consensus_harness *sim,
                                   struct consensus_harness_member *member,
                                   GBytes *snapshot);
/** If the member leads: checks that it is the only leader of its term and
 *  holds every entry committed in earlier terms. */
void consensus_harness_check_leader (struct consensus_harness *sim,
                                     struct consensus_harness_member *member);
/** Applies an entry at a member and compares it with the reference log, or
 *  appends it there when it is new. */
void consensus_harness_apply (struct consensus_harness *sim,
                              struct consensus_harness_member *member,
                              const struct consensus_wire_entry *entry);
/** Checks that confirmed reads include all entries that were committed when
 *  they began. */
void consensus_harness_check_reads (struct consensus_harness *sim,
                                    struct consensus_harness_member *member,
                                    GArray *reads);

#endif
