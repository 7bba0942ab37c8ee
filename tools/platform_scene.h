#ifndef PLATFORM_SCENE_H
#define PLATFORM_SCENE_H

/** @file
 *  Routers and control members as processes, targets and a crowd of callers,
 *  some of whom leave; and what came of their requests. */

#include <glib.h>

#include "platform_crowd.h"
#include "platform_engine.h"
#include "platform_rig.h"

/** Maximum number of routers. */
#define PLATFORM_SCENE_ROUTERS_MAX 4

/** What a scene is like. */
struct platform_scene_options
{
  uint32_t routers;
  /** The first of them that reach no target themselves. */
  uint32_t cut_routers;
  /** Time that the routers run and stand still in turn; pause_us 0: they
   *  run. */
  uint32_t run_us;
  uint32_t pause_us;
  struct platform_engine_options targets;
  uint32_t requests_per_s;
  /** The load of the middle third, as a multiple of requests_per_s. */
  uint32_t burst_factor;
  uint32_t length_ms;
  /** Percentage of callers that leave, and when at the latest. */
  uint32_t leave_percent;
  uint32_t leave_max_ms;
};

/** A scene that was set up. */
struct platform_scene
{
  struct platform_scene_options options;
  struct platform_rig *rig;
  struct fleet_process *routers[PLATFORM_SCENE_ROUTERS_MAX];
  char addresses[PLATFORM_SCENE_ROUTERS_MAX][16];
  struct platform_engine *engine;
  struct platform_crowd_call *calls;
  uint32_t call_count;
};

/** What came of the requests. */
struct platform_scene_outcome
{
  uint32_t left;
  /** Arrivals at targets more than half a second after their callers left, and
   *  the latest one. */
  uint32_t late_arrivals;
  gint64 latest_arrival_us;
  /** Requests at work at a target when their callers left or later, those that
   *  were half a second after that, and the latest end. */
  uint32_t at_work;
  uint32_t late_work;
  gint64 latest_work_us;
  uint32_t stayed;
  uint32_t served;
  /** Attempts that the routers took for unsent, though all targets are sound,
   *  and targets that they took for unreachable. */
  uint32_t unsent;
  uint32_t unreachable;
};

/** Starts the processes and the targets, and waits until each router serves.
 *  Routes: "/stream/" (may be resumed), "/onestream/", "/look/" (safe). */
struct platform_scene *
platform_scene_create (const struct platform_scene_options *options);
/** Ends the processes and frees the scene. */
void platform_scene_destroy (struct platform_scene *scene);
/** Makes the calls, from a seed. */
void platform_scene_make_calls (struct platform_scene *scene, guint32 seed);
/** Stops the targets and judges the calls, which must have ended. */
struct platform_scene_outcome
platform_scene_judge (const struct platform_scene *scene);
/** Sets a scene up, plays its calls, and returns what came of them. */
struct platform_scene_outcome
platform_scene_play (const struct platform_scene_options *options,
                     guint32 seed);
#endif
