#include "link_http.h"

#include <arpa/inet.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>

/* Larger request bodies are rejected by closing the connection. */
#define BODY_BYTES_MAX 4096

struct link_http
{
  struct link_relay *relay;
  /* Settings applied now; only the thread of the HTTP server uses them. */
  struct link_settings settings;
  struct MHD_Daemon *daemon;
  uint16_t port;
};

static bool
read_switch (json_t *document, const char *member, bool *value)
{
  json_t *found = json_object_get (document, member);
  if (!found)
    return true;
  *value = json_is_true (found);
  return json_is_boolean (found);
}

static bool
read_number (json_t *document, const char *member, uint64_t maximum,
             uint64_t *value)
{
  json_t *found = json_object_get (document, member);
  if (!found)
    return true;
  json_int_t number = json_integer_value (found);
  if (!json_is_integer (found) || number < 0 || (uint64_t)number > maximum)
    return false;
  *value = (uint64_t)number;
  return true;
}

int
link_settings_read (struct link_settings *settings, const char *text,
                    size_t bytes)
{
  struct link_settings changed = *settings;
  uint64_t delay_ms = changed.delay_ms;
  json_t *document = json_loadb (text, bytes, JSON_REJECT_DUPLICATES, NULL);
  bool clean = json_is_object (document)
               && read_number (document, "delay_ms", 60000, &delay_ms)
               && read_number (document, "bandwidth_bytes_s", UINT32_MAX,
                               &changed.bandwidth_bytes_s)
               && read_switch (document, "cut", &changed.cut)
               && read_switch (document, "refuse", &changed.refuse)
               && read_switch (document, "mute", &changed.mute);
  json_decref (document);
  if (!clean)
    return -1;
  changed.delay_ms = (uint32_t)delay_ms;
  *settings = changed;
  return 0;
}

void
link_settings_apply (const struct link_settings *settings,
                     struct link_relay *relay)
{
  link_relay_set_delay (relay, settings->delay_ms);
  link_relay_set_bandwidth (relay, settings->bandwidth_bytes_s);
  link_relay_set_cut (relay, settings->cut);
  link_relay_set_refuse (relay, settings->refuse);
  link_relay_set_mute (relay, settings->mute);
}

static char *
describe (const struct link_http *http)
{
  const struct link_settings *settings = &http->settings;
  json_t *document = json_pack (
      "{s:I, s:I, s:b, s:b, s:b, s:I}", "delay_ms",
      (json_int_t)settings->delay_ms, "bandwidth_bytes_s",
      (json_int_t)settings->bandwidth_bytes_s, "cut", (int)settings->cut,
      "refuse", (int)settings->refuse, "mute", (int)settings->mute, "bytes",
      (json_int_t)link_relay_forwarded_bytes (http->relay));
  char *text = json_dumps (document, JSON_COMPACT);
  json_decref (document);
  return text;
}

static enum MHD_Result
answer (struct MHD_Connection *connection, unsigned int status, char *text)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), text, MHD_RESPMEM_MUST_FREE);
  MHD_add_response_header (response, "Content-Type", "application/json");
  enum MHD_Result queued = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return queued;
}

static enum MHD_Result
change (struct link_http *http, struct MHD_Connection *connection,
        const GString *body)
{
  if (link_settings_read (&http->settings, body->str, body->len) != 0)
    return answer (
        connection, MHD_HTTP_BAD_REQUEST,
        strdup ("{\"error\":\"settings malformed; nothing was changed\"}"));
  link_settings_apply (&http->settings, http->relay);
  return answer (connection, MHD_HTTP_OK, describe (http));
}

static enum MHD_Result
handle (void *context, struct MHD_Connection *connection, const char *url,
        const char *method, const char *version, const char *upload,
        size_t *upload_bytes, void **state)
{
  struct link_http *http = context;
  GString *body = *state;
  (void)version;
  if (!body)
    {
      *state = g_string_new (NULL);
      return MHD_YES;
    }
  if (*upload_bytes > 0)
    {
      if (body->len + *upload_bytes > BODY_BYTES_MAX)
        return MHD_NO;
      g_string_append_len (body, upload, (gssize)*upload_bytes);
      *upload_bytes = 0;
      return MHD_YES;
    }
  if (strcmp (url, "/link") != 0)
    return answer (connection, MHD_HTTP_NOT_FOUND,
                   strdup ("{\"error\":\"no such path: only /link exists\"}"));
  if (strcmp (method, MHD_HTTP_METHOD_POST) == 0)
    return change (http, connection, body);
  return answer (connection, MHD_HTTP_OK, describe (http));
}

static void
complete (void *context, struct MHD_Connection *connection, void **state,
          enum MHD_RequestTerminationCode reason)
{
  (void)context;
  (void)connection;
  (void)reason;
  if (*state)
    g_string_free (*state, TRUE);
  *state = NULL;
}

struct link_http *
link_http_create (const char *address, uint16_t port, struct link_relay *relay,
                  const struct link_settings *settings)
{
  struct sockaddr_in name
      = { .sin_family = AF_INET, .sin_port = htons (port) };
  if (inet_pton (AF_INET, address, &name.sin_addr) != 1)
    return NULL;
  struct link_http *http = g_new0 (struct link_http, 1);
  http->relay = relay;
  http->settings = *settings;
  link_settings_apply (settings, relay);
  http->daemon = MHD_start_daemon (MHD_USE_AUTO_INTERNAL_THREAD, port, NULL,
                                   NULL, handle, http, MHD_OPTION_SOCK_ADDR,
                                   &name, MHD_OPTION_NOTIFY_COMPLETED,
                                   complete, NULL, MHD_OPTION_END);
  if (!http->daemon)
    {
      g_free (http);
      return NULL;
    }
  http->port
      = MHD_get_daemon_info (http->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
  return http;
}

uint16_t
link_http_port (const struct link_http *http)
{
  return http->port;
}

void
link_http_destroy (struct link_http *http)
{
  if (!http)
    return;
  MHD_stop_daemon (http->daemon);
  g_free (http);
}
