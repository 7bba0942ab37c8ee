/** @file
 *  A TCP relay that stands for a link between availability zones. */

#include "link_relay.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "base_clock.h"
#include "base_settings.h"
#include "link_pipe.h"

#define LISTEN_BACKLOG 256
#define IDLE_WAIT_MS 1000
#define US_A_MS 1000u

struct link_port
{
  int fd;
  struct sockaddr_in to;
};

struct link_connection
{
  int caller_fd;
  int server_fd;
  struct link_pipe *forward;
  struct link_pipe *back;
};

struct link_relay
{
  GMutex mutex;
  struct link_settings settings;
  struct link_lane forward;
  struct link_lane back;
  /** struct link_port. */
  GPtrArray *ports;
  /** struct link_connection. */
  GPtrArray *connections;
  GArray *poll_set;
  int wake_fd;
  bool stopping;
  GThread *thread;
};

static void
free_port (gpointer data)
{
  struct link_port *port = data;
  close (port->fd);
  g_free (port);
}

static void
free_connection (gpointer data)
{
  struct link_connection *connection = data;
  link_pipe_destroy (connection->forward);
  link_pipe_destroy (connection->back);
  close (connection->caller_fd);
  close (connection->server_fd);
  g_free (connection);
}

static void
wake (struct link_relay *relay)
{
  uint64_t one = 1;
  ssize_t put = write (relay->wake_fd, &one, sizeof one);
  (void)put;
}

static void
accept_caller (struct link_relay *relay, const struct link_port *port)
{
  int yes = 1;
  int caller_fd = accept4 (port->fd, NULL, NULL, SOCK_CLOEXEC | SOCK_NONBLOCK);
  if (caller_fd < 0)
    return;
  int server_fd
      = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (relay->settings.cut || server_fd < 0
      || (connect (server_fd, (const struct sockaddr *)&port->to,
                   sizeof port->to)
              != 0
          && errno != EINPROGRESS))
    {
      close (caller_fd);
      if (server_fd >= 0)
        close (server_fd);
      return;
    }
  setsockopt (caller_fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
  setsockopt (server_fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
  struct link_connection *connection = g_new0 (struct link_connection, 1);
  connection->caller_fd = caller_fd;
  connection->server_fd = server_fd;
  connection->forward = link_pipe_create (caller_fd, server_fd);
  connection->back = link_pipe_create (server_fd, caller_fd);
  g_ptr_array_add (relay->connections, connection);
}

static void
add_poll (struct link_relay *relay, int fd, bool wants_read, bool wants_write)
{
  struct pollfd entry = { .fd = fd };
  entry.events
      = (short)((wants_read ? POLLIN : 0) | (wants_write ? POLLOUT : 0));
  /* An entry without events would still report a hang-up again and again. */
  if (!entry.events)
    entry.fd = -1;
  g_array_append_val (relay->poll_set, entry);
}

/* Fills the poll set; gives the time to wait, in milliseconds. */
static int
prepare_round (struct link_relay *relay, uint64_t now_us)
{
  uint64_t wait_us = IDLE_WAIT_MS * US_A_MS;
  g_array_set_size (relay->poll_set, 0);
  add_poll (relay, relay->wake_fd, true, false);
  for (guint i = 0; i < relay->ports->len; i++)
    add_poll (relay, ((struct link_port *)relay->ports->pdata[i])->fd, true,
              false);
  for (guint i = 0; i < relay->connections->len; i++)
    {
      struct link_connection *connection = relay->connections->pdata[i];
      uint64_t forward_us
          = link_pipe_due_us (connection->forward, &relay->forward, now_us);
      uint64_t back_us
          = link_pipe_due_us (connection->back, &relay->back, now_us);
      add_poll (relay, connection->caller_fd,
                link_pipe_wants_read (connection->forward, &relay->forward),
                back_us == 0);
      add_poll (relay, connection->server_fd,
                link_pipe_wants_read (connection->back, &relay->back),
                forward_us == 0);
      if (forward_us > 0)
        wait_us = MIN (wait_us, forward_us);
      if (back_us > 0)
        wait_us = MIN (wait_us, back_us);
    }
  return (int)((wait_us + US_A_MS - 1) / US_A_MS);
}

static bool
move_bytes (struct link_relay *relay, struct link_connection *connection,
            short caller_events, short server_events, uint64_t now_us)
{
  if ((caller_events & (POLLIN | POLLHUP | POLLERR))
      && link_pipe_wants_read (connection->forward, &relay->forward)
      && !link_pipe_read (connection->forward, &relay->forward, now_us))
    return false;
  if ((server_events & (POLLIN | POLLHUP | POLLERR))
      && link_pipe_wants_read (connection->back, &relay->back)
      && !link_pipe_read (connection->back, &relay->back, now_us))
    return false;
  if (!link_pipe_write (connection->forward, &relay->forward, now_us)
      || !link_pipe_write (connection->back, &relay->back, now_us))
    return false;
  return !link_pipe_finished (connection->forward)
         || !link_pipe_finished (connection->back);
}

static void
finish_round (struct link_relay *relay, guint polled_ports,
              guint polled_connections, uint64_t now_us)
{
  const struct pollfd *set = (const struct pollfd *)relay->poll_set->data;
  const struct pollfd *of_connections = set + 1 + polled_ports;
  for (guint i = polled_connections; i-- > 0;)
    {
      struct link_connection *connection = relay->connections->pdata[i];
      if (relay->settings.cut
          || !move_bytes (relay, connection, of_connections[2 * i].revents,
                          of_connections[2 * i + 1].revents, now_us))
        g_ptr_array_remove_index_fast (relay->connections, i);
    }
  for (guint i = 0; i < polled_ports; i++)
    if (set[1 + i].revents)
      accept_caller (relay, relay->ports->pdata[i]);
}

static gpointer
run (gpointer data)
{
  struct link_relay *relay = data;
  struct base_clock *clock = base_clock_system ();
  uint64_t count;
  g_mutex_lock (&relay->mutex);
  while (!relay->stopping)
    {
      int wait_ms = prepare_round (relay, base_clock_now_us (clock));
      guint ports = relay->ports->len;
      guint connections = relay->connections->len;
      struct pollfd *set = (struct pollfd *)relay->poll_set->data;
      guint size = relay->poll_set->len;
      g_mutex_unlock (&relay->mutex);
      poll (set, size, wait_ms);
      g_mutex_lock (&relay->mutex);
      if (set[0].revents)
        {
          ssize_t got = read (relay->wake_fd, &count, sizeof count);
          (void)got;
        }
      finish_round (relay, ports, connections, base_clock_now_us (clock));
    }
  g_mutex_unlock (&relay->mutex);
  return NULL;
}

struct link_relay *
link_relay_create (void)
{
  struct link_relay *relay = g_new0 (struct link_relay, 1);
  g_mutex_init (&relay->mutex);
  relay->ports = g_ptr_array_new_with_free_func (free_port);
  relay->connections = g_ptr_array_new_with_free_func (free_connection);
  relay->poll_set = g_array_new (FALSE, TRUE, sizeof (struct pollfd));
  relay->wake_fd = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  relay->thread = g_thread_new ("link", run, relay);
  return relay;
}

static bool
parse_endpoint (const char *endpoint, struct sockaddr_in *name)
{
  char address[16];
  uint16_t port;
  if (base_endpoint_split (endpoint, address, &port) != 0)
    {
      errno = EINVAL;
      return false;
    }
  *name = (struct sockaddr_in){ .sin_family = AF_INET };
  name->sin_port = htons (port);
  return inet_pton (AF_INET, address, &name->sin_addr) == 1;
}

/* Listens on @p name and puts the kernel's port into it; -1 on failure. */
static int
listen_on (struct sockaddr_in *name)
{
  int yes = 1;
  socklen_t length = sizeof *name;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  if (bind (fd, (struct sockaddr *)name, sizeof *name) == 0
      && listen (fd, LISTEN_BACKLOG) == 0
      && getsockname (fd, (struct sockaddr *)name, &length) == 0)
    return fd;
  int error = errno;
  close (fd);
  errno = error;
  return -1;
}

uint16_t
link_relay_add (struct link_relay *relay, const char *listen, const char *to)
{
  struct sockaddr_in name;
  struct sockaddr_in server;
  if (!parse_endpoint (listen, &name) || !parse_endpoint (to, &server))
    return 0;
  int fd = listen_on (&name);
  if (fd < 0)
    return 0;
  struct link_port *port = g_new0 (struct link_port, 1);
  port->fd = fd;
  port->to = server;
  g_mutex_lock (&relay->mutex);
  g_ptr_array_add (relay->ports, port);
  g_mutex_unlock (&relay->mutex);
  wake (relay);
  return ntohs (name.sin_port);
}

void
link_relay_set (struct link_relay *relay, const struct link_settings *settings)
{
  g_mutex_lock (&relay->mutex);
  relay->settings = *settings;
  relay->forward.delay_us = settings->delay_ms * (uint64_t)US_A_MS;
  relay->back.delay_us = relay->forward.delay_us;
  relay->forward.bandwidth_bytes_s = settings->bandwidth_bytes_s;
  relay->back.bandwidth_bytes_s = settings->bandwidth_bytes_s;
  relay->forward.frozen = settings->freeze_forward;
  relay->back.frozen = settings->freeze_back;
  g_mutex_unlock (&relay->mutex);
  wake (relay);
}

void
link_relay_settings (struct link_relay *relay, struct link_settings *settings)
{
  g_mutex_lock (&relay->mutex);
  *settings = relay->settings;
  g_mutex_unlock (&relay->mutex);
}

void
link_relay_counts (struct link_relay *relay, struct link_counts *counts)
{
  g_mutex_lock (&relay->mutex);
  counts->forward_bytes = relay->forward.passed_bytes;
  counts->back_bytes = relay->back.passed_bytes;
  counts->connections = relay->connections->len;
  g_mutex_unlock (&relay->mutex);
}

void
link_relay_destroy (struct link_relay *relay)
{
  if (!relay)
    return;
  g_mutex_lock (&relay->mutex);
  relay->stopping = true;
  g_mutex_unlock (&relay->mutex);
  wake (relay);
  g_thread_join (relay->thread);
  g_ptr_array_unref (relay->connections);
  g_ptr_array_unref (relay->ports);
  g_array_unref (relay->poll_set);
  close (relay->wake_fd);
  g_mutex_clear (&relay->mutex);
  g_free (relay);
}
