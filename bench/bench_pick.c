/** @file
 *  Measures the time of one pick, including the read of the registry.  --json
 *  prints each result as a JSON line. */

#include <stdio.h>
#include <string.h>
#include <time.h>

#include <glib.h>

#include "bench_slope.h"
#include "cactus_config.h"
#include "pick.h"
#include "registry.h"

#define PICKS 300000

/* Returns the record of target "t<index>". */
static struct registry_record
make_record (uint32_t index, uint32_t slots)
{
  struct registry_record record = { .port = 9000,
                                    .incarnation = 1,
                                    .sequence = 1,
                                    .last_report_ms = 1000,
                                    .slots = slots,
                                    .weight = 100 };
  g_snprintf (record.target, sizeof record.target, "t%u", index);
  g_strlcpy (record.service, "s", sizeof record.service);
  g_strlcpy (record.availability_zone, "z1", CACTUS_NAME_BYTES);
  g_strlcpy (record.region, "r1", CACTUS_NAME_BYTES);
  g_strlcpy (record.address, "10.0.0.1", sizeof record.address);
  return record;
}

static double
now_s (void)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec + (double)now.tv_nsec * 1e-9;
}

/* Returns the mean time in ns of starting a read, picking and ending the read,
   with @p targets targets in the service. */
static double
pick_ns (enum pick_policy policy, uint32_t targets)
{
  struct registry *registry = registry_create (CACTUS_TARGET_LAPSE_MS);
  struct base_random random = { 1 };
  struct pick_request request = { .availability_zone = "z1",
                                  .region = "r1",
                                  .slot_percent = 100,
                                  .now_ms = 1000 };
  for (uint32_t i = 0; i < targets; i++)
    {
      struct registry_record record = make_record (i, 64);
      record.running = (uint32_t)base_random_below (&random, 60);
      registry_merge (registry, &record, 1000);
    }
  struct registry_reader *reader = registry_reader_create (registry);
  double start_s = now_s ();
  for (int i = 0; i < PICKS; i++)
    {
      const struct registry_target *chosen;
      request.prefix_hash = base_random_next (&random);
      pick_target (policy, registry_read (reader, "s"), &request, &random,
                   &chosen);
      registry_read_end (reader);
    }
  double ns = (now_s () - start_s) * 1e9 / PICKS;
  registry_reader_destroy (reader);
  registry_destroy (registry);
  return ns;
}

static void
report_speed (bool json)
{
  static const uint32_t sizes[] = { 10, 30, 100, 300 };
  if (!json)
    printf ("targets  ns a pick: affinity  two choices\n");
  for (int i = 0; i < 4; i++)
    {
      double affinity = pick_ns (PICK_TWO_CHOICES_AFFINITY, sizes[i]);
      double plain = pick_ns (PICK_TWO_CHOICES, sizes[i]);
      if (json)
        {
          char text[32];
          g_snprintf (text, sizeof text, "targets=%u", sizes[i]);
          bench_slope_print ("pick", "ns", affinity, text);
          bench_slope_print ("pick_without_prefix", "ns", plain, text);
        }
      else
        printf ("%7u %20.0f %12.0f\n", sizes[i], affinity, plain);
    }
}

int
main (int argc, char **argv)
{
  bool json = argc > 1 && strcmp (argv[1], "--json") == 0;
  bench_slope_init (argc, argv);
  report_speed (json);
  return 0;
}
