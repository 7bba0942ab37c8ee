#include "router_check.h"

#include "target_answer.h"

char *
router_check_body (const char *prompt, uint32_t max_tokens, bool stream)
{
  return g_strdup_printf (
      "{\"model\":\"" ROUTER_RIG_MODEL "\",\"max_tokens\":%u,\"stream\":%s,"
      "\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}",
      max_tokens, stream ? "true" : "false", prompt);
}

struct router_call_result
router_check_chat (struct router_rig *rig, const char *prompt,
                   uint32_t max_tokens, bool stream, const char *key)
{
  char *body = router_check_body (prompt, max_tokens, stream);
  struct router_call_options call = { .path = ROUTER_CHECK_CHAT,
                                      .body = body,
                                      .api_key = ROUTER_RIG_KEY,
                                      .idempotency_key = key };
  struct router_call_result result
      = router_call (router_rig_port (rig), &call);
  g_free (body);
  return result;
}

void
router_check_header (const struct router_call_result *result, const char *name,
                     const char *expected)
{
  char *value = router_call_header (result, name);
  g_assert_cmpstr (value, ==, expected);
  g_free (value);
}

void
router_check_error (struct router_call_result *result, uint32_t status,
                    const char *code, const char *run)
{
  char *found = router_call_code (result);
  g_assert_cmpstr (found, ==, code);
  g_assert_cmpuint (result->status, ==, status);
  router_check_header (result, "Cactus-Run", run);
  g_free (found);
  router_call_clear (result);
}

uint64_t
router_check_success (struct router_call_result *result, const char *prompt,
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
  router_check_header (result, "Cactus-Run", "ran");
  g_free (text);
  g_string_free (expected, TRUE);
  router_call_clear (result);
  return used;
}

gpointer
router_check_run_stream (gpointer data)
{
  struct router_check_stream *stream = data;
  uint32_t tokens
      = stream->tokens ? stream->tokens : ROUTER_CHECK_STREAM_TOKENS;
  stream->result = router_check_chat (stream->rig, stream->prompt, tokens,
                                      true, stream->key);
  return NULL;
}
