#ifndef CAPACITY_LINES_H
#define CAPACITY_LINES_H

/** @file
 *  The lines of docs/CAPACITY.md: the load of each role at the target size
 *  of a fleet, as sums of slope times count. */

#include <stddef.h>

#include "capacity_slopes.h"

/** Maximum number of terms of a line; fewer are ended by a zeroed one. */
#define CAPACITY_TERMS_MAX 4

/** One term: a measured slope times a count. */
struct capacity_term
{
  const char *slope;
  const char *sizes;
  double count;
  /** How the count is derived, as printed. */
  const char *count_source;
};

/** One line of the page. */
struct capacity_line
{
  const char *role;
  const char *resource;
  const char *unit;
  /** The sum of the terms is divided by this, to get the line's unit. */
  double divisor;
  /** Limit in the line's unit; 0 for none. */
  double limit;
  const char *mechanism;
  struct capacity_term terms[CAPACITY_TERMS_MAX];
};

/** Returns all lines in the order of the page and stores their number in @p
 *  count. */
const struct capacity_line *capacity_lines (size_t *count);
/** Computes the value of a line in its unit; false when a slope was not
 *  measured. */
bool capacity_line_value (const struct capacity_line *line,
                          const struct capacity_slopes *slopes, double *value);

#endif
