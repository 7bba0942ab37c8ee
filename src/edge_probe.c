#include "edge_probe.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base_event.h"
#include "edge_reach.h"
#include "edge_tunnel.h"

/* Delay of a probe for a crash, within which a process that ends has closed
   its port, and time for the connection, in milliseconds. */
#define CRASH_DELAY_MS 40
#define CONNECT_TIMEOUT_MS 500
/* Maximum number of probes at a time. */
#define PROBES_MAX 64
/* Bytes of a response that hold its status line. */
#define RESPONSE_BYTES 64
/* Other routers that are asked whether a target's process has ended. */
#define CRASH_PEERS_MAX 3

struct edge_probe
{
  struct router_watch watch;
  struct edge *edge;
  struct edge_target *target;
  enum edge_probe_purpose purpose;
  /* Interned name of the router that passes the connection on, or NULL. */
  const char *peer;
  /* Number of routers asked before, and whether one of them doesn't reach the
     target either. */
  uint32_t asked;
  bool is_missed;
  struct sockaddr_in address;
  /* The connection in progress, or -1. */
  int fd;
  /* With a peer: the request was sent. */
  bool is_asked;
  /* Time of the connection, and later of its end. */
  uint64_t due_ms;
  GList link;
};

static void
destroy_probe (struct edge_probe *probe)
{
  g_queue_unlink (&probe->edge->probes, &probe->link);
  if (probe->fd >= 0)
    {
      router_poll_unwatch (probe->edge->loop, probe->fd);
      close (probe->fd);
    }
  edge_target_unref (probe->target);
  g_free (probe);
}

static struct edge_probe *add_probe (struct edge *edge,
                                     struct edge_target *target,
                                     const struct edge_peer *peer,
                                     enum edge_probe_purpose purpose,
                                     uint64_t due_ms);

/* Asks a router that wasn't asked yet whether it reaches a target that refuses
   this router's connections.  Returns whether there is one. */
static bool
ask_another (const struct edge_probe *probe, uint64_t now_ms)
{
  const struct edge_peer *peer
      = edge_reach_choose_peer (probe->edge, probe->target, NULL, now_ms);
  if (!peer || probe->asked >= CRASH_PEERS_MAX)
    return false;
  struct edge_probe *next
      = add_probe (probe->edge, probe->target, peer, EDGE_PROBE_CRASH, now_ms);
  if (next)
    {
      next->asked = probe->asked + 1;
      next->is_missed = probe->is_missed;
    }
  return next != NULL;
}

static void
confirm_crash (const struct edge_probe *probe, uint64_t now_ms)
{
  const char *name = probe->target->record.name;
  struct edge_target *current = edge_targets_find (probe->edge->targets, name);
  if (current)
    edge_target_doubt (current, now_ms);
  edge_quarantine_confirm (probe->edge->quarantine, name);
}

/* A refused connection shows that the process has ended only where no other
   router reaches the target: one that is cut off may be refused alone. Routers
   that have lost the target themselves don't try it again for others. */
static void
judge_crash (struct edge_probe *probe, enum edge_path_result result,
             uint64_t now_ms)
{
  bool is_refused = result == EDGE_PATH_REFUSED;
  if (is_refused && !probe->peer)
    {
      if (!ask_another (probe, now_ms))
        confirm_crash (probe, now_ms);
      return;
    }
  probe->is_missed |= probe->peer && result == EDGE_PATH_UNREACHABLE;
  bool is_undecided
      = probe->peer && !is_refused && result != EDGE_PATH_REACHED;
  if (is_undecided && ask_another (probe, now_ms))
    return;
  if (is_refused || (is_undecided && probe->is_missed))
    confirm_crash (probe, now_ms);
  else
    edge_quarantine_dismiss (probe->edge->quarantine,
                             probe->target->record.name);
}

static void
end_probe (struct edge_probe *probe, enum edge_path_result result, int error)
{
  struct edge *edge = probe->edge;
  uint64_t now_ms = edge_now_ms ();
  if (probe->peer)
    edge_reach_note_relayed (edge, probe->target, probe->peer, result);
  else
    edge_reach_note_connection (edge, probe->target, error);
  if (probe->purpose == EDGE_PROBE_CRASH)
    {
      base_event ("target-probed target=%s via=%s result=%d error=\"%s\"",
                  probe->target->record.name, probe->peer ? probe->peer : "-",
                  (int)result, error == 0 ? "none" : strerror (error));
      judge_crash (probe, result, now_ms);
    }
  destroy_probe (probe);
}

/* Ends the probe with the error of its connection. */
static void
end_connection (struct edge_probe *probe, int error)
{
  enum edge_path_result result = EDGE_PATH_UNREACHABLE;
  if (probe->peer)
    result = EDGE_PATH_NO_PEER;
  else if (error == 0)
    result = EDGE_PATH_REACHED;
  else if (error == ECONNREFUSED)
    result = EDGE_PATH_REFUSED;
  end_probe (probe, result, error);
}

/* Asks the other router for the connection. */
static void
send_ask (struct edge_probe *probe)
{
  char *request = edge_tunnel_request (probe->target);
  size_t bytes = strlen (request);
  probe->is_asked = true;
  if (send (probe->fd, request, bytes, MSG_NOSIGNAL) == (ssize_t)bytes)
    router_poll_rewatch (probe->edge->loop, probe->fd, EPOLLIN, &probe->watch);
  else
    end_connection (probe, EPIPE);
  g_free (request);
}

static void
read_answer (struct edge_probe *probe)
{
  char text[RESPONSE_BYTES + 1];
  ssize_t got = recv (probe->fd, text, RESPONSE_BYTES, MSG_DONTWAIT);
  if (got <= 0)
    {
      end_connection (probe, got < 0 ? errno : EPIPE);
      return;
    }
  text[got] = '\0';
  const char *space = strchr (text, ' ');
  long status = space ? (long)g_ascii_strtoull (space, NULL, 10) : 0;
  end_probe (probe, edge_tunnel_result (status), 0);
}

static void
handle_ready (struct router_watch *watch, uint32_t events)
{
  struct edge_probe *probe = (struct edge_probe *)watch;
  int error = 0;
  socklen_t bytes = sizeof error;
  (void)events;
  getsockopt (probe->fd, SOL_SOCKET, SO_ERROR, &error, &bytes);
  if (error != 0 || !probe->peer)
    end_connection (probe, error);
  else if (!probe->is_asked)
    send_ask (probe);
  else
    read_answer (probe);
}

static struct edge_probe *
add_probe (struct edge *edge, struct edge_target *target,
           const struct edge_peer *peer, enum edge_probe_purpose purpose,
           uint64_t due_ms)
{
  if (edge->probes.length >= PROBES_MAX)
    return NULL;
  struct edge_probe *probe = g_new0 (struct edge_probe, 1);
  probe->watch.ready = handle_ready;
  probe->edge = edge;
  probe->target = edge_target_ref (target);
  probe->purpose = purpose;
  probe->peer = peer ? peer->name : NULL;
  probe->address.sin_family = AF_INET;
  probe->address.sin_port
      = htons (peer ? peer->port : (uint16_t)target->record.port);
  inet_pton (AF_INET, peer ? peer->address : target->record.address,
             &probe->address.sin_addr);
  probe->fd = -1;
  probe->due_ms = due_ms;
  probe->link.data = probe;
  g_queue_push_tail_link (&edge->probes, &probe->link);
  return probe;
}

bool
edge_probe_start (struct edge *edge, struct edge_target *target,
                  const struct edge_peer *peer,
                  enum edge_probe_purpose purpose, uint64_t now_ms)
{
  for (GList *link = edge->probes.head; link; link = link->next)
    {
      const struct edge_probe *other = link->data;
      if (other->target == target && other->purpose == purpose
          && (other->peer != NULL) == (peer != NULL))
        return true;
    }
  uint64_t due_ms
      = now_ms + (purpose == EDGE_PROBE_CRASH ? CRASH_DELAY_MS : 0);
  return add_probe (edge, target, peer, purpose, due_ms) != NULL;
}

/* Uses this router's own address towards other routers, which know it by
   that. */
static void
bind_address (const struct edge_probe *probe)
{
  struct sockaddr_in own = { .sin_family = AF_INET };
  if (probe->peer
      && inet_pton (AF_INET, probe->edge->options.address, &own.sin_addr) == 1)
    (void)bind (probe->fd, (struct sockaddr *)&own, sizeof own);
}

static void
connect_probe (struct edge_probe *probe, uint64_t now_ms)
{
  probe->due_ms
      = now_ms + (probe->peer ? EDGE_TUNNEL_WAIT_MS : CONNECT_TIMEOUT_MS);
  probe->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (probe->fd < 0)
    {
      end_connection (probe, errno);
      return;
    }
  bind_address (probe);
  if (connect (probe->fd, (struct sockaddr *)&probe->address,
               sizeof probe->address)
          != 0
      && errno != EINPROGRESS)
    {
      int error = errno;
      close (probe->fd);
      probe->fd = -1;
      end_connection (probe, error);
      return;
    }
  if (router_poll_watch (probe->edge->loop, probe->fd, EPOLLOUT, &probe->watch)
      == 0)
    return;
  int error = errno;
  close (probe->fd);
  probe->fd = -1;
  end_connection (probe, error);
}

void
edge_probe_run (struct edge *edge, uint64_t now_ms)
{
  GList *link = edge->probes.head;
  while (link)
    {
      struct edge_probe *probe = link->data;
      link = link->next;
      if (now_ms < probe->due_ms)
        continue;
      if (probe->fd < 0)
        connect_probe (probe, edge_now_ms ());
      else
        end_connection (probe, ETIMEDOUT);
    }
}

void
edge_probe_cancel_all (struct edge *edge)
{
  while (edge->probes.head)
    destroy_probe (edge->probes.head->data);
}
