#ifndef CAPACITY_SLOPES_H
#define CAPACITY_SLOPES_H

/** @file
 *  Reads the slopes that benchmarks print as JSON lines (bench_slope.h). */

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "base_findings.h"

/** One slope, summarised over all runs that measured it. */
struct capacity_slope
{
  char *name;
  char *unit;
  /** Sizes it was measured at, in the benchmark's words. */
  char *sizes;
  double median;
  double minimum;
  double maximum;
  uint32_t runs;
};

struct capacity_slopes;

/** Reads JSON objects with the members slope, unit, value and sizes, one per
 *  line.  Skips lines that don't start with "{" and objects without "slope";
 *  adds a finding for each malformed line. */
struct capacity_slopes *capacity_slopes_read (FILE *stream,
                                              struct base_findings *findings);
/** Frees the slopes. */
void capacity_slopes_destroy (struct capacity_slopes *slopes);
/** Returns the first slope called @p name whose sizes contain the text @p
 *  sizes ("" for any); NULL when there is none. */
const struct capacity_slope *
capacity_slopes_find (const struct capacity_slopes *slopes, const char *name,
                      const char *sizes);
/** Returns the slope at @p index in the order of the first measurement; NULL
 *  past the last one. */
const struct capacity_slope *
capacity_slopes_at (const struct capacity_slopes *slopes, uint32_t index);

#endif
