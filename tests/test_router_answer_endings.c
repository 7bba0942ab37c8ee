/** @file
 *  Tests of cactus-router with targets that break off their answers: what
 *  broke off never looks whole to a caller, what may be repeated is, and a
 *  whole answer is never cut. */

#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "broken_answer.h"
#include "platform_raw_target.h"
#include "raw_answer.h"
#include "router_check.h"
#include "target_announcer.h"

/* Time within which a caller learns of the end of an answer: two waits for a
   free target of 3 s each, with slack for a busy machine; after silence, the
   time limits with it. */
#define WAIT_MS 8000
#define SILENCE_WAIT_MS 16000
#define THREADS 24
/* Names under which each target is announced, so that one that fails isn't
   avoided for long. */
#define NAMES 16
/* Tries of a request that is refused as not run, and pause between them. */
#define TRIES_MAX 100
#define RETRY_INTERVAL_US 50000
#define STATUS_UNAVAILABLE 503
#define TEXT_EVENT(text)                                                      \
  "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" text           \
  "\"}}]}\n\n"
#define USAGE "\"usage\":{\"prompt_tokens\":4,\"total_tokens\":8}"

static const char *const events[] = { TEXT_EVENT ("one "),
                                      TEXT_EVENT ("two "),
                                      TEXT_EVENT ("three "),
                                      TEXT_EVENT ("four"),
                                      "data: {\"choices\":[]," USAGE "}\n\n",
                                      "data: [DONE]\n\n",
                                      NULL };
#define EVENTS 6
/* Body of an order that isn't read, more than the sockets on the way hold. */
#define EARLY_BODY_BYTES (1000u * 1024)
#define EARLY_CALLS 12
/* Status lines that HTTP doesn't have. */
static const char *const odd_statuses[]
    = { "HTTP/1.1 000 Zero", "HTTP/1.1 099 Low",   "HTTP/1.1 600 High",
        "HTTP/1.1 999 High", "HTTP/1.1 2000 Long", "HTTP/1.1 0200 Long",
        "HTTP/1.1 20 Short", "HTTP/1.1 200OK",     "HTTP/2 200 OK",
        "HTTP/1.10 200 OK",  "HTTP/1.0 700 High",  "HTTP/1.1 101 Switching" };
#define STREAM_TEXT "one two three four"
static const char *const chat_pieces[]
    = { "{\"choices\":[{\"index\":0,",
        "\"message\":{\"role\":\"assistant\",",
        "\"content\":\"text\"}}],",
        USAGE,
        "}",
        NULL };
static const char *const words[] = { "one word,",    "two words,",
                                     "three words,", "four words,",
                                     "five",         NULL };

/* Kinds of requests; the idempotency key names them to the target. */
enum kind
{
  KIND_STREAM,
  KIND_CHAT,
  KIND_LOOK,
  KIND_ORDER,
  KINDS
};
static const char *const kind_names[] = { "stream", "chat", "look", "order" };

struct fixture
{
  struct router_rig *rig;
  struct platform_raw_target *targets[2];
  struct target_announcer *announcers[2 * NAMES];
  char *names[2 * NAMES];
  char *routers[2];
  GMutex mutex;
  /* Keys of requests that broke off once. */
  GHashTable *broken_keys;
  uint32_t calls;
  uint32_t failures;
  uint32_t repeated;
  /* Number of the status line of all answers, from 1; 0 for a usual one. */
  atomic_uint odd_status;
  /* Targets answer before they have read the request's body, and end in order
     after a part of the answer. */
  atomic_bool is_early;
};

struct job
{
  struct fixture *fixture;
  struct broken_answer broken;
  enum kind kind;
  enum raw_caller caller;
};

static const char *const *
pieces_of (enum kind kind)
{
  if (kind == KIND_STREAM)
    return events;
  return kind == KIND_CHAT ? chat_pieces : words;
}

/* Answers a request with the key "KIND.FRAMING-WAY-MOMENT.NUMBER"; its second
   attempt gets a whole answer. */
static void
respond (struct platform_raw_target *target, int fd, const char *head,
         void *context)
{
  struct fixture *fixture = context;
  char key[80];
  char kind_name[16];
  unsigned int framing = 0;
  unsigned int way = 0;
  unsigned int moment = 0;
  const char *line = strstr (head, "Idempotency-Key: ");
  (void)target;
  if (!line || sscanf (line, "Idempotency-Key: %79s", key) != 1
      || sscanf (key, "%15[a-z].%u-%u-%u", kind_name, &framing, &way, &moment)
             != 4)
    return;
  struct broken_answer broken = { framing, way, moment };
  enum kind kind = KIND_STREAM;
  while (strcmp (kind_names[kind], kind_name) != 0)
    kind++;
  g_mutex_lock (&fixture->mutex);
  bool is_first = g_hash_table_add (fixture->broken_keys, g_strdup (key));
  g_mutex_unlock (&fixture->mutex);
  uint32_t odd_status = atomic_load (&fixture->odd_status);
  if (atomic_load (&fixture->is_early))
    broken = (struct broken_answer){ BROKEN_FRAMING_CONNECTION, BROKEN_WAY_FIN,
                                     BROKEN_MOMENT_LATER_PIECE };
  else if (!is_first || odd_status > 0)
    broken = (struct broken_answer){ BROKEN_FRAMING_LENGTH, BROKEN_WAY_FIN,
                                     BROKEN_MOMENT_LAST };
  char *lines = g_strdup_printf (
      "%s\r\nContent-Type: %s\r\n",
      odd_status > 0 ? odd_statuses[odd_status - 1] : "HTTP/1.1 200 OK",
      kind == KIND_STREAM ? "text/event-stream" : "application/json");
  broken_answer_write (fd, &broken, lines, pieces_of (kind));
  g_free (lines);
}

static void
announce_target (struct fixture *fixture, uint32_t index, uint32_t name,
                 const char *service)
{
  fixture->names[name] = g_strdup_printf ("t%u", name);
  struct target_identity identity
      = { .target = fixture->names[name],
          .service = service,
          .availability_zone = "zone-a",
          .region = "region-a",
          .address = "127.0.0.1",
          .port = platform_raw_target_port (fixture->targets[index]),
          .slots = 64,
          .weight = 100 };
  fixture->announcers[name] = target_announcer_create (
      &identity, (const char *const *)fixture->routers, NULL);
}

static void
start_target (struct fixture *fixture, uint32_t index, const char *service)
{
  fixture->targets[index]
      = platform_raw_target_create (service, respond, fixture);
  for (uint32_t i = 0; i < NAMES; i++)
    announce_target (fixture, index, index * NAMES + i, service);
}

static void
set_up (struct fixture *fixture)
{
  static const char *const no_arguments[] = { NULL };
  memset (fixture, 0, sizeof *fixture);
  g_mutex_init (&fixture->mutex);
  fixture->broken_keys
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  fixture->rig = router_rig_create (no_arguments);
  fixture->routers[0] = g_strdup_printf (
      "127.0.0.1:%u", (unsigned)router_rig_port (fixture->rig));
  start_target (fixture, 0, ROUTER_RIG_MODEL);
  start_target (fixture, 1, ROUTER_RIG_PLAIN);
  for (uint32_t i = 0; i < 2 * NAMES; i++)
    router_rig_wait_listed (fixture->rig, fixture->names[i]);
}

static void
tear_down (struct fixture *fixture)
{
  for (uint32_t i = 0; i < 2 * NAMES; i++)
    {
      target_announcer_destroy (fixture->announcers[i]);
      g_free (fixture->names[i]);
    }
  router_rig_destroy (fixture->rig);
  for (uint32_t i = 0; i < G_N_ELEMENTS (fixture->targets); i++)
    platform_raw_target_destroy (fixture->targets[i]);
  g_hash_table_unref (fixture->broken_keys);
  g_free (fixture->routers[0]);
  g_mutex_clear (&fixture->mutex);
}

/* Sends a request and returns its connection. */
static int
call (const struct job *job, uint32_t number)
{
  const struct broken_answer *broken = &job->broken;
  bool is_model = job->kind == KIND_STREAM || job->kind == KIND_CHAT;
  char *body = is_model
                   ? router_check_body ("lot", 16, job->kind == KIND_STREAM)
                   : g_strnfill (atomic_load (&job->fixture->is_early)
                                     ? EARLY_BODY_BYTES
                                     : 0,
                                 'x');
  char *text = g_strdup_printf (
      "%s %s HTTP/1.%d\r\nHost: r\r\nAuthorization: Bearer " ROUTER_RIG_KEY
      "\r\nIdempotency-Key: %s.%d-%d-%d.%u\r\nContent-Length: %zu\r\n%s\r\n%s",
      job->kind == KIND_LOOK ? "GET" : "POST",
      is_model ? ROUTER_CHECK_CHAT : "/services/" ROUTER_RIG_PLAIN "/orders",
      job->caller == RAW_CALLER_1_0 ? 0 : 1, kind_names[job->kind],
      (int)broken->framing, (int)broken->way, (int)broken->moment, number,
      strlen (body),
      job->caller == RAW_CALLER_CLOSING ? "Connection: close\r\n" : "", body);
  int fd = raw_connect ("127.0.0.1", router_rig_port (job->fixture->rig));
  raw_send (fd, text);
  g_free (text);
  g_free (body);
  return fd;
}

/* Whether the answer has all of what the target sends as a whole answer. */
static bool
has_whole_body (enum kind kind, const struct raw_answer *answer)
{
  if (kind == KIND_STREAM)
    {
      struct router_call_result result
          = { .head = answer->head, .body = answer->body };
      char *text = router_call_text (&result);
      bool is_whole = strcmp (text, STREAM_TEXT) == 0
                      && strstr (answer->body->str, "data: [DONE]\n\n");
      g_free (text);
      return is_whole;
    }
  char *body = g_strjoinv ("", (gchar **)(uintptr_t)pieces_of (kind));
  bool is_whole = strcmp (answer->body->str, body) == 0;
  g_free (body);
  return is_whole;
}

/* Returns what is wrong with an answer, or NULL. */
static const char *
find_fault (const struct job *job, const struct raw_answer *answer)
{
  const struct broken_answer *broken = &job->broken;
  bool is_stream = job->kind == KIND_STREAM;
  bool has_last_event
      = is_stream && broken_answer_pieces (broken, EVENTS) == EVENTS;
  /* The router knows a chat completion and a stream by their content. */
  bool is_hidden = broken_answer_is_hidden (broken)
                   && (job->kind == KIND_LOOK || job->kind == KIND_ORDER);
  bool is_complete = answer->end == RAW_ANSWER_COMPLETE;
  bool is_success = is_complete && answer->status == 200;
  if (answer->end == RAW_ANSWER_OPEN)
    return "the caller isn't told how the answer ended";
  if (is_hidden)
    return is_success ? NULL : "a whole answer is not delivered";
  if (is_success && !has_whole_body (job->kind, answer))
    return "an answer that broke off looks whole";
  if (broken_answer_is_whole (broken) || has_last_event)
    return is_success ? NULL : "a whole answer is not delivered";
  if (is_success && job->kind == KIND_ORDER)
    return "an answer that broke off looks whole";
  if (is_complete && !is_success && answer->status < 500)
    return "an answer that broke off has another status";
  return NULL;
}

/* Makes a request until it isn't refused as not run. */
static struct raw_answer
make_request (const struct job *job)
{
  struct fixture *fixture = job->fixture;
  for (uint32_t i = 0;; i++)
    {
      g_mutex_lock (&fixture->mutex);
      uint32_t number = ++fixture->calls;
      g_mutex_unlock (&fixture->mutex);
      int fd = call (job, number);
      struct raw_answer answer = raw_answer_read (
          fd,
          job->broken.way == BROKEN_WAY_SILENCE ? SILENCE_WAIT_MS : WAIT_MS);
      close (fd);
      if (answer.status != STATUS_UNAVAILABLE || i == TRIES_MAX)
        return answer;
      raw_answer_clear (&answer);
      g_usleep (RETRY_INTERVAL_US);
    }
}

static void
run_job (gpointer data, gpointer user_data)
{
  struct job *job = data;
  struct fixture *fixture = job->fixture;
  const struct broken_answer *broken = &job->broken;
  (void)user_data;
  struct raw_answer answer = make_request (job);
  const char *fault = find_fault (job, &answer);
  g_mutex_lock (&fixture->mutex);
  if (answer.status == 200 && !broken_answer_is_whole (broken))
    fixture->repeated++;
  if (fault)
    {
      fixture->failures++;
      g_test_message (
          "%s.%d-%d-%d caller=%s: %s: end=%d status=%u body=\"%s\"",
          kind_names[job->kind], (int)broken->framing, (int)broken->way,
          (int)broken->moment, raw_caller_name (job->caller), fault,
          (int)answer.end, answer.status, answer.body->str);
    }
  g_mutex_unlock (&fixture->mutex);
  raw_answer_clear (&answer);
  g_free (job);
}

static void
run_table (struct fixture *fixture, enum broken_way first_way,
           enum broken_way last_way, enum broken_moment first_moment,
           uint32_t threads)
{
  GThreadPool *pool
      = g_thread_pool_new (run_job, NULL, (gint)threads, TRUE, NULL);
  uint32_t count = 0;
  for (int caller = 0; caller < RAW_CALLERS; caller++)
    for (int kind = 0; kind < KINDS; kind++)
      for (int framing = 0; framing < BROKEN_FRAMINGS; framing++)
        for (int way = (int)first_way; way <= (int)last_way; way++)
          for (int moment = (int)first_moment; moment < BROKEN_MOMENTS;
               moment++)
            {
              struct job job
                  = { fixture, { framing, way, moment }, kind, caller };
              /* A silent target has the whole time of the request's class, 30
                 s, for a chat completion that isn't streamed. */
              if (!broken_answer_is_possible (&job.broken)
                  || (way == BROKEN_WAY_SILENCE && kind == KIND_CHAT))
                continue;
              g_thread_pool_push (pool, g_memdup2 (&job, sizeof job), NULL);
              count++;
            }
  g_thread_pool_free (pool, FALSE, TRUE);
  g_test_message ("%u answers, %u faults, %u served by another attempt", count,
                  fixture->failures, fixture->repeated);
  g_assert_cmpuint (fixture->failures, ==, 0);
  g_assert_cmpuint (fixture->repeated, >, 0);
}

/* Each way to delimit an answer, broken off in each way at each moment, for
   each kind of request and each way to answer the caller. */
static void
test_broken_answer_looks_whole (void)
{
  struct fixture fixture;
  set_up (&fixture);
  run_table (&fixture, BROKEN_WAY_FIN, BROKEN_WAY_RESET, BROKEN_MOMENT_HEAD,
             THREADS);
  tear_down (&fixture);
}

/* A target that falls silent right before the end of its answer, or after
   it. */
static void
test_silent_end (void)
{
  struct fixture fixture;
  set_up (&fixture);
  run_table (&fixture, BROKEN_WAY_SILENCE, BROKEN_WAY_SILENCE,
             BROKEN_MOMENT_BETWEEN, 3 * THREADS);
  tear_down (&fixture);
}

/* Guards against an answer with a status that HTTP doesn't have, passed on as
   one or as another status. */
static void
test_odd_statuses (void)
{
  struct fixture fixture;
  uint32_t wrong = 0;
  set_up (&fixture);
  for (int kind = 0; kind < KINDS; kind++)
    for (uint32_t i = 0; i < G_N_ELEMENTS (odd_statuses); i++)
      {
        struct job job = { &fixture,
                           { BROKEN_FRAMING_LENGTH, BROKEN_WAY_FIN, i % 2 },
                           kind,
                           (enum raw_caller) (i % RAW_CALLERS) };
        atomic_store (&fixture.odd_status, i + 1);
        struct raw_answer answer = make_request (&job);
        bool is_own = answer.status >= 500 && answer.status < 600;
        if (!is_own)
          g_test_message ("%s \"%s\": end=%d status=%u body=\"%s\"",
                          kind_names[kind], odd_statuses[i], (int)answer.end,
                          answer.status, answer.body->str);
        wrong += !is_own;
        raw_answer_clear (&answer);
      }
  g_assert_cmpuint (wrong, ==, 0);
  tear_down (&fixture);
}

/* Guards against a part of an answer that looks whole since its connection
   ended while the request was being sent. */
static void
test_early_answer (void)
{
  struct fixture fixture;
  set_up (&fixture);
  for (uint32_t i = 0; i < G_N_ELEMENTS (fixture.targets); i++)
    platform_raw_target_leave_bodies (fixture.targets[i]);
  atomic_store (&fixture.is_early, true);
  for (uint32_t i = 0; i < EARLY_CALLS; i++)
    {
      struct job job = { &fixture,
                         { BROKEN_FRAMING_CONNECTION, BROKEN_WAY_FIN,
                           BROKEN_MOMENT_LATER_PIECE },
                         KIND_ORDER,
                         (enum raw_caller) (i % RAW_CALLERS) };
      struct raw_answer answer = make_request (&job);
      g_test_message ("end=%d status=%u body=\"%s\"", (int)answer.end,
                      answer.status, answer.body->str);
      g_assert_true (answer.end != RAW_ANSWER_COMPLETE
                     || answer.status >= 500);
      raw_answer_clear (&answer);
    }
  tear_down (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/router-answer-endings/broken-answer-looks-whole",
                   test_broken_answer_looks_whole);
  g_test_add_func ("/router-answer-endings/silent-end", test_silent_end);
  g_test_add_func ("/router-answer-endings/early-answer", test_early_answer);
  g_test_add_func ("/router-answer-endings/odd-statuses", test_odd_statuses);
  return g_test_run ();
}
