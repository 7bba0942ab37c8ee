#ifndef TARGET_FAULTS_H
#define TARGET_FAULTS_H

/** @file
 *  Faults that a stand-in target shows on request. */

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** Set of faults; read and written with atomics.  All zero: no fault. */
struct target_faults
{
  /** Requests still to be refused with 503 and Cactus-Run: not-run. */
  _Atomic uint32_t refuse;
  /** Tokens after which the connection is cut; 0: never. */
  _Atomic uint32_t reset_after_tokens;
  /** Added to the time to the first token, in milliseconds. */
  _Atomic uint32_t delay_ms;
  /** Tokens after which no more come, until the caller leaves; 0: never. */
  _Atomic uint32_t stall_after_tokens;
  /** Answers are 200 with bytes that are no answer. */
  atomic_bool nonsense;
  /** Requests run, and their answer is lost with the connection. */
  atomic_bool drop_answer;
};

/** Replaces the whole set by a JSON object; a fault that it doesn't name is
 *  off, "refuse": true means all.  NULL, or what is wrong (freed with
 *  g_free). */
char *target_faults_read (struct target_faults *faults, const char *document,
                          size_t bytes);
/** Whether the next request is to be refused; counts it. */
bool target_faults_refuse (struct target_faults *faults);

#endif
