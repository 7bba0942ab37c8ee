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
  /* The line that is being read, and the data lines of the event so far. */
  GString *line;
  GString *data;
  bool has_data;
  bool after_return;
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
take_data (struct http_sse *sse, const char *value, size_t bytes)
{
  if (sse->has_data)
    g_string_append_c (sse->data, '\n');
  g_string_append_len (sse->data, value, (gssize)bytes);
  sse->has_data = true;
}

/* A line is "field", "field:value" or "field: value". */
static void
take_line (struct http_sse *sse, const char *line, size_t bytes)
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
  take_data (sse, value, (size_t)(end - value));
}

static bool
fits (const struct http_sse *sse, size_t bytes)
{
  return sse->line->len + sse->data->len + bytes <= sse->limit_bytes;
}

/* Position of the first line end, or @p end. */
static const char *
find_line_end (const char *from, const char *end)
{
  const char *feed = memchr (from, '\n', (size_t)(end - from));
  const char *limit = feed ? feed : end;
  const char *carriage = memchr (from, '\r', (size_t)(limit - from));
  return carriage ? carriage : limit;
}

/* Reads up to the end of a line or of the input; the position after it. */
static const char *
feed_line (struct http_sse *sse, const char *from, const char *end)
{
  const char *stop = find_line_end (from, end);
  size_t bytes = (size_t)(stop - from);
  if (!fits (sse, bytes))
    {
      sse->failed = true;
      return end;
    }
  if (stop == end)
    {
      g_string_append_len (sse->line, from, (gssize)bytes);
      return end;
    }
  sse->after_return = *stop == '\r';
  if (sse->line->len == 0)
    {
      take_line (sse, from, bytes);
      return stop + 1;
    }
  g_string_append_len (sse->line, from, (gssize)bytes);
  take_line (sse, sse->line->str, sse->line->len);
  g_string_truncate (sse->line, 0);
  return stop + 1;
}

int
http_sse_feed (struct http_sse *sse, const char *data, size_t bytes)
{
  const char *end = data + bytes;
  while (data < end && !sse->failed)
    {
      bool skip = sse->after_return && *data == '\n';
      sse->after_return = false;
      data = skip ? data + 1 : feed_line (sse, data, end);
    }
  return sse->failed ? -1 : 0;
}

bool
http_sse_is_partial (const struct http_sse *sse)
{
  return sse->line->len > 0 || sse->has_data;
}
