#include "edge_front.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/epoll.h>

#include "base_event.h"
#include "base_log.h"
#include "edge_callers.h"
#include "edge_request.h"
#include "http_framing.h"

/* Timeout of idle connections of callers.  It is longer than callers keep idle
   connections for reuse, so that a caller does not send a request on a
   connection that the router is closing. */
#define IDLE_TIMEOUT_S 60u
#define READY_TIMEOUT_S 10u
/* Connections beyond those of the account, so that one that has to go can be
   closed when another comes. */
#define CLOSING_CONNECTIONS 64u
#define READY_CONNECTIONS_MAX 64u
/* Memory for the request line and headers of one connection, in bytes. */
#define CONNECTION_MEMORY_BYTES (40u * 1024)
#define LISTEN_BACKLOG 1024u
#define WAIT_MAX_MS 1000

/* One HTTP server on the event loop. */
struct server
{
  struct router_watch watch;
  struct MHD_Daemon *daemon;
  int epoll;
  /* The server must run in this loop iteration. */
  bool is_due;
};

struct edge_front
{
  struct edge *edge;
  struct edge_callers *account;
  struct server callers;
  struct server ready;
  uint32_t open_calls;
};

/* One HTTP request at a server; the struct edge_request is created once its
   headers were read. */
struct call
{
  char *uri;
  struct edge_request *request;
  struct edge_caller *caller;
  /* The body is complete and edge_request_begin was called. */
  bool is_begun;
};

static void *
save_uri (void *context, const char *uri, struct MHD_Connection *connection)
{
  struct call *call = g_new0 (struct call, 1);
  (void)context;
  (void)connection;
  call->uri = g_strdup (uri);
  return call;
}

static enum MHD_Result
parse_header (void *context, enum MHD_ValueKind kind, const char *name,
              const char *value)
{
  struct edge_request *request = context;
  const struct edge_dialect *dialect = request->edge->options.dialect;
  (void)kind;
  dialect->read_request_header (dialect, &request->head, name,
                                value ? value : "");
  return MHD_YES;
}

/* Returns the largest body that may be read now. */
static uint64_t
body_max (const struct edge_front *front)
{
  const struct edge_table *table = front->edge->table;
  return table ? edge_table_body_max_bytes (table) : EDGE_TABLE_BODY_MAX_BYTES;
}

static enum MHD_Result
start_request (struct edge_front *front, struct MHD_Connection *connection,
               const char *method, const char *version, struct call *call)
{
  enum MHD_Result result = MHD_YES;
  call->caller = edge_callers_find (connection);
  if (!call->caller)
    return MHD_NO;
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  front->open_calls++;
  call->request = edge_request_create (front->edge, connection, version,
                                       info->connect_fd);
  call->request->head.method = g_strdup (method);
  call->request->head.uri = g_steal_pointer (&call->uri);
  MHD_get_connection_values (connection, MHD_HEADER_KIND, parse_header,
                             call->request);
  call->request->caller = call->caller;
  edge_callers_begin (front->account, call->caller, connection,
                      call->request->body, body_max (front), &result);
  return result;
}

static enum MHD_Result
refuse_malformed (struct edge_front *front, struct MHD_Connection *connection,
                  const char *fault)
{
  base_counter_add (front->edge->counters.requests, 1);
  base_counter_add (front->edge->counters.refused, 1);
  base_event ("request-unsound fault=\"%s\"", fault);
  return http_framing_refuse (connection, fault);
}

static enum MHD_Result
append_body (struct edge_front *front, struct call *call, const char *data,
             size_t *bytes)
{
  if (!edge_callers_append (front->account, call->caller, data, *bytes))
    return MHD_NO;
  *bytes = 0;
  return MHD_YES;
}

static enum MHD_Result
handle_caller (void *context, struct MHD_Connection *connection,
               const char *url, const char *method, const char *version,
               const char *upload, size_t *upload_bytes, void **state)
{
  struct edge_front *front = context;
  struct call *call = *state;
  (void)url;
  if (!call->request)
    {
      const char *fault = http_framing_fault (connection, version);
      return fault ? refuse_malformed (front, connection, fault)
                   : start_request (front, connection, method, version, call);
    }
  if (!edge_callers_find (connection))
    return MHD_NO;
  if (*upload_bytes > 0)
    return append_body (front, call, upload, upload_bytes);
  /* Requests of many connections may be read in one run of the server. */
  router_poll_read_due_closes (front->edge->loop);
  if (!call->is_begun && call->request->has_left)
    return MHD_NO;
  if (!call->is_begun)
    {
      call->is_begun = true;
      edge_callers_hold (front->account, call->caller);
      edge_request_begin (call->request);
    }
  return router_stream_queue_response (&call->request->stream);
}

static void
complete_caller (void *context, struct MHD_Connection *connection,
                 void **state, enum MHD_RequestTerminationCode code)
{
  struct edge_front *front = context;
  struct call *call = *state;
  (void)connection;
  (void)code;
  if (!call)
    return;
  if (call->request)
    {
      front->open_calls--;
      call->request->caller = NULL;
      edge_request_close (call->request);
      edge_callers_end (front->account, call->caller);
    }
  g_free (call->uri);
  g_free (call);
  *state = NULL;
}

static enum MHD_Result
handle_ready (void *context, struct MHD_Connection *connection,
              const char *url, const char *method, const char *version,
              const char *upload, size_t *upload_bytes, void **state)
{
  struct edge_front *front = context;
  unsigned int status = MHD_HTTP_OK;
  (void)method;
  (void)version;
  (void)upload;
  (void)upload_bytes;
  (void)state;
  if (strcmp (url, front->edge->options.ready_path) != 0)
    status = MHD_HTTP_NOT_FOUND;
  else if (!edge_is_ready (front->edge))
    status = MHD_HTTP_SERVICE_UNAVAILABLE;
  struct MHD_Response *response
      = MHD_create_response_from_buffer (0, NULL, MHD_RESPMEM_PERSISTENT);
  enum MHD_Result result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static void
handle_epoll_event (struct router_watch *watch, uint32_t events)
{
  (void)events;
  ((struct server *)watch)->is_due = true;
}

static bool
read_address (const char *address, uint16_t port, struct sockaddr_in *to)
{
  memset (to, 0, sizeof *to);
  to->sin_family = AF_INET;
  to->sin_port = htons (port);
  return inet_pton (AF_INET, address, &to->sin_addr) == 1;
}

/* Registers a started server with the event loop. */
static bool
watch_server (struct edge_front *front, struct server *server)
{
  if (!server->daemon)
    return false;
  const union MHD_DaemonInfo *info
      = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  server->watch.ready = handle_epoll_event;
  server->is_due = true;
  server->epoll = info ? info->epoll_fd : -1;
  return server->epoll >= 0
         && router_poll_watch (front->edge->loop, server->epoll, EPOLLIN,
                               &server->watch)
                == 0;
}

static bool
start_caller_server (struct edge_front *front)
{
  const struct edge_options *options = &front->edge->options;
  struct sockaddr_in address;
  if (!read_address (options->callers_address, options->callers_port,
                     &address))
    return false;
  front->callers.daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, handle_caller,
      front, MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_CONNECTION_LIMIT,
      edge_callers_connections_max (front->account) + CLOSING_CONNECTIONS,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES,
      MHD_OPTION_CONNECTION_TIMEOUT, IDLE_TIMEOUT_S,
      MHD_OPTION_LISTEN_BACKLOG_SIZE, LISTEN_BACKLOG,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_STRICT_FOR_CLIENT, 1,
      MHD_OPTION_URI_LOG_CALLBACK, save_uri, NULL, MHD_OPTION_NOTIFY_COMPLETED,
      complete_caller, front, MHD_OPTION_NOTIFY_CONNECTION,
      edge_callers_notify, front->account, MHD_OPTION_END);
  return watch_server (front, &front->callers);
}

static bool
start_ready_server (struct edge_front *front)
{
  const struct edge_options *options = &front->edge->options;
  struct sockaddr_in address;
  if (!read_address (options->ready_address, options->ready_port, &address))
    return false;
  front->ready.daemon = MHD_start_daemon (
      MHD_USE_EPOLL, 0, NULL, NULL, handle_ready, front, MHD_OPTION_SOCK_ADDR,
      &address, MHD_OPTION_CONNECTION_LIMIT, READY_CONNECTIONS_MAX,
      MHD_OPTION_CONNECTION_TIMEOUT, READY_TIMEOUT_S,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
  return watch_server (front, &front->ready);
}

struct edge_front *
edge_front_create (struct edge *edge)
{
  struct edge_front *front = g_new0 (struct edge_front, 1);
  front->edge = edge;
  struct edge_intake_limits limits = edge_intake_limits_for (
      edge->options.memory_mb, edge->options.descriptors_max);
  front->account = edge_callers_create (&limits, edge->metrics);
  if (start_caller_server (front) && start_ready_server (front))
    return front;
  base_log (BASE_LOG_ERROR, "can't listen callers=%s:%u ready=%s:%u",
            edge->options.callers_address,
            (unsigned)edge->options.callers_port, edge->options.ready_address,
            (unsigned)edge->options.ready_port);
  edge_front_destroy (front);
  return NULL;
}

static void
stop_server (struct edge_front *front, struct server *server)
{
  if (!server->daemon)
    return;
  router_poll_unwatch (front->edge->loop, server->epoll);
  MHD_stop_daemon (server->daemon);
}

void
edge_front_destroy (struct edge_front *front)
{
  if (!front)
    return;
  stop_server (front, &front->callers);
  stop_server (front, &front->ready);
  edge_callers_destroy (front->account);
  g_free (front);
}

void
edge_front_schedule (struct edge_front *front)
{
  front->callers.is_due = true;
}

void
edge_front_check (struct edge_front *front)
{
  if (edge_callers_run (front->account))
    front->callers.is_due = true;
}

bool
edge_front_hold (struct edge_front *front, struct edge_caller *caller,
                 uint64_t bytes)
{
  return !caller || edge_callers_set_answer (front->account, caller, bytes);
}

void
edge_front_release_body (struct edge_front *front, struct edge_caller *caller)
{
  edge_callers_release_body (front->account, caller);
}

uint32_t
edge_front_open_requests (const struct edge_front *front)
{
  return front->open_calls;
}

static void
run_server (struct server *server)
{
  unsigned long long wait_ms = 0;
  bool times_out
      = MHD_get_timeout (server->daemon, &wait_ms) == MHD_YES && wait_ms == 0;
  if (!server->is_due && !times_out)
    return;
  server->is_due = false;
  MHD_run (server->daemon);
}

void
edge_front_run (struct edge_front *front)
{
  run_server (&front->callers);
  run_server (&front->ready);
}

static uint32_t
server_wait_ms (const struct server *server)
{
  unsigned long long wait_ms = 0;
  if (server->is_due)
    return 0;
  if (MHD_get_timeout (server->daemon, &wait_ms) != MHD_YES)
    return WAIT_MAX_MS;
  return (uint32_t)MIN (wait_ms, WAIT_MAX_MS);
}

uint32_t
edge_front_wait_ms (struct edge_front *front)
{
  return MIN (server_wait_ms (&front->callers),
              server_wait_ms (&front->ready));
}
