#include "edge_callers.h"

#include <inttypes.h>
#include <malloc.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "base_clock.h"
#include "base_event.h"
#include "edge_intake.h"

/* Value of Retry-After where there was no room; another router may have it. */
#define RETRY_AFTER "0.250"
/* Step by which a body grows, above the size of an ordinary one. */
#define STEP_BYTES (64u * 1024)
#define SMALL_STEP_BYTES 2048u
#define TEXT_BYTES 512
/* Bytes that a caller may have sent while its request is served before its
   receive buffer is made small, and size of that. */
#define UNREAD_MAX_BYTES (32 * 1024)
#define SMALL_BUFFER_BYTES 4096
/* What is unread is counted while more than this part of the room is taken. */
#define UNREAD_SHARE 4u

/* Why a connection was refused or closed. */
enum refusal
{
  REFUSAL_BODY_ANNOUNCED,
  REFUSAL_BODY_SENT,
  REFUSAL_NO_ROOM,
  REFUSAL_EVICTED,
  REFUSAL_STILL,
  REFUSAL_CONNECTION,
  REFUSALS
};

static const struct
{
  const char *label;
  unsigned int status;
  const char *reason;
  const char *message;
} refusals[REFUSALS] = {
  { "reason=\"body-announced\"", MHD_HTTP_CONTENT_TOO_LARGE,
    "Content Too Large", "the body is larger than allowed" },
  { "reason=\"body-sent\"", MHD_HTTP_CONTENT_TOO_LARGE, "Content Too Large",
    "the body is larger than allowed" },
  { "reason=\"no-room\"", MHD_HTTP_SERVICE_UNAVAILABLE, "Service Unavailable",
    "this router has no room for the body" },
  { "reason=\"made-room\"", MHD_HTTP_SERVICE_UNAVAILABLE,
    "Service Unavailable", "this router has no room for the body" },
  { "reason=\"still\"", MHD_HTTP_REQUEST_TIMEOUT, "Request Timeout",
    "the body has not moved for too long" },
  { "reason=\"connection\"", 0, "", "" },
};

struct edge_callers
{
  struct edge_intake *intake;
  struct edge_intake_limits limits;
  struct base_counter *bytes;
  struct base_counter *connections;
  struct base_counter *refused[REFUSALS];
  /* Refusals since the last line of the log, and whether the account is
     short of room. */
  uint32_t refusals;
  bool is_short;
};

static uint64_t
now_ms (void)
{
  return base_clock_now_ms (base_clock_system ());
}

struct edge_callers *
edge_callers_create (const struct edge_intake_limits *limits,
                     struct base_metrics *metrics)
{
  struct edge_callers *callers = g_new0 (struct edge_callers, 1);
  callers->intake = edge_intake_create (limits);
  callers->limits = *limits;
  base_event ("intake-limits bytes_max=%" PRIu64 " kept_bytes=%" PRIu64
              " connections_max=%" PRIu32 " body_max=%" PRIu64,
              limits->bytes_max, limits->kept_bytes, limits->connections_max,
              edge_intake_body_max (callers->intake));
  callers->bytes = base_metrics_gauge (metrics, "edge_intake_bytes", NULL);
  callers->connections
      = base_metrics_gauge (metrics, "edge_intake_connections", NULL);
  for (uint32_t i = 0; i < REFUSALS; i++)
    callers->refused[i] = base_metrics_counter (
        metrics, "edge_intake_refused_total", refusals[i].label);
  return callers;
}

void
edge_callers_destroy (struct edge_callers *callers)
{
  if (!callers)
    return;
  edge_intake_destroy (callers->intake);
  g_free (callers);
}

static void
count (struct edge_callers *callers, enum refusal refusal)
{
  base_counter_add (callers->refused[refusal], 1);
  callers->refusals++;
  if (callers->is_short || refusal == REFUSAL_BODY_ANNOUNCED
      || refusal == REFUSAL_BODY_SENT)
    return;
  callers->is_short = true;
  base_event ("intake-short %s held_bytes=%" PRIu64 " bytes_max=%" PRIu64
              " connections=%" PRIu32 " connections_max=%" PRIu32,
              refusals[refusal].label, edge_intake_bytes (callers->intake),
              callers->limits.bytes_max,
              edge_intake_connections (callers->intake),
              callers->limits.connections_max);
}

static int
format_body (char *text, size_t size, enum refusal refusal)
{
  return g_snprintf (text, size,
                     "{\"error\":{\"message\":\"%s\",\"run\":\"not-run\"}}\n",
                     refusals[refusal].message);
}

/* Writes a refusal to the socket: while a body is being read, the HTTP server
   takes no response.  Nothing was written for this request before, and a
   socket that takes no byte is closed without it. */
static void
write_refusal (const struct edge_caller *caller, enum refusal refusal)
{
  char body[TEXT_BYTES];
  char text[2 * TEXT_BYTES];
  unsigned int status = refusals[refusal].status;
  int body_bytes = format_body (body, sizeof body, refusal);
  int bytes
      = g_snprintf (text, sizeof text,
                    "HTTP/1.1 %u %s\r\nContent-Type: application/json\r\n"
                    "Content-Length: %d\r\n%sConnection: close\r\n\r\n%s",
                    status, refusals[refusal].reason, body_bytes,
                    status == MHD_HTTP_SERVICE_UNAVAILABLE
                        ? "Retry-After: " RETRY_AFTER "\r\n"
                        : "",
                    body);
  if (send (caller->fd, text, (size_t)bytes, MSG_DONTWAIT | MSG_NOSIGNAL) < 0)
    base_event ("intake-refusal-unsent status=%u", status);
}

static enum MHD_Result
queue_refusal (struct MHD_Connection *connection, enum refusal refusal)
{
  char text[TEXT_BYTES];
  int bytes = format_body (text, sizeof text, refusal);
  struct MHD_Response *response = MHD_create_response_from_buffer (
      (size_t)bytes, text, MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE,
                           "application/json");
  MHD_add_response_header (response, MHD_HTTP_HEADER_CONNECTION, "close");
  enum MHD_Result result
      = MHD_queue_response (connection, refusals[refusal].status, response);
  MHD_destroy_response (response);
  return result;
}

/* Gives the memory of a body back. */
static void
drop_body (struct edge_caller *caller)
{
  if (!caller->body)
    return;
  caller->body->str = g_realloc (caller->body->str, 1);
  caller->body->str[0] = '\0';
  caller->body->len = 0;
  caller->body->allocated_len = 1;
  caller->body = NULL;
}

/* Marks a caller as going; its connection is closed by the caller of this
   function. */
static void
let_go (struct edge_callers *callers, struct edge_caller *caller,
        enum refusal refusal)
{
  if (caller->entry.state == EDGE_INTAKE_READING)
    write_refusal (caller, refusal);
  drop_body (caller);
  edge_intake_set_state (callers->intake, &caller->entry, EDGE_INTAKE_GOING,
                         now_ms ());
  count (callers, refusal);
}

/* Closes a connection outside its own callback: the HTTP server sees its
   end. */
static void
close_caller (struct edge_callers *callers, struct edge_caller *caller,
              enum refusal refusal)
{
  let_go (callers, caller, refusal);
  shutdown (caller->fd, SHUT_RDWR);
}

static struct edge_caller *
find_victim (struct edge_callers *callers, const struct edge_caller *asking,
             uint64_t bytes)
{
  return (struct edge_caller *)edge_intake_find_victim (
      callers->intake, &asking->entry, bytes <= EDGE_INTAKE_ORDINARY_BYTES,
      now_ms ());
}

static void
admit (struct edge_callers *callers, struct edge_caller *caller)
{
  while (caller->entry.state != EDGE_INTAKE_GOING
         && edge_intake_is_over (callers->intake))
    {
      struct edge_caller *victim = find_victim (callers, caller, 0);
      close_caller (callers, victim ? victim : caller,
                    victim && victim->entry.state == EDGE_INTAKE_READING
                        ? REFUSAL_EVICTED
                        : REFUSAL_CONNECTION);
    }
}

void
edge_callers_notify (void *context, struct MHD_Connection *connection,
                     void **socket_context,
                     enum MHD_ConnectionNotificationCode code)
{
  struct edge_callers *callers = context;
  struct edge_caller *caller = *socket_context;
  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      caller = g_new0 (struct edge_caller, 1);
      caller->fd = MHD_get_connection_info (connection,
                                            MHD_CONNECTION_INFO_CONNECTION_FD)
                       ->connect_fd;
      edge_intake_open (callers->intake, &caller->entry, now_ms ());
      *socket_context = caller;
      admit (callers, caller);
    }
  else if (caller)
    {
      edge_intake_close (callers->intake, &caller->entry);
      g_free (caller);
      *socket_context = NULL;
    }
}

struct edge_caller *
edge_callers_find (struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  struct edge_caller *caller = info ? info->socket_context : NULL;
  return caller && caller->entry.state != EDGE_INTAKE_GOING ? caller : NULL;
}

static uint64_t
announced_bytes (struct MHD_Connection *connection)
{
  const char *length = MHD_lookup_connection_value (
      connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
  return length ? g_ascii_strtoull (length, NULL, 10) : 0;
}

/* Makes room for a body to grow to @p bytes.  Returns whether it fits. */
static bool
make_room (struct edge_callers *callers, const struct edge_caller *caller,
           uint64_t bytes)
{
  while (!edge_intake_body_fits (callers->intake, &caller->entry, bytes))
    {
      struct edge_caller *victim = find_victim (callers, caller, bytes);
      if (!victim)
        return false;
      close_caller (callers, victim,
                    victim->entry.state == EDGE_INTAKE_READING
                        ? REFUSAL_EVICTED
                        : REFUSAL_CONNECTION);
    }
  return true;
}

bool
edge_callers_begin (struct edge_callers *callers, struct edge_caller *caller,
                    struct MHD_Connection *connection, GString *body,
                    uint64_t body_max, enum MHD_Result *result)
{
  caller->body_max = MIN (body_max, edge_intake_body_max (callers->intake));
  caller->announced_bytes = announced_bytes (connection);
  if (caller->announced_bytes > caller->body_max)
    {
      count (callers, REFUSAL_BODY_ANNOUNCED);
      *result = queue_refusal (connection, REFUSAL_BODY_ANNOUNCED);
      return false;
    }
  caller->body = body;
  edge_intake_set_state (callers->intake, &caller->entry, EDGE_INTAKE_READING,
                         now_ms ());
  return true;
}

/* Returns the size to which the memory of a body grows that needs @p bytes:
   at once to that announced of an ordinary one, by steps otherwise, and never
   beyond what was announced. */
static uint64_t
next_size (const struct edge_caller *caller, uint64_t bytes)
{
  uint64_t announced = caller->announced_bytes;
  if (announced >= bytes && announced <= STEP_BYTES)
    return announced;
  uint64_t step = bytes > STEP_BYTES ? STEP_BYTES : SMALL_STEP_BYTES;
  uint64_t size = (bytes + step - 1) / step * step;
  return announced >= bytes ? MIN (size, announced) : size;
}

static void
grow (GString *body, uint64_t size)
{
  body->allocated_len = (gsize)size + 1;
  body->str = g_realloc (body->str, body->allocated_len);
}

bool
edge_callers_append (struct edge_callers *callers, struct edge_caller *caller,
                     const char *data, size_t bytes)
{
  GString *body = caller->body;
  uint64_t needed = body->len + bytes;
  if (needed > caller->body_max)
    {
      let_go (callers, caller, REFUSAL_BODY_SENT);
      return false;
    }
  if (needed + 1 > body->allocated_len)
    {
      uint64_t size = next_size (caller, needed);
      if (!make_room (callers, caller, size))
        {
          let_go (callers, caller, REFUSAL_NO_ROOM);
          return false;
        }
      edge_intake_set_body (callers->intake, &caller->entry, size);
      grow (body, size);
    }
  memcpy (body->str + body->len, data, bytes);
  body->len = (gsize)needed;
  body->str[needed] = '\0';
  edge_intake_note_received (&caller->entry, bytes, now_ms ());
  return true;
}

void
edge_callers_hold (struct edge_callers *callers, struct edge_caller *caller)
{
  caller->body = NULL;
  edge_intake_set_state (callers->intake, &caller->entry, EDGE_INTAKE_HELD,
                         now_ms ());
}

void
edge_callers_release_body (struct edge_callers *callers,
                           struct edge_caller *caller)
{
  edge_intake_set_body (callers->intake, &caller->entry, 0);
}

bool
edge_callers_set_answer (struct edge_callers *callers,
                         struct edge_caller *caller, uint64_t bytes)
{
  return edge_intake_set_answer (callers->intake, &caller->entry, bytes);
}

void
edge_callers_end (struct edge_callers *callers, struct edge_caller *caller)
{
  caller->body = NULL;
  caller->announced_bytes = 0;
  edge_intake_set_state (callers->intake, &caller->entry, EDGE_INTAKE_IDLE,
                         now_ms ());
}

uint32_t
edge_callers_connections_max (const struct edge_callers *callers)
{
  return callers->limits.connections_max;
}

/* Counts what a caller sent while its request is served, and has it wait with
   more. */
static void
count_unread (void *context, struct edge_intake_entry *entry)
{
  struct edge_callers *callers = context;
  const struct edge_caller *caller = (struct edge_caller *)entry;
  int bytes = 0;
  int small = SMALL_BUFFER_BYTES;
  if (ioctl (caller->fd, FIONREAD, &bytes) != 0 || bytes < 0)
    return;
  edge_intake_set_unread (callers->intake, entry, (uint64_t)bytes);
  if (bytes > UNREAD_MAX_BYTES)
    setsockopt (caller->fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
}

bool
edge_callers_run (struct edge_callers *callers)
{
  bool has_closed = false;
  struct edge_intake_entry *still;
  while ((still = edge_intake_find_still (callers->intake, now_ms ())))
    {
      close_caller (callers, (struct edge_caller *)still, REFUSAL_STILL);
      has_closed = true;
    }
  /* Each look costs a system call. */
  if (edge_intake_bytes (callers->intake)
      > callers->limits.bytes_max / UNREAD_SHARE)
    edge_intake_visit_held (callers->intake, now_ms (), count_unread, callers);
  base_counter_set (callers->bytes, edge_intake_bytes (callers->intake));
  base_counter_set (callers->connections,
                    edge_intake_connections (callers->intake));
  if (callers->is_short && !edge_intake_is_tight (callers->intake))
    {
      callers->is_short = false;
      base_event ("intake-eased refused=%" PRIu32 " held_bytes=%" PRIu64
                  " connections=%" PRIu32,
                  callers->refusals, edge_intake_bytes (callers->intake),
                  edge_intake_connections (callers->intake));
      callers->refusals = 0;
      malloc_trim (0);
    }
  return has_closed;
}
