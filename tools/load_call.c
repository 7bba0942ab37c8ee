#include "load_call.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base_clock.h"
#include "target_answer.h"

/* Attempts of a request, the first included. */
#define ATTEMPTS_MAX 4
#define ATTEMPT_TIMEOUT_MS 60000L
/* Wait before the retry of a lost or cut attempt. */
#define LOST_RETRY_MS 500
/* Longest wait that a Retry-After header can ask for. */
#define RETRY_AFTER_MAX_MS 5000

static size_t
append_body (char *data, size_t size, size_t count, void *context)
{
  struct load_call *call = context;
  if (call->first_byte_ms == 0)
    call->first_byte_ms = base_clock_now_ms (base_clock_system ());
  g_string_append_len (call->received, data, (gssize)(size * count));
  return size * count;
}

static size_t
append_header (char *data, size_t size, size_t count, void *context)
{
  struct load_call *call = context;
  g_string_append_len (call->answer_headers, data, (gssize)(size * count));
  return size * count;
}

static void
add_header (struct load_call *call, const char *name, const char *value)
{
  char *line = g_strdup_printf ("%s: %s", name, value);
  call->headers = curl_slist_append (call->headers, line);
  g_free (line);
}

static void
add_headers (struct load_call *call, const struct load_mix *mix)
{
  char *key = load_mix_account_key (mix, call->plan.account);
  char *bearer = g_strconcat ("Bearer ", key, NULL);
  add_header (call, "Authorization", bearer);
  add_header (call, "Content-Type", "application/json");
  add_header (call, "Idempotency-Key", call->plan.key);
  add_header (call, "Cactus-Class", call->plan.kind->request_class);
  add_header (call, "Expect", "");
  g_free (bearer);
  g_free (key);
}

struct load_call *
load_call_create (const struct load_mix *mix, const struct load_plan *plan,
                  uint64_t now_ms)
{
  struct load_call *call = g_new0 (struct load_call, 1);
  call->plan = *plan;
  call->arrived_ms = now_ms;
  call->body = load_plan_body (plan);
  call->received = g_string_new (NULL);
  call->answer_headers = g_string_new (NULL);
  add_headers (call, mix);
  return call;
}

void
load_call_destroy (struct load_call *call)
{
  if (!call)
    return;
  if (call->easy)
    curl_easy_cleanup (call->easy);
  curl_slist_free_all (call->headers);
  g_string_free (call->received, TRUE);
  g_string_free (call->answer_headers, TRUE);
  g_free (call->body);
  load_plan_clear (&call->plan);
  g_free (call);
}

static char *
call_url (const struct load_call *call, const char *router)
{
  const struct load_kind *kind = call->plan.kind;
  if (kind->path)
    return g_strdup_printf ("http://%s/services/%s%s", router, kind->service,
                            kind->path);
  return g_strdup_printf ("http://%s/v1/chat/completions", router);
}

void
load_call_prepare (struct load_call *call, const char *router, uint64_t now_ms)
{
  char *url = call_url (call, router);
  if (call->easy)
    curl_easy_cleanup (call->easy);
  call->easy = curl_easy_init ();
  call->attempt_ms = now_ms;
  call->first_byte_ms = 0;
  call->attempts++;
  g_string_truncate (call->received, 0);
  g_string_truncate (call->answer_headers, 0);
  curl_easy_setopt (call->easy, CURLOPT_URL, url);
  curl_easy_setopt (call->easy, CURLOPT_POSTFIELDS, call->body);
  curl_easy_setopt (call->easy, CURLOPT_HTTPHEADER, call->headers);
  curl_easy_setopt (call->easy, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (call->easy, CURLOPT_WRITEDATA, call);
  curl_easy_setopt (call->easy, CURLOPT_HEADERFUNCTION, append_header);
  curl_easy_setopt (call->easy, CURLOPT_HEADERDATA, call);
  curl_easy_setopt (call->easy, CURLOPT_PRIVATE, call);
  curl_easy_setopt (call->easy, CURLOPT_TIMEOUT_MS, ATTEMPT_TIMEOUT_MS);
  curl_easy_setopt (call->easy, CURLOPT_CONNECTTIMEOUT_MS, 2000L);
  curl_easy_setopt (call->easy, CURLOPT_NOSIGNAL, 1L);
  g_free (url);
}

/* Value of a header of the answer, freed with g_free; NULL when it is
   missing. */
static char *
answer_header (const struct load_call *call, const char *name)
{
  char *found = NULL;
  char **lines = g_strsplit (call->answer_headers->str, "\r\n", -1);
  size_t length = strlen (name);
  for (char **line = lines; *line && !found; line++)
    if (g_ascii_strncasecmp (*line, name, length) == 0
        && (*line)[length] == ':')
      found = g_strdup (g_strstrip (*line + length + 1));
  g_strfreev (lines);
  return found;
}

static bool
answered_not_run (const struct load_call *call)
{
  char *run = answer_header (call, "Cactus-Run");
  bool not_run = run && strcmp (run, "not-run") == 0;
  g_free (run);
  return not_run;
}

/* Reads Retry-After (1 s when missing) and the error code of the body. */
static void
read_refusal (struct load_call *call)
{
  char *after = answer_header (call, "Retry-After");
  double seconds = after ? strtod (after, NULL) : 1;
  call->retry_after_ms = (uint32_t)(seconds * 1000);
  g_free (after);
  json_t *body
      = json_loadb (call->received->str, call->received->len, 0, NULL);
  const char *code = json_string_value (
      json_object_get (json_object_get (body, "error"), "code"));
  g_strlcpy (call->error_code, code ? code : "none", sizeof call->error_code);
  json_decref (body);
}

/* Appends the text of a streamed answer; false when its end is missing. */
static bool
join_stream (const struct load_call *call, GString *text)
{
  bool done = false;
  char **lines = g_strsplit (call->received->str, "\n", -1);
  for (char **line = lines; *line; line++)
    {
      const char *data = *line + strlen ("data: ");
      if (!g_str_has_prefix (*line, "data: "))
        continue;
      if (g_str_has_prefix (data, "[DONE]"))
        {
          done = true;
          break;
        }
      json_t *chunk = json_loads (data, 0, NULL);
      json_t *choice = json_array_get (json_object_get (chunk, "choices"), 0);
      json_t *delta = json_object_get (choice, "delta");
      const char *part
          = json_string_value (json_object_get (delta, "content"));
      if (part)
        g_string_append (text, part);
      json_decref (chunk);
    }
  g_strfreev (lines);
  return done;
}

/* Appends the text of an answer in one piece; false when it has none. */
static bool
join_whole (const struct load_call *call, GString *text)
{
  json_t *body
      = json_loadb (call->received->str, call->received->len, 0, NULL);
  json_t *choice = json_array_get (json_object_get (body, "choices"), 0);
  json_t *message = json_object_get (choice, "message");
  const char *content
      = json_string_value (json_object_get (message, "content"));
  if (content)
    g_string_append (text, content);
  json_decref (body);
  return content != NULL;
}

/* A plain service answers with the idempotency key of its request. */
static enum load_outcome
check_plain (const struct load_call *call)
{
  json_t *body
      = json_loadb (call->received->str, call->received->len, 0, NULL);
  const char *key = json_string_value (json_object_get (body, "key"));
  enum load_outcome outcome = LOAD_ANSWERED;
  if (!body)
    outcome = LOAD_CUT;
  else if (!key || strcmp (key, call->plan.key) != 0)
    outcome = LOAD_WRONG;
  json_decref (body);
  return outcome;
}

/* The only correct answer to the prompt of the call. */
static GString *
expected_answer (const struct load_call *call)
{
  uint64_t hash = target_prompt_hash (call->plan.prompt);
  uint32_t tokens = target_answer_tokens (hash, 0, call->plan.answer_tokens);
  return target_answer_text (hash, tokens);
}

static enum load_outcome
check_model (const struct load_call *call)
{
  GString *text = g_string_new (NULL);
  GString *expected = expected_answer (call);
  bool whole
      = call->plan.stream ? join_stream (call, text) : join_whole (call, text);
  enum load_outcome outcome = LOAD_ANSWERED;
  if (!whole)
    outcome = LOAD_CUT;
  else if (strcmp (g_strstrip (text->str), g_strstrip (expected->str)) != 0)
    outcome = LOAD_WRONG;
  g_string_free (expected, TRUE);
  g_string_free (text, TRUE);
  return outcome;
}

/* Whether the caller retries after this refusal: 503 and 429 are temporary,
   409 too unless the request was billed already. */
static bool
is_retryable (const struct load_call *call)
{
  return call->attempts < ATTEMPTS_MAX
         && (call->http_status == 503 || call->http_status == 429
             || (call->http_status == 409
                 && strcmp (call->error_code, "already_billed") != 0));
}

static bool
finish_refused (struct load_call *call, uint64_t now_ms)
{
  read_refusal (call);
  if (answered_not_run (call))
    call->not_run_attempts++;
  call->outcome = LOAD_REFUSED;
  if (!is_retryable (call))
    return true;
  call->next_attempt_ms
      = now_ms + MIN (call->retry_after_ms, RETRY_AFTER_MAX_MS);
  return false;
}

static bool
finish_lost (struct load_call *call, enum load_outcome outcome,
             uint64_t now_ms)
{
  call->outcome = outcome;
  call->next_attempt_ms = now_ms + LOST_RETRY_MS;
  return call->attempts >= ATTEMPTS_MAX;
}

bool
load_call_finish (struct load_call *call, CURLcode code, uint64_t now_ms)
{
  call->http_status = 0;
  call->ended_ms = now_ms;
  curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &call->http_status);
  if (code != CURLE_OK)
    return finish_lost (call, call->http_status == 200 ? LOAD_CUT : LOAD_LOST,
                        now_ms);
  if (call->http_status != 200)
    return finish_refused (call, now_ms);
  call->outcome
      = call->plan.kind->path ? check_plain (call) : check_model (call);
  if (call->outcome == LOAD_CUT)
    return finish_lost (call, LOAD_CUT, now_ms);
  return true;
}
