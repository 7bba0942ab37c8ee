#ifndef FLEET_PROCESS_H
#define FLEET_PROCESS_H

/** @file
 *  Starts and stops the programs of this project for tests and trials.
 *  Signals are only sent to processes that were started here. */

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

struct fleet_process;

/** Describes a process without starting it: @p program, such as
 *  "cactus-router", from fleet_binary_folder(), its arguments (ended by NULL),
 *  and the folder for its log (NAME.log) and ready file (NAME.ready). */
struct fleet_process *fleet_process_create (const char *name,
                                            const char *program,
                                            const char *const *arguments,
                                            const char *folder);
/** Kills the process if it runs, and frees its description. */
void fleet_process_destroy (struct fleet_process *process);
/** From its next start on the process runs the program at @p path, such as one
 *  of another build. */
void fleet_process_set_program (struct fleet_process *process,
                                const char *path);
/** Starts or restarts a process that isn't running; 0, or -1 with errno
 *  set. */
int fleet_process_start (struct fleet_process *process);
/** Waits until the process has written its ready file; false when it ended or
 *  did not within @p timeout_ms. */
bool fleet_process_wait_ready (struct fleet_process *process,
                               uint32_t timeout_ms);
/** Sends a signal; false when the process isn't running. */
bool fleet_process_signal (struct fleet_process *process, int signal_number);
/** Waits at most @p timeout_ms for the process to end; returns its exit
 *  status, 128 + the signal that ended it, or -1 when it still runs. */
int fleet_process_wait (struct fleet_process *process, uint32_t timeout_ms);
/** Kills the process with SIGKILL and waits for its end. */
void fleet_process_kill (struct fleet_process *process);
/** Whether the process runs; one that is stopped by SIGSTOP counts as
 *  running. */
bool fleet_process_running (struct fleet_process *process);
/** Process id; 0 when it isn't running. */
pid_t fleet_process_id (const struct fleet_process *process);
/** Name given to fleet_process_create(). */
const char *fleet_process_name (const struct fleet_process *process);
/** ONC RPC port from the ready file; 0 when the process has none. */
uint16_t fleet_process_rpc_port (const struct fleet_process *process);
/** HTTP port from the ready file; 0 when the process has none. */
uint16_t fleet_process_http_port (const struct fleet_process *process);
/** Finds a TCP port that is free on @p address; 0 on failure.  The port is not
 *  reserved. */
uint16_t fleet_free_port (const char *address);
/** Folder of the project's programs: CACTUS_BIN, or build/bin by default. */
const char *fleet_binary_folder (void);

#endif
