#include "edge_path.h"

#include <glib.h>

/* Delay of the first probe after a way was lost, and the longest interval of
   probes, in milliseconds.  A path that is back is used within the latter. */
#define PROBE_MIN_MS 100
#define PROBE_MAX_MS 1500
/* Interval of requests that are sent to a target that nobody reaches, in
   milliseconds. */
#define TRY_INTERVAL_MS 250
/* Time since the last sign of life within which a way is not in doubt, in
   milliseconds. */
#define HEARD_MS 300
/* Time for which a router that didn't reach the target isn't asked again, in
   milliseconds. */
#define FAILED_VIA_MS 2000
/* Failures via other routers after which none is assumed to reach the target,
   and the interval at which they are then asked again, in milliseconds. */
#define RELAY_TRIES 12
#define RELAY_INTERVAL_MS 1500

bool
edge_path_note_reached (struct edge_path *path, uint64_t now_ms)
{
  bool was_lost = path->is_lost;
  path->heard_ms = now_ms;
  path->is_lost = false;
  path->is_probing = false;
  path->probe_ms = 0;
  path->probe_interval_ms = 0;
  return was_lost;
}

bool
edge_path_note_lost (struct edge_path *path, uint64_t now_ms)
{
  bool was_lost = path->is_lost;
  path->is_probing = false;
  path->tried_ms = now_ms;
  path->probe_interval_ms
      = was_lost ? MIN (2 * MAX (path->probe_interval_ms, PROBE_MIN_MS),
                        PROBE_MAX_MS)
                 : PROBE_MIN_MS;
  path->probe_ms = now_ms + path->probe_interval_ms;
  if (was_lost)
    return false;
  path->is_lost = true;
  path->lost_ms = now_ms;
  path->relay = EDGE_PATH_RELAY_UNKNOWN;
  path->relay_failures = 0;
  path->relay_probe_ms = now_ms;
  return true;
}

void
edge_path_suspect (struct edge_path *path, uint64_t now_ms)
{
  if (!path->is_lost && now_ms >= path->heard_ms + HEARD_MS)
    edge_path_check (path, now_ms);
}

void
edge_path_check (struct edge_path *path, uint64_t now_ms)
{
  if (path->is_lost || path->is_probing || path->probe_ms != 0)
    return;
  path->probe_ms = now_ms;
}

static void
remember_failure (struct edge_path *path, const char *peer, uint64_t now_ms)
{
  uint32_t place = path->next_failure;
  for (uint32_t i = 0; i < EDGE_PATH_FAILURES; i++)
    if (path->failures[i].peer == peer)
      place = i;
  path->failures[place]
      = (struct edge_path_failure){ peer, now_ms + FAILED_VIA_MS };
  if (place == path->next_failure)
    path->next_failure = (place + 1) % EDGE_PATH_FAILURES;
}

bool
edge_path_note_relayed (struct edge_path *path, const char *peer,
                        enum edge_path_result result, uint64_t now_ms)
{
  enum edge_path_relay former = path->relay;
  path->is_relay_probing = false;
  if (result == EDGE_PATH_REACHED)
    {
      path->relay = EDGE_PATH_RELAY_WORKS;
      path->relay_failures = 0;
      return former != path->relay;
    }
  if (result == EDGE_PATH_BUSY_PEER)
    {
      path->relay_probe_ms = now_ms + PROBE_MIN_MS;
      return false;
    }
  if (result != EDGE_PATH_NO_PEER)
    remember_failure (path, peer, now_ms);
  path->relay_failures++;
  path->relay_probe_ms = now_ms;
  /* A host that refuses shows that the process has ended. */
  if (result == EDGE_PATH_REFUSED || path->relay_failures >= RELAY_TRIES)
    {
      path->relay = EDGE_PATH_RELAY_FAILS;
      path->relay_probe_ms = now_ms + RELAY_INTERVAL_MS;
    }
  else if (former != EDGE_PATH_RELAY_WORKS)
    path->relay = EDGE_PATH_RELAY_UNKNOWN;
  return former != path->relay;
}

bool
edge_path_has_failed_via (const struct edge_path *path, const char *peer,
                          uint64_t now_ms)
{
  for (uint32_t i = 0; i < EDGE_PATH_FAILURES; i++)
    if (path->failures[i].peer == peer)
      return now_ms < path->failures[i].until_ms;
  return false;
}

bool
edge_path_needs_probe (const struct edge_path *path, uint64_t now_ms)
{
  return path->probe_ms != 0 && !path->is_probing && now_ms >= path->probe_ms;
}

void
edge_path_begin_probe (struct edge_path *path)
{
  path->is_probing = true;
}

bool
edge_path_needs_relay_probe (const struct edge_path *path, uint64_t now_ms)
{
  return path->is_lost && path->relay != EDGE_PATH_RELAY_WORKS
         && !path->is_relay_probing && now_ms >= path->relay_probe_ms;
}

void
edge_path_begin_relay_probe (struct edge_path *path, bool has_peer,
                             uint64_t now_ms)
{
  path->is_relay_probing = has_peer;
  if (has_peer)
    return;
  path->relay = EDGE_PATH_RELAY_FAILS;
  path->relay_probe_ms = now_ms + RELAY_INTERVAL_MS;
}

bool
edge_path_take_try (struct edge_path *path, uint64_t now_ms)
{
  if (now_ms < path->tried_ms + TRY_INTERVAL_MS)
    return false;
  path->tried_ms = now_ms;
  return true;
}
