#ifndef PLATFORM_TARGET_H
#define PLATFORM_TARGET_H

/** @file
 *  A test target of the platform: an HTTP server that echoes request ids,
 *  streams events, fails in a selected way, and counts the requests it ran. */

#include <stdbool.h>
#include <stdint.h>

/** How the target responds to a request. */
enum platform_target_mode
{
  /** Runs the request and responds with status 200, with a stream of events
   *  when the URL contains "stream". */
  PLATFORM_TARGET_SUCCEED,
  /** Responds with status 503 and X-Not-Executed, without running the
   *  request. */
  PLATFORM_TARGET_FULL,
  /** Runs the request and responds with status 500. */
  PLATFORM_TARGET_FAIL,
  /** Runs the request and closes the connection without a response. */
  PLATFORM_TARGET_CLOSE,
  /** Streams two events and half of a third, then closes the connection. */
  PLATFORM_TARGET_TRUNCATE
};

struct platform_target;

/** Starts a target named @p id on a free port of 127.0.0.1. */
struct platform_target *platform_target_create (const char *id);
/** Stops the target and frees it. */
void platform_target_destroy (struct platform_target *target);
/** Port that the target listens on. */
uint16_t platform_target_port (const struct platform_target *target);
/** Sets how the target responds to later requests. */
void platform_target_set_mode (struct platform_target *target,
                               enum platform_target_mode mode);
/** Sets the time between the events of a stream. */
void platform_target_set_event_interval (struct platform_target *target,
                                         uint32_t interval_ms);
/** Number of requests that the target has run. */
uint32_t platform_target_runs (struct platform_target *target);
/** Number of runs of the request with this id. */
uint32_t platform_target_runs_of (struct platform_target *target,
                                  const char *request_id);
/** Value of a header of the last request, freed with g_free; NULL when it was
 *  absent. */
char *platform_target_header (struct platform_target *target,
                              const char *name);

#endif
