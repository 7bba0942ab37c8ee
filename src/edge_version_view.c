#include "edge_version_view.h"

/* Time since the last answered call to a control member was sent after which
   this router may have missed that a target was replaced under its id, in
   milliseconds: twice the time that members hold a call, and two round
   trips. */
#define IN_TOUCH_MS 1000
/* Time for which targets of a service must be known before they count as all:
   several heartbeats, in milliseconds. */
#define VIEW_MIN_MS 5000

static bool
is_in_touch (const struct edge_version_view *view)
{
  return view->age_ms <= IN_TOUCH_MS;
}

/* Returns the build of all targets of the service, or 0 when there are several
   or when this router may not know all targets: it has started or was out of
   touch, so targets of another build may have replaced those it knows. */
static uint64_t
find_view_build (const struct edge_version_view *view, const char *service)
{
  uint64_t since_ms = edge_targets_known_since_ms (view->targets, service);
  if (!is_in_touch (view) || since_ms == 0
      || view->now_ms < since_ms + VIEW_MIN_MS)
    return 0;
  return edge_targets_only_build (view->targets, service, view->now_ms);
}

bool
edge_version_view_is_certain (const struct edge_version_view *view,
                              const struct edge_target *target)
{
  if (!edge_targets_is_current (view->targets, target))
    return false;
  /* A replacement has the same build if all targets have. */
  if (find_view_build (view, target->record.service) != 0)
    return true;
  return is_in_touch (view) && !edge_target_is_silent (target, view->now_ms)
         && view->now_ms >= target->doubted_until_ms;
}

/* Returns the build that must have begun a stream of which nothing is known,
   because all targets of the service have it, or 0. */
static uint64_t
find_only_build (const struct edge_version_view *view, const char *service)
{
  return edge_streams_has_majority (view->streams)
             ? find_view_build (view, service)
             : 0;
}

bool
edge_version_view_look_up (const struct edge_version_view *view,
                           uint64_t stream, const char *service,
                           uint64_t *build)
{
  *build = 0;
  if (stream != 0
      && edge_streams_find (view->streams, stream, view->now_ms, build)
             == EDGE_STREAMS_ASKED)
    return false;
  if (*build == 0)
    *build = find_only_build (view, service);
  return true;
}
