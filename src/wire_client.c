#include "wire_client.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdbool.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "base_address_map.h"

struct wire_client
{
  GMutex mutex;
  struct sockaddr_in address;
  uint32_t program;
  uint32_t version;
  CLIENT *handle;
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
  base_address_map (address, mapped);
  inet_pton (AF_INET, mapped, &client->address.sin_addr);
  client->program = program;
  client->version = version;
  return client;
}

static void
disconnect (struct wire_client *client)
{
  if (client->handle)
    clnt_destroy (client->handle);
  client->handle = NULL;
}

void
wire_client_destroy (struct wire_client *client)
{
  if (!client)
    return;
  disconnect (client);
  g_mutex_clear (&client->mutex);
  g_free (client);
}

static int
wait_connected (int fd, uint32_t timeout_ms)
{
  struct pollfd wait = { .fd = fd, .events = POLLOUT };
  int error = 0;
  socklen_t length = sizeof error;
  if (poll (&wait, 1, (int)timeout_ms) != 1)
    return -1;
  if (getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0)
    return -1;
  return error == 0 ? 0 : -1;
}

/* A connected, blocking socket, or -1. */
static int
connect_socket (const struct sockaddr_in *address, uint32_t timeout_ms)
{
  int yes = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0)
    return -1;
  int status = connect (fd, (const struct sockaddr *)address, sizeof *address);
  if (status != 0 && errno == EINPROGRESS)
    status = wait_connected (fd, timeout_ms);
  if (status != 0)
    goto fail;
  int flags = fcntl (fd, F_GETFL);
  if (fcntl (fd, F_SETFL, flags & ~O_NONBLOCK) != 0)
    goto fail;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
  return fd;
fail:
  close (fd);
  return -1;
}

static int
ensure_connected (struct wire_client *client, uint32_t timeout_ms)
{
  if (client->handle)
    return 0;
  int fd = connect_socket (&client->address, timeout_ms);
  if (fd < 0)
    return -1;
  struct sockaddr_in address = client->address;
  client->handle
      = clnttcp_create (&address, client->program, client->version, &fd, 0, 0);
  if (!client->handle)
    {
      close (fd);
      return -1;
    }
  clnt_control (client->handle, CLSET_FD_CLOSE, NULL);
  return 0;
}

/* Whether the peer closed the idle connection, so that a call on it would be
   lost though it could have been sent anew. */
static bool
peer_closed (struct wire_client *client)
{
  int fd = -1;
  char byte;
  if (!clnt_control (client->handle, CLGET_FD, (char *)&fd))
    return true;
  ssize_t got = recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN);
}

static enum wire_status
status_of (enum clnt_stat status)
{
  switch (status)
    {
    case RPC_SUCCESS:
      return WIRE_OK;
    case RPC_CANTENCODEARGS:
      return WIRE_UNSENT;
    case RPC_PROGUNAVAIL:
    case RPC_PROGVERSMISMATCH:
    case RPC_PROCUNAVAIL:
    case RPC_CANTDECODEARGS:
    case RPC_VERSMISMATCH:
    case RPC_AUTHERROR:
      return WIRE_REFUSED;
    default:
      return WIRE_LOST;
    }
}

enum wire_status
wire_client_call (struct wire_client *client, uint32_t procedure,
                  xdrproc_t args_codec, void *args, xdrproc_t result_codec,
                  void *result, size_t result_bytes, uint32_t timeout_ms)
{
  enum wire_status status = WIRE_UNSENT;
  struct timeval timeout
      = { .tv_sec = timeout_ms / 1000, .tv_usec = timeout_ms % 1000 * 1000L };
  memset (result, 0, result_bytes);
  g_mutex_lock (&client->mutex);
  if (client->handle && peer_closed (client))
    disconnect (client);
  if (ensure_connected (client, timeout_ms) == 0)
    {
      enum clnt_stat outcome
          = clnt_call (client->handle, procedure, args_codec, args,
                       result_codec, result, timeout);
      status = status_of (outcome);
      if (status != WIRE_OK && status != WIRE_REFUSED)
        disconnect (client);
    }
  g_mutex_unlock (&client->mutex);
  return status;
}

const char *
wire_status_name (enum wire_status status)
{
  static const char *const names[] = { "ok", "unsent", "lost", "refused" };
  return names[status];
}
