#include "router_call.h"

#include <string.h>

#include <curl/curl.h>
#include <jansson.h>

#include "http_sse.h"

#define DEFAULT_TIMEOUT_MS 30000
#define EVENT_MAX_BYTES (1024u * 1024)
#define BILLED_LINE ": cactus-billed-tokens "

static size_t
append_data (char *data, size_t size, size_t count, void *context)
{
  g_string_append_len (context, data, (gssize)(size * count));
  return size * count;
}

static struct curl_slist *
add_header (struct curl_slist *list, const char *name, const char *value)
{
  if (!value)
    return list;
  char *line = g_strdup_printf ("%s: %s", name, value);
  list = curl_slist_append (list, line);
  g_free (line);
  return list;
}

static struct curl_slist *
make_headers (const struct router_call_options *call)
{
  struct curl_slist *list = curl_slist_append (NULL, "Expect:");
  char *bearer
      = call->api_key ? g_strdup_printf ("Bearer %s", call->api_key) : NULL;
  list = add_header (list, "Authorization", bearer);
  list = add_header (list, "Idempotency-Key", call->idempotency_key);
  list = add_header (list, "Cactus-Budget", call->budget);
  list = add_header (list, "Cactus-Class", call->class_name);
  if (call->header)
    list = curl_slist_append (list, call->header);
  g_free (bearer);
  return list;
}

struct router_call_result
router_call (uint16_t port, const struct router_call_options *call)
{
  struct router_call_result result
      = { .head = g_string_new (NULL), .body = g_string_new (NULL) };
  long status = 0;
  size_t bytes = call->body_bytes;
  struct curl_slist *headers = make_headers (call);
  char *url = g_strdup_printf ("http://127.0.0.1:%u%s", port, call->path);
  CURL *easy = curl_easy_init ();
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (
      easy, CURLOPT_TIMEOUT_MS,
      (long)(call->timeout_ms ? call->timeout_ms : DEFAULT_TIMEOUT_MS));
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, append_data);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, result.body);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, append_data);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, result.head);
  if (call->body)
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE,
                        (long)(bytes ? bytes : strlen (call->body)));
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS, call->body);
    }
  if (call->method)
    curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, call->method);
  result.whole = curl_easy_perform (easy) == CURLE_OK;
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  result.status = (uint32_t)status;
  curl_easy_cleanup (easy);
  curl_slist_free_all (headers);
  g_free (url);
  return result;
}

void
router_call_clear (struct router_call_result *result)
{
  g_string_free (result->head, TRUE);
  g_string_free (result->body, TRUE);
}

char *
router_call_header (const struct router_call_result *result, const char *name)
{
  char *value = NULL;
  size_t bytes = strlen (name);
  char **lines = g_strsplit (result->head->str, "\r\n", -1);
  for (char **line = lines; *line && !value; line++)
    if (g_ascii_strncasecmp (*line, name, bytes) == 0 && (*line)[bytes] == ':')
      value = g_strdup (g_strstrip (*line + bytes + 1));
  g_strfreev (lines);
  return value;
}

static void
append_choice (GString *text, const json_t *document)
{
  const json_t *choice
      = json_array_get (json_object_get (document, "choices"), 0);
  const json_t *message = json_object_get (choice, "message");
  const json_t *delta = json_object_get (choice, "delta");
  const json_t *text_member = json_object_get (choice, "text");
  if (message)
    text_member = json_object_get (message, "content");
  else if (delta)
    text_member = json_object_get (delta, "content");
  if (json_is_string (text_member))
    g_string_append (text, json_string_value (text_member));
}

static void
append_event_text (void *context, const char *data, size_t bytes)
{
  json_t *document = json_loadb (data, bytes, 0, NULL);
  append_choice (context, document);
  json_decref (document);
}

static bool
is_stream (const struct router_call_result *result)
{
  char *type = router_call_header (result, "Content-Type");
  bool stream = type && g_str_has_prefix (type, "text/event-stream");
  g_free (type);
  return stream;
}

char *
router_call_text (const struct router_call_result *result)
{
  GString *text = g_string_new (NULL);
  struct http_sse *sse
      = http_sse_create (EVENT_MAX_BYTES, append_event_text, text);
  if (is_stream (result))
    http_sse_feed (sse, result->body->str, result->body->len);
  else
    append_event_text (text, result->body->str, result->body->len);
  http_sse_destroy (sse);
  return g_string_free (text, FALSE);
}

char *
router_call_code (const struct router_call_result *result)
{
  json_t *document
      = json_loadb (result->body->str, result->body->len, 0, NULL);
  const json_t *error = json_object_get (document, "error");
  char *code = g_strdup (json_string_value (json_object_get (error, "code")));
  json_decref (document);
  return code;
}

int64_t
router_call_billed (const struct router_call_result *result)
{
  int64_t billed = -1;
  char *header = router_call_header (result, "Cactus-Billed-Tokens");
  const char *line = strstr (result->body->str, BILLED_LINE);
  if (header)
    billed = g_ascii_strtoll (header, NULL, 10);
  else if (line)
    billed = g_ascii_strtoll (line + strlen (BILLED_LINE), NULL, 10);
  g_free (header);
  return billed;
}
