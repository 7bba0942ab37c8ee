#include "capacity_slopes.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

/* A slope with the values of all runs. */
struct slope_entry
{
  struct capacity_slope slope;
  GArray *values;
};

struct capacity_slopes
{
  GPtrArray *entries;
};

static void
free_entry (gpointer data)
{
  struct slope_entry *entry = data;
  g_free (entry->slope.name);
  g_free (entry->slope.unit);
  g_free (entry->slope.sizes);
  g_array_unref (entry->values);
  g_free (entry);
}

static struct slope_entry *
find_entry (const struct capacity_slopes *slopes, const char *name,
            const char *sizes, bool exact_sizes)
{
  for (guint i = 0; i < slopes->entries->len; i++)
    {
      struct slope_entry *entry = slopes->entries->pdata[i];
      if (strcmp (entry->slope.name, name) != 0)
        continue;
      if (exact_sizes ? strcmp (entry->slope.sizes, sizes) == 0
                      : strstr (entry->slope.sizes, sizes) != NULL)
        return entry;
    }
  return NULL;
}

/* Text of a member; numbers and arrays are serialised as JSON. */
static char *
member_text (json_t *line, const char *name)
{
  json_t *member = json_object_get (line, name);
  if (json_is_string (member))
    return g_strdup (json_string_value (member));
  char *dumped
      = member ? json_dumps (member, JSON_ENCODE_ANY | JSON_COMPACT) : NULL;
  char *text = g_strdup (dumped ? dumped : "");
  free (dumped);
  return text;
}

static void
add_line (struct capacity_slopes *slopes, json_t *line, const char *place,
          struct base_findings *findings)
{
  const char *name = json_string_value (json_object_get (line, "slope"));
  json_t *value = json_object_get (line, "value");
  if (!name)
    return;
  if (!json_is_number (value))
    {
      base_findings_add (findings, place,
                         "slope %s has no numeric \"value\"; skipped", name);
      return;
    }
  char *sizes = member_text (line, "sizes");
  struct slope_entry *entry = find_entry (slopes, name, sizes, true);
  if (!entry)
    {
      entry = g_new0 (struct slope_entry, 1);
      entry->slope.name = g_strdup (name);
      entry->slope.unit = member_text (line, "unit");
      entry->slope.sizes = g_strdup (sizes);
      entry->values = g_array_new (FALSE, FALSE, sizeof (double));
      g_ptr_array_add (slopes->entries, entry);
    }
  double number = json_number_value (value);
  g_array_append_val (entry->values, number);
  g_free (sizes);
}

static gint
compare_values (gconstpointer left, gconstpointer right)
{
  double a = *(const double *)left;
  double b = *(const double *)right;
  return a < b ? -1 : a > b;
}

static void
summarise (struct slope_entry *entry)
{
  const double *values = (const double *)entry->values->data;
  guint count = entry->values->len;
  g_array_sort (entry->values, compare_values);
  entry->slope.minimum = values[0];
  entry->slope.maximum = values[count - 1];
  entry->slope.median = (values[(count - 1) / 2] + values[count / 2]) / 2;
  entry->slope.runs = count;
}

struct capacity_slopes *
capacity_slopes_read (FILE *stream, struct base_findings *findings)
{
  char *text = NULL;
  size_t capacity = 0;
  uint32_t number = 0;
  struct capacity_slopes *slopes = g_new0 (struct capacity_slopes, 1);
  slopes->entries = g_ptr_array_new_with_free_func (free_entry);
  while (getline (&text, &capacity, stream) > 0)
    {
      char place[32];
      snprintf (place, sizeof place, "line %u", ++number);
      if (text[0] != '{')
        continue;
      json_t *line = json_loads (text, 0, NULL);
      if (line)
        add_line (slopes, line, place, findings);
      else
        base_findings_add (findings, place, "is not valid JSON; skipped");
      json_decref (line);
    }
  free (text);
  for (guint i = 0; i < slopes->entries->len; i++)
    summarise (slopes->entries->pdata[i]);
  return slopes;
}

void
capacity_slopes_destroy (struct capacity_slopes *slopes)
{
  if (!slopes)
    return;
  g_ptr_array_unref (slopes->entries);
  g_free (slopes);
}

const struct capacity_slope *
capacity_slopes_find (const struct capacity_slopes *slopes, const char *name,
                      const char *sizes)
{
  struct slope_entry *entry = find_entry (slopes, name, sizes, false);
  return entry ? &entry->slope : NULL;
}

const struct capacity_slope *
capacity_slopes_at (const struct capacity_slopes *slopes, uint32_t index)
{
  if (index >= slopes->entries->len)
    return NULL;
  struct slope_entry *entry = slopes->entries->pdata[index];
  return &entry->slope;
}
