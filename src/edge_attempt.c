#include "edge_attempt.h"
#include "http_transfer.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#define READ_BUFFER_BYTES 16384L
#define BODY_MAX_BYTES (8u * 1024 * 1024)
#define STATUS_OK 200
#define STATUS_CLASS_MAX 299
/* Time for which sent bytes may stay without acknowledgement: above a lost
   packet's repetitions on the longest link. */
#define UNACKED_TIMEOUT_MS 2000
/* Seconds of silence, between probes, and probes until a connection counts as
   lost. */
#define KEEPALIVE_S 1
#define KEEPALIVE_PROBES 3
/* Idle time after which a kept connection is not used again, in seconds:
   below the shortest keep-alive that targets announce. */
#define IDLE_MAX_S 3L

struct edge_attempt
{
  struct router_poll *loop;
  struct edge_attempt_callbacks *user;
  const struct edge_dialect *dialect;
  const char *request_id;
  const GString *body_out;
  size_t body_sent;
  CURL *easy;
  CURLcode code;
  struct curl_slist *headers;
  struct edge_target_response answer;
  GString *body;
  bool active;
  bool paused;
  bool bad;
};

static void
clear_answer (struct edge_target_response *answer)
{
  GPtrArray *lines = answer->lines;
  g_ptr_array_set_size (lines, 0);
  memset (answer, 0, sizeof *answer);
  answer->lines = lines;
}

static bool
is_success (const struct edge_attempt *attempt)
{
  return attempt->answer.status >= STATUS_OK
         && attempt->answer.status <= STATUS_CLASS_MAX;
}

static size_t
take_header (char *data, size_t size, size_t count, void *context)
{
  struct edge_attempt *attempt = context;
  size_t bytes = size * count;
  char *line = g_strndup (data, bytes);
  g_strchomp (line);
  char *colon = strchr (line, ':');
  if (g_str_has_prefix (line, "HTTP/"))
    {
      const char *space = strchr (line, ' ');
      clear_answer (&attempt->answer);
      attempt->answer.status
          = space ? (uint32_t)g_ascii_strtoull (space + 1, NULL, 10) : 0;
    }
  else if (colon)
    {
      *colon = '\0';
      attempt->dialect->read_response_header (
          attempt->dialect, &attempt->answer, attempt->request_id, line,
          g_strchug (colon + 1));
    }
  g_free (line);
  return bytes;
}

static size_t
take_body (char *data, size_t size, size_t count, void *context)
{
  struct edge_attempt *attempt = context;
  size_t bytes = size * count;
  bool is_ours = attempt->answer.request_id_matches
                 && !attempt->answer.request_id_differs;
  if (is_ours && attempt->answer.is_stream && is_success (attempt))
    attempt->bad = !attempt->user->data (attempt->user, data, bytes);
  else if (is_ours && attempt->body->len + bytes <= BODY_MAX_BYTES)
    g_string_append_len (attempt->body, data, (gssize)bytes);
  else
    attempt->bad = true;
  return attempt->bad ? 0 : bytes;
}

/* Without a seek function the library can't send a body once more by itself,
   so that a request on a kept connection is sent at most once. */
static size_t
give_body (char *buffer, size_t size, size_t count, void *context)
{
  struct edge_attempt *attempt = context;
  size_t left = attempt->body_out->len - attempt->body_sent;
  size_t bytes = MIN (left, size * count);
  memcpy (buffer, attempt->body_out->str + attempt->body_sent, bytes);
  attempt->body_sent += bytes;
  return bytes;
}

static int
set_socket (void *context, curl_socket_t socket, curlsocktype purpose)
{
  unsigned int unacked_ms = UNACKED_TIMEOUT_MS;
  int yes = 1;
  int seconds = KEEPALIVE_S;
  int probes = KEEPALIVE_PROBES;
  (void)context;
  (void)purpose;
  setsockopt (socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_ms,
              sizeof unacked_ms);
  setsockopt (socket, SOL_SOCKET, SO_KEEPALIVE, &yes, sizeof yes);
  setsockopt (socket, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof seconds);
  setsockopt (socket, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof seconds);
  setsockopt (socket, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
  return CURL_SOCKOPT_OK;
}

static void
set_body (struct edge_attempt *attempt, const struct edge_attempt_call *call)
{
  CURL *easy = attempt->easy;
  if (call->body->len > 0 || strcmp (call->head->method, "POST") == 0)
    {
      curl_easy_setopt (easy, CURLOPT_POST, 1L);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)call->body->len);
      curl_easy_setopt (easy, CURLOPT_READFUNCTION, give_body);
      curl_easy_setopt (easy, CURLOPT_READDATA, attempt);
    }
  if (strcmp (call->head->method, "HEAD") == 0)
    curl_easy_setopt (easy, CURLOPT_NOBODY, 1L);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, call->head->method);
}

static void
set_headers (struct edge_attempt *attempt,
             const struct edge_attempt_call *call)
{
  struct curl_slist *lines = NULL;
  for (guint i = 0; i < call->head->lines->len; i++)
    lines = curl_slist_append (lines, call->head->lines->pdata[i]);
  lines = call->dialect->add_send_headers (call->dialect, call->send, lines);
  lines = curl_slist_append (lines, "Expect:");
  if (call->body->len == 0)
    lines = curl_slist_append (lines, "Content-Type:");
  attempt->headers = lines;
  curl_easy_setopt (attempt->easy, CURLOPT_HTTPHEADER, lines);
}

static void
set_transfer (struct edge_attempt *attempt,
              const struct edge_attempt_call *call)
{
  CURL *easy = attempt->easy;
  char *url = g_strdup_printf ("http://%s:%u%s", call->address,
                               (unsigned)call->port, call->head->uri);
  struct http_transfer_limits limits
      = { call->connect_timeout_ms, call->timeout_ms };
  http_transfer_configure (easy, url, &limits, call->reuse);
  g_free (url);
  http_transfer_set_callbacks (easy, attempt, take_header, take_body,
                               READ_BUFFER_BYTES);
  curl_easy_setopt (easy, CURLOPT_SOCKOPTFUNCTION, set_socket);
  curl_easy_setopt (easy, CURLOPT_MAXAGE_CONN, IDLE_MAX_S);
  curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, call->reuse ? 0L : 1L);
}

struct edge_attempt *
edge_attempt_create (struct router_poll *loop,
                     const struct edge_attempt_call *call,
                     struct edge_attempt_callbacks *user)
{
  struct edge_attempt *attempt = g_new0 (struct edge_attempt, 1);
  attempt->loop = loop;
  attempt->user = user;
  attempt->dialect = call->dialect;
  attempt->request_id = call->send->request_id;
  attempt->body_out = call->body;
  attempt->body = g_string_new (NULL);
  attempt->answer.lines = g_ptr_array_new_with_free_func (g_free);
  attempt->easy = curl_easy_init ();
  if (!attempt->easy)
    goto failed;
  set_transfer (attempt, call);
  set_body (attempt, call);
  set_headers (attempt, call);
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
  g_ptr_array_unref (attempt->answer.lines);
  g_string_free (attempt->body, TRUE);
  g_free (attempt);
}

static enum edge_outcome
find_outcome (const struct edge_attempt *attempt)
{
  long sent_bytes = 0;
  const struct edge_target_response *answer = &attempt->answer;
  if (attempt->code == CURLE_OK && !attempt->bad && answer->status > 0
      && answer->request_id_matches && !answer->request_id_differs)
    return EDGE_WHOLE;
  curl_easy_getinfo (attempt->easy, CURLINFO_REQUEST_SIZE, &sent_bytes);
  return attempt->code != CURLE_OK && sent_bytes == 0 ? EDGE_UNSENT
                                                      : EDGE_LOST;
}

void
edge_attempt_done (CURL *easy, CURLcode code)
{
  struct edge_attempt *attempt = NULL;
  curl_easy_getinfo (easy, CURLINFO_PRIVATE, &attempt);
  attempt->active = false;
  attempt->code = code;
  attempt->user->done (attempt->user, find_outcome (attempt));
}

void
edge_attempt_pause (struct edge_attempt *attempt, bool pause)
{
  if (attempt->paused == pause || !attempt->active)
    return;
  attempt->paused = pause;
  curl_easy_pause (attempt->easy, pause ? CURLPAUSE_RECV : CURLPAUSE_CONT);
}

const struct edge_target_response *
edge_attempt_answer (const struct edge_attempt *attempt)
{
  return &attempt->answer;
}

const GString *
edge_attempt_body (const struct edge_attempt *attempt)
{
  return attempt->body;
}

const char *
edge_attempt_error (const struct edge_attempt *attempt)
{
  if (attempt->code != CURLE_OK)
    return curl_easy_strerror (attempt->code);
  if (attempt->answer.request_id_differs)
    return "answer to another request";
  return attempt->answer.request_id_matches ? "none"
                                            : "answer without a request id";
}

bool
edge_attempt_reused (const struct edge_attempt *attempt)
{
  long connects = 0;
  curl_easy_getinfo (attempt->easy, CURLINFO_NUM_CONNECTS, &connects);
  return connects == 0;
}
