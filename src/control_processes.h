#ifndef CONTROL_PROCESSES_H
#define CONTROL_PROCESSES_H

/** @file
 *  Processes that hold a session, as the replicated log applies them: only a
 *  new incarnation or address, and a lapse, go through the log. */

#include <stdbool.h>

#include "wire_control.h"

struct control_processes;

/** What the log knows of one process. */
struct control_process
{
  struct wire_process process;
  bool lapsed;
  uint64_t lapsed_at_ms;
};

/** Makes an empty table. */
struct control_processes *control_processes_create (void);
/** Frees it. */
void control_processes_destroy (struct control_processes *processes);
/** The process of that kind and name, or NULL. */
const struct control_process *
control_processes_find (const struct control_processes *processes,
                        enum wire_process_kind kind, const char *host);
/** Whether that incarnation was superseded by another. */
bool control_processes_superseded (const struct control_processes *processes,
                                   const struct wire_process *process);
/** Registers an incarnation, which supersedes the former one; false when it
 *  was superseded itself.  @p former gets the incarnation superseded, or 0.
 */
bool control_processes_register (struct control_processes *processes,
                                 const struct wire_process *process,
                                 uint64_t now_ms, uint64_t *former);
/** Marks the process as lapsed; false when it is another incarnation or has
 *  lapsed before. */
bool control_processes_lapse (struct control_processes *processes,
                              const struct wire_process *process,
                              uint64_t now_ms);
/** Digest of the live processes, never 0. */
uint64_t control_processes_digest (struct control_processes *processes);
/** Copies the live processes, in order of kind and name, allocated with
 *  malloc; their number. */
uint32_t control_processes_live (struct control_processes *processes,
                                 struct wire_process **copies);
/** Calls @p visit for each process in order. */
void control_processes_visit (struct control_processes *processes,
                              void (*visit) (void *context,
                                             struct control_process *process),
                              void *context);
/** Fills the snapshot's part. */
void control_processes_save (struct control_processes *processes,
                             struct control_state_image *image);
/** Reads the snapshot's part into an empty table. */
void control_processes_load (struct control_processes *processes,
                             const struct control_state_image *image);

#endif
