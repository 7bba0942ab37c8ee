/** @file
 *  Measures time and memory of a bundle with many accounts: reading it, making
 *  and applying the difference of one changed account, and look-ups by API
 *  key.  --json prints each result as a JSON line. */

#include <malloc.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "bench_slope.h"
#include "bundle.h"
#include "test_bundle_edit.h"

#define ACCOUNTS 6800
#define REPETITIONS 20
#define LOOKUPS 1000000
#define SIZES "6,800 accounts, one key each"

static struct bundle *
read_bundle (const char *text)
{
  struct base_findings *findings = base_findings_create ();
  struct bundle *bundle = bundle_read (text, strlen (text), findings);
  base_findings_print (findings, stderr);
  base_findings_destroy (findings);
  g_assert (bundle);
  return bundle;
}

/* Returns the text of a document with ACCOUNTS accounts, the first one of
   which has @p weight; freed with free. */
static char *
make_document (int version, int weight)
{
  json_t *document = test_bundle_edit_large (ACCOUNTS);
  json_t *account = json_object_get (json_object_get (document, "accounts"),
                                     "client-0000");
  json_object_set_new (document, "version", json_integer (version));
  json_object_set_new (account, "weight", json_integer (weight));
  char *text = json_dumps (document, JSON_COMPACT);
  json_decref (document);
  return text;
}

static void
measure_reading (const char *text)
{
  size_t bytes;
  malloc_trim (0);
  size_t heap_bytes_before = mallinfo2 ().uordblks;
  uint64_t start_us = bench_slope_now_us ();
  for (int i = 0; i < REPETITIONS; i++)
    bundle_unref (read_bundle (text));
  double read_ms
      = (double)(bench_slope_now_us () - start_us) / 1000 / REPETITIONS;
  struct bundle *bundle = read_bundle (text);
  size_t heap_bytes = mallinfo2 ().uordblks - heap_bytes_before;
  bundle_canonical (bundle, &bytes);
  bench_slope_print ("bundle_document_bytes", "B/account",
                     (double)bytes / ACCOUNTS, SIZES);
  bench_slope_print ("bundle_held_bytes", "B/account",
                     (double)heap_bytes / ACCOUNTS, SIZES);
  bench_slope_print ("bundle_read_ms", "ms", read_ms, SIZES);
  bundle_unref (bundle);
}

static void
measure_change (struct bundle *first, struct bundle *second)
{
  struct base_findings *findings = base_findings_create ();
  char *difference = NULL;
  uint64_t start_us = bench_slope_now_us ();
  for (int i = 0; i < REPETITIONS; i++)
    {
      g_free (difference);
      difference = bundle_difference (first, second);
    }
  double difference_ms
      = (double)(bench_slope_now_us () - start_us) / 1000 / REPETITIONS;
  start_us = bench_slope_now_us ();
  for (int i = 0; i < REPETITIONS; i++)
    {
      struct bundle *result = bundle_apply_difference (
          first, difference, strlen (difference), findings);
      g_assert (result);
      bundle_unref (result);
    }
  double apply_ms
      = (double)(bench_slope_now_us () - start_us) / 1000 / REPETITIONS;
  bench_slope_print ("bundle_change_bytes", "B/change",
                     (double)strlen (difference), SIZES);
  bench_slope_print ("bundle_difference_ms", "ms/change", difference_ms,
                     SIZES);
  bench_slope_print ("bundle_apply_ms", "ms/change", apply_ms, SIZES);
  g_free (difference);
  base_findings_destroy (findings);
}

static void
measure_lookups (const struct bundle *bundle)
{
  char name[32];
  uint8_t digest[CACTUS_DIGEST_BYTES];
  uint64_t found = 0;
  g_snprintf (name, sizeof name, "client-%04d", ACCOUNTS / 3);
  base_digest (digest, name, strlen (name));
  const struct bundle_service *service = bundle_service_at (bundle, 0);
  uint64_t start_us = bench_slope_now_us ();
  for (int i = 0; i < LOOKUPS; i++)
    {
      const struct bundle_account *account
          = bundle_find_account_by_key (bundle, digest);
      found += account != NULL;
      found += bundle_find_rule (bundle, account, service, NULL) != NULL;
    }
  double spent_us = (double)(bench_slope_now_us () - start_us);
  g_assert (found == LOOKUPS);
  bench_slope_print ("bundle_lookup_ns", "ns/request",
                     spent_us * 1000 / LOOKUPS, SIZES);
}

int
main (int argc, char **argv)
{
  bench_slope_init (argc, argv);
  char *first_text = make_document (1, 1);
  char *second_text = make_document (2, 2);
  measure_reading (first_text);
  struct bundle *first = read_bundle (first_text);
  struct bundle *second = read_bundle (second_text);
  measure_change (first, second);
  measure_lookups (first);
  bundle_unref (first);
  bundle_unref (second);
  free (first_text);
  free (second_text);
  return 0;
}
