/** @file
 *  Tests of the platform's programs as processes with targets that write an
 *  earlier refusal once more on a kept connection: it is taken for the answer
 *  of no other request, and of no later attempt of the same one. */

#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>

#include <glib.h>

#include "platform_raw_target.h"
#include "platform_rig.h"
#include "raw_head.h"

/* One attempt a request: a stray refusal can't be hidden by another try. */
#define CONFIG                                                                \
  "{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","        \
  "\"pathPrefix\":\"/look/\",\"kind\":\"safe\",\"timeoutMs\":2500,"           \
  "\"targetLatencyMs\":400,\"priority\":1,\"service\":\"shop\","              \
  "\"maxAttempts\":1}],\"services\":[{\"name\":\"shop\"}],"                   \
  "\"limits\":{\"idleTimeoutMs\":15000}}"
#define TARGETS 2
#define REQUESTS 60
#define PAUSE_US 30000

/* When the refusal is written once more. */
enum repetition
{
  AT_ONCE,
  LATER,
  AFTER_NEXT_REQUEST,
  WITH_NEXT_ANSWER,
  REPETITIONS
};

#define LATER_US 15000

struct fixture
{
  struct platform_rig *rig;
  struct platform_raw_target *targets[TARGETS];
  _Atomic enum repetition repetition;
  atomic_uint arrivals;
  GMutex mutex;
  /* Ids of requests that were run. */
  GHashTable *runs;
};

/* Reads the head of a further request on the connection.  Returns false when
   that is closed. */
static bool
read_head (int fd, GString *text)
{
  char piece[4096];
  ssize_t got;
  size_t bytes;
  while ((bytes = raw_head_request_bytes (text->str)) == 0
         || text->len < bytes)
    {
      if ((got = recv (fd, piece, sizeof piece, 0)) <= 0)
        return false;
      g_string_append_len (text, piece, got);
    }
  return true;
}

static bool
write_text (int fd, const GString *text)
{
  return platform_raw_target_write (fd, text->str, text->len);
}

/* Serves all requests of a connection; every other arrival is refused. */
static void
respond (struct platform_raw_target *target, int fd, const char *head,
         void *context)
{
  struct fixture *fixture = context;
  GString *text = g_string_new (head);
  GString *stray = g_string_new (NULL);
  bool is_open = true;
  /* The body of the first request has been read already. */
  bool is_first = true;
  (void)target;
  while (is_open && (is_first || read_head (fd, text)))
    {
      char id[64] = "";
      enum repetition repetition = atomic_load (&fixture->repetition);
      raw_head_value (text->str, "X-Request-Id", id, sizeof id);
      if (is_first)
        g_string_truncate (text, 0);
      else
        g_string_erase (text, 0, (gssize)raw_head_request_bytes (text->str));
      is_first = false;
      GString *answer = g_string_new (NULL);
      bool is_refused = atomic_fetch_add (&fixture->arrivals, 1) % 2 == 0;
      if (repetition == AFTER_NEXT_REQUEST)
        is_open = write_text (fd, stray);
      if (repetition == WITH_NEXT_ANSWER)
        g_string_append (answer, stray->str);
      g_string_truncate (stray, 0);
      g_string_append_printf (
          answer,
          "HTTP/1.1 %s\r\nX-Request-Id: %s\r\nX-Replica-Signature: s\r\n"
          "%sContent-Length: 2\r\n\r\nok",
          is_refused ? "503 Full" : "200 OK", id,
          is_refused ? "X-Not-Executed: 1\r\n" : "");
      if (!is_refused)
        {
          g_mutex_lock (&fixture->mutex);
          g_hash_table_add (fixture->runs, g_strdup (id));
          g_mutex_unlock (&fixture->mutex);
        }
      is_open = is_open && write_text (fd, answer);
      if (is_refused)
        g_string_assign (stray, strstr (answer->str, "HTTP/1.1 503"));
      if (is_refused && (repetition == AT_ONCE || repetition == LATER))
        {
          g_usleep (repetition == LATER ? LATER_US : 0);
          is_open = is_open && write_text (fd, stray);
          g_string_truncate (stray, 0);
        }
      g_string_free (answer, TRUE);
    }
  g_string_free (stray, TRUE);
  g_string_free (text, TRUE);
}

static void
set_up (struct fixture *fixture)
{
  memset (fixture, 0, sizeof *fixture);
  g_mutex_init (&fixture->mutex);
  fixture->runs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  fixture->rig = platform_rig_create ();
  platform_rig_configure (fixture->rig, CONFIG);
  for (uint32_t i = 0; i < TARGETS; i++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "s%u", i);
      fixture->targets[i] = platform_raw_target_create (id, respond, fixture);
      platform_rig_announce (fixture->rig, id, "shop",
                             platform_raw_target_port (fixture->targets[i]),
                             "ready", 1);
    }
  g_assert_true (platform_rig_wait_status (fixture->rig, "/look/a", "k", 200));
}

static void
tear_down (struct fixture *fixture)
{
  platform_rig_destroy (fixture->rig);
  for (uint32_t i = 0; i < TARGETS; i++)
    platform_raw_target_destroy (fixture->targets[i]);
  g_hash_table_unref (fixture->runs);
  g_mutex_clear (&fixture->mutex);
}

static void
test_repetition (gconstpointer data)
{
  enum repetition repetition = (enum repetition)GPOINTER_TO_UINT (data);
  struct fixture fixture;
  uint32_t served = 0;
  uint32_t refused = 0;
  uint32_t refused_though_run = 0;
  uint32_t others = 0;
  set_up (&fixture);
  atomic_store (&fixture.repetition, repetition);
  for (uint32_t i = 0; i < REQUESTS; i++)
    {
      char *url = g_strdup_printf ("http://127.0.0.1:%u/look/a",
                                   (unsigned)fixture.rig->callers_port);
      char *id = g_strdup_printf ("q%u-%u", (unsigned)repetition, i);
      char *line = g_strdup_printf ("X-Request-Id: %s", id);
      const char *const lines[]
          = { "Host: h.example", "X-Deadline-Ms: 2500", line, NULL };
      struct platform_reply reply
          = platform_rig_call ("POST", url, "abc", lines);
      g_mutex_lock (&fixture.mutex);
      bool has_run = g_hash_table_contains (fixture.runs, id);
      g_mutex_unlock (&fixture.mutex);
      served += reply.whole && reply.status == 200;
      refused += reply.whole && reply.status == 503;
      refused_though_run += reply.status == 503 && has_run;
      others += reply.status != 200 && reply.status != 503;
      platform_reply_clear (&reply);
      g_free (line);
      g_free (id);
      g_free (url);
      g_usleep (PAUSE_US);
    }
  tear_down (&fixture);
  g_test_message ("%u served, %u refused, %u refused though run, %u others",
                  served, refused, refused_though_run, others);
  g_assert_cmpuint (others, ==, 0);
  g_assert_cmpuint (refused_though_run, ==, 0);
  g_assert_cmpuint (2 * served, >, REQUESTS);
}

int
main (int argc, char **argv)
{
  static const char *const names[REPETITIONS]
      = { "at-once", "later", "after-next-request", "with-next-answer" };
  g_test_init (&argc, &argv, NULL);
  g_test_set_nonfatal_assertions ();
  for (guint i = 0; i < REPETITIONS; i++)
    {
      char *path
          = g_strdup_printf ("/platform-repeated-refusals/%s", names[i]);
      g_test_add_data_func (path, GUINT_TO_POINTER (i), test_repetition);
      g_free (path);
    }
  return g_test_run ();
}
