#include "router_request.h"

#include <stddef.h>
#include <stdlib.h>

#include "base_clock.h"
#include "router.h"
#include "router_worker.h"

static struct router_request *
request_of_stream (struct router_stream *stream)
{
  return (struct router_request *)((char *)stream
                                   - offsetof (struct router_request, stream));
}

static void
post_writable (struct router_stream *stream)
{
  router_request_post (request_of_stream (stream), ROUTER_EVENT_WRITABLE);
}

struct router_request *
router_request_create (struct router *router,
                       struct MHD_Connection *connection,
                       const char *http_version)
{
  struct router_request *request = g_new0 (struct router_request, 1);
  request->router = router;
  request->worker = router_choose_worker (router);
  request->references = 1;
  request->head.body = g_string_new (NULL);
  request->head.arrived_us = base_clock_now_us (base_clock_system ());
  request->relay.held = g_string_new (NULL);
  request->link.data = request;
  request->reserve.request = request;
  request->extend.request = request;
  request->settle.request = request;
  router_stream_init (&request->stream, connection, http_version,
                      post_writable);
  router_count_opened (router);
  return request;
}

struct router_request *
router_request_ref (struct router_request *request)
{
  atomic_fetch_add (&request->references, 1);
  return request;
}

static void
clear_head (struct router_head *head)
{
  g_free (head->method);
  g_free (head->uri);
  g_free (head->path);
  g_free (head->content_type);
  g_free (head->bearer);
  g_free (head->key);
  g_free (head->budget);
  g_free (head->class_name);
  g_string_free (head->body, TRUE);
}

void
router_request_unref (struct router_request *request)
{
  struct router *router = request->router;
  if (atomic_fetch_sub (&request->references, 1) > 1)
    return;
  clear_head (&request->head);
  router_stream_clear (&request->stream);
  router_body_clear (&request->body);
  free (request->target_body);
  g_string_free (request->relay.held, TRUE);
  if (request->claim.response)
    g_string_free (request->claim.response, TRUE);
  if (request->refusal)
    MHD_destroy_response (request->refusal);
  if (request->bundle)
    bundle_unref (request->bundle);
  g_free (request);
  router_count_closed (router);
}

void
router_request_post (struct router_request *request, enum router_event event)
{
  if (atomic_fetch_or (&request->events, (uint32_t)event) != 0)
    return;
  router_worker_post (request->worker, router_request_ref (request));
}

uint64_t
router_request_age_us (const struct router_request *request)
{
  return base_clock_now_us (base_clock_system ()) - request->head.arrived_us;
}
