#include "edge_attempt.h"
#include "base_clock.h"
#include "edge_tunnel.h"
#include "http_overhead.h"
#include "http_status_line.h"
#include "http_transfer.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#define READ_BUFFER_BYTES 16384L
#define BODY_MAX_BYTES (8u * 1024 * 1024)
/* Step by which a larger body grows. */
#define BODY_STEP_BYTES (64u * 1024)
#define STATUS_OK 200
#define STATUS_SUCCESS_MAX 299
#define STATUS_ERROR 400
/* Maximum time that sent data or a keep-alive probe may stay unacknowledged
   before TCP drops the connection; long enough for the retransmissions of a
   lost packet on the slowest link.  TCP_USER_TIMEOUT applies to both, whatever
   the number of probes. */
#define UNACKED_TIMEOUT_MS 2000
/* Idle time before the first keep-alive probe and interval between probes, in
   seconds. */
#define KEEPALIVE_S 1
/* Idle time after which a kept-alive connection is not reused, in seconds;
   must be below the shortest keep-alive timeout that targets announce. */
#define IDLE_MAX_S 3L

/* An attempt in progress.  The headers are those of the request; response and
   body hold what was received. */
struct edge_attempt
{
  struct router_poll *loop;
  struct edge_attempt_callbacks *callbacks;
  const struct edge_dialect *dialect;
  const char *request_id;
  const GString *request_body;
  size_t body_sent;
  uint32_t pool;
  CURL *easy;
  CURLcode code;
  struct curl_slist *headers;
  struct curl_slist *tunnel_headers;
  /* Where to connect, when the URL names a pool. */
  struct curl_slist *connect_to;
  /* Another router passes the connection on. */
  bool is_tunnelled;
  struct edge_target_response response;
  GString *body;
  /* The transfer is registered with the loop. */
  bool active;
  bool paused;
  /* libcurl holds data that came while the attempt was paused. */
  bool is_library_paused;
  /* Time at which the present head began to arrive. */
  uint64_t head_ms;
  /* The head of the final response is complete. */
  bool has_head;
  enum http_body_end body_end;
  /* Bytes of the body, and of the trailer fields that followed it. */
  uint64_t content_bytes;
  uint32_t trailer_bytes;
  struct http_overhead overhead;
  /* The status line isn't one of HTTP. */
  bool is_status_invalid;
  /* The response was rejected: too large, or without this request's id. */
  bool is_invalid;
  /* The connection is ready; the time within which it must be, and the end of
     that, or 0 before the connection begins. */
  bool is_connected;
  uint32_t connect_timeout_ms;
  uint64_t connect_due_ms;
  /* The request was not sent, since its caller has left. */
  bool is_unwanted;
  /* What is wrong with the response, or NULL. */
  const char *fault;
};

static void
clear_response (struct edge_target_response *response)
{
  GPtrArray *lines = response->lines;
  g_ptr_array_set_size (lines, 0);
  memset (response, 0, sizeof *response);
  response->lines = lines;
}

static bool
is_success (const struct edge_attempt *attempt)
{
  return attempt->response.status >= STATUS_OK
         && attempt->response.status <= STATUS_SUCCESS_MAX;
}

/* Handles the empty line that ends a head. */
static void
end_head (struct edge_attempt *attempt)
{
  if (attempt->response.status < STATUS_OK)
    return;
  attempt->has_head = true;
  http_body_end_read_status (&attempt->body_end, attempt->response.status);
  if (attempt->body_end == HTTP_BODY_END_CONNECTION
      && attempt->request_body->len > 0)
    router_poll_note_end (attempt->loop, attempt->easy);
  http_overhead_begin (&attempt->overhead,
                       router_poll_socket (attempt->loop, attempt->easy),
                       base_clock_now_ms (base_clock_system ()));
  /* A faulty target may write a refusal once more, where the response to the
     next request on the connection is due. */
  if (attempt->response.status >= STATUS_ERROR)
    curl_easy_setopt (attempt->easy, CURLOPT_FORBID_REUSE, 1L);
  attempt->callbacks->head (attempt->callbacks);
}

/* Header callback.  A status line starts a new response, since libcurl also
   reports the headers of interim (1xx) responses.  It reports trailer fields
   too, which change nothing about the response; libcurl keeps them. */
static size_t
receive_header (char *data, size_t size, size_t count, void *context)
{
  struct edge_attempt *attempt = context;
  size_t bytes = size * count;
  if (attempt->has_head)
    {
      bool fits = http_trailer_add (&attempt->trailer_bytes, bytes);
      attempt->is_invalid |= !fits;
      return fits ? bytes : 0;
    }
  char *line = g_strndup (data, bytes);
  g_strchomp (line);
  char *colon = strchr (line, ':');
  if (http_status_line_begins (line))
    {
      clear_response (&attempt->response);
      attempt->body_end = HTTP_BODY_END_CONNECTION;
      attempt->head_ms = base_clock_now_ms (base_clock_system ());
      attempt->response.status = http_status_line_read (line);
      attempt->is_status_invalid = attempt->response.status == 0;
    }
  else if (colon)
    {
      *colon = '\0';
      http_body_end_read (&attempt->body_end, line, strlen (line));
      attempt->dialect->read_response_header (
          attempt->dialect, &attempt->response, attempt->request_id, line,
          g_strchug (colon + 1));
    }
  else if (*line == '\0')
    end_head (attempt);
  g_free (line);
  return attempt->is_status_invalid ? 0 : bytes;
}

/* Appends to the body without memory in advance for more. */
static void
append_body (struct edge_attempt *attempt, const char *data, size_t bytes)
{
  GString *body = attempt->body;
  size_t needed = body->len + bytes + 1;
  if (needed > body->allocated_len && needed > BODY_STEP_BYTES)
    {
      body->allocated_len
          = (needed + BODY_STEP_BYTES - 1) / BODY_STEP_BYTES * BODY_STEP_BYTES;
      body->str = g_realloc (body->str, body->allocated_len);
    }
  g_string_append_len (body, data, (gssize)bytes);
  if (!attempt->callbacks->hold (attempt->callbacks, body->allocated_len))
    edge_attempt_pause (attempt, true);
}

/* Write callback; returning 0 makes libcurl abort the transfer.  libcurl goes
   on reading a fast response regardless of the loop, so what comes while the
   attempt is paused is left with it. */
static size_t
receive_body (char *data, size_t size, size_t count, void *context)
{
  struct edge_attempt *attempt = context;
  size_t bytes = size * count;
  if (attempt->is_invalid)
    return 0;
  if (attempt->paused)
    {
      attempt->is_library_paused = true;
      return CURL_WRITEFUNC_PAUSE;
    }
  attempt->content_bytes += bytes;
  bool is_expected = attempt->response.request_id_matches
                     && !attempt->response.request_id_differs;
  if (is_expected && attempt->response.is_stream && is_success (attempt))
    attempt->is_invalid
        = !attempt->callbacks->data (attempt->callbacks, data, bytes);
  else if (is_expected && attempt->body->len + bytes <= BODY_MAX_BYTES)
    append_body (attempt, data, bytes);
  else
    attempt->is_invalid = true;
  return attempt->is_invalid ? 0 : bytes;
}

/* Read callback for the request body.  There is deliberately no seek callback:
   without one libcurl can't rewind the body and resend a request by itself, so
   a request with a body is sent at most once. */
static size_t
send_body (char *buffer, size_t size, size_t count, void *context)
{
  struct edge_attempt *attempt = context;
  size_t left = attempt->request_body->len - attempt->body_sent;
  size_t bytes = MIN (left, size * count);
  memcpy (buffer, attempt->request_body->str + attempt->body_sent, bytes);
  attempt->body_sent += bytes;
  return bytes;
}

void
edge_attempt_set_timeouts (int fd)
{
  unsigned int unacked_ms = UNACKED_TIMEOUT_MS;
  int enable = 1;
  int seconds = KEEPALIVE_S;
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_ms,
              sizeof unacked_ms);
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &enable, sizeof enable);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof seconds);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof seconds);
}

/* Called when the connection is ready, before the first byte is sent. */
static int
check_before_send (void *context, char *target_address, char *own_address,
                   int target_port, int own_port)
{
  struct edge_attempt *attempt = context;
  (void)target_address;
  (void)own_address;
  (void)target_port;
  (void)own_port;
  attempt->is_connected = true;
  attempt->is_unwanted = !attempt->callbacks->may_send (attempt->callbacks);
  return attempt->is_unwanted ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

static int
begin_connect (void *context, curl_socket_t socket, curlsocktype purpose)
{
  struct edge_attempt *attempt = context;
  (void)purpose;
  attempt->connect_due_ms
      = base_clock_now_ms (base_clock_system ()) + attempt->connect_timeout_ms;
  edge_attempt_set_timeouts (socket);
  return CURL_SOCKOPT_OK;
}

/* Has another router pass the connection on; it carries one request. */
static void
set_tunnel (struct edge_attempt *attempt,
            const struct edge_attempt_options *options)
{
  CURL *easy = attempt->easy;
  char *via = g_strdup_printf ("http://%s:%u", options->via_address,
                               (unsigned)options->via_port);
  attempt->is_tunnelled = true;
  attempt->tunnel_headers = curl_slist_append (NULL, options->via_header);
  attempt->tunnel_headers = curl_slist_append (attempt->tunnel_headers,
                                               options->via_deadline_header);
  curl_easy_setopt (easy, CURLOPT_PROXY, via);
  curl_easy_setopt (easy, CURLOPT_HTTPPROXYTUNNEL, 1L);
  curl_easy_setopt (easy, CURLOPT_SUPPRESS_CONNECT_HEADERS, 1L);
  curl_easy_setopt (easy, CURLOPT_HEADEROPT, (long)CURLHEADER_SEPARATE);
  curl_easy_setopt (easy, CURLOPT_PROXYHEADER, attempt->tunnel_headers);
  /* The other router knows this one by its address. */
  char *own = g_strdup_printf ("host!%s", options->own_address);
  curl_easy_setopt (easy, CURLOPT_INTERFACE, own);
  g_free (own);
  g_free (via);
}

static void
set_body (struct edge_attempt *attempt,
          const struct edge_attempt_options *options)
{
  CURL *easy = attempt->easy;
  if (options->body->len > 0 || strcmp (options->head->method, "POST") == 0)
    {
      curl_easy_setopt (easy, CURLOPT_POST, 1L);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)options->body->len);
      curl_easy_setopt (easy, CURLOPT_READFUNCTION, send_body);
      curl_easy_setopt (easy, CURLOPT_READDATA, attempt);
    }
  if (strcmp (options->head->method, "HEAD") == 0)
    curl_easy_setopt (easy, CURLOPT_NOBODY, 1L);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, options->head->method);
}

static void
set_headers (struct edge_attempt *attempt,
             const struct edge_attempt_options *options)
{
  struct curl_slist *lines = NULL;
  for (guint i = 0; i < options->head->lines->len; i++)
    lines = curl_slist_append (lines, options->head->lines->pdata[i]);
  lines = options->dialect->add_send_headers (options->dialect, options->send,
                                              lines);
  lines = curl_slist_append (lines, "Expect:");
  if (options->body->len == 0)
    lines = curl_slist_append (lines, "Content-Type:");
  attempt->headers = lines;
  curl_easy_setopt (attempt->easy, CURLOPT_HTTPHEADER, lines);
}

/* Returns the URL.  libcurl keeps connections by the host that it names, so
   that of a pool gets a name of its own. */
static char *
format_url (struct edge_attempt *attempt,
            const struct edge_attempt_options *options)
{
  unsigned port = options->port;
  if (options->pool == 0 || options->via_address)
    return g_strdup_printf ("http://%s:%u%s", options->address, port,
                            options->head->uri);
  char *to = g_strdup_printf ("::%s:%u", options->address, port);
  attempt->connect_to = curl_slist_append (NULL, to);
  g_free (to);
  curl_easy_setopt (attempt->easy, CURLOPT_CONNECT_TO, attempt->connect_to);
  return g_strdup_printf ("http://pool%u.%s:%u%s", (unsigned)options->pool,
                          options->address, port, options->head->uri);
}

static void
set_transfer (struct edge_attempt *attempt,
              const struct edge_attempt_options *options)
{
  CURL *easy = attempt->easy;
  char *url = format_url (attempt, options);
  /* The library would take this process's own delay for that of the target, so
     the timeout of the connection is kept here. */
  struct http_transfer_limits limits
      = { options->timeout_ms, options->timeout_ms };
  http_transfer_configure (easy, url, &limits,
                           options->reuse && !options->connects);
  g_free (url);
  http_transfer_set_callbacks (easy, attempt, receive_header, receive_body,
                               READ_BUFFER_BYTES);
  curl_easy_setopt (easy, CURLOPT_SOCKOPTFUNCTION, begin_connect);
  curl_easy_setopt (easy, CURLOPT_SOCKOPTDATA, attempt);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, check_before_send);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, attempt);
  curl_easy_setopt (easy, CURLOPT_MAXAGE_CONN, IDLE_MAX_S);
  curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, options->reuse ? 0L : 1L);
  if (options->via_address)
    set_tunnel (attempt, options);
}

struct edge_attempt *
edge_attempt_create (struct router_poll *loop,
                     const struct edge_attempt_options *options,
                     struct edge_attempt_callbacks *callbacks)
{
  struct edge_attempt *attempt = g_new0 (struct edge_attempt, 1);
  attempt->loop = loop;
  attempt->callbacks = callbacks;
  attempt->dialect = options->dialect;
  attempt->request_id = options->send->request_id;
  attempt->request_body = options->body;
  attempt->pool = options->pool;
  attempt->connect_timeout_ms = options->connect_timeout_ms;
  attempt->body = g_string_new (NULL);
  attempt->response.lines = g_ptr_array_new_with_free_func (g_free);
  attempt->easy = curl_easy_init ();
  if (!attempt->easy)
    goto failed;
  set_transfer (attempt, options);
  set_body (attempt, options);
  set_headers (attempt, options);
  if (router_poll_add (loop, attempt->easy) != 0)
    goto failed;
  attempt->active = true;
  return attempt;
failed:
  edge_attempt_destroy (attempt);
  return NULL;
}

void
edge_attempt_destroy (struct edge_attempt *attempt)
{
  if (!attempt)
    return;
  if (attempt->active)
    router_poll_remove (attempt->loop, attempt->easy);
  curl_easy_cleanup (attempt->easy);
  curl_slist_free_all (attempt->headers);
  curl_slist_free_all (attempt->tunnel_headers);
  curl_slist_free_all (attempt->connect_to);
  g_ptr_array_unref (attempt->response.lines);
  g_string_free (attempt->body, TRUE);
  g_free (attempt);
}

/* Returns whether the target may not have received the whole request. */
static bool
is_request_unsent (const struct edge_attempt *attempt)
{
  return http_transfer_is_body_unsent (attempt->easy,
                                       attempt->request_body->len)
         || router_poll_ended_early (attempt->loop, attempt->easy);
}

/* Returns what is wrong with the response, or NULL. */
static const char *
find_fault (const struct edge_attempt *attempt)
{
  const struct edge_target_response *response = &attempt->response;
  struct http_ending ending
      = { .has_head = attempt->has_head,
          .is_framed = attempt->code == CURLE_OK && !attempt->is_invalid,
          .body_end = attempt->body_end,
          .is_request_unsent = is_request_unsent (attempt),
          .is_stream = response->is_stream && is_success (attempt) };
  if (attempt->is_status_invalid)
    return "the response has no status of HTTP";
  if (response->request_id_differs)
    return "the response has the id of another request";
  if (attempt->has_head && !response->request_id_matches)
    return "the response has no request id";
  if (ending.is_stream)
    attempt->callbacks->describe_events (attempt->callbacks, &ending);
  return http_ending_fault (&ending);
}

static enum edge_attempt_outcome
find_outcome (const struct edge_attempt *attempt)
{
  long sent_bytes = 0;
  if (attempt->is_unwanted)
    return EDGE_ATTEMPT_UNWANTED;
  if (!attempt->fault)
    return EDGE_ATTEMPT_COMPLETE;
  /* Bytes are counted with those of the request for the tunnel, so an open one
     may have carried the request. */
  if (attempt->is_tunnelled)
    return edge_attempt_tunnel_status (attempt) == EDGE_TUNNEL_OPEN
               ? EDGE_ATTEMPT_LOST
               : EDGE_ATTEMPT_UNSENT;
  curl_easy_getinfo (attempt->easy, CURLINFO_REQUEST_SIZE, &sent_bytes);
  return attempt->code != CURLE_OK && sent_bytes == 0 ? EDGE_ATTEMPT_UNSENT
                                                      : EDGE_ATTEMPT_LOST;
}

void
edge_attempt_finish (CURL *easy, CURLcode code)
{
  struct edge_attempt *attempt = NULL;
  curl_easy_getinfo (easy, CURLINFO_PRIVATE, &attempt);
  attempt->active = false;
  attempt->code = code;
  attempt->fault = find_fault (attempt);
  attempt->callbacks->done (attempt->callbacks, find_outcome (attempt));
}

bool
edge_attempt_connect_is_overdue (const struct edge_attempt *attempt,
                                 uint64_t looked_ms)
{
  return attempt->active && !attempt->is_connected
         && attempt->connect_due_ms != 0
         && looked_ms >= attempt->connect_due_ms;
}

bool
edge_attempt_is_flooded (struct edge_attempt *attempt, uint64_t now_ms)
{
  if (!attempt->active || !attempt->has_head
      || attempt->body_end != HTTP_BODY_END_CHUNKS
      || !http_overhead_is_excessive (
          &attempt->overhead,
          router_poll_socket (attempt->loop, attempt->easy),
          attempt->content_bytes, now_ms))
    return false;
  attempt->fault = "the response has too many bytes besides its content";
  return true;
}

void
edge_attempt_pause (struct edge_attempt *attempt, bool pause)
{
  if (attempt->paused == pause || !attempt->active)
    return;
  attempt->paused = pause;
  router_poll_pause (attempt->loop, attempt->easy, pause);
  if (pause || !attempt->is_library_paused)
    return;
  attempt->is_library_paused = false;
  curl_easy_pause (attempt->easy, CURLPAUSE_CONT);
}

const struct edge_target_response *
edge_attempt_response (const struct edge_attempt *attempt)
{
  return &attempt->response;
}

uint64_t
edge_attempt_head_ms (const struct edge_attempt *attempt)
{
  return attempt->response.status >= STATUS_OK ? attempt->head_ms : 0;
}

bool
edge_attempt_has_head (const struct edge_attempt *attempt)
{
  return attempt->has_head;
}

enum http_body_end
edge_attempt_body_end (const struct edge_attempt *attempt)
{
  return attempt->body_end;
}

const GString *
edge_attempt_body (const struct edge_attempt *attempt)
{
  return attempt->body;
}

char *
edge_attempt_take_body (struct edge_attempt *attempt, size_t *bytes)
{
  *bytes = attempt->body->len;
  char *data = g_string_free (attempt->body, FALSE);
  attempt->body = g_string_new (NULL);
  return data;
}

const char *
edge_attempt_error (const struct edge_attempt *attempt)
{
  if (attempt->active)
    return attempt->fault ? attempt->fault
                          : "the connection was not made in time";
  if (attempt->code != CURLE_OK)
    return curl_easy_strerror (attempt->code);
  return attempt->fault ? attempt->fault : "none";
}

long
edge_attempt_tunnel_status (const struct edge_attempt *attempt)
{
  long status = EDGE_TUNNEL_NONE;
  curl_easy_getinfo (attempt->easy, CURLINFO_HTTP_CONNECTCODE, &status);
  return status;
}

int
edge_attempt_system_error (const struct edge_attempt *attempt)
{
  long error = 0;
  curl_easy_getinfo (attempt->easy, CURLINFO_OS_ERRNO, &error);
  return error != 0 ? (int)error : ETIMEDOUT;
}

bool
edge_attempt_is_silent_loss (const struct edge_attempt *attempt)
{
  long error = 0;
  curl_easy_getinfo (attempt->easy, CURLINFO_OS_ERRNO, &error);
  return attempt->code == CURLE_OPERATION_TIMEDOUT || error == ETIMEDOUT
         || error == EHOSTUNREACH || error == ENETUNREACH;
}

bool
edge_attempt_reused (const struct edge_attempt *attempt)
{
  long connects = 0;
  curl_easy_getinfo (attempt->easy, CURLINFO_NUM_CONNECTS, &connects);
  return connects == 0;
}

uint32_t
edge_attempt_pool (const struct edge_attempt *attempt)
{
  return attempt->pool;
}

bool
edge_attempt_awaits_on_kept (const struct edge_attempt *attempt)
{
  return attempt->is_connected && attempt->head_ms == 0
         && edge_attempt_reused (attempt);
}

void
edge_attempt_forbid_reuse (struct edge_attempt *attempt)
{
  if (attempt->active)
    curl_easy_setopt (attempt->easy, CURLOPT_FORBID_REUSE, 1L);
}
