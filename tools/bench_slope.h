#ifndef BENCH_SLOPE_H
#define BENCH_SLOPE_H

/** @file
 *  Prints the results of benchmarks.  A slope is a measured figure, usually
 *  a cost per unit, such as bytes per budget or microseconds of CPU time
 *  per request. */

#include <stdint.h>

/** Selects the output format: JSON lines when the arguments contain --json,
 *  else a table. */
void bench_slope_init (int argc, char **argv);
/** Prints one slope; @p sizes describes the sizes it was measured at. */
void bench_slope_print (const char *name, const char *unit, double value,
                        const char *sizes);
/** Monotonic time in microseconds. */
uint64_t bench_slope_now_us (void);
/** CPU time that this process has used, in microseconds. */
double bench_slope_cpu_us (void);

#endif
