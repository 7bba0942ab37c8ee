#include "http_status.h"

#include <arpa/inet.h>
#include <string.h>

#include <glib.h>

#define CONNECTIONS_MAX 64
#define IDLE_TIMEOUT_S 10

struct http_status
{
  struct MHD_Daemon *daemon;
  struct base_metrics *metrics;
  bool (*ready) (void *context);
  void *context;
};

static enum MHD_Result
answer_text (struct MHD_Connection *connection, unsigned int code,
             const char *text, size_t bytes)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      bytes, (void *)text, MHD_RESPMEM_MUST_COPY);
  if (!response)
    return MHD_NO;
  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE,
                           "text/plain; charset=utf-8");
  enum MHD_Result result = MHD_queue_response (connection, code, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
answer_metrics (struct MHD_Connection *connection,
                struct base_metrics *metrics)
{
  GString *text = g_string_new (NULL);
  base_metrics_render (metrics, text);
  enum MHD_Result result
      = answer_text (connection, MHD_HTTP_OK, text->str, text->len);
  g_string_free (text, TRUE);
  return result;
}

bool
http_status_is_page (const char *url)
{
  return strcmp (url, "/healthz") == 0 || strcmp (url, "/readyz") == 0
         || strcmp (url, "/metrics") == 0;
}

enum MHD_Result
http_status_answer (struct MHD_Connection *connection, const char *url,
                    struct base_metrics *metrics, bool ready)
{
  if (strcmp (url, "/healthz") == 0)
    return answer_text (connection, MHD_HTTP_OK, "ok\n", 3);
  if (strcmp (url, "/metrics") == 0)
    return answer_metrics (connection, metrics);
  if (strcmp (url, "/readyz") != 0)
    return answer_text (connection, MHD_HTTP_NOT_FOUND, "not found\n", 10);
  if (ready)
    return answer_text (connection, MHD_HTTP_OK, "ready\n", 6);
  return answer_text (connection, MHD_HTTP_SERVICE_UNAVAILABLE, "not ready\n",
                      10);
}

static enum MHD_Result
handle_request (void *data, struct MHD_Connection *connection, const char *url,
                const char *method, const char *version, const char *upload,
                size_t *upload_bytes, void **state)
{
  struct http_status *status = data;
  (void)version;
  (void)upload;
  *state = status;
  if (*upload_bytes > 0)
    {
      *upload_bytes = 0;
      return MHD_YES;
    }
  if (strcmp (method, MHD_HTTP_METHOD_GET) != 0)
    return answer_text (connection, MHD_HTTP_METHOD_NOT_ALLOWED,
                        "method not allowed\n", 19);
  return http_status_answer (connection, url, status->metrics,
                             status->ready (status->context));
}

struct http_status *
http_status_create (const char *address, uint16_t port,
                    struct base_metrics *metrics,
                    bool (*ready) (void *context), void *context)
{
  struct sockaddr_in listen_address = { 0 };
  listen_address.sin_family = AF_INET;
  listen_address.sin_port = htons (port);
  if (inet_pton (AF_INET, address, &listen_address.sin_addr) != 1)
    return NULL;
  struct http_status *status = g_new0 (struct http_status, 1);
  status->metrics = metrics;
  status->ready = ready;
  status->context = context;
  status->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_USE_INTERNAL_POLLING_THREAD, port, NULL, NULL,
      handle_request, status, MHD_OPTION_SOCK_ADDR, &listen_address,
      MHD_OPTION_CONNECTION_LIMIT, CONNECTIONS_MAX,
      MHD_OPTION_CONNECTION_TIMEOUT, IDLE_TIMEOUT_S, MHD_OPTION_END);
  if (!status->daemon)
    {
      g_free (status);
      return NULL;
    }
  return status;
}

uint16_t
http_status_port (const struct http_status *status)
{
  const union MHD_DaemonInfo *info
      = MHD_get_daemon_info (status->daemon, MHD_DAEMON_INFO_BIND_PORT);
  return info ? info->port : 0;
}

void
http_status_destroy (struct http_status *status)
{
  if (!status)
    return;
  MHD_stop_daemon (status->daemon);
  g_free (status);
}
