#ifndef CTL_EVACUATION_H
#define CTL_EVACUATION_H

/** @file
 *  Evacuated availability zones in the status. */

#include "ctl_command.h"
#include "ctl_table.h"

/** Adds a row for each evacuated zone, as the member with the newest change
 * has it: its name, since when, the number of the change, and how many of the
 *  routers that call that member have it in force.  Returns their number; 0
 *  also when no member knows evacuations. */
uint32_t ctl_list_evacuations (const struct ctl_context *context,
                               struct ctl_table *table);

#endif
