#include "bench_slope.h"

#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>

#include "base_clock.h"

static bool print_json;

void
bench_slope_init (int argc, char **argv)
{
  for (int i = 1; i < argc; i++)
    if (strcmp (argv[i], "--json") == 0)
      print_json = true;
}

void
bench_slope_print (const char *name, const char *unit, double value,
                   const char *sizes)
{
  if (print_json)
    printf ("{\"slope\":\"%s\",\"unit\":\"%s\",\"value\":%.4f,"
            "\"sizes\":\"%s\"}\n",
            name, unit, value, sizes);
  else
    printf ("%-34s %12.3f %-14s %s\n", name, value, unit, sizes);
  fflush (stdout);
}

uint64_t
bench_slope_now_us (void)
{
  return base_clock_now_us (base_clock_system ());
}

double
bench_slope_cpu_us (void)
{
  struct rusage usage;
  getrusage (RUSAGE_SELF, &usage);
  return (double)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * 1e6
         + (double)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}
