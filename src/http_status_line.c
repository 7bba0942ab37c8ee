#include "http_status_line.h"

#include <glib.h>

#define PROTOCOL "HTTP/"
#define VERSION "HTTP/1."
#define STATUS_MIN 100u
#define STATUS_MAX 599u
#define STATUS_DIGITS 3

bool
http_status_line_begins (const char *line)
{
  return g_str_has_prefix (line, PROTOCOL);
}

uint32_t
http_status_line_read (const char *line)
{
  uint32_t status = 0;
  if (!g_str_has_prefix (line, VERSION))
    return 0;
  line += sizeof VERSION - 1;
  if (!g_ascii_isdigit (line[0]) || line[1] != ' ')
    return 0;
  line += 2;
  for (int i = 0; i < STATUS_DIGITS; i++, line++)
    {
      if (!g_ascii_isdigit (*line))
        return 0;
      status = 10 * status + (uint32_t)(*line - '0');
    }
  if (*line != ' ' && *line != '\r' && *line != '\n' && *line != '\0')
    return 0;
  return status >= STATUS_MIN && status <= STATUS_MAX ? status : 0;
}
