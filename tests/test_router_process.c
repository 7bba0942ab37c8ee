/** @file
 *  A router with real processes around it: answers, refusals, bills. */

#include <arpa/inet.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <curl/curl.h>
#include <glib.h>

#include "base_hash.h"
#include "router_call.h"
#include "router_rig.h"
#include "target_answer.h"

#define CHAT "/v1/chat/completions"
#define COMPLETION "/v1/completions"
#define STREAM_TOKENS 40

static const char *const no_arguments[] = { NULL };

/* The body of a chat request. */
static char *
chat_body (const char *prompt, uint32_t max_tokens, bool stream)
{
  return g_strdup_printf (
      "{\"model\":\"" ROUTER_RIG_MODEL "\",\"max_tokens\":%u,\"stream\":%s,"
      "\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}",
      max_tokens, stream ? "true" : "false", prompt);
}

static struct router_call_result
chat (struct router_rig *rig, const char *prompt, uint32_t max_tokens,
      bool stream, const char *key)
{
  char *body = chat_body (prompt, max_tokens, stream);
  struct router_call_options call = { .path = CHAT,
                                      .body = body,
                                      .api_key = ROUTER_RIG_KEY,
                                      .idempotency_key = key };
  struct router_call_result result
      = router_call (router_rig_port (rig), &call);
  g_free (body);
  return result;
}

static void
check_header (const struct router_call_result *result, const char *name,
              const char *expected)
{
  char *value = router_call_header (result, name);
  g_assert_cmpstr (value, ==, expected);
  g_free (value);
}

/* Checks a refusal and that it says "not run" (or what @p run says). */
static void
check_refusal (struct router_call_result *result, uint32_t status,
               const char *code, const char *run)
{
  char *found = router_call_code (result);
  g_assert_cmpstr (found, ==, code);
  g_assert_cmpuint (result->status, ==, status);
  check_header (result, "Cactus-Run", run);
  g_free (found);
  router_call_clear (result);
}

/* Checks the text and bill of a whole answer; tokens used. */
static uint64_t
check_answer (struct router_call_result *result, const char *prompt,
              uint32_t tokens)
{
  uint64_t hash = target_prompt_hash (prompt);
  uint64_t used = target_token_count (prompt) + tokens;
  GString *expected = target_answer_text (hash, tokens);
  char *text = router_call_text (result);
  g_assert_cmpuint (result->status, ==, 200);
  g_assert_true (result->whole);
  g_assert_cmpstr (text, ==, expected->str);
  g_assert_cmpint (router_call_billed (result), ==, (int64_t)used);
  check_header (result, "Cactus-Run", "ran");
  g_free (text);
  g_string_free (expected, TRUE);
  router_call_clear (result);
  return used;
}

static void
test_answers (void)
{
  static const char *const fast[] = { "--token-rate", "2000", NULL };
  struct router_rig *rig = router_rig_create (no_arguments);
  struct fleet_process *target
      = router_rig_target (rig, "t1", ROUTER_RIG_MODEL, fast);
  uint64_t used = 0;
  for (uint32_t i = 0; i < 20; i++)
    {
      char *prompt = g_strdup_printf ("price of lot %u", i);
      struct router_call_result whole = chat (rig, prompt, 5 + i, false, NULL);
      used += check_answer (&whole, prompt, 5 + i);
      struct router_call_result stream = chat (rig, prompt, 5 + i, true, NULL);
      g_assert_nonnull (strstr (stream.body->str, "data: [DONE]\n\n"));
      g_assert_null (strstr (stream.body->str, "\"usage\""));
      used += check_answer (&stream, prompt, 5 + i);
      g_free (prompt);
    }
  g_assert_cmpuint (router_rig_billed_at_rest (rig), ==, used);
  g_assert_cmpuint (router_rig_oracle (target, "tokens"), ==, used);
  g_assert_cmpuint (router_rig_oracle (target, "runs"), ==, 40);
  router_rig_destroy (rig);
}

/* A long stream passes many steps of the watermark. */
static void
test_long_stream (void)
{
  static const char *const fast[]
      = { "--token-rate", "20000", "--answer-tokens", "3000", NULL };
  struct router_rig *rig = router_rig_create (no_arguments);
  router_rig_target (rig, "t1", ROUTER_RIG_MODEL, fast);
  struct router_call_result stream = chat (rig, "a", 3000, true, NULL);
  uint64_t used = check_answer (&stream, "a", 3000);
  g_assert_cmpuint (router_rig_billed_at_rest (rig), ==, used);
  router_rig_destroy (rig);
}

static struct router_call_result
post (struct router_rig *rig, const char *path, const char *body,
      const char *api_key)
{
  struct router_call_options call
      = { .path = path, .body = body, .api_key = api_key };
  return router_call (router_rig_port (rig), &call);
}

static void
check_post (struct router_rig *rig, const char *path, const char *body,
            const char *api_key, uint32_t status, const char *code)
{
  struct router_call_result result = post (rig, path, body, api_key);
  check_refusal (&result, status, code, "not-run");
}

static void
test_refusals (void)
{
  struct router_rig *rig = router_rig_create (no_arguments);
  char *good = chat_body ("a", 5, false);
  char *large = g_strnfill (70000, 'a');
  char *larger = g_strnfill (3000000, 'a');
  char *large_body = chat_body (large, 5, false);
  check_post (rig, CHAT, good, NULL, 401, "invalid_api_key");
  check_post (rig, CHAT, good, "wrong", 401, "invalid_api_key");
  check_post (rig, CHAT, good, ROUTER_RIG_BARRED_KEY, 403, "no_rule");
  check_post (rig, CHAT, "{\"model\":", ROUTER_RIG_KEY, 400,
              "invalid_request");
  check_post (rig, CHAT, "[]", ROUTER_RIG_KEY, 400, "invalid_request");
  check_post (rig, CHAT, "{}", ROUTER_RIG_KEY, 400, "invalid_request");
  check_post (rig, CHAT,
              "{\"model\":\"writer\",\"messages\":[{\"role\":\"user\","
              "\"content\":\"\xff\xfe\"}]}",
              ROUTER_RIG_KEY, 400, "invalid_request");
  check_post (rig, COMPLETION, "{\"model\":\"none\",\"prompt\":\"a\"}",
              ROUTER_RIG_KEY, 404, "unknown_service");
  check_post (rig, COMPLETION, "{\"model\":\"shop\",\"prompt\":\"a\"}",
              ROUTER_RIG_KEY, 404, "unknown_service");
  check_post (rig, "/services/none/x", "a", ROUTER_RIG_KEY, 404,
              "unknown_service");
  check_post (rig, "/v2/other", good, ROUTER_RIG_KEY, 404, "unknown_path");
  check_post (rig, CHAT, NULL, ROUTER_RIG_KEY, 405, "method_not_allowed");
  check_post (rig, CHAT, large_body, ROUTER_RIG_KEY, 413, "body_too_large");
  check_post (rig, CHAT, larger, ROUTER_RIG_KEY, 413, "body_too_large");
  check_post (rig, CHAT, good, ROUTER_RIG_KEY, 503, "no_target");
  check_post (rig, CHAT, good, ROUTER_RIG_POOR_KEY, 429, "budget_exhausted");
  check_post (rig, "/services/shop/orders", "a", ROUTER_RIG_KEY, 400,
              "invalid_request");
  g_assert_cmpuint (router_rig_billed_at_rest (rig), ==, 0);
  g_free (good);
  g_free (large);
  g_free (larger);
  g_free (large_body);
  router_rig_destroy (rig);
}

/* All findings of a body come at once, each with its place. */
static void
test_findings (void)
{
  struct router_rig *rig = router_rig_create (no_arguments);
  struct router_call_result result
      = post (rig, CHAT, "{\"n\":2,\"max_tokens\":-1,\"messages\":[1]}",
              ROUTER_RIG_KEY);
  const char *places[]
      = { "$.model", "$.n", "$.max_tokens", "$.messages[0]", NULL };
  for (const char **place = places; *place; place++)
    g_assert_nonnull (strstr (result.body->str, *place));
  router_call_clear (&result);
  char *header = g_strdup_printf ("X-Long: %0*d", 40000, 1);
  struct router_call_options call
      = { .path = CHAT, .body = "{}", .header = header };
  result = router_call (router_rig_port (rig), &call);
  g_assert_cmpuint (result.status, ==, 431);
  router_call_clear (&result);
  g_free (header);
  router_rig_destroy (rig);
}

static int
connect_to (uint16_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  address.sin_port = htons (port);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  g_assert_cmpint (connect (fd, (struct sockaddr *)&address, sizeof address),
                   ==, 0);
  return fd;
}

static void
send_text (int fd, const char *text)
{
  g_assert_cmpint (send (fd, text, strlen (text), MSG_NOSIGNAL), ==,
                   (ssize_t)strlen (text));
}

/* A request whose body never comes ends, and the router goes on. */
static void
test_half_request (void)
{
  static const char *const short_timeout[]
      = { "--caller-timeout-s", "1", NULL };
  char byte;
  struct router_rig *rig = router_rig_create (short_timeout);
  router_rig_target (rig, "t1", ROUTER_RIG_MODEL, no_arguments);
  int fd = connect_to (router_rig_port (rig));
  send_text (fd, "POST " CHAT " HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n"
                 "\r\n{\"model\":");
  g_assert_cmpint (recv (fd, &byte, 1, 0), <=, 0);
  close (fd);
  struct router_call_result result = chat (rig, "a", 5, false, NULL);
  uint64_t used = check_answer (&result, "a", 5);
  g_assert_cmpuint (router_rig_billed_at_rest (rig), ==, used);
  router_rig_destroy (rig);
}

static void
test_nonsense (void)
{
  struct router_rig *rig = router_rig_create (no_arguments);
  struct fleet_process *target
      = router_rig_target (rig, "t1", ROUTER_RIG_MODEL, no_arguments);
  router_rig_faults (target, "{\"nonsense\":true}");
  struct router_call_result result = chat (rig, "a", 5, false, NULL);
  check_refusal (&result, 502, "target_failed", "unknown");
  result = chat (rig, "a", 5, true, NULL);
  g_assert_cmpuint (result.status, >=, 502);
  router_call_clear (&result);
  g_assert_cmpuint (router_rig_billed_at_rest (rig), ==, 0);
  router_rig_destroy (rig);
}

/* A target that refuses is avoided: the other one answers. */
static void
test_refused_retry (void)
{
  struct router_rig *rig = router_rig_create (no_arguments);
  struct fleet_process *first
      = router_rig_target (rig, "t1", ROUTER_RIG_MODEL, no_arguments);
  struct fleet_process *second
      = router_rig_target (rig, "t2", ROUTER_RIG_MODEL, no_arguments);
  uint64_t used = 0;
  router_rig_faults (first, "{\"refuse\":true}");
  for (int i = 0; i < 10; i++)
    {
      char *prompt = g_strdup_printf ("lot %d", i);
      struct router_call_result result = chat (rig, prompt, 5, i % 2, NULL);
      used += check_answer (&result, prompt, 5);
      g_free (prompt);
    }
  g_assert_cmpuint (router_rig_oracle (first, "runs"), ==, 0);
  g_assert_cmpuint (router_rig_oracle (second, "runs"), ==, 10);
  router_rig_faults (second, "{\"refuse\":true}");
  struct router_call_result result = chat (rig, "a", 5, false, NULL);
  check_refusal (&result, 503, "targets_unavailable", "not-run");
  g_assert_cmpuint (router_rig_billed_at_rest (rig), ==, used);
  router_rig_destroy (rig);
}

/* A target that is alive but slow: the caller hears of it at once, and where
   there is another one, that answers. */
static void
test_slow_target (void)
{
  struct router_rig *rig = router_rig_create (no_arguments);
  struct fleet_process *target
      = router_rig_target (rig, "t1", ROUTER_RIG_MODEL, no_arguments);
  router_rig_faults (target, "{\"delay_ms\":20000}");
  struct router_call_result result = chat (rig, "a", 5, true, NULL);
  check_refusal (&result, 502, "target_failed", "unknown");
  g_assert_cmpuint (router_rig_oracle (target, "runs"), ==, 1);
  router_rig_target (rig, "t2", ROUTER_RIG_MODEL, no_arguments);
  result = chat (rig, "b", 5, true, NULL);
  uint64_t used = check_answer (&result, "b", 5);
  g_assert_cmpuint (router_rig_billed_at_rest (rig), ==, used);
  router_rig_destroy (rig);
}

struct stream_thread
{
  struct router_rig *rig;
  char *prompt;
  const char *key;
  uint32_t tokens;
  struct router_call_result result;
  GThread *thread;
};

static gpointer
run_stream (gpointer data)
{
  struct stream_thread *stream = data;
  uint32_t tokens = stream->tokens ? stream->tokens : STREAM_TOKENS;
  stream->result
      = chat (stream->rig, stream->prompt, tokens, true, stream->key);
  return NULL;
}

/* A request that one target may have run, and that then waits in vain for
   another, is not refused as "not run". */
static void
test_truth_after_retry (void)
{
  static const char *const one_slot[] = { "--slots",
                                          "1",
                                          "--queue-limit",
                                          "0",
                                          "--token-rate",
                                          "8",
                                          "--answer-tokens",
                                          "40",
                                          NULL };
  struct router_rig *rig = router_rig_create (no_arguments);
  struct fleet_process *busy
      = router_rig_target (rig, "t1", ROUTER_RIG_MODEL, one_slot);
  struct stream_thread holder = { .rig = rig, .prompt = (char *)"hold" };
  holder.thread = g_thread_new ("caller", run_stream, &holder);
  while (router_rig_oracle (busy, "runs") == 0)
    g_usleep (20000);
  struct fleet_process *slow
      = router_rig_target (rig, "t2", ROUTER_RIG_MODEL, no_arguments);
  router_rig_faults (slow, "{\"delay_ms\":20000}");
  struct router_call_result result = chat (rig, "a", 5, true, NULL);
  check_refusal (&result, 502, "target_failed", "unknown");
  g_assert_cmpuint (router_rig_oracle (slow, "runs"), ==, 1);
  g_thread_join (holder.thread);
  check_answer (&holder.result, "hold", STREAM_TOKENS);
  router_rig_destroy (rig);
}

/* A target that dies inside a stream: the caller sees that it is cut, pays
   for what it got, and a retry under its key brings the whole answer for the
   price of one. */
static void
test_killed_stream (void)
{
  struct router_rig *rig = router_rig_create (no_arguments);
  struct fleet_process *target
      = router_rig_target (rig, "t1", ROUTER_RIG_MODEL, no_arguments);
  router_rig_faults (target, "{\"reset_after_tokens\":3}");
  struct router_call_result cut
      = chat (rig, "a b", STREAM_TOKENS, true, "key-1");
  g_assert_false (cut.whole);
  g_assert_nonnull (strstr (cut.body->str, "target_failed"));
  g_assert_cmpint (router_call_billed (&cut), ==, 3);
  router_call_clear (&cut);
  g_assert_cmpuint (router_rig_billed_at_rest (rig), ==, 3);
  router_rig_target (rig, "t2", ROUTER_RIG_MODEL, no_arguments);
  struct router_call_result whole
      = chat (rig, "a b", STREAM_TOKENS, true, "key-1");
  uint64_t used = check_answer (
      &whole, "a b",
      target_answer_tokens (target_prompt_hash ("a b"), 0, STREAM_TOKENS));
  g_assert_cmpuint (router_rig_billed_at_rest (rig), ==, used);
  router_rig_destroy (rig);
}

/* The answer is lost and asked for again under its key: the same answer, and
   one bill; after a few times the key is refused. */
static void
test_retries_of_key (void)
{
  struct router_rig *rig = router_rig_create (no_arguments);
  router_rig_target (rig, "t1", ROUTER_RIG_MODEL, no_arguments);
  struct router_call_result result;
  uint64_t used = 0;
  for (int i = 0; i < 9; i++)
    {
      result = chat (rig, "a b", 9, true, "key-1");
      used = check_answer (&result, "a b", 9);
    }
  g_assert_cmpuint (router_rig_billed_at_rest (rig), ==, used);
  result = chat (rig, "a b", 9, true, "key-1");
  g_assert_cmpint (router_call_billed (&result), ==, (int64_t)used);
  check_refusal (&result, 409, "already_billed", "ran");
  result = chat (rig, "a c", 9, true, "key-1");
  check_refusal (&result, 422, "key_conflict", "not-run");
  router_rig_destroy (rig);
}

/* Asks again under the key until no attempt of it is under way. */
static struct router_call_result
chat_until_free (struct router_rig *rig, const char *prompt, const char *key)
{
  struct router_call_result result
      = chat (rig, prompt, STREAM_TOKENS, true, key);
  for (int i = 0; i < 100 && result.status == 409; i++)
    {
      router_call_clear (&result);
      g_usleep (200000);
      result = chat (rig, prompt, STREAM_TOKENS, true, key);
    }
  return result;
}

/* The router dies with a stream open: the ledger writes off what was
   authorised, and the retry under its key brings the whole answer and one
   bill. */
static void
test_router_dies (void)
{
  static const char *const slow[]
      = { "--token-rate", "20", "--answer-tokens", "40", NULL };
  struct router_rig *rig = router_rig_create (no_arguments);
  struct fleet_process *target
      = router_rig_target (rig, "t1", ROUTER_RIG_MODEL, slow);
  struct stream_thread stream
      = { .rig = rig, .prompt = (char *)"sheet", .key = "key-1" };
  stream.thread = g_thread_new ("caller", run_stream, &stream);
  while (router_rig_oracle (target, "runs") == 0)
    g_usleep (20000);
  g_usleep (300000);
  router_rig_restart_router (rig, "t1");
  g_thread_join (stream.thread);
  g_assert_false (stream.result.whole);
  router_call_clear (&stream.result);
  struct router_call_result result = chat_until_free (rig, "sheet", "key-1");
  uint64_t used = target_token_count ("sheet") + STREAM_TOKENS;
  GString *expected
      = target_answer_text (target_prompt_hash ("sheet"), STREAM_TOKENS);
  char *text = router_call_text (&result);
  g_assert_cmpuint (result.status, ==, 200);
  g_assert_cmpstr (text, ==, expected->str);
  g_assert_cmpint (router_call_billed (&result), ==, (int64_t)used);
  g_assert_cmpuint (router_rig_billed_at_rest (rig), ==, used);
  g_assert_cmpuint (router_rig_written_off (rig), >, 0);
  g_assert_cmpuint (router_rig_written_off (rig), <=,
                    strlen ("sheetrolecontentuser") + 16 + STREAM_TOKENS);
  g_free (text);
  g_string_free (expected, TRUE);
  router_call_clear (&result);
  router_rig_destroy (rig);
}

static struct router_call_result
order (struct router_rig *rig, const char *key, const char *body)
{
  struct router_call_options call = { .path = "/services/shop/orders",
                                      .body = body,
                                      .api_key = ROUTER_RIG_KEY,
                                      .idempotency_key = key };
  return router_call (router_rig_port (rig), &call);
}

/* A call that may run once: its retry gets the same answer again. */
static void
test_order_once (void)
{
  struct router_rig *rig = router_rig_create (no_arguments);
  struct fleet_process *target
      = router_rig_target (rig, "p1", ROUTER_RIG_PLAIN, no_arguments);
  for (int i = 0; i < 3; i++)
    {
      struct router_call_result result = order (rig, "o-1", "two boxes");
      g_assert_cmpuint (result.status, ==, 200);
      g_assert_cmpstr (result.body->str, ==, "{\"key\":\"o-1\",\"run\":1}");
      g_assert_cmpint (router_call_billed (&result), ==,
                       ROUTER_RIG_CALL_TOKENS);
      router_call_clear (&result);
    }
  struct router_call_result other = order (rig, "o-1", "three boxes");
  check_refusal (&other, 422, "key_conflict", "not-run");
  g_assert_cmpuint (router_rig_oracle (target, "runs"), ==, 1);
  g_assert_cmpuint (router_rig_billed_at_rest (rig), ==,
                    ROUTER_RIG_CALL_TOKENS);
  router_rig_destroy (rig);
}

/* The answer of a call that may run once is lost: it is never run again. */
static void
test_order_lost (void)
{
  struct router_rig *rig = router_rig_create (no_arguments);
  struct fleet_process *target
      = router_rig_target (rig, "p1", ROUTER_RIG_PLAIN, no_arguments);
  router_rig_target (rig, "p2", ROUTER_RIG_PLAIN, no_arguments);
  router_rig_faults (target, "{\"drop_answer\":true}");
  uint32_t lost = 0;
  for (int i = 0; i < 12; i++)
    {
      char *key = g_strdup_printf ("o-%d", i);
      struct router_call_result result = order (rig, key, "a box");
      bool ran = result.status == 200;
      router_call_clear (&result);
      if (!ran)
        {
          lost++;
          result = order (rig, key, "a box");
          check_refusal (&result, 409, "outcome_unknown", "unknown");
        }
      g_free (key);
    }
  g_assert_cmpuint (lost, >, 0);
  g_assert_cmpuint (router_rig_oracle (target, "runs"), ==, lost);
  router_rig_destroy (rig);
}

/* Without control no such call is dispatched; the model service goes on. */
static void
test_control_lost (void)
{
  struct router_rig *rig = router_rig_create (no_arguments);
  struct fleet_process *plain
      = router_rig_target (rig, "p1", ROUTER_RIG_PLAIN, no_arguments);
  router_rig_target (rig, "t1", ROUTER_RIG_MODEL, no_arguments);
  struct router_call_result result = chat (rig, "a", 5, false, NULL);
  check_answer (&result, "a", 5);
  fleet_process_kill (router_rig_control (rig));
  result = order (rig, "o-1", "a box");
  check_refusal (&result, 503, "control_unavailable", "not-run");
  g_assert_cmpuint (router_rig_oracle (plain, "runs"), ==, 0);
  result = chat (rig, "a", 5, false, NULL);
  check_answer (&result, "a", 5);
  router_rig_destroy (rig);
}

/* A caller that leaves: the target's work is cancelled, and what was
   delivered is billed. */
static void
test_caller_leaves (void)
{
  static const char *const slow[]
      = { "--token-rate", "20", "--answer-tokens", "400", NULL };
  struct router_rig *rig = router_rig_create (no_arguments);
  struct fleet_process *target
      = router_rig_target (rig, "t1", ROUTER_RIG_MODEL, slow);
  char *body = chat_body ("a", 400, true);
  struct router_call_options call = {
    .path = CHAT, .body = body, .api_key = ROUTER_RIG_KEY, .timeout_ms = 500
  };
  struct router_call_result result
      = router_call (router_rig_port (rig), &call);
  g_assert_false (result.whole);
  router_call_clear (&result);
  uint64_t billed = router_rig_billed_at_rest (rig);
  g_assert_cmpuint (billed, >, 0);
  g_assert_cmpuint (billed, <, 100);
  uint64_t tokens = 0;
  for (int i = 0; i < 100 && tokens == 0; i++)
    {
      g_usleep (20000);
      tokens = router_rig_oracle (target, "tokens");
    }
  g_assert_cmpuint (tokens, >, 0);
  g_assert_cmpuint (tokens, <, 100);
  g_assert_cmpuint (router_rig_oracle (target, "complete_runs"), ==, 0);
  g_free (body);
  router_rig_destroy (rig);
}

/* The ledger dies and comes back while a stream is open: the stream waits for
   its next step, is whole and billed once. */
static void
test_ledger_restarts (void)
{
  static const char *const steady[]
      = { "--token-rate", "200", "--answer-tokens", "600", NULL };
  struct router_rig *rig = router_rig_create (no_arguments);
  struct fleet_process *target
      = router_rig_target (rig, "t1", ROUTER_RIG_MODEL, steady);
  struct stream_thread stream
      = { .rig = rig, .prompt = (char *)"sheet", .tokens = 600 };
  stream.thread = g_thread_new ("caller", run_stream, &stream);
  while (router_rig_oracle (target, "runs") == 0)
    g_usleep (20000);
  g_usleep (300000);
  fleet_process_kill (router_rig_ledger (rig));
  g_usleep (1500000);
  g_assert_cmpint (fleet_process_start (router_rig_ledger (rig)), ==, 0);
  g_assert_true (fleet_process_wait_ready (router_rig_ledger (rig), 10000));
  g_thread_join (stream.thread);
  uint64_t used = check_answer (&stream.result, "sheet", 600);
  g_assert_cmpuint (router_rig_billed_at_rest (rig), ==, used);
  g_assert_cmpuint (router_rig_written_off (rig), ==, 0);
  router_rig_destroy (rig);
}

/* SIGTERM with streams open: they are finished and billed, new requests are
   told that they were not run, and the router ends with status 0. */
static void
test_graceful_shutdown (void)
{
  static const char *const slow[]
      = { "--token-rate", "20", "--answer-tokens", "40", NULL };
  struct stream_thread streams[8];
  struct router_rig *rig = router_rig_create (no_arguments);
  struct fleet_process *target
      = router_rig_target (rig, "t1", ROUTER_RIG_MODEL, slow);
  uint64_t used = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (streams); i++)
    {
      streams[i].rig = rig;
      streams[i].key = NULL;
      streams[i].tokens = STREAM_TOKENS;
      streams[i].prompt = g_strdup_printf ("sheet %zu", i);
      streams[i].thread = g_thread_new ("caller", run_stream, &streams[i]);
    }
  while (router_rig_oracle (target, "runs") < G_N_ELEMENTS (streams))
    g_usleep (20000);
  fleet_process_signal (router_rig_router (rig), SIGTERM);
  g_usleep (200000);
  struct router_call_result late = chat (rig, "late", 5, false, NULL);
  check_header (&late, "Retry-After", "1");
  check_refusal (&late, 503, "stopping", "not-run");
  for (size_t i = 0; i < G_N_ELEMENTS (streams); i++)
    {
      g_thread_join (streams[i].thread);
      used += check_answer (&streams[i].result, streams[i].prompt,
                            STREAM_TOKENS);
      g_free (streams[i].prompt);
    }
  g_assert_cmpint (fleet_process_wait (router_rig_router (rig), 20000), ==, 0);
  g_assert_cmpuint (router_rig_billed_at_rest (rig), ==, used);
  router_rig_destroy (rig);
}

/* A target that leaves gets no new work and finishes what it has. */
static void
test_target_leaves (void)
{
  struct router_rig *rig = router_rig_create (no_arguments);
  struct fleet_process *first
      = router_rig_target (rig, "t1", ROUTER_RIG_MODEL, no_arguments);
  struct fleet_process *second
      = router_rig_target (rig, "t2", ROUTER_RIG_MODEL, no_arguments);
  fleet_process_signal (first, SIGTERM);
  g_assert_cmpint (fleet_process_wait (first, 10000), ==, 0);
  for (int i = 0; i < 10; i++)
    {
      struct router_call_result result = chat (rig, "a", 5, false, NULL);
      check_answer (&result, "a", 5);
    }
  g_assert_cmpuint (router_rig_oracle (second, "runs"), ==, 10);
  router_rig_destroy (rig);
}

/* A target that an operator drains gets no new work once the router has
   heard of it. */
static void
test_target_drained (void)
{
  struct router_rig *rig = router_rig_create (no_arguments);
  struct fleet_process *first
      = router_rig_target (rig, "t1", ROUTER_RIG_MODEL, no_arguments);
  router_rig_drain (rig, "t1", true);
  struct router_call_result result = chat (rig, "a", 5, false, NULL);
  for (int i = 0; i < 100 && result.status == 200; i++)
    {
      router_call_clear (&result);
      g_usleep (50000);
      result = chat (rig, "a", 5, false, NULL);
    }
  check_refusal (&result, 503, "no_target", "not-run");
  uint64_t runs = router_rig_oracle (first, "runs");
  router_rig_target (rig, "t2", ROUTER_RIG_MODEL, no_arguments);
  for (int i = 0; i < 10; i++)
    {
      result = chat (rig, "a", 5, false, NULL);
      check_answer (&result, "a", 5);
    }
  g_assert_cmpuint (router_rig_oracle (first, "runs"), ==, runs);
  router_rig_destroy (rig);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  signal (SIGPIPE, SIG_IGN);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  g_test_add_func ("/router/answers", test_answers);
  g_test_add_func ("/router/long-stream", test_long_stream);
  g_test_add_func ("/router/refusals", test_refusals);
  g_test_add_func ("/router/findings", test_findings);
  g_test_add_func ("/router/half-request", test_half_request);
  g_test_add_func ("/router/nonsense", test_nonsense);
  g_test_add_func ("/router/refused-retry", test_refused_retry);
  g_test_add_func ("/router/slow-target", test_slow_target);
  g_test_add_func ("/router/truth-after-retry", test_truth_after_retry);
  g_test_add_func ("/router/killed-stream", test_killed_stream);
  g_test_add_func ("/router/retries-of-key", test_retries_of_key);
  g_test_add_func ("/router/router-dies", test_router_dies);
  g_test_add_func ("/router/order-once", test_order_once);
  g_test_add_func ("/router/order-lost", test_order_lost);
  g_test_add_func ("/router/control-lost", test_control_lost);
  g_test_add_func ("/router/caller-leaves", test_caller_leaves);
  g_test_add_func ("/router/ledger-restarts", test_ledger_restarts);
  g_test_add_func ("/router/graceful-shutdown", test_graceful_shutdown);
  g_test_add_func ("/router/target-leaves", test_target_leaves);
  g_test_add_func ("/router/target-drained", test_target_drained);
  int result = g_test_run ();
  curl_global_cleanup ();
  return result;
}
