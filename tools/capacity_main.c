/** @file
 *  cactus-capacity: reads the JSON lines of the benchmarks from standard
 *  input and prints the tables of docs/CAPACITY.md. */

#include <stdio.h>

#include "base_settings.h"
#include "capacity_lines.h"

static const struct base_setting settings[] = { { 0 } };

static void
print_slopes (const struct capacity_slopes *slopes)
{
  const struct capacity_slope *slope;
  printf ("| slope | unit | median | lowest | highest | runs | sizes |\n"
          "|---|---|---|---|---|---|---|\n");
  for (uint32_t i = 0; (slope = capacity_slopes_at (slopes, i)); i++)
    printf ("| %s | %s | %.4g | %.4g | %.4g | %u | %s |\n", slope->name,
            slope->unit, slope->median, slope->minimum, slope->maximum,
            slope->runs, slope->sizes);
}

static void
print_terms (const struct capacity_line *line)
{
  for (size_t i = 0; i < CAPACITY_TERMS_MAX && line->terms[i].slope; i++)
    printf ("%s%s x %.4g (%s)", i > 0 ? " + " : "", line->terms[i].slope,
            line->terms[i].count, line->terms[i].count_source);
}

static void
print_headroom (const struct capacity_line *line, double value)
{
  if (line->limit <= 0)
    printf ("no limit");
  else if (value <= line->limit)
    printf ("%.4g, %.1f times the load", line->limit, line->limit / value);
  else
    printf ("%.4g, **exceeded: load is %.1f times the limit**", line->limit,
            value / line->limit);
}

static void
print_line (const struct capacity_line *line,
            const struct capacity_slopes *slopes)
{
  double value;
  printf ("| %s | %s | ", line->role, line->resource);
  if (!capacity_line_value (line, slopes, &value))
    {
      printf ("not measured yet | ");
      print_terms (line);
      printf (" | | %s |\n", line->mechanism);
      return;
    }
  printf ("%.3g %s | ", value, line->unit);
  print_terms (line);
  printf (" | ");
  print_headroom (line, value);
  printf (" | %s |\n", line->mechanism);
}

static void
print_lines (const struct capacity_slopes *slopes)
{
  size_t count;
  const struct capacity_line *lines = capacity_lines (&count);
  printf (
      "| role | what | at the target size | slope x count | limit, headroom "
      "| mechanism |\n|---|---|---|---|---|---|\n");
  for (size_t i = 0; i < count; i++)
    print_line (&lines[i], slopes);
}

int
main (int argc, char **argv)
{
  enum base_settings_outcome outcome = base_settings_read (
      argc, argv,
      "Prints the tables of docs/CAPACITY.md from slopes on "
      "standard input.",
      settings);
  if (outcome != BASE_SETTINGS_RUN)
    return outcome == BASE_SETTINGS_EXIT ? 0 : 2;
  struct base_findings *findings = base_findings_create ();
  struct capacity_slopes *slopes = capacity_slopes_read (stdin, findings);
  base_findings_print (findings, stderr);
  int status = base_findings_count (findings) > 0 ? 2 : 0;
  printf ("## By role\n\n");
  print_lines (slopes);
  printf ("\n## Slopes\n\n");
  print_slopes (slopes);
  capacity_slopes_destroy (slopes);
  base_findings_destroy (findings);
  return status;
}
