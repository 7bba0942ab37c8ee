#include "edge_version.h"

#include <inttypes.h>

#include "base_event.h"
#include "control_streams.h"
#include "edge_answer.h"
#include "edge_links.h"
#include "edge_streams.h"
#include "edge_version_view.h"

/* Value of Retry-After for a stream that can't be taken up here and now, in
   milliseconds: another router may be in touch, or know more. */
#define RETRY_AFTER_MS 200
/* Build of a stream whose target may have been replaced: it has no other
   target. */
#define UNCERTAIN_BUILD UINT64_MAX

static struct edge_version_view
make_view (const struct edge *edge)
{
  return (struct edge_version_view){
    .targets = edge->targets,
    .streams = edge->streams,
    .age_ms = edge_links_view_age_ms (edge->links),
    .now_ms = edge_now_ms (),
  };
}

static bool
is_certain (const struct edge *edge, const struct edge_target *target)
{
  const struct edge_version_view view = make_view (edge);
  return edge_version_view_is_certain (&view, target);
}

bool
edge_version_may_serve (const struct edge_request *request,
                        const struct edge_target *target)
{
  return request->build == 0
         || (request->build == target->build
             && is_certain (request->edge, target));
}

static uint64_t
make_key (const struct edge_request *request, const char *request_id)
{
  return control_streams_key (request->account ? request->account->name : "",
                              request_id);
}

static bool
takes_up (const struct edge_request *request)
{
  return request->head.last_event_id != EDGE_NO_EVENT;
}

/* Returns the key of the stream that the request begins or takes up. */
static uint64_t
stream_key (const struct edge_request *request)
{
  const struct edge_request_head *head = &request->head;
  return make_key (request,
                   takes_up (request) ? head->resumed_id : head->request_id);
}

static void
reject (struct edge_request *request, const char *reason)
{
  base_counter_add (request->edge->counters.streams_rejected, 1);
  edge_answer_refuse (request, MHD_HTTP_SERVICE_UNAVAILABLE, RETRY_AFTER_MS,
                      reason);
}

/* Finds the service of the route that has targets of the build.  Returns NULL
   when none has. */
static const struct edge_service *
find_service (const struct edge_request *request)
{
  const struct edge_route *route = request->route;
  for (uint32_t i = 0; i < route->share_count; i++)
    if (edge_targets_has_build (request->edge->targets,
                                route->shares[i].service->name,
                                request->build))
      return route->shares[i].service;
  return NULL;
}

bool
edge_version_find (struct edge_request *request)
{
  const struct edge_request_head *head = &request->head;
  if (request->route->kind != EDGE_ROUTE_STREAM
      || head->last_event_id == EDGE_NO_EVENT)
    return true;
  if (request->step == EDGE_STEP_READING)
    base_counter_add (request->edge->counters.streams_taken_up, 1);
  const struct edge_version_view view = make_view (request->edge);
  if (!edge_version_view_look_up (&view,
                                  *head->resumed_id ? stream_key (request) : 0,
                                  request->service->name, &request->build))
    {
      request->step = EDGE_STEP_AWAITS_VERSION;
      return false;
    }
  base_event ("stream-taken-up id=%s taken_up=%s after_event=%" PRId64
              " build=%" PRIx64 " waited_ms=%" PRIu64,
              head->request_id, *head->resumed_id ? head->resumed_id : "-",
              head->last_event_id, request->build,
              edge_now_ms () - request->arrived_ms);
  if (request->build == 0)
    {
      reject (request, "it is not known which software version began the "
                       "stream");
      return false;
    }
  request->service = find_service (request);
  if (!request->service)
    {
      reject (request, "no target of the software version that began the "
                       "stream is available");
      return false;
    }
  return true;
}

bool
edge_version_may_go_on (const struct edge_request *request)
{
  return request->build == 0 || request->event_count > request->events_before
         || edge_targets_is_current (request->edge->targets, request->target);
}

void
edge_version_bind (struct edge_request *request)
{
  struct edge *edge = request->edge;
  const struct edge_target *target = request->target;
  if (request->route->kind != EDGE_ROUTE_STREAM)
    return;
  if (request->build == 0)
    request->build
        = is_certain (edge, target) ? target->build : UNCERTAIN_BUILD;
  if (request->build == UNCERTAIN_BUILD || !request->route->is_resumable)
    return;
  base_counter_add (edge->counters.streams_noted, 1);
  if (!takes_up (request) || *request->head.resumed_id)
    edge_streams_begin (edge->streams, stream_key (request), request->build,
                        edge_now_ms ());
  /* A caller may also name the request that brought its last event. */
  if (takes_up (request))
    edge_streams_begin (edge->streams,
                        make_key (request, request->head.request_id),
                        request->build, edge_now_ms ());
}
