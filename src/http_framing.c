#include "http_framing.h"

#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

/* Blanks between a header's name and its value. */
#define BLANKS_MAX 64

/* What was seen of a head so far. */
struct framing
{
  const char *fault;
  uint32_t hosts;
  uint32_t lengths;
  uint32_t codings;
};

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

/* The library joins a folded line to the name, in other memory than the
   value. */
static bool
is_folded (const char *name, size_t name_length, const char *value)
{
  uintptr_t name_end = (uintptr_t)name + name_length;
  uintptr_t value_start = (uintptr_t)value;
  return value
         && (value_start <= name_end
             || value_start > name_end + 1 + BLANKS_MAX);
}

static void
count_fields (struct framing *framing, const char *name, const char *value)
{
  if (g_ascii_strcasecmp (name, MHD_HTTP_HEADER_HOST) == 0)
    framing->hosts++;
  else if (g_ascii_strcasecmp (name, MHD_HTTP_HEADER_CONTENT_LENGTH) == 0)
    framing->lengths++;
  else if (g_ascii_strcasecmp (name, MHD_HTTP_HEADER_TRANSFER_ENCODING) == 0)
    {
      framing->codings++;
      if (!value || g_ascii_strcasecmp (value, "chunked") != 0)
        framing->fault = "the transfer coding is not chunked alone";
    }
}

static enum MHD_Result
take_line (void *context, enum MHD_ValueKind kind, const char *name,
           size_t name_length, const char *value, size_t value_length)
{
  struct framing *framing = context;
  (void)kind;
  if (is_folded (name, name_length, value))
    framing->fault = "a header is folded over lines";
  else if (!is_token (name, name_length))
    framing->fault = "a header's name has other characters than a token's";
  else if (value && !is_value (value, value_length))
    framing->fault = "a header's value has control characters";
  else
    count_fields (framing, name, value);
  return framing->fault ? MHD_NO : MHD_YES;
}

const char *
http_framing_fault (struct MHD_Connection *connection, const char *version)
{
  struct framing framing = { 0 };
  bool is_newest = strcmp (version, MHD_HTTP_VERSION_1_1) == 0;
  MHD_get_connection_values_n (connection, MHD_HEADER_KIND, take_line,
                               &framing);
  if (framing.fault)
    return framing.fault;
  if (framing.hosts > 1 || (is_newest && framing.hosts == 0))
    return "there is not one Host header";
  if (framing.lengths > 1)
    return "there is more than one Content-Length header";
  if (framing.codings > 1 || (framing.codings > 0 && framing.lengths > 0))
    return "there is more than one of Transfer-Encoding and Content-Length";
  if (framing.codings > 0 && !is_newest)
    return "Transfer-Encoding needs HTTP/1.1";
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
