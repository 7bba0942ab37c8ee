/** @file
 *  Reads members of JSON objects and reports findings with their JSON path. */

#include "bundle_reader.h"

#include <inttypes.h>
#include <stdarg.h>
#include <string.h>

size_t
bundle_reader_enter (struct bundle_reader *reader, const char *name)
{
  size_t mark = reader->path->len;
  if (mark > 0)
    g_string_append_c (reader->path, '.');
  g_string_append (reader->path, name);
  return mark;
}

size_t
bundle_reader_enter_index (struct bundle_reader *reader, size_t index)
{
  size_t mark = reader->path->len;
  g_string_append_printf (reader->path, "[%zu]", index);
  return mark;
}

void
bundle_reader_leave (struct bundle_reader *reader, size_t mark)
{
  g_string_truncate (reader->path, mark);
}

void
bundle_reader_add_finding (struct bundle_reader *reader, const char *format,
                           ...)
{
  va_list arguments;
  va_start (arguments, format);
  char *text = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  const char *place = reader->path->len ? reader->path->str : "document";
  base_findings_add (reader->findings, place, "%s", text);
  g_free (text);
}

static bool
is_known (const char *const *known, const char *name)
{
  for (; *known; known++)
    if (strcmp (*known, name) == 0)
      return true;
  return false;
}

bool
bundle_reader_check_members (struct bundle_reader *reader, json_t *object,
                             const char *const *known)
{
  size_t count;
  if (!json_is_object (object))
    {
      bundle_reader_add_finding (reader, "must be an object");
      return false;
    }
  const char **names = bundle_reader_sorted_names (object, &count);
  for (size_t i = 0; i < count; i++)
    if (!is_known (known, names[i]))
      {
        size_t mark = bundle_reader_enter (reader, names[i]);
        bundle_reader_add_finding (reader, "unknown member");
        bundle_reader_leave (reader, mark);
      }
  g_free (names);
  return true;
}

static bool
is_name_character (char letter)
{
  return g_ascii_isalnum (letter) || strchr ("._-", letter);
}

bool
bundle_reader_check_name (struct bundle_reader *reader, const char *name)
{
  size_t length = strlen (name);
  bool valid = length > 0 && g_ascii_isalnum (name[0]);
  for (const char *letter = name; valid && *letter; letter++)
    valid = is_name_character (*letter);
  if (!valid)
    bundle_reader_add_finding (reader,
                               "a name begins with a letter or digit and "
                               "holds letters, digits, '.', '_' and '-'");
  else if (length > CACTUS_NAME_BYTES)
    {
      bundle_reader_add_finding (reader, "a name holds at most %d bytes",
                                 CACTUS_NAME_BYTES);
      valid = false;
    }
  return valid;
}

uint64_t
bundle_reader_number (struct bundle_reader *reader, json_t *object,
                      const char *member, uint64_t minimum, uint64_t maximum,
                      uint64_t fallback)
{
  json_t *value = json_object_get (object, member);
  if (!value)
    return fallback;
  json_int_t number = json_integer_value (value);
  if (json_is_integer (value) && number >= 0 && (uint64_t)number >= minimum
      && (uint64_t)number <= maximum)
    return (uint64_t)number;
  size_t mark = bundle_reader_enter (reader, member);
  bundle_reader_add_finding (
      reader, "must be a whole number from %" PRIu64 " to %" PRIu64, minimum,
      maximum);
  bundle_reader_leave (reader, mark);
  return fallback;
}

bool
bundle_reader_bool (struct bundle_reader *reader, json_t *object,
                    const char *member)
{
  json_t *value = json_object_get (object, member);
  if (value && !json_is_boolean (value))
    {
      size_t mark = bundle_reader_enter (reader, member);
      bundle_reader_add_finding (reader, "must be true or false");
      bundle_reader_leave (reader, mark);
    }
  return json_is_true (value);
}

const char *
bundle_reader_string (struct bundle_reader *reader, json_t *object,
                      const char *member)
{
  json_t *value = json_object_get (object, member);
  if (json_is_string (value))
    return json_string_value (value);
  size_t mark = bundle_reader_enter (reader, member);
  bundle_reader_add_finding (reader,
                             value ? "must be a string" : "is required");
  bundle_reader_leave (reader, mark);
  return NULL;
}

static void
check_strings (struct bundle_reader *reader, json_t *array)
{
  for (size_t i = 0; i < json_array_size (array); i++)
    if (!json_is_string (json_array_get (array, i)))
      {
        size_t mark = bundle_reader_enter_index (reader, i);
        bundle_reader_add_finding (reader, "must be a string");
        bundle_reader_leave (reader, mark);
      }
}

json_t *
bundle_reader_strings (struct bundle_reader *reader, json_t *object,
                       const char *member, bool required)
{
  json_t *value = json_object_get (object, member);
  if (!value && !required)
    return NULL;
  size_t mark = bundle_reader_enter (reader, member);
  if (!json_is_array (value))
    {
      bundle_reader_add_finding (reader, value ? "must be an array of strings"
                                               : "is required");
      value = NULL;
    }
  else
    check_strings (reader, value);
  bundle_reader_leave (reader, mark);
  return value;
}

static int
compare_names (const void *left, const void *right)
{
  return strcmp (*(const char *const *)left, *(const char *const *)right);
}

const char **
bundle_reader_sorted_names (json_t *object, size_t *count)
{
  const char *name;
  json_t *value;
  size_t filled = 0;
  const char **names = g_new0 (const char *, json_object_size (object) + 1);
  json_object_foreach (object, name, value) names[filled++] = name;
  qsort (names, filled, sizeof *names, compare_names);
  *count = filled;
  return names;
}
