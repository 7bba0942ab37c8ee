#include "raw_head.h"

#include <string.h>

#include <glib.h>

bool
raw_head_value (const char *text, const char *name, char *value,
                size_t value_bytes)
{
  const char *end = strstr (text, "\r\n\r\n");
  size_t name_bytes = strlen (name);
  const char *line = strstr (text, "\r\n");
  while (line && end && line < end)
    {
      line += 2;
      if (g_ascii_strncasecmp (line, name, name_bytes) == 0
          && line[name_bytes] == ':')
        {
          const char *from = line + name_bytes + 1;
          from += strspn (from, " ");
          size_t bytes = strcspn (from, "\r");
          g_strlcpy (value, from, MIN (bytes + 1, value_bytes));
          return true;
        }
      line = strstr (line, "\r\n");
    }
  return false;
}

size_t
raw_head_request_bytes (const char *text)
{
  char length[32];
  const char *end = strstr (text, "\r\n\r\n");
  if (!end)
    return 0;
  size_t bytes = (size_t)(end - text) + 4;
  if (raw_head_value (text, "Content-Length", length, sizeof length))
    bytes += (size_t)g_ascii_strtoull (length, NULL, 10);
  return bytes;
}
