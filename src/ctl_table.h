#ifndef CTL_TABLE_H
#define CTL_TABLE_H

/** @file
 *  Output of the commands: rows that are printed as a table for people or as
 *  a JSON array of objects. */

#include <stdbool.h>
#include <stdint.h>

/** Rows under named columns. */
struct ctl_table;

/** Makes a table; @p columns is ended by NULL and names the JSON members. */
struct ctl_table *ctl_table_create (const char *const *columns);
/** Frees it. */
void ctl_table_destroy (struct ctl_table *table);
/** Adds a cell to the current row; a full row starts the next. */
void ctl_table_text (struct ctl_table *table, const char *text);
/** Adds a number. */
void ctl_table_number (struct ctl_table *table, uint64_t number);
/** Adds a truth value, printed as yes or no. */
void ctl_table_switch (struct ctl_table *table, bool value);
/** Prints all rows on standard output. */
void ctl_table_print (const struct ctl_table *table, bool as_json);

#endif
