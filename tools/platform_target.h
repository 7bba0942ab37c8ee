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
/** Sets a header line ("Name: value") of later responses; NULL for none. */
void platform_target_set_statement (struct platform_target *target,
                                    const char *line);
/** Has the target turn all requests away and ask for rest, until it is called
 *  with 0. */
void platform_target_set_rest (struct platform_target *target,
                               uint32_t rest_ms);
/** What a target can take. */
struct platform_target_room
{
  /** Requests that run at a time, for work_ms each, and that may wait. */
  uint32_t slots;
  uint32_t waiting;
  uint32_t work_ms;
  /** It falls over for fall_ms when it has to turn away more than this in a
   *  second; 0: it doesn't. */
  uint32_t rejections_per_s;
  uint32_t fall_ms;
};
/** Sets what the target can take; by default anything. */
void platform_target_set_room (struct platform_target *target,
                               const struct platform_target_room *room);
/** Number of times that the target fell over. */
uint32_t platform_target_falls (struct platform_target *target);
/** Called for each request that arrives, on the connection's thread. */
typedef void platform_target_arrival (void *context, const char *request_id);
/** Sets the callback for arrivals. */
void platform_target_set_arrival (struct platform_target *target,
                                  platform_target_arrival *arrival,
                                  void *context);
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
