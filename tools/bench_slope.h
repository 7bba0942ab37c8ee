#ifndef BENCH_SLOPE_H
#define BENCH_SLOPE_H

/** @file
 *  How benchmarks print what they measured. */

#include <stdint.h>

/** Prints JSON lines from now on when the arguments hold --json, else a
 *  table. */
void bench_slope_init (int argc, char **argv);
/** Prints one slope, measured at the sizes described. */
void bench_slope_print (const char *name, const char *unit, double value,
                        const char *sizes);
/** Monotonic time in microseconds. */
uint64_t bench_slope_now_us (void);
/** Processor time of this process, in microseconds. */
double bench_slope_cpu_us (void);

#endif
