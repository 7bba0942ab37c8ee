/** @file
 *  Tests of a router and of a control member with callers that don't stay
 *  inside the limits: the process lives, its memory and descriptors stay
 *  within those of the machine that its settings state, and an ordinary
 *  request is answered while the crowd's connections are still open. */

#include <string.h>

#include <glib.h>

#include "platform_outsiders.h"
#include "platform_raw_target.h"
#include "platform_rig.h"
#include "platform_target.h"

/* The machine of each process, as its settings state it. */
#define MEMORY_MB 48
#define DESCRIPTORS 512
#define LIMITS "memory-mb=48\nmax-fds=512\n"
#define BOUND_BYTES ((uint64_t)MEMORY_MB * 1024 * 1024)
/* Limit of a body, in the configuration. */
#define BODY_BYTES (1024u * 1024)
#define FAR_OVER_BYTES (4u * 1024 * 1024)
#define ROUTE                                                                 \
  "{\"name\":\"%s\",\"host\":\"h.example\",\"pathPrefix\":\"/%s/\","          \
  "\"kind\":\"%s\",\"timeoutMs\":60000,\"targetLatencyMs\":500,"              \
  "\"priority\":1,\"service\":\"%s\",\"maxAttempts\":1,\"public\":true}"
#define LIMITS_OF_CALLERS                                                     \
  "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1048576,"            \
  "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}"
/* Bytes of an answer that its caller never reads, and of one event. */
#define ANSWER_BYTES (1024u * 1024)
#define EVENT_BYTES 8192u
/* Time for such answers to come, in microseconds. */
#define ANSWERS_US (2 * G_USEC_PER_SEC)
#define CROWD 96
/* More connections than the machine has descriptors. */
#define SILENT_CROWD 900
/* Bytes of one turn where bodies come piece by piece. */
#define PIECE_BYTES 4096
/* Each eighth body of legal size comes whole. */
#define WHOLE_EACH 8
#define CALLERS_PATH "/plain/x"
#define CONFIG_PATH "/v1/config"
#define TARGET_PATH "/v1/replicas/outside"
#define OPERATOR_TRIES 40
#define OPERATOR_INTERVAL_US (G_USEC_PER_SEC / 4)
#define CORE_ADDRESS "127.0.0.2"

static const struct platform_outsiders_kind caller_kinds[] = {
  { .name = "chunked-large",
    .method = "POST",
    .path = CALLERS_PATH,
    .chunk_bytes = 64 * 1024,
    .sent_bytes = BODY_BYTES - 64 * 1024 },
  { .name = "chunked-tiny",
    .method = "POST",
    .path = CALLERS_PATH,
    .chunk_bytes = 16,
    .sent_bytes = BODY_BYTES - 16 },
  { .name = "announced-over",
    .method = "POST",
    .path = CALLERS_PATH,
    .announced_bytes = FAR_OVER_BYTES,
    .sent_bytes = FAR_OVER_BYTES - 1 },
  { .name = "sent-over",
    .method = "POST",
    .path = CALLERS_PATH,
    .chunk_bytes = 64 * 1024,
    .sent_bytes = FAR_OVER_BYTES },
  { .name = "legal-whole",
    .method = "POST",
    .path = CALLERS_PATH,
    .announced_bytes = BODY_BYTES,
    .sent_bytes = BODY_BYTES - 1,
    .whole_each = WHOLE_EACH },
  { .name = "legal-pieces",
    .method = "POST",
    .path = CALLERS_PATH,
    .announced_bytes = BODY_BYTES,
    .sent_bytes = BODY_BYTES - 1,
    .turn_bytes = PIECE_BYTES,
    .whole_each = WHOLE_EACH },
};

static const struct platform_outsiders_kind silent_heads
    = { .name = "silent-heads",
        .method = "POST",
        .path = CALLERS_PATH,
        .has_partial_head = true };

static const struct platform_outsiders_kind unread_kinds[] = {
  { .name = "unread-answers",
    .method = "POST",
    .path = "/large/x",
    .never_reads = true },
  { .name = "unread-streams",
    .method = "POST",
    .path = "/stream/x",
    .never_reads = true },
};

static const struct platform_outsiders_kind ready_pages
    = { .name = "ready",
        .method = "GET",
        .path = "/v1/ready",
        .chunk_bytes = 64 * 1024,
        .sent_bytes = BODY_BYTES };

static const struct platform_outsiders_kind control_kinds[] = {
  { .name = "config-chunked-large",
    .method = "PUT",
    .path = CONFIG_PATH,
    .chunk_bytes = 64 * 1024,
    .sent_bytes = BODY_BYTES },
  { .name = "config-chunked-tiny",
    .method = "PUT",
    .path = CONFIG_PATH,
    .chunk_bytes = 16,
    .sent_bytes = BODY_BYTES },
  { .name = "config-announced-over",
    .method = "PUT",
    .path = CONFIG_PATH,
    .announced_bytes = 64 * 1024 * 1024,
    .sent_bytes = FAR_OVER_BYTES },
  { .name = "config-legal-whole",
    .method = "PUT",
    .path = CONFIG_PATH,
    .announced_bytes = BODY_BYTES,
    .sent_bytes = BODY_BYTES - 1 },
  { .name = "config-legal-pieces",
    .method = "PUT",
    .path = CONFIG_PATH,
    .announced_bytes = BODY_BYTES,
    .sent_bytes = BODY_BYTES - 1,
    .turn_bytes = PIECE_BYTES },
  { .name = "announcement-over",
    .method = "PUT",
    .path = TARGET_PATH,
    .announced_bytes = BODY_BYTES,
    .sent_bytes = BODY_BYTES - 1 },
  { .name = "announcement-sent-over",
    .method = "PUT",
    .path = TARGET_PATH,
    .chunk_bytes = 64 * 1024,
    .sent_bytes = BODY_BYTES },
};

static const struct platform_outsiders_kind control_silent_heads
    = { .name = "config-silent-heads",
        .method = "PUT",
        .path = CONFIG_PATH,
        .has_partial_head = true };

struct fixture
{
  struct platform_rig *rig;
  struct platform_target *target;
  struct platform_raw_target *large;
  char *config;
};

static char *
make_config (void)
{
  GString *text = g_string_new ("{\"version\":1,\"services\":[{\"name\":"
                                "\"plain\"},{\"name\":\"large\"}],"
                                "\"routes\":[");
  g_string_append_printf (text, ROUTE ",", "plain", "plain", "unsafe",
                          "plain");
  g_string_append_printf (text, ROUTE ",", "large", "large", "unsafe",
                          "large");
  g_string_append_printf (text, ROUTE "]," LIMITS_OF_CALLERS "}", "stream",
                          "stream", "streaming", "large");
  return g_string_free (text, FALSE);
}

/* Writes a large answer, or an endless stream of events. */
static void
write_large (struct platform_raw_target *target, int fd, const char *head,
             void *context)
{
  bool is_stream = strstr (head, "/stream/") != NULL;
  char *data = g_strnfill (is_stream ? EVENT_BYTES : ANSWER_BYTES, 'x');
  char *text = is_stream ? g_strdup_printf ("data: %s\n\n", data)
                         : g_strdup_printf ("Content-Length: %u\r\n\r\n%s",
                                            ANSWER_BYTES, data);
  const char *lines = "Content-Type: text/event-stream\r\n\r\n";
  size_t bytes = strlen (text);
  (void)context;
  platform_raw_target_write_head (target, fd, head);
  if (is_stream)
    platform_raw_target_write (fd, lines, strlen (lines));
  while (platform_raw_target_write (fd, text, bytes) && is_stream)
    ;
  g_free (text);
  g_free (data);
}

static void
set_up (struct fixture *fixture)
{
  fixture->rig = platform_rig_create_limited (LIMITS);
  fixture->target = platform_target_create ("t1");
  fixture->large = platform_raw_target_create ("t2", write_large, NULL);
  fixture->config = make_config ();
  platform_rig_configure (fixture->rig, fixture->config);
  platform_rig_announce (fixture->rig, "t1", "plain",
                         platform_target_port (fixture->target), "ready", 1);
  platform_rig_announce (fixture->rig, "t2", "large",
                         platform_raw_target_port (fixture->large), "ready",
                         1);
  g_assert_true (
      platform_rig_wait_status (fixture->rig, CALLERS_PATH, "k", 200));
}

static void
tear_down (struct fixture *fixture)
{
  platform_rig_destroy (fixture->rig);
  platform_target_destroy (fixture->target);
  platform_raw_target_destroy (fixture->large);
  g_free (fixture->config);
}

static void
check_process (struct fleet_process *process, const char *address,
               uint16_t port, const struct platform_outsiders_kind *kind,
               const struct platform_outsiders *crowd)
{
  g_assert_true (fleet_process_running (process));
  struct platform_outsiders_use use = platform_outsiders_read_use (
      fleet_process_id (process), address, port);
  g_test_message ("%s: peak_kib=%" G_GUINT64_FORMAT
                  " unread_kib=%" G_GUINT64_FORMAT
                  " descriptors=%u open=%u refused_413=%u refused_503=%u",
                  kind->name, use.peak_bytes / 1024, use.unread_bytes / 1024,
                  use.descriptors, platform_outsiders_open (crowd),
                  platform_outsiders_answers (crowd, 413),
                  platform_outsiders_answers (crowd, 503));
  g_assert_cmpuint (use.peak_bytes + use.unread_bytes, <=, BOUND_BYTES);
  g_assert_cmpuint (use.descriptors, <=, DESCRIPTORS);
}

static void
check_ordinary_request (struct fixture *fixture)
{
  struct platform_reply reply
      = platform_rig_request (fixture->rig, CALLERS_PATH, "k", NULL);
  g_assert_true (reply.whole);
  g_assert_cmpint (reply.status, ==, 200);
  platform_reply_clear (&reply);
}

/* A request of the largest legal size is served when the crowd has left. */
static void
check_largest_request (struct fixture *fixture)
{
  const char *const lines[] = { "Host: h.example", "X-Deadline-Ms: 9000",
                                "X-Request-Id: largest", NULL };
  char *body = g_strnfill (BODY_BYTES, 'x');
  char *url = g_strdup_printf ("http://127.0.0.1:%u" CALLERS_PATH,
                               (unsigned)fixture->rig->callers_port);
  struct platform_reply reply = platform_rig_call ("POST", url, body, lines);
  g_assert_true (reply.whole);
  g_assert_cmpint (reply.status, ==, 200);
  g_assert_cmpuint (platform_target_runs_of (fixture->target, "largest"), ==,
                    1);
  platform_reply_clear (&reply);
  g_free (url);
  g_free (body);
}

/* A body that never ended, or was over the limit, reached no target. */
static void
check_runs (struct fixture *fixture,
            const struct platform_outsiders_kind *kind, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      char id[32];
      bool is_whole = kind->whole_each > 0 && i % kind->whole_each == 0;
      g_snprintf (id, sizeof id, "outside-%u", i);
      g_assert_cmpuint (platform_target_runs_of (fixture->target, id), <=,
                        is_whole ? 1 : 0);
    }
}

static void
play_callers (const struct platform_outsiders_kind *kind, uint32_t count)
{
  struct fixture fixture;
  set_up (&fixture);
  uint16_t port = fixture.rig->callers_port;
  struct platform_outsiders *crowd
      = platform_outsiders_create (kind, "127.0.0.1", port, count);
  if (kind->never_reads)
    g_usleep (ANSWERS_US);
  check_process (fixture.rig->entry, "127.0.0.1", port, kind, crowd);
  check_ordinary_request (&fixture);
  check_process (fixture.rig->entry, "127.0.0.1", port, kind, crowd);
  check_runs (&fixture, kind, count);
  platform_outsiders_close (crowd);
  check_largest_request (&fixture);
  check_process (fixture.rig->entry, "127.0.0.1", port, kind, crowd);
  platform_outsiders_destroy (crowd);
  tear_down (&fixture);
}

static void
test_callers (gconstpointer data)
{
  play_callers (data, CROWD);
}

static void
test_silent_heads (void)
{
  play_callers (&silent_heads, SILENT_CROWD);
}

/* The readiness page holds nothing for its callers. */
static void
test_ready (void)
{
  struct fixture fixture;
  set_up (&fixture);
  uint16_t port = fixture.rig->ready_port;
  struct platform_outsiders *crowd
      = platform_outsiders_create (&ready_pages, "127.0.0.1", port, CROWD);
  check_process (fixture.rig->entry, "127.0.0.1", port, &ready_pages, crowd);
  check_ordinary_request (&fixture);
  platform_outsiders_destroy (crowd);
  tear_down (&fixture);
}

/* An operator gets an answer from the member.  A member that can't ask the
   leader answers 503, and the operator asks again. */
static void
check_operator (struct fixture *fixture, const char *method, const char *body)
{
  long status = 0;
  for (uint32_t i = 0; status != 200 && i < OPERATOR_TRIES; i++)
    {
      if (i > 0)
        g_usleep (OPERATOR_INTERVAL_US);
      status = platform_rig_call_control (fixture->rig, 0, method, CONFIG_PATH,
                                          body);
    }
  g_assert_cmpint (status, ==, 200);
}

static void
play_control (const struct platform_outsiders_kind *kind, uint32_t count)
{
  struct fixture fixture;
  set_up (&fixture);
  uint16_t port = fixture.rig->control_port;
  struct fleet_process *member = fixture.rig->cores[0];
  struct platform_outsiders *crowd
      = platform_outsiders_create (kind, CORE_ADDRESS, port, count);
  check_process (member, CORE_ADDRESS, port, kind, crowd);
  platform_rig_announce (fixture.rig, "t1", "plain",
                         platform_target_port (fixture.target), "ready", 2);
  check_operator (&fixture, "GET", NULL);
  check_operator (&fixture, "PUT", fixture.config);
  check_process (member, CORE_ADDRESS, port, kind, crowd);
  check_ordinary_request (&fixture);
  platform_outsiders_destroy (crowd);
  tear_down (&fixture);
}

static void
test_control (gconstpointer data)
{
  play_control (data, CROWD);
}

static void
test_control_silent_heads (void)
{
  play_control (&control_silent_heads, SILENT_CROWD);
}

static void
add_cases (const char *group, const struct platform_outsiders_kind *kinds,
           size_t count, GTestDataFunc test)
{
  for (size_t i = 0; i < count; i++)
    {
      char *path = g_strdup_printf ("/platform-outside-limits/%s/%s", group,
                                    kinds[i].name);
      g_test_add_data_func (path, &kinds[i], test);
      g_free (path);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  /* A case that fails ends its processes, too. */
  g_test_set_nonfatal_assertions ();
  add_cases ("router", caller_kinds, G_N_ELEMENTS (caller_kinds),
             test_callers);
  g_test_add_func ("/platform-outside-limits/router/silent-heads",
                   test_silent_heads);
  add_cases ("router", unread_kinds, G_N_ELEMENTS (unread_kinds),
             test_callers);
  g_test_add_func ("/platform-outside-limits/router/ready", test_ready);
  add_cases ("control", control_kinds, G_N_ELEMENTS (control_kinds),
             test_control);
  g_test_add_func ("/platform-outside-limits/control/config-silent-heads",
                   test_control_silent_heads);
  return g_test_run ();
}
