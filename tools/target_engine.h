#ifndef TARGET_ENGINE_H
#define TARGET_ENGINE_H

/** @file
 *  The stand-in's engine: slots, a queue, and tokens made at a set pace. */

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "target_faults.h"
#include "target_job.h"
#include "target_oracle.h"

/** Pace and size of an engine. */
struct target_engine_options
{
  uint32_t slots;
  uint32_t queue_limit;
  uint32_t first_token_ms;
  /** Tokens a second of one request. */
  uint32_t token_rate;
  /** Time of one plain call, in milliseconds. */
  uint32_t call_ms;
};

struct target_engine;

/** Starts an engine; the oracle and faults stay the caller's. */
struct target_engine *
target_engine_create (const struct target_engine_options *pace,
                      struct target_faults *faults,
                      struct target_oracle *oracle);
/** Stops the engine; no job may be in it. */
void target_engine_destroy (struct target_engine *engine);
/** Takes in a job, to run now or when a slot is free; false when the queue is
 *  full.  With @p suspend its connection is suspended until it is done. */
bool target_engine_submit (struct target_engine *engine,
                           struct target_job *job, bool suspend);
/** Takes up to @p limit bytes of a job's stream, or suspends its connection;
 *  as libmicrohttpd's content reader returns. */
ssize_t target_engine_read (struct target_engine *engine,
                            struct target_job *job, char *buffer,
                            size_t limit);
/** Takes the job out: it is done, or its caller left. */
void target_engine_remove (struct target_engine *engine,
                           struct target_job *job);
/** Numbers of jobs that run and wait. */
void target_engine_counts (struct target_engine *engine, uint32_t *running,
                           uint32_t *queued);

#endif
