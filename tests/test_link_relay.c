/** @file
 *  Test of cuts of a simulated link: the relay forwards bytes, holds bytes and
 *  new connections while it is cut, and forwards them after the heal. */

#include <arpa/inet.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "link_relay.h"

static int
make_socket (struct sockaddr_in *name)
{
  memset (name, 0, sizeof *name);
  name->sin_family = AF_INET;
  name->sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  return socket (AF_INET, SOCK_STREAM, 0);
}

static int
listen_any (uint16_t *port)
{
  struct sockaddr_in name;
  socklen_t length = sizeof name;
  int fd = make_socket (&name);
  g_assert_cmpint (bind (fd, (struct sockaddr *)&name, sizeof name), ==, 0);
  g_assert_cmpint (listen (fd, 8), ==, 0);
  getsockname (fd, (struct sockaddr *)&name, &length);
  *port = ntohs (name.sin_port);
  return fd;
}

static int
connect_to (uint16_t port)
{
  struct sockaddr_in name;
  int fd = make_socket (&name);
  name.sin_port = htons (port);
  g_assert_cmpint (connect (fd, (struct sockaddr *)&name, sizeof name), ==, 0);
  return fd;
}

static void
assert_receives (int fd, const char *text)
{
  char buffer[64] = { 0 };
  g_assert_cmpint (recv (fd, buffer, strlen (text), MSG_WAITALL), ==,
                   (ssize_t)strlen (text));
  g_assert_cmpstr (buffer, ==, text);
}

static void
test_cut_and_heal (void)
{
  uint16_t port;
  int listener = listen_any (&port);
  struct link_relay *relay = link_relay_create ();
  link_relay_set_delay (relay, 20);
  uint16_t relay_port
      = link_relay_add_listener (relay, "127.0.0.1", 0, "127.0.0.1", port);
  g_assert_cmpuint (relay_port, !=, 0);
  int caller = connect_to (relay_port);
  int server = accept (listener, NULL, NULL);
  g_assert_cmpint (send (caller, "one", 3, 0), ==, 3);
  assert_receives (server, "one");
  link_relay_set_cut (relay, true);
  g_assert_cmpint (send (caller, "two", 3, 0), ==, 3);
  struct pollfd wait = { .fd = server, .events = POLLIN };
  g_assert_cmpint (poll (&wait, 1, 200), ==, 0);
  int late = connect_to (relay_port);
  link_relay_set_cut (relay, false);
  assert_receives (server, "two");
  int late_server = accept (listener, NULL, NULL);
  g_assert_cmpint (send (late_server, "three", 5, 0), ==, 5);
  assert_receives (late, "three");
  close (caller);
  g_assert_cmpint (recv (server, &wait, 1, 0), ==, 0);
  g_assert_cmpuint (link_relay_forwarded_bytes (relay), ==, 11);
  close (server);
  close (late);
  close (late_server);
  close (listener);
  link_relay_destroy (relay);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/link_relay/cut-and-heal", test_cut_and_heal);
  return g_test_run ();
}
