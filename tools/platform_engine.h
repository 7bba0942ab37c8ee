#ifndef PLATFORM_ENGINE_H
#define PLATFORM_ENGINE_H

/** @file
 *  Test targets of the platform on one thread that notice at once when a
 *  request's connection closes, and note when each request arrived and when
 *  the work on it ended. */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** What a target can do. */
struct platform_engine_options
{
  /** Requests that run at a time; more wait. */
  uint32_t slots;
  /** Events of a stream and the time between them; plain requests take
   *  work_ms. */
  uint32_t events;
  uint32_t event_interval_ms;
  uint32_t work_ms;
};

/** Times of one arrival of a request, as g_get_monotonic_time. */
struct platform_engine_run
{
  uint32_t target;
  bool is_stream;
  gint64 arrived_us;
  /** 0 while the request waits for a slot. */
  gint64 began_us;
  /** Time at which the work was complete or the connection closed; 0 before
   *  that. */
  gint64 ended_us;
};

struct platform_engine;

/** Starts @p targets targets "e0", "e1", ... on free ports of 127.0.0.1. */
struct platform_engine *
platform_engine_create (uint32_t targets,
                        const struct platform_engine_options *options);
/** Stops the targets; the runs stay readable until platform_engine_destroy. */
void platform_engine_stop (struct platform_engine *engine);
/** Frees the targets. */
void platform_engine_destroy (struct platform_engine *engine);
/** Port of a target. */
uint16_t platform_engine_port (const struct platform_engine *engine,
                               uint32_t target);
/** Runs (struct platform_engine_run) of the request with this id, or NULL.
 *  Call it after platform_engine_stop. */
const GArray *platform_engine_runs (const struct platform_engine *engine,
                                    const char *request_id);
/** Number of arrivals at all targets.  Call it after platform_engine_stop. */
uint32_t platform_engine_arrivals (const struct platform_engine *engine);

#endif
