#ifndef TARGET_FAULTS_H
#define TARGET_FAULTS_H

/** @file
 *  Faults that a stand-in target simulates, set over POST /faults. */

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** Set of faults, read and written with atomics; all zero: no fault. */
struct target_faults
{
  /** Requests still to be refused with 503 and Cactus-Run: not-run;
   *  UINT32_MAX: all. */
  _Atomic uint32_t refuse;
  /** Tokens after which the connection is cut; 0: never. */
  _Atomic uint32_t reset_after_tokens;
  /** Added to the time to the first token or of a plain call, in
   *  milliseconds. */
  _Atomic uint32_t delay_ms;
  /** Tokens after which no more come until the caller disconnects; 0:
   *  never. */
  _Atomic uint32_t stall_after_tokens;
  /** Answers have status 200 and a body that is not JSON. */
  atomic_bool nonsense;
  /** Requests run, but the connection is closed without an answer. */
  atomic_bool drop_answer;
};

/** Replaces the whole set by a JSON object; a fault that it doesn't name is
 *  off, "refuse": true refuses all.  NULL, or an error text (freed with
 *  g_free). */
char *target_faults_read (struct target_faults *faults, const char *document,
                          size_t bytes);
/** Whether to refuse the next request; counts it down. */
bool target_faults_take_refusal (struct target_faults *faults);

#endif
