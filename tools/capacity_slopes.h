#ifndef CAPACITY_SLOPES_H
#define CAPACITY_SLOPES_H

/** @file
 *  Measured slopes, read from the JSON lines that the benchmarks print. */

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "base_findings.h"

/** One slope over all runs that measured it. */
struct capacity_slope
{
  char *name;
  char *unit;
  /** Sizes it was measured at, as the benchmark says. */
  char *sizes;
  double median;
  double minimum;
  double maximum;
  uint32_t runs;
};

struct capacity_slopes;

/** Reads lines {"slope","unit","value","sizes"}; lines without "slope" are
 *  passed over, malformed ones are findings. */
struct capacity_slopes *capacity_slopes_read (FILE *stream,
                                              struct base_findings *findings);
/** Frees them. */
void capacity_slopes_destroy (struct capacity_slopes *slopes);
/** Slope of that name measured at sizes whose text contains @p sizes ("" for
 *  any), the first one; NULL when it was not measured. */
const struct capacity_slope *
capacity_slopes_find (const struct capacity_slopes *slopes, const char *name,
                      const char *sizes);
/** Slope at @p index in order of first measurement, or NULL past the last. */
const struct capacity_slope *
capacity_slopes_at (const struct capacity_slopes *slopes, uint32_t index);

#endif
