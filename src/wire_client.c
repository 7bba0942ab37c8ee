#include "wire_client.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdbool.h>
#include <string.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "base_address_map.h"
#include "base_clock.h"
#include "cactus_config.h"
#include "wire_replies.h"

/* Bit of the record mark (RFC 5531, section 11) that the last fragment of a
   record has. */
#define LAST_FRAGMENT 0x80000000u

struct wire_client
{
  /* Mutex that is held during a call. */
  GMutex mutex;
  struct sockaddr_in address;
  uint32_t program;
  uint32_t version;
  uint32_t last_xid;
  /* Connected non-blocking socket, or -1. */
  int fd;
  /* Replies to the calls that were posted on the connection, and the timeout
     of the last one. */
  struct wire_replies *replies;
  uint32_t reply_timeout_ms;
};

struct wire_client *
wire_client_create (const char *address, uint16_t port, uint32_t program,
                    uint32_t version)
{
  char mapped[16];
  struct wire_client *client = g_new0 (struct wire_client, 1);
  g_mutex_init (&client->mutex);
  client->address.sin_family = AF_INET;
  client->address.sin_port = htons (port);
  base_address_map_apply (address, mapped);
  inet_pton (AF_INET, mapped, &client->address.sin_addr);
  client->program = program;
  client->fd = -1;
  client->version = version;
  client->replies = wire_replies_create ();
  return client;
}

static void
disconnect (struct wire_client *client)
{
  if (client->fd >= 0)
    close (client->fd);
  client->fd = -1;
  wire_replies_reset (client->replies);
}

void
wire_client_destroy (struct wire_client *client)
{
  if (!client)
    return;
  disconnect (client);
  wire_replies_destroy (client->replies);
  g_mutex_clear (&client->mutex);
  g_free (client);
}

static uint64_t
now_ms (void)
{
  return base_clock_now_ms (base_clock_system ());
}

/* Returns the time until a monotonic deadline, rounded up to ms for poll. */
static int
remaining_ms (gint64 deadline_us)
{
  gint64 remaining_us = deadline_us - g_get_monotonic_time ();
  return remaining_us > 0 ? (int)((remaining_us + 999) / 1000) : 0;
}

/* Waits until the socket is ready for @p events.  Returns 0, or -1 at the
   deadline or on an error. */
static int
wait_ready (int fd, short events, gint64 deadline_us)
{
  struct pollfd wait = { .fd = fd, .events = events };
  int ready;
  do
    ready = poll (&wait, 1, remaining_ms (deadline_us));
  while (ready < 0 && errno == EINTR);
  return ready == 1 ? 0 : -1;
}

/* Waits for a connection in progress.  Returns 0, or -1 when it failed. */
static int
wait_connected (int fd, gint64 deadline_us)
{
  int error = 0;
  socklen_t length = sizeof error;
  if (wait_ready (fd, POLLOUT, deadline_us) != 0)
    return -1;
  if (getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0)
    return -1;
  return error == 0 ? 0 : -1;
}

/* Returns a connected non-blocking socket, or -1. */
static int
connect_socket (const struct sockaddr_in *address, gint64 deadline_us)
{
  int yes = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0)
    return -1;
  int status = connect (fd, (const struct sockaddr *)address, sizeof *address);
  gint64 limit_us = g_get_monotonic_time ()
                    + CACTUS_CONNECT_TIMEOUT_MS * G_TIME_SPAN_MILLISECOND;
  if (status != 0 && errno == EINPROGRESS)
    status = wait_connected (fd, MIN (deadline_us, limit_us));
  if (status != 0)
    {
      close (fd);
      return -1;
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
  return fd;
}

/* Whether the peer closed the idle connection.  A call sent on it would end as
   WIRE_LOST, although it could be sent on a new connection. */
static bool
peer_closed (const struct wire_client *client)
{
  char byte;
  ssize_t got = recv (client->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN);
}

static int
send_all (int fd, const char *data, size_t bytes, gint64 deadline_us)
{
  while (bytes > 0)
    {
      ssize_t sent = send (fd, data, bytes, MSG_NOSIGNAL);
      if (sent > 0)
        {
          data += sent;
          bytes -= (size_t)sent;
        }
      else if (sent < 0 && errno == EAGAIN)
        {
          if (wait_ready (fd, POLLOUT, deadline_us) != 0)
            return -1;
        }
      else if (errno != EINTR)
        return -1;
    }
  return 0;
}

static int
receive_all (int fd, char *data, size_t bytes, gint64 deadline_us)
{
  while (bytes > 0)
    {
      ssize_t got = recv (fd, data, bytes, 0);
      if (got > 0)
        {
          data += got;
          bytes -= (size_t)got;
        }
      else if (got < 0 && errno == EAGAIN)
        {
          if (wait_ready (fd, POLLIN, deadline_us) != 0)
            return -1;
        }
      else if (got == 0 || errno != EINTR)
        return -1;
    }
  return 0;
}

/* Encodes the call as a record of one fragment, since the server library takes
   no call of several fragments.  Returns NULL when the arguments can't be
   encoded. */
static char *
encode_call (struct wire_client *client, uint32_t procedure,
             xdrproc_t args_codec, void *args, size_t *bytes)
{
  struct rpc_msg call = { 0 };
  XDR stream;
  size_t capacity = BYTES_PER_XDR_UNIT * 16 + xdr_sizeof (args_codec, args);
  char *record = g_malloc (capacity);
  call.rm_xid = ++client->last_xid;
  call.rm_direction = CALL;
  call.rm_call.cb_rpcvers = RPC_MSG_VERSION;
  call.rm_call.cb_prog = client->program;
  call.rm_call.cb_vers = client->version;
  call.rm_call.cb_proc = procedure;
  call.rm_call.cb_cred = _null_auth;
  call.rm_call.cb_verf = _null_auth;
  xdrmem_create (&stream, record + sizeof (uint32_t),
                 (u_int)(capacity - sizeof (uint32_t)), XDR_ENCODE);
  bool good = xdr_callmsg (&stream, &call) && args_codec (&stream, args);
  uint32_t length = xdr_getpos (&stream);
  uint32_t mark = htonl (length | LAST_FRAGMENT);
  XDR_DESTROY (&stream);
  memcpy (record, &mark, sizeof mark);
  *bytes = sizeof mark + length;
  if (good)
    return record;
  g_free (record);
  return NULL;
}

/* Receives a record of one or more fragments.  Returns NULL when that fails or
   the record is too long. */
static GByteArray *
receive_record (int fd, gint64 deadline_us)
{
  uint32_t mark = 0;
  GByteArray *record = g_byte_array_new ();
  while (!(mark & LAST_FRAGMENT))
    {
      guint start = record->len;
      if (receive_all (fd, (char *)&mark, sizeof mark, deadline_us) != 0)
        goto failed;
      mark = ntohl (mark);
      uint32_t length = mark & ~LAST_FRAGMENT;
      if (length > CACTUS_RPC_RECORD_BYTES - start)
        goto failed;
      g_byte_array_set_size (record, start + length);
      if (receive_all (fd, (char *)record->data + start, length, deadline_us)
          != 0)
        goto failed;
    }
  return record;
failed:
  g_byte_array_unref (record);
  return NULL;
}

static enum wire_status
reply_status (const struct rpc_msg *reply)
{
  if (reply->rm_reply.rp_stat != MSG_ACCEPTED)
    return WIRE_REFUSED;
  switch (reply->acpted_rply.ar_stat)
    {
    case SUCCESS:
      return WIRE_OK;
    case PROG_UNAVAIL:
    case PROG_MISMATCH:
    case PROC_UNAVAIL:
    case GARBAGE_ARGS:
      return WIRE_REFUSED;
    default:
      return WIRE_LOST;
    }
}

static enum wire_status
receive_reply (struct wire_client *client, xdrproc_t result_codec,
               void *result, gint64 deadline_us)
{
  struct rpc_msg reply = { 0 };
  XDR stream;
  GByteArray *record = receive_record (client->fd, deadline_us);
  if (!record)
    return WIRE_LOST;
  reply.acpted_rply.ar_verf = _null_auth;
  reply.acpted_rply.ar_results.where = result;
  reply.acpted_rply.ar_results.proc = result_codec;
  xdrmem_create (&stream, (char *)record->data, record->len, XDR_DECODE);
  bool good
      = xdr_replymsg (&stream, &reply) && reply.rm_xid == client->last_xid;
  XDR_DESTROY (&stream);
  g_byte_array_unref (record);
  return good ? reply_status (&reply) : WIRE_LOST;
}

/* Connects unless there is a usable connection.  Returns false when that
   fails. */
static bool
open_connection (struct wire_client *client, gint64 deadline_us)
{
  if (client->fd >= 0 && peer_closed (client))
    disconnect (client);
  if (client->fd < 0)
    client->fd = connect_socket (&client->address, deadline_us);
  return client->fd >= 0;
}

/* Sends an encoded call and waits for its reply. */
static enum wire_status
exchange (struct wire_client *client, const char *record, size_t bytes,
          xdrproc_t result_codec, void *result, gint64 deadline_us)
{
  enum wire_status status = WIRE_LOST;
  if (send_all (client->fd, record, bytes, deadline_us) == 0)
    status = receive_reply (client, result_codec, result, deadline_us);
  if (status == WIRE_LOST)
    disconnect (client);
  return status;
}

enum wire_status
wire_client_call (struct wire_client *client, uint32_t procedure,
                  xdrproc_t args_codec, void *args, xdrproc_t result_codec,
                  void *result, size_t result_bytes, uint32_t timeout_ms)
{
  enum wire_status status = WIRE_UNSENT;
  size_t bytes = 0;
  memset (result, 0, result_bytes);
  g_mutex_lock (&client->mutex);
  gint64 deadline_us = g_get_monotonic_time () + timeout_ms * INT64_C (1000);
  char *record = NULL;
  /* Encode only once connected, since a codec may fill in the current time. */
  if (open_connection (client, deadline_us))
    record = encode_call (client, procedure, args_codec, args, &bytes);
  if (record)
    status
        = exchange (client, record, bytes, result_codec, result, deadline_us);
  g_mutex_unlock (&client->mutex);
  g_free (record);
  return status;
}

/* Reads and drops the replies to posted calls.  Returns false when the peer
   closed the connection. */
static bool
drop_replies (const struct wire_client *client)
{
  char buffer[4096];
  ssize_t got;
  do
    {
      got = recv (client->fd, buffer, sizeof buffer, MSG_DONTWAIT);
      if (got > 0)
        wire_replies_note_bytes (client->replies, buffer, (size_t)got,
                                 now_ms ());
    }
  while (got > 0 || (got < 0 && errno == EINTR));
  return got < 0 && errno == EAGAIN;
}

/* Reads replies and closes the connection when the peer closed it or replies
   are overdue. */
static void
check_posts (struct wire_client *client, struct wire_posts *posts)
{
  memset (posts, 0, sizeof *posts);
  if (client->fd < 0)
    return;
  bool is_open = drop_replies (client);
  uint64_t now = now_ms ();
  int unacknowledged = 0;
  if (ioctl (client->fd, SIOCOUTQ, &unacknowledged) == 0)
    wire_replies_note_unacknowledged (client->replies,
                                      (uint64_t)unacknowledged, now);
  posts->open_calls = wire_replies_open (client->replies);
  posts->silent_ms = wire_replies_silent_ms (client->replies, now);
  posts->replies = wire_replies_received (client->replies);
  posts->is_dropped = is_open
                      && now >= wire_replies_due_ms (client->replies,
                                                     client->reply_timeout_ms);
  if (!is_open || posts->is_dropped)
    disconnect (client);
}

enum wire_status
wire_client_post (struct wire_client *client, uint32_t procedure,
                  xdrproc_t args_codec, void *args, uint32_t timeout_ms)
{
  enum wire_status status = WIRE_UNSENT;
  struct wire_posts posts;
  size_t bytes = 0;
  g_mutex_lock (&client->mutex);
  gint64 deadline_us = g_get_monotonic_time () + timeout_ms * INT64_C (1000);
  char *record = encode_call (client, procedure, args_codec, args, &bytes);
  check_posts (client, &posts);
  client->reply_timeout_ms = timeout_ms;
  if (record && client->fd < 0)
    client->fd = connect_socket (&client->address, deadline_us);
  if (record && client->fd >= 0)
    {
      status = send_all (client->fd, record, bytes, deadline_us) == 0
                   ? WIRE_OK
                   : WIRE_LOST;
      if (status == WIRE_LOST)
        disconnect (client);
      else
        wire_replies_note_call (client->replies, bytes, now_ms ());
    }
  g_mutex_unlock (&client->mutex);
  g_free (record);
  return status;
}

uint64_t
wire_client_reply_due_ms (struct wire_client *client)
{
  g_mutex_lock (&client->mutex);
  uint64_t due_ms
      = wire_replies_due_ms (client->replies, client->reply_timeout_ms);
  g_mutex_unlock (&client->mutex);
  return due_ms;
}

void
wire_client_check_posts (struct wire_client *client, struct wire_posts *posts)
{
  g_mutex_lock (&client->mutex);
  check_posts (client, posts);
  g_mutex_unlock (&client->mutex);
}

const char *
wire_status_name (enum wire_status status)
{
  static const char *const names[] = { "ok", "unsent", "lost", "refused" };
  return names[status];
}
