/** @file
 *  Fuzzes the readers of bundle documents and of differences, which are
 *  applied to a small bundle. */

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "bundle.h"

/** The fuzz target, as libFuzzer calls it. */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t bytes);

static const char base_document[]
    = "{\"version\":1,\"operators\":{\"ana\":{\"public_key\":"
      "\"ea4a6c63e29c520abef5507b132ec5f9954776aebebe7b92421eea691446d22c\"}},"
      "\"accounts\":{\"mar\":{\"keys\":[\"000102030405060708090a0b0c0d0e0f\"]}"
      "},\"services\":{\"desk\":{\"kind\":\"plain\",\"non_idempotent\":"
      "[\"POST /reservations\"]}},\"classes\":{\"quick\":{}},\"rules\":"
      "{\"all\":{\"accounts\":[\"*\"],\"services\":[\"desk\"],\"class\":"
      "\"quick\"}}}";

/* Aborts unless reading the canonical text gives a bundle with that text. */
static void
check_canonical (const struct bundle *bundle)
{
  size_t bytes;
  struct base_findings *findings = base_findings_create ();
  const char *text = bundle_canonical (bundle, &bytes);
  struct bundle *again = bundle_read (text, bytes, findings);
  if (!again || strcmp (bundle_canonical (again, NULL), text) != 0)
    abort ();
  bundle_unref (again);
  base_findings_destroy (findings);
}

/* Matches the input as a request path with the non-idempotent paths of each
   service. */
static void
check_paths (const struct bundle *bundle, const uint8_t *data, size_t bytes)
{
  const struct bundle_service *service;
  char *path = g_strndup ((const char *)data, bytes);
  for (size_t i = 0; (service = bundle_service_at (bundle, i)); i++)
    bundle_service_is_non_idempotent (service, "POST", path);
  g_free (path);
}

/* Aborts unless applying the difference of two bundles gives the second. */
static void
check_difference (const struct bundle *base, struct bundle *next)
{
  struct base_findings *findings = base_findings_create ();
  char *difference = bundle_difference (base, next);
  struct bundle *outcome = bundle_apply_difference (
      base, difference, strlen (difference), findings);
  if (!outcome
      || strcmp (bundle_canonical (outcome, NULL),
                 bundle_canonical (next, NULL))
             != 0)
    abort ();
  bundle_unref (outcome);
  g_free (difference);
  base_findings_destroy (findings);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t bytes)
{
  struct base_findings *findings = base_findings_create ();
  struct bundle *base
      = bundle_read (base_document, sizeof base_document - 1, findings);
  struct bundle *read = bundle_read ((const char *)data, bytes, findings);
  struct bundle *applied
      = bundle_apply_difference (base, (const char *)data, bytes, findings);
  check_paths (base, data, bytes);
  if (read)
    {
      check_canonical (read);
      check_difference (base, read);
    }
  if (applied)
    check_canonical (applied);
  bundle_unref (read);
  bundle_unref (applied);
  bundle_unref (base);
  base_findings_destroy (findings);
  return 0;
}
