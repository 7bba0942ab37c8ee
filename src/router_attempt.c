#include "router_attempt.h"

#include <string.h>

#include "base_address_map.h"
#include "base_clock.h"
#include "http_ending.h"
#include "http_sse.h"
#include "http_status_line.h"
#include "http_transfer.h"

#define CONNECT_TIMEOUT_MS 1000
#define READ_BUFFER_BYTES 8192L
#define UPLOAD_BUFFER_BYTES 16384L
#define EVENT_MAX_BYTES (1024u * 1024)
#define BODY_MAX_BYTES (16u * 1024 * 1024)
#define STATUS_OK 200
#define STATUS_UNAVAILABLE 503

struct router_attempt
{
  struct router_poll *loop;
  struct router_attempt_callbacks *callbacks;
  CURL *easy;
  struct curl_slist *headers;
  struct http_sse *sse;
  GString *body;
  size_t request_bytes;
  char *content_type;
  uint64_t last_byte_ms;
  bool refused;
  /* The head of the final response is complete. */
  bool has_head;
  enum http_body_end body_end;
  uint32_t trailer_bytes;
  uint64_t events;
  bool is_stream;
  bool active;
  bool paused;
  bool invalid;
};

static void
pass_event (void *context, const char *data, size_t bytes)
{
  struct router_attempt *attempt = context;
  attempt->events++;
  if (!attempt->invalid)
    attempt->invalid
        = !attempt->callbacks->event (attempt->callbacks, data, bytes);
}

static bool
header_value (const char *line, size_t bytes, const char *name, GString *value)
{
  size_t name_bytes = strlen (name);
  if (bytes <= name_bytes || line[name_bytes] != ':'
      || g_ascii_strncasecmp (line, name, name_bytes) != 0)
    return false;
  g_string_assign (value, "");
  g_string_append_len (value, line + name_bytes + 1,
                       (gssize)(bytes - name_bytes - 1));
  g_strstrip (value->str);
  return true;
}

/* Handles the empty line that ends a head. */
static void
end_head (struct router_attempt *attempt)
{
  uint32_t status = router_attempt_status (attempt);
  attempt->has_head = status >= STATUS_OK;
  http_body_end_read_status (&attempt->body_end, status);
  if (attempt->has_head && attempt->body_end == HTTP_BODY_END_CONNECTION
      && attempt->request_bytes > 0)
    router_poll_note_end (attempt->loop, attempt->easy);
}

static size_t
receive_header (char *line, size_t size, size_t count, void *context)
{
  struct router_attempt *attempt = context;
  size_t bytes = size * count;
  /* libcurl reports trailer fields too. */
  if (attempt->has_head)
    {
      bool fits = http_trailer_add (&attempt->trailer_bytes, bytes);
      attempt->invalid |= !fits;
      return fits ? bytes : 0;
    }
  GString *value = g_string_new_len (line, (gssize)bytes);
  const char *colon = memchr (line, ':', bytes);
  if (http_status_line_begins (value->str))
    {
      attempt->body_end = HTTP_BODY_END_CONNECTION;
      attempt->invalid |= http_status_line_read (value->str) == 0;
    }
  else if (colon)
    http_body_end_read (&attempt->body_end, line, (size_t)(colon - line));
  else if (*line == '\r' || *line == '\n')
    end_head (attempt);
  if (header_value (line, bytes, "Content-Type", value))
    {
      g_free (attempt->content_type);
      attempt->content_type = g_strdup (value->str);
      attempt->is_stream = g_str_has_prefix (value->str, "text/event-stream");
    }
  else if (header_value (line, bytes, "Cactus-Run", value))
    attempt->refused = strcmp (value->str, "not-run") == 0;
  g_string_free (value, TRUE);
  return attempt->invalid ? 0 : bytes;
}

static size_t
receive_body (char *data, size_t size, size_t count, void *context)
{
  struct router_attempt *attempt = context;
  size_t bytes = size * count;
  attempt->last_byte_ms = base_clock_now_ms (base_clock_system ());
  if (attempt->is_stream && router_attempt_status (attempt) == STATUS_OK)
    attempt->invalid |= http_sse_feed (attempt->sse, data, bytes) != 0;
  else if (attempt->body->len + bytes > BODY_MAX_BYTES)
    attempt->invalid = true;
  else
    g_string_append_len (attempt->body, data, (gssize)bytes);
  return attempt->invalid ? 0 : bytes;
}

static void
add_header (struct router_attempt *attempt, const char *name,
            const char *value)
{
  char *line = g_strdup_printf ("%s: %s", name, value);
  attempt->headers = curl_slist_append (attempt->headers, line);
  g_free (line);
}

static void
set_headers (struct router_attempt *attempt,
             const struct router_attempt_call *call)
{
  add_header (attempt, "Cactus-Request-Id", call->request_id);
  add_header (attempt, "Idempotency-Key", call->key);
  add_header (attempt, "Cactus-Account", call->account);
  add_header (attempt, "Cactus-Budget", call->budget);
  if (call->content_type)
    add_header (attempt, "Content-Type", call->content_type);
  attempt->headers = curl_slist_append (attempt->headers, "Expect:");
  curl_easy_setopt (attempt->easy, CURLOPT_HTTPHEADER, attempt->headers);
}

static void
set_request (struct router_attempt *attempt,
             const struct router_attempt_call *call)
{
  char address[16];
  CURL *easy = attempt->easy;
  base_address_map_apply (call->address, address);
  char *url = g_strdup_printf ("http://%s:%u%s", address, (unsigned)call->port,
                               call->path);
  struct http_transfer_limits limits
      = { CONNECT_TIMEOUT_MS, call->timeout_ms };
  http_transfer_configure (easy, url, &limits, call->reuse);
  g_free (url);
  attempt->request_bytes = call->body_bytes;
  if (call->body_bytes > 0 || strcmp (call->method, "POST") == 0)
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)call->body_bytes);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS,
                        call->body ? call->body : "");
    }
  if (strcmp (call->method, "HEAD") == 0)
    curl_easy_setopt (easy, CURLOPT_NOBODY, 1L);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, call->method);
}

struct router_attempt *
router_attempt_create (struct router_poll *loop,
                       const struct router_attempt_call *call,
                       struct router_attempt_callbacks *callbacks)
{
  struct router_attempt *attempt = g_new0 (struct router_attempt, 1);
  attempt->loop = loop;
  attempt->callbacks = callbacks;
  attempt->sse = http_sse_create (EVENT_MAX_BYTES, pass_event, attempt);
  attempt->body = g_string_new (NULL);
  attempt->easy = curl_easy_init ();
  if (!attempt->easy)
    goto failed;
  set_request (attempt, call);
  set_headers (attempt, call);
  http_transfer_set_callbacks (attempt->easy, attempt, receive_header,
                               receive_body, READ_BUFFER_BYTES);
  curl_easy_setopt (attempt->easy, CURLOPT_UPLOAD_BUFFERSIZE,
                    UPLOAD_BUFFER_BYTES);
  if (router_poll_add (loop, attempt->easy) != 0)
    goto failed;
  attempt->active = true;
  return attempt;
failed:
  router_attempt_destroy (attempt);
  return NULL;
}

void
router_attempt_destroy (struct router_attempt *attempt)
{
  if (!attempt)
    return;
  if (attempt->active)
    router_poll_remove (attempt->loop, attempt->easy);
  curl_easy_cleanup (attempt->easy);
  curl_slist_free_all (attempt->headers);
  http_sse_destroy (attempt->sse);
  g_string_free (attempt->body, TRUE);
  g_free (attempt->content_type);
  g_free (attempt);
}

static enum router_attempt_outcome
classify_outcome (struct router_attempt *attempt, CURLcode code)
{
  long sent_bytes = 0;
  const struct http_ending ending = {
    .has_head = attempt->has_head,
    .is_framed = code == CURLE_OK && !attempt->invalid,
    .body_end = attempt->body_end,
    .is_request_unsent
    = http_transfer_is_body_unsent (attempt->easy, attempt->request_bytes)
      || router_poll_ended_early (attempt->loop, attempt->easy),
    .is_stream
    = attempt->is_stream && router_attempt_status (attempt) == STATUS_OK,
    .events = attempt->events,
    .has_partial_event = http_sse_is_partial (attempt->sse),
    .has_last_event = attempt->callbacks->has_last_event (attempt->callbacks)
  };
  const char *fault = http_ending_fault (&ending);
  curl_easy_getinfo (attempt->easy, CURLINFO_REQUEST_SIZE, &sent_bytes);
  if (!fault && attempt->refused
      && router_attempt_status (attempt) == STATUS_UNAVAILABLE)
    return ROUTER_ATTEMPT_REFUSED;
  if (!fault)
    return ROUTER_ATTEMPT_COMPLETE;
  return code != CURLE_OK && sent_bytes == 0 ? ROUTER_ATTEMPT_UNSENT
                                             : ROUTER_ATTEMPT_LOST;
}

void
router_attempt_handle_done (CURL *easy, CURLcode code)
{
  struct router_attempt *attempt = NULL;
  curl_easy_getinfo (easy, CURLINFO_PRIVATE, &attempt);
  attempt->active = false;
  attempt->callbacks->done (attempt->callbacks,
                            classify_outcome (attempt, code));
}

void
router_attempt_pause (struct router_attempt *attempt, bool pause)
{
  if (attempt->paused == pause || !attempt->active)
    return;
  attempt->paused = pause;
  router_poll_pause (attempt->loop, attempt->easy, pause);
}

uint32_t
router_attempt_status (const struct router_attempt *attempt)
{
  long status = 0;
  curl_easy_getinfo (attempt->easy, CURLINFO_RESPONSE_CODE, &status);
  return (uint32_t)status;
}

const char *
router_attempt_content_type (const struct router_attempt *attempt)
{
  return attempt->content_type;
}

const GString *
router_attempt_body (const struct router_attempt *attempt)
{
  return attempt->body;
}

uint64_t
router_attempt_last_byte_ms (const struct router_attempt *attempt)
{
  return attempt->last_byte_ms;
}
