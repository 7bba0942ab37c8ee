#ifndef FLEET_PROCESS_H
#define FLEET_PROCESS_H

/** @file
 *  One process of the project, started by a test or trial; only processes
 *  started here are ever signalled. */

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

struct fleet_process;

/** Describes a process: @p program ("cactus-router") in the folder of
 *  binaries, its arguments (ended by NULL), and a folder for its log
 *  (NAME.log) and ready file.  Nothing is started yet. */
struct fleet_process *fleet_process_create (const char *name,
                                            const char *program,
                                            const char *const *arguments,
                                            const char *folder);
/** Kills the process if it runs, and frees the description. */
void fleet_process_destroy (struct fleet_process *process);
/** Starts it, or starts it again; 0, or -1 with errno set. */
int fleet_process_start (struct fleet_process *process);
/** Waits until it says that it serves; false when it ended or did not within
 *  @p limit_ms. */
bool fleet_process_wait_ready (struct fleet_process *process,
                               uint32_t limit_ms);
/** Sends a signal; false when it does not run. */
bool fleet_process_signal (struct fleet_process *process, int signal_number);
/** Waits for its end for at most @p limit_ms; exit status, 128 + signal, or
 *  -1 when it still runs. */
int fleet_process_wait (struct fleet_process *process, uint32_t limit_ms);
/** Kills it at once and waits. */
void fleet_process_kill (struct fleet_process *process);
/** Whether it runs (also when stopped by a signal). */
bool fleet_process_running (struct fleet_process *process);
/** Its id; 0 when it does not run. */
pid_t fleet_process_id (const struct fleet_process *process);
/** Name it was created with. */
const char *fleet_process_name (const struct fleet_process *process);
/** Port it serves ONC RPC on; 0 when it serves none. */
uint16_t fleet_process_rpc_port (const struct fleet_process *process);
/** Port it serves HTTP on; 0 when it serves none. */
uint16_t fleet_process_http_port (const struct fleet_process *process);
/** A port on @p address that was free just now; 0 on failure. */
uint16_t fleet_free_port (const char *address);
/** Folder of binaries: CACTUS_BIN, else build/bin. */
const char *fleet_binary_folder (void);

#endif
