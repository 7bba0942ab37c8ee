#include "wire_server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "base_clock.h"
#include "base_log.h"
#include "wire_connection.h"

#define LISTEN_BACKLOG 1024
/* Maximum number of programs of one server. */
#define PROGRAMS_MAX 8
/* Entries of the poll set before those of the connections: the eventfd and the
   listening socket. */
#define FIXED_ENTRIES 2

struct peer;

struct wire_call
{
  struct wire_server *server;
  /* Peer that made the call; NULL once it has disconnected. */
  struct peer *peer;
  struct wire_call_record record;
  /* The call is answered with GARBAGE_ARGS instead of the reply. */
  bool failed;
  /* Encoded reply, sent at the end of the round. */
  char *reply;
  u_int reply_bytes;
};

/* A connection and its call without a reply, of which there is at most one. */
struct peer
{
  struct wire_connection *connection;
  struct wire_call *open_call;
  /* The connection failed or was closed; it is removed at the end of the
     round. */
  bool is_gone;
  /* Time at which bytes last came in. */
  uint64_t heard_ms;
};

struct wire_server
{
  struct wire_handler *handler;
  int listener;
  uint16_t port;
  /* An eventfd that ends the wait of a round. */
  int wake_fd;
  struct wire_program programs[PROGRAMS_MAX];
  uint32_t program_count;
  uint32_t open_calls;
  /* Elements: struct peer. */
  GPtrArray *peers;
  /* Elements: struct wire_call, the calls whose reply is not sent yet. */
  GPtrArray *answered_calls;
  /* Elements: struct pollfd. */
  GArray *poll_set;
  /* True when calls were dispatched after the handler's round callback, so
     that the next round must not wait. */
  bool has_work;
  /* Time without a call after which a connection is closed; 0: none is. */
  uint64_t idle_max_ms;
};

static uint64_t
now_ms (void)
{
  return base_clock_now_ms (base_clock_system ());
}

static void
free_call (struct wire_call *call)
{
  g_bytes_unref (call->record.args);
  g_free (call->reply);
  g_free (call);
}

static void
free_peer (gpointer data)
{
  struct peer *peer = data;
  wire_connection_destroy (peer->connection);
  g_free (peer);
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
  if (inet_pton (AF_INET, address, &name.sin_addr) != 1)
    errno = EINVAL;
  else if (bind (fd, (struct sockaddr *)&name, sizeof name) == 0
           && listen (fd, LISTEN_BACKLOG) == 0)
    return fd;
  int error = errno;
  close (fd);
  errno = error;
  return -1;
}

struct wire_server *
wire_server_create (const char *address, uint16_t port,
                    const struct wire_program *programs,
                    uint32_t program_count, struct wire_handler *handler)
{
  struct sockaddr_in name = { 0 };
  socklen_t length = sizeof name;
  g_return_val_if_fail (program_count <= PROGRAMS_MAX, NULL);
  signal (SIGPIPE, SIG_IGN);
  int fd = listen_on (address, port);
  if (fd < 0)
    return NULL;
  struct wire_server *server = g_new0 (struct wire_server, 1);
  server->handler = handler;
  server->listener = fd;
  server->wake_fd = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  server->peers = g_ptr_array_new_with_free_func (free_peer);
  server->answered_calls = g_ptr_array_new ();
  server->poll_set = g_array_new (FALSE, TRUE, sizeof (struct pollfd));
  for (uint32_t i = 0; i < program_count; i++)
    server->programs[i] = programs[i];
  server->program_count = program_count;
  getsockname (fd, (struct sockaddr *)&name, &length);
  server->port = ntohs (name.sin_port);
  return server;
}

void
wire_server_destroy (struct wire_server *server)
{
  if (!server)
    return;
  for (guint i = 0; i < server->peers->len; i++)
    {
      struct peer *peer = server->peers->pdata[i];
      if (peer->open_call)
        free_call (peer->open_call);
    }
  g_ptr_array_unref (server->peers);
  g_ptr_array_unref (server->answered_calls);
  g_array_unref (server->poll_set);
  close (server->listener);
  close (server->wake_fd);
  g_free (server);
}

uint16_t
wire_server_port (const struct wire_server *server)
{
  return server->port;
}

/* A connection with an open call is watched only for its end: its next call is
   read after the reply. */
static void
fill_poll_set (struct wire_server *server)
{
  struct pollfd fixed[FIXED_ENTRIES]
      = { { .fd = server->wake_fd, .events = POLLIN },
          { .fd = server->listener, .events = POLLIN } };
  g_array_set_size (server->poll_set, 0);
  g_array_append_vals (server->poll_set, fixed, FIXED_ENTRIES);
  for (guint i = 0; i < server->peers->len; i++)
    {
      const struct peer *peer = server->peers->pdata[i];
      struct pollfd entry = { .fd = wire_connection_fd (peer->connection),
                              .events = peer->open_call ? POLLRDHUP : POLLIN };
      if (wire_connection_has_output (peer->connection))
        entry.events |= POLLOUT;
      g_array_append_val (server->poll_set, entry);
    }
}

static void
accept_peers (struct wire_server *server)
{
  int fd;
  while ((fd = accept4 (server->listener, NULL, NULL, SOCK_CLOEXEC)) >= 0)
    {
      struct peer *peer = g_new0 (struct peer, 1);
      peer->connection = wire_connection_create (fd);
      peer->heard_ms = now_ms ();
      g_ptr_array_add (server->peers, peer);
    }
}

/* Returns the version of @p program that is served, or 0 if it is not
   served. */
static uint32_t
served_version (const struct wire_server *server, uint32_t program)
{
  for (uint32_t i = 0; i < server->program_count; i++)
    if (server->programs[i].program == program)
      return server->programs[i].version;
  return 0;
}

/* Answers a call that doesn't need the handler: a call of the null procedure,
   or of an unknown program or version.  Returns false for all other calls. */
static bool
answer_without_handler (struct wire_server *server, struct peer *peer,
                        const struct wire_call_record *record)
{
  uint32_t version = served_version (server, record->program);
  if (version == 0)
    wire_connection_reply_error (peer->connection, record->xid, PROG_UNAVAIL,
                                 0);
  else if (version != record->version)
    wire_connection_reply_error (peer->connection, record->xid, PROG_MISMATCH,
                                 version);
  else if (record->procedure == NULLPROC)
    wire_connection_reply (peer->connection, record->xid, "", 0);
  else
    return false;
  return true;
}

/* Answers a call or passes it to the handler. */
static void
dispatch (struct wire_server *server, struct peer *peer,
          const struct wire_call_record *record)
{
  if (answer_without_handler (server, peer, record))
    {
      g_bytes_unref (record->args);
      return;
    }
  struct wire_call *call = g_new0 (struct wire_call, 1);
  call->server = server;
  call->peer = peer;
  call->record = *record;
  peer->open_call = call;
  server->has_work = true;
  server->open_calls++;
  server->handler->call (server->handler, call);
}

/* Dispatches the calls that are complete, until one has to wait for its reply.
 */
static void
dispatch_calls (struct wire_server *server, struct peer *peer)
{
  int found = 0;
  struct wire_call_record record;
  while (!peer->open_call
         && (found = wire_connection_next_call (peer->connection, &record))
                > 0)
    dispatch (server, peer, &record);
  if (found < 0)
    peer->is_gone = true;
}

static void
serve_peer (struct wire_server *server, struct peer *peer, short events)
{
  if (events & POLLOUT)
    peer->is_gone |= !wire_connection_write (peer->connection);
  if (peer->open_call)
    peer->is_gone |= (events & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  else if (events & (POLLIN | POLLHUP | POLLERR))
    {
      peer->is_gone |= !wire_connection_read (peer->connection);
      peer->heard_ms = now_ms ();
    }
  if (!peer->is_gone)
    dispatch_calls (server, peer);
}

static void
send_replies (struct wire_server *server)
{
  for (guint i = 0; i < server->answered_calls->len; i++)
    {
      struct wire_call *call = server->answered_calls->pdata[i];
      struct peer *peer = call->peer;
      if (peer && call->failed)
        wire_connection_reply_error (peer->connection, call->record.xid,
                                     GARBAGE_ARGS, 0);
      else if (peer)
        wire_connection_reply (peer->connection, call->record.xid, call->reply,
                               call->reply_bytes);
      if (peer)
        peer->is_gone |= !wire_connection_write (peer->connection);
      free_call (call);
    }
  g_ptr_array_set_size (server->answered_calls, 0);
}

/* Removes the references of calls to a peer that is freed. */
static void
detach_calls (struct wire_server *server, struct peer *peer)
{
  for (guint i = 0; i < server->answered_calls->len; i++)
    {
      struct wire_call *call = server->answered_calls->pdata[i];
      if (call->peer == peer)
        call->peer = NULL;
    }
  if (peer->open_call)
    peer->open_call->peer = NULL;
}

/* A peer that has left can't be told from an idle one when its close doesn't
   arrive. */
static void
find_idle_peers (struct wire_server *server)
{
  uint64_t at_ms = now_ms ();
  for (guint i = 0; server->idle_max_ms > 0 && i < server->peers->len; i++)
    {
      struct peer *peer = server->peers->pdata[i];
      peer->is_gone
          |= !peer->open_call && at_ms >= peer->heard_ms + server->idle_max_ms;
    }
}

static void
remove_gone_peers (struct wire_server *server)
{
  for (guint i = server->peers->len; i-- > 0;)
    {
      struct peer *peer = server->peers->pdata[i];
      if (!peer->is_gone)
        continue;
      detach_calls (server, peer);
      g_ptr_array_remove_index_fast (server->peers, i);
    }
}

/* Dispatches calls that were read before an earlier one was answered. */
static void
dispatch_buffered_calls (struct wire_server *server)
{
  for (guint i = 0; i < server->peers->len; i++)
    dispatch_calls (server, server->peers->pdata[i]);
}

static void
serve_ready (struct wire_server *server)
{
  uint64_t count;
  const struct pollfd *set = (struct pollfd *)server->poll_set->data;
  guint polled = server->poll_set->len - FIXED_ENTRIES;
  if (set[0].revents)
    {
      ssize_t got = read (server->wake_fd, &count, sizeof count);
      (void)got;
    }
  for (guint i = 0; i < polled; i++)
    if (set[FIXED_ENTRIES + i].revents)
      serve_peer (server, server->peers->pdata[i],
                  set[FIXED_ENTRIES + i].revents);
  if (set[1].revents)
    accept_peers (server);
}

void
wire_server_round (struct wire_server *server, uint32_t wait_ms)
{
  fill_poll_set (server);
  int ready
      = poll ((struct pollfd *)server->poll_set->data, server->poll_set->len,
              server->has_work ? 0 : (int)wait_ms);
  server->has_work = false;
  if (ready > 0)
    serve_ready (server);
  if (server->handler->round)
    server->handler->round (server->handler);
  send_replies (server);
  find_idle_peers (server);
  remove_gone_peers (server);
  dispatch_buffered_calls (server);
}

void
wire_server_set_idle_limit (struct wire_server *server, uint64_t idle_max_ms)
{
  server->idle_max_ms = idle_max_ms;
}

void
wire_server_wake (struct wire_server *server)
{
  uint64_t one = 1;
  ssize_t put = write (server->wake_fd, &one, sizeof one);
  (void)put;
}

uint32_t
wire_server_open_calls (const struct wire_server *server)
{
  return server->open_calls;
}

uint32_t
wire_call_program (const struct wire_call *call)
{
  return call->record.program;
}

uint32_t
wire_call_procedure (const struct wire_call *call)
{
  return call->record.procedure;
}

bool
wire_call_args (struct wire_call *call, xdrproc_t codec, void *args)
{
  XDR stream;
  gsize bytes = 0;
  const char *data = g_bytes_get_data (call->record.args, &bytes);
  xdrmem_create (&stream, (char *)(uintptr_t)data, (u_int)bytes, XDR_DECODE);
  bool valid = codec (&stream, args);
  XDR_DESTROY (&stream);
  if (!valid)
    xdr_free (codec, args);
  return valid;
}

static void
mark_answered (struct wire_call *call)
{
  call->server->open_calls--;
  if (call->peer)
    call->peer->open_call = NULL;
  g_ptr_array_add (call->server->answered_calls, call);
}

void
wire_call_reply (struct wire_call *call, xdrproc_t codec, void *result)
{
  XDR stream;
  call->reply_bytes = (u_int)xdr_sizeof (codec, result);
  call->reply = g_malloc (call->reply_bytes + 1);
  xdrmem_create (&stream, call->reply, call->reply_bytes, XDR_ENCODE);
  call->failed = !codec (&stream, result);
  XDR_DESTROY (&stream);
  if (call->failed)
    base_log (BASE_LOG_ERROR, "reply-not-encoded program=%u procedure=%u",
              (unsigned)call->record.program,
              (unsigned)call->record.procedure);
  mark_answered (call);
}

void
wire_call_fail (struct wire_call *call)
{
  call->failed = true;
  mark_answered (call);
}
