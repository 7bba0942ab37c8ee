#include "router_body.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base_hash.h"
#include "base_json.h"

/* Upper bound of the tokens that an engine's template adds to a message. */
#define MESSAGE_TOKENS 16
/* Number of bytes at the start of a prompt that are hashed.  Prompts that are
   equal in these bytes are assumed to share a prefix. */
#define PREFIX_BYTES 512

/* Total length of all strings, member names, numbers and literals in a value,
   in bytes, as the target receives them. */
static uint64_t
text_bytes (const json_t *value)
{
  uint64_t bytes = 0;
  size_t index;
  const char *name;
  json_t *item;
  if (json_is_string (value))
    return json_string_length (value);
  if (json_is_array (value))
    json_array_foreach ((json_t *)value, index, item)
    {
      bytes += text_bytes (item);
    }
  else if (json_is_object (value))
    json_object_foreach ((json_t *)value, name, item)
    {
      bytes += strlen (name) + text_bytes (item);
    }
  else
    bytes = json_dumpb (value, NULL, 0, JSON_ENCODE_ANY);
  return bytes;
}

/* Whether a member is present and not null. */
static bool
is_given (const json_t *value)
{
  return value != NULL && json_typeof (value) != JSON_NULL;
}

static void
read_flag (const json_t *document, const char *name, bool *flag,
           struct base_findings *findings)
{
  const json_t *value = json_object_get (document, name);
  char *path = g_strdup_printf ("$.%s", name);
  if (is_given (value) && !json_is_boolean (value))
    base_findings_add (findings, path, "must be true or false");
  *flag = json_is_true (value);
  g_free (path);
}

static void
read_max_tokens (struct router_body *body, const char *name,
                 struct base_findings *findings)
{
  const json_t *value = json_object_get (body->document, name);
  char *path = g_strdup_printf ("$.%s", name);
  json_int_t number = json_integer_value (value);
  if (is_given (value)
      && (!json_is_integer (value) || number < 1 || number > INT32_MAX))
    base_findings_add (findings, path, "must be a whole number from 1");
  else if (number > 0)
    body->max_tokens = (uint32_t)number;
  g_free (path);
}

/* The reservation covers a single completion, so "n" and "best_of" must not
   request more. */
static void
check_single (const json_t *document, const char *name,
              struct base_findings *findings)
{
  const json_t *value = json_object_get (document, name);
  char *path = g_strdup_printf ("$.%s", name);
  if (is_given (value) && json_integer_value (value) != 1)
    base_findings_add (findings, path, "must be 1");
  g_free (path);
}

static void
check_parts (const json_t *content, const char *path,
             struct base_findings *findings)
{
  size_t index;
  json_t *part;
  json_array_foreach ((json_t *)content, index, part)
  {
    if (!json_is_string (json_object_get (part, "text")))
      base_findings_add (findings, path,
                         "part %zu must have a string as its text", index);
  }
}

static void
read_message (struct router_body *body, size_t index, const json_t *message,
              struct base_findings *findings)
{
  char *path = g_strdup_printf ("$.messages[%zu]", index);
  const json_t *content = json_object_get (message, "content");
  if (!json_is_object (message))
    base_findings_add (findings, path, "must be an object");
  else if (!json_is_string (json_object_get (message, "role")))
    base_findings_add (findings, path, "must have a role");
  if (json_is_array (content))
    check_parts (content, path, findings);
  else if (is_given (content) && !json_is_string (content))
    base_findings_add (findings, path,
                       "content must be a string or a list of text parts");
  body->prompt_bound_tokens += text_bytes (message) + MESSAGE_TOKENS;
  g_free (path);
}

static void
read_messages (struct router_body *body, struct base_findings *findings)
{
  size_t index;
  json_t *message;
  json_t *messages = json_object_get (body->document, "messages");
  if (!json_is_array (messages) || json_array_size (messages) == 0)
    {
      base_findings_add (findings, "$.messages",
                         "must be a non-empty list of messages");
      return;
    }
  json_array_foreach (messages, index, message)
  {
    read_message (body, index, message, findings);
  }
  json_t *first = json_array_get (messages, 0);
  const json_t *content = json_object_get (first, "content");
  if (json_is_string (content))
    body->prefix_hash
        = base_hash64 (json_string_value (content),
                       MIN (json_string_length (content), PREFIX_BYTES));
}

static void
read_prompt (struct router_body *body, struct base_findings *findings)
{
  const json_t *prompt = json_object_get (body->document, "prompt");
  if (!json_is_string (prompt))
    {
      base_findings_add (findings, "$.prompt", "must be a string");
      return;
    }
  body->prompt_bound_tokens = json_string_length (prompt) + MESSAGE_TOKENS;
  body->prefix_hash
      = base_hash64 (json_string_value (prompt),
                     MIN (json_string_length (prompt), PREFIX_BYTES));
}

/* Counts the other members that engines insert into the prompt. */
static void
add_prompt_members (struct router_body *body)
{
  static const char *const members[]
      = { "tools", "functions", "response_format", "suffix" };
  for (size_t i = 0; i < G_N_ELEMENTS (members); i++)
    {
      const json_t *value = json_object_get (body->document, members[i]);
      if (value)
        body->prompt_bound_tokens += text_bytes (value) + MESSAGE_TOKENS;
    }
}

static void
read_members (struct router_body *body, bool chat,
              struct base_findings *findings)
{
  const json_t *options = json_object_get (body->document, "stream_options");
  body->model = json_string_value (json_object_get (body->document, "model"));
  if (!body->model)
    base_findings_add (findings, "$.model", "must name a service");
  read_flag (body->document, "stream", &body->stream, findings);
  body->include_usage
      = json_is_true (json_object_get (options, "include_usage"));
  read_max_tokens (body, "max_tokens", findings);
  read_max_tokens (body, "max_completion_tokens", findings);
  check_single (body->document, "n", findings);
  check_single (body->document, "best_of", findings);
  if (chat)
    read_messages (body, findings);
  else
    read_prompt (body, findings);
  add_prompt_members (body);
}

int
router_body_read (struct router_body *body, const char *data, size_t bytes,
                  bool chat, struct base_findings *findings)
{
  json_error_t error;
  size_t before = base_findings_count (findings);
  body->document
      = base_json_load (data, bytes, JSON_REJECT_DUPLICATES, &error);
  if (!body->document)
    base_findings_add (findings, "$", "line %d column %d: %s", error.line,
                       error.column, error.text);
  else if (!json_is_object (body->document))
    base_findings_add (findings, "$", "must be an object");
  else
    read_members (body, chat, findings);
  return base_findings_count (findings) == before ? 0 : -1;
}

char *
router_body_print (struct router_body *body, uint32_t max_tokens,
                   size_t *bytes)
{
  json_t *document = body->document;
  json_object_del (document, "max_completion_tokens");
  json_object_set_new (document, "max_tokens", json_integer (max_tokens));
  if (body->stream)
    json_object_set_new (document, "stream_options",
                         json_pack ("{s:b}", "include_usage", 1));
  char *text = json_dumps (document, JSON_COMPACT);
  *bytes = text ? strlen (text) : 0;
  return text;
}

void
router_body_clear (struct router_body *body)
{
  json_decref (body->document);
  memset (body, 0, sizeof *body);
}
