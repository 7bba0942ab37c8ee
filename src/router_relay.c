#include "pick.h"
#include "router_relay.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base_json.h"
#include "router.h"
#include "router_finish.h"
#include "router_ledger.h"

/* Number of tokens by which the watermark is raised at a time, and distance to
   the watermark, in tokens, at which the next step is requested. */
#define WATERMARK_STEP_TOKENS 256
#define WATERMARK_LEAD_TOKENS 128
#define DONE_TEXT "[DONE]"

static uint64_t
needed_tokens (const struct router_request *request)
{
  return request->body.prompt_bound_tokens + request->relay.delivered_tokens
         + request->relay.held_tokens;
}

/* Requests the next step of the watermark, unless a request is in progress or
   the requested watermark is sufficient. */
static void
request_ahead (struct router_request *request)
{
  struct router_relay *relay = &request->relay;
  uint64_t before = request->rerun_billed_tokens;
  uint64_t need = needed_tokens (request);
  if (request->extend.open
      || relay->requested_tokens >= request->reserved_tokens
      || need + WATERMARK_LEAD_TOKENS <= relay->requested_tokens)
    return;
  relay->requested_tokens
      = MIN (request->reserved_tokens, need + WATERMARK_STEP_TOKENS);
  if (relay->requested_tokens <= before)
    relay->granted_tokens = relay->requested_tokens;
  else
    router_ledger_extend (request, relay->requested_tokens - before);
}

void
router_relay_prepare (struct router_request *request)
{
  if (request->relay.requested_tokens == 0)
    request_ahead (request);
}

void
router_relay_discard (struct router_request *request)
{
  struct router_relay *relay = &request->relay;
  g_string_truncate (relay->held, 0);
  relay->held_tokens = 0;
  relay->usage_tokens = 0;
  relay->finished = false;
}

/* Sends the head of the response, before the first event. */
static void
start_response (struct router_request *request)
{
  struct MHD_Response *response
      = router_stream_create_response (&request->stream);
  request->relay.started = true;
  if (request->choice.load)
    pick_note_success (request->choice.load);
  router_finish_add_headers (request, response);
  MHD_add_response_header (response, "Content-Type", "text/event-stream");
  MHD_add_response_header (response, "Cache-Control", "no-cache");
  router_stream_set_response (&request->stream, MHD_HTTP_OK, response);
  base_histogram_record (request->class_series->first_token_us,
                         router_request_age_us (request));
}

static void
update_pause (struct router_request *request)
{
  if (request->attempt)
    router_attempt_pause (request->attempt,
                          request->relay.buffer_full
                              || request->relay.held->len > 0);
}

/* Settles a complete stream, and appends the bill as a comment. */
static void
finish_stream (struct router_request *request)
{
  char line[64];
  struct router_relay *relay = &request->relay;
  uint64_t used
      = relay->usage_tokens ? relay->usage_tokens : relay->delivered_tokens;
  router_ledger_settle (request, used);
  g_snprintf (line, sizeof line, ": cactus-billed-tokens %" PRIu64 "\n\n",
              request->billed_tokens);
  router_stream_write (&request->stream, line, strlen (line));
  router_stream_end (&request->stream, false);
  router_finish_record_metrics (request);
  router_finish_close (request);
}

void
router_relay_flush (struct router_request *request)
{
  struct router_relay *relay = &request->relay;
  if (relay->held->len > 0 && needed_tokens (request) <= relay->granted_tokens)
    {
      if (!relay->started)
        start_response (request);
      relay->buffer_full = !router_stream_write (
          &request->stream, relay->held->str, relay->held->len);
      relay->delivered_tokens += relay->held_tokens;
      relay->held_tokens = 0;
      g_string_truncate (relay->held, 0);
    }
  request_ahead (request);
  if (relay->finished && relay->held->len == 0 && request->attempt)
    finish_stream (request);
  else
    update_pause (request);
}

/* Returns the total tokens in a usage object, or 0 when there is none. */
static uint64_t
read_usage (const json_t *document)
{
  const json_t *usage = json_object_get (document, "usage");
  json_int_t total
      = json_integer_value (json_object_get (usage, "total_tokens"));
  return total > 0 ? (uint64_t)total : 0;
}

bool
router_relay_read_usage (const char *body, size_t bytes, uint64_t *tokens)
{
  json_t *document = base_json_load (body, bytes, 0, NULL);
  *tokens = read_usage (document);
  bool whole
      = json_is_array (json_object_get (document, "choices")) && *tokens > 0;
  json_decref (document);
  return whole;
}

static bool
has_text (const json_t *choice)
{
  const json_t *delta = json_object_get (choice, "delta");
  const char *content = json_string_value (json_object_get (delta, "content"));
  const char *text = json_string_value (json_object_get (choice, "text"));
  return (content && *content) || (text && *text)
         || json_object_get (delta, "tool_calls")
         || json_object_get (delta, "reasoning_content");
}

static void
hold_event (struct router_request *request, const char *data, size_t bytes,
            uint64_t tokens)
{
  struct router_relay *relay = &request->relay;
  g_string_append (relay->held, "data: ");
  g_string_append_len (relay->held, data, (gssize)bytes);
  g_string_append (relay->held, "\n\n");
  relay->held_tokens += tokens;
}

/* Handles one chunk of the response.  Returns false when it is invalid or
   exceeds the reservation. */
static bool
handle_chunk (struct router_request *request, const char *data, size_t bytes)
{
  json_t *chunk = base_json_load (data, bytes, 0, NULL);
  const json_t *choices = json_object_get (chunk, "choices");
  bool valid = json_is_array (choices);
  uint64_t usage = read_usage (chunk);
  bool empty = json_array_size (choices) == 0;
  if (usage > 0)
    request->relay.usage_tokens = usage;
  if (valid && (!empty || request->body.include_usage))
    hold_event (request, data, bytes,
                has_text (json_array_get (choices, 0)) ? 1 : 0);
  json_decref (chunk);
  return valid && needed_tokens (request) <= request->reserved_tokens;
}

bool
router_relay_handle_event (struct router_request *request, const char *data,
                           size_t bytes)
{
  bool done
      = bytes == strlen (DONE_TEXT) && memcmp (data, DONE_TEXT, bytes) == 0;
  if (!request->body.stream || request->relay.finished)
    return false;
  if (done)
    {
      hold_event (request, data, bytes, 0);
      request->relay.finished = true;
      return true;
    }
  if (!handle_chunk (request, data, bytes))
    return false;
  router_relay_flush (request);
  return true;
}

void
router_relay_handle_authorisation (struct router_request *request)
{
  struct router_relay *relay = &request->relay;
  enum ledger_status status = request->extend.ledger.result.status;
  if (status != LEDGER_OK)
    {
      router_relay_cut (request, ROUTER_REFUSAL_LEDGER_UNAVAILABLE,
                        "the ledger no longer holds the reservation");
      return;
    }
  relay->granted_tokens = relay->requested_tokens;
  if (request->step == ROUTER_STEP_SENDING)
    router_relay_flush (request);
}

void
router_relay_resume (struct router_request *request)
{
  request->relay.buffer_full = false;
  router_relay_flush (request);
}

void
router_relay_cut (struct router_request *request, enum router_refusal refusal,
                  const char *reason)
{
  if (!request->relay.started)
    {
      router_finish_refuse (request, refusal, 0, "%s", reason);
      return;
    }
  char *error = router_refusal_print (refusal, reason);
  router_ledger_settle (request, request->relay.delivered_tokens);
  char *tail
      = g_strdup_printf ("data: %s\n\n: cactus-billed-tokens %" PRIu64 "\n\n",
                         error, request->billed_tokens);
  router_stream_write (&request->stream, tail, strlen (tail));
  router_stream_end (&request->stream, true);
  router_metrics_count_cut_stream (request->router->metrics,
                                   router_refusal_code (refusal));
  g_free (tail);
  free (error);
  router_finish_close (request);
}
