#include "log_line.h"

#include <string.h>

#include <glib.h>

/* Takes the word at *@p text off it. */
static char *
take_word (const char **text)
{
  const char *start = *text;
  size_t length = strcspn (start, " ");
  *text = start + length + strspn (start + length, " ");
  return g_strndup (start, length);
}

static bool
read_time (const char *word, int64_t *time_ms)
{
  GDateTime *time = g_date_time_new_from_iso8601 (word, NULL);
  if (!time)
    return false;
  *time_ms = g_date_time_to_unix (time) * 1000
             + g_date_time_get_microsecond (time) / 1000;
  g_date_time_unref (time);
  return true;
}

/* "HOST", or "PROGRAM[HOST]:". */
static char *
read_host (char *word)
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
  /* A priority as syslog writes it may come first. */
  const char *end = text[0] == '<' ? strchr (text, '>') : NULL;
  const char *at = end ? end + 1 : text;
  char *time = take_word (&at);
  bool good = read_time (time, &line->time_ms);
  g_free (time);
  if (!good)
    return false;
  line->host = read_host (take_word (&at));
  line->event = take_word (&at);
  line->fields = g_strchomp (g_strdup (at));
  return true;
}

void
log_line_clear (struct log_line *line)
{
  g_free (line->host);
  g_free (line->event);
  g_free (line->fields);
}

/* The field that begins at @p at: its key's end, and the end of its value. */
static const char *
field_end (const char *at, const char **equals)
{
  const char *end = at + strcspn (at, " ");
  *equals = strchr (at, '=');
  if (!*equals || *equals >= end)
    {
      *equals = NULL;
      return end;
    }
  if ((*equals)[1] != '"')
    return end;
  const char *quote = strchr (*equals + 2, '"');
  return quote ? quote + 1 : at + strlen (at);
}

char *
log_line_field (const struct log_line *line, const char *key)
{
  size_t key_length = strlen (key);
  const char *at = line->fields;
  while (*at)
    {
      const char *equals;
      const char *end = field_end (at, &equals);
      if (equals && (size_t)(equals - at) == key_length
          && strncmp (at, key, key_length) == 0)
        {
          bool quoted = equals[1] == '"' && end > equals + 2;
          return g_strndup (equals + 1 + quoted,
                            (gsize)(end - equals - 1 - 2 * quoted));
        }
      at = end + strspn (end, " ");
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
