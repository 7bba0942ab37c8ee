/** @file
 *  Patterns of non-idempotent calls, which must run at most once. */

#include "bundle_path.h"

#include <string.h>

#include <glib.h>

/* Returns the value of two hexadecimal digits, or -1. */
static int
hex_pair (const char *text)
{
  int high = g_ascii_xdigit_value (text[0]);
  int low = high < 0 ? -1 : g_ascii_xdigit_value (text[1]);
  return low < 0 ? -1 : high << 4 | low;
}

/* Percent-decodes up to the query and converts to lower case.  Invalid escapes
   are copied as they are; NUL bytes are dropped. */
static GString *
decode_path (const char *path)
{
  GString *plain = g_string_new (NULL);
  while (*path && *path != '?' && *path != '#')
    {
      int byte = *path == '%' ? hex_pair (path + 1) : -1;
      path += byte < 0 ? 1 : 3;
      char letter = byte < 0 ? path[-1] : (char)byte;
      if (letter)
        g_string_append_c (plain, g_ascii_tolower (letter));
    }
  return plain;
}

char *
bundle_path_normalise (const char *path)
{
  GString *plain = decode_path (path);
  char **segments = g_strsplit (plain->str, "/", -1);
  g_string_truncate (plain, 0);
  for (char **segment = segments; *segment; segment++)
    {
      if (**segment == '\0' || strcmp (*segment, ".") == 0)
        continue;
      if (strcmp (*segment, "..") == 0)
        {
          char *last = strrchr (plain->str, '/');
          g_string_truncate (plain, last ? (gsize)(last - plain->str) : 0);
          continue;
        }
      g_string_append_c (plain, '/');
      g_string_append (plain, *segment);
    }
  g_strfreev (segments);
  return g_string_free (plain, FALSE);
}

char *
bundle_path_parse_pattern (const char *text)
{
  const char *space = strchr (text, ' ');
  if (!space || space == text || space[1] != '/')
    return NULL;
  for (const char *letter = text; letter < space; letter++)
    if (!g_ascii_isupper (*letter) && !(*letter == '*' && space - text == 1))
      return NULL;
  for (const char *letter = space + 1; *letter; letter++)
    if (!g_ascii_isgraph (*letter))
      return NULL;
  char *path = bundle_path_normalise (space + 1);
  char *pattern = g_strdup_printf ("%.*s %s", (int)(space - text), text, path);
  g_free (path);
  return pattern;
}

bool
bundle_path_matches (const char *pattern, const char *method,
                     const char *normal_path)
{
  const char *path = strchr (pattern, ' ') + 1;
  size_t method_length = (size_t)(path - 1 - pattern);
  size_t path_length = strlen (path);
  bool any_method = pattern[0] == '*';
  if (!any_method
      && (strlen (method) != method_length
          || g_ascii_strncasecmp (pattern, method, method_length) != 0))
    return false;
  if (strncmp (normal_path, path, path_length) != 0)
    return false;
  return normal_path[path_length] == '\0' || normal_path[path_length] == '/';
}
