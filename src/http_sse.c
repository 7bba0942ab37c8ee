#include "http_sse.h"

#include <string.h>

#include <glib.h>

#define DATA_FIELD "data"
#define DATA_FIELD_BYTES 4

struct http_sse
{
  size_t limit_bytes;
  void (*event) (void *context, const char *data, size_t bytes);
  void *context;
  /* Incomplete last line of the input, and the data lines of the event so
     far. */
  GString *line;
  GString *data;
  /* Whether the event has a data line; it may be empty. */
  bool has_data;
  /* True when the last byte was a CR: a following LF belongs to the same line
     end. */
  bool after_carriage_return;
  /* True when an event exceeded the limit. */
  bool failed;
};

struct http_sse *
http_sse_create (size_t limit_bytes,
                 void (*event) (void *context, const char *data, size_t bytes),
                 void *context)
{
  struct http_sse *sse = g_new0 (struct http_sse, 1);
  sse->limit_bytes = limit_bytes;
  sse->event = event;
  sse->context = context;
  sse->line = g_string_new (NULL);
  sse->data = g_string_new (NULL);
  return sse;
}

void
http_sse_destroy (struct http_sse *sse)
{
  if (!sse)
    return;
  g_string_free (sse->line, TRUE);
  g_string_free (sse->data, TRUE);
  g_free (sse);
}

static void
end_event (struct http_sse *sse)
{
  if (sse->has_data)
    sse->event (sse->context, sse->data->str, sse->data->len);
  g_string_truncate (sse->data, 0);
  sse->has_data = false;
}

static void
append_data (struct http_sse *sse, const char *value, size_t bytes)
{
  if (sse->has_data)
    g_string_append_c (sse->data, '\n');
  g_string_append_len (sse->data, value, (gssize)bytes);
  sse->has_data = true;
}

/* Parses a line "field", "field:value" or "field: value"; an empty line ends
   the event. */
static void
parse_line (struct http_sse *sse, const char *line, size_t bytes)
{
  if (bytes == 0)
    {
      end_event (sse);
      return;
    }
  const char *colon = memchr (line, ':', bytes);
  size_t name_bytes = colon ? (size_t)(colon - line) : bytes;
  if (name_bytes != DATA_FIELD_BYTES
      || memcmp (line, DATA_FIELD, DATA_FIELD_BYTES) != 0)
    return;
  const char *end = line + bytes;
  const char *value = colon ? colon + 1 : end;
  if (value < end && *value == ' ')
    value++;
  append_data (sse, value, (size_t)(end - value));
}

static bool
is_within_limit (const struct http_sse *sse, size_t bytes)
{
  return sse->line->len + sse->data->len + bytes <= sse->limit_bytes;
}

/* Returns the position of the first CR or LF, or @p end. */
static const char *
find_line_end (const char *start, const char *end)
{
  const char *feed = memchr (start, '\n', (size_t)(end - start));
  const char *limit = feed ? feed : end;
  const char *carriage = memchr (start, '\r', (size_t)(limit - start));
  return carriage ? carriage : limit;
}

/* Reads up to the end of the line or of the input.  Returns the position after
   it. */
static const char *
parse_up_to_line_end (struct http_sse *sse, const char *start, const char *end)
{
  const char *line_end = find_line_end (start, end);
  size_t bytes = (size_t)(line_end - start);
  if (!is_within_limit (sse, bytes))
    {
      sse->failed = true;
      return end;
    }
  if (line_end == end)
    {
      g_string_append_len (sse->line, start, (gssize)bytes);
      return end;
    }
  sse->after_carriage_return = *line_end == '\r';
  if (sse->line->len == 0)
    {
      parse_line (sse, start, bytes);
      return line_end + 1;
    }
  g_string_append_len (sse->line, start, (gssize)bytes);
  parse_line (sse, sse->line->str, sse->line->len);
  g_string_truncate (sse->line, 0);
  return line_end + 1;
}

int
http_sse_feed (struct http_sse *sse, const char *data, size_t bytes)
{
  const char *end = data + bytes;
  while (data < end && !sse->failed)
    {
      bool is_line_feed_of_crlf = sse->after_carriage_return && *data == '\n';
      sse->after_carriage_return = false;
      data = is_line_feed_of_crlf ? data + 1
                                  : parse_up_to_line_end (sse, data, end);
    }
  return sse->failed ? -1 : 0;
}

bool
http_sse_is_partial (const struct http_sse *sse)
{
  return sse->line->len > 0 || sse->has_data;
}
