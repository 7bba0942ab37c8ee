#include "base_json.h"

#include <stdbool.h>
#include <string.h>

#include <glib.h>

/* Returns the offset at which the document is nested too deep, or @p bytes.
   Brackets within strings don't count; what isn't JSON is left to the
   parser. */
static size_t
find_excess (const char *document, size_t bytes)
{
  size_t depth = 0;
  bool is_string = false;
  for (size_t i = 0; i < bytes; i++)
    {
      char c = document[i];
      if (is_string)
        {
          i += c == '\\';
          is_string = c != '"';
        }
      else if (c == '"')
        is_string = true;
      else if ((c == '{' || c == '[') && ++depth > BASE_JSON_DEPTH_MAX)
        return i;
      else if ((c == '}' || c == ']') && depth > 0)
        depth--;
    }
  return bytes;
}

json_t *
base_json_load (const char *document, size_t bytes, size_t flags,
                json_error_t *error)
{
  size_t excess = find_excess (document, bytes);
  if (excess == bytes)
    return json_loadb (document, bytes, flags, error);
  if (error)
    {
      memset (error, 0, sizeof *error);
      error->line = -1;
      error->position = (int)MIN (excess, (size_t)G_MAXINT);
      g_snprintf (error->text, sizeof error->text,
                  "nested deeper than %d levels", BASE_JSON_DEPTH_MAX);
    }
  return NULL;
}
