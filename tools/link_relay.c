#include "link_relay.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "base_clock.h"
#include "link_direction.h"

/* Poll timeout while bytes are held, which bounds how late they are sent. */
#define HOLDING_POLL_MS 5
/* Poll timeout while no bytes are held. */
#define IDLE_POLL_MS 100
#define LISTEN_BACKLOG 128

/* A connection of a caller, relayed to the server. */
struct link_connection
{
  struct link_direction to_server;
  struct link_direction to_caller;
  uint16_t server_port;
  bool failed;
};

struct link_listener
{
  int fd;
  struct sockaddr_in to;
};

struct link_relay
{
  GMutex mutex;
  GArray *listeners;
  GPtrArray *connections;
  GArray *poll_set;
  GThread *thread;
  int wake_fd;
  atomic_bool stopping;
  atomic_bool cut;
  atomic_bool refuse;
  atomic_bool mute;
  _Atomic uint32_t delay_ms;
  _Atomic uint64_t bytes_per_s;
  _Atomic uint64_t total_bytes;
  /* Token bucket of each direction, the one to the server first: bytes that
     may be sent now, and when that was computed. */
  double allowance[2];
  uint64_t allowance_us;
};

static uint64_t
now_us (void)
{
  return base_clock_now_us (base_clock_system ());
}

static void
free_connection (gpointer data)
{
  struct link_connection *connection = data;
  link_direction_clear (&connection->to_server);
  link_direction_clear (&connection->to_caller);
  close (connection->to_server.from_fd);
  close (connection->to_server.to_fd);
  g_free (connection);
}

static void
accept_connection (struct link_relay *relay,
                   const struct link_listener *listener)
{
  int caller
      = accept4 (listener->fd, NULL, NULL, SOCK_CLOEXEC | SOCK_NONBLOCK);
  if (caller < 0)
    return;
  if (atomic_load (&relay->refuse))
    {
      close (caller);
      return;
    }
  int server = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const struct sockaddr *to = (const struct sockaddr *)&listener->to;
  if (server < 0 || connect (server, to, sizeof listener->to) != 0)
    {
      if (server >= 0)
        close (server);
      close (caller);
      return;
    }
  fcntl (server, F_SETFL, fcntl (server, F_GETFL) | O_NONBLOCK);
  struct link_connection *connection = g_new0 (struct link_connection, 1);
  connection->server_port = ntohs (listener->to.sin_port);
  link_direction_init (&connection->to_server, caller, server);
  link_direction_init (&connection->to_caller, server, caller);
  g_ptr_array_add (relay->connections, connection);
}

/* Refills the token buckets; each holds at most a tenth of a second's
   bytes. */
static void
refill_allowance (struct link_relay *relay)
{
  uint64_t now = now_us ();
  double rate = (double)atomic_load (&relay->bytes_per_s);
  double gained = rate * (double)(now - relay->allowance_us) / 1e6;
  relay->allowance_us = now;
  for (int i = 0; i < 2; i++)
    relay->allowance[i] = MIN (relay->allowance[i] + gained, rate / 10 + 1);
}

/* Moves the bytes of one connection; false when it failed. */
static bool
move_connection (struct link_relay *relay, struct link_connection *connection)
{
  uint64_t passed_bytes = 0;
  uint32_t delay_ms = atomic_load (&relay->delay_ms);
  bool limited = atomic_load (&relay->bytes_per_s) != 0;
  bool works = link_direction_read (&connection->to_server, delay_ms)
               && link_direction_read (&connection->to_caller, delay_ms)
               && link_direction_write (&connection->to_server,
                                        limited ? &relay->allowance[0] : NULL,
                                        &passed_bytes);
  if (works && !atomic_load (&relay->mute))
    works = link_direction_write (&connection->to_caller,
                                  limited ? &relay->allowance[1] : NULL,
                                  &passed_bytes);
  atomic_fetch_add (&relay->total_bytes, passed_bytes);
  return works;
}

static void
move_bytes (struct link_relay *relay)
{
  bool refuse = atomic_load (&relay->refuse);
  refill_allowance (relay);
  for (guint i = 0; i < relay->connections->len; i++)
    {
      struct link_connection *connection = relay->connections->pdata[i];
      connection->failed = refuse || !move_connection (relay, connection);
    }
  for (guint i = relay->connections->len; i > 0; i--)
    {
      struct link_connection *connection = relay->connections->pdata[i - 1];
      if (connection->failed
          || (connection->to_server.to_closed
              && connection->to_caller.to_closed))
        g_ptr_array_remove_index_fast (relay->connections, i - 1);
    }
}

static void
add_poll (struct link_relay *relay, int fd)
{
  struct pollfd entry = { .fd = fd, .events = POLLIN };
  g_array_append_val (relay->poll_set, entry);
}

static void
poll_direction (struct link_relay *relay,
                const struct link_direction *direction)
{
  if (link_direction_has_room (direction))
    add_poll (relay, direction->from_fd);
}

/* Collects the descriptors to poll, while cut only the wake-up; returns
   whether bytes are held that will be due later. */
static bool
fill_poll_set (struct link_relay *relay, bool cut)
{
  bool holding = false;
  g_array_set_size (relay->poll_set, 0);
  add_poll (relay, relay->wake_fd);
  for (guint i = 0; !cut && i < relay->listeners->len; i++)
    add_poll (relay,
              g_array_index (relay->listeners, struct link_listener, i).fd);
  for (guint i = 0; !cut && i < relay->connections->len; i++)
    {
      const struct link_connection *connection = relay->connections->pdata[i];
      poll_direction (relay, &connection->to_server);
      poll_direction (relay, &connection->to_caller);
      holding |= connection->to_server.held_bytes
                     + connection->to_caller.held_bytes
                 > 0;
    }
  return holding;
}

static void
wait_for_work (struct link_relay *relay, bool holding)
{
  struct pollfd *set = (struct pollfd *)relay->poll_set->data;
  poll (set, relay->poll_set->len, holding ? HOLDING_POLL_MS : IDLE_POLL_MS);
  if (set[0].revents)
    {
      uint64_t count;
      ssize_t got = read (relay->wake_fd, &count, sizeof count);
      (void)got;
    }
}

static void
accept_all (struct link_relay *relay)
{
  for (guint i = 0; i < relay->listeners->len; i++)
    {
      const struct link_listener *listener
          = &g_array_index (relay->listeners, struct link_listener, i);
      struct pollfd ready = { .fd = listener->fd, .events = POLLIN };
      while (poll (&ready, 1, 0) == 1)
        accept_connection (relay, listener);
    }
}

static gpointer
run_relay (gpointer data)
{
  struct link_relay *relay = data;
  while (!atomic_load (&relay->stopping))
    {
      bool cut = atomic_load (&relay->cut);
      g_mutex_lock (&relay->mutex);
      if (!cut)
        {
          accept_all (relay);
          move_bytes (relay);
        }
      bool holding = fill_poll_set (relay, cut);
      g_mutex_unlock (&relay->mutex);
      wait_for_work (relay, holding);
    }
  return NULL;
}

static void
wake (struct link_relay *relay)
{
  uint64_t one = 1;
  ssize_t put = write (relay->wake_fd, &one, sizeof one);
  (void)put;
}

struct link_relay *
link_relay_create (void)
{
  struct link_relay *relay = g_new0 (struct link_relay, 1);
  g_mutex_init (&relay->mutex);
  relay->listeners = g_array_new (FALSE, FALSE, sizeof (struct link_listener));
  relay->connections = g_ptr_array_new_with_free_func (free_connection);
  relay->poll_set = g_array_new (FALSE, TRUE, sizeof (struct pollfd));
  relay->wake_fd = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  relay->allowance_us = now_us ();
  relay->thread = g_thread_new ("link", run_relay, relay);
  return relay;
}

void
link_relay_destroy (struct link_relay *relay)
{
  if (!relay)
    return;
  atomic_store (&relay->stopping, true);
  wake (relay);
  g_thread_join (relay->thread);
  for (guint i = 0; i < relay->listeners->len; i++)
    close (g_array_index (relay->listeners, struct link_listener, i).fd);
  g_array_unref (relay->listeners);
  g_ptr_array_unref (relay->connections);
  g_array_unref (relay->poll_set);
  close (relay->wake_fd);
  g_mutex_clear (&relay->mutex);
  g_free (relay);
}

static int
listen_on (const char *address, uint16_t port)
{
  int yes = 1;
  struct sockaddr_in name
      = { .sin_family = AF_INET, .sin_port = htons (port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  if (inet_pton (AF_INET, address, &name.sin_addr) == 1
      && bind (fd, (struct sockaddr *)&name, sizeof name) == 0
      && listen (fd, LISTEN_BACKLOG) == 0)
    return fd;
  close (fd);
  return -1;
}

uint16_t
link_relay_add_listener (struct link_relay *relay, const char *listen_address,
                         uint16_t listen_port, const char *to_address,
                         uint16_t to_port)
{
  struct sockaddr_in name = { 0 };
  socklen_t length = sizeof name;
  struct link_listener listener
      = { .fd = listen_on (listen_address, listen_port),
          .to = { .sin_family = AF_INET, .sin_port = htons (to_port) } };
  if (listener.fd < 0)
    return 0;
  inet_pton (AF_INET, to_address, &listener.to.sin_addr);
  getsockname (listener.fd, (struct sockaddr *)&name, &length);
  g_mutex_lock (&relay->mutex);
  g_array_append_val (relay->listeners, listener);
  g_mutex_unlock (&relay->mutex);
  wake (relay);
  return ntohs (name.sin_port);
}

void
link_relay_set_delay (struct link_relay *relay, uint32_t delay_ms)
{
  atomic_store (&relay->delay_ms, delay_ms);
}

void
link_relay_set_bandwidth (struct link_relay *relay, uint64_t bytes_per_s)
{
  atomic_store (&relay->bytes_per_s, bytes_per_s);
}

void
link_relay_set_cut (struct link_relay *relay, bool cut)
{
  atomic_store (&relay->cut, cut);
  wake (relay);
}

void
link_relay_set_refuse (struct link_relay *relay, bool refuse)
{
  atomic_store (&relay->refuse, refuse);
  wake (relay);
}

void
link_relay_set_mute (struct link_relay *relay, bool mute)
{
  atomic_store (&relay->mute, mute);
  wake (relay);
}

static void
silence_connection (struct link_connection *connection, enum link_sides sides,
                    struct base_random *random)
{
  if (sides == LINK_EITHER)
    sides
        = base_random_below (random, 2) == 0 ? LINK_TO_SERVER : LINK_TO_CALLER;
  connection->to_server.silent |= (sides & LINK_TO_SERVER) != 0;
  connection->to_caller.silent |= (sides & LINK_TO_CALLER) != 0;
}

void
link_relay_silence (struct link_relay *relay, enum link_sides sides,
                    uint32_t percent, struct base_random *random)
{
  g_mutex_lock (&relay->mutex);
  for (guint i = 0; i < relay->connections->len; i++)
    if (base_random_below (random, 100) < percent)
      silence_connection (relay->connections->pdata[i], sides, random);
  g_mutex_unlock (&relay->mutex);
  wake (relay);
}

void
link_relay_silence_port (struct link_relay *relay, enum link_sides sides,
                         uint16_t server_port)
{
  g_mutex_lock (&relay->mutex);
  for (guint i = 0; i < relay->connections->len; i++)
    {
      struct link_connection *connection = relay->connections->pdata[i];
      if (connection->server_port == server_port)
        silence_connection (connection, sides, NULL);
    }
  g_mutex_unlock (&relay->mutex);
  wake (relay);
}

uint64_t
link_relay_forwarded_bytes (const struct link_relay *relay)
{
  return atomic_load (&relay->total_bytes);
}
