#ifndef TARGET_JOB_H
#define TARGET_JOB_H

/** @file
 *  One request on a stand-in target. */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <microhttpd.h>

/** What kind of answer a job gives. */
enum target_job_kind
{
  TARGET_JOB_CHAT,
  TARGET_JOB_COMPLETION,
  TARGET_JOB_PLAIN
};

/** A request under way; the engine's mutex guards it once it is submitted. */
struct target_job
{
  enum target_job_kind kind;
  struct MHD_Connection *connection;
  char *key;
  char *account;
  char *budget;
  char *model;
  bool stream;
  bool include_usage;
  uint64_t prompt_hash;
  uint32_t prompt_tokens;
  /** Length of the answer, and how much of it is made, in tokens. */
  uint32_t tokens;
  uint32_t made_tokens;
  /** Which run of its key this is, from 1. */
  uint32_t run;
  uint64_t started_us;
  uint32_t delay_ms;
  /** Bytes of the stream that are not sent yet. */
  GString *pending;
  bool submitted;
  bool running;
  bool suspended;
  /** No more is made: the answer is whole, or cut. */
  bool done;
  bool cut;
  bool ended;
  /** Position in the engine's lists. */
  GList link;
};

/** Makes a job of a parsed request; strings are copied. */
struct target_job *target_job_create (struct MHD_Connection *connection,
                                      enum target_job_kind kind);
/** Frees it; it must not be in an engine. */
void target_job_destroy (struct target_job *job);
/** Reads the body of a completion; NULL, or what is wrong (a constant). */
const char *target_job_read (struct target_job *job, const char *body,
                             size_t bytes, uint32_t fixed_tokens);
/** Appends the stream's event of the next token to pending. */
void target_job_append_token (struct target_job *job);
/** Appends the stream's last events. */
void target_job_append_end (struct target_job *job);
/** Whole answer as JSON, freed with free. */
char *target_job_print (const struct target_job *job);

#endif
