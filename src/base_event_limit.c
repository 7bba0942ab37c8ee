#include "base_event_limit.h"

#include <string.h>

#include <glib.h>

/* Longest name of an event, with its terminator.  There are about 40 events.
 */
#define NAME_BYTES 40

/* Lines of one event: those logged in the given second, and those suppressed
   since the last report. */
struct event_count
{
  int64_t second;
  uint32_t taken;
  uint64_t left_out;
};

struct base_event_limit
{
  /* Counts (struct event_count), keyed by the name of the event. */
  GHashTable *events;
};

struct base_event_limit *
base_event_limit_create (void)
{
  struct base_event_limit *limit = g_new0 (struct base_event_limit, 1);
  limit->events
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return limit;
}

void
base_event_limit_destroy (struct base_event_limit *limit)
{
  g_hash_table_unref (limit->events);
  g_free (limit);
}

bool
base_event_limit_allow (struct base_event_limit *limit, const char *line,
                        int64_t second)
{
  char name[NAME_BYTES];
  g_strlcpy (name, line, MIN (sizeof name, strcspn (line, " ") + 1));
  struct event_count *lines = g_hash_table_lookup (limit->events, name);
  if (!lines)
    {
      lines = g_new0 (struct event_count, 1);
      g_hash_table_insert (limit->events, g_strdup (name), lines);
    }
  if (lines->second != second)
    {
      lines->second = second;
      lines->taken = 0;
    }
  if (lines->taken < BASE_EVENT_LIMIT_LINES)
    {
      lines->taken++;
      return true;
    }
  lines->left_out++;
  return false;
}

void
base_event_limit_report (struct base_event_limit *limit, int64_t second,
                         void (*report) (void *context, const char *event,
                                         uint64_t lines),
                         void *context)
{
  GHashTableIter iterator;
  gpointer name, value;
  g_hash_table_iter_init (&iterator, limit->events);
  while (g_hash_table_iter_next (&iterator, &name, &value))
    {
      struct event_count *lines = value;
      if (lines->left_out == 0 || lines->second == second)
        continue;
      report (context, name, lines->left_out);
      lines->left_out = 0;
    }
}
