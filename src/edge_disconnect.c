#include "edge_disconnect.h"

#include <inttypes.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include "base_event.h"
#include "edge_front.h"
#include "edge_request.h"
#include "edge_settle.h"

static const char *const queue_names[EDGE_DISCONNECT_QUEUES] = {
  "reading", "version", "lease", "permit", "room", "response", "stream"
};

void
edge_disconnect_metrics_create (struct edge_disconnect_metrics *result,
                                struct base_metrics *metrics)
{
  for (uint32_t i = 0; i < EDGE_DISCONNECT_QUEUES; i++)
    {
      char *label = g_strdup_printf ("queue=\"%s\"", queue_names[i]);
      result->unread_us[i] = base_metrics_histogram (
          metrics, "edge_caller_left_unread_us", label);
      result->told_us[i] = base_metrics_histogram (
          metrics, "edge_caller_left_told_us", label);
      g_free (label);
    }
}

static enum edge_disconnect_queue
find_queue (const struct edge_request *request)
{
  switch (request->step)
    {
    case EDGE_STEP_AWAITS_VERSION:
      return EDGE_DISCONNECT_VERSION;
    case EDGE_STEP_AWAITS_LEASE:
      return EDGE_DISCONNECT_LEASE;
    case EDGE_STEP_AWAITS_PERMIT:
      return EDGE_DISCONNECT_PERMIT;
    case EDGE_STEP_AWAITS_ROOM:
      return EDGE_DISCONNECT_ROOM;
    case EDGE_STEP_SENT:
      return request->is_started ? EDGE_DISCONNECT_STREAM
                                 : EDGE_DISCONNECT_RESPONSE;
    case EDGE_STEP_READING:
    case EDGE_STEP_DONE:
    default:
      return EDGE_DISCONNECT_READING;
    }
}

/* Returns the age of the last segment that the caller sent, which is the one
   that closed the connection, in milliseconds; -1 where the system doesn't
   tell. */
static int64_t
find_close_age_ms (int fd)
{
  struct tcp_info info = { 0 };
  socklen_t bytes = sizeof info;
  if (getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &bytes) != 0
      || bytes < offsetof (struct tcp_info, tcpi_last_ack_recv)
                     + sizeof info.tcpi_last_ack_recv)
    return -1;
  return info.tcpi_last_ack_recv;
}

bool
edge_disconnect_has_left (const struct edge_request *request)
{
  struct pollfd caller = { .fd = request->caller_fd, .events = POLLRDHUP };
  return request->has_left || poll (&caller, 1, 0) > 0;
}

/* Ends the request and closes the connection to its target.  Returns the time
   that this took, in microseconds. */
static uint64_t
end_request (struct edge_request *request)
{
  gint64 begin_us = g_get_monotonic_time ();
  if (request->is_started)
    edge_streams_flush (request->edge->streams);
  request->references++;
  if (request->step != EDGE_STEP_READING)
    edge_settle_request (request);
  router_stream_abort (&request->stream);
  edge_front_schedule (request->edge->front);
  edge_request_unref (request);
  return (uint64_t)(g_get_monotonic_time () - begin_us);
}

void
edge_disconnect_end (struct edge_request *request)
{
  struct edge *edge = request->edge;
  if (request->has_left || request->step == EDGE_STEP_DONE)
    return;
  request->has_left = true;
  struct edge_disconnect_metrics *metrics = &edge->disconnect_metrics;
  enum edge_disconnect_queue queue = find_queue (request);
  uint64_t now_ms = edge_now_ms ();
  int64_t close_age_ms = find_close_age_ms (request->caller_fd);
  uint64_t unread_max_ms = router_poll_unread_max_ms (edge->loop);
  base_counter_add (edge->counters.callers_left, 1);
  edge_count_outcome (request, EDGE_ACCOUNT_CALLER_LEFT);
  char *target
      = g_strdup (request->target ? request->target->record.name : "-");
  char *id = g_strdup (request->head.request_id);
  uint32_t events_sent = request->event_count;
  uint64_t age_ms = now_ms - request->arrived_ms;
  uint64_t told_us = end_request (request);
  base_histogram_record (
      metrics->unread_us[queue],
      1000 * (close_age_ms >= 0 ? (uint64_t)close_age_ms : unread_max_ms));
  base_histogram_record (metrics->told_us[queue], told_us);
  base_event ("caller-left id=%s target=%s queue=%s events=%" PRIu32
              " age_ms=%" PRIu64 " closed_ago_ms=%" PRId64
              " unread_max_ms=%" PRIu64 " told_us=%" PRIu64,
              id, target, queue_names[queue], events_sent, age_ms,
              close_age_ms, unread_max_ms, told_us);
  g_free (id);
  g_free (target);
}

void
edge_disconnect_handle (struct router_watch *watch, uint32_t events)
{
  (void)events;
  edge_disconnect_end (
      (struct edge_request *)((char *)watch
                              - offsetof (struct edge_request, watch)));
}
