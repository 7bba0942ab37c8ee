#ifndef CONSENSUS_HARNESS_ORACLE_H
#define CONSENSUS_HARNESS_ORACLE_H

/** @file
 *  The single list that every member of a simulation must agree with. */

#include "consensus_harness.h"

/** State of the application, as kept in snapshots. */
struct consensus_harness_state
{
  uint64_t applied;
  uint64_t chain;
};

/** Adds a line to the trace, where one is wanted. */
void consensus_harness_trace (struct consensus_harness *sim,
                              const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/** Takes the application's state from a snapshot and checks it. */
void consensus_harness_load_state (struct consensus_harness *sim,
                                   struct consensus_harness_member *member,
                                   GBytes *snapshot);
/** Checks a member that leads. */
void consensus_harness_check_leader (struct consensus_harness *sim,
                                     struct consensus_harness_member *member);
/** Applies an entry and compares it with the list. */
void consensus_harness_apply (struct consensus_harness *sim,
                              struct consensus_harness_member *member,
                              const struct consensus_wire_entry *entry);
/** Checks that confirmed reads miss nothing. */
void consensus_harness_check_reads (struct consensus_harness *sim,
                                    struct consensus_harness_member *member,
                                    GArray *reads);

#endif
