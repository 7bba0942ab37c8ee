#ifndef CAPACITY_LINES_H
#define CAPACITY_LINES_H

/** @file
 *  The lines of docs/CAPACITY.md: what each role carries at the target size,
 *  as sums of slope times count. */

#include <stddef.h>

#include "capacity_slopes.h"

/** Most terms of a line. */
#define CAPACITY_TERMS_MAX 4

/** One term: a slope, measured at sizes that contain @p sizes, times a
 *  count. */
struct capacity_term
{
  const char *slope;
  const char *sizes;
  double count;
  /** How the count comes about. */
  const char *reason;
};

/** One line of the page. */
struct capacity_line
{
  const char *role;
  const char *what;
  const char *unit;
  /** Sum of the terms is divided by this. */
  double divisor;
  /** Limit in the line's unit; 0 where none is stated. */
  double limit;
  const char *mechanism;
  struct capacity_term terms[CAPACITY_TERMS_MAX];
};

/** All lines, in order of the page; @p count gets their number. */
const struct capacity_line *capacity_lines (size_t *count);
/** Value of a line; false when a slope was not measured. */
bool capacity_line_value (const struct capacity_line *line,
                          const struct capacity_slopes *slopes, double *value);

#endif
