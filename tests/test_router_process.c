/** @file
 *  A router among real processes: responses, refusals and bills. */

#include <arpa/inet.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <curl/curl.h>
#include <glib.h>

#include "router_check.h"
#include "target_answer.h"

#define CHAT ROUTER_CHECK_CHAT
#define COMPLETION "/v1/completions"

static const char *const no_arguments[] = { NULL };

/* Complete and streamed responses are right, and the bills equal the tokens
   that the target counted. */
static void
test_answers (void)
{
  static const char *const fast[] = { "--token-rate", "2000", NULL };
  struct router_rig *rig = router_rig_create (no_arguments);
  struct fleet_process *target
      = router_rig_start_target (rig, "t1", ROUTER_RIG_MODEL, fast);
  uint64_t used = 0;
  for (uint32_t i = 0; i < 20; i++)
    {
      char *prompt = g_strdup_printf ("price of lot %u", i);
      struct router_call_result whole
          = router_check_chat (rig, prompt, 5 + i, false, NULL);
      used += router_check_success (&whole, prompt, 5 + i);
      struct router_call_result stream
          = router_check_chat (rig, prompt, 5 + i, true, NULL);
      g_assert_nonnull (strstr (stream.body->str, "data: [DONE]\n\n"));
      g_assert_null (strstr (stream.body->str, "\"usage\""));
      used += router_check_success (&stream, prompt, 5 + i);
      g_free (prompt);
    }
  g_assert_cmpuint (router_rig_wait_settled (rig), ==, used);
  g_assert_cmpuint (router_rig_oracle_sum (target, "tokens"), ==, used);
  g_assert_cmpuint (router_rig_oracle_sum (target, "runs"), ==, 40);
  router_rig_destroy (rig);
}

/* A long stream raises its watermark in many steps. */
static void
test_long_stream (void)
{
  static const char *const fast[]
      = { "--token-rate", "20000", "--answer-tokens", "3000", NULL };
  struct router_rig *rig = router_rig_create (no_arguments);
  router_rig_start_target (rig, "t1", ROUTER_RIG_MODEL, fast);
  struct router_call_result stream
      = router_check_chat (rig, "a", 3000, true, NULL);
  uint64_t used = router_check_success (&stream, "a", 3000);
  g_assert_cmpuint (router_rig_wait_settled (rig), ==, used);
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
  router_check_error (&result, status, code, "not-run");
}

/* Each invalid request is refused with its status and code, and none is
   billed. */
static void
test_refusals (void)
{
  struct router_rig *rig = router_rig_create (no_arguments);
  char *good = router_check_body ("a", 5, false);
  char *large = g_strnfill (70000, 'a');
  char *larger = g_strnfill (3000000, 'a');
  char *large_body = router_check_body (large, 5, false);
  check_post (rig, CHAT, good, NULL, 401, "invalid_api_key");
  check_post (rig, CHAT, good, "wrong", 401, "invalid_api_key");
  check_post (rig, CHAT, good, ROUTER_RIG_NO_RULE_KEY, 403, "no_rule");
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
  check_post (rig, CHAT, good, ROUTER_RIG_NO_TOKENS_KEY, 429,
              "budget_exhausted");
  check_post (rig, "/services/shop/orders", "a", ROUTER_RIG_KEY, 400,
              "invalid_request");
  g_assert_cmpuint (router_rig_wait_settled (rig), ==, 0);
  g_free (good);
  g_free (large);
  g_free (larger);
  g_free (large_body);
  router_rig_destroy (rig);
}

/* All findings of a body are reported together, each with its path. */
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

/* A request whose body never arrives times out, and the router continues to
   serve. */
static void
test_incomplete_request (void)
{
  static const char *const short_timeout[]
      = { "--caller-timeout-s", "1", NULL };
  char byte;
  struct router_rig *rig = router_rig_create (short_timeout);
  router_rig_start_target (rig, "t1", ROUTER_RIG_MODEL, no_arguments);
  int fd = connect_to (router_rig_port (rig));
  send_text (fd, "POST " CHAT " HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n"
                 "\r\n{\"model\":");
  g_assert_cmpint (recv (fd, &byte, 1, 0), <=, 0);
  close (fd);
  struct router_call_result result
      = router_check_chat (rig, "a", 5, false, NULL);
  uint64_t used = router_check_success (&result, "a", 5);
  g_assert_cmpuint (router_rig_wait_settled (rig), ==, used);
  router_rig_destroy (rig);
}

/* A caller disconnects: the target's run is cancelled, and what was delivered
   is billed. */
static void
test_caller_leaves (void)
{
  static const char *const slow[]
      = { "--token-rate", "20", "--answer-tokens", "400", NULL };
  struct router_rig *rig = router_rig_create (no_arguments);
  struct fleet_process *target
      = router_rig_start_target (rig, "t1", ROUTER_RIG_MODEL, slow);
  char *body = router_check_body ("a", 400, true);
  struct router_call_options call = {
    .path = CHAT, .body = body, .api_key = ROUTER_RIG_KEY, .timeout_ms = 500
  };
  struct router_call_result result
      = router_call (router_rig_port (rig), &call);
  g_assert_false (result.whole);
  router_call_clear (&result);
  uint64_t billed = router_rig_wait_settled (rig);
  g_assert_cmpuint (billed, >, 0);
  g_assert_cmpuint (billed, <, 100);
  uint64_t tokens = 0;
  for (int i = 0; i < 100 && tokens == 0; i++)
    {
      g_usleep (20000);
      tokens = router_rig_oracle_sum (target, "tokens");
    }
  g_assert_cmpuint (tokens, >, 0);
  g_assert_cmpuint (tokens, <, 100);
  g_assert_cmpuint (router_rig_oracle_sum (target, "complete_runs"), ==, 0);
  g_free (body);
  router_rig_destroy (rig);
}

/* SIGTERM with open streams: they are completed and billed, new requests are
   refused as not run, and the router exits with status 0. */
static void
test_graceful_shutdown (void)
{
  static const char *const slow[]
      = { "--token-rate", "20", "--answer-tokens", "40", NULL };
  struct router_check_stream streams[8];
  struct router_rig *rig = router_rig_create (no_arguments);
  struct fleet_process *target
      = router_rig_start_target (rig, "t1", ROUTER_RIG_MODEL, slow);
  uint64_t used = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (streams); i++)
    {
      streams[i].rig = rig;
      streams[i].key = NULL;
      streams[i].tokens = ROUTER_CHECK_STREAM_TOKENS;
      streams[i].prompt = g_strdup_printf ("sheet %zu", i);
      streams[i].thread
          = g_thread_new ("caller", router_check_run_stream, &streams[i]);
    }
  while (router_rig_oracle_sum (target, "runs") < G_N_ELEMENTS (streams))
    g_usleep (20000);
  fleet_process_signal (router_rig_router (rig), SIGTERM);
  g_usleep (200000);
  struct router_call_result late
      = router_check_chat (rig, "late", 5, false, NULL);
  router_check_header (&late, "Retry-After", "1");
  router_check_error (&late, 503, "stopping", "not-run");
  for (size_t i = 0; i < G_N_ELEMENTS (streams); i++)
    {
      g_thread_join (streams[i].thread);
      used += router_check_success (&streams[i].result, streams[i].prompt,
                                    ROUTER_CHECK_STREAM_TOKENS);
      g_free (streams[i].prompt);
    }
  g_assert_cmpint (fleet_process_wait (router_rig_router (rig), 20000), ==, 0);
  g_assert_cmpuint (router_rig_wait_settled (rig), ==, used);
  router_rig_destroy (rig);
}

/* A target that leaves finishes its requests and gets no new ones. */
static void
test_target_leaves (void)
{
  struct router_rig *rig = router_rig_create (no_arguments);
  struct fleet_process *first
      = router_rig_start_target (rig, "t1", ROUTER_RIG_MODEL, no_arguments);
  struct fleet_process *second
      = router_rig_start_target (rig, "t2", ROUTER_RIG_MODEL, no_arguments);
  fleet_process_signal (first, SIGTERM);
  g_assert_cmpint (fleet_process_wait (first, 10000), ==, 0);
  for (int i = 0; i < 10; i++)
    {
      struct router_call_result result
          = router_check_chat (rig, "a", 5, false, NULL);
      router_check_success (&result, "a", 5);
    }
  g_assert_cmpuint (router_rig_oracle_sum (second, "runs"), ==, 10);
  router_rig_destroy (rig);
}

/* A target drained by an operator gets no new requests once the router has
   received the drain. */
static void
test_target_drained (void)
{
  struct router_rig *rig = router_rig_create (no_arguments);
  struct fleet_process *first
      = router_rig_start_target (rig, "t1", ROUTER_RIG_MODEL, no_arguments);
  router_rig_drain (rig, "t1", true);
  struct router_call_result result
      = router_check_chat (rig, "a", 5, false, NULL);
  for (int i = 0; i < 100 && result.status == 200; i++)
    {
      router_call_clear (&result);
      g_usleep (50000);
      result = router_check_chat (rig, "a", 5, false, NULL);
    }
  router_check_error (&result, 503, "no_target", "not-run");
  uint64_t runs = router_rig_oracle_sum (first, "runs");
  router_rig_start_target (rig, "t2", ROUTER_RIG_MODEL, no_arguments);
  for (int i = 0; i < 10; i++)
    {
      result = router_check_chat (rig, "a", 5, false, NULL);
      router_check_success (&result, "a", 5);
    }
  g_assert_cmpuint (router_rig_oracle_sum (first, "runs"), ==, runs);
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
  g_test_add_func ("/router/half-request", test_incomplete_request);
  g_test_add_func ("/router/caller-leaves", test_caller_leaves);
  g_test_add_func ("/router/graceful-shutdown", test_graceful_shutdown);
  g_test_add_func ("/router/target-leaves", test_target_leaves);
  g_test_add_func ("/router/target-drained", test_target_drained);
  int result = g_test_run ();
  curl_global_cleanup ();
  return result;
}
