#include "router_http.h"

#include <arpa/inet.h>
#include <string.h>

#include "http_framing.h"
#include "http_status.h"
#include "router_refusal.h"
#include "router_request.h"
#include "router_targets.h"

#define BEARER_PREFIX "Bearer "
#define ANNOUNCEMENT_MAX_BYTES (64u * 1024)
/* A body above its limit is read and discarded up to this size, so that the
   sender gets to read the response.  Beyond it the connection is closed. */
#define DROP_MAX_BYTES (64u * 1024 * 1024)
#define LISTEN_BACKLOG 1024u

struct router_http
{
  struct MHD_Daemon *daemon;
  struct router *router;
};

/* Purpose of an HTTP request. */
enum call_kind
{
  /** The purpose is not known yet, because the head was not read. */
  CALL_NEW,
  CALL_REQUEST,
  CALL_ANNOUNCE,
  CALL_TARGETS,
  CALL_STATUS,
  CALL_STOPPING
};

struct http_call
{
  enum call_kind kind;
  char *uri;
  GString *body;
  size_t dropped_bytes;
  struct router_request *request;
  bool posted;
};

static char *
copy_header (struct MHD_Connection *connection, const char *name)
{
  return g_strdup (
      MHD_lookup_connection_value (connection, MHD_HEADER_KIND, name));
}

static char *
copy_bearer (struct MHD_Connection *connection)
{
  const char *value = MHD_lookup_connection_value (connection, MHD_HEADER_KIND,
                                                   "Authorization");
  if (!value
      || g_ascii_strncasecmp (value, BEARER_PREFIX, strlen (BEARER_PREFIX))
             != 0)
    return NULL;
  return g_strdup (value + strlen (BEARER_PREFIX));
}

static enum MHD_Result
refuse (struct router_http *server, struct MHD_Connection *connection,
        enum router_refusal refusal, const char *message)
{
  struct MHD_Response *response
      = router_refusal_response (refusal, message, NULL, 0);
  router_metrics_count_refusal (server->router->metrics,
                                router_refusal_code (refusal));
  enum MHD_Result result = MHD_queue_response (
      connection, router_refusal_status (refusal), response);
  MHD_destroy_response (response);
  return result;
}

static enum call_kind
find_kind (struct router *router, const char *url, const char *method)
{
  bool is_get = strcmp (method, MHD_HTTP_METHOD_GET) == 0;
  if (is_get && http_status_is_page (url))
    return CALL_STATUS;
  if (is_get && strcmp (url, "/targets") == 0)
    return CALL_TARGETS;
  if (strcmp (method, MHD_HTTP_METHOD_POST) == 0
      && strcmp (url, "/targets/announce") == 0)
    return CALL_ANNOUNCE;
  return atomic_load (&router->draining) ? CALL_STOPPING : CALL_REQUEST;
}

static void
fill_head (struct router_request *request, struct MHD_Connection *connection,
           const char *url, const char *method, struct http_call *call)
{
  struct router_head *head = &request->head;
  head->method = g_strdup (method);
  head->uri = g_steal_pointer (&call->uri);
  head->path = g_strdup (url);
  head->content_type = copy_header (connection, "Content-Type");
  head->bearer = copy_bearer (connection);
  head->key = copy_header (connection, "Idempotency-Key");
  head->budget = copy_header (connection, "Cactus-Budget");
  head->class_name = copy_header (connection, "Cactus-Class");
}

static enum MHD_Result
start_call (struct router_http *server, struct MHD_Connection *connection,
            const char *url, const char *method, const char *version,
            struct http_call *call)
{
  call->kind = find_kind (server->router, url, method);
  if (call->kind == CALL_REQUEST)
    {
      call->request
          = router_request_create (server->router, connection, version);
      fill_head (call->request, connection, url, method, call);
    }
  else if (call->kind == CALL_ANNOUNCE)
    call->body = g_string_new (NULL);
  return MHD_YES;
}

/* Closes the connection after the response: with invalid framing, the start of
   the next request on it is unknown. */
static enum MHD_Result
refuse_invalid_framing (struct router_http *server,
                        struct MHD_Connection *connection, const char *fault)
{
  struct MHD_Response *response
      = router_refusal_response (ROUTER_REFUSAL_BAD_REQUEST, fault, NULL, 0);
  router_metrics_count_refusal (
      server->router->metrics,
      router_refusal_code (ROUTER_REFUSAL_BAD_REQUEST));
  MHD_add_response_header (response, MHD_HTTP_HEADER_CONNECTION, "close");
  enum MHD_Result result = MHD_queue_response (
      connection, router_refusal_status (ROUTER_REFUSAL_BAD_REQUEST),
      response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
receive_upload (struct router_http *server, struct http_call *call,
                const char *upload, size_t *bytes)
{
  GString *body = call->request ? call->request->head.body : call->body;
  size_t limit = call->request ? atomic_load (&server->router->body_limit)
                               : ANNOUNCEMENT_MAX_BYTES;
  if (body && call->dropped_bytes == 0 && body->len + *bytes <= limit)
    g_string_append_len (body, upload, (gssize)*bytes);
  else
    call->dropped_bytes += *bytes;
  *bytes = 0;
  return call->dropped_bytes > DROP_MAX_BYTES ? MHD_NO : MHD_YES;
}

static enum MHD_Result
serve_request (struct router_http *server, struct MHD_Connection *connection,
               struct http_call *call)
{
  if (call->dropped_bytes > 0)
    return refuse (server, connection, ROUTER_REFUSAL_TOO_LARGE,
                   "the body exceeds the limit of every service");
  if (!call->posted)
    {
      call->posted = true;
      router_request_post (call->request, ROUTER_EVENT_START);
    }
  return router_stream_queue_response (&call->request->stream);
}

static enum MHD_Result
serve_call (struct router_http *server, struct MHD_Connection *connection,
            const char *url, struct http_call *call)
{
  struct router *router = server->router;
  switch (call->kind)
    {
    case CALL_REQUEST:
      return serve_request (server, connection, call);
    case CALL_ANNOUNCE:
      return router_targets_announce (router, connection, call->body->str,
                                      call->body->len);
    case CALL_TARGETS:
      return router_targets_list (router->registry, connection);
    case CALL_STATUS:
      return http_status_answer (connection, url, router->set,
                                 router_is_ready (router));
    case CALL_STOPPING:
    case CALL_NEW:
    default:
      return refuse (server, connection, ROUTER_REFUSAL_STOPPING,
                     "this router is shutting down; send the request again");
    }
}

static void *
save_uri (void *data, const char *uri, struct MHD_Connection *connection)
{
  struct http_call *call = g_new0 (struct http_call, 1);
  (void)data;
  (void)connection;
  call->uri = g_strdup (uri);
  return call;
}

static enum MHD_Result
handle_request (void *data, struct MHD_Connection *connection, const char *url,
                const char *method, const char *version, const char *upload,
                size_t *upload_bytes, void **state)
{
  struct router_http *server = data;
  struct http_call *call = *state;
  if (call->kind == CALL_NEW)
    {
      const char *fault = http_framing_fault (connection, version);
      return fault
                 ? refuse_invalid_framing (server, connection, fault)
                 : start_call (server, connection, url, method, version, call);
    }
  if (*upload_bytes > 0)
    return receive_upload (server, call, upload, upload_bytes);
  return serve_call (server, connection, url, call);
}

static void
complete_request (void *data, struct MHD_Connection *connection, void **state,
                  enum MHD_RequestTerminationCode code)
{
  struct http_call *call = *state;
  (void)data;
  (void)connection;
  if (!call)
    return;
  if (call->request)
    {
      router_stream_detach (&call->request->stream);
      if (call->posted && code != MHD_REQUEST_TERMINATED_COMPLETED_OK)
        router_request_post (call->request, ROUTER_EVENT_CALLER_LEFT);
      router_request_unref (call->request);
    }
  if (call->body)
    g_string_free (call->body, TRUE);
  g_free (call->uri);
  g_free (call);
  *state = NULL;
}

struct router_http *
router_http_create (struct router *router, const char *address, uint16_t port,
                    uint32_t threads, uint32_t timeout_s)
{
  struct sockaddr_in listen_address = { 0 };
  listen_address.sin_family = AF_INET;
  listen_address.sin_port = htons (port);
  if (inet_pton (AF_INET, address, &listen_address.sin_addr) != 1)
    return NULL;
  struct router_http *server = g_new0 (struct router_http, 1);
  server->router = router;
  server->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_USE_INTERNAL_POLLING_THREAD
          | MHD_ALLOW_SUSPEND_RESUME,
      port, NULL, NULL, handle_request, server, MHD_OPTION_SOCK_ADDR,
      &listen_address, MHD_OPTION_THREAD_POOL_SIZE, (unsigned int)threads,
      MHD_OPTION_CONNECTION_LIMIT, (unsigned int)CACTUS_CALLERS_MAX,
      MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)timeout_s,
      MHD_OPTION_LISTEN_BACKLOG_SIZE, LISTEN_BACKLOG,
      MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_URI_LOG_CALLBACK, save_uri,
      NULL, MHD_OPTION_NOTIFY_COMPLETED, complete_request, NULL,
      MHD_OPTION_END);
  if (!server->daemon)
    {
      g_free (server);
      return NULL;
    }
  return server;
}

uint16_t
router_http_port (const struct router_http *server)
{
  const union MHD_DaemonInfo *info
      = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_BIND_PORT);
  return info ? info->port : 0;
}

void
router_http_destroy (struct router_http *server)
{
  if (!server)
    return;
  MHD_stop_daemon (server->daemon);
  g_free (server);
}
