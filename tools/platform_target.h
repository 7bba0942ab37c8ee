#ifndef PLATFORM_TARGET_H
#define PLATFORM_TARGET_H

/** @file
 *  A stand-in for one of the platform's targets: it echoes request ids,
 * streams events, breaks off or refuses on request, and remembers what it ran.
 */

#include <stdbool.h>
#include <stdint.h>

/** What a target does with a request. */
enum platform_target_mode
{
  PLATFORM_TARGET_SUCCEED,
  /** Says that it is full and did not run it. */
  PLATFORM_TARGET_FULL,
  /** Runs it and answers with status 500. */
  PLATFORM_TARGET_FAIL,
  /** Runs it and closes the connection without an answer. */
  PLATFORM_TARGET_CLOSE,
  /** Streams two events and half of a third, then breaks off. */
  PLATFORM_TARGET_TRUNCATE
};

struct platform_target;

/** Starts a target named @p id on a free port of 127.0.0.1. */
struct platform_target *platform_target_create (const char *id);
/** Stops it. */
void platform_target_destroy (struct platform_target *target);
/** Port it listens on. */
uint16_t platform_target_port (const struct platform_target *target);
/** Sets what it does from now on. */
void platform_target_set_mode (struct platform_target *target,
                               enum platform_target_mode mode);
/** Time between the events of a stream, in milliseconds. */
void platform_target_set_event_interval (struct platform_target *target,
                                         uint32_t pause_ms);
/** Requests that it ran. */
uint32_t platform_target_runs (struct platform_target *target);
/** Value of a header of the last request, freed with g_free; NULL when it was
 *  absent. */
char *platform_target_header (struct platform_target *target,
                              const char *name);

#endif
