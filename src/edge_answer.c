#include "edge_answer.h"

#include <inttypes.h>
#include <string.h>

#include "base_event.h"
#include "edge_front.h"
#include "edge_settle.h"

#define STATUS_UNAVAILABLE 503
#define STATUS_TOO_MANY 429

static void
add_header (struct MHD_Response *response, const char *line)
{
  const char *colon = strchr (line, ':');
  char *name = g_strndup (line, (gsize)(colon - line));
  MHD_add_response_header (response, name, colon + 2);
  g_free (name);
}

static void
add_target_headers (const struct edge_request *request,
                    struct MHD_Response *response)
{
  const GPtrArray *lines = edge_attempt_response (request->attempt)->lines;
  for (guint i = 0; i < lines->len; i++)
    add_header (response, lines->pdata[i]);
}

static void
add_connection_header (const struct edge_request *request,
                       struct MHD_Response *response)
{
  if (request->edge->stopping
      || !edge_pressure_is_open (request->edge->pressure))
    MHD_add_response_header (response, MHD_HTTP_HEADER_CONNECTION, "close");
}

/* Logs one line for each finished request. */
static void
log_request_end (const struct edge_request *request, uint32_t status,
                 const char *outcome, const char *reason)
{
  const struct edge_table *table = request->table;
  const struct edge_attempt *attempt = request->attempt;
  base_event ("request-over id=%s outcome=%s status=%" PRIu32
              " reason=\"%s\" route=%s account=%s target=%s sends=%" PRIu32
              " runs=%" PRIu32 " events=%" PRIu32 " age_ms=%" PRIu64
              " tokens=%" PRIu64 " reserved_tokens=%" PRIu64 " table=%" PRIu64
              " head=%d body_end=%s partial=%d caller_http=%s"
              " not_sent_again=%s",
              request->head.request_id, outcome, status, reason,
              request->route ? request->route->name : "-",
              request->account ? request->account->name : "-",
              request->target ? request->target->record.name : "-",
              request->attempts_sent, request->attempts_maybe_run,
              request->event_count, edge_now_ms () - request->arrived_ms,
              edge_settle_tokens (request), request->reserved_tokens,
              table ? edge_table_version (table) : 0,
              attempt && edge_attempt_has_head (attempt),
              attempt ? http_body_end_name (edge_attempt_body_end (attempt))
                      : "-",
              request->events && edge_events_has_partial (request->events),
              request->stream.ends_with_connection ? "1.0" : "1.1",
              request->obstacle ? request->obstacle : "-");
}

static enum edge_account_outcome
refusal_outcome (uint32_t status, bool has_not_run)
{
  if (status == MHD_HTTP_PAYMENT_REQUIRED)
    return EDGE_ACCOUNT_EXHAUSTED;
  return has_not_run ? EDGE_ACCOUNT_REFUSED : EDGE_ACCOUNT_FAILED;
}

/* Queues the response and has the server run in this loop iteration. */
static void
queue_response (struct edge_request *request, uint32_t status,
                struct MHD_Response *response)
{
  router_stream_set_response (&request->stream, status, response);
  edge_front_schedule (request->edge->front);
}

static void
count_served (const struct edge_request *request)
{
  const struct edge_counters *counters = &request->edge->counters;
  base_counter_add (counters->served, 1);
  base_histogram_record (counters->request_us[request->route->kind],
                         1000 * (edge_now_ms () - request->arrived_ms));
}

void
edge_answer_refuse (struct edge_request *request, uint32_t status,
                    uint32_t retry_after_ms, const char *reason)
{
  char text[256];
  char seconds[24];
  bool has_not_run = status == STATUS_UNAVAILABLE || status == STATUS_TOO_MANY;
  int length = g_snprintf (
      text, sizeof text, "{\"error\":{\"message\":\"%s\",\"run\":\"%s\"}}\n",
      reason,
      has_not_run || request->attempts_sent == 0 ? "not-run" : "unknown");
  struct MHD_Response *response = MHD_create_response_from_buffer (
      (size_t)length, text, MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE,
                           "application/json");
  if (retry_after_ms > 0)
    {
      g_snprintf (seconds, sizeof seconds, "%.3f",
                  (double)retry_after_ms / 1000.0);
      MHD_add_response_header (response, MHD_HTTP_HEADER_RETRY_AFTER, seconds);
    }
  add_connection_header (request, response);
  base_counter_add (has_not_run ? request->edge->counters.refused
                                : request->edge->counters.failed,
                    1);
  edge_count_outcome (request, refusal_outcome (status, has_not_run));
  log_request_end (request, status, has_not_run ? "refused" : "failed",
                   reason);
  queue_response (request, status, response);
  edge_settle_request (request);
}

/* Counts a response that came from the target and goes to the caller. */
static void
note_passed_on (const struct edge_request *request, uint64_t bytes)
{
  struct edge_pressure *pressure = request->edge->pressure;
  uint64_t now_ms = edge_now_ms ();
  bytes += EDGE_PRESSURE_HEAD_BYTES;
  edge_pressure_note (pressure, EDGE_PRESSURE_IN, bytes, now_ms);
  edge_pressure_note (pressure, EDGE_PRESSURE_OUT, bytes, now_ms);
}

void
edge_answer_complete (struct edge_request *request)
{
  const struct edge_target_response *target_response
      = edge_attempt_response (request->attempt);
  size_t bytes = 0;
  char *body = edge_attempt_take_body (request->attempt, &bytes);
  /* The library frees it with free, as g_free does. */
  struct MHD_Response *response
      = MHD_create_response_from_buffer (bytes, body, MHD_RESPMEM_MUST_FREE);
  add_target_headers (request, response);
  add_connection_header (request, response);
  note_passed_on (request, bytes);
  count_served (request);
  edge_count_outcome (request, EDGE_ACCOUNT_SERVED);
  log_request_end (request, target_response->status, "answered", "-");
  queue_response (request, target_response->status, response);
  edge_settle_request (request);
}

void
edge_answer_start_stream (struct edge_request *request)
{
  const struct edge_target_response *target_response
      = edge_attempt_response (request->attempt);
  struct MHD_Response *response
      = router_stream_create_response (&request->stream);
  add_target_headers (request, response);
  add_connection_header (request, response);
  request->is_started = true;
  base_histogram_record (
      request->edge->counters.first_event_us[request->route->kind],
      1000 * (edge_now_ms () - request->arrived_ms));
  queue_response (request, target_response->status, response);
}

void
edge_answer_end_stream (struct edge_request *request, bool cut,
                        const char *reason)
{
  if (cut)
    {
      base_counter_add (request->edge->counters.failed, 1);
      edge_streams_flush (request->edge->streams);
    }
  else
    count_served (request);
  edge_count_outcome (request,
                      cut ? EDGE_ACCOUNT_FAILED : EDGE_ACCOUNT_SERVED);
  log_request_end (request, MHD_HTTP_OK, cut ? "cut" : "streamed", reason);
  router_stream_end (&request->stream, cut);
  edge_front_schedule (request->edge->front);
  edge_settle_request (request);
}
