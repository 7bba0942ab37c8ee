/** @file
 *  Tests of the relay that simulates a link: it forwards bytes unchanged, its
 *  faults hold bytes or close connections, and its settings are validated. */

#include <arpa/inet.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "base_random.h"
#include "link_http.h"
#include "link_relay.h"

#define ECHO_BYTES 300000

struct echo_server
{
  int fd;
  uint16_t port;
  GThread *thread;
};

static int
listen_local (uint16_t *port)
{
  struct sockaddr_in name = { .sin_family = AF_INET };
  socklen_t length = sizeof name;
  name.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  g_assert_cmpint (bind (fd, (struct sockaddr *)&name, sizeof name), ==, 0);
  g_assert_cmpint (listen (fd, 8), ==, 0);
  getsockname (fd, (struct sockaddr *)&name, &length);
  *port = ntohs (name.sin_port);
  return fd;
}

/* Sends back what it receives, one connection at a time, until the listener
   is shut down. */
static gpointer
echo (gpointer data)
{
  struct echo_server *server = data;
  char buffer[4096];
  int fd;
  while ((fd = accept (server->fd, NULL, NULL)) >= 0)
    {
      ssize_t got;
      while ((got = recv (fd, buffer, sizeof buffer, 0)) > 0)
        if (send (fd, buffer, (size_t)got, MSG_NOSIGNAL) != got)
          break;
      close (fd);
    }
  return NULL;
}

static void
start_echo (struct echo_server *server)
{
  server->fd = listen_local (&server->port);
  server->thread = g_thread_new ("echo", echo, server);
}

static void
stop_echo (struct echo_server *server)
{
  shutdown (server->fd, SHUT_RDWR);
  g_thread_join (server->thread);
  close (server->fd);
}

static int
connect_to (uint16_t port)
{
  struct sockaddr_in name
      = { .sin_family = AF_INET, .sin_port = htons (port) };
  name.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  g_assert_cmpint (connect (fd, (struct sockaddr *)&name, sizeof name), ==, 0);
  return fd;
}

/* An echo server's answer passes unchanged through a link with delay and
   limited bandwidth, and so does a half-close of the connection. */
static void
test_passes (void)
{
  struct echo_server server;
  struct base_random random;
  uint8_t *sent = g_malloc (ECHO_BYTES);
  uint8_t *got = g_malloc (ECHO_BYTES);
  base_random_seed (&random, 11);
  for (size_t i = 0; i < ECHO_BYTES; i++)
    sent[i] = (uint8_t)base_random_next (&random);
  start_echo (&server);
  struct link_relay *relay = link_relay_create ();
  link_relay_set_delay (relay, 5);
  link_relay_set_bandwidth (relay, 4000000);
  int fd = connect_to (link_relay_add_listener (relay, "127.0.0.1", 0,
                                                "127.0.0.1", server.port));
  size_t sent_bytes = 0;
  size_t got_bytes = 0;
  while (got_bytes < ECHO_BYTES)
    {
      size_t left = MIN (10000, ECHO_BYTES - sent_bytes);
      if (left > 0)
        sent_bytes += (size_t)send (fd, sent + sent_bytes, left, 0);
      ssize_t part = recv (fd, got + got_bytes, ECHO_BYTES - got_bytes, 0);
      g_assert_cmpint (part, >, 0);
      got_bytes += (size_t)part;
    }
  g_assert_cmpmem (got, got_bytes, sent, sent_bytes);
  shutdown (fd, SHUT_WR);
  g_assert_cmpint (recv (fd, got, 1, 0), ==, 0);
  close (fd);
  g_assert_cmpuint (link_relay_forwarded_bytes (relay), ==, 2 * ECHO_BYTES);
  stop_echo (&server);
  link_relay_destroy (relay);
  g_free (sent);
  g_free (got);
}

/* Mute holds answers without closing the connection; refuse closes open and
   new connections; both end when they are switched off. */
static void
test_faults (void)
{
  struct echo_server server;
  char byte = 'x';
  start_echo (&server);
  struct link_relay *relay = link_relay_create ();
  uint16_t port = link_relay_add_listener (relay, "127.0.0.1", 0, "127.0.0.1",
                                           server.port);
  int fd = connect_to (port);
  struct pollfd wait = { .fd = fd, .events = POLLIN };
  link_relay_set_mute (relay, true);
  send (fd, &byte, 1, 0);
  /* No answer, and the connection stays open. */
  g_assert_cmpint (poll (&wait, 1, 100), ==, 0);
  link_relay_set_mute (relay, false);
  g_assert_cmpint (recv (fd, &byte, 1, 0), ==, 1);
  link_relay_set_refuse (relay, true);
  g_assert_cmpint (recv (fd, &byte, 1, 0), <=, 0);
  close (fd);
  fd = connect_to (port);
  g_assert_cmpint (recv (fd, &byte, 1, 0), <=, 0);
  close (fd);
  link_relay_set_refuse (relay, false);
  fd = connect_to (port);
  send (fd, &byte, 1, 0);
  g_assert_cmpint (recv (fd, &byte, 1, 0), ==, 1);
  close (fd);
  stop_echo (&server);
  link_relay_destroy (relay);
}

/* Settings that are not named stay; malformed ones are rejected. */
static void
test_settings (void)
{
  static const char good[] = "{\"delay_ms\":30,\"cut\":true}";
  static const char *const bad[] = { "", "[]", "{\"delay_ms\":-1}",
                                     "{\"cut\":1}", "{\"delay_ms\":60001}" };
  struct link_settings settings = { .bandwidth_bytes_s = 9 };
  g_assert_cmpint (link_settings_read (&settings, good, sizeof good - 1), ==,
                   0);
  g_assert_cmpuint (settings.delay_ms, ==, 30);
  g_assert_cmpuint (settings.bandwidth_bytes_s, ==, 9);
  g_assert_true (settings.cut);
  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    g_assert_cmpint (link_settings_read (&settings, bad[i], strlen (bad[i])),
                     ==, -1);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/link/passes", test_passes);
  g_test_add_func ("/link/faults", test_faults);
  g_test_add_func ("/link/settings", test_settings);
  return g_test_run ();
}
