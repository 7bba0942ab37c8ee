#ifndef PLATFORM_CROWD_H
#define PLATFORM_CROWD_H

/** @file
 *  Many callers of routers on one thread, some of whom leave before their
 *  answer is complete. */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** How a caller leaves. */
enum platform_crowd_leave
{
  /** It stays until the answer is complete. */
  PLATFORM_CROWD_STAYS,
  /** It closes its connection in order. */
  PLATFORM_CROWD_CLOSES,
  /** It resets its connection. */
  PLATFORM_CROWD_RESETS
};

/** A call: what a test sets, and what came of it. */
struct platform_crowd_call
{
  /** IPv4 address of the router, which must stay valid. */
  const char *address;
  uint16_t port;
  const char *path;
  uint32_t deadline_ms;
  /** Start of the call after platform_crowd_start, in milliseconds. */
  uint32_t at_ms;
  enum platform_crowd_leave leave;
  /** Time from the start of the call until the caller leaves. */
  uint32_t leave_ms;

  char id[32];
  gint64 started_us;
  /** Time at which the caller left; 0 when the answer came first. */
  gint64 left_us;
  /** Time at which the connection ended, or the answer was complete. */
  gint64 ended_us;
  uint32_t status;
  bool is_whole;
};

struct platform_crowd;

/** Starts the calls; @p calls are ordered by at_ms and must stay valid.  The
 *  ids begin with @p prefix. */
struct platform_crowd *platform_crowd_start (struct platform_crowd_call *calls,
                                             uint32_t count,
                                             const char *prefix);
/** Waits until all calls have ended, at most until their deadlines have passed
 *  by two seconds, and frees the crowd. */
void platform_crowd_join (struct platform_crowd *crowd);

#endif
