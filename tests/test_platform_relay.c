/** @file
 *  Tests of the platform's programs as processes with requests that one router
 *  passes on for another: what comes of them when a router dies, stops or
 *  freezes, when the caller leaves, and when the target breaks off. */

#include <signal.h>
#include <stdatomic.h>
#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <glib.h>
#include <sys/socket.h>

#include "platform_raw_target.h"
#include "platform_rig.h"

#define ROUTE(path, kind, resumable)                                          \
  "{\"name\":\"" path "\",\"host\":\"h.example\",\"pathPrefix\":\"/" path     \
  "/\",\"kind\":\"" kind "\",\"timeoutMs\":9000,\"targetLatencyMs\":3000,"    \
  "\"priority\":1,\"service\":\"engine\",\"maxAttempts\":2,"                  \
  "\"public\":false,\"resumable\":" resumable "}"
/* clang-format off */
#define CONFIG                                                                \
  "{\"version\":3,\"routes\":["                                               \
  ROUTE ("order", "unsafe", "false") ","                                      \
  ROUTE ("stream", "streaming", "false") ","                                  \
  ROUTE ("ask", "streaming", "true")                                          \
  "],\"services\":[{\"name\":\"engine\",\"engine\":{\"slots\":8,"             \
  "\"kvCapacityTokens\":100000,\"stride\":1}}],"                              \
  "\"limits\":{\"idleTimeoutMs\":15000},"                                     \
  "\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"k1\"],\"prepaid\":1000}]}"
/* clang-format on */
#define TARGETS 2
#define EVENTS 40
#define EVENT_US 50000
#define CONTACT_US (4 * G_USEC_PER_SEC)
/* Requests of the account that its prepaid tokens cover, and their tokens. */
#define TOKENS_LINE "X-Token-Count: 10,40"
#define TOKENS_EACH 50
#define PREPAID_TOKENS 1000

struct fixture
{
  struct platform_rig *rig;
  char addresses[3][16];
  struct platform_raw_target *targets[TARGETS];
  /* Runs, and those that ended since the other side had gone. */
  atomic_uint runs;
  atomic_uint broken_runs;
  /* Resets the connection after some events. */
  atomic_bool resets;
};

/* Sends a slow plain response without a length, which ends with its
   connection. */
static void
respond_unframed (struct platform_raw_target *raw, int fd, const char *head)
{
  static const char end[] = "Connection: close\r\n\r\n";
  bool sound = platform_raw_target_write_head (raw, fd, head)
               && platform_raw_target_write (fd, end, sizeof end - 1);
  for (uint32_t i = 0; sound && i < EVENTS; i++)
    {
      g_usleep (EVENT_US);
      sound = platform_raw_target_write (fd, "line\n", 5);
    }
}

/* Sends a slow stream, or a slow plain response. */
static void
respond (struct platform_raw_target *raw, int fd, const char *head,
         void *context)
{
  struct fixture *fixture = context;
  static const char plain[] = "Content-Length: 2\r\n\r\nok";
  static const char stream[]
      = "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n";
  static const char last_name[] = "Last-Event-Id: ";
  const char *last = strstr (head, last_name);
  uint32_t first = last ? (uint32_t)g_ascii_strtoull (
                              last + sizeof last_name - 1, NULL, 10)
                              + 1
                        : 1;
  atomic_fetch_add (&fixture->runs, 1);
  if (strstr (head, " /order/unframed"))
    {
      respond_unframed (raw, fd, head);
      return;
    }
  if (strstr (head, " /order/"))
    {
      g_usleep (G_USEC_PER_SEC);
      if (platform_raw_target_write_head (raw, fd, head))
        platform_raw_target_write (fd, plain, sizeof plain - 1);
      return;
    }
  bool sound = platform_raw_target_write_head (raw, fd, head)
               && platform_raw_target_write (fd, stream, sizeof stream - 1);
  for (uint32_t i = first; sound && i <= EVENTS; i++)
    {
      char text[64];
      int bytes = g_snprintf (text, sizeof text, "id: %u\ndata: x\n\n", i);
      g_usleep (EVENT_US);
      sound = platform_raw_target_write (fd, text, (size_t)bytes);
      if (atomic_load (&fixture->resets) && i == first + 5)
        {
          platform_raw_target_reset (fd);
          return;
        }
    }
  atomic_fetch_add (&fixture->broken_runs, !sound);
}

static void
announce (struct fixture *fixture, uint32_t sequence)
{
  for (uint32_t i = 0; i < TARGETS; i++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "t%u", i + 1);
      platform_rig_announce (fixture->rig, id, "engine",
                             platform_raw_target_port (fixture->targets[i]),
                             "ready", sequence);
    }
}

static struct platform_reply
post (const struct fixture *fixture, uint32_t router, const char *path)
{
  static atomic_uint number;
  char *url = g_strdup_printf ("http://%s:%u%s", fixture->addresses[router],
                               (unsigned)fixture->rig->callers_port, path);
  char *id
      = g_strdup_printf ("X-Request-Id: q%u", atomic_fetch_add (&number, 1));
  const char *const lines[] = { "Host: h.example",
                                "X-Deadline-Ms: 9000",
                                TOKENS_LINE,
                                "X-Credential: k1",
                                id,
                                NULL };
  struct platform_reply reply = platform_rig_call ("POST", url, "abc", lines);
  g_free (id);
  g_free (url);
  return reply;
}

/* Starts three routers, of which the first is cut off from the targets, and
   waits until it serves by another one. */
static struct fixture *
set_up (uint32_t more_routers)
{
  struct fixture *fixture = g_new0 (struct fixture, 1);
  GString *cut = g_string_new ("refuse reset");
  fixture->rig = platform_rig_create_with ("cactus-entry-cut");
  g_strlcpy (fixture->addresses[0], "127.0.0.1", sizeof fixture->addresses[0]);
  for (uint32_t i = 0; i < more_routers; i++)
    platform_rig_add_entry (fixture->rig, fixture->addresses[i + 1]);
  platform_rig_configure (fixture->rig, CONFIG);
  for (uint32_t i = 0; i < TARGETS; i++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "t%u", i + 1);
      fixture->targets[i] = platform_raw_target_create (id, respond, fixture);
      g_string_append_printf (
          cut, " %u",
          (unsigned)platform_raw_target_port (fixture->targets[i]));
    }
  announce (fixture, 1);
  platform_rig_cut (fixture->rig, 0, cut->str);
  g_string_free (cut, TRUE);
  bool is_served = false;
  for (uint32_t i = 0; !is_served && i < 200; i++)
    {
      struct platform_reply reply = post (fixture, 0, "/order/x");
      is_served = reply.whole && reply.status == 200;
      platform_reply_clear (&reply);
      g_usleep (50000);
      announce (fixture, i + 2);
    }
  g_assert_true (is_served);
  atomic_store (&fixture->runs, 0);
  return fixture;
}

static void
tear_down (struct fixture *fixture)
{
  platform_rig_destroy (fixture->rig);
  for (uint32_t i = 0; i < TARGETS; i++)
    platform_raw_target_destroy (fixture->targets[i]);
  g_free (fixture);
}

/* A request on another thread. */
struct call
{
  const struct fixture *fixture;
  uint32_t router;
  const char *path;
  struct platform_reply reply;
};

static gpointer
make_call (gpointer data)
{
  struct call *call = data;
  call->reply = post (call->fixture, call->router, call->path);
  return NULL;
}

static uint32_t
count_events (const GString *body)
{
  uint32_t count = 0;
  for (const char *at = body->str; (at = strstr (at, "id: ")); at++)
    count++;
  return count;
}

/* Whether the events come once and in order. */
static bool
is_in_order (const GString *body, uint32_t events)
{
  const char *at = body->str;
  for (uint32_t i = 1; i <= events; i++)
    {
      char text[32];
      g_snprintf (text, sizeof text, "id: %u\n", i);
      at = strstr (at, text);
      if (!at)
        return false;
    }
  return count_events (body) == events;
}

/* The router that passes an order on is killed: the order has run, and isn't
   run again, and no answer says otherwise. */
static void
test_killed_router (void)
{
  struct fixture *fixture = set_up (1);
  struct call call = { fixture, 0, "/order/x", { 0 } };
  GThread *thread = g_thread_new ("call", make_call, &call);
  g_usleep (G_USEC_PER_SEC / 2);
  fleet_process_kill (fixture->rig->more_entries[0]);
  g_thread_join (thread);
  g_test_message ("status %ld", call.reply.status);
  g_assert_cmpuint (atomic_load (&fixture->runs), ==, 1);
  g_assert_cmpint (call.reply.status, ==, 502);
  platform_reply_clear (&call.reply);
  /* No router is left that reaches a target: a rejection at once, and true. */
  g_usleep (CONTACT_US);
  gint64 begun_us = g_get_monotonic_time ();
  struct platform_reply reply = post (fixture, 0, "/order/x");
  g_assert_cmpint (reply.status, ==, 503);
  g_assert_cmpint (g_get_monotonic_time () - begun_us, <, G_USEC_PER_SEC);
  g_assert_cmpuint (atomic_load (&fixture->runs), ==, 1);
  platform_reply_clear (&reply);
  tear_down (fixture);
}

/* Guards against a part of an answer that looks whole: the router that passes
   on answers without a length dies, and the kernel closes its connections. */
static void
test_killed_router_in_unframed_answers (void)
{
  struct call calls[6];
  GThread *threads[6];
  uint32_t complete = 0;
  struct fixture *fixture = set_up (1);
  for (uint32_t i = 0; i < 6; i++)
    {
      calls[i] = (struct call){
        fixture, 0, i % 2 == 0 ? "/order/unframed" : "/stream/x", { 0 }
      };
      threads[i] = g_thread_new ("call", make_call, &calls[i]);
    }
  g_usleep (G_USEC_PER_SEC);
  fleet_process_kill (fixture->rig->more_entries[0]);
  for (uint32_t i = 0; i < 6; i++)
    {
      const struct platform_reply *reply = &calls[i].reply;
      g_thread_join (threads[i]);
      g_test_message ("%s: status %ld, whole %d, %u bytes", calls[i].path,
                      reply->status, (int)reply->whole,
                      (unsigned)reply->body->len);
      complete += reply->whole && reply->status == 200;
      platform_reply_clear (&calls[i].reply);
    }
  g_assert_cmpuint (atomic_load (&fixture->runs), ==, 6);
  g_assert_cmpuint (complete, ==, 0);
  tear_down (fixture);
}

/* An answer without a length that is passed on undisturbed is whole. */
static void
test_unframed_answer (void)
{
  struct fixture *fixture = set_up (1);
  struct platform_reply reply = post (fixture, 0, "/order/unframed");
  g_assert_cmpint (reply.status, ==, 200);
  g_assert_true (reply.whole);
  g_assert_cmpuint (reply.body->len, ==, strlen ("line\n") * EVENTS);
  platform_reply_clear (&reply);
  tear_down (fixture);
}

/* The router that passes a stream on is frozen: the stream goes on by the
   third router after its last event. */
static void
test_frozen_router (void)
{
  struct fixture *fixture = set_up (2);
  struct call call = { fixture, 0, "/ask/x", { 0 } };
  GThread *thread = g_thread_new ("call", make_call, &call);
  g_usleep (G_USEC_PER_SEC / 2);
  fleet_process_signal (fixture->rig->more_entries[0], SIGSTOP);
  g_usleep (G_USEC_PER_SEC / 5);
  fleet_process_signal (fixture->rig->more_entries[0], SIGCONT);
  fleet_process_signal (fixture->rig->more_entries[1], SIGSTOP);
  g_usleep (5 * G_USEC_PER_SEC);
  fleet_process_signal (fixture->rig->more_entries[1], SIGCONT);
  g_thread_join (thread);
  g_test_message ("status %ld, %u events, %u runs", call.reply.status,
                  count_events (call.reply.body),
                  atomic_load (&fixture->runs));
  g_assert_true (call.reply.whole);
  g_assert_true (is_in_order (call.reply.body, EVENTS));
  platform_reply_clear (&call.reply);
  tear_down (fixture);
}

/* The router that passes streams on stops gracefully: it cuts nothing off, and
   new requests go by the other one. */
static void
test_stopping_router (void)
{
  struct call calls[6];
  GThread *threads[6];
  struct fixture *fixture = set_up (2);
  for (uint32_t i = 0; i < 6; i++)
    {
      calls[i] = (struct call){ fixture, 0, "/stream/x", { 0 } };
      threads[i] = g_thread_new ("call", make_call, &calls[i]);
    }
  g_usleep (G_USEC_PER_SEC / 2);
  fleet_process_signal (fixture->rig->more_entries[0], SIGTERM);
  for (uint32_t i = 0; i < 10; i++)
    {
      struct platform_reply reply = post (fixture, 0, "/order/x");
      g_assert_cmpint (reply.status, ==, 200);
      platform_reply_clear (&reply);
    }
  for (uint32_t i = 0; i < 6; i++)
    {
      g_thread_join (threads[i]);
      g_assert_true (calls[i].reply.whole);
      g_assert_true (is_in_order (calls[i].reply.body, EVENTS));
      platform_reply_clear (&calls[i].reply);
    }
  tear_down (fixture);
}

/* The caller leaves: the target is told within half a second. */
static void
test_caller_leaves (void)
{
  struct fixture *fixture = set_up (1);
  struct sockaddr_in address
      = { .sin_family = AF_INET,
          .sin_port = htons (fixture->rig->callers_port) };
  static const char request[]
      = "POST /stream/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: gone\r\n"
        "X-Deadline-Ms: 9000\r\n" TOKENS_LINE
        "\r\nX-Credential: k1\r\nContent-Length: 3\r\n\r\nabc";
  inet_pton (AF_INET, "127.0.0.1", &address.sin_addr);
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  g_assert_cmpint (connect (fd, (struct sockaddr *)&address, sizeof address),
                   ==, 0);
  g_assert_cmpint (write (fd, request, sizeof request - 1), ==,
                   sizeof request - 1);
  g_usleep (G_USEC_PER_SEC / 2);
  g_assert_cmpuint (atomic_load (&fixture->runs), ==, 1);
  close (fd);
  g_usleep (G_USEC_PER_SEC / 2);
  g_assert_cmpuint (atomic_load (&fixture->broken_runs), ==, 1);
  tear_down (fixture);
}

/* The target resets its connection within a stream that may not be resumed:
   what the caller gets doesn't look complete. */
static void
test_reset_by_target (void)
{
  struct fixture *fixture = set_up (1);
  atomic_store (&fixture->resets, true);
  struct platform_reply reply = post (fixture, 0, "/stream/x");
  g_test_message ("%u events", count_events (reply.body));
  g_assert_false (reply.whole);
  g_assert_cmpuint (atomic_load (&fixture->runs), ==, 1);
  platform_reply_clear (&reply);
  tear_down (fixture);
}

/* Requests that are passed on are billed once, to the account that sent them:
   no more are served than its prepaid tokens cover, and none fewer. */
static void
test_one_bill (void)
{
  struct call calls[8];
  GThread *threads[8];
  uint32_t served = 0;
  struct fixture *fixture = set_up (2);
  /* set_up() has served one request. */
  uint32_t covered = PREPAID_TOKENS / TOKENS_EACH;
  for (uint32_t round = 0; round < 6; round++)
    {
      for (uint32_t i = 0; i < 8; i++)
        {
          calls[i] = (struct call){ fixture, i % 3, "/stream/x", { 0 } };
          threads[i] = g_thread_new ("call", make_call, &calls[i]);
        }
      for (uint32_t i = 0; i < 8; i++)
        {
          g_thread_join (threads[i]);
          served += calls[i].reply.whole && calls[i].reply.status == 200;
          platform_reply_clear (&calls[i].reply);
        }
    }
  g_test_message ("served %u, covered %u, runs %u", served, covered,
                  atomic_load (&fixture->runs));
  g_assert_cmpuint (atomic_load (&fixture->runs), ==, served);
  g_assert_cmpuint (served, <=, covered);
  g_assert_cmpuint (served, >=, covered - 3);
  tear_down (fixture);
}

/* A connection that names no known target, or comes from nobody that control
   knows, is refused. */
static void
test_strangers_are_refused (void)
{
  static const char *const requests[]
      = { "CONNECT 127.0.0.1:1 HTTP/1.1\r\nCactus-Target: t1 5\r\n\r\n",
          "CONNECT 127.0.0.1:1 HTTP/1.1\r\nCactus-Target: none 5\r\n\r\n",
          "CONNECT 127.0.0.1:1 HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\n\r\n",
          "CONNECT 127.0.0.1:1 HTTP/1.1\r\nCactus-Target: t1 x\r\n\r\n" };
  struct fixture *fixture = set_up (1);
  for (size_t i = 0; i < 2 * G_N_ELEMENTS (requests); i++)
    {
      char answer[128] = "";
      bool is_known = i >= G_N_ELEMENTS (requests);
      struct sockaddr_in address
          = { .sin_family = AF_INET,
              .sin_port = htons (fixture->rig->rpc_port + 9) };
      struct sockaddr_in own = { .sin_family = AF_INET };
      const char *request = requests[i % G_N_ELEMENTS (requests)];
      inet_pton (AF_INET, fixture->addresses[1], &address.sin_addr);
      inet_pton (AF_INET, is_known ? "127.0.0.1" : "127.0.0.99",
                 &own.sin_addr);
      int fd = socket (AF_INET, SOCK_STREAM, 0);
      g_assert_cmpint (bind (fd, (struct sockaddr *)&own, sizeof own), ==, 0);
      g_assert_cmpint (
          connect (fd, (struct sockaddr *)&address, sizeof address), ==, 0);
      g_assert_cmpint (write (fd, request, strlen (request)), >, 0);
      g_assert_cmpint (read (fd, answer, sizeof answer - 1), >, 0);
      g_assert_true (g_str_has_prefix (answer, is_known ? "HTTP/1.1 404 "
                                                        : "HTTP/1.1 403 "));
      close (fd);
    }
  g_assert_cmpuint (atomic_load (&fixture->runs), ==, 0);
  tear_down (fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/platform-relay/killed-router", test_killed_router);
  g_test_add_func ("/platform-relay/killed-router-in-unframed-answers",
                   test_killed_router_in_unframed_answers);
  g_test_add_func ("/platform-relay/unframed-answer", test_unframed_answer);
  g_test_add_func ("/platform-relay/frozen-router", test_frozen_router);
  g_test_add_func ("/platform-relay/stopping-router", test_stopping_router);
  g_test_add_func ("/platform-relay/caller-leaves", test_caller_leaves);
  g_test_add_func ("/platform-relay/reset-by-target", test_reset_by_target);
  g_test_add_func ("/platform-relay/one-bill", test_one_bill);
  g_test_add_func ("/platform-relay/strangers-are-refused",
                   test_strangers_are_refused);
  return g_test_run ();
}
