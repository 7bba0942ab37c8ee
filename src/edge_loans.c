#include "edge_loans.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "base_event.h"
#include "edge_borrower.h"
#include "edge_lender.h"
#include "edge_request.h"

/* Maximum number of datagrams read at once. */
#define READ_MAX 64

struct edge_loans
{
  struct router_watch watch;
  struct edge_loan_sender sender;
  struct edge_borrower_callbacks callbacks;
  struct edge *edge;
  int fd;
  /* Random number that tells this process's loans from those of the processes
     before it. */
  uint64_t incarnation;
  struct edge_lender *lender;
  struct edge_borrower *borrower;
};

static void
send_datagram (struct edge_loan_sender *sender,
               const struct edge_loan_endpoint *to,
               const struct loan_message *message)
{
  struct edge_loans *loans
      = (struct edge_loans *)((char *)sender
                              - G_STRUCT_OFFSET (struct edge_loans, sender));
  const struct edge *edge = loans->edge;
  char bytes[LOAN_DATAGRAM_BYTES];
  struct loan_message sent = *message;
  struct sockaddr_in name = { .sin_family = AF_INET,
                              .sin_port = htons (to->port),
                              .sin_addr.s_addr = to->address };
  XDR stream;
  sent.protocol = LOAN_VERSION;
  sent.cluster = (char *)edge->options.cluster;
  if (!sent.borrower)
    {
      sent.borrower = (char *)edge->options.host;
      sent.incarnation = loans->incarnation;
    }
  xdrmem_create (&stream, bytes, sizeof bytes, XDR_ENCODE);
  /* A datagram that isn't sent counts as lost. */
  if (xdr_loan_message (&stream, &sent))
    sendto (loans->fd, bytes, xdr_getpos (&stream), MSG_DONTWAIT,
            (struct sockaddr *)&name, sizeof name);
  xdr_destroy (&stream);
}

static void
handle_decision (struct edge_borrower_callbacks *callbacks, void *context,
                 const char *lender, enum edge_borrower_outcome outcome)
{
  struct edge_loans *loans
      = (struct edge_loans *)((char *)callbacks
                              - G_STRUCT_OFFSET (struct edge_loans,
                                                 callbacks));
  if (outcome == EDGE_BORROWER_UNANSWERED)
    {
      edge_peers_note_lender_lost (loans->edge->peers, lender, edge_now_ms ());
      base_event ("lender-lost router=%s", lender);
    }
  edge_request_handle_loan (context, outcome);
}

/* Handles a message after its sender and form were checked. */
static void
handle_message (struct edge_loans *loans, const struct loan_message *message,
                const struct edge_loan_endpoint *from)
{
  struct edge *edge = loans->edge;
  uint64_t now_ms = edge_now_ms ();
  if (message->protocol != LOAN_VERSION
      || strcmp (message->cluster, edge->options.cluster) != 0)
    return;
  if (message->kind == LOAN_ASK || message->kind == LOAN_SETTLE)
    edge_lender_handle (loans->lender, message, from,
                        edge_control_is_unreachable (edge), now_ms);
  else if (strcmp (message->borrower, edge->options.host) == 0
           && message->incarnation == loans->incarnation)
    edge_borrower_handle (loans->borrower, message, now_ms);
}

/* Reads one datagram.  Returns false when there is none. */
static bool
read_datagram (struct edge_loans *loans)
{
  char bytes[LOAN_DATAGRAM_BYTES];
  char address[INET_ADDRSTRLEN];
  struct sockaddr_in name = { 0 };
  socklen_t name_bytes = sizeof name;
  struct loan_message message = { 0 };
  XDR stream;
  ssize_t count = recvfrom (loans->fd, bytes, sizeof bytes, MSG_DONTWAIT,
                            (struct sockaddr *)&name, &name_bytes);
  if (count < 0)
    return errno != EAGAIN && errno != EWOULDBLOCK;
  inet_ntop (AF_INET, &name.sin_addr, address, sizeof address);
  if (!edge_peers_has_address (loans->edge->peers, address))
    return true;
  const struct edge_loan_endpoint from
      = { name.sin_addr.s_addr, ntohs (name.sin_port) };
  xdrmem_create (&stream, bytes, (u_int)count, XDR_DECODE);
  if (xdr_loan_message (&stream, &message))
    handle_message (loans, &message, &from);
  xdr_destroy (&stream);
  xdr_free ((xdrproc_t)xdr_loan_message, (char *)&message);
  return true;
}

static void
handle_readable (struct router_watch *watch, uint32_t events)
{
  struct edge_loans *loans = (struct edge_loans *)watch;
  (void)events;
  for (uint32_t i = 0; i < READ_MAX && read_datagram (loans); i++)
    continue;
}

struct edge_loans *
edge_loans_create (struct edge *edge, const char *address, uint16_t port)
{
  struct sockaddr_in name
      = { .sin_family = AF_INET, .sin_port = htons (port) };
  struct edge_loans *loans = g_new0 (struct edge_loans, 1);
  loans->edge = edge;
  loans->incarnation = base_random_next (&edge->random);
  loans->watch.ready = handle_readable;
  loans->sender.send = send_datagram;
  loans->callbacks.decided = handle_decision;
  loans->fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (loans->fd < 0 || inet_pton (AF_INET, address, &name.sin_addr) != 1
      || bind (loans->fd, (struct sockaddr *)&name, sizeof name) != 0
      || router_poll_watch (edge->loop, loans->fd, EPOLLIN, &loans->watch)
             != 0)
    goto failed;
  loans->lender = edge_lender_create (edge->prepaid, &loans->sender);
  loans->borrower = edge_borrower_create (&loans->sender, &loans->callbacks);
  return loans;

failed:
  if (loans->fd >= 0)
    close (loans->fd);
  g_free (loans);
  return NULL;
}

void
edge_loans_destroy (struct edge_loans *loans)
{
  if (!loans)
    return;
  router_poll_unwatch (loans->edge->loop, loans->fd);
  close (loans->fd);
  edge_borrower_destroy (loans->borrower);
  edge_lender_destroy (loans->lender);
  g_free (loans);
}

bool
edge_loans_ask (struct edge_request *request)
{
  struct edge *edge = request->edge;
  uint64_t now_ms = edge_now_ms ();
  struct edge_loan_endpoint endpoint;
  if (!edge->loans)
    return false;
  const struct edge_peer *lender = edge_peers_choose_lender (
      edge->peers, edge->options.host, request->account->name, now_ms);
  if (!lender || inet_pton (AF_INET, lender->address, &endpoint.address) != 1)
    return false;
  endpoint.port = lender->port;
  request->loan = edge_borrower_ask (
      edge->loans->borrower, lender->name, &endpoint, request->account->name,
      request->reserved_tokens, request, now_ms);
  return true;
}

void
edge_loans_settle (struct edge_request *request, uint64_t used_tokens)
{
  if (request->loan != 0)
    edge_borrower_settle (request->edge->loans->borrower, request->loan,
                          used_tokens, edge_now_ms ());
  request->loan = 0;
}

void
edge_loans_run (struct edge_loans *loans, uint64_t now_ms)
{
  if (!loans)
    return;
  edge_lender_run (loans->lender, edge_control_is_unreachable (loans->edge),
                   now_ms);
  edge_borrower_run (loans->borrower, now_ms);
}
