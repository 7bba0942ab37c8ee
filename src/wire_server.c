#include "wire_server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>
#include <rpc/rpc_com.h>

#include "cactus_config.h"

#define LISTEN_BACKLOG 1024
/* Send buffer of a connection, inherited from the listening socket: replies up
   to about this size never wait for a peer that is frozen or cut off. */
#define SEND_BUFFER_BYTES 212992
#define PROGRAMS_MAX 8

/* The library gives one dispatcher a program and no context, so the one
   server of the process is found here. */
static struct wire_server *the_server;

struct wire_call
{
  struct wire_server *server;
  SVCXPRT *transport;
  int fd;
  uint32_t program;
  uint32_t procedure;
  bool answered;
  bool failed;
  /* Encoded reply, sent at the end of the round. */
  char *reply;
  u_int reply_bytes;
};

struct wire_server
{
  struct wire_handler *handler;
  SVCXPRT *listener;
  uint16_t port;
  int wake_fd;
  struct wire_program programs[PROGRAMS_MAX];
  uint32_t program_count;
  /* Calls without a reply, by file descriptor. */
  GHashTable *open_calls;
  /* Calls with a reply that is not sent yet. */
  GPtrArray *answered_calls;
  GArray *poll_set;
};

static void
free_call (struct wire_call *call)
{
  g_free (call->reply);
  g_free (call);
}

static void
dispatch (struct svc_req *request, SVCXPRT *transport)
{
  struct wire_server *server = the_server;
  if (request->rq_proc == NULLPROC)
    {
      svc_sendreply (transport, (xdrproc_t)xdr_void, NULL);
      return;
    }
  struct wire_call *call = g_new0 (struct wire_call, 1);
  call->server = server;
  call->transport = transport;
  call->fd = transport->xp_fd;
  call->program = (uint32_t)request->rq_prog;
  call->procedure = (uint32_t)request->rq_proc;
  /* A call that the same connection sent before gets no reply. */
  g_hash_table_replace (server->open_calls, GINT_TO_POINTER (call->fd), call);
  server->handler->call (server->handler, call);
}

static int
listen_on (const char *address, uint16_t port)
{
  int yes = 1;
  int send_buffer = SEND_BUFFER_BYTES;
  struct sockaddr_in name
      = { .sin_family = AF_INET, .sin_port = htons (port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
  setsockopt (fd, SOL_SOCKET, SO_SNDBUF, &send_buffer, sizeof send_buffer);
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

static bool
register_programs (SVCXPRT *listener, const struct wire_program *programs,
                   uint32_t program_count)
{
  for (uint32_t i = 0; i < program_count; i++)
    if (!svc_register (listener, programs[i].program, programs[i].version,
                       dispatch, 0))
      return false;
  return true;
}

struct wire_server *
wire_server_create (const char *address, uint16_t port,
                    const struct wire_program *programs,
                    uint32_t program_count, struct wire_handler *handler)
{
  int largest = CACTUS_RPC_RECORD_BYTES;
  struct sockaddr_in name = { 0 };
  socklen_t length = sizeof name;
  g_return_val_if_fail (!the_server && program_count <= PROGRAMS_MAX, NULL);
  signal (SIGPIPE, SIG_IGN);
  int fd = listen_on (address, port);
  if (fd < 0)
    return NULL;
  /* A bound on the record makes the library read without blocking, so that a
     half-sent call holds up nobody. */
  rpc_control (RPC_SVC_CONNMAXREC_SET, &largest);
  struct wire_server *server = g_new0 (struct wire_server, 1);
  server->handler = handler;
  server->wake_fd = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  server->open_calls = g_hash_table_new (NULL, NULL);
  server->answered_calls = g_ptr_array_new ();
  server->poll_set = g_array_new (FALSE, TRUE, sizeof (struct pollfd));
  for (uint32_t i = 0; i < program_count; i++)
    server->programs[i] = programs[i];
  server->program_count = program_count;
  the_server = server;
  getsockname (fd, (struct sockaddr *)&name, &length);
  server->port = ntohs (name.sin_port);
  server->listener = svctcp_create (fd, 0, 0);
  if (!server->listener
      || !register_programs (server->listener, programs, program_count))
    {
      wire_server_destroy (server);
      errno = EIO;
      return NULL;
    }
  return server;
}

static void
free_open_call (gpointer key, gpointer value, gpointer context)
{
  (void)key;
  (void)context;
  free_call (value);
}

void
wire_server_destroy (struct wire_server *server)
{
  if (!server)
    return;
  for (uint32_t i = 0; i < server->program_count; i++)
    svc_unregister (server->programs[i].program, server->programs[i].version);
  svc_exit ();
  if (server->listener)
    SVC_DESTROY (server->listener);
  g_hash_table_foreach (server->open_calls, free_open_call, NULL);
  g_hash_table_unref (server->open_calls);
  g_ptr_array_unref (server->answered_calls);
  g_array_unref (server->poll_set);
  close (server->wake_fd);
  the_server = NULL;
  g_free (server);
}

uint16_t
wire_server_port (const struct wire_server *server)
{
  return server->port;
}

/* Connections to read: all but those whose call waits for its reply, since
   the reply's id lives in the connection. */
static void
fill_poll_set (struct wire_server *server)
{
  struct pollfd wake = { .fd = server->wake_fd, .events = POLLIN };
  g_array_set_size (server->poll_set, 0);
  g_array_append_val (server->poll_set, wake);
  for (int i = 0; i < svc_max_pollfd; i++)
    {
      struct pollfd entry = svc_pollfd[i];
      if (entry.fd < 0
          || g_hash_table_contains (server->open_calls,
                                    GINT_TO_POINTER (entry.fd)))
        continue;
      entry.revents = 0;
      g_array_append_val (server->poll_set, entry);
    }
}

static bool
still_connected (int fd)
{
  for (int i = 0; i < svc_max_pollfd; i++)
    if (svc_pollfd[i].fd == fd)
      return true;
  return false;
}

static bool_t
copy_reply (XDR *xdrs, void *data)
{
  struct wire_call *call = data;
  return xdr_opaque (xdrs, call->reply, call->reply_bytes);
}

static void
send_reply (struct wire_call *call)
{
  if (!still_connected (call->fd))
    return;
  if (call->failed)
    svcerr_decode (call->transport);
  else
    svc_sendreply (call->transport, (xdrproc_t)copy_reply, call);
}

static void
send_replies (struct wire_server *server)
{
  for (guint i = 0; i < server->answered_calls->len; i++)
    {
      struct wire_call *call = server->answered_calls->pdata[i];
      struct wire_call *current = g_hash_table_lookup (
          server->open_calls, GINT_TO_POINTER (call->fd));
      if (current == call)
        {
          g_hash_table_remove (server->open_calls, GINT_TO_POINTER (call->fd));
          send_reply (call);
        }
      free_call (call);
    }
  g_ptr_array_set_size (server->answered_calls, 0);
}

void
wire_server_round (struct wire_server *server, uint32_t wait_ms)
{
  uint64_t count;
  fill_poll_set (server);
  struct pollfd *set = (struct pollfd *)server->poll_set->data;
  int ready = poll (set, server->poll_set->len, (int)wait_ms);
  if (ready > 0 && set[0].revents)
    {
      ssize_t got = read (server->wake_fd, &count, sizeof count);
      (void)got;
      ready--;
    }
  if (ready > 0)
    svc_getreq_poll (set + 1, ready);
  if (server->handler->round)
    server->handler->round (server->handler);
  send_replies (server);
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
  return g_hash_table_size (server->open_calls);
}

uint32_t
wire_call_program (const struct wire_call *call)
{
  return call->program;
}

uint32_t
wire_call_procedure (const struct wire_call *call)
{
  return call->procedure;
}

bool
wire_call_args (struct wire_call *call, xdrproc_t codec, void *args)
{
  return svc_getargs (call->transport, codec, args);
}

static void
mark_answered (struct wire_call *call)
{
  call->answered = true;
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
  mark_answered (call);
}

void
wire_call_fail (struct wire_call *call)
{
  call->failed = true;
  mark_answered (call);
}
