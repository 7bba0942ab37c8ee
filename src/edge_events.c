#include "edge_events.h"

#include <stdlib.h>
#include <string.h>

#define NO_ID (-1)

struct edge_events
{
  size_t limit_bytes;
  int64_t last_id;
  /* Bytes received after the last complete event. */
  GString *pending;
};

struct edge_events *
edge_events_create (size_t limit_bytes, int64_t after_id)
{
  struct edge_events *events = g_new0 (struct edge_events, 1);
  events->limit_bytes = limit_bytes;
  events->last_id = after_id;
  events->pending = g_string_new (NULL);
  return events;
}

void
edge_events_destroy (struct edge_events *events)
{
  if (!events)
    return;
  g_string_free (events->pending, TRUE);
  g_free (events);
}

/* Returns the length of the first complete event with its empty line, in
   bytes, or 0 when the event is still incomplete.  It doesn't end within the
   first @p searched bytes. */
static size_t
find_end (const char *text, size_t bytes, size_t searched)
{
  /* The last two of them may be the beginning of an empty line. */
  for (size_t i = searched > 2 ? searched - 2 : 0; i + 1 < bytes; i++)
    {
      if (text[i] != '\n')
        continue;
      if (text[i + 1] == '\n')
        return i + 2;
      if (text[i + 1] == '\r' && i + 2 < bytes && text[i + 2] == '\n')
        return i + 3;
    }
  return 0;
}

/* Returns the number in the event's "id:" line, or NO_ID. */
static int64_t
read_id (const char *text, size_t bytes)
{
  const char *line = text;
  const char *end = text + bytes;
  while (line < end)
    {
      const char *next = memchr (line, '\n', (size_t)(end - line));
      size_t length = (size_t)((next ? next : end) - line);
      if (length > 3 && strncmp (line, "id:", 3) == 0)
        return g_ascii_strtoll (line + 3, NULL, 10);
      line += length + 1;
    }
  return NO_ID;
}

/* Appends a complete event.  Returns false when the caller already received
   it. */
static bool
append_if_new (struct edge_events *events, const char *text, size_t bytes,
               GString *out)
{
  int64_t id = read_id (text, bytes);
  if (id != NO_ID && id <= events->last_id)
    return false;
  if (id != NO_ID)
    events->last_id = id;
  g_string_append_len (out, text, (gssize)bytes);
  return true;
}

int
edge_events_feed (struct edge_events *events, const char *data, size_t bytes,
                  GString *out)
{
  int count = 0;
  size_t used = 0;
  /* An event that comes in many small parts is searched once. */
  size_t searched = events->pending->len;
  g_string_append_len (events->pending, data, (gssize)bytes);
  for (;;)
    {
      const char *text = events->pending->str + used;
      size_t end = find_end (text, events->pending->len - used, searched);
      if (end == 0)
        break;
      searched = 0;
      count += append_if_new (events, text, end, out) ? 1 : 0;
      used += end;
    }
  g_string_erase (events->pending, 0, (gssize)used);
  return events->pending->len > events->limit_bytes ? -1 : count;
}

void
edge_events_discard_partial (struct edge_events *events)
{
  g_string_truncate (events->pending, 0);
}

bool
edge_events_has_partial (const struct edge_events *events)
{
  return events->pending->len > 0;
}

int64_t
edge_events_last_id (const struct edge_events *events)
{
  return events->last_id;
}
