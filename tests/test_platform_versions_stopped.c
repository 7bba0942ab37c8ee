/** @file
 *  Tests of a router that stands still while a target of another software
 *  version joins: streams that began there through another router, and are
 *  taken up at the one that goes on, must not go on at the former version. */

#include <poll.h>
#include <signal.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "platform_raw_target.h"
#include "platform_rig.h"
#include "raw_answer.h"

#define ROUTERS 2
/* Each service sees one target join: after that it has had two versions. */
#define SERVICES 6
#define STREAMS 32
#define EVENTS 6
/* Events of a stream before its caller leaves. */
#define EVENTS_BEFORE 3
/* Time for which targets are known before a service counts as one of a single
   version. */
#define KNOWN_US (6 * G_USEC_PER_SEC)
#define ANNOUNCE_INTERVAL_US 400000
/* The router stands still for STOP_BEFORE_US, the target joins, its streams
   begin, and the router goes on. */
#define STOP_BEFORE_US 500000
#define STOP_AFTER_US 700000
#define READ_WAIT_MS 3000
#define ROUTE                                                                 \
  "{\"name\":\"s%u\",\"host\":\"h.example\",\"pathPrefix\":\"/s%u/\","        \
  "\"kind\":\"streaming\",\"timeoutMs\":10000,\"targetLatencyMs\":1000,"      \
  "\"priority\":1,\"service\":\"s%u\",\"maxAttempts\":2,\"public\":true,"     \
  "\"resumable\":true}"
#define SERVICE                                                               \
  "{\"name\":\"s%u\",\"engine\":{\"slots\":64,\"kvCapacityTokens\":1000000,"  \
  "\"stride\":1}}"

struct target
{
  struct platform_raw_target *raw;
  const char *version;
  /* The target takes streams up, but begins none. */
  bool is_full;
  atomic_bool has_joined;
  uint32_t sequence;
};

struct fixture
{
  struct platform_rig *rig;
  char routers[ROUTERS][16];
  /* The target of the former version and the later one, of each service. */
  struct target targets[SERVICES][2];
  GMutex mutex;
  GThread *announcer;
  atomic_bool stopping;
  uint32_t requests;
};

static void
respond (struct platform_raw_target *raw, int fd, const char *head,
         void *context)
{
  static const char full[] = "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n"
                             "Content-Length: 0\r\n\r\n";
  static const char lines[] = "Content-Type: text/event-stream\r\n"
                              "Connection: close\r\n\r\n";
  static const char name[] = "Last-Event-Id: ";
  const struct target *target = context;
  const char *last = strstr (head, name);
  uint32_t next
      = last
            ? (uint32_t)g_ascii_strtoull (last + sizeof name - 1, NULL, 10) + 1
            : 1;
  if (!last && target->is_full)
    {
      platform_raw_target_write (fd, full, sizeof full - 1);
      return;
    }
  platform_raw_target_write_head (raw, fd, head);
  platform_raw_target_write (fd, lines, sizeof lines - 1);
  for (; next <= EVENTS; next++)
    {
      char event[64];
      int bytes = g_snprintf (event, sizeof event, "id: %u\ndata: %s\n\n",
                              next, target->version);
      if (!last && next > EVENTS_BEFORE)
        g_usleep (G_USEC_PER_SEC);
      if (!platform_raw_target_write (fd, event, (size_t)bytes))
        return;
    }
}

/* Announces the targets that have joined, to all members. */
static void
announce (struct fixture *fixture)
{
  g_mutex_lock (&fixture->mutex);
  for (uint32_t i = 0; i < SERVICES * 2; i++)
    {
      struct target *target = &fixture->targets[i / 2][i % 2];
      char id[16];
      char service[16];
      if (!atomic_load (&target->has_joined))
        continue;
      g_snprintf (id, sizeof id, "t%u", i);
      g_snprintf (service, sizeof service, "s%u", i / 2);
      const struct platform_rig_target record
          = { .id = id,
              .service = service,
              .version = target->version,
              .port = platform_raw_target_port (target->raw),
              .born_ms = 5 + i,
              .sequence = ++target->sequence };
      for (uint32_t core = 0; core < PLATFORM_RIG_CORES; core++)
        platform_rig_announce_to (fixture->rig, core, &record);
    }
  g_mutex_unlock (&fixture->mutex);
}

static gpointer
run_announcer (gpointer data)
{
  struct fixture *fixture = data;
  while (!atomic_load (&fixture->stopping))
    {
      announce (fixture);
      g_usleep (ANNOUNCE_INTERVAL_US);
    }
  return NULL;
}

static void
configure (struct fixture *fixture)
{
  GString *text = g_string_new ("{\"version\":3,\"routes\":[");
  for (uint32_t i = 0; i < SERVICES; i++)
    g_string_append_printf (text, "%s" ROUTE, i > 0 ? "," : "", i, i, i);
  g_string_append (text, "],\"services\":[");
  for (uint32_t i = 0; i < SERVICES; i++)
    g_string_append_printf (text, "%s" SERVICE, i > 0 ? "," : "", i);
  g_string_append (text, "],\"tenants\":[]}");
  platform_rig_configure (fixture->rig, text->str);
  g_string_free (text, TRUE);
}

static struct fixture *
set_up (void)
{
  struct fixture *fixture = g_new0 (struct fixture, 1);
  g_mutex_init (&fixture->mutex);
  fixture->rig = platform_rig_create ();
  g_strlcpy (fixture->routers[0], "127.0.0.1", sizeof fixture->routers[0]);
  platform_rig_add_entry (fixture->rig, fixture->routers[1]);
  configure (fixture);
  for (uint32_t i = 0; i < SERVICES * 2; i++)
    {
      struct target *target = &fixture->targets[i / 2][i % 2];
      char id[16];
      g_snprintf (id, sizeof id, "t%u", i);
      target->version = i % 2 == 0 ? "v1" : "v2";
      target->is_full = i % 2 == 0;
      target->raw = platform_raw_target_create (id, respond, target);
      atomic_store (&target->has_joined, i % 2 == 0);
    }
  fixture->announcer = g_thread_new ("announcer", run_announcer, fixture);
  g_usleep (KNOWN_US);
  return fixture;
}

static void
tear_down (struct fixture *fixture)
{
  atomic_store (&fixture->stopping, true);
  g_thread_join (fixture->announcer);
  platform_rig_destroy (fixture->rig);
  for (uint32_t i = 0; i < SERVICES * 2; i++)
    platform_raw_target_destroy (fixture->targets[i / 2][i % 2].raw);
  g_mutex_clear (&fixture->mutex);
  g_free (fixture);
}

/* Sends a request for a stream, or with @p resumes to take one up.  Returns
   its connection. */
static int
send_request (struct fixture *fixture, uint32_t router, uint32_t service,
              bool resumes)
{
  GString *text = g_string_new (NULL);
  g_string_append_printf (text,
                          "GET /s%u/x HTTP/1.1\r\nHost: h.example\r\n"
                          "X-Request-Id: q%u\r\nX-Deadline-Ms: 9000\r\n"
                          "X-Token-Count: 10,1000\r\nConnection: close\r\n",
                          service, ++fixture->requests);
  if (resumes)
    g_string_append_printf (text, "Last-Event-Id: %u\r\n", EVENTS_BEFORE);
  g_string_append (text, "\r\n");
  int fd = raw_connect (fixture->routers[router], fixture->rig->callers_port);
  raw_send (fd, text->str);
  g_string_free (text, TRUE);
  return fd;
}

/* Reads until @p text came, the connection ended or nothing more comes.
   Returns whether it came. */
static bool
read_until (int fd, const char *text, GString *received)
{
  char buffer[4096];
  struct pollfd wait = { .fd = fd, .events = POLLIN };
  while (!strstr (received->str, text) && poll (&wait, 1, READ_WAIT_MS) > 0)
    {
      ssize_t got = recv (fd, buffer, sizeof buffer, 0);
      if (got <= 0)
        break;
      g_string_append_len (received, buffer, got);
    }
  return strstr (received->str, text) != NULL;
}

/* Begins streams at the later target through the second router, and leaves
   them.  Returns how many began. */
static uint32_t
begin_streams (struct fixture *fixture, uint32_t service)
{
  uint32_t begun = 0;
  for (uint32_t i = 0; i < STREAMS; i++)
    {
      GString *received = g_string_new (NULL);
      int fd = send_request (fixture, 1, service, false);
      begun += read_until (fd, "id: 3\ndata: v2\n\n", received);
      close (fd);
      g_string_free (received, TRUE);
    }
  return begun;
}

/* Has the first router stand still while the later target of a service joins.
   Returns the streams that go on there at the former version. */
static uint32_t
count_mixed (struct fixture *fixture, uint32_t service, uint32_t *taken_up)
{
  int fds[STREAMS];
  uint32_t mixed = 0;
  fleet_process_signal (fixture->rig->entry, SIGSTOP);
  gint64 begin_us = g_get_monotonic_time ();
  g_usleep (STOP_BEFORE_US);
  atomic_store (&fixture->targets[service][1].has_joined, true);
  announce (fixture);
  uint32_t begun = begin_streams (fixture, service);
  for (uint32_t i = 0; i < begun; i++)
    fds[i] = send_request (fixture, 0, service, true);
  gint64 spent_us = g_get_monotonic_time () - begin_us;
  g_usleep ((gulong)MAX (STOP_BEFORE_US + STOP_AFTER_US - spent_us, 0));
  fleet_process_signal (fixture->rig->entry, SIGCONT);
  for (uint32_t i = 0; i < begun; i++)
    {
      GString *received = g_string_new (NULL);
      read_until (fds[i], "\r\n0\r\n\r\n", received);
      mixed += strstr (received->str, "data: v1") != NULL;
      close (fds[i]);
      g_string_free (received, TRUE);
    }
  *taken_up += begun;
  return mixed;
}

/* Guards against answers of control that waited in a router's sockets while it
   stood still, taken for what control knows now. */
static void
test_stopped_router (void)
{
  struct fixture *fixture = set_up ();
  uint32_t mixed = 0;
  uint32_t taken_up = 0;
  for (uint32_t service = 0; service < SERVICES; service++)
    mixed += count_mixed (fixture, service, &taken_up);
  g_test_message ("%u streams taken up, %u go on at another version", taken_up,
                  mixed);
  g_assert_cmpuint (taken_up, >, SERVICES * STREAMS / 2);
  g_assert_cmpuint (mixed, ==, 0);
  tear_down (fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/platform-versions-stopped/router", test_stopped_router);
  return g_test_run ();
}
