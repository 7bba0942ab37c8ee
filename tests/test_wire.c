/** @file
 *  Tests of the RPC server and client over loopback. */

#include <arpa/inet.h>
#include <poll.h>
#include <stdatomic.h>
#include <malloc.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "link_relay.h"
#include "wire_client.h"
#include "wire_control.h"
#include "wire_ledger.h"
#include "wire_replies.h"
#include "wire_server.h"

/* Timeout of calls that are posted to a silent connection, in milliseconds. */
#define SILENT_MS 200
/* Time after which a server closes an idle connection, in milliseconds. */
#define IDLE_LIMIT_MS 100

/* Answers budget calls with the budget's id + 1, in every third round. */
struct late_handler
{
  struct wire_handler base;
  struct wire_call *waiting[64];
  uint64_t ids[64];
  uint32_t count;
  uint32_t rounds;
};

static void
take_call (struct wire_handler *handler, struct wire_call *call)
{
  struct late_handler *late = (struct late_handler *)handler;
  struct ledger_budget_args args = { 0 };
  if (!wire_call_args (call, (xdrproc_t)xdr_ledger_budget_args, &args))
    {
      wire_call_fail (call);
      return;
    }
  late->waiting[late->count] = call;
  late->ids[late->count++] = args.budget_id;
}

/* Answers the waiting calls in every third round. */
static void
answer_waiting_calls (struct wire_handler *handler)
{
  struct late_handler *late = (struct late_handler *)handler;
  if (++late->rounds % 3 != 0)
    return;
  for (uint32_t i = 0; i < late->count; i++)
    {
      struct ledger_budget_result result = { 0 };
      result.free_tokens = late->ids[i] + 1;
      wire_call_reply (late->waiting[i], (xdrproc_t)xdr_ledger_budget_result,
                       &result);
    }
  late->count = 0;
}

static atomic_bool stopping;

static gpointer
serve (gpointer data)
{
  while (!atomic_load (&stopping))
    wire_server_round (data, 1);
  return NULL;
}

static gpointer
call_many (gpointer data)
{
  uint16_t port = (uint16_t)GPOINTER_TO_UINT (data);
  struct wire_client *client
      = wire_client_create ("127.0.0.1", port, LEDGER_PROGRAM, LEDGER_VERSION);
  for (uint64_t i = 0; i < 100; i++)
    {
      struct ledger_budget_args args = { i };
      struct ledger_budget_result result;
      enum wire_status status = wire_client_call (
          client, LEDGER_BUDGET, (xdrproc_t)xdr_ledger_budget_args, &args,
          (xdrproc_t)xdr_ledger_budget_result, &result, sizeof result, 60000);
      g_assert_cmpint (status, ==, WIRE_OK);
      g_assert_cmpuint (result.free_tokens, ==, i + 1);
    }
  wire_client_destroy (client);
  return NULL;
}

/* Connects with a small receive buffer and sends the bytes. */
static int
connect_raw (uint16_t port, const char *bytes, size_t count)
{
  int receive_bytes = 2048;
  struct timeval limit = { .tv_sec = 30 };
  struct sockaddr_in name
      = { .sin_family = AF_INET, .sin_port = htons (port) };
  name.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof receive_bytes);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  g_assert_cmpint (connect (fd, (struct sockaddr *)&name, sizeof name), ==, 0);
  g_assert_cmpint (send (fd, bytes, count, 0), ==, (ssize_t)count);
  return fd;
}

/* Concurrent clients get the right replies, in later rounds, while one peer
   has sent half a call and another one invalid bytes. */
static void
test_calls (void)
{
  struct wire_program program = { LEDGER_PROGRAM, LEDGER_VERSION };
  struct late_handler handler
      = { .base = { .call = take_call, .round = answer_waiting_calls } };
  struct wire_server *server
      = wire_server_create ("127.0.0.1", 0, &program, 1, &handler.base);
  g_assert_nonnull (server);
  uint16_t port = wire_server_port (server);
  GThread *thread = g_thread_new ("server", serve, server);
  int half = connect_raw (port, "\x80\x00\x00\x30half", 8);
  int huge = connect_raw (port, "\xff\xff\xff\xff nonsense", 13);
  GThread *callers[8];
  for (int i = 0; i < 8; i++)
    callers[i]
        = g_thread_new ("caller", call_many, GUINT_TO_POINTER ((guint)port));
  for (int i = 0; i < 8; i++)
    g_thread_join (callers[i]);
  close (half);
  close (huge);
  atomic_store (&stopping, true);
  wire_server_wake (server);
  g_thread_join (thread);
  wire_server_destroy (server);
}

#define BIG_REPLY_BYTES 190000

/* Answers a bills call with a large reply and a budget call with a small one.
 */
static void
answer_by_size (struct wire_handler *handler, struct wire_call *call)
{
  (void)handler;
  if (wire_call_procedure (call) == LEDGER_BILLS)
    {
      static char document[BIG_REPLY_BYTES];
      char empty[1] = "";
      struct control_bundle_result big = { .signer = empty };
      big.answer.leader_address = empty;
      big.answer.text = empty;
      big.document.document_val = document;
      big.document.document_len = sizeof document;
      wire_call_reply (call, (xdrproc_t)xdr_control_bundle_result, &big);
      return;
    }
  struct ledger_budget_args args = { 0 };
  struct ledger_budget_result small = { 0 };
  g_assert_true (
      wire_call_args (call, (xdrproc_t)xdr_ledger_budget_args, &args));
  small.free_tokens = args.budget_id;
  wire_call_reply (call, (xdrproc_t)xdr_ledger_budget_result, &small);
}

static void
call_budget (uint16_t port, uint64_t id)
{
  struct ledger_budget_args args = { id };
  struct ledger_budget_result result;
  struct wire_client *client
      = wire_client_create ("127.0.0.1", port, LEDGER_PROGRAM, LEDGER_VERSION);
  g_assert_cmpint (wire_client_call (client, LEDGER_BUDGET,
                                     (xdrproc_t)xdr_ledger_budget_args, &args,
                                     (xdrproc_t)xdr_ledger_budget_result,
                                     &result, sizeof result, 60000),
                   ==, WIRE_OK);
  g_assert_cmpuint (result.free_tokens, ==, id);
  wire_client_destroy (client);
}

/* A peer that stops reading delays no other one and is not disconnected: it
   gets its whole reply once it reads again. */
static void
test_frozen_peer (void)
{
  static const uint32_t words[]
      = { 0x80000028, 7, 0, 2, LEDGER_PROGRAM, LEDGER_VERSION, LEDGER_BILLS,
          0,          0, 0, 0 };
  struct wire_program program = { LEDGER_PROGRAM, LEDGER_VERSION };
  struct wire_handler handler = { .call = answer_by_size };
  uint32_t call[G_N_ELEMENTS (words)];
  for (size_t i = 0; i < G_N_ELEMENTS (words); i++)
    call[i] = htonl (words[i]);
  struct wire_server *server
      = wire_server_create ("127.0.0.1", 0, &program, 1, &handler);
  atomic_store (&stopping, false);
  GThread *thread = g_thread_new ("server", serve, server);
  uint16_t port = wire_server_port (server);
  int frozen = connect_raw (port, (const char *)call, sizeof call);
  call_budget (port, 1);
  call_budget (port, 2);
  size_t got = 0;
  char buffer[16384];
  while (got < BIG_REPLY_BYTES)
    {
      ssize_t bytes = recv (frozen, buffer, sizeof buffer, 0);
      g_assert_cmpint (bytes, >, 0);
      got += (size_t)bytes;
    }
  close (frozen);
  atomic_store (&stopping, true);
  wire_server_wake (server);
  g_thread_join (thread);
  wire_server_destroy (server);
}

/* Answers a push call with the size of its document. */
static void
take_document (struct wire_handler *handler, struct wire_call *call)
{
  struct control_push_args args = { 0 };
  u_int bytes = 0;
  (void)handler;
  if (!wire_call_args (call, (xdrproc_t)xdr_control_push_args, &args))
    {
      wire_call_fail (call);
      return;
    }
  bytes = args.document.document_len;
  wire_call_reply (call, (xdrproc_t)xdr_u_int, &bytes);
  xdr_free ((xdrproc_t)xdr_control_push_args, (char *)&args);
}

#define LEAK_CALLS 2000

/* Calls larger than the 64 KB of the RPC library's buffers, up to the size of
   a bundle. */
static void
test_large (void)
{
  static const u_int sizes[] = { 100, 65000, 66000, 1000000, 8000000 };
  struct wire_program program = { CONTROL_PROGRAM, CONTROL_VERSION };
  struct wire_handler handler = { .call = take_document };
  char name[] = "x";
  atomic_store (&stopping, false);
  struct wire_server *server
      = wire_server_create ("127.0.0.1", 0, &program, 1, &handler);
  g_assert_nonnull (server);
  GThread *thread = g_thread_new ("server", serve, server);
  struct wire_client *client
      = wire_client_create ("127.0.0.1", wire_server_port (server),
                            CONTROL_PROGRAM, CONTROL_VERSION);
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      struct control_push_args args = { .cluster = name, .signer = name };
      u_int bytes = 0;
      args.document.document_len = sizes[i];
      args.document.document_val = g_malloc0 (sizes[i]);
      g_assert_cmpint (wire_client_call (client, CONTROL_PUSH,
                                         (xdrproc_t)xdr_control_push_args,
                                         &args, (xdrproc_t)xdr_u_int, &bytes,
                                         sizeof bytes, 60000),
                       ==, WIRE_OK);
      g_assert_cmpuint (bytes, ==, sizes[i]);
      g_free (args.document.document_val);
    }
  wire_client_destroy (client);
  atomic_store (&stopping, true);
  wire_server_wake (server);
  g_thread_join (thread);
  wire_server_destroy (server);
}

/* Encodes the start of push arguments and leaves out the rest. */
static bool_t
xdr_truncated_push (XDR *stream, struct control_push_args *args)
{
  return xdr_wire_name (stream, &args->cluster)
         && xdr_u_quad_t (stream, &args->bundle_version)
         && xdr_wire_name (stream, &args->signer);
}

/* What was decoded of arguments that end too early is freed. */
static void
test_undecodable_arguments_leak (void)
{
  struct wire_program program = { CONTROL_PROGRAM, CONTROL_VERSION };
  struct wire_handler handler = { .call = take_document };
  char name[100];
  memset (name, 'x', sizeof name - 1);
  name[sizeof name - 1] = '\0';
  struct control_push_args args = { .cluster = name, .signer = name };
  struct wire_server *server
      = wire_server_create ("127.0.0.1", 0, &program, 1, &handler);
  g_assert_nonnull (server);
  atomic_store (&stopping, false);
  GThread *thread = g_thread_new ("server", serve, server);
  struct wire_client *client
      = wire_client_create ("127.0.0.1", wire_server_port (server),
                            CONTROL_PROGRAM, CONTROL_VERSION);
  size_t heap_bytes = 0;
  for (uint32_t i = 0; i < LEAK_CALLS; i++)
    {
      u_int bytes = 0;
      if (i == LEAK_CALLS / 10)
        heap_bytes = mallinfo2 ().uordblks;
      g_assert_cmpint (wire_client_call (client, CONTROL_PUSH,
                                         (xdrproc_t)xdr_truncated_push, &args,
                                         (xdrproc_t)xdr_u_int, &bytes,
                                         sizeof bytes, 60000),
                       ==, WIRE_REFUSED);
    }
  g_assert_cmpuint (mallinfo2 ().uordblks, <,
                    heap_bytes + LEAK_CALLS * sizeof name / 4);
  wire_client_destroy (client);
  atomic_store (&stopping, true);
  wire_server_wake (server);
  g_thread_join (thread);
  wire_server_destroy (server);
}

#define POSTS 500

/* Counts budget calls and checks that their ids arrive in order. */
struct counting_handler
{
  struct wire_handler base;
  _Atomic uint64_t count;
};

static void
count_call (struct wire_handler *handler, struct wire_call *call)
{
  struct counting_handler *counting = (struct counting_handler *)handler;
  struct ledger_budget_args args = { 0 };
  struct ledger_budget_result result = { 0 };
  g_assert_true (
      wire_call_args (call, (xdrproc_t)xdr_ledger_budget_args, &args));
  g_assert_cmpuint (args.budget_id, ==, atomic_load (&counting->count));
  atomic_fetch_add (&counting->count, 1);
  wire_call_reply (call, (xdrproc_t)xdr_ledger_budget_result, &result);
}

/* Posted calls are all received, in order, without waiting for replies: the
   relay holds the replies back until all calls have arrived. */
static void
test_posts (void)
{
  struct wire_program program = { LEDGER_PROGRAM, LEDGER_VERSION };
  struct counting_handler handler = { .base = { .call = count_call } };
  atomic_store (&stopping, false);
  struct wire_server *server
      = wire_server_create ("127.0.0.1", 0, &program, 1, &handler.base);
  struct link_relay *link = link_relay_create ();
  uint16_t port = link_relay_add_listener (link, "127.0.0.1", 0, "127.0.0.1",
                                           wire_server_port (server));
  link_relay_set_mute (link, true);
  struct wire_client *client
      = wire_client_create ("127.0.0.1", port, LEDGER_PROGRAM, LEDGER_VERSION);
  for (uint64_t i = 0; i < POSTS; i++)
    {
      struct ledger_budget_args args = { i };
      g_assert_cmpint (wire_client_post (client, LEDGER_BUDGET,
                                         (xdrproc_t)xdr_ledger_budget_args,
                                         &args, 60000),
                       ==, WIRE_OK);
    }
  while (atomic_load (&handler.count) < POSTS)
    wire_server_round (server, 10);
  link_relay_set_mute (link, false);
  wire_client_destroy (client);
  link_relay_destroy (link);
  wire_server_destroy (server);
}

static enum wire_status
post_budget (struct wire_client *client, uint64_t id, uint32_t timeout_ms)
{
  struct ledger_budget_args args = { id };
  return wire_client_post (client, LEDGER_BUDGET,
                           (xdrproc_t)xdr_ledger_budget_args, &args,
                           timeout_ms);
}

/* Guards against posts into a connection that takes bytes for ever and
   delivers none: it is replaced once the reply is overdue. */
static void
test_posts_on_a_silent_connection (void)
{
  struct wire_program program = { LEDGER_PROGRAM, LEDGER_VERSION };
  struct counting_handler handler = { .base = { .call = count_call } };
  struct base_random random;
  struct wire_posts posts;
  base_random_seed (&random, 1);
  struct wire_server *server
      = wire_server_create ("127.0.0.1", 0, &program, 1, &handler.base);
  struct link_relay *link = link_relay_create ();
  uint16_t port = link_relay_add_listener (link, "127.0.0.1", 0, "127.0.0.1",
                                           wire_server_port (server));
  struct wire_client *client
      = wire_client_create ("127.0.0.1", port, LEDGER_PROGRAM, LEDGER_VERSION);
  g_assert_cmpint (post_budget (client, 0, SILENT_MS), ==, WIRE_OK);
  while (atomic_load (&handler.count) < 1)
    wire_server_round (server, 10);
  for (uint32_t i = 0; i < 2 * SILENT_MS / 10; i++)
    wire_server_round (server, 10);
  /* The reply to the first call came, so the connection isn't overdue. */
  wire_client_check_posts (client, &posts);
  g_assert_false (posts.is_dropped);
  g_assert_cmpuint (posts.replies, ==, 1);
  link_relay_silence (link, LINK_BOTH, 100, &random);
  g_assert_cmpint (post_budget (client, 7, SILENT_MS), ==, WIRE_OK);
  g_usleep (1000 * (SILENT_MS + 10));
  wire_client_check_posts (client, &posts);
  g_assert_true (posts.is_dropped);
  g_assert_cmpuint (posts.open_calls, ==, 1);
  g_assert_cmpint (post_budget (client, 1, SILENT_MS), ==, WIRE_OK);
  while (atomic_load (&handler.count) < 2)
    wire_server_round (server, 10);
  wire_client_destroy (client);
  link_relay_destroy (link);
  wire_server_destroy (server);
}

/* Guards against a connection that is never given up while large calls follow
   each other: only the oldest one puts the end off, and not for long. */
static void
test_large_calls_on_a_silent_connection (void)
{
  struct wire_replies *replies = wire_replies_create ();
  for (uint64_t now_ms = 0; now_ms < 5000; now_ms += 1000)
    {
      wire_replies_note_call (replies, 262144, now_ms);
      wire_replies_note_unacknowledged (replies, 0, now_ms);
    }
  g_assert_cmpuint (wire_replies_due_ms (replies, 1000), <=, 3000);
  wire_replies_destroy (replies);
}

/* A call that the peer's kernel is still acknowledging is on its way. */
static void
test_large_call_on_a_slow_connection (void)
{
  struct wire_replies *replies = wire_replies_create ();
  wire_replies_note_call (replies, 1000000, 0);
  wire_replies_note_unacknowledged (replies, 1000000, 10);
  g_assert_cmpuint (wire_replies_silent_ms (replies, 900), ==, 900);
  wire_replies_note_unacknowledged (replies, 900000, 1000);
  g_assert_cmpuint (wire_replies_silent_ms (replies, 1500), ==, 500);
  wire_replies_note_unacknowledged (replies, 400000, 1900);
  wire_replies_note_unacknowledged (replies, 0, 2800);
  g_assert_cmpuint (wire_replies_silent_ms (replies, 2800), ==, 900);
  /* Acknowledged as a whole, it must be answered. */
  wire_replies_note_call (replies, 100, 3000);
  wire_replies_note_unacknowledged (replies, 0, 3100);
  g_assert_cmpuint (wire_replies_silent_ms (replies, 3100), ==, 1200);
  wire_replies_destroy (replies);
}

/* Replies are counted however their bytes and fragments are split. */
static void
test_replies_in_parts (void)
{
  static const char stream[] = "\0\0\0\2ab\x80\0\0\3cde\x80\0\0\0"
                               "\0\0\0\0\x80\0\0\1f";
  for (size_t part = 1; part < sizeof stream; part++)
    {
      struct wire_replies *replies = wire_replies_create ();
      for (uint32_t i = 0; i < 4; i++)
        wire_replies_note_call (replies, 100, 1000);
      for (size_t at = 0; at < sizeof stream - 1; at += part)
        wire_replies_note_bytes (replies, stream + at,
                                 MIN (part, sizeof stream - 1 - at), 1500);
      g_assert_cmpuint (wire_replies_received (replies), ==, 3);
      g_assert_cmpuint (wire_replies_open (replies), ==, 1);
      g_assert_cmpuint (wire_replies_silent_ms (replies, 1700), ==, 200);
      g_assert_cmpuint (wire_replies_due_ms (replies, 300), ==, 1800);
      wire_replies_destroy (replies);
    }
}

/* A call to a port where nobody listens ends as WIRE_UNSENT. */
static void
test_unsent (void)
{
  struct ledger_budget_args args = { 1 };
  struct ledger_budget_result result;
  struct wire_client *client
      = wire_client_create ("127.0.0.1", 1, LEDGER_PROGRAM, LEDGER_VERSION);
  g_assert_cmpint (wire_client_call (client, LEDGER_BUDGET,
                                     (xdrproc_t)xdr_ledger_budget_args, &args,
                                     (xdrproc_t)xdr_ledger_budget_result,
                                     &result, sizeof result, 1000),
                   ==, WIRE_UNSENT);
  wire_client_destroy (client);
}

/* Connects and sends only the first 5000 bytes of a record of 100000. */
static int
send_half_a_call (uint16_t port)
{
  struct sockaddr_in name
      = { .sin_family = AF_INET, .sin_port = htons (port) };
  uint32_t mark = htonl (UINT32_C (0x80000000) | 100000);
  char half[5000] = { 0 };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  inet_pton (AF_INET, "127.0.0.1", &name.sin_addr);
  g_assert_cmpint (connect (fd, (struct sockaddr *)&name, sizeof name), ==, 0);
  g_assert_cmpint (send (fd, &mark, sizeof mark, 0), ==, sizeof mark);
  g_assert_cmpint (send (fd, half, sizeof half, 0), ==, sizeof half);
  return fd;
}

/* An incomplete call neither stops the server's rounds nor delays other calls.
 */
static void
test_half_sent_call (void)
{
  static const struct wire_program program
      = { LEDGER_PROGRAM, LEDGER_VERSION };
  struct late_handler late = { 0 };
  late.base.call = take_call;
  late.base.round = answer_waiting_calls;
  struct wire_server *server
      = wire_server_create ("127.0.0.1", 0, &program, 1, &late.base);
  g_assert_nonnull (server);
  int fd = send_half_a_call (wire_server_port (server));
  for (uint32_t i = 0; i < 20; i++)
    wire_server_round (server, 1);
  g_assert_cmpuint (late.rounds, ==, 20);
  atomic_store (&stopping, false);
  GThread *thread = g_thread_new ("server", serve, server);
  call_many (GUINT_TO_POINTER (wire_server_port (server)));
  atomic_store (&stopping, true);
  g_thread_join (thread);
  close (fd);
  wire_server_destroy (server);
}

/* Guards against connections that a server keeps for ever since the close of
   their peer never arrived: idle ones are closed, and clients that have been
   idle just connect again. */
static void
test_idle_limit (void)
{
  static const struct wire_program program
      = { LEDGER_PROGRAM, LEDGER_VERSION };
  struct late_handler late = { 0 };
  late.base.call = take_call;
  late.base.round = answer_waiting_calls;
  struct wire_server *server
      = wire_server_create ("127.0.0.1", 0, &program, 1, &late.base);
  g_assert_nonnull (server);
  wire_server_set_idle_limit (server, IDLE_LIMIT_MS);
  uint16_t port = wire_server_port (server);
  struct wire_client *client
      = wire_client_create ("127.0.0.1", port, LEDGER_PROGRAM, LEDGER_VERSION);
  atomic_store (&stopping, false);
  GThread *thread = g_thread_new ("server", serve, server);
  int fd = send_half_a_call (port);
  for (uint64_t i = 0; i < 3; i++)
    {
      struct pollfd ended = { .fd = fd, .events = POLLIN };
      struct ledger_budget_args args = { i };
      struct ledger_budget_result result;
      g_assert_cmpint (wire_client_call (client, LEDGER_BUDGET,
                                         (xdrproc_t)xdr_ledger_budget_args,
                                         &args,
                                         (xdrproc_t)xdr_ledger_budget_result,
                                         &result, sizeof result, 60000),
                       ==, WIRE_OK);
      g_assert_cmpint (poll (&ended, 1, 20 * IDLE_LIMIT_MS), ==, 1);
      g_usleep (2000 * IDLE_LIMIT_MS);
    }
  close (fd);
  wire_client_destroy (client);
  atomic_store (&stopping, true);
  g_thread_join (thread);
  wire_server_destroy (server);
}

/* Connecting to a host that doesn't answer, for example without power, fails
   long before the call's deadline.  A listener with a full queue, which drops
   new connections, stands in for such a host. */
static void
test_silent_host (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t length = sizeof address;
  int queued[8];
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  int listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  g_assert_cmpint (
      bind (listener, (struct sockaddr *)&address, sizeof address), ==, 0);
  g_assert_cmpint (listen (listener, 0), ==, 0);
  g_assert_cmpint (
      getsockname (listener, (struct sockaddr *)&address, &length), ==, 0);
  for (uint32_t i = 0; i < G_N_ELEMENTS (queued); i++)
    {
      queued[i]
          = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      (void)connect (queued[i], (struct sockaddr *)&address, sizeof address);
    }
  gint64 start_us = g_get_monotonic_time ();
  struct control_status_args args = { (char *)"c" };
  struct control_status_result result;
  struct wire_client *client = wire_client_create (
      "127.0.0.1", ntohs (address.sin_port), CONTROL_PROGRAM, CONTROL_VERSION);
  enum wire_status status = wire_client_call (
      client, CONTROL_STATUS, (xdrproc_t)xdr_control_status_args, &args,
      (xdrproc_t)xdr_control_status_result, &result, sizeof result, 60000);
  gint64 took_us = g_get_monotonic_time () - start_us;
  wire_client_destroy (client);
  for (uint32_t i = 0; i < G_N_ELEMENTS (queued); i++)
    close (queued[i]);
  close (listener);
  g_assert_cmpint (status, ==, WIRE_UNSENT);
  /* Well below the call's deadline of 60 s, so that there is time to retry. */
  g_assert_cmpint (took_us, <, 30 * G_TIME_SPAN_SECOND);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/wire/calls", test_calls);
  g_test_add_func ("/wire/frozen-peer", test_frozen_peer);
  g_test_add_func ("/wire/large", test_large);
  g_test_add_func ("/wire/undecodable-arguments-leak",
                   test_undecodable_arguments_leak);
  g_test_add_func ("/wire/posts", test_posts);
  g_test_add_func ("/wire/posts-on-a-silent-connection",
                   test_posts_on_a_silent_connection);
  g_test_add_func ("/wire/large-calls-on-a-silent-connection",
                   test_large_calls_on_a_silent_connection);
  g_test_add_func ("/wire/large-call-on-a-slow-connection",
                   test_large_call_on_a_slow_connection);
  g_test_add_func ("/wire/replies-in-parts", test_replies_in_parts);
  g_test_add_func ("/wire/unsent", test_unsent);
  g_test_add_func ("/wire/idle-limit", test_idle_limit);
  g_test_add_func ("/wire/silent-host", test_silent_host);
  g_test_add_func ("/wire/half-sent-call", test_half_sent_call);
  return g_test_run ();
}
