/** @file
 *  Output of the commands, as a text table or as JSON. */

#include "ctl_table.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

struct ctl_table
{
  const char *const *columns;
  size_t column_count;
  /* Cells (json_t), row by row. */
  GPtrArray *cells;
};

static void
free_cell (gpointer data)
{
  json_decref (data);
}

struct ctl_table *
ctl_table_create (const char *const *columns)
{
  struct ctl_table *table = g_new0 (struct ctl_table, 1);
  table->columns = columns;
  while (columns[table->column_count])
    table->column_count++;
  table->cells = g_ptr_array_new_with_free_func (free_cell);
  return table;
}

void
ctl_table_destroy (struct ctl_table *table)
{
  if (!table)
    return;
  g_ptr_array_unref (table->cells);
  g_free (table);
}

void
ctl_table_add_text (struct ctl_table *table, const char *text)
{
  json_t *cell = json_string (text ? text : "");
  g_ptr_array_add (table->cells, cell ? cell : json_string ("?"));
}

void
ctl_table_add_number (struct ctl_table *table, uint64_t number)
{
  g_ptr_array_add (table->cells, json_integer ((json_int_t)number));
}

void
ctl_table_add_bool (struct ctl_table *table, bool value)
{
  g_ptr_array_add (table->cells, json_boolean (value));
}

/* Returns the text of a cell, freed with g_free. */
static char *
format_cell (const json_t *cell)
{
  if (json_is_integer (cell))
    return g_strdup_printf ("%" JSON_INTEGER_FORMAT,
                            json_integer_value (cell));
  if (json_is_boolean (cell))
    return g_strdup (json_is_true (cell) ? "yes" : "no");
  const char *text = json_string_value (cell);
  return g_strdup (*text ? text : "-");
}

static size_t *
measure_columns (const struct ctl_table *table)
{
  size_t *widths = g_new0 (size_t, table->column_count);
  for (size_t i = 0; i < table->column_count; i++)
    widths[i] = strlen (table->columns[i]);
  for (guint i = 0; i < table->cells->len; i++)
    {
      char *text = format_cell (table->cells->pdata[i]);
      size_t *width = &widths[i % table->column_count];
      *width = MAX (*width, strlen (text));
      g_free (text);
    }
  return widths;
}

static void
print_cell (const char *text, size_t width, bool last, bool right)
{
  if (last && !right)
    printf ("%s\n", text);
  else
    printf (right ? "%*s%s" : "%-*s%s", (int)width, text, last ? "\n" : "  ");
}

static void
print_rows (const struct ctl_table *table)
{
  size_t *widths = measure_columns (table);
  size_t last = table->column_count - 1;
  for (size_t i = 0; i <= last; i++)
    print_cell (table->columns[i], widths[i], i == last, false);
  for (guint i = 0; i < table->cells->len; i++)
    {
      const json_t *cell = table->cells->pdata[i];
      size_t column = i % table->column_count;
      char *text = format_cell (cell);
      print_cell (text, widths[column], column == last,
                  json_is_integer (cell));
      g_free (text);
    }
  g_free (widths);
}

static void
print_json (const struct ctl_table *table)
{
  json_t *rows = json_array ();
  json_t *row = NULL;
  for (guint i = 0; i < table->cells->len; i++)
    {
      size_t column = i % table->column_count;
      if (column == 0)
        {
          row = json_object ();
          json_array_append_new (rows, row);
        }
      json_object_set (row, table->columns[column], table->cells->pdata[i]);
    }
  char *text = json_dumps (rows, JSON_INDENT (2) | JSON_PRESERVE_ORDER);
  puts (text);
  free (text);
  json_decref (rows);
}

void
ctl_table_print (const struct ctl_table *table, bool as_json)
{
  if (as_json)
    print_json (table);
  else
    print_rows (table);
}
