#include "http_framing.h"

#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

/* Largest distance, in bytes, between the name and the value of a header on
   one line in memory. */
#define SEPARATOR_MAX_BYTES 64

/* Headers seen so far, and the first fault that was found. */
struct framing_state
{
  const char *fault;
  uint32_t host_count;
  uint32_t length_count;
  uint32_t coding_count;
};

/* Whether the name is a token (RFC 9110, section 5.6.2). */
static bool
is_token (const char *name, size_t length)
{
  for (size_t i = 0; i < length; i++)
    if (!g_ascii_isalnum (name[i]) && !strchr ("!#$%&'*+-.^_`|~", name[i]))
      return false;
  return length > 0 && strlen (name) == length;
}

static bool
is_value (const char *value, size_t length)
{
  for (size_t i = 0; i < length; i++)
    if ((g_ascii_iscntrl (value[i]) && value[i] != '\t') || value[i] == '\0')
      return false;
  return true;
}

/* Whether the header is folded over several lines.  libmicrohttpd then stores
   the value in other memory, not right after the name. */
static bool
is_folded (const char *name, size_t name_length, const char *value)
{
  uintptr_t name_end = (uintptr_t)name + name_length;
  uintptr_t value_start = (uintptr_t)value;
  return value
         && (value_start <= name_end
             || value_start > name_end + 1 + SEPARATOR_MAX_BYTES);
}

static void
check_framing_field (struct framing_state *framing_state, const char *name,
                     const char *value)
{
  if (g_ascii_strcasecmp (name, MHD_HTTP_HEADER_HOST) == 0)
    framing_state->host_count++;
  else if (g_ascii_strcasecmp (name, MHD_HTTP_HEADER_CONTENT_LENGTH) == 0)
    framing_state->length_count++;
  else if (g_ascii_strcasecmp (name, MHD_HTTP_HEADER_TRANSFER_ENCODING) == 0)
    {
      framing_state->coding_count++;
      if (!value || g_ascii_strcasecmp (value, "chunked") != 0)
        framing_state->fault = "Transfer-Encoding is not exactly chunked";
    }
}

static enum MHD_Result
check_header (void *context, enum MHD_ValueKind kind, const char *name,
              size_t name_length, const char *value, size_t value_length)
{
  struct framing_state *framing_state = context;
  (void)kind;
  if (is_folded (name, name_length, value))
    framing_state->fault = "a header is folded over several lines";
  else if (!is_token (name, name_length))
    framing_state->fault
        = "a header name contains characters that are not allowed";
  else if (value && !is_value (value, value_length))
    framing_state->fault = "a header value contains control characters";
  else
    check_framing_field (framing_state, name, value);
  return framing_state->fault ? MHD_NO : MHD_YES;
}

const char *
http_framing_fault (struct MHD_Connection *connection, const char *version)
{
  struct framing_state framing_state = { 0 };
  bool is_http_1_1 = strcmp (version, MHD_HTTP_VERSION_1_1) == 0;
  MHD_get_connection_values_n (connection, MHD_HEADER_KIND, check_header,
                               &framing_state);
  if (framing_state.fault)
    return framing_state.fault;
  if (framing_state.host_count > 1
      || (is_http_1_1 && framing_state.host_count == 0))
    return "the Host header is missing or repeated";
  if (framing_state.length_count > 1)
    return "the Content-Length header is repeated";
  if (framing_state.coding_count > 1
      || (framing_state.coding_count > 0 && framing_state.length_count > 0))
    return "Transfer-Encoding is repeated or combined with Content-Length";
  if (framing_state.coding_count > 0 && !is_http_1_1)
    return "Transfer-Encoding requires HTTP/1.1";
  return NULL;
}

enum MHD_Result
http_framing_refuse (struct MHD_Connection *connection, const char *fault)
{
  char *text = g_strdup_printf ("%s\n", fault);
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), text, MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE,
                           "text/plain");
  MHD_add_response_header (response, MHD_HTTP_HEADER_CONNECTION, "close");
  enum MHD_Result result
      = MHD_queue_response (connection, MHD_HTTP_BAD_REQUEST, response);
  MHD_destroy_response (response);
  g_free (text);
  return result;
}
