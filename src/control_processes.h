#ifndef CONTROL_PROCESSES_H
#define CONTROL_PROCESSES_H

/** @file
 *  Processes that hold a session, part of the replicated state.  New
 *  incarnations, new addresses and expired sessions go through the log;
 *  heartbeats do not. */

#include <stdbool.h>

#include "wire_control.h"

struct control_processes;

/** One process and the state of its session. */
struct control_process
{
  struct wire_process process;
  /** Whether the session expired.  Such a process stays in the table for the
   *  retention time, but no longer counts as live. */
  bool lapsed;
  /** Wall time at which the session was marked as expired, in milliseconds. */
  uint64_t lapsed_at_ms;
};

/** Creates an empty table. */
struct control_processes *control_processes_create (void);
/** Frees the table. */
void control_processes_destroy (struct control_processes *processes);
/** Finds a process by kind and name.  Returns NULL when it is not known. */
const struct control_process *
control_processes_find (const struct control_processes *processes,
                        enum wire_process_kind kind, const char *host);
/** Returns whether this incarnation was superseded by another. */
bool control_processes_superseded (const struct control_processes *processes,
                                   const struct wire_process *process);
/** Registers an incarnation, which supersedes the previous one.  Returns false
 *  when a later incarnation has already superseded @p process.  Sets
 *  @p previous to the incarnation that it supersedes, or 0. */
bool control_processes_register (struct control_processes *processes,
                                 const struct wire_process *process,
                                 uint64_t now_ms, uint64_t *previous);
/** Marks the session of the process as expired.  Returns false when another
 *  incarnation is registered or the session is already marked as expired. */
bool control_processes_lapse (struct control_processes *processes,
                              const struct wire_process *process,
                              uint64_t now_ms);
/** Returns the digest of the live processes, never 0. */
uint64_t control_processes_digest (struct control_processes *processes);
/** Copies the live processes, in order of kind and name, into an array
 *  allocated with malloc.  Returns their number, at most WIRE_PEERS_MAX. */
uint32_t control_processes_live (struct control_processes *processes,
                                 struct wire_process **copies);
/** Calls @p visit for each process, in order of kind and name. */
void control_processes_visit (struct control_processes *processes,
                              void (*visit) (void *context,
                                             struct control_process *process),
                              void *context);
/** Writes the table to a snapshot image. */
void control_processes_save (struct control_processes *processes,
                             struct control_state_image *image);
/** Reads a snapshot image into an empty table. */
void control_processes_load (struct control_processes *processes,
                             const struct control_state_image *image);

#endif
