#include "wire_connection.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "cactus_config.h"

/* Bit of the record mark (RFC 5531, section 11) that the last fragment of a
   record has. */
#define LAST_FRAGMENT 0x80000000u
/* Size of the record mark before each fragment. */
#define MARK_BYTES sizeof (uint32_t)
/* Maximum number of bytes that are read at once. */
#define READ_BYTES 16384
/* Maximum number of bytes of replies that are queued for a slow peer; above
   that the peer is disconnected. */
#define OUT_MAX_BYTES (2u * CACTUS_RPC_RECORD_BYTES)
/* Time without a TCP acknowledgement of sent bytes or of a keep-alive probe
   after which the connection fails, in ms. */
#define UNACKED_TIMEOUT_MS 10000
/* Idle time before the first keep-alive probe, and interval between probes, in
   seconds: a caller whose host has vanished sends nothing more, so only a
   probe finds that its connection is over. */
#define KEEPALIVE_IDLE_S 5
#define KEEPALIVE_INTERVAL_S 2
/* Space for the encoded header of a reply, in bytes. */
#define REPLY_HEADER_BYTES 256

struct wire_connection
{
  int fd;
  /* Received bytes that are not taken yet. */
  GByteArray *in;
  /* Encoded replies, of which out_sent bytes were sent. */
  GByteArray *out;
  guint out_sent;
};

struct wire_connection *
wire_connection_create (int fd)
{
  int yes = 1;
  int idle_s = KEEPALIVE_IDLE_S;
  int interval_s = KEEPALIVE_INTERVAL_S;
  unsigned int unacked_ms = UNACKED_TIMEOUT_MS;
  struct wire_connection *connection = g_new0 (struct wire_connection, 1);
  fcntl (fd, F_SETFL, fcntl (fd, F_GETFL) | O_NONBLOCK);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &yes, sizeof yes);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof idle_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof interval_s);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_ms,
              sizeof unacked_ms);
  connection->fd = fd;
  connection->in = g_byte_array_new ();
  connection->out = g_byte_array_new ();
  return connection;
}

void
wire_connection_destroy (struct wire_connection *connection)
{
  close (connection->fd);
  g_byte_array_unref (connection->in);
  g_byte_array_unref (connection->out);
  g_free (connection);
}

int
wire_connection_fd (const struct wire_connection *connection)
{
  return connection->fd;
}

bool
wire_connection_read (struct wire_connection *connection)
{
  guint8 buffer[READ_BYTES];
  ssize_t got = recv (connection->fd, buffer, sizeof buffer, MSG_DONTWAIT);
  if (got > 0)
    g_byte_array_append (connection->in, buffer, (guint)got);
  return got > 0 || (got < 0 && (errno == EAGAIN || errno == EINTR));
}

/* Returns the length of the first received record with its marks, 0 when it is
   incomplete, or -1 when it is too long. */
static int64_t
record_length (const struct wire_connection *connection)
{
  guint offset = 0;
  uint32_t mark = 0;
  while (!(mark & LAST_FRAGMENT))
    {
      if (connection->in->len < offset + MARK_BYTES)
        return 0;
      memcpy (&mark, connection->in->data + offset, MARK_BYTES);
      mark = ntohl (mark);
      uint32_t length = mark & ~LAST_FRAGMENT;
      if (length > CACTUS_RPC_RECORD_BYTES - offset)
        return -1;
      offset += (guint)MARK_BYTES + length;
    }
  return connection->in->len < offset ? 0 : offset;
}

/* Removes the first record from the received bytes and joins its fragments. */
static GByteArray *
take_record (struct wire_connection *connection, guint length)
{
  GByteArray *record = g_byte_array_new ();
  guint offset = 0;
  while (offset < length)
    {
      uint32_t mark;
      memcpy (&mark, connection->in->data + offset, MARK_BYTES);
      uint32_t bytes = ntohl (mark) & ~LAST_FRAGMENT;
      offset += (guint)MARK_BYTES;
      g_byte_array_append (record, connection->in->data + offset, bytes);
      offset += bytes;
    }
  g_byte_array_remove_range (connection->in, 0, length);
  return record;
}

int
wire_connection_next_call (struct wire_connection *connection,
                           struct wire_call_record *record)
{
  XDR stream;
  struct rpc_msg call = { 0 };
  char credentials[2 * MAX_AUTH_BYTES];
  int64_t length = record_length (connection);
  if (length <= 0)
    return (int)length;
  GByteArray *bytes = take_record (connection, (guint)length);
  call.rm_call.cb_cred.oa_base = credentials;
  call.rm_call.cb_verf.oa_base = credentials + MAX_AUTH_BYTES;
  xdrmem_create (&stream, (char *)bytes->data, bytes->len, XDR_DECODE);
  bool valid = xdr_callmsg (&stream, &call) && call.rm_direction == CALL;
  guint used = xdr_getpos (&stream);
  XDR_DESTROY (&stream);
  if (valid)
    {
      record->xid = call.rm_xid;
      record->program = (uint32_t)call.rm_call.cb_prog;
      record->version = (uint32_t)call.rm_call.cb_vers;
      record->procedure = (uint32_t)call.rm_call.cb_proc;
      record->args = g_bytes_new (bytes->data + used, bytes->len - used);
    }
  g_byte_array_unref (bytes);
  return valid ? 1 : -1;
}

/* Queues the mark and header of a reply with @p bytes of result. */
static void
append_header (struct wire_connection *connection, struct rpc_msg *reply,
               uint32_t bytes)
{
  XDR stream;
  char header[REPLY_HEADER_BYTES];
  reply->rm_direction = REPLY;
  reply->rm_reply.rp_stat = MSG_ACCEPTED;
  reply->acpted_rply.ar_verf = _null_auth;
  reply->acpted_rply.ar_results.proc = (xdrproc_t)xdr_void;
  xdrmem_create (&stream, header, sizeof header, XDR_ENCODE);
  xdr_replymsg (&stream, reply);
  guint header_bytes = xdr_getpos (&stream);
  XDR_DESTROY (&stream);
  uint32_t mark = htonl ((header_bytes + bytes) | LAST_FRAGMENT);
  g_byte_array_append (connection->out, (guint8 *)&mark, MARK_BYTES);
  g_byte_array_append (connection->out, (guint8 *)header, header_bytes);
}

void
wire_connection_reply (struct wire_connection *connection, uint32_t xid,
                       const char *result, uint32_t bytes)
{
  struct rpc_msg reply = { .rm_xid = xid };
  reply.acpted_rply.ar_stat = SUCCESS;
  append_header (connection, &reply, bytes);
  g_byte_array_append (connection->out, (const guint8 *)result, bytes);
}

void
wire_connection_reply_error (struct wire_connection *connection, uint32_t xid,
                             enum accept_stat status, uint32_t version)
{
  struct rpc_msg reply = { .rm_xid = xid };
  reply.acpted_rply.ar_stat = status;
  if (status == PROG_MISMATCH)
    {
      reply.acpted_rply.ar_vers.low = version;
      reply.acpted_rply.ar_vers.high = version;
    }
  append_header (connection, &reply, 0);
}

bool
wire_connection_write (struct wire_connection *connection)
{
  GByteArray *out = connection->out;
  while (connection->out_sent < out->len)
    {
      ssize_t sent = send (connection->fd, out->data + connection->out_sent,
                           out->len - connection->out_sent,
                           MSG_NOSIGNAL | MSG_DONTWAIT);
      if (sent < 0 && errno == EINTR)
        continue;
      if (sent < 0 && errno == EAGAIN)
        return out->len - connection->out_sent <= OUT_MAX_BYTES;
      if (sent < 0)
        return false;
      connection->out_sent += (guint)sent;
    }
  g_byte_array_set_size (out, 0);
  connection->out_sent = 0;
  return true;
}

bool
wire_connection_has_output (const struct wire_connection *connection)
{
  return connection->out_sent < connection->out->len;
}
