#ifndef TARGET_ENGINE_H
#define TARGET_ENGINE_H

/** @file
 *  Engine of the stand-in target: runs jobs in a limited number of slots,
 *  queues the others, and generates tokens at a set rate.  It runs on its own
 *  thread; all functions may be called from other threads. */

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "target_faults.h"
#include "target_job.h"
#include "target_oracle.h"

/** Size and speed of an engine. */
struct target_engine_options
{
  /** Jobs that run at once. */
  uint32_t slots;
  /** Jobs that may wait for a slot. */
  uint32_t queue_limit;
  /** Time to the first token, in milliseconds. */
  uint32_t first_token_ms;
  /** Tokens a second of one request. */
  uint32_t token_rate;
  /** Time of one plain call, in milliseconds. */
  uint32_t call_ms;
};

struct target_engine;

/** Starts an engine; the oracle and faults stay the caller's. */
struct target_engine *
target_engine_create (const struct target_engine_options *options,
                      struct target_faults *faults,
                      struct target_oracle *oracle);
/** Stops the engine; it must not hold a job. */
void target_engine_destroy (struct target_engine *engine);
/** Runs a job now or when a slot is free; false when the queue is full.  With
 *  @p suspend its connection is suspended until the job is done. */
bool target_engine_submit (struct target_engine *engine,
                           struct target_job *job, bool suspend);
/** Moves up to @p limit bytes of a job's stream to @p buffer, or suspends the
 *  connection while there are none; returns what a content reader callback of
 *  libmicrohttpd returns. */
ssize_t target_engine_read (struct target_engine *engine,
                            struct target_job *job, char *buffer,
                            size_t limit);
/** Removes a job that is done or whose caller disconnected. */
void target_engine_remove (struct target_engine *engine,
                           struct target_job *job);
/** Numbers of jobs that run and that wait for a slot. */
void target_engine_counts (struct target_engine *engine, uint32_t *running,
                           uint32_t *queued);

#endif
