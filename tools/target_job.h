#ifndef TARGET_JOB_H
#define TARGET_JOB_H

/** @file
 *  One request on a stand-in target. */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <microhttpd.h>

/** Kind of a job's answer. */
enum target_job_kind
{
  TARGET_JOB_CHAT,
  TARGET_JOB_COMPLETION,
  TARGET_JOB_PLAIN
};

/** A request; the engine's mutex guards it once it is submitted. */
struct target_job
{
  enum target_job_kind kind;
  struct MHD_Connection *connection;
  /** Idempotency key. */
  char *key;
  char *account;
  char *budget;
  char *model;
  bool stream;
  /** Send the usage at the end of the stream. */
  bool include_usage;
  uint64_t prompt_hash;
  uint32_t prompt_tokens;
  /** Length of the whole answer, in tokens. */
  uint32_t tokens;
  /** Part of the answer generated so far, in tokens. */
  uint32_t generated_tokens;
  /** Number of this run among those of its key, from 1. */
  uint32_t run;
  uint64_t started_us;
  /** Delay by the fault delay_ms, as set when the job started. */
  uint32_t delay_ms;
  /** Bytes of the stream that are not sent yet. */
  GString *pending;
  /** In the engine, running or queued. */
  bool submitted;
  /** Has a slot; false: waits for one. */
  bool running;
  /** Its connection is suspended. */
  bool suspended;
  /** No more tokens come: the answer is complete, or cut. */
  bool done;
  /** The answer ends early, and its connection with it. */
  bool cut;
  /** The end of the run is recorded in the oracle. */
  bool recorded;
  /** Position in the engine's queues. */
  GList link;
};

/** Creates a job without a request; see target_job_read. */
struct target_job *target_job_create (struct MHD_Connection *connection,
                                      enum target_job_kind kind);
/** Frees a job that is not in an engine. */
void target_job_destroy (struct target_job *job);
/** Reads the body of a completion request; NULL, or an error text (a
 *  constant). */
const char *target_job_read (struct target_job *job, const char *body,
                             size_t bytes, uint32_t fixed_tokens);
/** Appends the stream event of the next token to pending. */
void target_job_append_token (struct target_job *job);
/** Appends the last events of the stream to pending. */
void target_job_append_end (struct target_job *job);
/** Whole answer as JSON; freed with free. */
char *target_job_print (const struct target_job *job);

#endif
