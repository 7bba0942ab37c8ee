/** @file
 *  Tests of the platform's programs as processes with prompt parts, and a
 *  request with parts, that crash targets at any moment of the response,
 *  under one account or under several by turns. */

#include <stdatomic.h>
#include <string.h>

#include <glib.h>

#include "platform_raw_target.h"
#include "platform_rig.h"

#define ROUTE(path, resumable)                                                \
  "{\"name\":\"" path "\",\"host\":\"h.example\",\"pathPrefix\":\"/" path     \
  "/\",\"kind\":\"streaming\",\"timeoutMs\":6000,\"targetLatencyMs\":3000,"   \
  "\"priority\":1,\"service\":\"engine\",\"maxAttempts\":2,"                  \
  "\"public\":false,\"sticky\":true,\"resumable\":" resumable "}"
#define TENANT(n) "{\"name\":\"t" n "\",\"apiKeys\":[\"k" n "\"]}"
#define CONFIG                                                                                                                \
  "{\"version\":3,\"routes\":[" ROUTE ("once", "false") "," ROUTE (                                                           \
      "again",                                                                                                                \
      "true") "],\"services\":[{\"name\":\"engine\",\"engine\":{"                                                             \
              "\"slots\":8,\"kvCapacityTokens\":100000,"                                                                      \
              "\"stride\":1}}],\"limits\":{\"idleTimeoutMs\":15000"                                                           \
              "},\"tenants\":[" TENANT ("0") "," TENANT ("1") "," TENANT ("2") "," TENANT ("3") "," TENANT ("4") "," TENANT ( \
                  "5") "," TENANT ("6") "," TENANT ("7") "," TENANT ("8") "," TENANT ("9") "," TENANT ("10") "," TENANT ("11") "]}"
#define TARGETS 4
#define ROUTERS 7
#define ACCOUNTS 12
/* Crashes after which a part and a request are known, the time from then on
   within which all routers know, and the number of times that they may reach
   a target later. */
#define CRASHES_PART 5
#define CRASHES_REQUEST 3
#define CONTACT_US (4 * G_USEC_PER_SEC)
#define STRAYS_MAX 3
/* Time until another target is at the place of one that crashed. */
#define RESTART_US 2500000
#define RUN_US (20 * G_USEC_PER_SEC)
#define SOUND_THREADS 8
#define SOUND_PER_S 24
/* Sound requests have one of so many second parts. */
#define SOUND_PARTS 6
#define BAD_THREADS 3
#define CRASH_US 80000
#define EVENT_US 30000
#define SOUND_EVENTS 12
#define RETURN_US 250000
#define RETURNS_MAX 10
/* Share that must be served of the sound requests that no crash took with
   it. */
#define SOUND_SERVED 0.99

/* How a target ends. */
enum ending
{
  CLOSES,
  RESETS
};

/* One way to crash targets. */
struct play
{
  const char *path;
  uint32_t accounts;
  /* Events before the target ends; -1: it ends before the head. */
  int events;
  enum ending ending;
  /* Pause after each bad request, and a random part of it. */
  uint32_t pause_ms;
  uint32_t more_ms;
  /* The same request comes again, instead of others with the same part. */
  bool is_request;
};

struct fixture
{
  struct platform_rig *rig;
  const struct play *play;
  char routers[ROUTERS][16];
  GMutex mutex;
  struct platform_raw_target *targets[TARGETS];
  gint64 crashed_us[TARGETS];
  GPtrArray *ended;
  /* Times at which a bad request reached a target, and at which targets
     crashed (gint64). */
  GArray *arrivals;
  GArray *crashes;
  atomic_bool stops;
  atomic_uint numbers;
  atomic_uint bad_sent;
  atomic_uint sound_sent;
  atomic_uint sound_served;
  /* Sound requests that were at a target when it crashed. */
  atomic_uint sound_taken;
  uint32_t target_number;
};

static void
note_time (struct fixture *fixture, GArray *times)
{
  gint64 now_us = g_get_monotonic_time ();
  g_mutex_lock (&fixture->mutex);
  g_array_append_val (times, now_us);
  g_mutex_unlock (&fixture->mutex);
}

static bool
write_events (int fd, uint32_t count)
{
  for (uint32_t i = 1; i <= count; i++)
    {
      char event[32];
      char chunk[64];
      int bytes = g_snprintf (event, sizeof event, "id: %u\ndata: x\n\n", i);
      g_snprintf (chunk, sizeof chunk, "%x\r\n%s\r\n", (unsigned)bytes, event);
      if (!platform_raw_target_write (fd, chunk, strlen (chunk)))
        return false;
      g_usleep (EVENT_US);
    }
  return true;
}

static void
crash_target (struct fixture *fixture, struct platform_raw_target *target,
              int fd)
{
  if (platform_raw_target_has_crashed (target))
    return;
  note_time (fixture, fixture->crashes);
  if (fixture->play->ending == RESETS)
    platform_raw_target_reset (fd);
  platform_raw_target_crash (target);
}

static void
respond (struct platform_raw_target *target, int fd, const char *head,
         void *context)
{
  static const char framing[] = "Content-Type: text/event-stream\r\n"
                                "Transfer-Encoding: chunked\r\n"
                                "Connection: close\r\n\r\n";
  struct fixture *fixture = context;
  int events = SOUND_EVENTS;
  bool is_bad = strstr (head, "bad:50") != NULL;
  if (is_bad)
    {
      note_time (fixture, fixture->arrivals);
      events = fixture->play->events;
      g_usleep (CRASH_US);
    }
  bool is_written
      = events < 0
        || (platform_raw_target_write_head (target, fd, head)
            && platform_raw_target_write (fd, framing, strlen (framing))
            && write_events (fd, (uint32_t)events));
  if (!is_bad && platform_raw_target_has_crashed (target))
    atomic_fetch_add (&fixture->sound_taken, 1);
  if (!is_written)
    return;
  if (is_bad)
    crash_target (fixture, target, fd);
  else
    platform_raw_target_write (fd, "0\r\n\r\n", 5);
}

static void
start_target (struct fixture *fixture, uint32_t index)
{
  char id[16];
  g_snprintf (id, sizeof id, "e%u", ++fixture->target_number);
  fixture->crashed_us[index] = 0;
  fixture->targets[index] = platform_raw_target_create (id, respond, fixture);
  platform_rig_announce (fixture->rig, id, "engine",
                         platform_raw_target_port (fixture->targets[index]),
                         "ready", 1);
}

/* Replaces targets that crashed a while ago. */
static void
replace_crashed (struct fixture *fixture)
{
  gint64 now_us = g_get_monotonic_time ();
  for (uint32_t i = 0; i < TARGETS; i++)
    {
      if (!platform_raw_target_has_crashed (fixture->targets[i]))
        continue;
      if (fixture->crashed_us[i] == 0)
        fixture->crashed_us[i] = now_us;
      else if (now_us >= fixture->crashed_us[i] + RESTART_US)
        {
          g_ptr_array_add (fixture->ended, fixture->targets[i]);
          start_target (fixture, i);
        }
    }
}

/* Makes one request at a router.  Bad ones that are the same again have one
   body, and the same parts.  Returns the status of a whole response, or 0. */
static long
request (struct fixture *fixture, uint32_t router, uint32_t account,
         bool is_bad)
{
  uint32_t number = atomic_fetch_add (&fixture->numbers, 1);
  uint32_t text = is_bad && fixture->play->is_request ? 0xffffff : number;
  char *url = g_strdup_printf (
      "http://%s:%u/%s/x", fixture->routers[router % ROUTERS],
      (unsigned)fixture->rig->callers_port, fixture->play->path);
  char *id = g_strdup_printf ("X-Request-Id: q%u", number);
  char *credential = g_strdup_printf ("X-Credential: k%u", account);
  char *prefix
      = is_bad
            ? g_strdup_printf ("X-Prompt-Prefix: a1:100,bad:50,f%06x:10", text)
            : g_strdup_printf ("X-Prompt-Prefix: a1:100,b%u:50,f%06x:10",
                               number % SOUND_PARTS, text);
  char *body = g_strdup_printf ("body %u", text);
  const char *const lines[] = { "Host: h.example",
                                "X-Deadline-Ms: 4000",
                                "X-Model: m",
                                "X-Token-Count: 160,12",
                                id,
                                credential,
                                prefix,
                                NULL };
  struct platform_reply reply = platform_rig_call ("POST", url, body, lines);
  long status = reply.whole ? reply.status : 0;
  platform_reply_clear (&reply);
  g_free (body);
  g_free (prefix);
  g_free (credential);
  g_free (id);
  g_free (url);
  return status;
}

static gpointer
call_bad (gpointer data)
{
  struct fixture *fixture = data;
  const struct play *play = fixture->play;
  while (!atomic_load (&fixture->stops))
    {
      uint32_t i = atomic_fetch_add (&fixture->bad_sent, 1);
      uint32_t pause_ms
          = play->pause_ms + (play->more_ms > 0 ? i * 170 % play->more_ms : 0);
      request (fixture, i, i % play->accounts, true);
      g_usleep (1000UL * pause_ms);
    }
  return NULL;
}

/* A caller that comes back, at another router, while its request is rejected
   and its time isn't over. */
static gpointer
call_sound (gpointer data)
{
  struct fixture *fixture = data;
  const gint64 interval_us = SOUND_THREADS * G_USEC_PER_SEC / SOUND_PER_S;
  for (uint32_t i = 0; !atomic_load (&fixture->stops); i++)
    {
      gint64 due_us = g_get_monotonic_time () + interval_us;
      uint32_t account = (i * 5) % ACCOUNTS;
      long status = request (fixture, i, account, false);
      for (uint32_t k = 1; status == 503 && k <= RETURNS_MAX; k++)
        {
          g_usleep (RETURN_US);
          status = request (fixture, i + k, account, false);
        }
      atomic_fetch_add (&fixture->sound_sent, 1);
      atomic_fetch_add (&fixture->sound_served, status == 200);
      gint64 left_us = due_us - g_get_monotonic_time ();
      if (left_us > 0)
        g_usleep ((gulong)left_us);
    }
  return NULL;
}

static void
check_served (struct fixture *fixture, uint32_t router)
{
  long status = 0;
  for (uint32_t i = 0; status != 200 && i < 100; i++)
    {
      status = request (fixture, router, 0, false);
      if (status != 200)
        g_usleep (50000);
    }
  g_assert_cmpint (status, ==, 200);
}

static void
set_up (struct fixture *fixture, const struct play *play)
{
  memset (fixture, 0, sizeof *fixture);
  fixture->play = play;
  g_mutex_init (&fixture->mutex);
  fixture->arrivals = g_array_new (FALSE, FALSE, sizeof (gint64));
  fixture->crashes = g_array_new (FALSE, FALSE, sizeof (gint64));
  fixture->ended = g_ptr_array_new ();
  fixture->rig = platform_rig_create ();
  g_strlcpy (fixture->routers[0], "127.0.0.1", sizeof fixture->routers[0]);
  for (uint32_t i = 1; i < ROUTERS; i++)
    platform_rig_add_entry (fixture->rig, fixture->routers[i]);
  platform_rig_configure (fixture->rig, CONFIG);
  for (uint32_t i = 0; i < TARGETS; i++)
    start_target (fixture, i);
  for (uint32_t i = 0; i < ROUTERS; i++)
    check_served (fixture, i);
}

static void
tear_down (struct fixture *fixture)
{
  platform_rig_destroy (fixture->rig);
  for (uint32_t i = 0; i < TARGETS; i++)
    platform_raw_target_destroy (fixture->targets[i]);
  for (guint i = 0; i < fixture->ended->len; i++)
    platform_raw_target_destroy (fixture->ended->pdata[i]);
  g_ptr_array_unref (fixture->ended);
  g_array_unref (fixture->arrivals);
  g_array_unref (fixture->crashes);
  g_mutex_clear (&fixture->mutex);
}

/* Runs sound callers beside the bad ones for a while. */
static void
run (struct fixture *fixture)
{
  GThread *threads[SOUND_THREADS + BAD_THREADS];
  uint32_t count = 0;
  uint32_t bad_threads = fixture->play->more_ms > 0 ? 1 : BAD_THREADS;
  gint64 end_us = g_get_monotonic_time () + RUN_US;
  for (uint32_t i = 0; i < SOUND_THREADS; i++)
    threads[count++] = g_thread_new ("sound", call_sound, fixture);
  g_usleep (G_USEC_PER_SEC);
  for (uint32_t i = 0; i < bad_threads; i++)
    threads[count++] = g_thread_new ("bad", call_bad, fixture);
  while (g_get_monotonic_time () < end_us)
    {
      g_usleep (50000);
      replace_crashed (fixture);
    }
  atomic_store (&fixture->stops, true);
  for (uint32_t i = 0; i < count; i++)
    g_thread_join (threads[i]);
}

static void
check_play (gconstpointer data)
{
  const struct play *play = data;
  struct fixture fixture;
  uint32_t known = play->is_request ? CRASHES_REQUEST : CRASHES_PART;
  uint32_t strays = 0;
  set_up (&fixture, play);
  run (&fixture);
  uint32_t sent = atomic_load (&fixture.sound_sent);
  uint32_t served = atomic_load (&fixture.sound_served);
  uint32_t taken = atomic_load (&fixture.sound_taken);
  gint64 known_us = G_MAXINT64;
  if (fixture.crashes->len >= known)
    known_us = g_array_index (fixture.crashes, gint64, known - 1) + CONTACT_US;
  for (guint i = 0; i < fixture.arrivals->len; i++)
    strays += g_array_index (fixture.arrivals, gint64, i) > known_us;
  g_test_message (
      "%u bad requests, %u arrivals, %u crashes, %u arrivals too "
      "late; sound requests served: %u of %u, taken by crashes: %u",
      atomic_load (&fixture.bad_sent), fixture.arrivals->len,
      fixture.crashes->len, strays, served, sent, taken);
  tear_down (&fixture);
  g_assert_cmpuint (fixture.target_number, >=, TARGETS + 3);
  g_assert_cmpuint (strays, <=, STRAYS_MAX);
  g_assert_cmpfloat (served, >=, SOUND_SERVED * ((double)sent - taken));
}

int
main (int argc, char **argv)
{
  static const struct
  {
    const char *name;
    struct play play;
  } plays[] = {
    { "part-before-head-one-account",
      { "once", 1, -1, CLOSES, 400, 500, false } },
    { "part-before-head-twelve-accounts",
      { "once", 12, -1, CLOSES, 400, 500, false } },
    { "part-before-head-reset", { "again", 2, -1, RESETS, 400, 500, false } },
    { "part-after-one-event-four-accounts",
      { "once", 4, 1, CLOSES, 400, 500, false } },
    { "part-after-three-events-twelve-accounts",
      { "once", 12, 3, CLOSES, 400, 500, false } },
    { "part-after-two-events-ten-a-second",
      { "once", 6, 2, CLOSES, 150, 0, false } },
    { "part-after-ten-events-one-account",
      { "once", 1, 10, CLOSES, 400, 500, false } },
    { "resumable-part-after-four-events",
      { "again", 4, 4, RESETS, 400, 500, false } },
    { "request-after-two-events", { "once", 1, 2, CLOSES, 400, 500, true } },
  };
  g_test_init (&argc, &argv, NULL);
  g_test_set_nonfatal_assertions ();
  for (uint32_t i = 0; i < G_N_ELEMENTS (plays); i++)
    {
      char *path
          = g_strdup_printf ("/platform-crashing-by-turns/%s", plays[i].name);
      g_test_add_data_func (path, &plays[i].play, check_play);
      g_free (path);
    }
  return g_test_run ();
}
