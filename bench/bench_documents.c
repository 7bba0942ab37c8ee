/** @file
 *  Measures what a change of a configuration document costs: bytes of the
 *  transfers and of the log, and the time to make and apply them.  --json
 *  prints each result as a JSON line. */

#include <string.h>

#include <glib.h>

#include "base_deflate.h"
#include "base_random.h"
#include "bench_slope.h"
#include "control_difference.h"
#include "wire_control.h"

#define REPETITIONS 20
#define MEMBERS 6

static void
append_name (GString *text, struct base_random *random, uint32_t length)
{
  static const char letters[] = "abcdefghijklmnopqrstuvwxyz0123456789";
  for (uint32_t i = 0; i < length; i++)
    g_string_append_c (
        text, letters[base_random_below (random, sizeof letters - 1)]);
}

/* Makes a document of @p routes routes with random names, as large as those of
   the deployments.  Documents with more routes begin with the same ones. */
static GBytes *
make_document (uint32_t version, uint32_t routes)
{
  struct base_random random;
  GString *text = g_string_new (NULL);
  base_random_seed (&random, 31);
  g_string_append_printf (text, "{\"version\":%u,\"routes\":[", version);
  for (uint32_t i = 0; i < routes; i++)
    {
      g_string_append (text, i > 0 ? ",{\"name\":\"r-" : "{\"name\":\"r-");
      append_name (text, &random, 7);
      g_string_append_printf (text, "\",\"host\":\"host%02u.example\",",
                              (unsigned)base_random_below (&random, 50));
      g_string_append (text, "\"prefix\":\"/");
      append_name (text, &random, 8);
      g_string_append (
          text, "/\",\"kind\":\"streaming\",\"timeout_ms\":10000,"
                "\"objective_ms\":500,\"priority\":0,\"service\":\"engine1\","
                "\"attempts\":2,\"open\":false,\"sticky\":true,"
                "\"resumable\":true,\"gap_ms\":400}");
    }
  g_string_append (text, "],\"services\":[{\"name\":\"engine1\"}]}");
  return g_string_free_to_bytes (text);
}

/* Prints the size of the transfer between two documents, and the times to make
   and apply it. */
static void
measure_transfer (const char *name, GBytes *from, GBytes *to,
                  const char *sizes)
{
  char label[64];
  GBytes *transfer = NULL;
  uint64_t start_us = bench_slope_now_us ();
  for (uint32_t i = 0; i < REPETITIONS; i++)
    {
      g_clear_pointer (&transfer, g_bytes_unref);
      transfer = control_difference_make (from, to);
    }
  double make_us = (double)(bench_slope_now_us () - start_us) / REPETITIONS;
  start_us = bench_slope_now_us ();
  for (uint32_t i = 0; i < REPETITIONS; i++)
    g_bytes_unref (control_difference_apply (from, transfer));
  double apply_us = (double)(bench_slope_now_us () - start_us) / REPETITIONS;
  g_snprintf (label, sizeof label, "document_%s_bytes", name);
  bench_slope_print (label, "B", (double)g_bytes_get_size (transfer), sizes);
  g_snprintf (label, sizeof label, "document_%s_make_ms", name);
  bench_slope_print (label, "ms", make_us / 1000, sizes);
  g_snprintf (label, sizeof label, "document_%s_apply_ms", name);
  bench_slope_print (label, "ms", apply_us / 1000, sizes);
  g_bytes_unref (transfer);
}

static void
measure_size (uint32_t routes)
{
  char sizes[64];
  gsize bytes = 0;
  GBytes *first = make_document (1, 200);
  GBytes *second = make_document (2, 200 + routes);
  GBytes *third = make_document (3, 200 + routes);
  const char *text = g_bytes_get_data (second, &bytes);
  GBytes *packed = base_deflate (text, bytes);
  g_snprintf (sizes, sizeof sizes, "200 routes, then %u more", routes);
  bench_slope_print ("document_bytes", "B", (double)bytes, sizes);
  bench_slope_print ("document_packed_bytes", "B",
                     (double)g_bytes_get_size (packed), sizes);
  measure_transfer ("added", first, second, sizes);
  measure_transfer ("whole", NULL, second, sizes);
  measure_transfer ("small", second, third, sizes);
  g_bytes_unref (packed);
  g_bytes_unref (first);
  g_bytes_unref (second);
  g_bytes_unref (third);
}

/* Prints the size of a watch call and of its answer without targets. */
static void
measure_watch (void)
{
  char text[] = "front-cnx-a-10";
  char address[] = "10.1.0.123";
  struct control_member members[MEMBERS] = { 0 };
  struct control_watch_args args
      = { .cluster = text,
          .router = text,
          .self
          = { .name = text, .address = text, .availability_zone = text } };
  struct control_watch_result result = { .availability_zone = text };
  result.answer.leader_address = address;
  result.answer.text = text;
  result.members.members_len = MEMBERS;
  result.members.members_val = members;
  for (uint32_t i = 0; i < MEMBERS; i++)
    {
      members[i].name = address;
      members[i].address = address;
    }
  bench_slope_print (
      "document_news_bytes", "B",
      (double)(xdr_sizeof ((xdrproc_t)xdr_control_watch_args, &args)
               + xdr_sizeof ((xdrproc_t)xdr_control_watch_result, &result)),
      "one watch call and its answer, 6 members");
}

int
main (int argc, char **argv)
{
  static const uint32_t sizes[] = { 100, 500, 1000, 2000, 4000 };
  bench_slope_init (argc, argv);
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    measure_size (sizes[i]);
  measure_watch ();
  return 0;
}
