#ifndef CTL_TABLE_H
#define CTL_TABLE_H

/** @file
 *  Output of the commands: rows, printed as a text table or as a JSON array of
 *  objects. */

#include <stdbool.h>
#include <stdint.h>

/** Rows under named columns. */
struct ctl_table;

/** Creates a table; @p columns is ended by NULL, names the JSON members too,
 *  and must outlive the table. */
struct ctl_table *ctl_table_create (const char *const *columns);
/** Frees a table; NULL is allowed. */
void ctl_table_destroy (struct ctl_table *table);
/** Adds a text cell to the current row; NULL counts as empty.  A new row
 *  starts once the current one is full. */
void ctl_table_add_text (struct ctl_table *table, const char *text);
/** Adds a number cell. */
void ctl_table_add_number (struct ctl_table *table, uint64_t number);
/** Adds a boolean cell, printed as yes or no. */
void ctl_table_add_bool (struct ctl_table *table, bool value);
/** Prints all rows to standard output. */
void ctl_table_print (const struct ctl_table *table, bool as_json);

#endif
