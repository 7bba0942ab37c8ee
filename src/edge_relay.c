#include "edge_relay.h"

#include <arpa/inet.h>
#include <errno.h>
#include <inttypes.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base_event.h"
#include "edge_attempt.h"
#include "edge_peers.h"
#include "edge_reach.h"
#include "edge_tunnel.h"
#include "http_early_end.h"
#include "http_ending.h"
#include "http_status_line.h"

#define BACKLOG 256
/* Maximum number of connections at a time, so that those of others leave room
   for the router's own callers. */
#define TUNNELS_MAX 512
/* Time for the request of a new connection, in milliseconds. */
#define HEAD_TIMEOUT_MS 1000
/* Time after a request's deadline at which its connection is closed: the other
   router has ended the request, but its close may not arrive. */
#define DEADLINE_SLACK_MS 2000
/* Maximum size of the head of a response that is read. */
#define RESPONSE_HEAD_BYTES 32768
#define STATUS_OK 200
/* Bytes that are read at once; a direction whose receiver is slower holds at
   most this much. */
#define PIECE_BYTES 16384

struct tunnel;

/* One of the two connections of a tunnel. */
struct side
{
  struct router_watch watch;
  /* For the close of the connection, of which events says nothing while the
     other side takes no bytes. */
  struct close_watch
  {
    struct router_watch watch;
    struct side *side;
  } close;
  struct tunnel *tunnel;
  struct side *other;
  int fd;
  /* Events that epoll reports; 0 before the connection is watched. */
  uint32_t events;
  /* Bytes to be sent, as far as the socket didn't take them yet. */
  GByteArray *out;
};

enum tunnel_step
{
  TUNNEL_READS_HEAD,
  TUNNEL_CONNECTS,
  TUNNEL_OPEN,
  /* The target has closed its connection; what it sent is passed on. */
  TUNNEL_FLUSHES,
  TUNNEL_CLOSED
};

struct tunnel
{
  struct edge_relay *relay;
  GList link;
  enum tunnel_step step;
  uint64_t due_ms;
  /* Time for which the connection may be open; UINT64_MAX: any. */
  uint64_t open_max_ms;
  uint64_t started_ms;
  uint64_t bytes;
  /* The router that asked, and its request as far as it was read. */
  char peer[16];
  GString *head;
  struct edge_target *target;
  /* The beginning of the response until its head is complete; then NULL. */
  GString *response;
  /* What delimits the body of the response. */
  enum http_body_end body_end;
  struct side origin;
  struct side destination;
};

struct edge_relay
{
  struct router_watch watch;
  struct edge *edge;
  int listener;
  GQueue tunnels;
  /* Number of tunnels in step TUNNEL_CLOSED, which the loop may still have
     events for. */
  uint32_t closed;
};

static void handle_side (struct router_watch *watch, uint32_t events);

static struct router_poll *
loop_of (const struct side *side)
{
  return side->tunnel->relay->edge->loop;
}

static void
set_events (struct side *side, uint32_t events)
{
  if (side->events == events)
    return;
  router_poll_rewatch (loop_of (side), side->fd, events, &side->watch);
  side->events = events;
}

/* Sets whether the connection ends by a reset, also when this process ends. */
static void
set_reset_at_close (int fd, bool resets)
{
  const struct linger linger = { .l_onoff = resets, .l_linger = 0 };
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

static void
close_side (struct side *side, bool is_reset)
{
  if (side->fd < 0)
    return;
  set_reset_at_close (side->fd, is_reset);
  router_poll_unwatch (loop_of (side), side->fd);
  if (side->close.side)
    router_poll_unwatch_close (loop_of (side), side->fd);
  close (side->fd);
  side->fd = -1;
}

static void
close_tunnel (struct tunnel *tunnel, bool is_reset, const char *reason)
{
  if (tunnel->step == TUNNEL_CLOSED)
    return;
  if (tunnel->target)
    {
      struct place_load *load = &tunnel->target->load;
      load->running -= load->running > 0;
      base_event ("relay-over target=%s for=%s reason=\"%s\" bytes=%" PRIu64
                  " age_ms=%" PRIu64,
                  tunnel->target->record.name, tunnel->peer, reason,
                  tunnel->bytes, edge_now_ms () - tunnel->started_ms);
    }
  close_side (&tunnel->origin, is_reset);
  close_side (&tunnel->destination, is_reset);
  tunnel->step = TUNNEL_CLOSED;
  tunnel->relay->closed++;
}

static void
free_tunnel (struct tunnel *tunnel)
{
  g_queue_unlink (&tunnel->relay->tunnels, &tunnel->link);
  g_byte_array_unref (tunnel->origin.out);
  g_byte_array_unref (tunnel->destination.out);
  if (tunnel->target)
    edge_target_unref (tunnel->target);
  g_string_free (tunnel->head, TRUE);
  if (tunnel->response)
    g_string_free (tunnel->response, TRUE);
  g_free (tunnel);
}

/* Sends what is queued for the side.  Returns false when the connection has
   failed. */
static bool
flush (struct side *side)
{
  while (side->out->len > 0)
    {
      ssize_t sent = send (side->fd, side->out->data, side->out->len,
                           MSG_NOSIGNAL | MSG_DONTWAIT);
      if (sent < 0 && (errno == EAGAIN || errno == EINTR))
        return true;
      if (sent <= 0)
        return false;
      g_byte_array_remove_range (side->out, 0, (guint)sent);
    }
  return true;
}

/* Reads from each side only while the other one takes what came. */
static void
update_events (struct tunnel *tunnel)
{
  struct side *sides[] = { &tunnel->origin, &tunnel->destination };
  for (size_t i = 0; i < G_N_ELEMENTS (sides); i++)
    {
      struct side *side = sides[i];
      bool reads = tunnel->step == TUNNEL_OPEN && side->other->out->len == 0;
      if (side->fd >= 0)
        set_events (side, (reads ? EPOLLIN : 0u)
                              | (side->out->len > 0 ? EPOLLOUT : 0u));
    }
}

/* Answers a request; any other status than EDGE_TUNNEL_OPEN ends it. */
static void
respond (struct tunnel *tunnel, enum edge_tunnel_status status)
{
  struct edge *edge = tunnel->relay->edge;
  char *text = g_strdup_printf (
      status == EDGE_TUNNEL_OPEN
          ? "HTTP/1.1 %d Connected\r\n\r\n"
          : "HTTP/1.1 %d Not connected\r\nContent-Length: 0\r\n"
            "Connection: close\r\n\r\n",
      (int)status);
  g_byte_array_append (tunnel->origin.out, (const guint8 *)text,
                       (guint)strlen (text));
  g_free (text);
  if (status == EDGE_TUNNEL_OPEN)
    {
      base_counter_add (edge->counters.relayed, 1);
      /* The end of the connection may delimit the response: an orderly end
         must come from the target, not from the end of this process. */
      set_reset_at_close (tunnel->origin.fd, true);
      tunnel->step = TUNNEL_OPEN;
      return;
    }
  base_counter_add (edge->counters.relay_refused, 1);
  base_event ("relay-refused for=%s status=%d target=%s", tunnel->peer,
              (int)status, tunnel->target ? tunnel->target->record.name : "-");
  flush (&tunnel->origin);
  close_tunnel (tunnel, false, "refused");
}

/* Handles the end of the connection to the target. */
static void
end_connect (struct tunnel *tunnel, int error)
{
  struct edge *edge = tunnel->relay->edge;
  edge_reach_note_connection (edge, tunnel->target, error);
  if (error == 0)
    respond (tunnel, EDGE_TUNNEL_OPEN);
  else
    respond (tunnel, error == ECONNREFUSED ? EDGE_TUNNEL_TARGET_REFUSED
                                           : EDGE_TUNNEL_TARGET_SILENT);
}

static void
set_options (int fd)
{
  int yes = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
  edge_attempt_set_timeouts (fd);
}

static void
connect_target (struct tunnel *tunnel)
{
  struct side *side = &tunnel->destination;
  const struct control_target *record = &tunnel->target->record;
  struct sockaddr_in address = { .sin_family = AF_INET };
  address.sin_port = htons ((uint16_t)record->port);
  inet_pton (AF_INET, record->address, &address.sin_addr);
  side->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (side->fd < 0)
    {
      respond (tunnel, EDGE_TUNNEL_FULL);
      return;
    }
  set_options (side->fd);
  side->events = EPOLLOUT;
  tunnel->step = TUNNEL_CONNECTS;
  tunnel->due_ms = edge_now_ms () + EDGE_TUNNEL_CONNECT_MS;
  tunnel->target->load.running++;
  /* Nothing more is read from the other router until the target is there. */
  set_events (&tunnel->origin, 0);
  if (connect (side->fd, (struct sockaddr *)&address, sizeof address) != 0
      && errno != EINPROGRESS)
    {
      end_connect (tunnel, errno);
      return;
    }
  router_poll_watch (loop_of (side), side->fd, side->events, &side->watch);
}

/* Returns why the request isn't accepted, or EDGE_TUNNEL_OPEN; then the target
   is set. */
static enum edge_tunnel_status
check_ask (struct tunnel *tunnel)
{
  struct edge *edge = tunnel->relay->edge;
  struct edge_tunnel_ask ask;
  if (!edge_peers_has_address (edge->peers, tunnel->peer))
    return EDGE_TUNNEL_UNKNOWN_PEER;
  if (edge->stopping
      || tunnel->relay->tunnels.length - tunnel->relay->closed > TUNNELS_MAX)
    return EDGE_TUNNEL_FULL;
  if (!edge_tunnel_parse (tunnel->head->str, &ask))
    return EDGE_TUNNEL_NO_TARGET;
  struct edge_target *target = edge_targets_find (edge->targets, ask.target);
  if (!target || target->record.born_ms != ask.born_ms
      || !edge_target_accepts_work (target) || target->record.port != ask.port
      || strcmp (target->record.address, ask.address) != 0)
    return EDGE_TUNNEL_NO_TARGET;
  if (edge_evacuations_has (edge->evacuations,
                            target->record.availability_zone))
    return EDGE_TUNNEL_NO_TARGET;
  if (target->path.is_lost)
    return EDGE_TUNNEL_TARGET_SILENT;
  if (edge_pacing_rest_left_ms (&target->pacing, edge_now_ms ()) > 0
      || target->load.running >= edge_pacing_window (&target->pacing))
    return EDGE_TUNNEL_TARGET_RESTS;
  tunnel->target = edge_target_ref (target);
  if (ask.deadline_ms > 0)
    tunnel->open_max_ms = (uint64_t)ask.deadline_ms + DEADLINE_SLACK_MS;
  return EDGE_TUNNEL_OPEN;
}

static void
read_head (struct tunnel *tunnel)
{
  char piece[EDGE_TUNNEL_HEAD_BYTES];
  ssize_t got
      = recv (tunnel->origin.fd, piece,
              EDGE_TUNNEL_HEAD_BYTES - tunnel->head->len, MSG_DONTWAIT);
  if (got < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (got <= 0)
    {
      close_tunnel (tunnel, false, "no request");
      return;
    }
  g_string_append_len (tunnel->head, piece, got);
  if (!g_str_has_suffix (tunnel->head->str, "\r\n\r\n"))
    {
      if (tunnel->head->len >= EDGE_TUNNEL_HEAD_BYTES)
        respond (tunnel, EDGE_TUNNEL_NO_TARGET);
      return;
    }
  enum edge_tunnel_status status = check_ask (tunnel);
  if (status == EDGE_TUNNEL_OPEN)
    connect_target (tunnel);
  else
    respond (tunnel, status);
}

/* Returns whether bytes of the other router have not reached the target, which
   has ended its connection. */
static bool
has_unsent (const struct tunnel *tunnel)
{
  int unread = 0;
  return tunnel->destination.out->len > 0
         || (ioctl (tunnel->origin.fd, SIOCINQ, &unread) == 0 && unread > 0)
         || http_early_end (tunnel->destination.fd);
}

/* Handles the end of one of the connections; @p error is 0 for an orderly
   one. */
static void
end_side (struct side *side, int error)
{
  struct tunnel *tunnel = side->tunnel;
  if (side == &tunnel->origin)
    close_tunnel (tunnel, false, "the other router closed the connection");
  else if (error != 0)
    close_tunnel (tunnel, true, "the target reset the connection");
  /* The other router can't tell: what it sent is here. */
  else if (tunnel->body_end == HTTP_BODY_END_CONNECTION && has_unsent (tunnel))
    close_tunnel (tunnel, true, "the target ended before it had the request");
  else if (tunnel->origin.out->len == 0)
    close_tunnel (tunnel, false, "complete");
  else
    {
      tunnel->step = TUNNEL_FLUSHES;
      close_side (side, false);
    }
}

/* Reads a head that ends at @p end.  Returns whether it is that of the final
   response. */
static bool
read_response_head (struct tunnel *tunnel, const char *end)
{
  struct edge *edge = tunnel->relay->edge;
  const struct edge_dialect *dialect = edge->options.dialect;
  struct edge_target_response response = { 0 };
  char *text = g_strndup (tunnel->response->str,
                          (gsize)(end - tunnel->response->str));
  char **lines = g_strsplit (text, "\r\n", -1);
  response.status = http_status_line_read (lines[0] ? lines[0] : "");
  response.lines = g_ptr_array_new_with_free_func (g_free);
  tunnel->body_end = HTTP_BODY_END_CONNECTION;
  for (char **line = lines; *line; line++)
    {
      char *colon = strchr (*line, ':');
      if (!colon || line == lines)
        continue;
      *colon = '\0';
      http_body_end_read (&tunnel->body_end, *line, strlen (*line));
      dialect->read_response_header (dialect, &response, "", *line,
                                     g_strstrip (colon + 1));
    }
  bool is_final = response.status >= STATUS_OK;
  http_body_end_read_status (&tunnel->body_end, response.status);
  if (is_final)
    edge_reach_note_head (edge, tunnel->target, &response, tunnel->peer);
  g_ptr_array_unref (response.lines);
  g_strfreev (lines);
  g_free (text);
  return is_final;
}

/* Takes note of what the target says of itself: it said it to this router. */
static void
scan_response (struct tunnel *tunnel, const guint8 *data, size_t bytes)
{
  const char *end;
  if (!tunnel->response)
    return;
  g_string_append_len (tunnel->response, (const char *)data, (gssize)bytes);
  bool is_over = tunnel->response->len > RESPONSE_HEAD_BYTES;
  while (!is_over && (end = strstr (tunnel->response->str, "\r\n\r\n")))
    {
      is_over = read_response_head (tunnel, end);
      g_string_erase (tunnel->response, 0, end + 4 - tunnel->response->str);
    }
  if (!is_over)
    return;
  g_string_free (tunnel->response, TRUE);
  tunnel->response = NULL;
}

static void
pass_on (struct side *side)
{
  guint8 piece[PIECE_BYTES];
  ssize_t got = recv (side->fd, piece, sizeof piece, MSG_DONTWAIT);
  if (got < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (got <= 0)
    {
      end_side (side, got < 0 ? errno : 0);
      return;
    }
  side->tunnel->bytes += (uint64_t)got;
  if (side == &side->tunnel->destination)
    scan_response (side->tunnel, piece, (size_t)got);
  g_byte_array_append (side->other->out, piece, (guint)got);
  if (!flush (side->other))
    end_side (side->other, EPIPE);
}

static void
run_side (struct side *side, uint32_t events)
{
  struct tunnel *tunnel = side->tunnel;
  if ((events & EPOLLOUT) && !flush (side))
    {
      end_side (side, EPIPE);
      return;
    }
  if (tunnel->step == TUNNEL_FLUSHES)
    {
      if (events & (EPOLLERR | EPOLLHUP))
        close_tunnel (tunnel, true, "the other router closed the connection");
      else if (side->out->len == 0)
        close_tunnel (tunnel, false, "complete");
      return;
    }
  if (events & (EPOLLIN | EPOLLERR | EPOLLHUP))
    pass_on (side);
}

static void
handle_side (struct router_watch *watch, uint32_t events)
{
  struct side *side = (struct side *)watch;
  struct tunnel *tunnel = side->tunnel;
  int error = 0;
  socklen_t bytes = sizeof error;
  if (side->fd < 0)
    return;
  switch (tunnel->step)
    {
    case TUNNEL_READS_HEAD:
      read_head (tunnel);
      break;
    case TUNNEL_CONNECTS:
      if (side == &tunnel->origin)
        {
          close_tunnel (tunnel, false, "the other router has left");
          break;
        }
      getsockopt (side->fd, SOL_SOCKET, SO_ERROR, &error, &bytes);
      end_connect (tunnel, error);
      break;
    case TUNNEL_OPEN:
    case TUNNEL_FLUSHES:
      run_side (side, events);
      break;
    case TUNNEL_CLOSED:
    default:
      return;
    }
  if (tunnel->step == TUNNEL_OPEN || tunnel->step == TUNNEL_FLUSHES)
    update_events (tunnel);
}

/* The other router closes the connection before it has the whole response only
   when its caller has left: what it sent before is not passed on any more. */
static void
handle_origin_close (struct router_watch *watch, uint32_t events)
{
  struct tunnel *tunnel = ((struct close_watch *)watch)->side->tunnel;
  (void)events;
  close_tunnel (tunnel, false, "the other router closed the connection");
}

static void
init_side (struct tunnel *tunnel, struct side *side, struct side *other,
           int fd)
{
  side->watch.ready = handle_side;
  side->tunnel = tunnel;
  side->other = other;
  side->fd = fd;
  side->out = g_byte_array_new ();
}

static void
accept_tunnel (struct router_watch *watch, uint32_t events)
{
  struct edge_relay *relay = (struct edge_relay *)watch;
  struct sockaddr_in address;
  socklen_t bytes = sizeof address;
  (void)events;
  int fd = accept4 (relay->listener, (struct sockaddr *)&address, &bytes,
                    SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0)
    return;
  struct tunnel *tunnel = g_new0 (struct tunnel, 1);
  tunnel->relay = relay;
  tunnel->started_ms = edge_now_ms ();
  tunnel->due_ms = tunnel->started_ms + HEAD_TIMEOUT_MS;
  tunnel->open_max_ms = UINT64_MAX;
  tunnel->head = g_string_new (NULL);
  tunnel->response = g_string_new (NULL);
  tunnel->link.data = tunnel;
  inet_ntop (AF_INET, &address.sin_addr, tunnel->peer, sizeof tunnel->peer);
  init_side (tunnel, &tunnel->origin, &tunnel->destination, fd);
  init_side (tunnel, &tunnel->destination, &tunnel->origin, -1);
  set_options (fd);
  g_queue_push_tail_link (&relay->tunnels, &tunnel->link);
  tunnel->origin.events = EPOLLIN;
  router_poll_watch (relay->edge->loop, fd, EPOLLIN, &tunnel->origin.watch);
  tunnel->origin.close.watch.ready = handle_origin_close;
  tunnel->origin.close.side = &tunnel->origin;
  router_poll_watch_close (relay->edge->loop, fd, &tunnel->origin.close.watch);
}

struct edge_relay *
edge_relay_create (struct edge *edge, const char *address, uint16_t port)
{
  int yes = 1;
  struct sockaddr_in name
      = { .sin_family = AF_INET, .sin_port = htons (port) };
  struct edge_relay *relay = g_new0 (struct edge_relay, 1);
  relay->edge = edge;
  relay->watch.ready = accept_tunnel;
  g_queue_init (&relay->tunnels);
  relay->listener
      = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  setsockopt (relay->listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  if (relay->listener >= 0 && inet_pton (AF_INET, address, &name.sin_addr) == 1
      && bind (relay->listener, (struct sockaddr *)&name, sizeof name) == 0
      && listen (relay->listener, BACKLOG) == 0
      && router_poll_watch (edge->loop, relay->listener, EPOLLIN,
                            &relay->watch)
             == 0)
    return relay;
  if (relay->listener >= 0)
    close (relay->listener);
  g_free (relay);
  return NULL;
}

static void
free_closed (struct edge_relay *relay)
{
  GList *link = relay->tunnels.head;
  while (link && relay->closed > 0)
    {
      struct tunnel *tunnel = link->data;
      link = link->next;
      if (tunnel->step != TUNNEL_CLOSED)
        continue;
      relay->closed--;
      free_tunnel (tunnel);
    }
}

void
edge_relay_run (struct edge_relay *relay, uint64_t now_ms)
{
  if (!relay || relay->tunnels.length == 0)
    return;
  for (GList *link = relay->tunnels.head; link; link = link->next)
    {
      struct tunnel *tunnel = link->data;
      bool is_open
          = tunnel->step == TUNNEL_OPEN || tunnel->step == TUNNEL_FLUSHES;
      if (is_open && now_ms - tunnel->started_ms >= tunnel->open_max_ms)
        close_tunnel (tunnel, true, "the deadline of the request passed");
      if (is_open || now_ms < tunnel->due_ms)
        continue;
      if (tunnel->step == TUNNEL_READS_HEAD)
        close_tunnel (tunnel, false, "no request");
      else if (tunnel->step == TUNNEL_CONNECTS)
        end_connect (tunnel, ETIMEDOUT);
    }
  free_closed (relay);
}

uint32_t
edge_relay_open (const struct edge_relay *relay)
{
  return relay ? relay->tunnels.length - relay->closed : 0;
}

void
edge_relay_destroy (struct edge_relay *relay)
{
  if (!relay)
    return;
  for (GList *link = relay->tunnels.head; link; link = link->next)
    close_tunnel (link->data, true, "this router stops");
  free_closed (relay);
  router_poll_unwatch (relay->edge->loop, relay->listener);
  close (relay->listener);
  g_free (relay);
}
