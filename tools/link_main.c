/** @file
 *  cactus-link: TCP relay for trials that simulates a link between
 *  availability zones and is controlled over HTTP. */

#include <errno.h>
#include <signal.h>
#include <string.h>

#include <glib.h>

#include "base_log.h"
#include "base_settings.h"
#include "link_http.h"
#include "link_relay.h"

struct link_options
{
  char **listen;
  char **to;
  char *http;
  char *ready_file;
  uint64_t delay_ms;
  uint64_t bandwidth_bytes_s;
};

static uint16_t
add_port (struct link_relay *relay, const char *listen, const char *to)
{
  char listen_address[16];
  char to_address[16];
  uint16_t listen_port = 0;
  uint16_t to_port = 0;
  base_endpoint_split (listen, listen_address, &listen_port);
  base_endpoint_split (to, to_address, &to_port);
  return link_relay_add_listener (relay, listen_address, listen_port,
                                  to_address, to_port);
}

/* Adds a listener for each pair of endpoints; the ports listened on,
   separated by commas, or NULL after a log line. */
static GString *
add_ports (struct link_relay *relay, const struct link_options *options)
{
  if (g_strv_length (options->listen) != g_strv_length (options->to))
    {
      base_log (BASE_LOG_ERROR, "settings-wrong text=\"--listen and --to must "
                                "list the same number of endpoints\"");
      return NULL;
    }
  GString *ports = g_string_new (NULL);
  for (char **listen = options->listen; *listen; listen++)
    {
      uint16_t port
          = add_port (relay, *listen, options->to[listen - options->listen]);
      if (port == 0)
        {
          base_log (BASE_LOG_ERROR, "listen-failed endpoint=%s error=\"%s\"",
                    *listen, g_strerror (errno));
          g_string_free (ports, TRUE);
          return NULL;
        }
      g_string_append_printf (ports, "%s%u", ports->len ? "," : "", port);
    }
  return ports;
}

static bool
write_ready (const struct link_options *options, const GString *ports,
             uint16_t http_port)
{
  if (!options->ready_file)
    return true;
  char *line
      = g_strdup_printf ("{\"rpc_port\":0,\"http_port\":%u,\"ports\":[%s]}\n",
                         http_port, ports->str);
  bool written = g_file_set_contents (options->ready_file, line, -1, NULL);
  g_free (line);
  return written;
}

static int
serve (struct link_relay *relay, const struct link_options *options,
       const sigset_t *stop_signals)
{
  char address[16];
  uint16_t port = 0;
  int number = 0;
  int status = 1;
  struct link_http *http = NULL;
  const struct link_settings faults
      = { .delay_ms = (uint32_t)options->delay_ms,
          .bandwidth_bytes_s = options->bandwidth_bytes_s };
  GString *ports = add_ports (relay, options);
  if (!ports)
    return 1;
  base_endpoint_split (options->http, address, &port);
  http = link_http_create (address, port, relay, &faults);
  if (!http || !write_ready (options, ports, link_http_port (http)))
    {
      base_log (BASE_LOG_ERROR, "start-failed error=\"%s\"",
                g_strerror (errno));
      goto done;
    }
  base_log (BASE_LOG_NOTICE, "serving ports=%s http_port=%u", ports->str,
            link_http_port (http));
  sigwait (stop_signals, &number);
  base_log (BASE_LOG_NOTICE, "stopping signal=%d", number);
  status = 0;
done:
  link_http_destroy (http);
  g_string_free (ports, TRUE);
  return status;
}

int
main (int argc, char **argv)
{
  struct link_options options = { 0 };
  sigset_t stop_signals;
  const struct base_setting settings[]
      = { { "listen", BASE_SETTING_ENDPOINTS, &options.listen, NULL, true, 0,
            0, "Endpoints to listen on; port 0: the kernel picks one" },
          { "to", BASE_SETTING_ENDPOINTS, &options.to, NULL, true, 0, 0,
            "Endpoints to relay to, one for each endpoint of --listen" },
          { "http", BASE_SETTING_ENDPOINT, &options.http, "127.0.0.1:0", false,
            0, 0,
            "HTTP endpoint that controls the relay (GET and POST /link)" },
          { "ready-file", BASE_SETTING_STRING, &options.ready_file, NULL,
            false, 0, 0, "File that the ports are written to once serving" },
          { "delay-ms", BASE_SETTING_NUMBER, &options.delay_ms, "0", false, 0,
            60000, "One-way delay in milliseconds" },
          { "bandwidth-bytes-s", BASE_SETTING_NUMBER,
            &options.bandwidth_bytes_s, "0", false, 0, UINT32_MAX,
            "Bandwidth of each direction in bytes a second; 0: unlimited" },
          { 0 } };
  enum base_settings_outcome outcome = base_settings_read (
      argc, argv,
      "Relays TCP connections with the delay and faults of a link.", settings);
  int status = outcome == BASE_SETTINGS_INVALID ? 2 : 0;
  if (outcome != BASE_SETTINGS_RUN)
    goto done;
  base_log_open ("cactus-link", "link");
  sigemptyset (&stop_signals);
  sigaddset (&stop_signals, SIGTERM);
  sigaddset (&stop_signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, &stop_signals, NULL);
  struct link_relay *relay = link_relay_create ();
  status = serve (relay, &options, &stop_signals);
  link_relay_destroy (relay);
done:
  base_settings_clear (settings);
  return status;
}
