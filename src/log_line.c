#include "log_line.h"

#include <string.h>

#include <glib.h>

/* Copies the word at *@p text and moves *@p text to the next word. */
static char *
next_word (const char **text)
{
  const char *start = *text;
  size_t length = strcspn (start, " ");
  *text = start + length + strspn (start + length, " ");
  return g_strndup (start, length);
}

static bool
parse_time (const char *word, int64_t *time_ms)
{
  GDateTime *time = g_date_time_new_from_iso8601 (word, NULL);
  if (!time)
    return false;
  *time_ms = g_date_time_to_unix (time) * 1000
             + g_date_time_get_microsecond (time) / 1000;
  g_date_time_unref (time);
  return true;
}

/* Extracts the host from "HOST" or "PROGRAM[HOST]:"; frees @p word. */
static char *
parse_host (char *word)
{
  char *start = strchr (word, '[');
  char *end = start ? strchr (start, ']') : NULL;
  char *host = end ? g_strndup (start + 1, (gsize)(end - start - 1))
                   : g_strdup (word);
  g_free (word);
  return host;
}

bool
log_line_parse (const char *text, struct log_line *line)
{
  memset (line, 0, sizeof *line);
  /* Lines of base_log.h begin with a syslog level, "<6>". */
  const char *end = text[0] == '<' ? strchr (text, '>') : NULL;
  const char *position = end ? end + 1 : text;
  char *time = next_word (&position);
  bool valid = parse_time (time, &line->time_ms);
  g_free (time);
  if (!valid)
    return false;
  line->host = parse_host (next_word (&position));
  line->event = next_word (&position);
  line->fields = g_strchomp (g_strdup (position));
  return true;
}

void
log_line_clear (struct log_line *line)
{
  g_free (line->host);
  g_free (line->event);
  g_free (line->fields);
}

/* Returns the end of the field that begins at @p position, and sets @p equals
   to its '=', or to NULL when it has none. */
static const char *
find_field_end (const char *position, const char **equals)
{
  const char *end = position + strcspn (position, " ");
  *equals = strchr (position, '=');
  if (!*equals || *equals >= end)
    {
      *equals = NULL;
      return end;
    }
  if ((*equals)[1] != '"')
    return end;
  const char *quote = strchr (*equals + 2, '"');
  return quote ? quote + 1 : position + strlen (position);
}

char *
log_line_field (const struct log_line *line, const char *key)
{
  size_t key_length = strlen (key);
  const char *position = line->fields;
  while (*position)
    {
      const char *equals;
      const char *end = find_field_end (position, &equals);
      if (equals && (size_t)(equals - position) == key_length
          && strncmp (position, key, key_length) == 0)
        {
          bool quoted = equals[1] == '"' && end > equals + 2;
          return g_strndup (equals + 1 + quoted,
                            (gsize)(end - equals - 1 - 2 * quoted));
        }
      position = end + strspn (end, " ");
    }
  return NULL;
}

bool
log_line_has_field (const struct log_line *line, const char *key,
                    const char *value)
{
  char *found = log_line_field (line, key);
  bool has = found && strcmp (found, value) == 0;
  g_free (found);
  return has;
}
