#include "target_job.h"

#include <jansson.h>
#include <stdlib.h>

#include "target_answer.h"

struct target_job *
target_job_create (struct MHD_Connection *connection,
                   enum target_job_kind kind)
{
  struct target_job *job = g_new0 (struct target_job, 1);
  job->kind = kind;
  job->connection = connection;
  job->pending = g_string_new (NULL);
  job->link.data = job;
  return job;
}

void
target_job_destroy (struct target_job *job)
{
  if (!job)
    return;
  g_free (job->key);
  g_free (job->account);
  g_free (job->budget);
  g_free (job->model);
  g_string_free (job->pending, TRUE);
  g_free (job);
}

static void
read_limits (struct target_job *job, const json_t *body, uint32_t fixed_tokens)
{
  const json_t *options = json_object_get (body, "stream_options");
  json_int_t limit = json_integer_value (json_object_get (body, "max_tokens"));
  job->stream = json_is_true (json_object_get (body, "stream"));
  job->include_usage
      = json_is_true (json_object_get (options, "include_usage"));
  job->tokens = target_answer_tokens (job->prompt_hash, fixed_tokens,
                                      limit > 0 ? (uint32_t)limit : 0);
}

const char *
target_job_read (struct target_job *job, const char *body, size_t bytes,
                 uint32_t fixed_tokens)
{
  const char *problem = NULL;
  json_t *object = json_loadb (body, bytes, 0, NULL);
  char *prompt = object ? target_prompt_text (object) : NULL;
  const char *model = json_string_value (json_object_get (object, "model"));
  if (!object)
    problem = "the body is not JSON";
  else if (!prompt || !model)
    problem = "model or prompt is missing";
  else
    {
      job->model = g_strdup (model);
      job->prompt_hash = target_prompt_hash (prompt);
      job->prompt_tokens = target_token_count (prompt);
      read_limits (job, object, fixed_tokens);
    }
  g_free (prompt);
  json_decref (object);
  return problem;
}

static const char *
chunk_kind (const struct target_job *job)
{
  return job->kind == TARGET_JOB_CHAT ? "chat.completion.chunk"
                                      : "text_completion";
}

static void
append_head (struct target_job *job)
{
  g_string_append_printf (
      job->pending,
      "data: {\"id\":\"%s\",\"object\":\"%s\",\"model\":\"%s\",\"choices\":",
      job->key, chunk_kind (job), job->model);
}

void
target_job_append_token (struct target_job *job)
{
  char word[TARGET_WORD_BYTES];
  const char *space = job->generated_tokens > 0 ? " " : "";
  target_answer_word (job->prompt_hash, job->generated_tokens, word);
  append_head (job);
  if (job->kind == TARGET_JOB_CHAT)
    g_string_append_printf (job->pending,
                            "[{\"index\":0,\"delta\":{\"content\":\"%s%s\"},"
                            "\"finish_reason\":null}]}\n\n",
                            space, word);
  else
    g_string_append_printf (job->pending,
                            "[{\"index\":0,\"text\":\"%s%s\","
                            "\"finish_reason\":null}]}\n\n",
                            space, word);
}

void
target_job_append_end (struct target_job *job)
{
  append_head (job);
  g_string_append (job->pending,
                   job->kind == TARGET_JOB_CHAT
                       ? "[{\"index\":0,\"delta\":{},\"finish_reason\":"
                         "\"stop\"}]}\n\n"
                       : "[{\"index\":0,\"text\":\"\",\"finish_reason\":"
                         "\"stop\"}]}\n\n");
  if (job->include_usage)
    {
      append_head (job);
      g_string_append_printf (
          job->pending,
          "[],\"usage\":{\"prompt_tokens\":%u,\"completion_tokens\":%u,"
          "\"total_tokens\":%u}}\n\n",
          job->prompt_tokens, job->generated_tokens,
          job->prompt_tokens + job->generated_tokens);
    }
  g_string_append (job->pending, "data: [DONE]\n\n");
}

static json_t *
make_choice (const struct target_job *job, const char *text)
{
  if (job->kind == TARGET_JOB_CHAT)
    return json_pack ("{s:i, s:{s:s, s:s}, s:s}", "index", 0, "message",
                      "role", "assistant", "content", text, "finish_reason",
                      "stop");
  return json_pack ("{s:i, s:s, s:s}", "index", 0, "text", text,
                    "finish_reason", "stop");
}

static char *
print_plain (const struct target_job *job)
{
  json_t *answer = json_pack ("{s:s, s:i}", "key", job->key, "run", job->run);
  char *text = json_dumps (answer, JSON_COMPACT);
  json_decref (answer);
  return text;
}

char *
target_job_print (const struct target_job *job)
{
  if (job->kind == TARGET_JOB_PLAIN)
    return print_plain (job);
  GString *words
      = target_answer_text (job->prompt_hash, job->generated_tokens);
  json_t *answer = json_pack (
      "{s:s, s:s, s:s, s:[o], s:{s:i, s:i, s:i}}", "id", job->key, "object",
      job->kind == TARGET_JOB_CHAT ? "chat.completion" : "text_completion",
      "model", job->model, "choices", make_choice (job, words->str), "usage",
      "prompt_tokens", (int)job->prompt_tokens, "completion_tokens",
      (int)job->generated_tokens, "total_tokens",
      (int)(job->prompt_tokens + job->generated_tokens));
  char *text = json_dumps (answer, JSON_COMPACT);
  json_decref (answer);
  g_string_free (words, TRUE);
  return text;
}
